"""One request on an engine and the text that it generates."""

import dataclasses
import enum

import anyio
import msgspec
import xxhash

from tamaracktide.core import rows

HASH_DIGITS = 8


class FinishReason(enum.StrEnum):
    """Why a stream ended; only `LENGTH` makes a whole answer."""

    NONE = ""
    LENGTH = "length"
    CANCELLED = "cancelled"
    LOST = "lost"


def hash_prompt(prompt: str) -> str:
    """Returns the digits that mark a prompt's tokens."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:HASH_DIGITS]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Stream:
    """A request that waits, runs or has ended.

    Tokens follow from their index, so only their number is kept.

    Attributes:
        request_id: The request.
        incarnation: The engine's incarnation that runs it.
        lora_name: Engine-side adapter name.
        key: Adapter and version.
        prompt_hash: Digits that mark the prompt's tokens.
        prompt_tokens: Estimated prompt tokens.
        max_tokens: Tokens to generate.
        priority: Lower runs first.
        chat: Whether it is a chat completion.
        first_token_s: Time to the first token once it runs.
        ready_at: When the first token is due, once it runs.
        generated: Tokens generated.
        finish_reason: Why it ended, empty before.
        changed: Set and replaced whenever it moves on.
    """

    request_id: str
    incarnation: str
    lora_name: str
    key: rows.AdapterKey
    prompt_hash: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    chat: bool = False
    first_token_s: float = 0.0
    ready_at: float = 0.0
    generated: int = 0
    finish_reason: FinishReason = FinishReason.NONE
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def generate(self) -> None:
        """Generates one token; the last one ends the stream."""
        self.generated += 1
        if self.generated == self.max_tokens:
            self.finish_reason = FinishReason.LENGTH
        self._signal()

    def end(self, finish_reason: FinishReason) -> None:
        """Ends the stream early."""
        self.finish_reason = finish_reason
        self._signal()

    def render_token(self, index: int) -> str:
        """Returns the text of one token."""
        return f"{self.key.text}:{self.prompt_hash}:{index} "

    def render_chunk(self, index: int) -> bytes:
        """Returns the server-sent event of one token."""
        last = index == self.max_tokens - 1
        chunk = self._make_envelope(".chunk" if self.chat else "")
        text = self.render_token(index)
        choice: dict[str, object] = {
            "index": 0,
            "finish_reason": self.finish_reason if last else None,
        }
        if self.chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        chunk["choices"] = [choice]
        if last:
            chunk["usage"] = self._make_usage()
        return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(chunk))

    def render_answer(self) -> bytes:
        """Returns the whole answer as JSON."""
        answer = self._make_envelope("")
        text = "".join(self.render_token(i) for i in range(self.generated))
        choice: dict[str, object] = {
            "index": 0,
            "finish_reason": self.finish_reason,
        }
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer["choices"] = [choice]
        answer["usage"] = self._make_usage()
        return msgspec.json.encode(answer)

    def _make_envelope(self, suffix: str) -> dict[str, object]:
        kind = "chat.completion" if self.chat else "text_completion"
        return {
            "id": self.request_id,
            "object": kind + suffix,
            "model": self.lora_name,
            "system_fingerprint": self.incarnation,
        }

    def _make_usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt_tokens + self.generated,
        }

    def _signal(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
