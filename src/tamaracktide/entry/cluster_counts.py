"""What all entry instances do together, as far as it is known here."""

import anyio

from tamaracktide.entry import cluster_state
from tamaracktide.entry import engine_controller
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import service_cell

GONE_INSTANCE_S = 30.0
"""Time after which an instance that was never heard shares no retries."""


class ClusterCounts:
    """Adds the reports of peers to what this instance does.

    Attributes:
        keeper: Knows the own loads; None until it is built.
    """

    __slots__ = ("_cells", "_known", "_peers", "_started_at", "keeper")

    def __init__(
        self,
        peers: entry_peers.Peers,
        known: cluster_state.ClusterState,
        cells: dict[str, service_cell.ServiceCell],
    ) -> None:
        """Starts the time in which instances are still to be heard."""
        self.keeper: engine_controller.EngineController | None = None
        self._peers = peers
        self._known = known
        self._cells = cells
        self._started_at = anyio.current_time()

    def count_remote(self, upstream: str) -> dict[str, int]:
        """Returns what peers run on an upstream, by adapter."""
        counts: dict[str, int] = {}
        for peer in self._peers.list_linked():
            if peer.report is None:
                continue
            for name, count in peer.report.running.get(upstream, {}).items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def is_in_use(self, upstream: str, name: str) -> bool:
        """Whether anybody runs a request with an adapter on an upstream."""
        if any(
            cell.running.get(upstream, {}).get(name)
            for cell in self._cells.values()
        ):
            return True
        return bool(self.count_remote(upstream).get(name))

    def count_loads(self) -> int:
        """Returns the adapters on their way at all engines."""
        others = sum(
            peer.report.loads
            for peer in self._peers.list_linked()
            if peer.report is not None
        )
        own = self.keeper.count_loads() if self.keeper else 0
        return others + own

    def count_instances(self) -> int:
        """Returns among how many instances retries are shared."""
        heard_after = anyio.current_time() - GONE_INSTANCE_S
        young = self._started_at > heard_after
        registered = len(self._known.instances) if young else 0
        heard = sum(
            peer.last_contact_at > heard_after
            for peer in self._peers.known.values()
        )
        return max(1, registered, heard + 1)
