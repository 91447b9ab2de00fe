"""The pool of links to schedulers, and what the schedulers tell."""

import contextlib
import itertools
import random
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import epochs
from tamaracktide.core import routing
from tamaracktide.core import rows
from tamaracktide.gateway import grants
from tamaracktide.gateway import links
from tamaracktide.gateway import membership
from tamaracktide.gateway import sources
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings

MEMBERS_PERIOD_S = 0.25


class SchedulerPool:
    """Keeps one link to each listed scheduler.

    Attributes:
        epochs: Highest ownership epochs seen.
        uses: Latest reported use of each cell.
        quarantined: Fingerprints of requests that are refused.
        grants: Grants in use.
    """

    def __init__(
        self,
        members: membership.Membership,
        tables: sources.TablesSource,
        open_connection: links.Opener,
        settings: protocol_settings.InnerSettings,
        rng: random.Random,
    ) -> None:
        """Builds a pool without links."""
        self._members = members
        self._tables = tables
        self._digests: dict[str, messages.Digest] = {}
        self._open = open_connection
        self._settings = settings
        self._rng = rng
        self._links: dict[str, links.Link] = {}
        self.epochs = epochs.EpochTracker()
        self.uses: dict[rows.CellId, routing.CellUtilization] = {}
        self.quarantined: frozenset[str] = frozenset()
        self.grants = grants.GrantTable()

    async def run(self) -> None:
        """Follows the instance list until cancelled."""
        await self._members.loaded.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_links(tasks)
                await anyio.sleep(MEMBERS_PERIOD_S)

    def list_members(self) -> list[routing.Member]:
        """Returns live schedulers and whether they can be reached."""
        return [
            routing.Member(link.instance, link.zone, link.connected)
            for link in self._links.values()
            if self._members.find_live(link.instance) is not None
        ]

    def find(self, instance: str) -> links.Link | None:
        """Returns the link to a scheduler that can be reached."""
        link = self._links.get(instance)
        return link if link is not None and link.connected else None

    @property
    def connected(self) -> bool:
        """Whether any scheduler can be reached."""
        return any(link.connected for link in self._links.values())

    async def ask_grant(
        self, instance: str, request: messages.GrantRequest
    ) -> messages.GrantReply | messages.RefusalReply:
        """Asks a scheduler for a grant.

        A caller that is cancelled withdraws the request.

        Raises:
            errors.ProtocolError: The scheduler cannot be reached.
        """
        link = self._links.get(instance)
        if link is None:
            raise links.make_unreachable_error(instance)
        try:
            reply = await link.ask(request.request_id, request)
        except anyio.get_cancelled_exc_class():
            await self._withdraw(link, request.request_id)
            raise
        match reply:
            case messages.GrantReply() | messages.RefusalReply():
                return reply
        raise links.make_unreachable_error(instance)

    async def release(
        self, grant: grants.Grant, release: messages.GrantRelease
    ) -> None:
        """Gives a grant back to who gave it and to the cell's owner now."""
        self.grants.remove(grant)
        owners = routing.list_owners(grant.cell, self.list_members())
        targets = {grant.scheduler, *(one.instance for one in owners[:1])}
        for instance in sorted(targets):
            link = self.find(instance)
            if link is None:
                continue
            with contextlib.suppress(errors.ProtocolError):
                await link.send(release)

    def _update_links(self, tasks: anyio.abc.TaskGroup) -> None:
        listed = {one.id: one for one in self._members.list_schedulers()}
        for instance, link in list(self._links.items()):
            one = listed.get(instance)
            moved = one is not None and one.inner_address != link.address
            if moved or (one is None and not link.connected):
                link.stopped.cancel()
                del self._links[instance]
        for instance, one in listed.items():
            if instance in self._links:
                continue
            link = links.Link(
                instance,
                one.inner_address,
                one.zone,
                self._open,
                self._settings,
                self._rng,
            )
            self._links[instance] = link
            tasks.start_soon(link.run, self._greet, self._handle)

    async def _greet(self, link: links.Link) -> None:
        """Tells a scheduler which of its grants are in use."""
        for cell in sorted(self.grants.list_cells(link.instance)):
            await link.send(self.grants.make_reply(cell, ""))

    async def _handle(
        self, link: links.Link, message: messages.Message
    ) -> None:
        match message:
            case messages.Heartbeat(loads=loads):
                for load in loads:
                    self._keep_load(load)
            case messages.OutstandingQuery():
                self.epochs.observe_all(message.epochs)
                cell = rows.CellId(message.pool, message.zone)
                await link.send(
                    self.grants.make_reply(
                        cell, message.query_id, message.epochs
                    )
                )
            case messages.Digest():
                await self._take_digest(link, message)
            case messages.TableReply():
                await self._take_tables(link, message)
            case messages.GrantReply():
                # Nobody waits for it any more.
                await link.send(
                    messages.GrantRelease(
                        request_id=message.request_id,
                        grant_id=message.grant_id,
                        upstream=message.upstream,
                    )
                )

    async def _take_digest(
        self, link: links.Link, digest: messages.Digest
    ) -> None:
        """Keeps the latest digest of each scheduler."""
        self.epochs.observe_all(digest.epochs)
        self._digests[link.instance] = digest
        self._digests = {
            instance: known
            for instance, known in self._digests.items()
            if self.find(instance) is not None
        }
        known = self._digests.values()
        self.quarantined = frozenset(
            itertools.chain.from_iterable(one.quarantined for one in known)
        )
        self._members.mark_leaving(
            itertools.chain.from_iterable(one.leaving for one in known)
        )
        if digest.revision > self._tables.tables.revision:
            await link.send(_make_fetch(()))

    async def _take_tables(
        self, link: links.Link, reply: messages.TableReply
    ) -> None:
        """Takes in newer tables and fetches what they still lack."""
        if reply.head:
            self._tables.offer_head(reply.head)
        self._tables.offer_shards(reply.shards)
        missing = self._tables.list_missing_shards()
        if missing and (reply.head or reply.shards):
            # One shard a message, so that none exceeds the size limit.
            await link.send(_make_fetch((missing[0],)))

    def _keep_load(self, load: messages.CellLoad) -> None:
        cell = rows.CellId(load.pool, load.zone)
        self.uses[cell] = routing.CellUtilization(
            load.running, load.capacity, load.waiting, load.wait_s
        )

    async def _withdraw(self, link: links.Link, request_id: str) -> None:
        with (
            anyio.move_on_after(1.0, shield=True),
            contextlib.suppress(errors.ProtocolError),
        ):
            await link.send(messages.GrantRelease(request_id=request_id))


def _make_fetch(hashes: tuple[str, ...]) -> messages.TableFetch:
    return messages.TableFetch(fetch_id=uuid.uuid4().hex, hashes=hashes)
