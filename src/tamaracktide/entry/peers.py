"""Links between the entry instances for reports and other messages."""

from collections.abc import Callable
import contextlib
import dataclasses
import random

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.entry import settings as entry_settings
from tamaracktide.observability import logs
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import outbox
from tamaracktide.protocol import server
from tamaracktide.protocol import settings as protocol_settings

ROLE = "entry"
REPORT_PERIOD_S = 0.25
"""Time between two reports to a peer. Instances share batch slots on the basis
of these reports, and a request runs for about a second."""

LINK_TIMEOUT_S = 1.2
"""Time without a message after which a link is closed: four reports and one
lost packet."""

LARGE_CLUSTER_REPORT_PERIOD_S = 0.5
"""Report period in a large cluster; `LINK_TIMEOUT_S` then covers two reports
and one lost packet."""

LARGE_CLUSTER_PEERS = 8
"""Number of peers above which frequent reports cost more than the older state
that a longer period causes."""

HANDSHAKE_TIMEOUT_S = 1.0
MIN_REDIAL_S = 0.3
MAX_REDIAL_S = 3.0
MAX_QUEUED = 512
"""Maximum number of messages queued for a link; more indicate a stuck link."""

MAX_MESSAGE_BYTES = 4 << 20
"""Fits a routing document of 1 MB and the entries of all upstreams."""

Handler = Callable[[str, messages.Message], None]


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another instance, from its reports.

    Attributes:
        instance: Instance id.
        report: Its latest report, None before the first.
        last_contact_at: Time of the last contact.
        outboxes: Send queues of its open links; the last one is used.
        incarnation: Its last observed incarnation.
        zone: Its availability zone.
    """

    instance: str
    report: entry_messages.InstanceReport | None = None
    last_contact_at: float = float("-inf")
    outboxes: list[outbox.Outbox] = dataclasses.field(default_factory=list)
    incarnation: str = ""
    zone: str = ""


class Peers:
    """Maintains links to all known instances.

    Attributes:
        known: Peers by instance id, including unreachable ones.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        incarnation: str,
        make_report: Callable[[], entry_messages.InstanceReport],
        handle: Handler,
        make_greeting: Callable[[], list[messages.Message]],
    ) -> None:
        """Builds the link manager; `run` must be running.

        Args:
            settings: The instance's settings.
            incarnation: Unique id of this process.
            make_report: Returns the report that all peers get periodically.
            handle: Called with each message and its sender.
            make_greeting: Returns the messages for a peer whose link opened.
        """
        self.known: dict[str, Peer] = {}
        self._settings = settings
        self._make_report = make_report
        self._handle = handle
        self._make_greeting = make_greeting
        self._dialled: set[str] = set()
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
        )

    def list_linked(self) -> list[Peer]:
        """Returns the peers with an open link."""
        return [peer for peer in self.known.values() if peer.outboxes]

    def send(self, instance: str, message: messages.Message) -> bool:
        """Queues a message for one peer; returns whether it has a link."""
        peer = self.known.get(instance)
        if peer is None or not peer.outboxes:
            return False
        return peer.outboxes[-1].put(message)

    def broadcast(self, message: messages.Message) -> None:
        """Queues a message for every linked peer."""
        for peer in self.list_linked():
            peer.outboxes[-1].put(message)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Accepts links and sends reports until cancelled."""
        tasks.start_soon(
            server.serve,
            f"{self._settings.ip}:{self._settings.peer_port}",
            self._hello,
            self._accept,
            self._inner,
        )
        while True:
            report = self._make_report()
            self.broadcast(report)
            is_large = len(self.list_linked()) > LARGE_CLUSTER_PEERS
            await anyio.sleep(
                LARGE_CLUSTER_REPORT_PERIOD_S if is_large else REPORT_PERIOD_S
            )

    def dial(self, address: str, tasks: anyio.abc.TaskGroup) -> None:
        """Opens a link to an address and reopens it whenever it closes."""
        own_address = f"{self._settings.ip}:{self._settings.peer_port}"
        if address == own_address or address in self._dialled:
            return
        self._dialled.add(address)
        tasks.start_soon(self._maintain_link, address)

    async def _maintain_link(self, address: str) -> None:
        redial_s = MIN_REDIAL_S
        while True:
            if self._is_linked(address):
                await anyio.sleep(MAX_REDIAL_S / 2)
                continue
            try:
                peer_connection = await client.open_connection(
                    address, self._hello, self._inner
                )
            except errors.ProtocolError as error:
                logs.bind(address=address, code=error.code.value).info(
                    "link to peer failed: {}", error.detail
                )
                await anyio.sleep(redial_s * random.uniform(0.7, 1.3))
                redial_s = min(MAX_REDIAL_S, redial_s * 1.5)
                continue
            redial_s = MIN_REDIAL_S
            await self._serve(peer_connection, dialled=True)
            await anyio.sleep(MIN_REDIAL_S * random.uniform(0.7, 1.3))

    def _is_linked(self, address: str) -> bool:
        host = address.rpartition(":")[0]
        return any(
            peer.report is not None and peer.report.ip == host
            for peer in self.list_linked()
        )

    async def _accept(self, peer_connection: connection.Connection) -> None:
        await self._serve(peer_connection, dialled=False)

    async def _serve(
        self, peer_connection: connection.Connection, *, dialled: bool
    ) -> None:
        """Serves one link until it ends.

        Two instances may dial each other at the same time. Both then use the
        link dialled by the instance with the lexicographically smaller id; the
        other link becomes idle.
        """
        name = peer_connection.peer.instance
        peer = self.known.setdefault(name, Peer(name))
        peer.zone = peer_connection.peer.zone
        if peer_connection.peer.incarnation != peer.incarnation:
            peer.incarnation = peer_connection.peer.incarnation
            peer.report = None
        queue = outbox.Outbox(peer_connection, MAX_QUEUED)
        if not peer.outboxes:
            logs.bind(peer=name).info("link to peer opened")
        preferred = dialled == (self._settings.instance < name)
        peer.outboxes.insert(len(peer.outboxes) if preferred else 0, queue)
        for message in self._make_greeting():
            queue.put(message)
        try:
            with contextlib.suppress(errors.ProtocolError):
                await self._exchange(peer, peer_connection, queue)
        finally:
            queue.close()
            peer.outboxes.remove(queue)
            if not peer.outboxes:
                logs.bind(peer=name).warning("last link to peer closed")

    async def _exchange(
        self,
        peer: Peer,
        peer_connection: connection.Connection,
        queue: outbox.Outbox,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send_all, queue, tasks.cancel_scope)
            tasks.start_soon(
                self._watch_timeout, peer_connection, tasks.cancel_scope
            )
            try:
                while True:
                    message = await peer_connection.receive()
                    peer.last_contact_at = anyio.current_time()
                    if isinstance(message, entry_messages.InstanceReport):
                        peer.report = message
                    self._handle(peer.instance, message)
            except errors.ProtocolError:
                tasks.cancel_scope.cancel()
        with anyio.move_on_after(HANDSHAKE_TIMEOUT_S, shield=True):
            await peer_connection.close()

    async def _watch_timeout(
        self, peer_connection: connection.Connection, scope: anyio.CancelScope
    ) -> None:
        inactivity = heartbeats.InactivityTimer(
            self._inner, anyio.current_time()
        )
        while not inactivity.update(
            peer_connection.received, anyio.current_time()
        ):
            await anyio.sleep(REPORT_PERIOD_S)
        logs.bind(
            peer=peer_connection.peer.instance, silent_s=LINK_TIMEOUT_S
        ).info("link closed: no message within the timeout")
        scope.cancel()


async def _send_all(queue: outbox.Outbox, scope: anyio.CancelScope) -> None:
    try:
        await queue.run()
    except errors.ProtocolError:
        scope.cancel()
