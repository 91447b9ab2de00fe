"""Sinks that stream events to the client or collect a full response."""

from typing import Any

import msgspec

from tamaracktide import result_codes
from tamaracktide.core import event_stream
from tamaracktide.gateway import asgi


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
    """Writes events to the client as they arrive.

    Attributes:
        kept: The events so far, None once they exceed the size limit.
    """

    __slots__ = ("_max_kept_bytes", "_responder", "kept")

    delivers_immediately = True

    def __init__(self, responder: asgi.Responder, max_kept_bytes: int) -> None:
        """Builds a sink that keeps up to `max_kept_bytes` of the events."""
        self._responder = responder
        self._max_kept_bytes = max_kept_bytes
        self.kept: bytearray | None = bytearray() if max_kept_bytes else None

    async def write(self, block: bytes) -> None:
        """Sends complete events."""
        if not self._responder.started:
            await self._responder.start(
                200, asgi.EVENT_STREAM_TYPE, result_codes.ResultCode.OK
            )
        if self.kept is not None:
            self._append(block)
        await self._responder.write(block)

    def clear(self) -> None:
        """Does nothing: a response that has been sent is never restarted."""

    def _append(self, block: bytes) -> None:
        if self.kept is None:
            return
        if len(self.kept) + len(block) > self._max_kept_bytes:
            self.kept = None
            return
        self.kept += block


class BufferedSink:
    """Collects events, to be sent as one response at the end."""

    __slots__ = ("_chat", "_parts")

    delivers_immediately = False

    def __init__(self, chat: bool) -> None:
        """Builds an empty sink."""
        self._chat = chat
        self._parts: list[bytes] = []

    async def write(self, block: bytes) -> None:
        """Stores complete events."""
        self._parts.append(block)

    def clear(self) -> None:
        """Discards the events of a failed attempt."""
        self._parts.clear()

    def assemble(self) -> bytes:
        """Returns the body of the response that the events make up.

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
        reasons = [
            choice.finish_reason for choice in choices if choice.finish_reason
        ]
        assembled: dict[str, Any] = {
            "index": 0,
            "finish_reason": reasons[-1] if reasons else None,
        }
        if not self._chat:
            assembled["text"] = "".join(choice.text for choice in choices)
            return assembled
        deltas = [choice.delta for choice in choices if choice.delta]
        content = "".join(delta.content or "" for delta in deltas)
        assembled["message"] = {"role": "assistant", "content": content}
        return assembled


def split_events(events: bytes) -> list[bytes]:
    """Returns the data of server-sent events, without `[DONE]`."""
    found = []
    for event in events.split(event_stream.EVENT_END):
        for line in event.split(b"\n"):
            if line.startswith(b"data:"):
                data = line[5:].strip()
                if data != b"[DONE]":
                    found.append(data)
    return found
