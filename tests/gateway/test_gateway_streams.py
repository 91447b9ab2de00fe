"""Tests of relaying the events of one response."""

import typing

import pytest

from tamaracktide.gateway import streams
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams as upstream_streams

pytestmark = pytest.mark.anyio

EXPECTED = streams.ExpectedStream("lora-1", "e-inc", "r1")
EVENT = b'id: 0\ndata: {"model":"lora-1","system_fingerprint":"e-inc"}\n\n'
PART = b"data: x\n" * 128
MAX_PENDING_BYTES = 16 << 10
MAX_ANSWER_BYTES = 64 << 10


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the gateway does."""
    return "asyncio"


class EndlessResponse:
    """Has one event, and then the same bytes repeatedly.

    Attributes:
        max_pending_bytes: Maximum number of bytes that wait for a boundary.
        max_answer_bytes: Maximum size of a response that is held completely.
        received: Bytes received after the event.
    """

    def __init__(self, part: bytes) -> None:
        """Starts before the event, which `part` follows."""
        self.max_pending_bytes = MAX_PENDING_BYTES
        self.max_answer_bytes = MAX_ANSWER_BYTES
        self.received = 0
        self._start = [EVENT]
        self._part = part

    async def receive(self) -> bytes:
        """Returns the next bytes."""
        if self._start:
            return self._start.pop()
        assert self.received < 10 * MAX_ANSWER_BYTES
        self.received += len(self._part)
        return self._part


class CollectingSink:
    """Collects the events of a response."""

    def __init__(self, *, delivers_immediately: bool = True) -> None:
        """Starts empty."""
        self.delivers_immediately = delivers_immediately
        self.events = b""

    async def write(self, block: bytes) -> None:
        """Adds events."""
        self.events += block

    def clear(self) -> None:
        """Removes all events."""
        self.events = b""


async def test_event_without_end_is_given_up() -> None:
    """Guards against a process that ends over its memory (review, case 5)."""
    response, sink = EndlessResponse(PART), CollectingSink()
    relay = streams.Relay(sink, EXPECTED, streams.ReadPacer())
    result = await relay.run(
        typing.cast(upstream_streams.StreamedResponse, response)
    )
    assert isinstance(result, calls.Failure)
    assert result.kind is calls.FailureKind.TOO_LARGE
    assert response.received == MAX_PENDING_BYTES + len(PART)
    assert relay.offset == 1
    assert sink.events.count(b"\n\n") == 1


async def test_events_without_end_are_not_held() -> None:
    """Guards against a process that ends over its memory (issue 44).

    The sink collects the events of a response that is not streamed. Those of
    another connection count with the ones before.
    """
    part = PART + b"\n"
    sink = CollectingSink(delivers_immediately=False)
    relay = streams.Relay(sink, EXPECTED, streams.ReadPacer())
    first = EndlessResponse(part)
    result = await relay.run(
        typing.cast(upstream_streams.StreamedResponse, first)
    )
    assert isinstance(result, calls.Failure)
    assert result.kind is calls.FailureKind.TOO_LARGE
    assert len(sink.events) <= MAX_ANSWER_BYTES
    resumed = EndlessResponse(part)
    result = await relay.run(
        typing.cast(upstream_streams.StreamedResponse, resumed)
    )
    assert isinstance(result, calls.Failure)
    assert result.kind is calls.FailureKind.TOO_LARGE
    assert resumed.received == 0
