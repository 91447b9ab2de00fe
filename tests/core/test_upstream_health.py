"""Tests that upstreams that fail more than others are avoided for a time."""

from tamaracktide.core import upstream_health

NAMES = ["a", "b", "c", "d"]


def test_failing_upstream_is_avoided_and_tried_again() -> None:
    """Consecutive failures avoid an upstream until its trial is due."""
    health = upstream_health.UpstreamHealth()
    for _ in range(5):
        health.record_failure("a", 10.0)
    assert health.list_avoided(NAMES, 10.1) == {"a"}
    assert health.find_next_trial(10.1) == 11.0
    assert health.list_avoided(NAMES, 11.1) == set()


def test_normal_failure_rate_avoids_no_upstream() -> None:
    """A service that fails a seventh of its requests stays in use."""
    health = upstream_health.UpstreamHealth()
    for index in range(200):
        if index % 7 == 0:
            health.record_failure("a", 1.0)
        else:
            health.record_success("a")
    assert health.list_avoided(NAMES, 1.0) == set()


def test_common_fault_avoids_no_upstream() -> None:
    """If all fail alike, avoiding some only lengthens the queues."""
    health = upstream_health.UpstreamHealth()
    for name in NAMES * 6:
        health.record_failure(name, 1.0)
    assert health.list_avoided(NAMES, 1.1) == set()


def test_unreachable_upstream_is_avoided_until_it_connects() -> None:
    """No request is sent to an upstream that cannot be connected to."""
    health = upstream_health.UpstreamHealth()
    assert health.record_unreachable("a")
    assert not health.record_unreachable("a")
    assert health.list_avoided(NAMES, 1e6) == {"a"}
    health.record_reachable("a")
    assert health.list_avoided(NAMES, 1e6) == set()


def test_all_unreachable_avoids_no_upstream() -> None:
    """If no upstream is reachable, all of them are still tried."""
    health = upstream_health.UpstreamHealth()
    for name in NAMES:
        health.record_unreachable(name)
    assert health.list_avoided(NAMES, 1.0) == set()


def test_at_most_half_are_avoided_for_failures() -> None:
    """The bound on avoided upstreams protects the rest from overload."""
    health = upstream_health.UpstreamHealth()
    names = ["a", "b", "c", "d", "e", "f", "g"]
    for name in names[:3] * 8:
        health.record_failure(name, 1.0)
    assert len(health.list_avoided(names, 1.1)) <= 3
