"""Upstreams that have started, which get few requests at first.

`core.ramps` decides how many.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import anyio

from tamaracktide.core import cell_events
from tamaracktide.core import rendezvous
from tamaracktide.core import upstream_entries
from tamaracktide.observability import logs

LISTING_S = 5.0
"""Time after its start in which an instance reads its first listings."""


class SlowStarts:
    """Started upstreams of one service."""

    __slots__ = (
        "_count_instances",
        "_instance",
        "_listed_at",
        "_min_instances",
        "_upstreams",
    )

    def __init__(
        self,
        instance: str,
        count_instances: Callable[[], int],
        min_instances: int,
    ) -> None:
        """Starts without upstreams.

        Args:
            instance: Id of this instance.
            count_instances: Returns the number of instances.
            min_instances: Number of instances from which on it is in force.
        """
        self._instance = instance
        self._count_instances = count_instances
        self._min_instances = min_instances
        self._upstreams: set[str] = set()
        self._listed_at = anyio.current_time() + LISTING_S

    def __contains__(self, upstream: str) -> bool:
        """Whether an upstream has started while this instance ran."""
        return upstream in self._upstreams

    def forget(self, upstream: str) -> None:
        """Drops an upstream that has left."""
        self._upstreams.discard(upstream)

    def list_started(
        self,
        known: Mapping[str, upstream_entries.UpstreamEntry],
        listed: Mapping[str, upstream_entries.UpstreamEntry],
    ) -> list[upstream_entries.UpstreamEntry]:
        """Returns the listed upstreams that are new or have restarted.

        While this instance reads its first listings, none counts as new.
        """
        if anyio.current_time() < self._listed_at:
            return []
        return [
            entry
            for name, entry in listed.items()
            if name not in known or known[name].started_ms != entry.started_ms
        ]

    def begin(
        self, entries: Iterable[upstream_entries.UpstreamEntry]
    ) -> list[cell_events.CellEvent]:
        """Returns the events that begin the windows of upstreams."""
        instances = self._count_instances()
        if instances < self._min_instances:
            return []
        return [self._begin(entry, instances) for entry in entries]

    def _begin(
        self, entry: upstream_entries.UpstreamEntry, instances: int
    ) -> cell_events.CellEvent:
        self._upstreams.add(entry.upstream)
        rank = rendezvous.find_rank(
            f"{entry.upstream}/{entry.started_ms}", self._instance
        )
        logs.bind(
            upstream=entry.upstream, instances=instances, rank=round(rank, 3)
        ).info("upstream started: requests begin slowly")
        return cell_events.RampStarted(entry.upstream, rank, instances)
