"""Tracked state of the engines: their models and adapters.

Engines report their state in the store with a delay of some seconds; the
holder of the cell's lease announces changes at once. Within one incarnation of
an engine, a recent notice takes precedence over the entry in the store, and a
notice with fewer accepted orders than the tracked state is ignored.
"""

import dataclasses
import math

from tamaracktide.core import upstream_entries
from tamaracktide.protocol import entry_messages

NOTICE_PRECEDENCE_S = 3.0
"""Time for which a notice of the lease holder takes precedence over the
engine's entry in the store, which is older by up to a heartbeat and a watch."""


@dataclasses.dataclass(slots=True)
class AdapterView:
    """Tracked state of an adapter on an engine.

    Attributes:
        version: Its version; 0 if unknown.
        ready_at: When it can be used, seconds.
    """

    version: int
    ready_at: float = 0.0


@dataclasses.dataclass(slots=True)
class EngineView:
    """Tracked state of an engine.

    Attributes:
        started_ms: Start time of the engine, which identifies its incarnation.
        orders: Number of orders that it has accepted.
        reported_at: When the lease holder last announced this state, seconds.
        models: Adapters by model.
    """

    started_ms: int = 0
    orders: int = -1
    reported_at: float = float("-inf")
    models: dict[str, dict[str, AdapterView]] = dataclasses.field(
        default_factory=dict
    )


class EngineViews:
    """Tracked states of all engines by instance id."""

    def __init__(self) -> None:
        """Starts without engines."""
        self._views: dict[str, EngineView] = {}
        self._deferred: dict[str, upstream_entries.UpstreamEntry] = {}

    def find(self, upstream: str) -> EngineView:
        """Returns the view of an engine, an empty one for an unknown engine."""
        return self._views.setdefault(upstream, EngineView())

    def apply_entry(
        self, entry: upstream_entries.UpstreamEntry, now: float
    ) -> None:
        """Applies an engine's entry in the store.

        An entry that a recent notice takes precedence over is deferred.
        """
        view = self.find(entry.upstream)
        is_notice_recent = now < view.reported_at + NOTICE_PRECEDENCE_S
        self._deferred.pop(entry.upstream, None)
        if entry.started_ms < view.started_ms:
            return
        if entry.started_ms == view.started_ms and is_notice_recent:
            self._deferred[entry.upstream] = entry
            return
        self._views[entry.upstream] = EngineView(
            entry.started_ms,
            entry.orders,
            models={
                model: {
                    adapter: AdapterView(version)
                    for adapter, version in adapters.items()
                }
                for model, adapters in entry.models.items()
            },
        )

    def apply_deferred(self, now: float) -> list[str]:
        """Applies the entries whose notice no longer takes precedence.

        Returns:
            The engines that they belong to.
        """
        due = [
            entry
            for name, entry in self._deferred.items()
            if now >= self.find(name).reported_at + NOTICE_PRECEDENCE_S
        ]
        for entry in due:
            self.apply_entry(entry, now)
        return [entry.upstream for entry in due]

    def apply_notice(
        self, notice: entry_messages.EngineNotice, now: float
    ) -> None:
        """Applies a notice of the lease holder of the engine's cell."""
        view = self.find(notice.upstream)
        if (notice.started_ms, notice.orders) < (view.started_ms, view.orders):
            return
        models = {
            model: {
                adapter: AdapterView(
                    state.version,
                    now + state.ready_in_ms / 1000
                    if state.ready_in_ms
                    else 0.0,
                )
                for adapter, state in adapters.items()
            }
            for model, adapters in notice.models.items()
        }
        self._views[notice.upstream] = EngineView(
            notice.started_ms, notice.orders, now, models
        )

    def make_notice(
        self, upstream: str, now: float
    ) -> entry_messages.EngineNotice | None:
        """Returns a notice that passes on the state of an engine.

        Returns:
            The notice, None if no lease holder has announced the state.
        """
        view = self._views.get(upstream)
        if view is None or view.reported_at == float("-inf"):
            return None
        return entry_messages.EngineNotice(
            upstream=upstream,
            started_ms=view.started_ms,
            orders=view.orders,
            models={
                model: {
                    adapter: make_state(
                        adapter_view.version, adapter_view.ready_at, now
                    )
                    for adapter, adapter_view in adapters.items()
                }
                for model, adapters in view.models.items()
            },
        )

    def list_notices(self, now: float) -> list[entry_messages.EngineNotice]:
        """Returns the notices of all engines whose state was announced."""
        notices = (self.make_notice(upstream, now) for upstream in self._views)
        return [notice for notice in notices if notice is not None]

    def forget(self, upstream: str) -> None:
        """Drops the view of an engine that was removed."""
        self._views.pop(upstream, None)
        self._deferred.pop(upstream, None)


def make_state(
    version: int, ready_at: float, now: float
) -> entry_messages.AdapterState:
    """Returns the state of an adapter for a notice."""
    ready_in_s = max(0.0, ready_at - now)
    return entry_messages.AdapterState(version, math.ceil(ready_in_s * 1000))
