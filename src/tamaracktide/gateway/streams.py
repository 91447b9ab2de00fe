"""Relays server-sent events of engines in blocks, to save work per token."""

import dataclasses
from typing import Protocol

import anyio
import msgspec

from tamaracktide.core import event_stream
from tamaracktide.core import pending_bytes
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams as upstream_streams

READ_INTERVAL_PER_STREAM_S = 0.0002
MAX_READ_INTERVAL_S = 0.05

DONE_EVENT = b"data: [DONE]\n\n"


class Sink(Protocol):
    """Receives the complete events of one response."""

    @property
    def delivers_immediately(self) -> bool:
        """Whether written events are sent to the client at once."""
        ...

    async def write(self, block: bytes) -> None:
        """Writes one or more complete events."""
        ...

    def clear(self) -> None:
        """Discards events not yet sent to the client, before a retry."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedStream:
    """Values that the first event of a stream must carry.

    Attributes:
        lora_name: Engine-side name of the adapter.
        incarnation: Incarnation of the engine.
        route: Name that the client sees in place of `lora_name`.
    """

    lora_name: str
    incarnation: str
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The stream ended with `[DONE]`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatched:
    """The stream belongs to another adapter, incarnation or offset."""

    detail: str


RelayResult = Completed | Mismatched | calls.Failure


class _Chunk(msgspec.Struct):
    model: str = ""
    system_fingerprint: str = ""


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class ReadPacer:
    """Sets the interval between reads of a stream by the number of streams.

    Tokens that arrive within an interval are read and written as one block,
    which bounds the work per second. A single stream is hardly delayed.

    Attributes:
        streams: Streams in progress.
    """

    __slots__ = ("streams",)

    def __init__(self) -> None:
        """Builds a pacer without streams."""
        self.streams = 0

    @property
    def read_interval_s(self) -> float:
        """Interval between two reads of one stream."""
        return min(
            MAX_READ_INTERVAL_S, self.streams * READ_INTERVAL_PER_STREAM_S
        )


class Relay:
    """Forwards one response, received over one or more connections.

    Attributes:
        offset: Number of tokens forwarded so far.
        first_event_at: Time of the first event, None before it.
    """

    __slots__ = (
        "_expected",
        "_held_bytes",
        "_model_rewrite",
        "_read_pacer",
        "_sink",
        "first_event_at",
        "offset",
    )

    def __init__(
        self, sink: Sink, expected: ExpectedStream, read_pacer: ReadPacer
    ) -> None:
        """Builds a relay that starts at the first token."""
        self._read_pacer = read_pacer
        self._sink = sink
        self._expected = expected
        self._model_rewrite = (b"", b"")
        self._held_bytes = 0
        self.offset = 0
        self.first_event_at: float | None = None

    async def run(
        self, response: upstream_streams.StreamedResponse
    ) -> RelayResult:
        """Forwards complete events until the stream ends or breaks.

        An incomplete event is discarded, as a resumed stream repeats it.
        """
        self._read_pacer.streams += 1
        try:
            return await self._run(response)
        finally:
            self._read_pacer.streams -= 1

    async def _run(
        self, response: upstream_streams.StreamedResponse
    ) -> RelayResult:
        first = True
        events = event_stream.EventBuffer(response.max_pending_bytes)
        while True:
            part = await response.receive()
            if isinstance(part, calls.Failure):
                return part
            if not part:
                return calls.Failure(
                    calls.FailureKind.BROKEN, "stream closed before [DONE]"
                )
            block = events.feed(part)
            excess = events.excess or self._find_excess(
                block, response.max_answer_bytes
            )
            if excess is not None:
                return calls.Failure(calls.FailureKind.TOO_LARGE, excess)
            if not block:
                continue
            if first:
                mismatch = self._check(block)
                if mismatch:
                    return Mismatched(mismatch)
                first = False
                if not self.offset:
                    self.first_event_at = anyio.current_time()
            if await self._forward(block):
                return Completed()
            await anyio.sleep(self._read_pacer.read_interval_s)

    def _find_excess(self, block: bytes, max_bytes: int) -> str | None:
        """Describes an excess of the events that the sink holds, or None.

        Events received over earlier connections count, too.
        """
        if self._sink.delivers_immediately:
            return None
        held = pending_bytes.PendingBytes(max_bytes, "the end of the response")
        self._held_bytes += len(block)
        held.add(self._held_bytes)
        return held.excess

    async def _forward(self, block: bytes) -> bool:
        """Writes a block and returns whether it ends the stream."""
        old, new = self._model_rewrite
        if old:
            block = block.replace(old, new)
        done = block.endswith(DONE_EVENT)
        self.offset += block.count(event_stream.EVENT_END) - done
        await self._sink.write(block)
        return done

    def _check(self, block: bytes) -> str:
        """Returns the mismatch of the first event, or an empty string."""
        event = block[: block.find(event_stream.EVENT_END)]
        if event == DONE_EVENT[:-2]:
            return ""
        data = b""
        for line in event.split(b"\n"):
            if (
                line.startswith(b"id:")
                and line[3:].strip() != str(self.offset).encode()
            ):
                return f"got event {line!r}, expected offset {self.offset}"
            if line.startswith(b"data:"):
                data = line[5:]
        try:
            chunk = _CHUNK_DECODER.decode(data)
        except msgspec.MsgspecError as error:
            return f"first event is malformed: {error}"
        expected = self._expected
        if chunk.model != expected.lora_name:
            return f"got model {chunk.model!r}, expected {expected.lora_name!r}"
        if chunk.system_fingerprint != expected.incarnation:
            return (
                f"got incarnation {chunk.system_fingerprint!r}, expected "
                f"{expected.incarnation!r}"
            )
        self._model_rewrite = _make_model_rewrite(data, expected)
        return ""


def _make_model_rewrite(
    data: bytes, expected: ExpectedStream
) -> tuple[bytes, bytes]:
    """Returns the engine's `model` member and its replacement.

    Quotes are escaped inside a JSON string, so a token's text cannot contain
    the bytes of the member.
    """
    old = msgspec.json.encode(expected.lora_name)
    new = msgspec.json.encode(expected.route)
    for prefix in (b'"model":', b'"model": '):
        if prefix + old in data:
            return prefix + old, prefix + new
    return b"", b""
