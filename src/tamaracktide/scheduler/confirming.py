"""Asks all listed gateways for their grants after a takeover."""

import anyio

from tamaracktide.core import rows
from tamaracktide.protocol import messages
from tamaracktide.scheduler import gateways as gateways_module
from tamaracktide.scheduler import peers as peers_module
from tamaracktide.scheduler import settings as scheduler_settings


class Confirmer:
    """Knows which gateways have not answered yet, and asks them."""

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        gateways: gateways_module.Gateways,
        peers: peers_module.Peers,
    ) -> None:
        """Asks nobody before `ask`."""
        self._settings = settings
        self._gateways = gateways
        self._peers = peers

    def list_missing(self, upstream: str, epoch: int) -> list[str]:
        """Returns the gateways that have not answered for an epoch.

        Those of the instance list count, and those that are connected.
        """
        return self._gateways.confirmations.list_missing(
            upstream, epoch, self._list_gateways()
        )

    async def ask(
        self, cell: rows.CellId, epochs: dict[str, int]
    ) -> list[messages.OutstandingGrant]:
        """Asks those that have not answered; returns their grants in use.

        The grants must be adopted before the next `list_missing`, without
        an await between.
        """
        missing = {
            gateway
            for upstream, epoch in epochs.items()
            for gateway in self.list_missing(upstream, epoch)
        }
        linked = {one.instance for one in self._gateways.list_connected()}
        found: list[messages.OutstandingGrant] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._ask_linked, cell, epochs, missing & linked, found
            )
            for gateway in sorted(missing - linked):
                tasks.start_soon(self._ask_far, gateway, cell, epochs, found)
        return found

    async def _ask_linked(
        self,
        cell: rows.CellId,
        epochs: dict[str, int],
        names: set[str],
        found: list[messages.OutstandingGrant],
    ) -> None:
        found.extend(await self._gateways.collect(cell, epochs, names))

    async def _ask_far(
        self,
        gateway: str,
        cell: rows.CellId,
        epochs: dict[str, int],
        found: list[messages.OutstandingGrant],
    ) -> None:
        query = self._gateways.make_query(cell, epochs)
        answer = await self._peers.ask_gateway(gateway, query)
        if answer is None:
            return
        found.extend(answer.reply.grants)
        self._gateways.confirmations.record_answer(
            gateway, answer.incarnation, epochs
        )

    def forget_gone(self) -> None:
        """Forgets the answers of gateways that are listed no longer."""
        self._gateways.confirmations.keep_only(self._list_gateways())

    def _list_gateways(self) -> set[str]:
        listed = self._peers.membership.list_role(gateways_module.ROLE)
        linked = self._gateways.list_connected()
        names = {one.instance for one in listed}
        return names | {one.instance for one in linked}
