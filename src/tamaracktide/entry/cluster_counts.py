"""Totals over all entry instances, from their reports."""

import anyio

from tamaracktide.entry import cluster_state
from tamaracktide.entry import engine_controller
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import service_cell

INSTANCE_EXPIRY_S = 30.0
"""Time after which an instance is no longer counted for the shared retry
budget: after the last contact, or, for a registered instance that was never
contacted, after the start of this instance."""


class ClusterCounts:
    """Adds the counts that peers report to those of this instance.

    Attributes:
        controller: Counts the loads of this instance; None until it is built.
    """

    __slots__ = (
        "_cells",
        "_cluster_state",
        "_peers",
        "_started_at",
        "controller",
    )

    def __init__(
        self,
        peers: entry_peers.Peers,
        state: cluster_state.ClusterState,
        cells: dict[str, service_cell.ServiceCell],
    ) -> None:
        """Starts the period in which registered instances count as well."""
        self.controller: engine_controller.EngineController | None = None
        self._peers = peers
        self._cluster_state = state
        self._cells = cells
        self._started_at = anyio.current_time()

    def count_remote(self, upstream: str) -> dict[str, int]:
        """Returns the requests of peers on an upstream, by adapter."""
        counts: dict[str, int] = {}
        for peer in self._peers.list_linked():
            if peer.report is None:
                continue
            for name, count in peer.report.running.get(upstream, {}).items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def is_in_use(self, upstream: str, name: str) -> bool:
        """Whether a request of any instance uses an adapter on an upstream."""
        if any(
            cell.running.get(upstream, {}).get(name)
            for cell in self._cells.values()
        ):
            return True
        return bool(self.count_remote(upstream).get(name))

    def count_loads(self) -> int:
        """Returns the number of adapters loading on all engines."""
        remote = sum(
            peer.report.loads
            for peer in self._peers.list_linked()
            if peer.report is not None
        )
        own = self.controller.count_loads() if self.controller else 0
        return remote + own

    def count_instances(self) -> int:
        """Returns the number of instances that share the retry budget."""
        contacted_after = anyio.current_time() - INSTANCE_EXPIRY_S
        is_recent = self._started_at > contacted_after
        registered = len(self._cluster_state.instances) if is_recent else 0
        contacted = sum(
            peer.last_contact_at > contacted_after
            for peer in self._peers.known.values()
        )
        return max(1, registered, contacted + 1)
