"""A completion request on the stand-in engine and its generated text."""

import dataclasses
import enum

import anyio
import msgspec
import xxhash

from tamaracktide.core import rows

HASH_DIGITS = 8


class FinishReason(enum.StrEnum):
    """Why a stream finished; only `LENGTH` means a complete response."""

    NONE = ""
    LENGTH = "length"
    CANCELLED = "cancelled"
    LOST = "lost"


def hash_prompt(prompt: str) -> str:
    """Returns the hash digits that identify a prompt in its tokens."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:HASH_DIGITS]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Stream:
    """A queued, running or finished completion request.

    Each token is a function of its index, so only their number is stored.

    Attributes:
        request_id: Request id.
        incarnation: Incarnation of the engine that runs the request.
        lora_name: Name of the adapter on the engine.
        key: Adapter name and version.
        prompt_hash: Hash digits that identify the prompt in its tokens.
        prompt_tokens: Estimated number of prompt tokens.
        max_tokens: Number of tokens to generate.
        priority: Scheduling priority; lower values run first.
        chat: Whether the request is a chat completion.
        first_token_s: Time from the start to the first token.
        ready_at: When the first token is due; set at the start.
        generated: Number of tokens generated so far.
        finish_reason: Why the stream finished; empty until then.
        changed: Event that is set and replaced on each change.
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
        """Generates one token; finishes the stream at `max_tokens`."""
        self.generated += 1
        if self.generated == self.max_tokens:
            self.finish_reason = FinishReason.LENGTH
        self._notify_change()

    def end(self, finish_reason: FinishReason) -> None:
        """Finishes the stream early."""
        self.finish_reason = finish_reason
        self._notify_change()

    def render_token(self, index: int) -> str:
        """Returns the text of a token."""
        return f"{self.key.text}:{self.prompt_hash}:{index} "

    def render_chunk(self, index: int) -> bytes:
        """Returns the server-sent event that carries a token."""
        is_last = index == self.max_tokens - 1
        chunk = self._make_envelope(".chunk" if self.chat else "")
        text = self.render_token(index)
        choice: dict[str, object] = {
            "index": 0,
            "finish_reason": self.finish_reason if is_last else None,
        }
        if self.chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        chunk["choices"] = [choice]
        if is_last:
            chunk["usage"] = self._make_usage()
        return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(chunk))

    def render_response(self) -> bytes:
        """Returns the complete response as JSON."""
        response = self._make_envelope("")
        text = "".join(self.render_token(i) for i in range(self.generated))
        choice: dict[str, object] = {
            "index": 0,
            "finish_reason": self.finish_reason,
        }
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        response["choices"] = [choice]
        response["usage"] = self._make_usage()
        return msgspec.json.encode(response)

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

    def _notify_change(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
