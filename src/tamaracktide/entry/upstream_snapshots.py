"""What an instance believes of the upstreams, in the terms of a cell."""

from collections.abc import Callable
import math

from tamaracktide.core import cell_events
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import engine_views

FAR_COST_S = 0.02
"""Cost of an upstream in another zone: the way there and back takes 3 ms,
and its bytes are priced like a hundredth of an answer."""


class SnapshotBuilder:
    """Joins entries, views, and what other instances run."""

    __slots__ = (
        "_count_running",
        "_find_version",
        "_is_orderable",
        "_views",
        "_zone",
        "list_entries",
    )

    def __init__(
        self,
        zone: str,
        views: engine_views.EngineViews,
        list_entries: Callable[[str], list[upstream_entries.UpstreamEntry]],
        find_version: Callable[[str, str], int],
        count_running: Callable[[str], dict[str, int]],
        is_orderable: Callable[[str, str], bool],
    ) -> None:
        """Builds a reader for all services.

        Args:
            zone: The instance's availability zone.
            views: What engines hold.
            list_entries: Returns the upstreams of a service.
            find_version: Returns the announced version of an adapter, 0 if
                none.
            count_running: Returns what others run on an upstream, by adapter.
            is_orderable: Whether somebody may order loads in a zone of a
                service.
        """
        self.list_entries = list_entries
        self._zone = zone
        self._views = views
        self._find_version = find_version
        self._count_running = count_running
        self._is_orderable = is_orderable

    def has_model(self, upstream: str) -> bool:
        """Whether an engine has a base model."""
        return bool(self._views.find(upstream).models)

    def make_snapshot(
        self,
        service: routing_document.Service,
        entry: upstream_entries.UpstreamEntry,
        own: dict[str, int],
        now: float,
    ) -> cell_events.UpstreamSnapshot:
        """Returns the state of an upstream, with own requests by adapter."""
        counts = dict(self._count_running(entry.upstream))
        for name, count in own.items():
            counts[name] = counts.get(name, 0) + count
        loaded = self._list_loaded(service, entry, counts, now)
        engine = service.engine
        # What is always there is a slot in use, so that it is never evicted.
        kept = sum(one.key.version == "" and one.running for one in loaded[:1])
        slots = engine.adapter_slots if engine else 0
        return cell_events.UpstreamSnapshot(
            upstream=entry.upstream,
            incarnation=str(entry.started_ms),
            slots=slots + 1,
            batch_limit=max(1, entry.batch_limit) + bool(kept),
            loaded=tuple(loaded),
            running=sum(one.running for one in loaded),
            distance_s=FAR_COST_S * (entry.zone != self._zone),
            accepts_loads=self._is_orderable(service.name, entry.zone),
        )

    def _list_loaded(
        self,
        service: routing_document.Service,
        entry: upstream_entries.UpstreamEntry,
        counts: dict[str, int],
        now: float,
    ) -> list[cell_events.LoadedAdapter]:
        if service.engine is None:
            return [_make_kept(service.name, counts.get(service.name, 0))]
        loaded: list[cell_events.LoadedAdapter] = []
        view = self._views.find(entry.upstream)
        if view.started_ms < entry.started_ms:
            return loaded
        for model, adapters in view.models.items():
            loaded.append(_make_kept(model, counts.get(model, 0)))
            for adapter, held in adapters.items():
                name = f"{model}/{adapter}"
                announced = self._find_version(model, adapter)
                version = _name_version(held.version, announced)
                loaded.append(
                    cell_events.LoadedAdapter(
                        lora_name=f"{name}@{version}",
                        key=rows.AdapterKey(name, version),
                        running=counts.get(name, 0),
                        ready=held.ready_at <= now,
                    )
                )
        return loaded

    def find_next_ready(self, upstream: str, now: float) -> float:
        """Returns when an adapter of an engine is ready next, or infinity."""
        return min(
            (
                held.ready_at
                for adapters in self._views.find(upstream).models.values()
                for held in adapters.values()
                if held.ready_at > now
            ),
            default=math.inf,
        )


def _make_kept(name: str, running: int) -> cell_events.LoadedAdapter:
    """Returns what an upstream always has, held by one more request."""
    return cell_events.LoadedAdapter(
        lora_name=f"{name}@", key=rows.AdapterKey(name, ""), running=running + 1
    )


def _name_version(held: int, announced: int) -> str:
    """Returns the version that an adapter's key names.

    An adapter without an announced version has one key at any version.
    """
    if not announced:
        return ""
    return str(announced) if held >= announced else f"old-{held}"
