"""Tests of what tells an upstream that is cut off from one that fails."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import anyio.abc
import pytest

from tamaracktide.core import upstream_entries
from tamaracktide.core import upstream_health
from tamaracktide.entry import reachability

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
WAIT_S = 3.0


class _Upstream:
    """An address that can be connected to while it is open."""

    def __init__(self) -> None:
        self.connections = 0
        self.port = 0
        self.health = upstream_health.UpstreamHealth()
        self.refreshed = anyio.Event()

    @property
    def entry(self) -> upstream_entries.UpstreamEntry:
        """Its entry."""
        return upstream_entries.UpstreamEntry(
            upstream="a",
            address=f"{HOST}:{self.port}",
            service="s",
            zone="z",
            batch_limit=1,
        )

    def is_avoided(self) -> bool:
        """Whether it gets no requests, beside one that does."""
        return "a" in self.health.list_avoided(["a", "b"], 0.0)

    def refresh(self) -> None:
        """Notes that the scheduling was told."""
        self.refreshed.set()
        self.refreshed = anyio.Event()

    async def await_refresh(self) -> None:
        """Waits until the scheduling is told of a change."""
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
async def _watch(
    upstream: _Upstream,
) -> AsyncIterator[reachability.Reachability]:
    async with anyio.create_task_group() as tasks:
        yield reachability.Reachability(
            upstream.health, lambda _: True, upstream.refresh, tasks
        )
        tasks.cancel_scope.cancel()


async def test_one_broken_answer_tells_that_an_upstream_is_cut_off() -> None:
    """It is avoided without a further request, until it can be reached."""
    upstream = _Upstream()
    async with upstream.listen():
        pass
    async with _watch(upstream) as watch:
        watch.check_reachable(upstream.entry)
        await upstream.await_refresh()
        assert upstream.is_avoided()
        async with upstream.listen():
            await upstream.await_refresh()
            assert not upstream.is_avoided()


async def test_broken_answers_do_not_avoid_an_upstream_in_reach() -> None:
    """Connections work, so the failures are its requests' own."""
    upstream = _Upstream()
    async with upstream.listen(), _watch(upstream) as watch:
        for _ in range(5):
            watch.check_reachable(upstream.entry)
        with anyio.fail_after(WAIT_S):
            while not upstream.connections:
                await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        assert upstream.connections == 1
        assert not upstream.is_avoided()
