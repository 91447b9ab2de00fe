"""Tests of batches of bounded size."""

from hypothesis import given
from hypothesis import strategies

from tamaracktide.core import batches

MAX_SIZE = 10


@given(strategies.lists(strategies.integers(min_value=0, max_value=30)))
def test_batches_are_bounded_and_keep_the_order(sizes: list[int]) -> None:
    """A batch is larger only if it is a single item."""
    found = list(batches.split(sizes, lambda size: size, MAX_SIZE))
    assert [size for batch in found for size in batch] == sizes
    assert all(found)
    assert all(len(batch) == 1 or sum(batch) <= MAX_SIZE for batch in found)
