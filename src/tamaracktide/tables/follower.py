"""Follows the tables by watching the head; revisions only increase."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import random

import anyio

from tamaracktide import errors
from tamaracktide import invariants
from tamaracktide import result_codes
from tamaracktide.core import table_assembly
from tamaracktide.core import table_head
from tamaracktide.core import tables
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.tables import backoff
from tamaracktide.tables import reader
from tamaracktide.tables import settings as tables_settings

Listener = Callable[[tables.Tables], None]


class Follower:
    """Tracks the newest tables offered by the platform or by a peer.

    At startup, large tables are fetched from peers first, which matters when
    all processes restart at once: reading the head costs the platform two
    calls, but there are hundreds of shards. Each process waits for a random
    fraction of `start_wait_s`, and then for as long as peers keep offering
    shards, before it reads any shard from the platform. Thus the few processes
    with a short wait read from the platform, and the others read from them. A
    process that lacks at most `start_shards` shards reads them without a wait.
    Later revisions change few shards, which are read immediately from the
    platform or a peer, whichever responds first.

    Attributes:
        confirmed_at: Time of the platform's last successful response, on
            anyio's clock; None before the first one.
    """

    def __init__(
        self,
        objects: object_store.ObjectStore,
        settings: tables_settings.FollowerSettings,
        rng: random.Random,
    ) -> None:
        """Builds a follower with empty tables, which `run` reads.

        Args:
            objects: Client of the object API.
            settings: Periods and limits.
            rng: Source of the jitter.
        """
        self.confirmed_at: float | None = None
        self._objects = objects
        self._settings = settings
        self._rng = rng
        self._assembly = table_assembly.Assembly(
            include_routes=settings.wants == "all"
        )
        self._listeners: list[Listener] = []
        self._announced_revision = 0
        self._wake = anyio.Event()
        self._shards_offered = anyio.Event()

    @property
    def tables(self) -> tables.Tables:
        """The snapshot in force; its revision only increases."""
        return self._assembly.tables

    @property
    def is_ready(self) -> bool:
        """Whether a revision is in force."""
        return self._assembly.head is not None

    def add_listener(self, listener: Listener) -> None:
        """Registers a function to be called with each new snapshot."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follows the tables until cancelled; retries during outages."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_head)
            group.start_soon(self._read_shards)

    def offer_head(self, data: bytes) -> bool:
        """Applies a head from a peer; returns whether it is newer.

        Raises:
            errors.ProtocolError: The head is malformed.
        """
        newer = self._assembly.accept_head(data)
        if newer:
            self._notify_listeners()
            self._wake.set()
        return newer

    def offer_shards(self, shards: Mapping[str, bytes]) -> None:
        """Applies shards from a peer.

        Raises:
            errors.ProtocolError: A shard's content does not match its hash.
        """
        missing = len(self._assembly.list_missing())
        self._assembly.accept_shards(shards)
        if len(self._assembly.list_missing()) < missing:
            self._shards_offered.set()
        self._notify_listeners()

    def list_missing_shards(self) -> list[str]:
        """Returns the hashes of shards that the newest head still lacks.

        The order is random, so that fetches of the first hashes from several
        peers return different shards.
        """
        missing = self._assembly.list_missing()
        self._rng.shuffle(missing)
        return missing

    def read_head(self) -> bytes:
        """Returns the encoded head in force, empty if there is none yet."""
        head = self._assembly.head
        return b"" if head is None else table_head.encode_object(head)

    def read_shards(self, hashes: Iterable[str]) -> dict[str, bytes]:
        """Returns the content of those shards that are held."""
        return self._assembly.read_shards(hashes)

    async def _watch_head(self) -> None:
        waits = self._make_backoff()
        since: int | None = None
        while True:
            try:
                since = await self._follow_head(since)
            except errors.TamaracktideError as error:
                wait_s = waits.next_wait_s(error.retry_after_s)
                logs.bind(error=str(error), wait_s=wait_s).warning(
                    "watch of the tables' head failed; retrying after back-off"
                )
                await anyio.sleep(wait_s)
                continue
            waits.reset()
            self.confirmed_at = anyio.current_time()
            rearm_s = self._settings.rearm_s
            await anyio.sleep(rearm_s * self._rng.uniform(0.5, 1.0))

    async def _follow_head(self, since: int | None) -> int | None:
        """Lists or watches once; returns the version to watch from next."""
        if since is None:
            listing = await self._objects.list(table_head.HEAD_KEY)
            for item in listing.items:
                if item.key == table_head.HEAD_KEY:
                    await self._read_head(item.version)
            return listing.version
        result = await self._watch_once(since)
        if result.reset:
            return None
        versions = [
            change.version
            for change in result.changes
            if change.key == table_head.HEAD_KEY and not change.deleted
        ]
        if versions:
            spread_s = self._settings.spread_s
            await anyio.sleep(self._rng.uniform(0.0, spread_s))
            await self._read_head(max(versions))
        return result.version

    async def _watch_once(self, since: int) -> object_store.WatchResult:
        timeout_s = self._settings.watch_timeout_s
        with anyio.move_on_after(timeout_s + self._settings.watch_margin_s):
            return await self._objects.watch(
                table_head.HEAD_KEY, since, timeout_s
            )
        raise errors.PlatformUnavailableError(
            result_codes.ResultCode.PLATFORM_UNAVAILABLE,
            f"watch of {table_head.HEAD_KEY} timed out without a response",
        )

    async def _read_head(self, version: int) -> None:
        stored = await self._objects.read(table_head.HEAD_KEY)
        self.offer_head(stored.value)
        if stored.version < version:
            raise errors.PlatformUnavailableError(
                result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                f"stale read of {table_head.HEAD_KEY}: got version"
                f" {stored.version}, expected at least {version}",
            )

    async def _read_shards(self) -> None:
        waits = self._make_backoff()
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if not self.is_ready:
                await self._wait_for_peers()
            while self._assembly.list_missing():
                try:
                    await reader.read_missing_shards(
                        self._objects,
                        self._assembly,
                        self._settings.fetch_concurrency,
                    )
                    waits.reset()
                except errors.TamaracktideError as error:
                    wait_s = waits.next_wait_s(error.retry_after_s)
                    logs.bind(error=str(error), wait_s=wait_s).warning(
                        "reading table shards failed; retrying after back-off"
                    )
                    await anyio.sleep(wait_s)
            self._notify_listeners()

    async def _wait_for_peers(self) -> None:
        """Waits while peers may offer, or keep offering, missing shards.

        Ends as soon as no more than a few shards are missing.
        """
        settings = self._settings
        wait_s = settings.start_wait_s * self._rng.random()
        wait_until = anyio.current_time() + wait_s
        while len(self._assembly.list_missing()) > settings.start_shards:
            self._shards_offered = anyio.Event()
            with anyio.move_on_at(wait_until):
                await self._shards_offered.wait()
            if not self._shards_offered.is_set():
                return
            wait_until = max(
                wait_until, anyio.current_time() + settings.start_idle_s
            )

    def _notify_listeners(self) -> None:
        snapshot = self._assembly.tables
        if snapshot.revision == self._announced_revision:
            return
        invariants.check(
            snapshot.revision > self._announced_revision,
            f"tables at revision {self._announced_revision} must not be"
            f" replaced by revision {snapshot.revision}",
        )
        self._announced_revision = snapshot.revision
        logs.bind(revision=snapshot.revision).info(
            "new tables revision in force"
        )
        for listener in self._listeners:
            listener(snapshot)

    def _make_backoff(self) -> backoff.Backoff:
        return backoff.Backoff(
            self._settings.min_backoff_s,
            self._settings.max_backoff_s,
            self._rng,
        )
