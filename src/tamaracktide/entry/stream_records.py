"""Records in the store which software version began which stream.

What the instances know of streams is lost if all of them are killed. While a
service has several software versions, each instance records the streams that it
began and that have not ended; one of them records the versions of all services.
"""

from collections.abc import Callable
import random

import anyio
import anyio.abc
import msgspec

from tamaracktide import errors
from tamaracktide.core import stream_history
from tamaracktide.core import stream_origins
from tamaracktide.entry import store_follower
from tamaracktide.entry import store_relay
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs

RECORD_PERIOD_S = 0.5
"""Time between two records of an instance. Streams that begin within it before
all instances are killed are not resumed; they take seconds."""

RANK_DELAY_S = 0.4
"""Additional delay per rank before an instance records the versions, so that
usually the first one does."""

LOAD_PERIOD_S = 0.25
"""Minimum time between two reads of all records."""

VERSIONS_NAME = "versions"
STREAMS_NAME = "begun."
"""Start of the names of the records of instances."""

_Record = dict[str, tuple[str, ...]]


class StreamRecords:
    """Writes and reads the records of streams.

    Attributes:
        loaded_at: Start of the last read of all records that succeeded, seconds
            of the loop's clock.
    """

    def __init__(
        self,
        instance: str,
        prefix: str,
        store: object_store.ValueStore,
        store_health: store_follower.StoreHealth,
        history: stream_history.StreamHistory,
        find_rank: Callable[[], int | None],
        on_restore: Callable[[frozenset[str]], None],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Starts without records; `run` must be running.

        Args:
            instance: Id of this instance.
            prefix: Prefix of the records' keys.
            store: The store.
            store_health: Tracks whether the store is reachable.
            history: What this instance knows of streams.
            find_rank: Returns the rank of this instance among those that follow
                the store, None if it does not.
            on_restore: Called after records were read, with the services that
                have thereby become mixed.
            tasks: Task group that reads the records.
        """
        self.loaded_at = float("-inf")
        self._prefix = prefix
        self._key = f"{prefix}{STREAMS_NAME}{instance}"
        self._versions_key = prefix + VERSIONS_NAME
        self._store = store
        self._store_health = store_health
        self._history = history
        self._find_rank = find_rank
        self._on_restore = on_restore
        self._tasks = tasks
        self._is_loading = False
        self._versions: _Record | None = None
        self._differs_since: float | None = None
        self._revision: int | None = None
        self._streams: _Record = {}

    async def run(self) -> None:
        """Records changes until cancelled."""
        while True:
            await anyio.sleep(RECORD_PERIOD_S * random.uniform(0.9, 1.1))
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
                self.forget()
                logs.bind(code=error.code.value).info(
                    "record of streams has changed: {}", error.detail
                )
            except errors.PlatformUnavailableError as error:
                self._store_health.record_failure(error)
            except errors.PlatformError as error:
                self.forget()
                logs.bind(code=error.code.value).error(
                    "record of streams rejected: {}", error.detail
                )

    def forget(self) -> None:
        """Reads the records again before the next write."""
        self._versions = None
        self._revision = None

    def request_load(self) -> None:
        """Reads all records soon; `on_restore` is called afterwards."""
        if not self._is_loading:
            self._is_loading = True
            self._tasks.start_soon(self._load)

    async def _load(self) -> None:
        try:
            wait_s = self.loaded_at + LOAD_PERIOD_S - anyio.current_time()
            await anyio.sleep(max(0.0, wait_s))
            started_at = anyio.current_time()
            found = await self._store.list_values(self._prefix)
        except errors.PlatformError as error:
            logs.bind(code=error.code.value).warning(
                "records of streams not read: {}", error.detail
            )
            return
        finally:
            self._is_loading = False
        self.loaded_at = started_at
        self._apply(found)

    def _apply(self, found: object_store.Items) -> None:
        now = anyio.current_time()
        versions: _Record = {}
        streams = 0
        for item in found.items:
            record = _decode(item.key, item.value or b"")
            if item.key == self._versions_key:
                versions = record
                continue
            streams += sum(map(len, record.values()))
            self._history.record(record, stream_origins.Source.STORE, now)
        logs.bind(versions=versions, streams=streams).info(
            "records of streams read"
        )
        self._restore(versions)

    def _restore(self, versions: _Record) -> None:
        now = anyio.current_time()
        self._on_restore(
            self._history.restore_versions(versions, now, is_complete=True)
        )

    async def _record_versions(self) -> None:
        """Records the versions of all services, if they have changed."""
        rank = self._find_rank()
        now = anyio.current_time()
        wanted = self._history.list_versions(now)
        if rank is None or not wanted or wanted == self._versions:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        if now < self._differs_since + rank * RANK_DELAY_S:
            return
        stored, revision = await self._read(self._versions_key)
        self._restore(stored)
        wanted = self._history.list_versions(anyio.current_time())
        if stored != wanted:
            await self._write(self._versions_key, wanted, revision)
            logs.bind(versions=wanted, before=stored).info(
                "software versions recorded"
            )
        self._versions = wanted
        if rank == 0 and stored and not self._history.mixed:
            await self._delete_streams()

    async def _record_streams(self) -> None:
        """Records the streams of this instance, if they have changed."""
        if not (self._history.mixed or self._streams):
            return
        if self._revision is None:
            self._streams, self._revision = await self._read(self._key)
            self._history.inherit(self._streams, anyio.current_time())
        wanted = self._history.list_to_record(anyio.current_time())
        if wanted == self._streams:
            return
        if wanted:
            self._revision = await self._write(
                self._key, wanted, self._revision
            )
        elif self._revision:
            await self._store.delete(self._key, self._revision)
            self._store_health.record_response()
            self._revision = 0
        self._streams = wanted

    async def _read(self, key: str) -> tuple[_Record, int]:
        """Returns a record and its revision, 0 if there is none."""
        try:
            found = await self._store.read(key)
        except errors.ObjectMissingError:
            self._store_health.record_response()
            return {}, 0
        self._store_health.record_response()
        return _decode(key, found.value), found.version

    async def _write(self, key: str, record: _Record, revision: int) -> int:
        value = msgspec.json.encode(record)
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


def _decode(key: str, value: bytes) -> _Record:
    """Decodes a record; one that cannot be decoded counts as empty."""
    try:
        return msgspec.json.decode(value, type=_Record)
    except msgspec.DecodeError as error:
        logs.bind(key=key).error("record cannot be decoded: {}", error)
        return {}
