"""Links between the entry instances: reports, and messages to one or all."""

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
"""Time between two reports to a peer: places in batches are shared by them,
and an answer takes about a second."""

SILENCE_S = 1.2
"""Silence after which a link is given up; four reports and a lost packet."""

MANY_REPORT_PERIOD_S = 0.5
"""The same among many instances: two reports and a lost packet."""

MANY_PEERS = 8
"""Peers from which reports to all of them cost more than their age."""

HANDSHAKE_TIMEOUT_S = 1.0
FIRST_REDIAL_S = 0.3
LONGEST_REDIAL_S = 3.0
MAX_QUEUED = 512
"""Messages that may wait before one link; more means that it is stuck."""

MAX_MESSAGE_BYTES = 4 << 20
"""A routing document of a megabyte beside the upstreams' entries."""

Handler = Callable[[str, messages.Message], None]


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance, as its reports show it.

    Attributes:
        instance: Instance id.
        report: Its latest report, None before the first.
        last_contact_at: When it was last heard.
        outboxes: Queues of its open links; the last one is used.
        incarnation: Its start that was heard last.
        zone: Its availability zone.
    """

    instance: str
    report: entry_messages.InstanceReport | None = None
    last_contact_at: float = float("-inf")
    outboxes: list[outbox.Outbox] = dataclasses.field(default_factory=list)
    incarnation: str = ""
    zone: str = ""


class Peers:
    """Keeps links to all instances that are known.

    Attributes:
        known: Peers by instance id, lost ones too.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        incarnation: str,
        make_report: Callable[[], entry_messages.InstanceReport],
        handle: Handler,
        greet: Callable[[], list[messages.Message]],
    ) -> None:
        """Builds the links' keeper; `run` must be running.

        Args:
            settings: The instance's settings.
            incarnation: Unique id of this start.
            make_report: Returns what to tell all peers periodically.
            handle: Called with each message and its sender.
            greet: Returns what to tell a peer when a link opens.
        """
        self.known: dict[str, Peer] = {}
        self._settings = settings
        self._make_report = make_report
        self._handle = handle
        self._greet = greet
        self._dialled: set[str] = set()
        self._inner = protocol_settings.InnerSettings(
            host=settings.ip,
            port=settings.peer_port,
            token=settings.inner_token,
            max_message_bytes=MAX_MESSAGE_BYTES,
            heartbeat_period_s=REPORT_PERIOD_S,
            heartbeat_timeout_s=SILENCE_S,
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
        """Accepts links and reports until cancelled."""
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
            many = len(self.list_linked()) > MANY_PEERS
            await anyio.sleep(MANY_REPORT_PERIOD_S if many else REPORT_PERIOD_S)

    def dial(self, address: str, tasks: anyio.abc.TaskGroup) -> None:
        """Keeps a link to an address open from now on."""
        own = f"{self._settings.ip}:{self._settings.peer_port}"
        if address == own or address in self._dialled:
            return
        self._dialled.add(address)
        tasks.start_soon(self._keep_link, address)

    async def _keep_link(self, address: str) -> None:
        redial_s = FIRST_REDIAL_S
        while True:
            if self._is_linked(address):
                await anyio.sleep(LONGEST_REDIAL_S / 2)
                continue
            try:
                opened = await client.open_connection(
                    address, self._hello, self._inner
                )
            except errors.ProtocolError as error:
                logs.bind(address=address, code=error.code.value).info(
                    "no link: {}", error.detail
                )
                await anyio.sleep(redial_s * random.uniform(0.7, 1.3))
                redial_s = min(LONGEST_REDIAL_S, redial_s * 1.5)
                continue
            redial_s = FIRST_REDIAL_S
            await self._serve(opened, dialled=True)
            await anyio.sleep(FIRST_REDIAL_S * random.uniform(0.7, 1.3))

    def _is_linked(self, address: str) -> bool:
        host = address.rpartition(":")[0]
        return any(
            peer.report is not None and peer.report.ip == host
            for peer in self.list_linked()
        )

    async def _accept(self, opened: connection.Connection) -> None:
        await self._serve(opened, dialled=False)

    async def _serve(
        self, opened: connection.Connection, *, dialled: bool
    ) -> None:
        """Serves one link until it ends.

        Two instances may dial each other at once; both then use the link
        that the one with the lesser name dialled, and the other falls silent.
        """
        name = opened.peer.instance
        peer = self.known.setdefault(name, Peer(name))
        peer.zone = opened.peer.zone
        if opened.peer.incarnation != peer.incarnation:
            peer.incarnation = opened.peer.incarnation
            peer.report = None
        queue = outbox.Outbox(opened, MAX_QUEUED)
        if not peer.outboxes:
            logs.bind(peer=name).info("peer linked")
        preferred = dialled == (self._settings.instance < name)
        peer.outboxes.insert(len(peer.outboxes) if preferred else 0, queue)
        for message in self._greet():
            queue.put(message)
        try:
            with contextlib.suppress(errors.ProtocolError):
                await self._exchange(peer, opened, queue)
        finally:
            queue.close()
            peer.outboxes.remove(queue)
            if not peer.outboxes:
                logs.bind(peer=name).warning("peer lost")

    async def _exchange(
        self, peer: Peer, opened: connection.Connection, queue: outbox.Outbox
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send_all, queue, tasks.cancel_scope)
            tasks.start_soon(self._watch_silence, opened, tasks.cancel_scope)
            try:
                while True:
                    message = await opened.receive()
                    peer.last_contact_at = anyio.current_time()
                    if isinstance(message, entry_messages.InstanceReport):
                        peer.report = message
                    self._handle(peer.instance, message)
            except errors.ProtocolError:
                tasks.cancel_scope.cancel()
        with anyio.move_on_after(HANDSHAKE_TIMEOUT_S, shield=True):
            await opened.close()

    async def _watch_silence(
        self, opened: connection.Connection, scope: anyio.CancelScope
    ) -> None:
        silence = heartbeats.Silence(self._inner, anyio.current_time())
        while not silence.update(opened.received, anyio.current_time()):
            await anyio.sleep(REPORT_PERIOD_S)
        logs.bind(peer=opened.peer.instance, silent_s=SILENCE_S).info(
            "link given up: silent"
        )
        scope.cancel()


async def _send_all(queue: outbox.Outbox, scope: anyio.CancelScope) -> None:
    try:
        await queue.run()
    except errors.ProtocolError:
        scope.cancel()
