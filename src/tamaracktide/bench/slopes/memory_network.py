"""Entry instances that exchange their reports over an in-memory network.

The links and reports are the real ones; connections, requests and the platform
are not. Instances can be stopped, frozen and cut off.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import math
import uuid

import anyio
import anyio.abc
from anyio.streams import memory

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import catch_up
from tamaracktide.core import crash_evidence
from tamaracktide.core import paces
from tamaracktide.core import running_counts
from tamaracktide.core import upstream_health
from tamaracktide.entry import engine_views
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import report_exchange
from tamaracktide.entry import settings as entry_settings
from tamaracktide.protocol import codec
from tamaracktide.protocol import connection
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.protocol import settings as protocol_settings

PEER_PORT = 7000


class _Closed(errors.ProtocolError):
    def __init__(self) -> None:
        super().__init__(
            result_codes.ResultCode.PEER_UNREACHABLE, "connection closed"
        )


class MemoryConnection(connection.Connection):
    """One end of a connection that passes encoded messages in memory."""

    __slots__ = ("_inbox", "_network", "_received_bytes", "_to_peer", "own")

    def __init__(
        self,
        network: "Network",
        own: messages.Hello,
        peer: messages.Hello,
        inbox: memory.MemoryObjectReceiveStream[bytes],
        to_peer: memory.MemoryObjectSendStream[bytes],
    ) -> None:
        """Creates an end whose handshake is complete."""
        self.peer = peer
        self.version = messages.PROTOCOL_VERSION
        self.sent = 0
        self._received_bytes = 0
        self._network = network
        self.own = own
        self._inbox = inbox
        self._to_peer = to_peer

    @property
    def received_bytes(self) -> int:
        """Bytes received; messages arrive as a whole."""
        return self._received_bytes

    @property
    def pending_bytes(self) -> int:
        """Bytes of incomplete messages; there are none."""
        return 0

    async def send_encoded(self, data: bytes, name: str = "message") -> None:
        """Passes a message to the other end; a cut network drops it.

        Args:
            data: The encoded message.
            name: Not used.

        Raises:
            errors.ProtocolError: The connection is closed.
        """
        self.sent += 1
        if not self._network.is_connected(self.own, self.peer):
            return
        self._network.count(self.own, self.peer, len(data))
        try:
            await self._to_peer.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise _Closed from None

    async def receive(self) -> messages.Message:
        """Returns the next message.

        Raises:
            errors.ProtocolError: The connection is closed.
        """
        while True:
            try:
                data = await self._inbox.receive()
            except (anyio.EndOfStream, anyio.ClosedResourceError):
                raise _Closed from None
            if not self._network.is_connected(self.own, self.peer):
                continue
            self._received_bytes += len(data)
            message = codec.decode_message(data)
            if message is not None:
                return message

    async def close(
        self,
        code: result_codes.ResultCode = result_codes.ResultCode.OK,
        detail: str = "",
    ) -> None:
        """Closes both directions, after a time-out if the network is cut."""
        if not self._network.is_connected(self.own, self.peer):
            await anyio.sleep(connection.GOODBYE_TIMEOUT_S)
        self.close_at_once()

    def close_at_once(self) -> None:
        """Closes both directions without waiting; idempotent."""
        self._to_peer.close()
        self._inbox.close()


@dataclasses.dataclass(slots=True)
class Traffic:
    """What an instance sent and received.

    Attributes:
        messages: Number of messages, both ways.
        zone_bytes: Bytes sent to other availability zones.
    """

    messages: int = 0
    zone_bytes: int = 0


class Instance:
    """The links and reports of one instance.

    Attributes:
        name: Instance id.
        zone: Its availability zone.
        running: Its requests, to be changed by the caller.
        remote: The requests of the others, as its cells would know them.
        demand: Reported requests for adapters elsewhere.
        results: Results of its requests, until it reports them.
        remote_results: Sums of the results of others that it was told.
        paces: Streams of its requests by engine, until it reports them.
        remote_paces: Sums of the streams that it was told of.
        rights: Lease terms that it reports.
        handle_other: Called with messages that are no reports.
        peers: Its links.
        exchange: Its reports.
    """

    def __init__(
        self, network: "Network", name: str, is_registry_known: bool
    ) -> None:
        """Builds the parts; `Network.start` runs them."""
        self._is_registry_known = is_registry_known
        self.name = name
        self.zone = network.zones[name]
        self.running: running_counts.Counts = {}
        self.remote: running_counts.Counts = {}
        self.demand: dict[str, int] = {}
        self.results: report_exchange.ResultsByUpstream = {}
        self.remote_results: report_exchange.ResultsByUpstream = {}
        self.paces: report_exchange.PacesByUpstream = {}
        self.remote_paces: report_exchange.PacesByUpstream = {}
        self.rights: tuple[entry_messages.LeaseNotice, ...] = ()
        self.handle_other: Callable[
            [entry_peers.Peer, messages.Message], None
        ] = lambda peer, message: None
        self.views = engine_views.EngineViews()
        self.scope = anyio.CancelScope()
        self._network = network
        self._ip = network.addresses[name]
        self.exchange = report_exchange.ReportExchange(
            report_exchange.Dependencies(
                ip=self._ip,
                instance=name,
                get_own=self._get_own,
                views=self.views,
                apply_counts=self._apply_counts,
                apply_demand=self._apply_demand,
                take_results=self._take_results,
                apply_results=self._apply_results,
                take_paces=self._take_paces,
                apply_paces=self._apply_paces,
                apply_engines=self._apply_engines,
                apply_quarantined=lambda fingerprints: None,
                apply_holders=lambda: None,
            )
        )

    def _take_paces(self) -> report_exchange.PacesByUpstream:
        taken, self.paces = self.paces, {}
        return taken

    def _apply_paces(self, reported: report_exchange.PacesByUpstream) -> None:
        paces.add_sums(self.remote_paces, reported)

    async def run(self) -> None:
        """Runs the links until the scope is cancelled."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.peers = entry_peers.Peers(
                    entry_settings.EntrySettings(
                        instance=self.name,
                        availability_zone=self.zone,
                        ip=self._ip,
                        caller_address=f"{self._ip}:1",
                        readiness_address=f"{self._ip}:2",
                        peer_port=PEER_PORT,
                        metrics_port=3,
                        platform_address=f"{self._ip}:4",
                    ),
                    uuid.uuid4().hex[:12],
                    entry_peers.Callbacks(
                        handle=self._handle,
                        handle_open=self.exchange.handle_open,
                        send_reports=self.exchange.send_reports,
                        handle_loss=self.exchange.handle_loss,
                        holds_lease=lambda: bool(self.rights),
                    ),
                    tasks,
                    entry_peers.Transport(
                        open_connection=self._network.open_connection,
                        serve=self._network.serve,
                    ),
                )
                self.exchange.peers = self.peers
                if self._is_registry_known:
                    self.learn_registry()
                await self.peers.run()

    def learn_registry(self) -> None:
        """Reads the list of instances."""
        self.peers.set_instances(self._network.addresses, self._network.zones)

    def _get_own(self) -> report_exchange.OwnState:
        return report_exchange.OwnState(
            running=self.running,
            rights=self.rights,
            loads=0,
            known=catch_up.StoreVersions(),
            store_silent_s=0.0,
            quarantined=crash_evidence.Quarantined(),
            draining=False,
        )

    def _apply_counts(self, counts: running_counts.Counts) -> None:
        running_counts.apply_changes(self.remote, counts)

    def _take_results(self) -> report_exchange.ResultsByUpstream:
        results, self.results = self.results, {}
        return results

    def _apply_results(
        self, results: report_exchange.ResultsByUpstream
    ) -> None:
        upstream_health.add_results(self.remote_results, results)

    def _apply_demand(self, name: str, count: int) -> None:
        self.demand[name] = self.demand.get(name, 0) + count

    def _apply_engines(
        self, notices: tuple[entry_messages.EngineNotice, ...]
    ) -> None:
        for notice in notices:
            self.views.apply_notice(notice, anyio.current_time())

    def _handle(
        self,
        peer: entry_peers.Peer,
        link: entry_peers.Link,
        message: messages.Message,
    ) -> None:
        match message:
            case entry_messages.InstanceReport():
                self.exchange.apply_report(peer, link, message)
            case entry_messages.ClusterReport():
                self.exchange.apply_cluster_report(peer, message)
            case entry_messages.EngineNotice():
                self.exchange.apply_engines((message,))
            case _:
                self.handle_other(peer, message)


class Network:
    """Instances in availability zones that can be cut off from each other.

    Attributes:
        addresses: Address of each instance, by its id.
        zones: Availability zone of each instance.
        instances: Running instances.
        cut_off: Instances or zones whose messages are dropped, except within
            the zone.
        traffic: Messages of each instance since the last reset.
    """

    def __init__(
        self, zones: Mapping[str, str], tasks: anyio.abc.TaskGroup
    ) -> None:
        """Registers the instances without starting them."""
        self.zones = dict(zones)
        self.addresses = {
            name: f"10.0.{number // 250}.{number % 250 + 1}"
            for number, name in enumerate(zones)
        }
        self.instances: dict[str, Instance] = {}
        self.cut_off: set[str] = set()
        self.traffic: dict[str, Traffic] = {}
        self._connections: list[MemoryConnection] = []
        self._handlers: dict[str, tuple[messages.Hello, server.Handler]] = {}
        self._tasks = tasks

    def start(self, name: str, *, is_registry_known: bool = True) -> Instance:
        """Starts an instance, with or without the list of the others."""
        instance = Instance(self, name, is_registry_known)
        self.instances[name] = instance
        self._tasks.start_soon(instance.run)
        return instance

    def stop(self, name: str) -> None:
        """Kills an instance; its connections close at once."""
        self.instances.pop(name).scope.cancel()
        for end in self._connections:
            if name in (end.own.instance, end.peer.instance):
                end.close_at_once()

    def close(self) -> None:
        """Closes all connections at once."""
        for end in self._connections:
            end.close_at_once()

    def is_connected(
        self, sender: messages.Hello, receiver: messages.Hello
    ) -> bool:
        """Whether messages between two instances arrive."""
        if {sender.instance, receiver.instance} & self.cut_off:
            return False
        cut_zones = {sender.zone, receiver.zone} & self.cut_off
        return not cut_zones or sender.zone == receiver.zone

    def count(
        self, sender: messages.Hello, receiver: messages.Hello, size: int
    ) -> None:
        """Counts a message of both ends."""
        for end in (sender, receiver):
            traffic = self.traffic.setdefault(end.instance, Traffic())
            traffic.messages += 1
        if sender.zone != receiver.zone:
            self.traffic[sender.instance].zone_bytes += size

    async def open_connection(
        self,
        address: str,
        hello: messages.Hello,
        settings: protocol_settings.InnerSettings,
    ) -> connection.Connection:
        """Connects to an instance.

        Raises:
            errors.ProtocolError: It does not run or is cut off.
        """
        if address not in self._handlers:
            raise _Closed
        peer, handler = self._handlers[address]
        if not self.is_connected(hello, peer):
            await anyio.sleep(settings.handshake_timeout_s)
            raise _Closed
        to_peer, from_client = anyio.create_memory_object_stream[bytes](
            math.inf
        )
        to_client, from_peer = anyio.create_memory_object_stream[bytes](
            math.inf
        )
        accepted = MemoryConnection(self, peer, hello, from_client, to_client)
        self._tasks.start_soon(_serve_connection, handler, accepted)
        opened = MemoryConnection(self, hello, peer, from_peer, to_peer)
        self._connections += (accepted, opened)
        return opened

    async def serve(
        self,
        address: str,
        hello: messages.Hello,
        handler: server.Handler,
        settings: protocol_settings.InnerSettings,
    ) -> None:
        """Accepts connections until cancelled; `settings` is not used."""
        del settings
        self._handlers[address] = (hello, handler)
        try:
            await anyio.sleep_forever()
        finally:
            del self._handlers[address]


async def _serve_connection(
    handler: server.Handler, accepted: MemoryConnection
) -> None:
    await handler(accepted)
    await accepted.close()


def make_zones(instances: int, zones: int) -> dict[str, str]:
    """Returns instances that are spread evenly over availability zones."""
    return {f"n{i:03d}": f"z{i % zones}" for i in range(instances)}


@contextlib.asynccontextmanager
async def run_network(zones: Mapping[str, str]) -> AsyncIterator[Network]:
    """Runs all instances of a network until the context ends."""
    async with anyio.create_task_group() as tasks:
        network = Network(zones, tasks)
        for name in zones:
            network.start(name)
        # The instances build their links in their first step.
        await anyio.sleep(0)
        yield network
        tasks.cancel_scope.cancel()
    network.close()
