"""Tests of splitting a stream into complete events."""

from hypothesis import given
from hypothesis import strategies
import pytest

from tamaracktide.core import event_stream

MAX_PENDING_BYTES = 100
EVENTS = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 8))


@given(strategies.lists(strategies.integers(1, 9), min_size=1, max_size=60))
def test_any_chunking_gives_the_same_events(sizes: list[int]) -> None:
    """However the bytes are chunked, complete events come out in order."""
    splitter = event_stream.EventSplitter(0, MAX_PENDING_BYTES)
    out, at = b"", 0
    for size in sizes:
        batch = splitter.feed(EVENTS[at : at + size])
        at += size
        if batch is not None:
            assert batch.in_order
            assert batch.data.endswith(event_stream.EVENT_END)
            out += batch.data
    assert EVENTS.startswith(out)
    assert out + splitter.pending == EVENTS[:at]


@pytest.mark.parametrize("event_id", [2, 4, 1])
def test_gap_or_duplicate_is_reported(event_id: int) -> None:
    """An event whose id is not the next one is out of order."""
    splitter = event_stream.EventSplitter(2, MAX_PENDING_BYTES)
    batch = splitter.feed(b"id: %d\ndata: x\n\n" % event_id)
    assert batch is not None
    assert not batch.in_order


def test_event_without_id_keeps_the_last_id() -> None:
    """Events without a valid id do not change the position."""
    splitter = event_stream.EventSplitter(2, MAX_PENDING_BYTES)
    batch = splitter.feed(b"data: x\n\nid: ten\ndata: y\n\n")
    assert batch is not None
    assert batch.last_id == 2


@given(strategies.lists(strategies.integers(1, 40), min_size=1, max_size=60))
def test_bound_counts_from_the_last_event_end(sizes: list[int]) -> None:
    """Guards against an event without end that is held (review, case 5)."""
    splitter = event_stream.EventSplitter(0, MAX_PENDING_BYTES)
    splitter.feed(EVENTS)
    assert splitter.excess is None
    fed = 0
    for size in sizes:
        assert splitter.feed(b"x" * size) is None
        fed += size
        assert (splitter.excess is not None) == (fed > MAX_PENDING_BYTES)
    batch = splitter.feed(b"\n\n: short")
    assert batch is not None
    assert splitter.excess is None


def test_events_beyond_the_bound_together_are_split() -> None:
    """Complete events that arrive at once do not wait for anything."""
    splitter = event_stream.EventSplitter(None, 10)
    events = b"id: 1\ndata: x\n\n" * 100
    batch = splitter.feed(events + b"id: 1")
    assert batch is not None
    assert batch.data == events
    assert splitter.excess is None
    assert splitter.feed(b"\ndata: x") is None
    assert splitter.excess == "more than 10 bytes before the end of an event"
