"""Tests of counting bytes that wait for a boundary."""

from hypothesis import given
from hypothesis import strategies

from tamaracktide.core import pending_bytes

MAX_BYTES = 100
MAX_TOTAL_BYTES = 250
EXEMPT_BYTES = 10


def test_bound_is_the_last_size_without_an_excess() -> None:
    """The description names the bound and the boundary."""
    pending = pending_bytes.PendingBytes(MAX_BYTES, "the end")
    pending.add(MAX_BYTES)
    assert pending.excess is None
    pending.add(1)
    assert pending.excess == "more than 100 bytes before the end"
    pending.clear()
    assert pending.excess is None


def test_larger_readers_give_up_first_beyond_the_total() -> None:
    """Guards against sound responses that fail beside endless ones."""
    total = pending_bytes.TotalBytes(MAX_TOTAL_BYTES, EXEMPT_BYTES)
    large = [
        pending_bytes.PendingBytes(MAX_BYTES, "the end", total)
        for _ in range(3)
    ]
    for pending in large:
        pending.add(90)
    small = pending_bytes.PendingBytes(MAX_BYTES, "the end", total)
    small.add(EXEMPT_BYTES)
    assert small.excess is None
    assert large[0].excess == "more than 250 bytes in all responses together"
    large[0].clear()
    assert large[1].excess is None


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.integers(0, 50))
    )
)
def test_total_is_the_sum_of_its_readers(steps: list[tuple[int, int]]) -> None:
    """Size 0 stands for a boundary."""
    total = pending_bytes.TotalBytes(MAX_TOTAL_BYTES, EXEMPT_BYTES)
    readers = [
        pending_bytes.PendingBytes(MAX_BYTES, "the end", total)
        for _ in range(4)
    ]
    for index, size in steps:
        if size:
            readers[index].add(size)
        else:
            readers[index].clear()
        assert total.size == sum(reader.size for reader in readers)
