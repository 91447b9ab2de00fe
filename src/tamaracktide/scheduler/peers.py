"""Knows the other instances: the list, probes, links and digests."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import epochs
from tamaracktide.core import membership
from tamaracktide.core import rendezvous
from tamaracktide.observability import logs
from tamaracktide.platform import instances as instances_module
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.tables import follower as tables_follower

LINK_RETRY_S = 1.0
STATE_LEAVING = "leaving"

ListReader = Callable[[], Awaitable[tuple[instances_module.Instance, ...]]]


class Peers:
    """What this scheduler knows of all others.

    Attributes:
        membership: Live instances and owners of cells.
        epochs: Highest ownership epochs seen.
        own_epochs: Epochs of the upstreams that this scheduler owns.
        listed_at: When the instance list was last read, or None.
    """

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        hello: messages.Hello,
        read_list: ListReader,
        follower: tables_follower.Follower,
    ) -> None:
        """Starts without peers; `run` finds them."""
        self.membership = membership.Membership(
            settings.membership, settings.instance, settings.zone
        )
        self.epochs = epochs.EpochRecord()
        self.own_epochs: dict[str, int] = {}
        self.listed_at: float | None = None
        self._settings = settings
        self._hello = hello
        self._read_list = read_list
        self._follower = follower
        self._incarnations: dict[str, str] = {}
        self._probes: dict[str, anyio.Event] = {}
        self._linked: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Follows the instance list and keeps links until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.refresh()
                self._update_links(tasks)
                await anyio.sleep(self._settings.periods.instances_s)

    async def refresh(self) -> None:
        """Reads the instance list once; a failed read changes nothing."""
        try:
            listed = await self._read_list()
        except errors.PlatformError as error:
            logs.bind(code=error.code.value).warning(
                "instance list not read: {}", error.detail
            )
            return
        self.listed_at = anyio.current_time()
        members = tuple(
            membership.Member(
                instance=one.id,
                role=one.role,
                zone=one.zone,
                address=one.address,
                inner_address=one.inner_address,
                leaving=one.state == STATE_LEAVING,
            )
            for one in listed
        )
        self.note(membership.ListRead(members))

    def is_platform_heard(self) -> bool:
        """Whether the platform answered the last read of the list."""
        if self.listed_at is None:
            return False
        age_s = anyio.current_time() - self.listed_at
        return age_s < 2 * self._settings.periods.instances_s

    def note(self, event: membership.MembershipEvent) -> None:
        """Takes in a fact about instances."""
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
        event = membership.Heard if reachable else membership.Silent
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
            await self.refresh()
        now = anyio.current_time()
        reachable = self.membership.is_reachable(owner, now)
        if reachable is None:
            reachable = await self.probe(owner)
        return reachable and self._incarnations.get(owner) == incarnation

    async def serve(self, opened: connection.Connection) -> None:
        """Exchanges heartbeats and digests with a peer until it closes."""
        self._hear(opened.peer)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                heartbeats.keep_alive, opened, self._settings.inner
            )
            tasks.start_soon(self._send_digests, opened)
            while True:
                await self._handle(opened, await opened.receive())

    def make_digest(self) -> messages.Digest:
        """Returns what this scheduler knows."""
        now = anyio.current_time()
        return messages.Digest(
            revision=self._follower.tables.revision,
            leaving=self.membership.list_leaving(now),
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
            self.note(membership.Silent(member.instance))
            return
        try:
            await self.serve(opened)
        except* errors.ProtocolError as group:
            logs.bind(peer=member.instance).info(
                "link ended: {}", str(group.exceptions[0])
            )

    def _hear(self, peer: messages.Hello) -> None:
        self._incarnations[peer.instance] = peer.incarnation
        self.note(membership.Heard(peer.instance))

    async def _send_digests(self, opened: connection.Connection) -> None:
        while True:
            await opened.send(self.make_digest())
            await anyio.sleep(self._settings.periods.digest_s)

    async def _handle(
        self, opened: connection.Connection, message: messages.Message
    ) -> None:
        self._hear(opened.peer)
        match message:
            case messages.Digest():
                self._note_leaving(opened.peer.instance, message.leaving)
                self.epochs.observe_all(message.epochs)
                if message.revision > self._follower.tables.revision:
                    await opened.send(_make_fetch(()))
            case messages.TableFetch():
                await opened.send(self.make_table_reply(message))
            case messages.TableReply():
                await self._take_tables(opened, message)

    def _note_leaving(self, peer: str, leaving: tuple[str, ...]) -> None:
        leaves = peer in leaving
        event = membership.Left if leaves else membership.Returned
        self.note(event(peer))
        self.note(membership.PeersTold(leaving))

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


def _make_fetch(hashes: tuple[str, ...]) -> messages.TableFetch:
    return messages.TableFetch(fetch_id=uuid.uuid4().hex, hashes=hashes)
