"""Tests of what is kept for streams that broke off at a stop of all instances.

Load pattern: clients come back two seconds after the start; until then, new
requests for other adapters arrive.
"""

from tamaracktide.core import awaited_streams

ENGINES = {"v1": ("a", "b"), "v2": ("c",)}


def _begin(broken: dict[str, int]) -> awaited_streams.AwaitedStreams:
    awaited = awaited_streams.AwaitedStreams(100.0)
    awaited.begin(broken, ENGINES, 100.5)
    return awaited


def test_adapters_stay_at_the_versions_that_began_broken_streams() -> None:
    """Guards against evictions before the clients are back (LOST)."""
    assert _begin({"v1": 2}).list_engines(101.0) == {"a", "b"}
    assert _begin({"v1": 2, "v2": 1}).list_engines(101.0) == {"a", "b", "c"}


def test_nothing_is_kept_without_broken_streams() -> None:
    """Guards against starts that hold new requests back for nothing."""
    assert not _begin({}).list_engines(100.5)
    assert not _begin({"v1": 0}).list_engines(100.5)


def test_streams_are_awaited_for_a_bounded_time() -> None:
    """Guards against clients that never come back."""
    awaited = _begin({"v1": 2})
    until = 100.0 + awaited_streams.RETURN_S
    assert awaited.find_until(101.0) == until
    assert not awaited.list_engines(until)


def test_waiting_ends_once_all_are_back_each_counted_once() -> None:
    """Guards against a client that retries and ends the wait of others."""
    awaited = _begin({"v1": 2})
    awaited.record_return("r1")
    awaited.record_return("r1")
    assert awaited.list_engines(101.0)
    awaited.record_return("r2")
    assert not awaited.list_engines(101.0)


def test_streams_are_awaited_only_once_and_only_after_a_start() -> None:
    """Guards against records that are read again, and a wait without end."""
    awaited = _begin({"v1": 1})
    awaited.record_return("r1")
    assert not awaited.begin({"v1": 5}, ENGINES, 101.0)
    late = awaited_streams.AwaitedStreams(100.0)
    after = 100.0 + awaited_streams.RETURN_S
    assert not late.begin({"v1": 5}, ENGINES, after)
