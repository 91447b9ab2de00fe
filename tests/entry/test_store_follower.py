"""Tests of how often instances ask the store."""

import pytest

from tamaracktide.entry import store_follower

DRAIN_S = 2.0


@pytest.mark.parametrize("instances", [1, 4, 12, 30, 330])
def test_drain_is_known_within_half_of_its_time(instances: int) -> None:
    """However many instances there are."""
    assert store_follower.find_watch_pause_s(instances) <= DRAIN_S / 2


def test_twelve_instances_call_as_often_as_four() -> None:
    """Up to the longest pause, calls do not grow with the instances."""
    calls = [n / store_follower.find_watch_pause_s(n) for n in (4, 8, 12)]
    assert calls == pytest.approx([calls[0]] * 3)
