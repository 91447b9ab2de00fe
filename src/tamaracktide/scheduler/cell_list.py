"""Lists the cells of the deployment."""

from tamaracktide.core import rows
from tamaracktide.scheduler import peers as peers_module
from tamaracktide.tables import follower as tables_follower


class CellList:
    """All cells by the present tables and instance list."""

    __slots__ = ("_cells", "_follower", "_made_from", "_peers")

    def __init__(
        self, follower: tables_follower.Follower, peers: peers_module.Peers
    ) -> None:
        """Starts without cells."""
        self._follower = follower
        self._peers = peers
        self._cells: frozenset[rows.CellId] = frozenset()
        self._made_from = (-1, -1)

    def read(self) -> frozenset[rows.CellId]:
        """Returns the cells; they are found again only after a change."""
        tables = self._follower.tables
        version = self._peers.directory.listing.version
        if self._made_from != (tables.revision, version):
            self._made_from = (tables.revision, version)
            view = self._peers.membership
            self._cells = frozenset(
                cell
                for pool in tables.pools.values()
                if pool.kind is rows.UpstreamKind.ENGINE
                for cell in view.list_cells(pool)
            )
        return self._cells
