"""Tests that distinguish unreachable upstreams from failing ones."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

import anyio
import anyio.abc
import pytest

from tamaracktide.core import upstream_entries
from tamaracktide.core import upstream_health
from tamaracktide.entry import reachability
from tamaracktide.upstreams import network

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
WAIT_S = 3.0
CHECKS = 16


class _Upstream:
    """An upstream that accepts connections while `listen` is entered."""

    def __init__(self) -> None:
        self.connections = 0
        self.port = 0
        self.health = upstream_health.UpstreamHealth(random.Random(1))
        self.refreshed = anyio.Event()
        self.exits: list[upstream_entries.UpstreamEntry] = []

    @property
    def entry(self) -> upstream_entries.UpstreamEntry:
        """Its entry in the store."""
        return upstream_entries.UpstreamEntry(
            upstream="a",
            address=f"{HOST}:{self.port}",
            service="s",
            zone="z",
            batch_limit=1,
        )

    def is_avoided(self) -> bool:
        """Whether it is avoided while another upstream is available."""
        return "a" in self.health.list_avoided(["a", "b"], 0.0)

    def refresh(self) -> None:
        """Records that a refresh of the scheduling was requested."""
        self.refreshed.set()
        self.refreshed = anyio.Event()

    async def wait_for_refresh(self) -> None:
        """Waits for the next request to refresh the scheduling."""
        with anyio.fail_after(WAIT_S):
            await self.refreshed.wait()

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Accepts connections within the context."""

        async def accept(stream: anyio.abc.SocketStream) -> None:
            self.connections += 1
            await stream.aclose()

        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=self.port
        )
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        self.port = int(address[1])
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, accept)
            yield
            tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _run_reachability(
    upstream: _Upstream, *others: upstream_entries.UpstreamEntry
) -> AsyncIterator[reachability.Reachability]:
    async with anyio.create_task_group() as tasks:
        yield reachability.Reachability(
            upstream.health,
            lambda: {
                entry.upstream: entry for entry in (upstream.entry, *others)
            },
            upstream.refresh,
            upstream.exits.append,
            lambda: False,
            network.Backend(),
            tasks,
        )
        tasks.cancel_scope.cancel()


async def test_unreachable_upstream_is_avoided_after_one_broken_response() -> (
    None
):
    """No further request is needed; it is used again once reachable."""
    upstream = _Upstream()
    async with upstream.listen():
        pass
    async with _run_reachability(upstream) as checker:
        checker.check_reachable(upstream.entry)
        await upstream.wait_for_refresh()
        assert upstream.is_avoided()
        assert upstream.exits == [upstream.entry]
        async with upstream.listen():
            await upstream.wait_for_refresh()
            assert not upstream.is_avoided()


async def test_reachable_upstream_is_not_avoided_after_broken_responses() -> (
    None
):
    """Connections succeed, so the failures belong to the requests."""
    upstream = _Upstream()
    async with upstream.listen(), _run_reachability(upstream) as checker:
        for _ in range(5):
            checker.check_reachable(upstream.entry)
        with anyio.fail_after(WAIT_S):
            while not upstream.connections:
                await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        assert upstream.connections == 1
        assert not upstream.is_avoided()


async def test_refusal_counts_as_an_exit_once_another_upstream_responds() -> (
    None
):
    """An upstream that ended is told from an instance that is cut off."""
    upstream, other = _Upstream(), _Upstream()
    async with upstream.listen():
        pass
    async with other.listen():
        entry = dataclasses.replace(other.entry, upstream="b")
        async with _run_reachability(upstream, entry) as checker:
            checker.check_reachable(upstream.entry)
            with anyio.fail_after(WAIT_S):
                while not upstream.exits:
                    await anyio.sleep(0.01)
            assert upstream.exits == [upstream.entry]
            assert not checker.is_cut_off


async def test_instance_that_reaches_no_upstream_records_no_exit() -> None:
    """Guards against crashes announced by an instance without links (RECOVER).

    It checks all upstreams as soon as one refuses a connection.
    """
    upstream, other = _Upstream(), _Upstream()
    async with upstream.listen(), other.listen():
        pass
    entry = dataclasses.replace(other.entry, upstream="b")
    async with _run_reachability(upstream, entry) as checker:
        checker.check_reachable(upstream.entry)
        with anyio.fail_after(WAIT_S):
            while not checker.is_cut_off:
                await anyio.sleep(0.01)
        async with upstream.listen(), other.listen():
            await upstream.wait_for_refresh()
            await anyio.sleep(reachability.CONNECT_PERIOD_S)
            assert not checker.is_cut_off
        assert upstream.exits == []


async def test_upstreams_that_end_together_have_all_ended() -> None:
    """Guards against parts that pass for complete responses (ORDER, MIXED).

    Half of the upstreams are killed at the same moment.
    """
    upstream, ended, other = _Upstream(), _Upstream(), _Upstream()
    async with upstream.listen(), ended.listen():
        pass
    async with other.listen():
        entries = [
            dataclasses.replace(ended.entry, upstream="b"),
            dataclasses.replace(other.entry, upstream="c"),
        ]
        for _ in range(CHECKS):
            async with _run_reachability(upstream, *entries) as checker:
                assert await checker.has_ended(upstream.entry)
