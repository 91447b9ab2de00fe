"""Tests of engines that keep their adapters for streams that broke off."""

import anyio
import anyio.abc
import pytest

from tamaracktide.core import awaited_streams as core_streams
from tamaracktide.core import upstream_entries
from tamaracktide.entry import awaited_streams

pytestmark = pytest.mark.anyio

Calls = list[tuple[frozenset[str], bool]]


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def _make_entry(upstream: str, software: str) -> upstream_entries.UpstreamEntry:
    return upstream_entries.UpstreamEntry(
        upstream=upstream,
        service="llm",
        address="127.0.0.1:1",
        zone="z1",
        batch_limit=8,
        software=software,
    )


def _begin(
    tasks: anyio.abc.TaskGroup, calls: Calls
) -> awaited_streams.AwaitedStreams:
    entries = [_make_entry("a", "v1"), _make_entry("b", "v2")]
    awaited = awaited_streams.AwaitedStreams(
        lambda: entries,
        lambda: frozenset({"llm"}),
        lambda *call: calls.append(call),
        tasks,
    )
    awaited.begin({"v1": 2})
    return awaited


async def test_evictions_resume_once_the_streams_are_back() -> None:
    """Guards against adapters that are kept longer than streams need them."""
    calls: Calls = []
    async with anyio.create_task_group() as tasks:
        awaited = _begin(tasks, calls)
        assert awaited.is_suspended("a")
        assert not awaited.is_suspended("b")
        awaited.record_return("r1")
        assert calls == [(frozenset("a"), True)]
        awaited.record_return("r2")
        assert calls[1:] == [(frozenset("a"), False)]
        assert not awaited.is_suspended("a")
        tasks.cancel_scope.cancel()


async def test_evictions_resume_if_clients_do_not_come_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against engines that load no adapter any more."""
    monkeypatch.setattr(core_streams, "RETURN_S", 0.1)
    calls: Calls = []
    async with anyio.create_task_group() as tasks:
        awaited = _begin(tasks, calls)
        with anyio.fail_after(10.0):
            while len(calls) < 2:
                await anyio.sleep(0.01)
        assert not awaited.is_suspended("a")
        tasks.cancel_scope.cancel()


async def test_record_that_is_read_again_suspends_evictions_no_longer() -> None:
    """Guards against engines that evict nothing any more.

    A store that comes back from a copy has the record of an instance read
    again while it awaits its streams.
    """
    calls: Calls = []
    async with anyio.create_task_group() as tasks:
        awaited = _begin(tasks, calls)
        awaited.begin({"v1": 2})
        assert awaited.is_suspended("a")
        awaited.record_return("r1")
        awaited.record_return("r2")
        assert calls == [(frozenset("a"), True), (frozenset("a"), False)]
        tasks.cancel_scope.cancel()
