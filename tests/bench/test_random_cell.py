"""Tests of the randomized run of a cell."""

import pytest

from tamaracktide.bench import random_cell


@pytest.mark.parametrize("seed", range(4))
def test_random_events_violate_no_invariant(seed: int) -> None:
    """Thousands of random events cause no invalid action."""
    summary = random_cell.RandomCell(seed).run(4000)
    assert min(summary.granted, summary.refused, summary.loads) > 100
