"""The gateways: their connections, and which requests and grants are theirs.

A grant in use survives a lost connection: the gateway announces it again.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import Protocol
import uuid

import anyio

from tamaracktide.core import confirmations
from tamaracktide.core import rows
from tamaracktide.protocol import messages
from tamaracktide.protocol import outbox as outbox_module
from tamaracktide.scheduler import settings as scheduler_settings

ROLE = "gateway"
REPLY_MARGIN_S = 2.0
"""A gateway may not count a grant yet that was sent so shortly before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A request or grant of a gateway.

    Attributes:
        cell: The cell that it belongs to.
        since: When it was submitted or granted.
        fingerprint: Hash of the request's content; empty if not known.
        alone: Whether it was granted to run alone on its upstream.
    """

    cell: rows.CellId
    since: float
    fingerprint: str = ""
    alone: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """One gateway, connected or not long ago.

    Attributes:
        instance: Instance id.
        incarnation: Its incarnation.
        outbox: Messages to send; None while it is not connected.
        changed_at: When its connection opened or broke.
        waiting: Requests without a grant, by request id.
        grants: Grants, by grant id.
    """

    instance: str
    incarnation: str
    outbox: outbox_module.Outbox | None = None
    changed_at: float = 0.0
    waiting: dict[str, Held] = dataclasses.field(default_factory=dict)
    grants: dict[str, Held] = dataclasses.field(default_factory=dict)

    def send(self, message: messages.Message) -> bool:
        """Queues a message; returns False if it can't be sent."""
        return self.outbox is not None and self.outbox.put(message)


class Owner(Protocol):
    """Who is told that requests and grants of a gateway ended."""

    def withdraw(self, cell: rows.CellId, request_id: str) -> None:
        """A request is no longer waited for."""

    def end_grant(
        self, cell: rows.CellId, release: messages.GrantRelease
    ) -> None:
        """A grant is no longer used."""


class Gateways:
    """All gateways that this scheduler knows.

    Attributes:
        confirmations: For which epochs they have told their grants.
    """

    def __init__(
        self, settings: scheduler_settings.LimitSettings, owner: Owner
    ) -> None:
        """Starts without gateways."""
        self.confirmations = confirmations.Confirmations()
        self._settings = settings
        self._owner = owner
        self._gateways: dict[str, Gateway] = {}
        self._queries: dict[str, _Query] = {}

    def connect(
        self, hello: messages.Hello, outbox: outbox_module.Outbox, now: float
    ) -> Gateway:
        """Notes an open connection; an earlier incarnation is forgotten."""
        known = self._gateways.get(hello.instance)
        if known is not None and known.incarnation != hello.incarnation:
            self._forget(known)
            known = None
        if known is None:
            known = Gateway(
                instance=hello.instance, incarnation=hello.incarnation
            )
            self._gateways[hello.instance] = known
        self.confirmations.record_start(hello.instance, hello.incarnation)
        known.outbox = outbox
        known.changed_at = now
        return known

    def disconnect(
        self, gateway: Gateway, outbox: outbox_module.Outbox, now: float
    ) -> None:
        """Notes that a connection broke, unless a newer one is open."""
        if gateway.outbox is outbox:
            gateway.outbox = None
            gateway.changed_at = now
        for query in self._queries.values():
            query.settle(gateway.instance, ())

    def list_connected(self) -> list[Gateway]:
        """Returns the gateways that can be reached."""
        return [g for g in self._gateways.values() if g.outbox is not None]

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to every connected gateway."""
        for gateway in self.list_connected():
            gateway.send(message)

    def make_query(
        self, cell: rows.CellId, epochs: dict[str, int]
    ) -> messages.OutstandingQuery:
        """Returns a query for the grants in use of a cell."""
        return messages.OutstandingQuery(
            query_id=uuid.uuid4().hex,
            pool=cell.pool,
            zone=cell.zone,
            epochs=epochs,
        )

    async def collect(
        self,
        cell: rows.CellId,
        epochs: dict[str, int],
        names: Collection[str] | None = None,
    ) -> list[messages.OutstandingGrant]:
        """Returns the grants of a cell that connected gateways hold.

        Waits for replies no longer than the settings say. A gateway that is
        not connected announces its grants when it connects.

        Args:
            cell: The cell.
            epochs: Its upstreams' epochs, by instance id.
            names: Gateways to ask, by default all that are connected.
        """
        connected = [
            gateway
            for gateway in self.list_connected()
            if names is None or gateway.instance in names
        ]
        message = self.make_query(cell, epochs)
        query_id = message.query_id
        missing = {gateway.instance for gateway in connected}
        query = _Query(missing, anyio.current_time(), epochs)
        self._queries[query_id] = query
        for gateway in connected:
            if not gateway.send(message):
                query.settle(gateway.instance, ())
        with anyio.move_on_after(self._settings.outstanding_wait_s):
            await query.answered.wait()
        del self._queries[query_id]
        return query.grants

    def apply_reply(
        self,
        gateway: Gateway,
        reply: messages.OutstandingReply,
        now: float,
    ) -> None:
        """Takes in a gateway's reply to a query."""
        cell = rows.CellId(reply.pool, reply.zone)
        query = self._queries.get(reply.query_id)
        if query is not None:
            limit = query.sent_at - REPLY_MARGIN_S
            self._end_unknown(gateway, cell, reply, limit)
            query.settle(gateway.instance, reply.grants)
            self.confirmations.record_answer(
                gateway.instance, gateway.incarnation, query.epochs
            )
        for grant in reply.grants:
            known = gateway.grants.get(grant.grant_id, Held(cell, now))
            gateway.grants[grant.grant_id] = dataclasses.replace(
                known, cell=cell, since=now
            )

    def end_abandoned(self, now: float) -> None:
        """Ends what gateways no longer know of, after the grace."""
        for gateway in list(self._gateways.values()):
            silent_s = now - gateway.changed_at
            gone = gateway.outbox is None
            if silent_s >= self._settings.withdraw_grace_s:
                self._withdraw_before(gateway, gateway.changed_at)
                if not gone:
                    self._end_before(gateway, gateway.changed_at)
            if gone and silent_s >= self._settings.grant_grace_s:
                self._forget(gateway)

    def _end_unknown(
        self,
        gateway: Gateway,
        cell: rows.CellId,
        reply: messages.OutstandingReply,
        limit: float,
    ) -> None:
        """Ends older grants that the gateway's reply does not name."""
        named = {grant.grant_id for grant in reply.grants}
        for grant_id, held in list(gateway.grants.items()):
            if held.cell != cell or held.since >= limit or grant_id in named:
                continue
            del gateway.grants[grant_id]
            release = messages.GrantRelease(request_id="", grant_id=grant_id)
            self._owner.end_grant(cell, release)

    def _withdraw_before(self, gateway: Gateway, limit: float) -> None:
        for request_id, held in list(gateway.waiting.items()):
            if held.since < limit:
                del gateway.waiting[request_id]
                self._owner.withdraw(held.cell, request_id)

    def _end_before(self, gateway: Gateway, limit: float) -> None:
        for grant_id, held in list(gateway.grants.items()):
            if held.since < limit:
                del gateway.grants[grant_id]
                release = messages.GrantRelease(
                    request_id="", grant_id=grant_id
                )
                self._owner.end_grant(held.cell, release)

    def _forget(self, gateway: Gateway) -> None:
        self._withdraw_before(gateway, float("inf"))
        self._end_before(gateway, float("inf"))
        if self._gateways.get(gateway.instance) is gateway:
            del self._gateways[gateway.instance]


class _Query:
    """Replies of gateways to one query."""

    __slots__ = ("_missing", "answered", "epochs", "grants", "sent_at")

    def __init__(
        self, missing: set[str], sent_at: float, epochs: dict[str, int]
    ) -> None:
        self._missing = missing
        self.epochs = epochs
        self.sent_at = sent_at
        self.grants: list[messages.OutstandingGrant] = []
        self.answered = anyio.Event()
        if not missing:
            self.answered.set()

    def settle(
        self, instance: str, grants: Iterable[messages.OutstandingGrant]
    ) -> None:
        if instance not in self._missing:
            return
        self._missing.discard(instance)
        self.grants.extend(grants)
        if not self._missing:
            self.answered.set()
