"""Knows the other instances: the list, probes, links and digests."""

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
from tamaracktide.peering import outgoing
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
class GatewayAnswer:
    """A gateway's answer over a short connection.

    Attributes:
        incarnation: The incarnation that answered.
        reply: Its grants in use.
    """

    incarnation: str
    reply: messages.OutstandingReply


class Peers:
    """What this scheduler knows of all others.

    Attributes:
        membership: Live instances and owners of cells.
        epochs: Highest ownership epochs seen.
        lending: This scheduler's part of the weight store's rate.
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
        """Starts without peers; `run` finds them."""
        self.membership = membership.Membership(
            settings.membership, settings.instance, settings.zone
        )
        self.epochs = epochs.EpochTracker()
        self.own_epochs: dict[str, int] = {}
        self.lending = lending.Lending(settings)
        self.quarantine = quarantine.Quarantine(settings.quarantine)
        self.directory = directory.Directory(
            settings, hello, read_list, follower, rng, self._take_list
        )
        self._settings = settings
        self._hello = hello
        self._read_list = read_list
        self._follower = follower
        self._incarnations: dict[str, str] = {}
        self._probes: dict[str, anyio.Event] = {}
        self._opened: list[connection.Connection] = []
        self._linked: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Follows the instance list and keeps links until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.directory.run)
            while True:
                self._update_links(tasks)
                await anyio.sleep(LINKS_PERIOD_S)

    def _take_list(self, members: tuple[membership.Member, ...]) -> None:
        self.note(membership.ListRead(members))

    def note(self, event: membership.MembershipEvent) -> None:
        """Takes in a fact about instances."""
        if isinstance(event, membership.Unresponsive | membership.Left):
            self.directory.look_soon()
        self.membership.handle(event, anyio.current_time())

    async def probe(self, instance: str) -> bool:
        """Returns whether an instance answers over a new connection.

        Several callers share one probe.
        """
        running = self._probes.get(instance)
        if running is not None:
            await running.wait()
            now = anyio.current_time()
            return self.membership.is_reachable(instance, now) is True
        self._probes[instance] = anyio.Event()
        try:
            reachable = await self._connect_once(instance)
        finally:
            self._probes.pop(instance).set()
        event = membership.Responded if reachable else membership.Unresponsive
        self.note(event(instance))
        return reachable

    async def probe_all(self, instances: list[str]) -> None:
        """Probes several instances at once."""
        async with anyio.create_task_group() as tasks:
            for instance in instances:
                tasks.start_soon(self.probe, instance)

    async def probe_owner(self, owner: str, incarnation: str) -> bool:
        """Returns whether this incarnation of a scheduler answers."""
        if self.membership.find(owner) is None:
            await self.directory.refresh()
        now = anyio.current_time()
        reachable = self.membership.is_reachable(owner, now)
        if reachable is None:
            reachable = await self.probe(owner)
        return reachable and self._incarnations.get(owner) == incarnation

    async def ask_gateway(
        self, gateway: str, query: messages.OutstandingQuery
    ) -> GatewayAnswer | None:
        """Asks a gateway over a short connection to its inner address.

        Returns:
            Its answer, or None if it can't be reached or does not answer.
        """
        member = self.membership.find(gateway)
        if member is None or not member.inner_address:
            return None
        timeout_s = self._settings.inner.handshake_timeout_s
        with (
            contextlib.suppress(errors.ProtocolError),
            anyio.move_on_after(2 * timeout_s),
        ):
            opened = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
            try:
                return await _ask_outstanding(opened, gateway, query)
            finally:
                with anyio.CancelScope(shield=True):
                    await opened.close()
        return None

    async def serve(self, opened: connection.Connection) -> None:
        """Exchanges heartbeats and digests with a peer until it closes."""
        self._hear(opened.peer)
        self._opened.append(opened)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    heartbeats.keep_alive, opened, self._settings.inner
                )
                tasks.start_soon(self._send_digests, opened)
                while True:
                    await self._handle(opened, await opened.receive())
        finally:
            self._opened.remove(opened)

    async def borrow(self) -> None:
        """Asks the linked schedulers for a loan, one at a time, if needed."""
        now = anyio.current_time()
        if not self._opened:
            return
        request = self.lending.make_request(now)
        if request is None:
            return
        self._opened.append(self._opened.pop(0))
        with contextlib.suppress(errors.ProtocolError):
            await self._opened[-1].send(request)

    def make_digest(self) -> messages.Digest:
        """Returns what this scheduler knows."""
        now = anyio.current_time()
        return messages.Digest(
            revision=self._follower.tables.revision,
            leaving=self.membership.list_leaving(now),
            quarantined=self.quarantine.list_announced(now),
            suspects=self.quarantine.list_suspects(now),
            instances_version=self.directory.listing.version,
            epochs=self.own_epochs,
        )

    async def tell_leaving(self) -> None:
        """Tells linked and near schedulers that this one stops."""
        self.note(membership.Left(self._hello.instance))
        digest = self.make_digest()
        async with anyio.create_task_group() as tasks:
            for member in self._choose_peers():
                tasks.start_soon(self._tell, member, digest)

    async def _tell(
        self, member: membership.Member, digest: messages.Digest
    ) -> None:
        with contextlib.suppress(errors.ProtocolError):
            opened = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
            await opened.send(digest)
            await opened.close()

    async def _connect_once(self, instance: str) -> bool:
        member = self.membership.find(instance)
        if member is None or not member.inner_address:
            return False
        try:
            opened = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
        except errors.ProtocolError:
            return False
        self._incarnations[instance] = opened.peer.incarnation
        await opened.close()
        return opened.peer.instance == instance

    def _choose_peers(self) -> list[membership.Member]:
        """Returns the schedulers to keep links to, one a zone first."""
        own = self._hello.instance
        known = {
            one.instance: one
            for one in self.membership.list_role(membership.ROLE_SCHEDULER)
            if one.instance != own and one.inner_address
        }
        order = rendezvous.sort_members(own, known)
        zones: set[str] = set()
        first = []
        for instance in order:
            if known[instance].zone not in zones:
                zones.add(known[instance].zone)
                first.append(instance)
        rest = [instance for instance in order if instance not in first]
        chosen = (first + rest)[: self._settings.limits.peers]
        return [known[instance] for instance in chosen]

    def _update_links(self, tasks: anyio.abc.TaskGroup) -> None:
        chosen = {one.instance: one for one in self._choose_peers()}
        for instance in set(self._linked) - set(chosen):
            self._linked.pop(instance).cancel()
        for instance, member in chosen.items():
            if instance not in self._linked:
                scope = self._linked[instance] = anyio.CancelScope()
                tasks.start_soon(self._keep_link, member, scope)

    async def _keep_link(
        self, member: membership.Member, scope: anyio.CancelScope
    ) -> None:
        with scope:
            while True:
                await self._link_once(member)
                await anyio.sleep(LINK_RETRY_S)

    async def _link_once(self, member: membership.Member) -> None:
        try:
            opened = await client.open_connection(
                member.inner_address, self._hello, self._settings.inner
            )
        except errors.ProtocolError:
            self.note(membership.Unresponsive(member.instance))
            return
        try:
            await self.serve(opened)
        except* errors.ProtocolError as group:
            logs.bind(peer=member.instance).info(
                "link ended: {}", str(group.exceptions[0])
            )

    def _hear(self, peer: messages.Hello) -> None:
        self._incarnations[peer.instance] = peer.incarnation
        self.note(membership.Responded(peer.instance))

    async def _send_digests(self, opened: connection.Connection) -> None:
        periods = self._settings.periods
        told = outgoing.Outgoing(periods.digest_refresh_s)
        while True:
            digest = told.next(self.make_digest(), anyio.current_time())
            if digest is not None:
                await opened.send(digest)
            await anyio.sleep(periods.digest_s)

    async def _handle(
        self, opened: connection.Connection, message: messages.Message
    ) -> None:
        self._hear(opened.peer)
        match message:
            case messages.Digest():
                await self._take_digest(opened, message)
            case messages.TableReply():
                await self._take_tables(opened, message)
            case peer_messages.InstancesReply():
                self.directory.take(message)
            case peer_messages.ShareOffer():
                self.lending.take(message, anyio.current_time())
            case _:
                answer = self._answer(message)
                if answer is not None:
                    await opened.send(answer)

    def _answer(self, message: messages.Message) -> messages.Message | None:
        """Returns the answer to a peer's question, None for no question."""
        match message:
            case messages.TableFetch():
                return self.make_table_reply(message)
            case peer_messages.InstancesFetch():
                return self.directory.make_reply(message)
            case peer_messages.ShareRequest():
                return self.lending.answer(message, anyio.current_time())
        return None

    async def _take_digest(
        self, opened: connection.Connection, digest: messages.Digest
    ) -> None:
        self._note_leaving(opened.peer.instance, digest.leaving)
        self.epochs.observe_all(digest.epochs)
        now = anyio.current_time()
        self.quarantine.apply_quarantined(digest.quarantined, now)
        self.quarantine.apply_suspects(digest.suspects, now)
        if digest.instances_version > self.directory.listing.version:
            await opened.send(self.directory.make_fetch())
        if digest.revision > self._follower.tables.revision:
            await opened.send(_make_fetch(()))

    def _note_leaving(self, peer: str, leaving: tuple[str, ...]) -> None:
        leaves = peer in leaving
        event = membership.Left if leaves else membership.Returned
        self.note(event(peer))
        self.note(membership.DeparturesReported(leaving))

    async def serve_reader(self, opened: connection.Connection) -> None:
        """Answers a peer that only reads, until it closes."""
        while True:
            answer = self._answer(await opened.receive())
            if answer is not None:
                await opened.send(answer)

    def make_table_reply(
        self, fetch: messages.TableFetch
    ) -> messages.TableReply:
        """Returns the copies of the tables that a peer asks for."""
        head = b"" if fetch.hashes else self._follower.read_head()
        return messages.TableReply(
            fetch_id=fetch.fetch_id,
            head=head,
            shards=self._follower.read_shards(fetch.hashes),
        )

    async def _take_tables(
        self, opened: connection.Connection, reply: messages.TableReply
    ) -> None:
        if reply.head:
            self._follower.offer_head(reply.head)
        if reply.shards:
            self._follower.offer_shards(reply.shards)
        progressed = bool(reply.head or reply.shards)
        missing = self._follower.list_missing_shards()
        if missing and progressed:
            # One shard a message, so that none exceeds the size limit.
            await opened.send(_make_fetch((missing[0],)))


async def _ask_outstanding(
    opened: connection.Connection,
    gateway: str,
    query: messages.OutstandingQuery,
) -> GatewayAnswer | None:
    if opened.peer.instance != gateway:
        return None
    await opened.send(query)
    while True:
        reply = await opened.receive()
        match reply:
            case messages.OutstandingReply() if (
                reply.query_id == query.query_id
            ):
                return GatewayAnswer(opened.peer.incarnation, reply)


def _make_fetch(hashes: tuple[str, ...]) -> messages.TableFetch:
    return messages.TableFetch(fetch_id=uuid.uuid4().hex, hashes=hashes)
