"""Table followers during edits, while idle and during restarts.

The platform and all followers share one event loop, so the measured times
include the CPU time of all of them.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

import anyio

from tamaracktide.bench.slopes import embedded_platform
from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import samples
from tamaracktide.bench.slopes import series
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.object_api import objects
from tamaracktide.tables import editor as tables_editor
from tamaracktide.tables import follower as tables_follower
from tamaracktide.tables import settings as tables_settings

TABLE_ROUTES = 1024
RESTART_SHARDS = 16
RESTART_FOLLOWERS = 8
IDLE_WATCH_TIMEOUT_S = 1.0
IDLE_S = 4.0
POLL_S = 0.005
TIMEOUT_S = 60.0
FOLLOWER_SETTINGS = tables_settings.FollowerSettings()
# There are no peers to fetch the tables from, so waiting for them at the
# start would only delay the follower.
FOLLOWER_WITHOUT_PEERS = dataclasses.replace(
    FOLLOWER_SETTINGS, start_wait_s=0.001
)


@dataclasses.dataclass(slots=True)
class Deployment:
    """Followers that run against one platform.

    Attributes:
        platform: The platform.
        client: A client that no follower uses.
        followers: The followers of the tables.
    """

    platform: embedded_platform.Platform
    client: objects.ObjectClient
    followers: list[tables_follower.Follower]

    async def wait_revision(self, revision: int) -> list[float]:
        """Waits until all followers have a revision.

        Returns:
            The times at which the followers were observed to have it, in
            ascending order.
        """
        times: list[float] = []
        pending = list(self.followers)
        with anyio.fail_after(TIMEOUT_S):
            while pending:
                still_pending = [
                    f for f in pending if f.tables.revision < revision
                ]
                now = anyio.current_time()
                times += [now] * (len(pending) - len(still_pending))
                pending = still_pending
                await anyio.sleep(POLL_S)
        return times


@contextlib.asynccontextmanager
async def run_followers(
    count: int, seed: int, settings: tables_settings.FollowerSettings
) -> AsyncIterator[Deployment]:
    """Runs followers against an empty platform.

    Yields:
        The deployment.
    """
    async with (
        embedded_platform.run_platform() as platform,
        platform.open_clients(count + 1) as clients,
        anyio.create_task_group() as tasks,
    ):
        followers = [
            tables_follower.Follower(client, settings, random.Random(seed + n))
            for n, client in enumerate(clients[1:])
        ]
        deployment = Deployment(platform, clients[0], followers)
        for follower in followers:
            tasks.start_soon(follower.run)
        yield deployment
        tasks.cancel_scope.cancel()


async def put_tables(client: objects.ObjectClient, routes: int) -> int:
    """Stores tables as revision 1 and returns the number of objects."""
    head, contents = samples.encode_tables(samples.make_tables(routes))
    for digest, data in contents.items():
        await client.create(table_head.make_shard_key(digest), data)
    await client.create(table_head.HEAD_KEY, head)
    return len(contents) + 1


async def measure_edit(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Edits one row and waits until all followers have the edit."""
    async with run_followers(size, seed, FOLLOWER_SETTINGS) as deployment:
        await put_tables(deployment.client, TABLE_ROUTES)
        await deployment.wait_revision(1)
        # Lets the followers open new watches and the rate limits recover.
        await anyio.sleep(1.5)
        before = await deployment.platform.read_counters()
        cpu_timer = meters.CpuTimer()
        started_at = anyio.current_time()
        await _commit_edit(deployment.client, seed)
        committed = anyio.current_time()
        times = await deployment.wait_revision(2)
        cpu_ms = cpu_timer.seconds * 1e3
        # Lets the followers open new watches.
        await anyio.sleep(0.5)
        after = await deployment.platform.read_counters()
    median = times[(len(times) - 1) // 2]
    reads = after.reads - before.reads
    return (
        series.Reading("edit in force everywhere", "s", times[-1] - started_at),
        series.Reading("edit in force at half", "s", median - started_at),
        series.Reading("edit committed", "s", committed - started_at),
        series.Reading("edit: reads", "calls", reads),
        series.Reading(
            "edit: watches", "calls", after.watches - before.watches
        ),
        series.Reading("edit: writes", "calls", after.writes - before.writes),
        series.Reading(
            "edit: calls over the rate",
            "calls",
            after.rejected - before.rejected,
        ),
        series.Reading("edit: processor time of all", "ms", cpu_ms),
    )


async def _commit_edit(client: objects.ObjectClient, seed: int) -> None:
    editor = tables_editor.Editor(
        client, tables_settings.EditorSettings(), random.Random(seed)
    )
    snapshot = await editor.read_tables()
    old = samples.make_route(7)
    edit = table_edits.Edit(
        edit_id=f"bench-{seed}",
        author="bench",
        at_unix_s=1.7e9,
        summary="changes one row",
        changes=(
            table_edits.PutRow(
                samples.make_route(7, "2"), snapshot.find_route(old.name)
            ),
        ),
    )
    await editor.commit(edit)


async def measure_idle(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Counts the calls of idle followers, with a short watch timeout."""
    settings = dataclasses.replace(
        FOLLOWER_SETTINGS, watch_timeout_s=IDLE_WATCH_TIMEOUT_S
    )
    async with run_followers(size, seed, settings) as deployment:
        await put_tables(deployment.client, TABLE_ROUTES)
        await deployment.wait_revision(1)
        before = await deployment.platform.read_counters()
        cpu_timer = meters.CpuTimer()
        await anyio.sleep(IDLE_S)
        cpu_s = cpu_timer.seconds
        after = await deployment.platform.read_counters()
    watches = after.watches - before.watches
    reads = after.reads - before.reads
    # A period is the watch timeout plus the delay before the next watch.
    period_s = IDLE_WATCH_TIMEOUT_S + 0.75 * settings.rearm_s
    periods = IDLE_S / period_s
    return (
        series.Reading(
            "rest: watches in a watch's period", "calls", watches / periods
        ),
        series.Reading("rest: reads", "calls", reads),
        series.Reading(
            "rest: processor time in a watch's period",
            "ms",
            cpu_s / periods * 1e3,
        ),
    )


async def measure_restart(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Starts `size` followers at once; tables have `RESTART_SHARDS` shards."""
    routes = RESTART_SHARDS * 256
    return await _measure_restart(size, routes, seed, "restart")


async def measure_restart_shards(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Starts `RESTART_FOLLOWERS` at once; tables have `size` shards."""
    name = f"restart of {RESTART_FOLLOWERS}"
    return await _measure_restart(RESTART_FOLLOWERS, size * 256, seed, name)


async def _measure_restart(
    count: int, routes: int, seed: int, name: str
) -> tuple[series.Reading, ...]:
    async with (
        embedded_platform.run_platform() as platform,
        platform.open_clients(count + 1) as clients,
    ):
        await put_tables(clients[0], routes)
        await anyio.sleep(1.1)
        before = await platform.read_counters()
        followers = [
            tables_follower.Follower(
                client, FOLLOWER_WITHOUT_PEERS, random.Random(seed + n)
            )
            for n, client in enumerate(clients[1:])
        ]
        cpu_timer = meters.CpuTimer()
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for follower in followers:
                tasks.start_soon(follower.run)
            deployment = Deployment(platform, clients[0], followers)
            times = await deployment.wait_revision(1)
            tasks.cancel_scope.cancel()
        after = await platform.read_counters()
    return (
        series.Reading(f"{name}: reads", "calls", after.reads - before.reads),
        series.Reading(f"{name}: all ready", "s", times[-1] - started_at),
        series.Reading(
            f"{name}: calls over the rate",
            "calls",
            after.rejected - before.rejected,
        ),
        series.Reading(
            f"{name}: processor time of all", "ms", cpu_timer.seconds * 1e3
        ),
    )


TRIALS = (
    series.Trial(
        name="edit",
        size_label="followers",
        sizes=(4, 40, 300),
        run=measure_edit,
    ),
    series.Trial(
        name="rest",
        size_label="followers",
        sizes=(4, 40, 120),
        run=measure_idle,
    ),
    series.Trial(
        name="restart",
        size_label="followers",
        sizes=(4, 40, 300),
        run=measure_restart,
    ),
    series.Trial(
        name="restart_shards",
        size_label="shards",
        sizes=(4, 16, 64),
        run=measure_restart_shards,
    ),
)
