"""Upstreams that fail more than the others are avoided for a while."""

from tamaracktide.core import upstream_health

NAMES = ["a", "b", "c", "d"]


def test_one_that_fails_is_avoided_and_tried_again() -> None:
    """A run of failures avoids an upstream; time gives it a trial."""
    health = upstream_health.UpstreamHealth()
    for _ in range(5):
        health.record_failure("a", 10.0)
    assert health.list_avoided(NAMES, 10.1) == {"a"}
    assert health.find_next_trial(10.1) == 11.0
    assert health.list_avoided(NAMES, 11.1) == set()


def test_usual_failures_avoid_nobody() -> None:
    """A service that fails a seventh of its requests stays in use."""
    health = upstream_health.UpstreamHealth()
    for index in range(200):
        if index % 7 == 0:
            health.record_failure("a", 1.0)
        else:
            health.record_success("a")
    assert health.list_avoided(NAMES, 1.0) == set()


def test_fault_that_all_share_avoids_nobody() -> None:
    """Where all fail alike, avoiding some only lengthens the queues."""
    health = upstream_health.UpstreamHealth()
    for name in NAMES * 6:
        health.record_failure(name, 1.0)
    assert health.list_avoided(NAMES, 1.1) == set()


def test_unreachable_stays_avoided_until_connected() -> None:
    """No request is spent on an upstream that cannot be connected to."""
    health = upstream_health.UpstreamHealth()
    assert health.record_unreachable("a")
    assert not health.record_unreachable("a")
    assert health.list_avoided(NAMES, 1e6) == {"a"}
    health.record_reachable("a")
    assert health.list_avoided(NAMES, 1e6) == set()


def test_all_unreachable_avoids_nobody() -> None:
    """With nothing else left, the upstreams are tried all the same."""
    health = upstream_health.UpstreamHealth()
    for name in NAMES:
        health.record_unreachable(name)
    assert health.list_avoided(NAMES, 1.0) == set()


def test_at_most_half_are_avoided_for_failures() -> None:
    """A bound on the avoided keeps the rest from being overrun."""
    health = upstream_health.UpstreamHealth()
    names = ["a", "b", "c", "d", "e", "f", "g"]
    for name in names[:3] * 8:
        health.record_failure(name, 1.0)
    assert len(health.list_avoided(names, 1.1)) <= 3
