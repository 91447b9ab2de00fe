"""A request is refused once the upstreams that ran it started again."""

import pytest

from tamaracktide.core import upstream_entries
from tamaracktide.entry import crashes

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
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
    known: crashes.CrashTracker, fingerprint: str, name: str
) -> None:
    known.record_loss(fingerprint, _make_entry(name, 1))
    known.check({name: _make_entry(name, 2)})


async def test_three_lost_upstreams_refuse_a_request_everywhere() -> None:
    """The third upstream that starts again settles it, for peers too."""
    known, peer = crashes.CrashTracker(), crashes.CrashTracker()
    for name in ("a", "b"):
        await _crash(known, "bad", name)
        assert not known.is_refused("bad")
    await _crash(known, "bad", "c")
    assert known.is_refused("bad")
    peer.apply_quarantined(known.list_announced())
    assert peer.is_refused("bad")


async def test_lost_answers_alone_refuse_nothing() -> None:
    """A day on which answers get lost crashes no upstream."""
    known = crashes.CrashTracker()
    entries = {name: _make_entry(name, 1) for name in "abcdef"}
    for entry in entries.values():
        known.record_loss("good", entry)
        known.check(entries)
    assert not known.is_refused("good")


async def test_further_losses_of_a_refused_request_change_nothing() -> None:
    """It may still run elsewhere when it is refused; that broke a check."""
    known = crashes.CrashTracker()
    for name in "abcde":
        await _crash(known, "bad", name)
    assert known.is_refused("bad")


async def test_completion_clears_a_request() -> None:
    """One that ran beside a crash and completes later is innocent."""
    known = crashes.CrashTracker()
    for name in ("a", "b"):
        await _crash(known, "good", name)
    known.record_completion("good")
    await _crash(known, "good", "c")
    assert not known.is_refused("good")
