"""Tracks the other instances by instance list, probes, links and digests."""

import contextlib
import dataclasses
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import epochs
from tamaracktide.core import membership
from tamaracktide.core import quarantine
from tamaracktide.core import randomness
from tamaracktide.core import rendezvous
from tamaracktide.observability import logs
from tamaracktide.peering import update_filters
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import peer_messages
from tamaracktide.scheduler import directory
from tamaracktide.scheduler import lending
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.tables import follower as tables_follower

LINK_RETRY_S = 1.0
LINKS_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayReply:
    """A gateway's reply over a short-lived connection.

    Attributes:
        incarnation: The incarnation that replied.
        reply: The grants that it has in use.
    """

    incarnation: str
    reply: messages.OutstandingReply


class Peers:
    """Tracked state of the other instances, and the links to them.

    Attributes:
        membership: Live instances and owners of cells.
        epochs: Highest ownership epochs seen.
        lending: This scheduler's share of the weight store's load rate.
        quarantine: Requests that crash upstreams.
        own_epochs: Epochs of the upstreams that this scheduler owns.
        directory: The instance list.
    """

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        hello: messages.Hello,
        read_list: directory.ListReader,
        follower: tables_follower.Follower,
        rng: randomness.Random,
    ) -> None:
        """Initializes the state without peers; `run` discovers them."""
        self.membership = membership.Membership(
            settings.membership, settings.instance, settings.zone
        )
        self.epochs = epochs.EpochTracker()
        self.own_epochs: dict[str, int] = {}
        self.lending = lending.Lending(settings)
        self.quarantine = quarantine.Quarantine(settings.quarantine)
        self.directory = directory.Directory(
            settings, hello, read_list, follower, rng, self._apply_list
        )
        self._settings = settings
        self._hello = hello
        self._read_list = read_list
        self._follower = follower
        self._incarnations: dict[str, str] = {}
        self._probes: dict[str, anyio.Event] = {}
        self._connections: list[connection.Connection] = []
        self._links: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Polls the instance list and maintains links until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.directory.run)
            while True:
                self._update_links(tasks)
                await anyio.sleep(LINKS_PERIOD_S)

    def _apply_list(self, members: tuple[membership.Member, ...]) -> None:
        self.record_event(membership.ListRead(members))

    def record_event(self, event: membership.MembershipEvent) -> None:
        """Applies a membership event."""
        if isinstance(event, membership.Unresponsive | membership.Left):
            self.directory.request_refresh()
        self.membership.handle(event, anyio.current_time())

    async def probe(self, instance: str) -> bool:
        """Returns whether an instance completes a new connection's handshake.

        Concurrent calls for the same instance share one probe.
        """
        ongoing_probe = self._probes.get(instance)
        if ongoing_probe is not None:
            await ongoing_probe.wait()
            now = anyio.current_time()
            return self.membership.is_reachable(instance, now) is True
        self._probes[instance] = anyio.Event()
        attempted_at = anyio.current_time()
        try:
            reachable = await self._connect_once(instance)
        finally:
            self._probes.pop(instance).set()
        if reachable:
            self.record_event(membership.Responded(instance))
        else:
            self.record_event(membership.Unresponsive(instance, attempted_at))
        return reachable

    async def probe_all(self, instances: list[str]) -> None:
        """Probes several instances concurrently."""
        async with anyio.create_task_group() as tasks:
            for instance in instances:
                tasks.start_soon(self.probe, instance)

    async def probe_owner(self, owner: str, incarnation: str) -> bool:
        """Returns whether this incarnation of a scheduler is reachable."""
        if self.membership.find(owner) is None:
            await self.directory.refresh()
        now = anyio.current_time()
        reachable = self.membership.is_reachable(owner, now)
        if reachable is None:
            reachable = await self.probe(owner)
        return reachable and self._incarnations.get(owner) == incarnation

    async def query_gateway(
        self, gateway: str, query: messages.OutstandingQuery
    ) -> GatewayReply | None:
        """Queries a gateway over a short-lived connection to its inner address.

        Returns:
            Its reply, or None if it is unreachable or does not reply in time.
        """
        member = self.membership.find(gateway)
        if member is None or not member.inner_address:
            return None
        timeout_s = self._settings.inner.handshake_timeout_s
        with (
            contextlib.suppress(errors.ProtocolError),
            anyio.move_on_after(2 * timeout_s),
        ):
            peer_connection = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
            try:
                return await _query_outstanding(peer_connection, gateway, query)
            finally:
                with anyio.CancelScope(shield=True):
                    await peer_connection.close()
        return None

    async def serve(self, peer_connection: connection.Connection) -> None:
        """Exchanges heartbeats and digests with a peer until it closes."""
        self._record_contact(peer_connection.peer)
        self._connections.append(peer_connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    heartbeats.keep_alive, peer_connection, self._settings.inner
                )
                tasks.start_soon(self._send_digests, peer_connection)
                while True:
                    await self._handle(
                        peer_connection, await peer_connection.receive()
                    )
        finally:
            self._connections.remove(peer_connection)

    async def borrow(self) -> None:
        """Requests a share loan from the next linked scheduler, if needed."""
        now = anyio.current_time()
        if not self._connections:
            return
        request = self.lending.make_request(now)
        if request is None:
            return
        self._connections.append(self._connections.pop(0))
        with contextlib.suppress(errors.ProtocolError):
            await self._connections[-1].send(request)

    def make_digest(self) -> messages.Digest:
        """Returns a digest of this scheduler's tracked state."""
        now = anyio.current_time()
        return messages.Digest(
            revision=self._follower.tables.revision,
            leaving=self.membership.list_leaving(now),
            quarantined=self.quarantine.list_announced(now),
            suspects=self.quarantine.list_suspects(now),
            instances_version=self.directory.listing.version,
            epochs=self.own_epochs,
        )

    async def announce_departure(self) -> None:
        """Notifies the schedulers chosen as peers that this one is stopping."""
        self.record_event(membership.Left(self._hello.instance))
        digest = self.make_digest()
        async with anyio.create_task_group() as tasks:
            for member in self._choose_peers():
                tasks.start_soon(self._send_digest_once, member, digest)

    async def _send_digest_once(
        self, member: membership.Member, digest: messages.Digest
    ) -> None:
        with contextlib.suppress(errors.ProtocolError):
            peer_connection = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
            await peer_connection.send(digest)
            await peer_connection.close()

    async def _connect_once(self, instance: str) -> bool:
        member = self.membership.find(instance)
        if member is None or not member.inner_address:
            return False
        try:
            peer_connection = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
        except errors.ProtocolError:
            return False
        self._incarnations[instance] = peer_connection.peer.incarnation
        await peer_connection.close()
        return peer_connection.peer.instance == instance

    def _choose_peers(self) -> list[membership.Member]:
        """Returns the schedulers to link to, preferring distinct zones."""
        own = self._hello.instance
        candidates = {
            member.instance: member
            for member in self.membership.list_role(membership.ROLE_SCHEDULER)
            if member.instance != own and member.inner_address
        }
        order = rendezvous.sort_members(own, candidates)
        zones: set[str] = set()
        first = []
        for instance in order:
            if candidates[instance].zone not in zones:
                zones.add(candidates[instance].zone)
                first.append(instance)
        rest = [instance for instance in order if instance not in first]
        chosen = (first + rest)[: self._settings.limits.peers]
        return [candidates[instance] for instance in chosen]

    def _update_links(self, tasks: anyio.abc.TaskGroup) -> None:
        chosen = {member.instance for member in self._choose_peers()}
        for instance in set(self._links) - chosen:
            self._links.pop(instance).cancel()
        for instance in chosen - set(self._links):
            scope = self._links[instance] = anyio.CancelScope()
            tasks.start_soon(self._keep_link, instance, scope)

    async def _keep_link(self, instance: str, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                # A restarted instance may be listed with another address.
                member = self.membership.find(instance)
                if member is not None:
                    await self._link_once(member)
                await anyio.sleep(LINK_RETRY_S)

    async def _link_once(self, member: membership.Member) -> None:
        attempted_at = anyio.current_time()
        try:
            peer_connection = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
        except errors.ProtocolError:
            self.record_event(
                membership.Unresponsive(member.instance, attempted_at)
            )
            return
        try:
            await self.serve(peer_connection)
        except* errors.ProtocolError as group:
            logs.bind(peer=member.instance).info(
                "link closed: {}", str(group.exceptions[0])
            )

    def _record_contact(self, peer: messages.Hello) -> None:
        self._incarnations[peer.instance] = peer.incarnation
        self.record_event(membership.Responded(peer.instance))

    async def _send_digests(
        self, peer_connection: connection.Connection
    ) -> None:
        periods = self._settings.periods
        digest_filter = update_filters.DigestFilter(periods.digest_refresh_s)
        while True:
            digest = digest_filter.next(
                self.make_digest(), anyio.current_time()
            )
            if digest is not None:
                await peer_connection.send(digest)
            await anyio.sleep(periods.digest_s)

    async def _handle(
        self, peer_connection: connection.Connection, message: messages.Message
    ) -> None:
        self._record_contact(peer_connection.peer)
        match message:
            case messages.Digest():
                await self._apply_digest(peer_connection, message)
            case messages.TableReply():
                await self._apply_tables(peer_connection, message)
            case peer_messages.InstancesReply():
                self.directory.apply_reply(message)
            case peer_messages.ShareOffer():
                self.lending.accept_offer(message, anyio.current_time())
            case _:
                reply = self._make_reply(message)
                if reply is not None:
                    await peer_connection.send(reply)

    def _make_reply(self, message: messages.Message) -> messages.Message | None:
        """Returns the reply to a peer's request, or None for other messages."""
        match message:
            case messages.TableFetch():
                return self.make_table_reply(message)
            case peer_messages.InstancesFetch():
                return self.directory.make_reply(message)
            case peer_messages.ShareRequest():
                return self.lending.make_offer(message, anyio.current_time())
        return None

    async def _apply_digest(
        self, peer_connection: connection.Connection, digest: messages.Digest
    ) -> None:
        self._record_leaving(peer_connection.peer.instance, digest.leaving)
        self.epochs.observe_all(digest.epochs)
        now = anyio.current_time()
        self.quarantine.apply_quarantined(digest.quarantined, now)
        self.quarantine.apply_suspects(digest.suspects, now)
        if digest.instances_version > self.directory.listing.version:
            await peer_connection.send(self.directory.make_fetch())
        if digest.revision > self._follower.tables.revision:
            await peer_connection.send(_make_fetch(()))

    def _record_leaving(self, peer: str, leaving: tuple[str, ...]) -> None:
        is_leaving = peer in leaving
        event = membership.Left if is_leaving else membership.Returned
        self.record_event(event(peer))
        self.record_event(membership.DeparturesReported(leaving))

    async def serve_reader(
        self, peer_connection: connection.Connection
    ) -> None:
        """Serves a read-only peer until its connection closes."""
        while True:
            reply = self._make_reply(await peer_connection.receive())
            if reply is not None:
                await peer_connection.send(reply)

    def make_table_reply(
        self, fetch: messages.TableFetch
    ) -> messages.TableReply:
        """Returns the parts of the tables that a peer requests."""
        head = b"" if fetch.hashes else self._follower.read_head()
        return messages.TableReply(
            fetch_id=fetch.fetch_id,
            head=head,
            shards=self._follower.read_shards(fetch.hashes),
        )

    async def _apply_tables(
        self, peer_connection: connection.Connection, reply: messages.TableReply
    ) -> None:
        if reply.head:
            self._follower.offer_head(reply.head)
        if reply.shards:
            self._follower.offer_shards(reply.shards)
        progressed = bool(reply.head or reply.shards)
        missing = self._follower.list_missing_shards()
        if missing and progressed:
            # One shard per message, so that none exceeds the size limit.
            await peer_connection.send(_make_fetch((missing[0],)))


async def _query_outstanding(
    peer_connection: connection.Connection,
    gateway: str,
    query: messages.OutstandingQuery,
) -> GatewayReply | None:
    if peer_connection.peer.instance != gateway:
        return None
    await peer_connection.send(query)
    while True:
        reply = await peer_connection.receive()
        match reply:
            case messages.OutstandingReply() if (
                reply.query_id == query.query_id
            ):
                return GatewayReply(peer_connection.peer.incarnation, reply)


def _make_fetch(hashes: tuple[str, ...]) -> messages.TableFetch:
    return messages.TableFetch(fetch_id=uuid.uuid4().hex, hashes=hashes)
