"""The grants that the gateway has in use."""

from collections.abc import Collection
import dataclasses

from tamaracktide.core import rows
from tamaracktide.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A place on an engine that this gateway may use.

    Attributes:
        cell: The cell of the engine.
        scheduler: Instance id of the scheduler that gave it.
        customer: Customer that it is accounted to.
        reply: The scheduler's reply.
    """

    cell: rows.CellId
    scheduler: str
    customer: str
    reply: messages.GrantReply


class GrantTable:
    """Grants in use, by grant id."""

    __slots__ = ("_grants",)

    def __init__(self) -> None:
        """Starts without grants."""
        self._grants: dict[str, Grant] = {}

    def __len__(self) -> int:
        """Returns the count of grants in use."""
        return len(self._grants)

    def add(self, grant: Grant) -> None:
        """Keeps a grant from its arrival on."""
        self._grants[grant.reply.grant_id] = grant

    def remove(self, grant: Grant) -> None:
        """Forgets a grant that ended."""
        self._grants.pop(grant.reply.grant_id, None)

    def list_cells(self, scheduler: str) -> set[rows.CellId]:
        """Returns the cells in which a scheduler's grants are in use."""
        return {
            grant.cell
            for grant in self._grants.values()
            if grant.scheduler == scheduler
        }

    def make_reply(
        self,
        cell: rows.CellId,
        query_id: str,
        upstreams: Collection[str] = (),
    ) -> messages.OutstandingReply:
        """Returns the grants of a cell, whoever gave them.

        Args:
            cell: The cell.
            query_id: The query that is answered, empty for none.
            upstreams: Further upstreams, which may have changed their pool.
        """
        return messages.OutstandingReply(
            query_id=query_id,
            pool=cell.pool,
            zone=cell.zone,
            grants=tuple(
                messages.OutstandingGrant(
                    request_id=grant.reply.request_id,
                    grant_id=grant.reply.grant_id,
                    upstream=grant.reply.upstream,
                    lora_name=grant.reply.lora_name,
                    customer=grant.customer,
                )
                for grant in self._grants.values()
                if grant.cell == cell or grant.reply.upstream in upstreams
            ),
        )
