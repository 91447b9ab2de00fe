"""Requests outstanding grants from all gateways after a takeover."""

import anyio

from tamaracktide.core import rows
from tamaracktide.protocol import messages
from tamaracktide.scheduler import gateways as gateways_module
from tamaracktide.scheduler import peers as peers_module
from tamaracktide.scheduler import settings as scheduler_settings


class GrantConfirmer:
    """Queries the gateways that have not yet reported their grants."""

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        gateways: gateways_module.Gateways,
        peers: peers_module.Peers,
    ) -> None:
        """Creates a confirmer; `query_missing` sends the first query."""
        self._settings = settings
        self._gateways = gateways
        self._peers = peers

    def list_missing(self, upstream: str, epoch: int) -> list[str]:
        """Returns the gateways that have not replied for an epoch.

        Covers the gateways in the instance list and the connected ones.
        """
        return self._gateways.confirmations.list_missing(
            upstream, epoch, self._list_gateways()
        )

    async def query_missing(
        self, cell: rows.CellId, epochs: dict[str, int]
    ) -> list[messages.OutstandingGrant]:
        """Queries gateways without a reply; returns their outstanding grants.

        The caller must adopt the grants before the next `list_missing`,
        without an await in between.
        """
        missing = {
            gateway
            for upstream, epoch in epochs.items()
            for gateway in self.list_missing(upstream, epoch)
        }
        connected = {
            gateway.instance for gateway in self._gateways.list_connected()
        }
        found: list[messages.OutstandingGrant] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._query_connected, cell, epochs, missing & connected, found
            )
            for gateway in sorted(missing - connected):
                tasks.start_soon(
                    self._query_unconnected, gateway, cell, epochs, found
                )
        return found

    async def _query_connected(
        self,
        cell: rows.CellId,
        epochs: dict[str, int],
        names: set[str],
        found: list[messages.OutstandingGrant],
    ) -> None:
        found.extend(await self._gateways.collect(cell, epochs, names))

    async def _query_unconnected(
        self,
        gateway: str,
        cell: rows.CellId,
        epochs: dict[str, int],
        found: list[messages.OutstandingGrant],
    ) -> None:
        query = self._gateways.make_query(cell, epochs)
        response = await self._peers.query_gateway(gateway, query)
        if response is None:
            return
        found.extend(response.reply.grants)
        self._gateways.confirmations.record_response(
            gateway, response.incarnation, epochs
        )

    def forget_removed_gateways(self) -> None:
        """Drops the replies of gateways neither listed nor connected."""
        self._gateways.confirmations.keep_only(self._list_gateways())

    def _list_gateways(self) -> set[str]:
        listed = self._peers.membership.list_role(gateways_module.ROLE)
        connected = self._gateways.list_connected()
        names = {member.instance for member in listed}
        return names | {gateway.instance for gateway in connected}
