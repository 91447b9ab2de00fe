"""Tests of the stand-in platform's components that perform no I/O."""

import pytest

from tamaracktide.standins.platform import directory
from tamaracktide.standins.platform import limits
from tamaracktide.standins.platform import store
from tamaracktide.standins.platform import weights


def test_versions_are_store_wide() -> None:
    """Each change gets the next version, independent of its key."""
    objects = store.VersionedStore()
    objects.put("a", b"1", store.Always())
    assert objects.put("b", b"2", store.IfAbsent()) == store.Written(2, True)
    assert objects.put("a", b"3", store.IfVersion(1)) == store.Written(3, False)
    assert objects.delete("b", store.IfVersion(2)) == store.Deleted(4)
    assert objects.read("a") == store.StoredValue(b"3", 3)
    assert objects.list_objects("b") == store.Listing(4, ())


def test_failed_conditions_change_nothing() -> None:
    """Failed conditions, missing objects and large values keep the version."""
    objects = store.VersionedStore()
    objects.put("a", b"1", store.Always())
    large = b"x" * (store.MAX_VALUE_BYTES + 1)
    assert objects.put("a", b"2", store.IfAbsent()) == store.Conflict()
    assert objects.put("a", b"2", store.IfVersion(7)) == store.Conflict()
    assert objects.put("b", b"2", store.IfVersion(1)) == store.Conflict()
    assert objects.put("a", large, store.Always()) == store.TooLarge()
    assert objects.delete("a", store.IfVersion(7)) == store.Conflict()
    assert objects.delete("b", store.Always()) == store.Missing()
    assert objects.version == 1


def test_listing_is_limited_to_the_prefix() -> None:
    """A listing contains only the keys under the prefix, in order."""
    objects = store.VersionedStore()
    for key in ("t/b", "t", "u", "t/a"):
        objects.put(key, b"", store.Always())
    listing = objects.list_objects("t/")
    assert [item.key for item in listing.items] == ["t/a", "t/b"]


def test_changes_contain_the_latest_of_each_key() -> None:
    """Changes are ordered by version, one for each key."""
    objects = store.VersionedStore()
    objects.put("t/a", b"", store.Always())
    objects.put("t/b", b"", store.Always())
    objects.put("u", b"", store.Always())
    objects.put("t/a", b"", store.Always())
    objects.delete("t/b", store.Always())
    assert objects.list_changes("t/", 1) == [
        store.Change("t/a", 4, False),
        store.Change("t/b", 5, True),
    ]
    assert objects.list_changes("t/", 5) == []


def test_history_is_bounded() -> None:
    """Changes after a version outside the history are unavailable."""
    objects = store.VersionedStore(history_limit=2)
    for _ in range(3):
        objects.put("a", b"", store.Always())
    assert objects.list_changes("a", 0) is None
    assert objects.list_changes("a", 1) == [store.Change("a", 3, False)]
    assert objects.list_changes("a", 4) is None


def test_stale_reads_return_the_state_from_when_they_began() -> None:
    """Writes still apply, and reads return them once staleness ends."""
    objects = store.VersionedStore()
    objects.put("a", b"old", store.Always())
    objects.set_stale(True)
    objects.put("a", b"new", store.IfVersion(1))
    objects.set_stale(True)
    assert objects.read("a") == store.StoredValue(b"old", 1)
    assert objects.list_objects("").version == 1
    objects.set_stale(False)
    assert objects.read("a") == store.StoredValue(b"new", 2)


def test_token_bucket_enforces_its_rate() -> None:
    """A burst of one second's worth passes, the rest at the rate."""
    bucket = limits.TokenBucket(4, now=10.0)
    assert [bucket.take(10.0) for _ in range(5)] == [0, 0, 0, 0, 0.25]
    assert bucket.take(10.25) == 0
    assert bucket.take(10.25) == 0.25


def test_peak_rate_is_counted_by_second() -> None:
    """The peak is the largest count of any second."""
    peak = limits.PeakRate()
    for now in (1.0, 1.9, 2.0, 2.1, 2.2, 3.0):
        peak.add(now)
    assert peak.peak == 3


def test_instance_list_changes_after_the_lag() -> None:
    """A change is visible after the lag and increments the version once."""
    entry = directory.InstanceEntry(
        role="engine", zone="a", address="127.0.0.1:1"
    )
    instances = directory.Directory({}, lag_s=2.0)
    instances.put("e", entry, now=5.0)
    assert instances.read(6.9) == directory.Snapshot(1, {})
    assert instances.read(7.0) == directory.Snapshot(2, {"e": entry})
    instances.remove("e", now=8.0)
    instances.remove("missing", now=8.0)
    assert instances.read(10.0) == directory.Snapshot(3, {})


def test_loads_slow_down_above_the_full_speed_limit() -> None:
    """All loads in flight slow down in proportion to their number."""
    loads = weights.SharedLoads(0.25, full_speed_loads=2, now=0.0)
    first = loads.start(0.0)
    assert loads.estimate_remaining_s(first, 0.0) == pytest.approx(0.25)
    second = loads.start(0.125)
    third = loads.start(0.125)
    fourth = loads.start(0.125)
    assert loads.estimate_remaining_s(first, 0.125) == pytest.approx(0.25)
    assert loads.estimate_remaining_s(fourth, 0.125) == pytest.approx(0.5)
    loads.end(0.375)
    loads.end(0.375)
    assert second == third
    assert loads.estimate_remaining_s(fourth, 0.375) == pytest.approx(0.125)
