"""Records in the store which software version began which stream.

What the instances know of streams is lost if all of them are killed. Each
instance states which versions it may begin streams at and, while a service has
several, records the streams that it began and that have not ended; one of them
records the versions of all services.
"""

from collections.abc import Callable
import dataclasses
import itertools
import random

import anyio
import anyio.abc
import msgspec

from tamaracktide import errors
from tamaracktide.core import stream_history
from tamaracktide.core import stream_origins
from tamaracktide.core import version_statements
from tamaracktide.entry import record_formats
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import stated_versions
from tamaracktide.entry import store_follower
from tamaracktide.entry import store_relay
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs

RECORD_PERIOD_S = 0.05
"""Minimum time between two records of an instance. Streams that begin within it
before all instances are killed are not resumed, and their clients retry in vain
for seconds."""

MAX_RECORDS_PER_S = 100.0
"""Records of all instances together above which the period grows. Leases need
the store's rate of writes, too."""

RANK_DELAY_S = 0.4
"""Additional delay per rank before an instance records the versions, so that
usually the first one does."""

LOAD_PERIOD_S = 0.25
"""Minimum time between two reads of all records."""

REGISTRATION_S = 1.0
"""Time for which the first statement waits until it is known whether earlier
processes of this instance may have begun streams."""

VERSIONS_NAME = "versions"
STREAMS_NAME = "begun."
"""Start of the names of the records of instances."""

_UNREADABLE = record_formats.Versions({}, is_complete=False)


class StreamRecords:
    """Writes and reads the records of streams.

    Attributes:
        loaded_at: Start of the last read of all records that succeeded, seconds
            of the loop's clock.
        on_inherit: Called with the number of streams that this instance had
            recorded before it was started again, by software version.
        on_recorded: Called when the store holds the streams of this instance.
        is_new: Returns whether no earlier process of this instance has begun a
            stream unless it has stated so; None while that is unknown.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        prefix: str,
        store: object_store.ValueStore,
        store_health: store_follower.StoreHealth,
        history: stream_history.StreamHistory,
        stated: stated_versions.StatedVersions,
        find_era: Callable[[], int],
        find_rank: Callable[[], int | None],
        count_instances: Callable[[], int],
        check_view: Callable[[], None],
        on_restore: Callable[[frozenset[str]], None],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Starts without records; `run` must be running.

        Args:
            settings: The instance's settings.
            prefix: Prefix of the records' keys.
            store: The store.
            store_health: Tracks whether the store is reachable.
            history: What this instance knows of streams.
            stated: The versions that instances may begin streams at.
            find_era: Returns the era of the store.
            find_rank: Returns the rank of this instance among those that follow
                the store, None if it does not.
            count_instances: Returns the number of instances.
            check_view: Called before records are written.
            on_restore: Called after records were read, with the services that
                have thereby become mixed.
            tasks: Task group that reads the records.
        """
        self.loaded_at = float("-inf")
        self.on_inherit: Callable[[dict[str, int]], None] = lambda _: None
        self.on_recorded: Callable[[], None] = lambda: None
        self.is_new: Callable[[], bool | None] = lambda: settings.is_first_start
        self._prefix = prefix
        self._key = f"{prefix}{STREAMS_NAME}{settings.instance}"
        # Without a record, versions may have served before, unless nothing has.
        self._not_recorded = record_formats.Versions(
            {}, settings.is_first_start
        )
        self._versions_key = prefix + VERSIONS_NAME
        self._store = store
        self._store_health = store_health
        self._history = history
        self._stated = stated
        self._find_era = find_era
        self._find_rank = find_rank
        self._count_instances = count_instances
        self._check_view = check_view
        self._on_restore = on_restore
        self._tasks = tasks
        self._is_loading = False
        self._load_requested_at = float("-inf")
        self._recorded_ids: frozenset[str] = frozenset()
        self._is_unrecorded = False
        self._inherited: dict[str, int] = {}
        self._states_from = anyio.current_time() + REGISTRATION_S
        self._versions: record_formats.Versions | None = None
        self._versions_revision: int | None = None
        self._differs_since: float | None = None
        self._revision: int | None = None
        self._recorded = record_formats.InstanceStreams({}, {})
        self._is_due = anyio.Event()

    async def run(self) -> None:
        """Records changes until cancelled."""
        while True:
            with anyio.move_on_after(
                self._find_period_s() * random.uniform(0.9, 1.0)
            ):
                await self._is_due.wait()
            self._is_due = anyio.Event()
            self._check_view()
            self._history.refresh(anyio.current_time())
            if not self._store_health.allows_calls:
                continue
            try:
                await self._record_streams()
                await self._record_versions()
            except (
                errors.PreconditionFailedError,
                errors.ObjectMissingError,
            ) as error:
                self._forget()
                logs.bind(code=error.code.value).info(
                    "record of streams has changed: {}", error.detail
                )
            except errors.PlatformUnavailableError as error:
                # The store may only refuse so many writes, and serve the rest.
                logs.bind(code=error.code.value).info(
                    "streams not recorded: {}", error.detail
                )
            except errors.PlatformError as error:
                self._forget()
                logs.bind(code=error.code.value).error(
                    "record of streams rejected: {}", error.detail
                )

    def _find_period_s(self) -> float:
        return max(RECORD_PERIOD_S, self._count_instances() / MAX_RECORDS_PER_S)

    def record_soon(self) -> None:
        """Records changes without waiting for the end of the period."""
        self._is_due.set()

    def handle_era(self, era: int) -> None:
        """Writes the records again, which the store may have lost."""
        logs.bind(era=era).info("records of streams are written again")
        self._forget()
        self.record_soon()

    def _forget(self) -> None:
        """Has the records read again before the next write."""
        self._versions = self._versions_revision = None
        self._revision = None

    def holds(self, request_id: str) -> bool:
        """Whether the store holds which version began a stream here."""
        return request_id in self._recorded_ids

    def request_load(self) -> None:
        """Reads all records soon; `on_restore` is called afterwards.

        One read serves all requests that precede it.
        """
        self._load_requested_at = anyio.current_time()
        if not self._is_loading:
            self._is_loading = True
            self._tasks.start_soon(self._load)

    async def _load(self) -> None:
        try:
            while self.loaded_at < self._load_requested_at:
                await self._load_once()
        except errors.PlatformError as error:
            logs.bind(code=error.code.value).warning(
                "records of streams not read: {}", error.detail
            )
        finally:
            self._is_loading = False

    async def _load_once(self) -> None:
        wait_s = self.loaded_at + LOAD_PERIOD_S - anyio.current_time()
        await anyio.sleep(max(0.0, wait_s))
        started_at = anyio.current_time()
        found = await self._store.list_values(self._prefix)
        self.loaded_at = started_at
        self._apply(found)

    def _apply(self, found: object_store.Items) -> None:
        now = anyio.current_time()
        versions, revision = self._not_recorded, 0
        stated: dict[str, tuple[version_statements.Statement | None, int]] = {}
        own, streams = (b"", 0), 0
        for item in found.items:
            value = item.value or b""
            if item.key == self._versions_key:
                versions = self._decode_versions(value)
                revision = item.version
                continue
            record = record_formats.decode_streams(item.key, value)
            streams += sum(map(len, record.streams.values()))
            source = stream_origins.Source.STORE
            self._history.record(record.streams, source, now)
            self._history.record_services(record.services)
            if item.key == self._key:
                own = value, item.version
            else:
                name = item.key.removeprefix(self._prefix + STREAMS_NAME)
                stated[name] = record.statement, item.version
        self._stated.others.apply(stated, now)
        if self._revision is None:
            self._take_over(*own)
        logs.bind(
            versions=versions.services,
            complete=versions.is_complete,
            streams=streams,
            statements=len(stated),
        ).info("records of streams read")
        self._restore(versions, revision)

    def _restore(
        self, versions: record_formats.Versions, revision: int
    ) -> None:
        """Applies the recorded versions, unless this instance knows the record.

        What it has seen expire must not count anew.
        """
        is_known = revision == self._versions_revision
        self._versions_revision = revision
        now = anyio.current_time()
        if not is_known:
            self._history.routes.restore(versions.tables, now)
        self._on_restore(
            self._history.restore_versions(
                {} if is_known else versions.services,
                now,
                is_complete=versions.is_complete,
            )
        )

    def _decode_versions(self, value: bytes) -> record_formats.Versions:
        if not value:
            return self._not_recorded
        versions = record_formats.decode(
            self._versions_key, value, record_formats.Versions
        )
        if versions is None:
            return _UNREADABLE
        if versions.era == self._find_era():
            return versions
        # The store came back from a copy, which may lack a later version.
        return dataclasses.replace(versions, is_complete=False)

    def _make_versions(self) -> record_formats.Versions:
        now = anyio.current_time()
        return record_formats.Versions(
            self._history.list_versions(now),
            self._history.is_complete(now),
            self._find_era(),
            self._history.routes.list_recent(now),
        )

    async def _record_versions(self) -> None:
        """Records the versions of all services, if they have changed."""
        rank = self._find_rank()
        wanted = self._make_versions()
        if rank is None or not wanted.services or wanted == self._versions:
            self._differs_since = None
            return
        now = anyio.current_time()
        if self._differs_since is None:
            self._differs_since = now
        if now < self._differs_since + rank * RANK_DELAY_S:
            return
        value, revision = await self._read(self._versions_key)
        stored = self._decode_versions(value)
        self._restore(stored, revision)
        wanted = self._make_versions()
        if not revision or stored != wanted:
            self._versions_revision = await self._write(
                self._versions_key, msgspec.json.encode(wanted), revision
            )
            logs.bind(
                versions=wanted.services,
                complete=wanted.is_complete,
                before=stored.services,
            ).info("software versions recorded")
        self._versions = wanted
        if rank == 0 and stored.services and not self._history.tracked:
            await self._clean_records()

    async def _record_streams(self) -> None:
        """Records what this instance states and has begun, if it has changed.

        Others must know of a version before streams begin at it.
        """
        if self._revision is None:
            found = await self._read(self._key)
            # The records may have been read meanwhile.
            if self._revision is None:
                self._take_over(*found)
        if self._is_unrecorded and not self._check_new():
            return
        if self._inherited and self._history.tracked:
            # By now the upstreams of their versions are known.
            self.on_inherit(self._inherited)
            self._inherited = {}
        wanted = self._make_record()
        if wanted == self._recorded:
            return
        assert self._revision is not None
        if wanted.statement is not None:
            self._stated.record_sent(wanted.statement)
        if not _is_empty(wanted):
            self._revision = await self._write(
                self._key, msgspec.json.encode(wanted), self._revision
            )
        elif self._revision:
            await self._store.delete(self._key, self._revision)
            self._store_health.record_response()
            self._revision = 0
        self._set_recorded(wanted)

    def _check_new(self) -> bool:
        """Whether it is known if earlier processes may have begun streams."""
        is_new = self.is_new()
        if is_new is None and anyio.current_time() < self._states_from:
            return False
        self._is_unrecorded = False
        if is_new:
            self._stated.own.take_over(None, anyio.current_time())
        return True

    def _set_recorded(self, record: record_formats.InstanceStreams) -> None:
        self._recorded = record
        self._recorded_ids = frozenset(
            itertools.chain.from_iterable(record.streams.values())
        )
        self.on_recorded()
        if record.statement is not None:
            self._stated.record_held(record.statement)

    def _take_over(self, value: bytes, revision: int) -> None:
        """Continues the record of this instance, also of an earlier process."""
        record = record_formats.InstanceStreams({}, {})
        if revision:
            record = record_formats.decode_streams(self._key, value)
        now = anyio.current_time()
        self._history.inherit(record.streams, now)
        self._history.record_services(record.services)
        self._inherited = {v: len(ids) for v, ids in record.streams.items()}
        statement = record.statement
        if statement is not None and statement.era == self._find_era():
            self._stated.own.take_over(statement, now)
        self._is_unrecorded = not revision
        self._revision, self._recorded = revision, record
        self._recorded_ids = frozenset()

    def _make_record(self) -> record_formats.InstanceStreams:
        """Returns what must be recorded now."""
        streams = self._history.list_to_record(anyio.current_time())
        request_ids = itertools.chain.from_iterable(streams.values())
        return record_formats.InstanceStreams(
            streams,
            self._history.group_by_service(request_ids),
            self._stated.make_statement(),
        )

    async def _read(self, key: str) -> tuple[bytes, int]:
        """Returns a record and its revision, empty and 0 if there is none."""
        try:
            found = await self._store.read(key)
        except errors.ObjectMissingError:
            self._store_health.record_response()
            return b"", 0
        self._store_health.record_response()
        return found.value, found.version

    async def _write(self, key: str, value: bytes, revision: int) -> int:
        written = await store_relay.write_object(
            self._store, key, value, revision
        )
        self._store_health.record_response()
        return written

    async def _clean_records(self) -> None:
        """Removes what instances that are gone have recorded and stated.

        An instance that is not gone records it again.
        """
        found = await self._store.list_values(self._prefix)
        for item in found.items:
            if item.key in (self._key, self._versions_key):
                continue
            record = record_formats.decode_streams(item.key, item.value or b"")
            wanted = self._reduce(record)
            if wanted == record:
                continue
            try:
                if _is_empty(wanted):
                    await self._store.delete(item.key, item.version)
                else:
                    encoded = msgspec.json.encode(wanted)
                    await self._write(item.key, encoded, item.version)
            except (errors.ObjectMissingError, errors.PreconditionFailedError):
                continue

    def _reduce(
        self, record: record_formats.InstanceStreams
    ) -> record_formats.InstanceStreams:
        """Returns what still counts of the record of another instance."""
        statement = record.statement
        if statement is None:
            return record_formats.InstanceStreams({}, {})
        if statement.era != self._find_era():
            return record
        recent = self._history.list_versions(anyio.current_time())
        return record_formats.InstanceStreams(
            {}, {}, statement.restrict(recent)
        )


def _is_empty(record: record_formats.InstanceStreams) -> bool:
    """Whether a record says nothing that others must know."""
    statement = record.statement
    says_nothing = statement is None or statement.is_empty
    return says_nothing and not record.streams
