"""Tests of splitting a stream into complete events."""

from hypothesis import given
from hypothesis import strategies
import pytest

from tamaracktide.core import event_stream

EVENTS = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 8))


@given(strategies.lists(strategies.integers(1, 9), min_size=1, max_size=60))
def test_any_chunking_gives_the_same_events(sizes: list[int]) -> None:
    """However the bytes are chunked, complete events come out in order."""
    splitter = event_stream.EventSplitter(0)
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
    splitter = event_stream.EventSplitter(2)
    batch = splitter.feed(b"id: %d\ndata: x\n\n" % event_id)
    assert batch is not None
    assert not batch.in_order


def test_event_without_id_keeps_the_last_id() -> None:
    """Events without a valid id do not change the position."""
    splitter = event_stream.EventSplitter(2)
    batch = splitter.feed(b"data: x\n\nid: ten\ndata: y\n\n")
    assert batch is not None
    assert batch.last_id == 2
