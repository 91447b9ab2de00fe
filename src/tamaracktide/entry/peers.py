"""Links between the entry instances.

`core.relays` decides which instances are relays. A relay has links to all other
relays and accepts links of members; a member has one link, to its relay.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import contextlib
import dataclasses
import random
from typing import Any

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import catch_up
from tamaracktide.core import relays
from tamaracktide.entry import restarts
from tamaracktide.entry import settings as entry_settings
from tamaracktide.observability import logs
from tamaracktide.protocol import client
from tamaracktide.protocol import codec
from tamaracktide.protocol import connection
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import outbox
from tamaracktide.protocol import server
from tamaracktide.protocol import settings as protocol_settings

ROLE = "entry"
REPORT_PERIOD_S = 0.25
"""Time between two reports on a link. Instances share batch slots on the basis
of these reports, and a request runs for about a second."""

RELAY_REPORT_PERIOD_S = 0.5
"""Time between two reports of relays to each other, unless every instance is a
relay. Their links cross availability zones."""

LINK_TIMEOUT_S = 1.2
"""Time without received bytes after which a link is closed: four reports, or
two between relays, and one lost packet."""

HANDSHAKE_TIMEOUT_S = 1.0
DIAL_GRACE_S = 0.5
"""Time for which the instance with the larger id waits for the other relay to
open their link, so that they do not open two."""

MEMBER_GRACE_S = 2.0
"""Time for which a relay waits for a member before it opens a link itself: the
member may have restarted while it reaches neither the store nor a seed."""

DISCOVERY_S = 1.5
"""Time after a start without a list of the instances after which this instance
makes its plan without one."""

DRAINING_S = 8.0
"""Time for which an instance that is shutting down is not chosen as a relay."""

MIN_REDIAL_S = 0.3
MAX_REDIAL_S = 3.0
REDIAL_FACTOR = 1.5
MAX_QUEUED = 512
"""Maximum number of messages queued for a link; more indicate a stuck link."""

MAX_MESSAGE_BYTES = 4 << 20
"""Fits a routing document of 1 MB and the entries of all upstreams."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transport:
    """How links are opened and accepted.

    Attributes:
        open_connection: Opens a connection; see `client.open_connection`.
        serve: Accepts connections until cancelled; see `server.serve`.
    """

    open_connection: Callable[
        [str, messages.Hello, protocol_settings.InnerSettings],
        Awaitable[connection.Connection],
    ] = client.open_connection
    serve: Callable[
        [
            str,
            messages.Hello,
            server.Handler,
            protocol_settings.InnerSettings,
        ],
        Coroutine[Any, Any, None],
    ] = server.serve


WEB_SOCKETS = Transport()

_PlanInputs = tuple[Mapping[str, str], frozenset[str]]
"""Availability zones by instance id, and the instances to skip."""


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """An open link.

    Attributes:
        queue: Messages to send.
        connection: Its connection.
        inactivity: Time without received bytes.
        scope: Cancelled to close the link.
        is_dialled: Whether this instance opened it.
        is_current: Whether its peer has received all reports so far, so that
            the next one may contain changes only.
        has_objects: Whether its peer has received all objects of the store.
        lost_era: Era of the store for which its peer has received the objects
            that the store had lost.
    """

    queue: outbox.Outbox
    connection: connection.Connection
    inactivity: heartbeats.InactivityTimer
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    is_dialled: bool = False
    is_current: bool = False
    has_objects: bool = False
    lost_era: int = 0


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another instance, from its reports.

    Attributes:
        instance: Instance id.
        report: Its latest report, None before the first.
        links: Its open links; the last one is used.
        stream: The link of its latest complete report; changes are applied
            from this link only.
        incarnation: Its last observed incarnation.
        zone: Its availability zone.
        cut_off: Services of which it reaches no upstream.
        draining: Whether it is shutting down.
        revision: Revision of the messages of its build.
        known: What it knows of the store.
    """

    instance: str
    report: entry_messages.InstanceReport | None = None
    links: list[Link] = dataclasses.field(default_factory=list)
    stream: Link | None = None
    incarnation: str = ""
    zone: str = ""
    cut_off: frozenset[str] = frozenset()
    draining: bool = False
    revision: int = messages.REVISION
    known: catch_up.StoreVersions = dataclasses.field(
        default_factory=catch_up.StoreVersions
    )

    @property
    def is_relay(self) -> bool:
        """Whether it reports to be a relay."""
        return self.report is not None and self.report.is_relay

    def reaches_store(self, max_silent_s: float) -> bool:
        """Whether the store responded to it within a time, seconds."""
        if self.report is None:
            return False
        return 0 <= self.report.store_silent_s < max_silent_s

    @property
    def is_member(self) -> bool:
        """Whether it uses this instance as its relay."""
        return self.report is not None and not self.report.is_relay

    def send(self, message: messages.Message | bytes) -> bool:
        """Queues a message, encoded or not; returns whether it was queued."""
        return bool(self.links) and self.links[-1].queue.put(message)


@dataclasses.dataclass(slots=True)
class _Outage:
    """An instance that did not respond.

    Attributes:
        delay_s: Time for which it counts as unreachable.
        until: End of this time.
    """

    delay_s: float = MIN_REDIAL_S
    until: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Callbacks:
    """What the links call.

    Attributes:
        handle: Called with each message, its sender and its link.
        handle_open: Called with the peer and the link when a link has opened.
        send_reports: Called once per report period.
        handle_loss: Called when the last link to a peer has closed.
        holds_lease: Whether this instance holds the lease of a cell, which
            makes it a relay.
    """

    handle: Callable[[Peer, Link, messages.Message], None]
    handle_open: Callable[[Peer, Link], None]
    send_reports: Callable[[], None]
    handle_loss: Callable[[str], None]
    holds_lease: Callable[[], bool]


class Peers:
    """Maintains the links that the relay plan requires.

    Attributes:
        known: Peers by instance id, including unreachable ones.
        plan: The relays.
        relay: Relay that this member receives reports from; empty for none.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        incarnation: str,
        callbacks: Callbacks,
        tasks: anyio.abc.TaskGroup,
        transport: Transport = WEB_SOCKETS,
    ) -> None:
        """Builds the link manager; `run` must be running.

        Args:
            settings: The instance's settings.
            incarnation: Unique id of this process.
            callbacks: What the links call.
            tasks: Runs the links.
            transport: Opens and accepts connections.
        """
        self.known: dict[str, Peer] = {}
        self.relay = ""
        self._settings = settings
        self._callbacks = callbacks
        self._tasks = tasks
        self._transport = transport
        self._addresses: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._wanted_since: dict[str, float] = {}
        self._dialling: set[str] = set()
        self._outages: dict[str, _Outage] = {}
        self._draining: dict[str, float] = {}
        self._started_at = anyio.current_time()
        self._plan_inputs: _PlanInputs = ({}, frozenset())
        self.plan = self._make_plan(*self._plan_inputs)
        self._inner = protocol_settings.InnerSettings(
            host=settings.ip,
            port=settings.peer_port,
            token=settings.inner_token,
            max_message_bytes=MAX_MESSAGE_BYTES,
            heartbeat_period_s=REPORT_PERIOD_S,
            heartbeat_timeout_s=LINK_TIMEOUT_S,
            handshake_timeout_s=HANDSHAKE_TIMEOUT_S,
        )
        self._hello = messages.Hello(
            version=messages.PROTOCOL_VERSION,
            instance=settings.instance,
            incarnation=incarnation,
            role=ROLE,
            zone=settings.availability_zone,
            revision=messages.REVISION,
        )

    @property
    def is_relay(self) -> bool:
        """Whether this instance is a relay.

        An instance is one by its own plan, while a member uses it, or while it
        holds a lease.
        """
        return self.is_discovered and (
            self.plan.relay == self._settings.instance
            or self._callbacks.holds_lease()
            or any(peer.is_member for peer in self.list_linked())
        )

    @property
    def is_discovered(self) -> bool:
        """Whether the instances are known, as far as they can be."""
        discovery_ends_at = self._started_at + DISCOVERY_S
        return bool(self._zones) or anyio.current_time() >= discovery_ends_at

    def list_linked(self) -> list[Peer]:
        """Returns the peers with an open link."""
        return [peer for peer in self.known.values() if peer.links]

    def count_revisions(self) -> dict[int, int]:
        """Returns the linked peers by the revision of their build."""
        return collections.Counter(peer.revision for peer in self.list_linked())

    def list_instances(self) -> set[str]:
        """Returns the ids of all other registered instances."""
        return set(self._addresses) - {self._settings.instance}

    def find_ip(self, instance: str) -> str:
        """Returns the address of an instance; empty if it is unknown."""
        return self._addresses.get(instance, "")

    def list_relays(self) -> list[Peer]:
        """Returns the linked peers that are relays."""
        return [peer for peer in self.list_linked() if peer.is_relay]

    def list_members(self) -> list[Peer]:
        """Returns the linked peers that use this instance as their relay."""
        return [peer for peer in self.list_linked() if peer.is_member]

    def send(self, instance: str, message: messages.Message) -> bool:
        """Queues a message for one peer; returns whether it has a link."""
        peer = self.known.get(instance)
        return peer is not None and peer.send(message)

    def send_toward(self, instance: str, message: messages.Message) -> bool:
        """Queues a message for a peer, or for the relay of this member."""
        return self.send(instance, message) or self.send(self.relay, message)

    def broadcast(self, message: messages.Message) -> None:
        """Queues a message for every linked relay."""
        encoded = codec.encode_message(message)
        for peer in self.list_relays():
            peer.send(encoded)

    def set_instances(
        self, addresses: Mapping[str, str], zones: Mapping[str, str]
    ) -> None:
        """Sets the addresses and availability zones of all instances."""
        self._addresses = dict(addresses)
        self._zones = dict(zones)

    def attach(self, relay: str) -> None:
        """Records the relay that this member receives reports from."""
        if relay != self.relay:
            logs.bind(relay=relay, previous=self.relay).info(
                "attached to a relay"
            )
        self.relay = relay

    def avoid_draining(self, instance: str) -> None:
        """Chooses no instance as a relay that is shutting down."""
        self._draining[instance] = anyio.current_time() + DRAINING_S

    async def run(self) -> None:
        """Accepts links, maintains them and sends reports until cancelled."""
        self._tasks.start_soon(
            restarts.run_with_restarts,
            self._transport.serve,
            f"{self._settings.ip}:{self._settings.peer_port}",
            self._hello,
            self._accept,
            self._inner,
        )
        await restarts.run_with_restarts(self._maintain)

    async def _maintain(self) -> None:
        while True:
            now = anyio.current_time()
            self._close_silent(now)
            self._update_plan(now)
            self._callbacks.send_reports()
            await anyio.sleep(REPORT_PERIOD_S)

    def dial_seed(self, address: str) -> None:
        """Opens a link to an address, unless there is one."""
        host = address.rpartition(":")[0]
        linked_hosts = {
            self._addresses.get(peer.instance) for peer in self.list_linked()
        }
        if host != self._settings.ip and host not in linked_hosts:
            self._dial(address)

    def _dial(self, address: str) -> None:
        if address not in self._dialling:
            self._dialling.add(address)
            self._tasks.start_soon(self._open_link, address)

    def _make_plan(
        self, zones: Mapping[str, str], unreachable: frozenset[str]
    ) -> relays.RelayPlan:
        return relays.make_plan(
            self._settings.instance,
            self._settings.availability_zone,
            zones,
            unreachable,
        )

    def _list_unreachable(self, now: float) -> frozenset[str]:
        """Returns the instances that must not be chosen as relays."""
        silent = {
            name for name, outage in self._outages.items() if now < outage.until
        }
        draining = {
            name for name, until in self._draining.items() if now < until
        }
        return frozenset(silent | draining)

    def _update_plan(self, now: float) -> None:
        inputs = self._zones, self._list_unreachable(now)
        plan = self.plan
        if inputs != self._plan_inputs:
            plan = self._make_plan(*inputs)
            self._plan_inputs = inputs
        if (plan.relay, plan.is_flat) != (self.plan.relay, self.plan.is_flat):
            logs.bind(
                relay=plan.relay, relays=len(plan.relays), flat=plan.is_flat
            ).info("relay plan changed")
        self.plan = plan
        is_relay = self.is_relay
        if is_relay:
            self.relay = ""
        wanted = plan.relays | plan.group if is_relay else {plan.relay}
        wanted = wanted - {self._settings.instance}
        missing = [
            name for name in wanted if not self._has_link(name, is_relay)
        ]
        self._wanted_since = {
            instance: self._wanted_since.get(instance, now)
            for instance in missing
        }
        for instance in missing:
            if self._is_due(instance, is_relay, now):
                self._dial(
                    f"{self._addresses[instance]}:{self._settings.peer_port}"
                )
        if not is_relay:
            self._close_unwanted()

    def _has_link(self, instance: str, is_relay: bool) -> bool:
        """Whether a link is open; that of a member must be its own."""
        peer = self.known.get(instance)
        if peer is None:
            return False
        return any(is_relay or link.is_dialled for link in peer.links)

    def _is_due(self, instance: str, is_relay: bool, now: float) -> bool:
        """Whether a missing link should be opened now."""
        if instance not in self._addresses:
            return False
        outage = self._outages.get(instance)
        if outage is not None and now < outage.until:
            return False
        grace_s = 0.0
        if is_relay and instance not in self.plan.relays:
            grace_s = MEMBER_GRACE_S
        elif is_relay and instance < self._settings.instance:
            grace_s = DIAL_GRACE_S
        return now >= self._wanted_since[instance] + grace_s

    def _close_unwanted(self) -> None:
        """Closes all links of a member except that to its relay.

        The link to its previous relay stays open until the new one has sent
        its first report.
        """
        if self.relay != self.plan.relay:
            return
        for peer in self.list_linked():
            for link in peer.links:
                is_new = peer.report is None and not link.is_dialled
                if peer.instance != self.relay and not is_new:
                    link.scope.cancel()

    def _close_silent(self, now: float) -> None:
        for peer in self.list_linked():
            for link in peer.links:
                received_bytes = link.connection.received_bytes
                if link.inactivity.update(received_bytes, now):
                    logs.bind(
                        peer=peer.instance,
                        silent_s=LINK_TIMEOUT_S,
                        pending_bytes=link.connection.pending_bytes,
                    ).info("link closed: no bytes within the timeout")
                    if len(peer.links) == 1:
                        self._record_outage(peer.instance)
                    link.scope.cancel()

    def _record_outage(self, instance: str) -> None:
        outage = self._outages.get(instance)
        if outage is None:
            outage = self._outages[instance] = _Outage()
        else:
            outage.delay_s = min(MAX_REDIAL_S, outage.delay_s * REDIAL_FACTOR)
        delay_s = outage.delay_s * random.uniform(0.7, 1.3)
        outage.until = anyio.current_time() + delay_s

    async def _open_link(self, address: str) -> None:
        try:
            peer_connection = await self._transport.open_connection(
                address, self._hello, self._inner
            )
        except errors.ProtocolError as error:
            logs.bind(address=address, code=error.code.value).info(
                "link to peer failed: {}", error.detail
            )
            host = address.rpartition(":")[0]
            for instance, known_address in self._addresses.items():
                if known_address == host:
                    self._record_outage(instance)
            return
        finally:
            self._dialling.discard(address)
        await self._serve(peer_connection, is_dialled=True)

    async def _accept(self, peer_connection: connection.Connection) -> None:
        await self._serve(peer_connection, is_dialled=False)

    async def _serve(
        self, peer_connection: connection.Connection, *, is_dialled: bool
    ) -> None:
        """Serves one link until it ends.

        Two instances may dial each other at the same time. Both then use the
        link dialled by the instance with the lexicographically smaller id; the
        other link becomes idle.
        """
        name = peer_connection.peer.instance
        peer = self.known.setdefault(name, Peer(name))
        peer.zone = peer_connection.peer.zone
        peer.revision = peer_connection.peer.revision
        if peer_connection.peer.incarnation != peer.incarnation:
            peer.incarnation = peer_connection.peer.incarnation
            peer.report = None
            peer.known = catch_up.StoreVersions()
            peer.cut_off, peer.draining = frozenset(), False
        link = Link(
            outbox.Outbox(peer_connection, MAX_QUEUED),
            peer_connection,
            heartbeats.InactivityTimer(self._inner, anyio.current_time()),
            is_dialled=is_dialled,
        )
        if not peer.links:
            logs.bind(peer=name, revision=peer.revision).info(
                "link to peer opened"
            )
        preferred = is_dialled == (self._settings.instance < name)
        peer.links.insert(len(peer.links) if preferred else 0, link)
        self._callbacks.handle_open(peer, link)
        try:
            with contextlib.suppress(errors.ProtocolError):
                await self._exchange(peer, link)
        finally:
            link.queue.close()
            peer.links.remove(link)
            if not peer.links:
                self._end_last_link(peer, link)
            # A silent peer takes no goodbye; the link is given up before.
            with anyio.move_on_after(HANDSHAKE_TIMEOUT_S, shield=True):
                await peer_connection.close()

    def _end_last_link(self, peer: Peer, link: Link) -> None:
        logs.bind(peer=peer.instance).warning("last link to peer closed")
        peer.report = None
        peer.known = catch_up.StoreVersions()
        peer.stream = None
        if self.relay == peer.instance:
            self.relay = ""
        if not link.scope.cancel_called:
            self._record_outage(peer.instance)
        self._callbacks.handle_loss(peer.instance)

    async def _exchange(self, peer: Peer, link: Link) -> None:
        with link.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_all, link.queue, tasks.cancel_scope)
                try:
                    while True:
                        message = await link.connection.receive()
                        self._outages.pop(peer.instance, None)
                        self._callbacks.handle(peer, link, message)
                except errors.ProtocolError:
                    tasks.cancel_scope.cancel()


async def _send_all(queue: outbox.Outbox, scope: anyio.CancelScope) -> None:
    try:
        await queue.run()
    except errors.ProtocolError:
        scope.cancel()
