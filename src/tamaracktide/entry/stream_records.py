"""Records in the store which software version began which stream.

What the instances know of streams is lost if all of them are killed. While a
service has several software versions, each instance records the streams that it
began and that have not ended; one of them records the versions of all services.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import random
from typing import TypeVar

import anyio
import anyio.abc
import msgspec

from tamaracktide import errors
from tamaracktide.core import route_history
from tamaracktide.core import stream_history
from tamaracktide.core import stream_origins
from tamaracktide.entry import settings as entry_settings
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

VERSIONS_NAME = "versions"
STREAMS_NAME = "begun."
"""Start of the names of the records of instances."""

_Ids = dict[str, tuple[str, ...]]
"""Ids of the requests that began streams, by software version or service."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Streams:
    """The recorded streams of an instance.

    A record without services is written as the streams alone, which builds that
    know no services read, too.

    Attributes:
        streams: Ids by software version.
        services: Ids by service, of the streams whose service must be known.
    """

    streams: _Ids
    services: _Ids

    def encode(self) -> bytes:
        """Returns the record as it is stored."""
        return msgspec.json.encode(self if self.services else self.streams)


@dataclasses.dataclass(frozen=True, slots=True)
class _Versions:
    """The recorded software versions.

    Attributes:
        services: Versions by service.
        is_complete: Whether they are all that may have begun a stream.
        era: Era of the store in which they were recorded.
        tables: Shares of the resumable routes in recent tables, oldest first;
            none if all streams are of one service.
    """

    services: dict[str, tuple[str, ...]]
    is_complete: bool
    era: int = 0
    tables: tuple[route_history.SharesByHost, ...] = ()


_UNREADABLE = _Versions({}, is_complete=False)
_T = TypeVar("_T")


class StreamRecords:
    """Writes and reads the records of streams.

    Attributes:
        loaded_at: Start of the last read of all records that succeeded, seconds
            of the loop's clock.
        on_inherit: Called with the number of streams that this instance had
            recorded before it was started again, by software version.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        prefix: str,
        store: object_store.ValueStore,
        store_health: store_follower.StoreHealth,
        history: stream_history.StreamHistory,
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
        self._prefix = prefix
        self._key = f"{prefix}{STREAMS_NAME}{settings.instance}"
        # Without a record, versions may have served before, unless nothing has.
        self._not_recorded = _Versions({}, settings.is_first_start)
        self._versions_key = prefix + VERSIONS_NAME
        self._store = store
        self._store_health = store_health
        self._history = history
        self._find_era = find_era
        self._find_rank = find_rank
        self._count_instances = count_instances
        self._check_view = check_view
        self._on_restore = on_restore
        self._tasks = tasks
        self._is_loading = False
        self._load_requested_at = float("-inf")
        self._versions: _Versions | None = None
        self._versions_revision: int | None = None
        self._differs_since: float | None = None
        self._revision: int | None = None
        self._streams = _Streams({}, {})
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
                await self._record_versions()
                await self._record_streams()
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
        streams = 0
        for item in found.items:
            value = item.value or b""
            if item.key == self._versions_key:
                versions = self._decode_versions(value)
                revision = item.version
                continue
            record = _decode_streams(item.key, value)
            streams += sum(map(len, record.streams.values()))
            source = stream_origins.Source.STORE
            self._history.record(record.streams, source, now)
            self._history.record_services(record.services)
        logs.bind(
            versions=versions.services,
            complete=versions.is_complete,
            streams=streams,
        ).info("records of streams read")
        self._restore(versions, revision)

    def _restore(self, versions: _Versions, revision: int) -> None:
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

    def _decode_versions(self, value: bytes) -> _Versions:
        if not value:
            return self._not_recorded
        versions = _decode(self._versions_key, value, _Versions)
        if versions is None:
            return _UNREADABLE
        if versions.era == self._find_era():
            return versions
        # The store came back from a copy, which may lack a later version.
        return dataclasses.replace(versions, is_complete=False)

    def _make_versions(self) -> _Versions:
        now = anyio.current_time()
        return _Versions(
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
            await self._delete_streams()

    async def _record_streams(self) -> None:
        """Records the streams of this instance, if they have changed."""
        if not (self._history.tracked or self._streams.streams):
            return
        if self._revision is None:
            value, self._revision = await self._read(self._key)
            self._streams = _decode_streams(self._key, value)
            streams = self._streams.streams
            self._history.inherit(streams, anyio.current_time())
            self._history.record_services(self._streams.services)
            self.on_inherit({v: len(ids) for v, ids in streams.items()})
        wanted = self._find_streams()
        if wanted == self._streams:
            return
        if wanted.streams:
            self._revision = await self._write(
                self._key, wanted.encode(), self._revision
            )
        elif self._revision:
            await self._store.delete(self._key, self._revision)
            self._store_health.record_response()
            self._revision = 0
        self._streams = wanted

    def _find_streams(self) -> _Streams:
        """Returns what must be recorded now."""
        streams = self._history.list_to_record(anyio.current_time())
        request_ids = itertools.chain.from_iterable(streams.values())
        return _Streams(streams, self._history.group_by_service(request_ids))

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

    async def _delete_streams(self) -> None:
        """Deletes the records of instances that are gone."""
        found = await self._store.list_values(self._prefix)
        for item in found.items:
            if item.key in (self._key, self._versions_key):
                continue
            try:
                await self._store.delete(item.key, item.version)
            except (errors.ObjectMissingError, errors.PreconditionFailedError):
                continue


def _decode_streams(key: str, value: bytes) -> _Streams:
    """Decodes the streams of an instance; none if they cannot be decoded."""
    with contextlib.suppress(msgspec.DecodeError):
        return msgspec.json.decode(value, type=_Streams)
    return _Streams(_decode(key, value, _Ids) or {}, {})


def _decode(key: str, value: bytes, kind: type[_T]) -> _T | None:
    """Decodes a record; None if there is none or it cannot be decoded."""
    if not value:
        return None
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.DecodeError as error:
        logs.bind(key=key).error("record cannot be decoded: {}", error)
        return None
