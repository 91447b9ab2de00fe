"""Tracks gateways with their connections, requests and grants.

A grant in use survives a lost connection: the gateway announces it again when
it reconnects.
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
"""A reply need not list grants sent this shortly before its query."""


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedRequest:
    """A gateway's request, waiting or granted.

    Attributes:
        cell: The cell that serves it.
        since: When it was submitted, granted or last announced.
        fingerprint: Hash of the request's content; empty if unknown.
        alone: Whether it was granted to run exclusively on its upstream.
    """

    cell: rows.CellId
    since: float
    fingerprint: str = ""
    alone: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """One gateway, connected or recently disconnected.

    Attributes:
        instance: Instance id.
        incarnation: Its incarnation.
        outbox: Messages to send; None while it is not connected.
        changed_at: When its connection was last opened or lost.
        waiting: Requests without a grant, by request id.
        grants: Grants, by grant id.
    """

    instance: str
    incarnation: str
    outbox: outbox_module.Outbox | None = None
    changed_at: float = 0.0
    waiting: dict[str, TrackedRequest] = dataclasses.field(default_factory=dict)
    grants: dict[str, TrackedRequest] = dataclasses.field(default_factory=dict)

    def send(self, message: messages.Message) -> bool:
        """Queues a message; returns whether it was accepted."""
        return self.outbox is not None and self.outbox.put(message)


class ReleaseListener(Protocol):
    """Receives the ends of gateways' requests and grants."""

    def withdraw(self, cell: rows.CellId, request_id: str) -> None:
        """Removes a request that its gateway no longer waits for."""

    def end_grant(
        self, cell: rows.CellId, release: messages.GrantRelease
    ) -> None:
        """Ends a grant that its gateway no longer uses."""


class Gateways:
    """Registry of this scheduler's gateways.

    Attributes:
        confirmations: Epochs for which each gateway has reported its grants.
    """

    def __init__(
        self,
        settings: scheduler_settings.LimitSettings,
        listener: ReleaseListener,
    ) -> None:
        """Initializes an empty registry."""
        self.confirmations = confirmations.Confirmations()
        self._settings = settings
        self._listener = listener
        self._gateways: dict[str, Gateway] = {}
        self._queries: dict[str, _Query] = {}

    def connect(
        self, hello: messages.Hello, outbox: outbox_module.Outbox, now: float
    ) -> Gateway:
        """Records a connection; removes an earlier incarnation."""
        gateway = self._gateways.get(hello.instance)
        if gateway is not None and gateway.incarnation != hello.incarnation:
            self._remove(gateway)
            gateway = None
        if gateway is None:
            gateway = Gateway(
                instance=hello.instance, incarnation=hello.incarnation
            )
            self._gateways[hello.instance] = gateway
        self.confirmations.record_start(hello.instance, hello.incarnation)
        gateway.outbox = outbox
        gateway.changed_at = now
        return gateway

    def disconnect(
        self, gateway: Gateway, outbox: outbox_module.Outbox, now: float
    ) -> None:
        """Records the loss of a connection, unless a newer one is open."""
        if gateway.outbox is outbox:
            gateway.outbox = None
            gateway.changed_at = now
        for query in self._queries.values():
            query.add_reply(gateway.instance, ())

    def list_connected(self) -> list[Gateway]:
        """Returns the connected gateways."""
        return [g for g in self._gateways.values() if g.outbox is not None]

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to every connected gateway."""
        for gateway in self.list_connected():
            gateway.send(message)

    def make_query(
        self, cell: rows.CellId, epochs: dict[str, int]
    ) -> messages.OutstandingQuery:
        """Returns a query for a cell's grants in use."""
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

        Waits for replies up to `outstanding_wait_s`. A gateway that is not
        connected announces its grants when it connects.

        Args:
            cell: The cell.
            epochs: Its upstreams' epochs, by instance id.
            names: Gateways to query, by default all that are connected.
        """
        connected = [
            gateway
            for gateway in self.list_connected()
            if names is None or gateway.instance in names
        ]
        message = self.make_query(cell, epochs)
        query_id = message.query_id
        pending = {gateway.instance for gateway in connected}
        query = _Query(pending, anyio.current_time(), epochs)
        self._queries[query_id] = query
        for gateway in connected:
            if not gateway.send(message):
                query.add_reply(gateway.instance, ())
        with anyio.move_on_after(self._settings.outstanding_wait_s):
            await query.completed.wait()
        del self._queries[query_id]
        return query.grants

    def apply_reply(
        self,
        gateway: Gateway,
        reply: messages.OutstandingReply,
        now: float,
    ) -> None:
        """Applies a gateway's reply, or its announcement on connecting."""
        cell = rows.CellId(reply.pool, reply.zone)
        query = self._queries.get(reply.query_id)
        if query is not None:
            cutoff = query.sent_at - REPLY_MARGIN_S
            self._end_unknown(gateway, cell, reply, cutoff)
            query.add_reply(gateway.instance, reply.grants)
            self.confirmations.record_response(
                gateway.instance, gateway.incarnation, query.epochs
            )
        for grant in reply.grants:
            tracked = gateway.grants.get(
                grant.grant_id, TrackedRequest(cell, now)
            )
            gateway.grants[grant.grant_id] = dataclasses.replace(
                tracked, cell=cell, since=now
            )

    def end_abandoned(self, now: float) -> None:
        """Ends requests and grants not announced within the grace periods."""
        for gateway in list(self._gateways.values()):
            unchanged_s = now - gateway.changed_at
            is_disconnected = gateway.outbox is None
            if unchanged_s >= self._settings.withdraw_grace_s:
                self._withdraw_before(gateway, gateway.changed_at)
                if not is_disconnected:
                    self._end_before(gateway, gateway.changed_at)
            if is_disconnected and unchanged_s >= self._settings.grant_grace_s:
                self._remove(gateway)

    def _end_unknown(
        self,
        gateway: Gateway,
        cell: rows.CellId,
        reply: messages.OutstandingReply,
        cutoff: float,
    ) -> None:
        """Ends grants from before `cutoff` that the reply does not list."""
        named = {grant.grant_id for grant in reply.grants}
        for grant_id, tracked in list(gateway.grants.items()):
            if (
                tracked.cell != cell
                or tracked.since >= cutoff
                or grant_id in named
            ):
                continue
            del gateway.grants[grant_id]
            release = messages.GrantRelease(request_id="", grant_id=grant_id)
            self._listener.end_grant(cell, release)

    def _withdraw_before(self, gateway: Gateway, cutoff: float) -> None:
        for request_id, tracked in list(gateway.waiting.items()):
            if tracked.since < cutoff:
                del gateway.waiting[request_id]
                self._listener.withdraw(tracked.cell, request_id)

    def _end_before(self, gateway: Gateway, cutoff: float) -> None:
        for grant_id, tracked in list(gateway.grants.items()):
            if tracked.since < cutoff:
                del gateway.grants[grant_id]
                release = messages.GrantRelease(
                    request_id="", grant_id=grant_id
                )
                self._listener.end_grant(tracked.cell, release)

    def _remove(self, gateway: Gateway) -> None:
        self._withdraw_before(gateway, float("inf"))
        self._end_before(gateway, float("inf"))
        if self._gateways.get(gateway.instance) is gateway:
            del self._gateways[gateway.instance]


class _Query:
    """Collects the gateways' replies to one query."""

    __slots__ = ("_pending", "completed", "epochs", "grants", "sent_at")

    def __init__(
        self, pending: set[str], sent_at: float, epochs: dict[str, int]
    ) -> None:
        self._pending = pending
        self.epochs = epochs
        self.sent_at = sent_at
        self.grants: list[messages.OutstandingGrant] = []
        self.completed = anyio.Event()
        if not pending:
            self.completed.set()

    def add_reply(
        self, instance: str, grants: Iterable[messages.OutstandingGrant]
    ) -> None:
        if instance not in self._pending:
            return
        self._pending.discard(instance)
        self.grants.extend(grants)
        if not self._pending:
            self.completed.set()
