"""Relays an engine's server-sent events with little work per token."""

import dataclasses
from typing import Protocol

import anyio
import msgspec

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams as upstream_streams

READ_COST_S = 0.0002
MAX_WAIT_S = 0.05

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class Sink(Protocol):
    """Takes whole events of one answer."""

    @property
    def passes_on(self) -> bool:
        """Whether the caller sees what is written."""
        ...

    async def write(self, block: bytes) -> None:
        """Takes one or more whole events."""
        ...

    def clear(self) -> None:
        """Forgets what the caller has not seen, before another attempt."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """What the first event of a stream must name.

    Attributes:
        lora_name: Engine-side name of the adapter.
        incarnation: Incarnation of the engine.
        route: Name that the caller sees in place of `lora_name`.
    """

    lora_name: str
    incarnation: str
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The stream came to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crossed:
    """The stream is not the one that was asked for."""

    detail: str


Relayed = Whole | Crossed | calls.Failure


class _Chunk(msgspec.Struct):
    model: str = ""
    system_fingerprint: str = ""


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class Pace:
    """Spaces out the reads of a stream by how many streams there are.

    Tokens that arrive meanwhile are read and written together, so that the
    work per second is bounded; alone, a stream hardly waits.

    Attributes:
        streams: Streams in progress.
    """

    __slots__ = ("streams",)

    def __init__(self) -> None:
        """Starts without streams."""
        self.streams = 0

    @property
    def wait_s(self) -> float:
        """Time between two reads of one stream."""
        return min(MAX_WAIT_S, self.streams * READ_COST_S)


class Relay:
    """Passes one answer on, over one or more connections.

    Attributes:
        offset: Tokens passed on so far.
        first_event_at: When the first event came, None before.
    """

    __slots__ = (
        "_expected",
        "_names",
        "_pace",
        "_sink",
        "first_event_at",
        "offset",
    )

    def __init__(self, sink: Sink, expected: Expected, pace: Pace) -> None:
        """Starts at the first token."""
        self._pace = pace
        self._sink = sink
        self._expected = expected
        self._names = (b"", b"")
        self.offset = 0
        self.first_event_at: float | None = None

    async def run(self, answer: upstream_streams.StreamedAnswer) -> Relayed:
        """Passes on whole events until the stream ends or breaks.

        An incomplete event is dropped: a resumed stream sends it again.
        """
        self._pace.streams += 1
        try:
            return await self._run(answer)
        finally:
            self._pace.streams -= 1

    async def _run(self, answer: upstream_streams.StreamedAnswer) -> Relayed:
        first = True
        pending = b""
        while True:
            part = await answer.receive()
            if isinstance(part, calls.Failure):
                return part
            if not part:
                return calls.Failure(
                    calls.FailureKind.BROKEN, "the stream ended unfinished"
                )
            pending = pending + part if pending else part
            cut = pending.rfind(EVENT_END) + len(EVENT_END)
            if cut < len(EVENT_END):
                continue
            block, pending = pending[:cut], pending[cut:]
            if first:
                fault = self._check(block)
                if fault:
                    return Crossed(fault)
                first = False
                if not self.offset:
                    self.first_event_at = anyio.current_time()
            if await self._pass_on(block):
                return Whole()
            await anyio.sleep(self._pace.wait_s)

    async def _pass_on(self, block: bytes) -> bool:
        """Writes a block; returns whether it ended the stream."""
        old, new = self._names
        if old:
            block = block.replace(old, new)
        done = block.endswith(DONE_EVENT)
        self.offset += block.count(EVENT_END) - done
        await self._sink.write(block)
        return done

    def _check(self, block: bytes) -> str:
        """Returns what is wrong with the first event, or an empty text."""
        event = block[: block.find(EVENT_END)]
        if event == DONE_EVENT[:-2]:
            return ""
        data = b""
        for line in event.split(b"\n"):
            if (
                line.startswith(b"id:")
                and line[3:].strip() != str(self.offset).encode()
            ):
                return f"event {line!r} came in place of {self.offset}"
            if line.startswith(b"data:"):
                data = line[5:]
        try:
            chunk = _CHUNK_DECODER.decode(data)
        except msgspec.MsgspecError as error:
            return f"the first event is malformed: {error}"
        expected = self._expected
        if chunk.model != expected.lora_name:
            return f"model {chunk.model!r} is not {expected.lora_name!r}"
        if chunk.system_fingerprint != expected.incarnation:
            return (
                f"incarnation {chunk.system_fingerprint!r} is not "
                f"{expected.incarnation!r}"
            )
        self._names = _make_names(data, expected)
        return ""


def _make_names(data: bytes, expected: Expected) -> tuple[bytes, bytes]:
    """Returns the engine's `model` member and the caller's in its place.

    Inside a JSON text each quote is escaped, so the member's bytes cannot
    stand in a token.
    """
    old = msgspec.json.encode(expected.lora_name)
    new = msgspec.json.encode(expected.route)
    for prefix in (b'"model":', b'"model": '):
        if prefix + old in data:
            return prefix + old, prefix + new
    return b"", b""
