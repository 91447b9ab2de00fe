"""Tests of the rate of calls to the store."""

import pytest

from fleet import store as fleet_store
from tamaracktide.entry import store_follower

DRAIN_S = 2.0
VERSION_S = 5.0
"""Time after which an announced adapter version must be used."""

STABLE_S = 3.0
"""Time after an outage from when these bounds hold."""


@pytest.mark.parametrize("instances", [1, 4, 12, 30, 330])
def test_drain_is_observed_within_half_of_its_time(instances: int) -> None:
    """The pause is bounded for any number of instances."""
    assert store_follower.find_watch_pause_s(instances) <= DRAIN_S / 2


def test_twelve_instances_call_as_often_as_four() -> None:
    """Up to the maximum pause, the total rate of calls is constant."""
    calls = [n / store_follower.find_watch_pause_s(n) for n in (4, 8, 12)]
    assert calls == pytest.approx([calls[0]] * 3)


@pytest.mark.parametrize(
    ("max_wait_s", "bound_s"),
    [
        (store_follower.MAX_WATCH_WAIT_S, DRAIN_S),
        (store_follower.MAX_VERSION_WATCH_WAIT_S, VERSION_S),
    ],
)
def test_lost_watch_is_repeated_before_changes_must_be_in_force(
    max_wait_s: float, bound_s: float
) -> None:
    """Guards against a watch that outlives an outage (incident DRAIN).

    The store receives it at the end of the outage and never responds.
    """
    repeated_s = (
        max_wait_s + fleet_store.TIMEOUT_S + 1.3 * store_follower.MAX_BACKOFF_S
    )
    assert repeated_s < STABLE_S + bound_s
