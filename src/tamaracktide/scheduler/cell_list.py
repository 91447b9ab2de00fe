"""Lists the cells of the deployment."""

from tamaracktide.core import rows
from tamaracktide.scheduler import peers as peers_module
from tamaracktide.tables import follower as tables_follower


class CellList:
    """The cells that the current tables and instance list define."""

    __slots__ = ("_cells", "_follower", "_peers", "_versions")

    def __init__(
        self, follower: tables_follower.Follower, peers: peers_module.Peers
    ) -> None:
        """Creates an empty list."""
        self._follower = follower
        self._peers = peers
        self._cells: frozenset[rows.CellId] = frozenset()
        self._versions = (-1, -1)

    def read(self) -> frozenset[rows.CellId]:
        """Returns the cells, recomputed only if tables or instances changed."""
        tables = self._follower.tables
        version = self._peers.directory.listing.version
        if self._versions != (tables.revision, version):
            self._versions = (tables.revision, version)
            membership = self._peers.membership
            self._cells = frozenset(
                cell
                for pool in tables.pools.values()
                if pool.kind is rows.UpstreamKind.ENGINE
                for cell in membership.list_cells(pool)
            )
        return self._cells
