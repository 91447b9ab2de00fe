"""Sinks of streams: to the caller as they come, or into a whole answer."""

from typing import Any

import msgspec

from tamaracktide import result_codes
from tamaracktide.gateway import asgi
from tamaracktide.gateway import streams


class _Delta(msgspec.Struct):
    content: str | None = None
    role: str | None = None


class _Choice(msgspec.Struct):
    text: str = ""
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    system_fingerprint: str = ""
    choices: list[_Choice] = []
    usage: dict[str, Any] | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class StreamSink:
    """Writes events to the caller as they come.

    Attributes:
        kept: The events so far, within the limit; None beyond it.
    """

    __slots__ = ("_keep_bytes", "_responder", "kept")

    passes_on = True

    def __init__(self, responder: asgi.Responder, keep_bytes: int) -> None:
        """Builds a sink that keeps a copy of up to `keep_bytes`."""
        self._responder = responder
        self._keep_bytes = keep_bytes
        self.kept: bytearray | None = bytearray() if keep_bytes else None

    async def write(self, block: bytes) -> None:
        """Sends whole events."""
        if not self._responder.started:
            await self._responder.start(
                200, asgi.EVENT_STREAM_TYPE, result_codes.ResultCode.OK
            )
        if self.kept is not None:
            self._keep(block)
        await self._responder.write(block)

    def clear(self) -> None:
        """Does nothing: an answer that the caller saw is never restarted."""

    def _keep(self, block: bytes) -> None:
        if self.kept is None:
            return
        if len(self.kept) + len(block) > self._keep_bytes:
            self.kept = None
            return
        self.kept += block


class WholeSink:
    """Collects events; the caller sees nothing until the end."""

    __slots__ = ("_chat", "_parts")

    passes_on = False

    def __init__(self, chat: bool) -> None:
        """Builds an empty sink."""
        self._chat = chat
        self._parts: list[bytes] = []

    async def write(self, block: bytes) -> None:
        """Keeps whole events."""
        self._parts.append(block)

    def clear(self) -> None:
        """Forgets the events of an attempt that was given up."""
        self._parts.clear()

    def assemble(self) -> bytes:
        """Returns the whole answer that the events make up.

        Raises:
            msgspec.MsgspecError: An event is malformed.
        """
        chunks = [
            _CHUNK_DECODER.decode(data)
            for data in split_events(b"".join(self._parts))
        ]
        last = chunks[-1] if chunks else _Chunk()
        choices = [choice for chunk in chunks for choice in chunk.choices]
        return msgspec.json.encode(
            {
                "id": last.id,
                "object": (
                    "chat.completion" if self._chat else "text_completion"
                ),
                "created": last.created,
                "model": last.model,
                "system_fingerprint": last.system_fingerprint,
                "choices": [self._assemble_choice(choices)],
                "usage": last.usage,
            }
        )

    def _assemble_choice(self, choices: list[_Choice]) -> dict[str, Any]:
        reasons = [one.finish_reason for one in choices if one.finish_reason]
        whole: dict[str, Any] = {
            "index": 0,
            "finish_reason": reasons[-1] if reasons else None,
        }
        if not self._chat:
            whole["text"] = "".join(one.text for one in choices)
            return whole
        deltas = [one.delta for one in choices if one.delta]
        content = "".join(delta.content or "" for delta in deltas)
        whole["message"] = {"role": "assistant", "content": content}
        return whole


def split_events(events: bytes) -> list[bytes]:
    """Returns the data of server-sent events, without the closing one."""
    found = []
    for event in events.split(streams.EVENT_END):
        for line in event.split(b"\n"):
            if line.startswith(b"data:"):
                data = line[5:].strip()
                if data != b"[DONE]":
                    found.append(data)
    return found
