"""Tests of the detection of requests that crash upstreams.

A request is refused once the upstreams that ran it have restarted.
"""

import pytest

from tamaracktide.core import upstream_entries
from tamaracktide.entry import crashes

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The entry instance runs on asyncio."""
    return "asyncio"


def _make_entry(name: str, started_ms: int) -> upstream_entries.UpstreamEntry:
    return upstream_entries.UpstreamEntry(
        upstream=name,
        service="s",
        address="10.0.0.1:80",
        zone="z1",
        batch_limit=8,
        started_ms=started_ms,
    )


async def _crash(
    tracker: crashes.CrashTracker, fingerprint: str, name: str
) -> None:
    tracker.record_loss(fingerprint, _make_entry(name, 1))
    tracker.check({name: _make_entry(name, 2)})


async def test_request_is_quarantined_after_three_lost_upstreams() -> None:
    """The third restart quarantines the request, at peers as well."""
    tracker, peer = crashes.CrashTracker(), crashes.CrashTracker()
    for name in ("a", "b"):
        await _crash(tracker, "bad", name)
        assert not tracker.is_refused("bad")
    await _crash(tracker, "bad", "c")
    assert tracker.is_refused("bad")
    peer.apply_quarantined(tracker.list_announced())
    assert peer.is_refused("bad")


async def test_lost_responses_without_restart_quarantine_no_request() -> None:
    """Lost responses without a restart of the upstream are no crashes."""
    tracker = crashes.CrashTracker()
    entries = {name: _make_entry(name, 1) for name in "abcdef"}
    for entry in entries.values():
        tracker.record_loss("good", entry)
        tracker.check(entries)
    assert not tracker.is_refused("good")


async def test_refused_request_stays_refused_after_further_losses() -> None:
    """A refused request can still run elsewhere and cause further losses.

    Such losses once violated an invariant check.
    """
    tracker = crashes.CrashTracker()
    for name in "abcde":
        await _crash(tracker, "bad", name)
    assert tracker.is_refused("bad")


async def test_completion_clears_a_request() -> None:
    """A request that ran during a crash and completes later is cleared."""
    tracker = crashes.CrashTracker()
    for name in ("a", "b"):
        await _crash(tracker, "good", name)
    tracker.record_completion("good")
    await _crash(tracker, "good", "c")
    assert not tracker.is_refused("good")
