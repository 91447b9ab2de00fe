"""Tests of the rate and the order of calls to the store."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import cast

import anyio
import pytest

from fleet import adapter
from fleet import store as fleet_store
from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.entry import cluster_state
from tamaracktide.entry import store_follower
from tamaracktide.object_api import object_store

DRAIN_S = 2.0
VERSION_S = 5.0
"""Time after which an announced adapter version must be used."""

STABLE_S = 3.0
"""Time after an outage from when these bounds hold."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@pytest.mark.parametrize("instances", [1, 4, 12, 30, 330])
def test_drain_is_observed_within_half_of_its_time(instances: int) -> None:
    """The pause is bounded for any number of instances."""
    assert store_follower.find_watch_pause_s(instances) <= DRAIN_S / 2


def test_twelve_instances_call_as_often_as_four() -> None:
    """Up to the maximum pause, the total rate of calls is constant."""
    calls = [n / store_follower.find_watch_pause_s(n) for n in (4, 8, 12)]
    assert calls == pytest.approx([calls[0]] * 3)


@pytest.mark.parametrize(
    ("max_wait_s", "bound_s"),
    [
        (store_follower.MAX_WATCH_WAIT_S, DRAIN_S),
        (store_follower.MAX_VERSION_WATCH_WAIT_S, VERSION_S),
    ],
)
def test_lost_watch_is_repeated_before_changes_must_be_in_force(
    max_wait_s: float, bound_s: float
) -> None:
    """Guards against a watch that outlives an outage (incident DRAIN).

    The store receives it at the end of the outage and never responds.
    """
    repeated_s = (
        max_wait_s + fleet_store.TIMEOUT_S + 1.3 * store_follower.MAX_BACKOFF_S
    )
    assert repeated_s < STABLE_S + bound_s


class _Store:
    """A store whose calls take what the test has queued, in order.

    Attributes:
        calls: The calls: `list`, or `watch N` from a version.
        results: What the next calls return or raise.
    """

    def __init__(self) -> None:
        """Starts with nothing queued; calls then wait for ever."""
        self.calls: list[str] = []
        self.results: list[object_store.Items | Exception] = []

    async def list_values(
        self, prefix: str, on_bytes: object_store.ByteListener | None = None
    ) -> object_store.Items:
        """Lists."""
        del prefix, on_bytes
        return await self._answer("list")

    async def watch_values(
        self,
        prefix: str,
        since: int,
        timeout_s: float,
        on_bytes: object_store.ByteListener | None = None,
    ) -> object_store.Items:
        """Watches."""
        del prefix, timeout_s, on_bytes
        return await self._answer(f"watch {since}")

    async def _answer(self, call: str) -> object_store.Items:
        self.calls.append(call)
        await anyio.sleep(0)
        if not self.results:
            await anyio.sleep_forever()
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


@dataclasses.dataclass(slots=True)
class _Run:
    store: _Store
    state: cluster_state.ClusterState
    health: store_follower.StoreHealth

    async def wait_for_calls(self, *calls: str) -> None:
        """Waits until exactly these calls have been made."""
        with anyio.fail_after(5.0):
            while len(self.store.calls) < len(calls):
                await anyio.sleep(0.01)
        assert self.store.calls == list(calls)


@contextlib.asynccontextmanager
async def _follow(
    *results: object_store.Items | Exception,
) -> AsyncIterator[_Run]:
    """Runs a follower on a store that returns the results."""
    state = cluster_state.ClusterState(
        adapter.FleetAdapter(), anyio.current_time
    )
    state.observe_era(1)
    store = _Store()
    store.results = list(results)
    health = store_follower.StoreHealth(state)

    async def wait_until_needed() -> None:
        pass

    follower = store_follower.Follower(
        "other/",
        cast(object_store.ValueStore, store),
        state,
        health,
        lambda items: None,
        wait_until_needed,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        yield _Run(store, state, health)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_waiting_watch_ends_when_a_later_era_is_known() -> None:
    """A connection that went silent would delay the listing by seconds."""
    async with _follow(object_store.Items(7, era=1)) as run:
        await run.wait_for_calls("list", "watch 7")
        run.state.observe_era(2)
        await run.wait_for_calls("list", "watch 7", "list")


@pytest.mark.anyio
async def test_failed_watch_is_not_repeated_in_a_later_era() -> None:
    """Guards against a watch from a revision that was given out again."""
    error = errors.PlatformUnavailableError(
        result_codes.ResultCode.PLATFORM_UNAVAILABLE, "cut"
    )
    async with _follow(object_store.Items(7, era=1), error) as run:
        await run.wait_for_calls("list", "watch 7")
        await anyio.sleep(0.01)
        assert run.health.failing_since is not None
        run.state.observe_era(2)
        await run.wait_for_calls("list", "watch 7", "list")


@pytest.mark.anyio
async def test_late_listing_of_an_earlier_era_is_not_applied() -> None:
    """The store that responds is not the latest one."""
    item = object_store.Item("other/x", 5, b"1", 1)
    async with _follow() as run:
        await run.wait_for_calls("list")
        run.state.observe_era(2)
        await run.wait_for_calls("list", "list")
        run.state.apply_listing("other/", object_store.Items(9, (item,), era=1))
        assert run.state.list_items() == []
    late = object_store.Items(9, (item,), era=1)
    async with _follow(object_store.Items(3, era=2), late) as run:
        run.state.observe_era(2)
        await run.wait_for_calls("list", "watch 3")
        await anyio.sleep(0.01)
        assert run.health.failing_since is not None
        assert run.state.list_items() == []
