"""Tests of the tracked states of engines."""

from tamaracktide.core import upstream_entries
from tamaracktide.entry import engine_views
from tamaracktide.protocol import entry_messages


def make_entry(orders: int) -> upstream_entries.UpstreamEntry:
    """Returns the entry of an engine that has its model."""
    return upstream_entries.UpstreamEntry(
        upstream="e1",
        service="llm",
        address="127.0.0.1:1",
        zone="z1",
        batch_limit=8,
        started_ms=5,
        orders=orders,
        models={"m": {"a": 1}},
    )


def test_entry_behind_a_recent_notice_applies_when_it_has_lapsed() -> None:
    """Load pattern: an engine restarts empty and loads its model.

    Its entry names the model once, right after a notice of the lease holder,
    and does not change again. Guards against excluding the engine for good.
    """
    views = engine_views.EngineViews()
    notice = entry_messages.EngineNotice(
        upstream="e1", started_ms=5, orders=1, models={}
    )
    views.apply_notice(notice, 10.0)
    views.apply_entry(make_entry(1), 11.0)
    assert not views.find("e1").models
    assert views.apply_deferred(12.0) == []
    lapsed_at = 10.0 + engine_views.NOTICE_PRECEDENCE_S
    assert views.apply_deferred(lapsed_at) == ["e1"]
    assert views.find("e1").models.keys() == {"m"}
    assert views.apply_deferred(lapsed_at + 1) == []


def test_later_notice_defers_an_entry_further() -> None:
    """Only the newest entry is applied, once no notice is recent."""
    views = engine_views.EngineViews()
    notice = entry_messages.EngineNotice(
        upstream="e1", started_ms=5, orders=1, models={}
    )
    views.apply_notice(notice, 10.0)
    views.apply_entry(make_entry(1), 11.0)
    views.apply_notice(notice, 12.0)
    assert views.apply_deferred(13.5) == []
    views.apply_entry(make_entry(2), 13.6)
    assert views.apply_deferred(15.0) == ["e1"]
    assert views.find("e1").orders == 2
