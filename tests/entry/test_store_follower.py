"""Tests of the rate of calls to the store."""

import pytest

from tamaracktide.entry import store_follower

DRAIN_S = 2.0


@pytest.mark.parametrize("instances", [1, 4, 12, 30, 330])
def test_drain_is_observed_within_half_of_its_time(instances: int) -> None:
    """The pause is bounded for any number of instances."""
    assert store_follower.find_watch_pause_s(instances) <= DRAIN_S / 2


def test_twelve_instances_call_as_often_as_four() -> None:
    """Up to the maximum pause, the total rate of calls is constant."""
    calls = [n / store_follower.find_watch_pause_s(n) for n in (4, 8, 12)]
    assert calls == pytest.approx([calls[0]] * 3)
