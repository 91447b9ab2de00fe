"""Objects of the store: who reads them, and how the others get them.

Relays follow the store and forward changes to their members. A member that is
without a relay, or whose relays do not reach the store, follows it itself. The
routing document is forwarded only to peers of builds that do not read it
themselves (`document_exchange`).
"""

from collections.abc import Iterator
import contextlib
import functools
import random

import anyio
import anyio.lowlevel
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import batches
from tamaracktide.core import catch_up
from tamaracktide.core import rendezvous
from tamaracktide.core import stream_origins
from tamaracktide.core import version_statements
from tamaracktide.entry import cluster_state
from tamaracktide.entry import document_exchange
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import report_exchange
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import store_follower
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.protocol import codec
from tamaracktide.protocol import entry_messages

DETACHED_S = 0.5
"""Time without a relay after which a member follows the store itself. Together
with the timeout of a link it leaves half of the time in which a drain must be
observed."""

STORE_SILENT_S = 1.0
"""Time without a response of the store to any relay after which members try
to reach it."""

SUBSTITUTE_CHANCE = 0.02
"""Chance that a member tries it in one report period."""

SUBSTITUTE_S = 30.0
"""Time for which such a member follows the store."""

FIRST_LIST_DELAY_S = 0.5
"""Time between the first registration of an instance and its list of all of
them, as they all start at about the same time. Their relay plan would else
change with each of them."""

FIRST_ERA = 1
"""Latest era of a store that was never restored."""

REGISTRATION_WAIT_S = 0.8
"""Time for which the list of instances waits for the registration."""

RELAY_WATCH_PAUSE_S = 0.6
"""Pause before the next watch of upstreams in a large cluster. With the
forwarding to members it is a fifth of the time in which a drain must be
observed there."""

MAX_NOTICE_BYTES = 65_536
"""Size of the objects in one notice, beyond which another one follows. Reports
wait behind the notice that is being sent."""

REGISTRATION_RETRY_S = 1.0

REGISTRATION_SPREAD_S = 1.0
"""Time over which instances register again after a change of the store's era,
which all of them notice at about the same time."""


class ObjectExchange:
    """Follows the store where this instance must, and forwards its objects.

    Attributes:
        documents: How the routing document is read.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        collections: entry_adapter.Collections,
        store: object_store.ValueStore,
        state: cluster_state.ClusterState,
        store_health: store_follower.StoreHealth,
        reports: report_exchange.ReportExchange,
        peers: entry_peers.Peers,
    ) -> None:
        """Starts without following the store.

        Args:
            settings: The instance's settings.
            collections: Keys in the store.
            store: The store.
            state: The cluster state, which applies the objects.
            store_health: Tracks whether the store is reachable.
            reports: What relays report of the store.
            peers: Links to relays and members.
        """
        self._settings = settings
        self._collections = collections
        self._store = store
        self._cluster_state = state
        self._store_health = store_health
        self._reports = reports
        self._peers = peers
        self._store_use = store_follower.StoreUse()
        self._catch_up = catch_up.CatchUp()
        self._is_new = False
        self._has_stated = False
        self._unstated_until = anyio.current_time() + stream_origins.RETENTION_S
        self._is_first_start: bool | None = None
        self._registered = anyio.Event()
        self._must_register = anyio.Event()
        state.listen_for_eras(self._handle_era)
        self.documents = document_exchange.DocumentExchange(
            collections.document,
            state,
            store_health,
            self._store_use,
            peers,
            self._apply_document,
        )
        self._detached_at = anyio.current_time()
        self._substitute_until = float("-inf")

    @property
    def store_silent_s(self) -> float:
        """Time since the store responded, as this instance reports it."""
        if not self._store_use.is_needed:
            return report_exchange.NOT_USED_S
        return self._store_health.unreachable_s

    @property
    def is_first_start(self) -> bool:
        """Whether no instance of the deployment had registered before.

        Only the instance that registered first knows. Registrations are kept,
        but a restored store may lack them.
        """
        if self._is_first_start is None:
            state = self._cluster_state
            if self._collections.instances not in state.listed:
                return False
            self._is_first_start = (
                self._is_new
                and state.era <= FIRST_ERA
                and state.find_first_registered() == self._settings.instance
            )
        return self._is_first_start

    @property
    def is_new_to_streams(self) -> bool | None:
        """Whether earlier processes have stated all that they began.

        None until this instance has registered. A restored store may lack what
        they stated.
        """
        if not self._registered.is_set():
            return None
        has_stated = self._is_new or self._has_stated
        return has_stated and self._cluster_state.era <= FIRST_ERA

    @property
    def may_be_unstated(self) -> bool:
        """Whether an instance of an earlier build may have begun streams."""
        if not self._cluster_state.instances:
            return True
        if not self._list_unstated():
            return False
        is_recent = anyio.current_time() < self._unstated_until
        return is_recent or not self._peers.plan.is_flat

    def choose_witness(
        self, present: version_statements.Witness
    ) -> version_statements.Witness | None:
        """Returns the process that is told of the streams of this instance.

        In a large cluster instances are told with the reports only, and nobody
        is a witness. Without a linked peer, the store is.
        """
        if not self._peers.plan.is_flat:
            return None
        unstated = self._list_unstated()
        linked = {
            peer.instance: peer.incarnation
            for peer in self._peers.list_linked()
            if peer.instance not in unstated
        }
        if linked.get(present.instance) == present.process:
            return present
        own = self._settings.instance
        for name in rendezvous.sort_members(own, linked):
            return version_statements.Witness(name, linked[name])
        return version_statements.Witness()

    def _list_unstated(self) -> set[str]:
        """Returns the instances of builds that state no versions."""
        records = self._cluster_state.instances.items()
        return {name for name, r in records if not r.states_versions} - {
            self._settings.instance
        }

    def make_followers(self) -> Iterator[store_follower.Follower]:
        """Returns the followers of all collections, which must be run."""
        collections = self._collections
        make_follower = functools.partial(
            store_follower.Follower,
            store=self._store,
            state=self._cluster_state,
            store_health=self._store_health,
            on_change=self._forward,
        )
        documents = make_follower(
            collections.documents,
            store_health=self.documents,
            wait_until_needed=anyio.lowlevel.checkpoint,
            find_max_wait_s=self.documents.find_watch_wait_s,
            on_bytes=self.documents.record_bytes,
        )
        self.documents.restart = documents.restart_call
        yield documents
        yield make_follower(
            collections.upstreams,
            wait_until_needed=self._store_use.wait,
            find_watch_pause_s=self._find_watch_pause_s,
        )
        yield make_follower(
            collections.versions,
            wait_until_needed=self._store_use.wait,
            find_max_wait_s=lambda: store_follower.MAX_VERSION_WATCH_WAIT_S,
        )
        yield make_follower(
            collections.instances,
            wait_until_needed=self._wait_to_list_instances,
            find_max_wait_s=lambda: store_follower.MAX_INSTANCE_WATCH_WAIT_S,
        )

    def update(self) -> None:
        """Decides once per report period who follows the store."""
        for peer in self._peers.list_linked():
            if peer.known.era:
                self._cluster_state.observe_era(peer.known.era)
        self._store_use.update(self._needs_store(anyio.current_time()))
        self._request_missing()
        self.documents.update()
        self._send_lost()
        linked = {peer.instance for peer in self._peers.list_linked()}
        if linked & self._list_unstated():
            self._unstated_until = (
                anyio.current_time() + stream_origins.RETENTION_S
            )

    async def register(self) -> None:
        """Keeps this instance's address registered until cancelled.

        The registration is written again after a change of the store's era.
        """
        while True:
            self._must_register = anyio.Event()
            await self._register_once()
            await self._must_register.wait()
            await anyio.sleep(random.uniform(0, REGISTRATION_SPREAD_S))

    async def _register_once(self) -> None:
        settings = self._settings
        key = self._collections.instances + settings.instance
        value = msgspec.json.encode(
            cluster_state.InstanceRecord(
                ip=settings.ip,
                zone=settings.availability_zone,
                states_versions=True,
            )
        )
        while True:
            await self._store_health.wait()
            try:
                await self._write_registration(key, value)
            except errors.PlatformError as error:
                logs.bind(code=error.code.value).warning(
                    "registration failed; retrying: {}", error.detail
                )
                await anyio.sleep(
                    REGISTRATION_RETRY_S * random.uniform(0.5, 1.5)
                )
                continue
            self._registered.set()
            return

    def apply(self, sender: str, notice: entry_messages.ObjectsNotice) -> None:
        """Applies objects of the store that another instance has observed."""
        if notice.era:
            self._cluster_state.observe_era(notice.era)
        if notice.recovered_s >= 0:
            recovered_at = anyio.current_time() - notice.recovered_s
            self._cluster_state.record_recovery(recovered_at)
        changed = self._cluster_state.apply(
            object_store.Item(
                item.key,
                item.version,
                None if item.deleted else item.value,
                notice.era,
            )
            for item in notice.items
        )
        self._cluster_state.knows_upstreams = True
        self._forward(changed, sender)

    def send_all(self, peer: entry_peers.Peer, link: entry_peers.Link) -> None:
        """Sends every known object once on a link to a peer without a store."""
        if link.has_objects or not _lacks_store(peer):
            return
        items = self._select(self._cluster_state.list_items(), peer)
        if not items:
            return
        link.has_objects = all(
            link.queue.put(notice) for notice in self._make_notices(items)
        )

    def send_newer(
        self, peer: entry_peers.Peer, request: entry_messages.ObjectsRequest
    ) -> None:
        """Sends a peer the objects that it lacks."""
        items = self._cluster_state.list_newer(request.known)
        for notice in self._make_notices(self._select(items, peer)):
            peer.send(notice)

    async def _write_registration(self, key: str, value: bytes) -> None:
        try:
            await self._store.create(key, value)
            self._is_new = True
            await anyio.sleep(FIRST_LIST_DELAY_S)
        except errors.PreconditionFailedError:
            stored = await self._store.read(key)
            # One that cannot be decoded is replaced.
            with contextlib.suppress(errors.PlatformError):
                before = cluster_state.decode_instance(key, stored.value)
                self._has_stated = before.states_versions
            if stored.value != value:
                await self._store.update(key, value, stored.version)

    def _forward(
        self, items: list[object_store.Item], sender: str = ""
    ) -> None:
        """Forwards store changes to members and isolated peers."""
        receivers = [
            peer
            for peer in self._peers.list_linked()
            if peer.instance != sender
            and (peer.instance == self._peers.relay or _lacks_store(peer))
        ]
        pushed = [item for item in items if not self._is_document(item)]
        for notice in self._make_notices(pushed):
            _send_notice(receivers, notice)
        documents = [item for item in items if self._is_document(item)]
        receivers = [peer for peer in receivers if not _fetches_document(peer)]
        for notice in self._make_notices(documents):
            _send_notice(receivers, notice)

    def _apply_document(self, sender: str, item: object_store.Item) -> None:
        """Applies a routing document that a peer has sent in parts."""
        self._forward(self._cluster_state.apply([item]), sender)

    def _is_document(self, item: object_store.Item) -> bool:
        return item.key == self._collections.document

    def _select(
        self, items: list[object_store.Item], peer: entry_peers.Peer
    ) -> list[object_store.Item]:
        """Returns what a peer is sent; the document only if it must be."""
        if not _fetches_document(peer):
            return items
        return [item for item in items if not self._is_document(item)]

    def _handle_era(self, era: int) -> None:
        """Writes again what this instance wrote in an earlier era."""
        del era
        self._must_register.set()

    def _make_notices(
        self, items: list[object_store.Item]
    ) -> list[entry_messages.ObjectsNotice]:
        """Returns notices of bounded size, each of objects of one era."""
        recovered_s = self._cluster_state.find_recovered_s()
        return [
            entry_messages.ObjectsNotice(
                items=tuple(_make_object_update(item) for item in batch),
                recovered_s=recovered_s,
                era=era,
            )
            for era in sorted({item.era for item in items})
            for batch in batches.split(
                [item for item in items if item.era == era],
                lambda item: len(item.key) + len(item.value or b""),
                MAX_NOTICE_BYTES,
            )
        ]

    async def _wait_to_list_instances(self) -> None:
        """Waits until the instances must be listed, as they are at a start."""
        if self._peers.is_discovered:
            await self._store_use.wait()
            return
        with anyio.move_on_after(REGISTRATION_WAIT_S):
            await self._registered.wait()

    def _find_watch_pause_s(self) -> float:
        if not self._peers.plan.is_flat:
            return RELAY_WATCH_PAUSE_S
        return store_follower.find_watch_pause_s(
            1 + len(self._peers.list_relays())
        )

    def _request_missing(self) -> None:
        """Asks a peer for changes that did not arrive here."""
        known = self._cluster_state.find_versions()
        peers = {
            peer.instance: peer.known for peer in self._peers.list_linked()
        }
        peer = self._catch_up.update(known, peers, anyio.current_time())
        if not peer:
            return
        logs.bind(
            peer=peer,
            documents=known.documents,
            upstreams=known.upstreams,
            versions=known.versions,
        ).info("changes of the store missed; requesting them from a peer")
        self._peers.send(peer, entry_messages.ObjectsRequest(known=known))
        if not self._store_use.is_needed:
            return
        # Other relays forward changes at once to one that reports an outage.
        self._store_health.record_failure(
            errors.PlatformUnavailableError(
                result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                "changes that others observed did not arrive",
            )
        )

    def _send_lost(self) -> None:
        """Sends once on a link, per era, what a restored store has lost.

        An instance that started after the restoration knows only the copy.
        """
        era = self._cluster_state.era
        if era <= FIRST_ERA:
            return
        lost = self._cluster_state.list_lost()
        if not lost:
            return
        for peer in self._peers.list_linked():
            notices = self._make_notices(self._select(lost, peer))
            for link in peer.links:
                if link.lost_era != era and all(
                    link.queue.put(notice) for notice in notices
                ):
                    link.lost_era = era

    def _needs_store(self, now: float) -> bool:
        """Whether this instance must follow the store itself."""
        if not self._peers.is_discovered:
            self._detached_at = now
            return False
        if self._peers.is_relay or now < self._substitute_until:
            return True
        if not self._peers.relay:
            return now >= self._detached_at + DETACHED_S
        self._detached_at = now
        silent_s = self._reports.store_silent_s
        if silent_s > STORE_SILENT_S and random.random() < SUBSTITUTE_CHANCE:
            self._substitute_until = now + SUBSTITUTE_S
        return now < self._substitute_until


def _lacks_store(peer: entry_peers.Peer) -> bool:
    """Whether a peer gets the store's objects from this instance."""
    report = peer.report
    if report is None:
        return False
    return not report.is_relay or report.store_silent_s > 0


def _fetches_document(peer: entry_peers.Peer) -> bool:
    """Whether a peer's build reads the routing document by itself."""
    return peer.revision >= document_exchange.PARTS_REVISION


def _send_notice(
    receivers: list[entry_peers.Peer], notice: entry_messages.ObjectsNotice
) -> None:
    encoded = codec.encode_message(notice) if receivers else b""
    for peer in receivers:
        if not peer.send(encoded):
            # The queue is full; all objects follow with a later report.
            for link in peer.links:
                link.has_objects = False


def _make_object_update(item: object_store.Item) -> entry_messages.ObjectUpdate:
    return entry_messages.ObjectUpdate(
        key=item.key,
        version=item.version,
        value=item.value or b"",
        deleted=item.value is None,
    )
