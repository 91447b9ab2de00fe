"""Builds snapshots of the tracked state of upstreams for the cells."""

from collections.abc import Callable
import functools
import math

from tamaracktide.core import cell_events
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import engine_views

CROSS_ZONE_COST_S = 0.02
"""Cost of an upstream in another zone: the network round trip takes 3 ms, and
the traffic costs as much as a hundredth of a response."""

MAX_CACHED_KEYS = 16_384
"""Keys of adapters that are kept; more than all engines of a service hold."""


class SnapshotBuilder:
    """Combines store entries, engine views and the requests of peers."""

    __slots__ = (
        "_count_running",
        "_find_version",
        "_views",
        "_zone",
        "is_orderable",
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
        """Builds a snapshot builder for all services.

        Args:
            zone: The instance's availability zone.
            views: Tracked states of the engines.
            list_entries: Returns the upstreams of a service.
            find_version: Returns the announced version of an adapter, 0 if
                none.
            count_running: Returns the requests of peers on an upstream, by
                adapter.
            is_orderable: Returns whether any instance is allowed to order
                loads in a zone of a service.
        """
        self.list_entries = list_entries
        self._zone = zone
        self._views = views
        self._find_version = find_version
        self._count_running = count_running
        self.is_orderable = is_orderable

    def has_model(self, upstream: str) -> bool:
        """Whether an engine has a base model."""
        return bool(self._views.find(upstream).models)

    def make_snapshot(
        self,
        service: routing_document.Service,
        entry: upstream_entries.UpstreamEntry,
        own: dict[str, int],
        accepts_loads: bool,
        now: float,
    ) -> cell_events.UpstreamSnapshot:
        """Returns a snapshot of an upstream.

        Args:
            service: The upstream's service.
            entry: The upstream's entry in the store.
            own: Requests of this instance on the upstream, by adapter.
            accepts_loads: Whether any instance may order loads on it now.
            now: Current time, seconds.
        """
        counts = dict(self._count_running(entry.upstream))
        for name, count in own.items():
            counts[name] = counts.get(name, 0) + count
        loaded = self._list_loaded(service, entry, counts, now)
        engine = service.engine
        # The resident model or service counts as a slot in use, so that it is
        # never evicted.
        resident = sum(
            loaded_adapter.key.version == "" and loaded_adapter.running
            for loaded_adapter in loaded[:1]
        )
        slots = engine.adapter_slots if engine else 0
        return cell_events.UpstreamSnapshot(
            upstream=entry.upstream,
            incarnation=str(entry.started_ms),
            slots=slots + 1,
            batch_limit=max(1, entry.batch_limit) + bool(resident),
            loaded=tuple(loaded),
            running=sum(loaded_adapter.running for loaded_adapter in loaded),
            distance_s=CROSS_ZONE_COST_S * (entry.zone != self._zone),
            accepts_loads=accepts_loads,
        )

    def _list_loaded(
        self,
        service: routing_document.Service,
        entry: upstream_entries.UpstreamEntry,
        counts: dict[str, int],
        now: float,
    ) -> list[cell_events.LoadedAdapter]:
        if service.engine is None:
            return [_make_resident(service.name, counts.get(service.name, 0))]
        loaded: list[cell_events.LoadedAdapter] = []
        view = self._views.find(entry.upstream)
        if view.started_ms < entry.started_ms:
            return loaded
        for model, adapters in view.models.items():
            loaded.append(_make_resident(model, counts.get(model, 0)))
            for adapter, adapter_view in adapters.items():
                key = self._find_key(model, adapter, adapter_view)
                loaded.append(
                    cell_events.LoadedAdapter(
                        lora_name=key.text,
                        key=key,
                        running=counts.get(key.adapter, 0),
                        ready=adapter_view.ready_at <= now,
                    )
                )
        return loaded

    def _find_key(
        self,
        model: str,
        adapter: str,
        adapter_view: engine_views.AdapterView,
    ) -> rows.AdapterKey:
        announced = self._find_version(model, adapter)
        version = _name_version(adapter_view.version, announced)
        return _make_key(model, adapter, version)

    def list_ready(self, upstream: str, now: float) -> list[str]:
        """Returns the slots of an engine whose load has ended by now."""
        return [
            self._find_key(model, adapter, adapter_view).text
            for model, adapters in self._views.find(upstream).models.items()
            for adapter, adapter_view in adapters.items()
            if 0.0 < adapter_view.ready_at <= now
        ]

    def find_next_ready(self, upstream: str, now: float) -> float:
        """Returns when an adapter of an engine is ready next, or infinity."""
        return min(
            (
                adapter_view.ready_at
                for adapters in self._views.find(upstream).models.values()
                for adapter_view in adapters.values()
                if adapter_view.ready_at > now
            ),
            default=math.inf,
        )


@functools.lru_cache(maxsize=MAX_CACHED_KEYS)
def _make_key(model: str, adapter: str, version: str) -> rows.AdapterKey:
    return rows.AdapterKey(f"{model}/{adapter}", version)


def _make_resident(name: str, running: int) -> cell_events.LoadedAdapter:
    """Returns a resident model or service, pinned by an extra request."""
    return cell_events.LoadedAdapter(
        lora_name=f"{name}@", key=rows.AdapterKey(name, ""), running=running + 1
    )


def _name_version(loaded_version: int, announced: int) -> str:
    """Returns the version in an adapter's key.

    An adapter without an announced version has the same key at any version.
    """
    if not announced:
        return ""
    return (
        str(announced)
        if loaded_version >= announced
        else f"old-{loaded_version}"
    )
