"""Tests that upstreams that fail more than others are avoided for a time."""

import random

from tamaracktide.core import upstream_health

NAMES = ["a", "b", "c", "d"]
Results = upstream_health.Results


def _make_health() -> upstream_health.UpstreamHealth:
    return upstream_health.UpstreamHealth(random.Random(1))


def test_failing_upstream_is_avoided_and_tried_again() -> None:
    """Consecutive failures avoid an upstream until its trial is due."""
    health = _make_health()
    for _ in range(5):
        health.record_failure("a", 10.0)
    assert health.list_avoided(NAMES, 10.1) == {"a"}
    spread_s = upstream_health.AVOID_JITTER * upstream_health.INITIAL_AVOID_S
    assert abs(health.find_next_trial(10.1) - 11.0) <= spread_s
    assert health.list_avoided(NAMES, 11.0 - spread_s) == {"a"}
    assert health.list_avoided(NAMES, 11.0 + spread_s) == set()


def test_normal_failure_rate_avoids_no_upstream() -> None:
    """A service that fails a seventh of its requests stays in use."""
    health = _make_health()
    for index in range(200):
        if index % 7 == 0:
            health.record_failure("a", 1.0)
        else:
            health.record_success("a")
    assert health.list_avoided(NAMES, 1.0) == set()


def test_common_fault_avoids_no_upstream() -> None:
    """If all fail alike, avoiding some only lengthens the queues."""
    health = _make_health()
    for name in NAMES * 6:
        health.record_failure(name, 1.0)
    assert health.list_avoided(NAMES, 1.1) == set()


def test_unreachable_upstream_is_avoided_until_it_connects() -> None:
    """No request is sent to an upstream that cannot be connected to."""
    health = _make_health()
    assert health.record_unreachable("a")
    assert not health.record_unreachable("a")
    assert health.list_avoided(NAMES, 1e6) == {"a"}
    health.record_reachable("a")
    assert health.list_avoided(NAMES, 1e6) == set()


def test_all_unreachable_avoids_no_upstream() -> None:
    """If no upstream is reachable, all of them are still tried."""
    health = _make_health()
    for name in NAMES:
        health.record_unreachable(name)
    assert health.list_avoided(NAMES, 1.0) == set()


def test_at_most_half_are_avoided_for_failures() -> None:
    """The bound on avoided upstreams protects the rest from overload."""
    health = _make_health()
    names = ["a", "b", "c", "d", "e", "f", "g"]
    for name in names[:3] * 8:
        health.record_failure(name, 1.0)
    assert len(health.list_avoided(names, 1.1)) <= 3


def test_upstream_is_on_trial_until_a_request_succeeds() -> None:
    """After the back-off it is not used as others at once."""
    health = _make_health()
    for _ in range(2):
        health.record_failure("a", 10.0)
    assert health.list_trials(NAMES, 10.1) == set()
    assert health.list_trials(NAMES, 12.0) == {"a"}
    assert health.record_success("a")
    assert health.list_trials(NAMES, 12.0) == set()
    assert not health.record_success("a")


def test_failure_on_trial_avoids_the_upstream_for_longer() -> None:
    """A server that flaps costs fewer requests each time."""
    health = _make_health()
    health.record_failure("a", 10.0)
    assert health.record_failure("a", 10.0)
    assert health.record_failure("a", 12.0)
    assert health.find_next_trial(12.0) > 12.0 + 1.5


def test_results_of_others_avoid_an_upstream_before_own_failures() -> None:
    """Load pattern: dozens of instances share a server that breaks.

    Each of them would lose two requests there to learn of it alone.
    """
    own = _make_health()
    others = [_make_health() for _ in range(5)]
    for other in others:
        other.record_failure("a", 10.0)
    avoided = [
        own.record_remote("a", other.take_results()["a"], 10.2)
        for other in others
    ]
    assert avoided == [False] * 4 + [True]
    assert own.list_avoided(NAMES, 10.3) == {"a"}
    assert own.take_results() == {}


def test_success_elsewhere_speaks_for_an_upstream() -> None:
    """A single instance with a broken path does not exclude a server."""
    health = _make_health()
    for _ in range(40):
        health.record_remote("a", Results(completed=6, failed=1), 10.0)
    assert health.list_avoided(NAMES, 10.0) == set()


def test_results_are_reported_once_and_only_of_failing_upstreams() -> None:
    """Sound upstreams take no room in the reports."""
    health = _make_health()
    health.record_success("b")
    health.record_failure("a", 1.0)
    health.record_success("a")
    assert health.take_results() == {"a": Results(completed=1, failed=1)}
    assert health.take_results() == {}


def test_record_of_a_recovered_upstream_is_dropped() -> None:
    """So its results are no longer reported, and the next failure is fresh."""
    health = _make_health()
    health.record_failure("a", 1.0)
    for _ in range(10):
        health.record_success("a")
    health.take_results()
    health.record_success("a")
    assert health.take_results() == {}
    assert health.find_failure_rate("a") == 0.0


def test_common_fault_puts_no_upstream_on_trial() -> None:
    """One request at a time everywhere would only lengthen the queues."""
    health = _make_health()
    for name in NAMES * 3:
        health.record_failure(name, 1.0)
    assert health.list_trials(NAMES, 60.0) == set()
