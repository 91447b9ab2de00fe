"""The grants that the gateway uses."""

from collections.abc import Collection
import dataclasses

from tamaracktide.core import rows
from tamaracktide.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A batch slot of an engine that this gateway may use.

    Attributes:
        cell: Cell of the engine.
        scheduler: Instance id of the scheduler that issued the grant.
        customer: Customer that the grant is charged to.
        reply: Reply of the scheduler.
    """

    cell: rows.CellId
    scheduler: str
    customer: str
    reply: messages.GrantReply


class GrantTable:
    """Grants in use, by grant id."""

    __slots__ = ("_grants",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self._grants: dict[str, Grant] = {}

    def __len__(self) -> int:
        """Returns the number of grants in use."""
        return len(self._grants)

    def add(self, grant: Grant) -> None:
        """Adds a grant when it arrives."""
        self._grants[grant.reply.grant_id] = grant

    def remove(self, grant: Grant) -> None:
        """Removes a grant that has ended."""
        self._grants.pop(grant.reply.grant_id, None)

    def list_cells(self, scheduler: str) -> set[rows.CellId]:
        """Returns the cells in which grants of a scheduler are in use."""
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
        """Returns a reply with the grants of a cell from all schedulers.

        Args:
            cell: The cell.
            query_id: Id of the query; empty for an unsolicited report.
            upstreams: Additional upstreams to include, as an upstream may
                have moved to another pool since the grant was issued.
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
