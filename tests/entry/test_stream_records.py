"""Tests of the records in the store of what began streams.

Load pattern: releases, one after the other, in a deployment that goes on.
"""

from collections.abc import Callable

import anyio
import anyio.abc
import msgspec
import pytest

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import stream_history
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries
from tamaracktide.entry import cluster_state
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import stated_versions
from tamaracktide.entry import store_follower
from tamaracktide.entry import stream_records
from tamaracktide.object_api import object_store
from tamaracktide.object_api import objects

pytestmark = pytest.mark.anyio

PREFIX = "streams/"
RETENTION_S = 0.3


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


class Store:
    """A store of a few objects."""

    def __init__(self) -> None:
        """Starts without objects."""
        self.objects: dict[str, tuple[bytes, int]] = {}
        self.writes = 0

    async def read(self, key: str) -> objects.StoredObject:
        """Returns an object."""
        if key not in self.objects:
            raise errors.ObjectMissingError(
                result_codes.ResultCode.ROW_UNKNOWN, key
            )
        return objects.StoredObject(key, *self.objects[key])

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object."""
        return await self.update(key, value, 0)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces a version of an object."""
        if self.objects.get(key, (b"", 0))[1] != version:
            raise errors.PreconditionFailedError(
                result_codes.ResultCode.EDIT_CONFLICT, key
            )
        self.writes += 1
        self.objects[key] = value, self.writes
        return self.writes

    async def list_values(
        self, prefix: str, on_bytes: object_store.ByteListener | None = None
    ) -> object_store.Items:
        """Returns all objects."""
        return object_store.Items(
            self.writes,
            tuple(
                object_store.Item(key, version, value)
                for key, (value, version) in self.objects.items()
                if key.startswith(prefix)
            ),
        )

    async def delete(self, key: str, version: int) -> None:
        """Deletes an object."""
        del self.objects[key]

    def read_versions(self) -> dict[str, list[str]]:
        """Returns the recorded versions by service."""
        value, _ = self.objects[PREFIX + stream_records.VERSIONS_NAME]
        services: dict[str, list[str]] = msgspec.json.decode(value)["services"]
        return services


def make_entry(upstream: str, software: str) -> upstream_entries.UpstreamEntry:
    """Returns the entry of an upstream."""
    return upstream_entries.UpstreamEntry(
        upstream=upstream,
        service="llm",
        address="127.0.0.1:1",
        zone="z1",
        batch_limit=8,
        software=software,
    )


def make_records(
    store: Store,
    history: stream_history.StreamHistory,
    tasks: anyio.abc.TaskGroup,
) -> stream_records.StreamRecords:
    """Returns the records of the only instance."""
    settings = entry_settings.EntrySettings(
        instance="n1",
        availability_zone="z1",
        ip="127.0.0.1",
        caller_address="127.0.0.1:1",
        readiness_address="127.0.0.1:2",
        peer_port=3,
        metrics_port=4,
        platform_address="127.0.0.1:5",
        is_first_start=True,
    )
    state = cluster_state.ClusterState(None, anyio.current_time)  # type: ignore[arg-type]
    return stream_records.StreamRecords(
        settings,
        PREFIX,
        store,  # type: ignore[arg-type]
        store_follower.StoreHealth(state),
        history,
        stated_versions.StatedVersions("n1", "p1", lambda: 0),
        lambda: 0,
        lambda: 0,
        lambda: 1,
        lambda: None,
        lambda _: None,
        tasks,
    )


async def wait_until(check: Callable[[], bool]) -> None:
    """Waits until a check holds."""
    with anyio.fail_after(10.0):
        while not check():
            await anyio.sleep(0.02)


async def test_version_leaves_the_record_once_no_stream_can_resume(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a record that keeps its own version alive."""
    monkeypatch.setattr(stream_origins, "RETENTION_S", RETENTION_S)
    store = Store()
    async with anyio.create_task_group() as tasks:
        history = stream_history.StreamHistory(anyio.current_time())
        records = make_records(store, history, tasks)
        entries = [make_entry("e1", "v1"), make_entry("e2", "v2")]
        history.apply_upstreams(entries, (), anyio.current_time())
        tasks.start_soon(records.run)
        await wait_until(lambda: bool(store.objects))
        assert store.read_versions() == {"llm": ["v1", "v2"]}
        history.apply_upstreams((), ("e1",), anyio.current_time())
        await wait_until(lambda: store.read_versions() == {"llm": ["v2"]})
        await anyio.sleep(3 * RETENTION_S)
        assert store.read_versions() == {"llm": ["v2"]}
        tasks.cancel_scope.cancel()


async def test_reads_for_unknown_streams_never_keep_a_version_alive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a release that never ends for clients that come back.

    Each of their retries has the records read.
    """
    monkeypatch.setattr(stream_origins, "RETENTION_S", RETENTION_S)
    monkeypatch.setattr(stream_records, "LOAD_PERIOD_S", RETENTION_S / 10)
    store = Store()
    async with anyio.create_task_group() as tasks:
        history = stream_history.StreamHistory(anyio.current_time())
        records = make_records(store, history, tasks)
        entries = [make_entry("e1", "v1"), make_entry("e2", "v2")]
        history.apply_upstreams(entries, (), anyio.current_time())
        tasks.start_soon(records.run)
        await wait_until(lambda: bool(store.objects))
        history.apply_upstreams((), ("e1",), anyio.current_time())
        for _ in range(20):
            records.request_load()
            await anyio.sleep(RETENTION_S / 5)
        assert store.read_versions() == {"llm": ["v2"]}
        tasks.cancel_scope.cancel()


async def test_short_pause_does_not_end_the_completeness_of_the_record() -> (
    None
):
    """Guards against refusals for a minute after each pause of a process.

    While this instance was held up, no other one recorded another version.
    """
    store = Store()
    async with anyio.create_task_group() as tasks:
        history = stream_history.StreamHistory(anyio.current_time())
        records = make_records(store, history, tasks)
        entries = [make_entry("e1", "v1")]
        history.apply_upstreams(entries, (), anyio.current_time())
        tasks.start_soon(records.run)
        await wait_until(lambda: bool(store.objects))
        assert history.is_complete(anyio.current_time())
        history.interrupt(anyio.current_time())
        await anyio.sleep(4 * stream_records.RECORD_PERIOD_S)
        value, _ = store.objects[PREFIX + stream_records.VERSIONS_NAME]
        assert msgspec.json.decode(value)["is_complete"]
        assert history.is_complete(anyio.current_time())
        tasks.cancel_scope.cancel()


async def test_start_tells_how_many_streams_of_each_version_broke_off() -> None:
    """Guards against a start that awaits no stream of its earlier process."""
    store = Store()
    key = f"{PREFIX}{stream_records.STREAMS_NAME}n1"
    recorded = msgspec.json.encode({"v1": ["r1", "r2"], "v2": ["r3"]})
    await store.create(key, recorded)
    broken: list[dict[str, int]] = []
    async with anyio.create_task_group() as tasks:
        history = stream_history.StreamHistory(anyio.current_time())
        records = make_records(store, history, tasks)
        records.on_inherit = broken.append
        entries = [make_entry("e1", "v1"), make_entry("e2", "v2")]
        history.apply_upstreams(entries, (), anyio.current_time())
        tasks.start_soon(records.run)
        await wait_until(lambda: bool(broken))
        assert broken == [{"v1": 2, "v2": 1}]
        tasks.cancel_scope.cancel()
