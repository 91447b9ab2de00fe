"""A pool of links to schedulers and the state that schedulers report."""

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

LINK_UPDATE_INTERVAL_S = 0.25


class SchedulerPool:
    """Maintains one link to each listed scheduler.

    Attributes:
        epochs: Highest ownership epochs observed.
        utilization: Latest reported utilization of each cell.
        quarantined: Fingerprints of requests that are refused as quarantined.
        grants: Grants in use.
    """

    def __init__(
        self,
        members: membership.Membership,
        tables: sources.TablesSource,
        open_connection: links.ConnectionFactory,
        settings: protocol_settings.InnerSettings,
        rng: random.Random,
    ) -> None:
        """Creates a pool without links."""
        self._members = members
        self._tables = tables
        self._digests: dict[str, messages.Digest] = {}
        self._open_connection = open_connection
        self._settings = settings
        self._rng = rng
        self._links: dict[str, links.Link] = {}
        self.epochs = epochs.EpochTracker()
        self.utilization: dict[rows.CellId, routing.CellUtilization] = {}
        self.quarantined: frozenset[str] = frozenset()
        self.grants = grants.GrantTable()

    async def run(self) -> None:
        """Updates the links from the instance list until cancelled."""
        await self._members.loaded.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_links(tasks)
                await anyio.sleep(LINK_UPDATE_INTERVAL_S)

    def list_members(self) -> list[routing.Member]:
        """Returns live schedulers and whether each is reachable."""
        return [
            routing.Member(link.instance, link.zone, link.connected)
            for link in self._links.values()
            if self._members.find_live(link.instance) is not None
        ]

    def find(self, instance: str) -> links.Link | None:
        """Returns the link to a scheduler, or None if it is unreachable."""
        link = self._links.get(instance)
        return link if link is not None and link.connected else None

    @property
    def connected(self) -> bool:
        """Whether any scheduler is reachable."""
        return any(link.connected for link in self._links.values())

    async def send_grant_request(
        self, instance: str, request: messages.GrantRequest
    ) -> messages.GrantReply | messages.RefusalReply:
        """Requests a grant from a scheduler and returns the reply.

        If the calling task is cancelled, the request is withdrawn.

        Raises:
            errors.ProtocolError: The scheduler is unreachable.
        """
        link = self._links.get(instance)
        if link is None:
            raise links.make_unreachable_error(instance)
        try:
            reply = await link.send_request(request.request_id, request)
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
        """Releases a grant at its issuer and at the cell's current owner."""
        self.grants.remove(grant)
        owners = routing.list_owners(grant.cell, self.list_members())
        targets = {grant.scheduler, *(owner.instance for owner in owners[:1])}
        for instance in sorted(targets):
            link = self.find(instance)
            if link is None:
                continue
            with contextlib.suppress(errors.ProtocolError):
                await link.send(release)

    def _update_links(self, tasks: anyio.abc.TaskGroup) -> None:
        listed = {
            scheduler.id: scheduler
            for scheduler in self._members.list_schedulers()
        }
        for instance, link in list(self._links.items()):
            scheduler = listed.get(instance)
            moved = (
                scheduler is not None
                and scheduler.inner_address != link.address
            )
            if moved or (scheduler is None and not link.connected):
                link.stopped.cancel()
                del self._links[instance]
        for instance, scheduler in listed.items():
            if instance in self._links:
                continue
            link = links.Link(
                instance,
                scheduler.inner_address,
                scheduler.zone,
                self._open_connection,
                self._settings,
                self._rng,
            )
            self._links[instance] = link
            tasks.start_soon(link.run, self._report_grants, self._handle)

    async def _report_grants(self, link: links.Link) -> None:
        """Reports to a scheduler which of its grants are in use."""
        for cell in sorted(self.grants.list_cells(link.instance)):
            await link.send(self.grants.make_reply(cell, ""))

    async def _handle(
        self, link: links.Link, message: messages.Message
    ) -> None:
        match message:
            case messages.Heartbeat(loads=loads):
                for load in loads:
                    self._record_load(load)
            case messages.OutstandingQuery():
                self.epochs.observe_all(message.epochs)
                cell = rows.CellId(message.pool, message.zone)
                await link.send(
                    self.grants.make_reply(
                        cell, message.query_id, message.epochs
                    )
                )
            case messages.Digest():
                await self._apply_digest(link, message)
            case messages.TableReply():
                await self._apply_tables(link, message)
            case messages.GrantReply():
                # A reply to a cancelled request: no task waits for it.
                await link.send(
                    messages.GrantRelease(
                        request_id=message.request_id,
                        grant_id=message.grant_id,
                        upstream=message.upstream,
                    )
                )

    async def _apply_digest(
        self, link: links.Link, digest: messages.Digest
    ) -> None:
        """Records a digest and updates the state merged from all digests.

        Only the latest digest of each reachable scheduler is retained.
        """
        self.epochs.observe_all(digest.epochs)
        self._digests[link.instance] = digest
        self._digests = {
            instance: latest
            for instance, latest in self._digests.items()
            if self.find(instance) is not None
        }
        digests = self._digests.values()
        self.quarantined = frozenset(
            itertools.chain.from_iterable(
                latest.quarantined for latest in digests
            )
        )
        self._members.set_leaving(
            itertools.chain.from_iterable(latest.leaving for latest in digests)
        )
        if digest.revision > self._tables.tables.revision:
            await link.send(_make_fetch(()))

    async def _apply_tables(
        self, link: links.Link, reply: messages.TableReply
    ) -> None:
        """Applies newer tables and fetches the next missing shard."""
        if reply.head:
            self._tables.offer_head(reply.head)
        self._tables.offer_shards(reply.shards)
        missing = self._tables.list_missing_shards()
        if missing and (reply.head or reply.shards):
            # One shard per message, so that no reply exceeds the size limit.
            await link.send(_make_fetch((missing[0],)))

    def _record_load(self, load: messages.CellLoad) -> None:
        cell = rows.CellId(load.pool, load.zone)
        self.utilization[cell] = routing.CellUtilization(
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
