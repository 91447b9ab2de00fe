"""Splits items into batches of bounded size."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import TypeVar

_T = TypeVar("_T")


def split(
    items: Iterable[_T], measure: Callable[[_T], int], max_size: int
) -> Iterator[list[_T]]:
    """Yields the items in order, in batches up to a size.

    Args:
        items: The items.
        measure: Returns the size of an item.
        max_size: Maximum size of a batch; a larger item is one by itself.
    """
    batch: list[_T] = []
    size = 0
    for item in items:
        added = measure(item)
        if batch and size + added > max_size:
            yield batch
            batch, size = [], 0
        batch.append(item)
        size += added
    if batch:
        yield batch
