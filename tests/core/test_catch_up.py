"""Tests of the detection of missing changes.

Load pattern: the connection to the store goes silent for one instance, while
the entries of upstreams change all the time.
"""

from tamaracktide.core import catch_up

STEP_S = 0.25


def make_versions(upstreams: int, documents: int = 1) -> catch_up.StoreVersions:
    """Returns versions with the given newest entries."""
    return catch_up.StoreVersions(upstreams=upstreams, documents=documents)


def test_instance_that_follows_with_a_delay_asks_nobody() -> None:
    """It is always behind the newest change, but never for long."""
    tracker = catch_up.CatchUp()
    for step in range(100):
        own = make_versions(max(0, 10 * (step - 2)))
        peers = {"n1": make_versions(10 * step), "n2": make_versions(10 * step)}
        assert tracker.update(own, peers, step * STEP_S) == ""


def test_instance_that_stopped_following_asks_a_peer_that_knows_more() -> None:
    """It asks within a second, and again while it stays behind."""
    tracker = catch_up.CatchUp()
    asked = []
    for step in range(20):
        peers = {"n1": make_versions(5), "n2": make_versions(5 + step)}
        peer = tracker.update(make_versions(5), peers, step * STEP_S)
        if peer:
            asked.append((step * STEP_S, peer))
    assert asked
    first_at, first_peer = asked[0]
    assert first_at <= STEP_S + catch_up.MAX_BEHIND_S + STEP_S
    assert first_peer == "n2"
    assert len(asked) >= 3


def test_single_silent_collection_is_noticed() -> None:
    """The watches of the other collections may still work."""
    tracker = catch_up.CatchUp()
    asked = [
        tracker.update(
            make_versions(10 * step, documents=1),
            {"n1": make_versions(10 * step, documents=2)},
            step * STEP_S,
        )
        for step in range(8)
    ]
    assert "n1" in asked


def test_instance_without_peers_asks_nobody() -> None:
    """There is nobody to compare with."""
    tracker = catch_up.CatchUp()
    for step in range(8):
        assert tracker.update(make_versions(1), {}, step * STEP_S) == ""


def test_versions_of_a_later_era_are_newer_whatever_their_numbers() -> None:
    """An unknown era is compared by the versions alone."""
    before = catch_up.StoreVersions(upstreams=90, era=1)
    after = catch_up.StoreVersions(upstreams=5, era=2)
    unknown = catch_up.StoreVersions(upstreams=50)
    assert after.covers(before)
    assert not before.covers(after)
    assert before.covers(unknown)
    assert not after.covers(unknown)
