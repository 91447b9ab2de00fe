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


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the gateway does."""
    return "asyncio"


class EndlessResponse:
    """Has one event, and then the same fields of an event repeatedly.

    Attributes:
        max_pending_bytes: Maximum number of bytes that wait for a boundary.
        received: Bytes received after the event.
    """

    def __init__(self) -> None:
        """Starts before the event."""
        self.max_pending_bytes = MAX_PENDING_BYTES
        self.received = 0
        self._parts = [EVENT]

    async def receive(self) -> bytes:
        """Returns the next bytes."""
        if self._parts:
            return self._parts.pop()
        assert self.received < 100 * MAX_PENDING_BYTES
        self.received += len(PART)
        return PART


class CollectingSink:
    """Collects the events of a response."""

    delivers_immediately = True

    def __init__(self) -> None:
        """Starts empty."""
        self.events = b""

    async def write(self, block: bytes) -> None:
        """Adds events."""
        self.events += block

    def clear(self) -> None:
        """Removes all events."""
        self.events = b""


async def test_event_without_end_is_given_up() -> None:
    """Guards against a process that ends over its memory (review, case 5)."""
    response, sink = EndlessResponse(), CollectingSink()
    relay = streams.Relay(sink, EXPECTED, streams.ReadPacer())
    result = await relay.run(
        typing.cast(upstream_streams.StreamedResponse, response)
    )
    assert isinstance(result, calls.Failure)
    assert result.kind is calls.FailureKind.TOO_LARGE
    assert response.received == MAX_PENDING_BYTES + len(PART)
    assert relay.offset == 1
    assert sink.events.count(b"\n\n") == 1
