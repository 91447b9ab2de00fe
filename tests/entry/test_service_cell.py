"""Tests of the scheduling of one service at one instance."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import anyio
from anyio import lowlevel
import anyio.abc
import pytest

from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import load_margin
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.core import upstream_health
from tamaracktide.entry import engine_views
from tamaracktide.entry import requests
from tamaracktide.entry import service_cell
from tamaracktide.entry import slow_starts
from tamaracktide.entry import upstream_snapshots
from tamaracktide.protocol import entry_messages
from tamaracktide.upstreams import network

pytestmark = pytest.mark.anyio

MODEL = "m"
BATCH_LIMIT = 2
SERVICE = routing_document.Service(
    name="llm",
    engine=routing_document.EngineProfile(
        batch_limit=BATCH_LIMIT,
        kv_tokens=10_000,
        adapter_slots=4,
        weights_mb=100.0,
        loads_per_s=4.0,
        models={},
    ),
)
ROUTE = routing_document.Route(
    name="r",
    host="h",
    path_prefix="/r/",
    kind=routing_document.RequestKind.STREAMING,
    shares=(routing_document.Share(service="llm", weight=1.0),),
    timeout_s=5.0,
)


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class Harness:
    """A cell over engines whose state the tests set.

    Attributes:
        tasks: Runs the cell's timers.
        entries: Engines by id.
        views: Their tracked states.
        snapshots: Engines of which snapshots were made, in order.
        unordered: Availability zones where no loads may be ordered.
        instances: Number of instances.
        limits: Announced limits of engines.
    """

    tasks: anyio.abc.TaskGroup
    entries: dict[str, upstream_entries.UpstreamEntry] = dataclasses.field(
        default_factory=dict
    )
    views: engine_views.EngineViews = dataclasses.field(
        default_factory=engine_views.EngineViews
    )
    snapshots: list[str] = dataclasses.field(default_factory=list)
    unordered: set[str] = dataclasses.field(default_factory=set)
    instances: int = 2
    limits: list[entry_messages.SendLimitNotice] = dataclasses.field(
        default_factory=list
    )

    def make_cell(self) -> service_cell.ServiceCell:
        """Returns a cell that has read the engines."""
        cell = service_cell.ServiceCell(
            SERVICE,
            service_cell.Dependencies(
                upstreams=upstream_snapshots.SnapshotBuilder(
                    "z1",
                    self.views,
                    lambda service: list(self.entries.values()),
                    lambda model, adapter: 0,
                    self._count_running,
                    lambda service, zone: zone not in self.unordered,
                ),
                find_version=lambda model, adapter: 0,
                announce_prompt=lambda upstream, tokens: None,
                announce_limit=self.limits.append,
                count_instances=lambda: self.instances,
                instance="n2",
                slow_start_min_instances=13,
                load_margin=load_margin.LoadMargin(),
                load=self._load,
                list_withheld=lambda _: frozenset(),
                record_exit=lambda entry: None,
                was_held_up=lambda: False,
                backend=network.Backend(),
                tasks=self.tasks,
            ),
        )
        cell.refresh()
        self.snapshots.clear()
        return cell

    def add_engine(
        self,
        name: str,
        zone: str = "z1",
        software: str = "v1",
        started_ms: int = 1,
        **ready_in_ms: int,
    ) -> None:
        """Adds an engine; adapters are given with the time to readiness."""
        self.entries[name] = upstream_entries.UpstreamEntry(
            upstream=name,
            service="llm",
            address="127.0.0.1:1",
            zone=zone,
            batch_limit=BATCH_LIMIT,
            software=software,
            started_ms=started_ms,
            models={MODEL: {}},
        )
        self.views.apply_notice(
            entry_messages.EngineNotice(
                upstream=name,
                started_ms=started_ms,
                orders=1,
                models={
                    MODEL: {
                        adapter: entry_messages.AdapterState(1, milliseconds)
                        for adapter, milliseconds in ready_in_ms.items()
                    }
                },
            ),
            anyio.current_time(),
        )

    def _count_running(self, upstream: str) -> dict[str, int]:
        self.snapshots.append(upstream)
        return {}

    async def _load(
        self, service: str, load: cell_actions.Load
    ) -> cell_events.LoadEnded:
        await anyio.sleep_forever()
        raise AssertionError(f"{service}: {load}")


@contextlib.asynccontextmanager
async def run_two_engines() -> AsyncIterator[
    tuple[Harness, service_cell.ServiceCell]
]:
    """Runs a cell over two engines that have adapter `a` ready."""
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        harness.add_engine("e1", a=0)
        harness.add_engine("e2", a=0)
        yield harness, harness.make_cell()
        tasks.cancel_scope.cancel()


def make_request(request_id: str, adapter: str) -> requests.ClientRequest:
    """Returns a generation request with a deadline in five seconds."""
    deadline = anyio.current_time() + 5.0
    return requests.ClientRequest(
        request_id=request_id,
        method="POST",
        target="/r/x",
        headers=(),
        body=b"",
        route=ROUTE,
        service=SERVICE,
        deadline=deadline,
        expires_at=deadline,
        generation=requests.Generation(model=MODEL, adapter=adapter),
    )


async def test_request_gets_an_adapter_that_another_instance_loaded() -> None:
    """Readiness is passed on when a request needs it, without snapshots."""
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        harness.add_engine("e1", a=40, b=80)
        cell = harness.make_cell()
        await anyio.sleep(0.06)
        assert not harness.snapshots
        placement = await cell.acquire_placement(make_request("r1", "a"))
        assert placement.waited_s < 0.02
        with anyio.fail_after(1.0):
            await cell.acquire_placement(make_request("r2", "b"))
        assert not harness.snapshots
        tasks.cancel_scope.cancel()


async def test_engine_that_left_while_adapters_got_ready_is_passed_over() -> (
    None
):
    """Load pattern: loads end at many engines while some of them leave.

    Guards against a KeyError that ended the process: one of several due
    engines was leaving, which had all of them read anew in the middle.
    """
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        for name in ("e1", "e2", "e3"):
            harness.add_engine(name, a=20)
        cell = harness.make_cell()
        harness.entries["e1"] = dataclasses.replace(
            harness.entries["e1"], leaving=True
        )
        cell.refresh()
        await anyio.sleep(0.04)
        del harness.entries["e2"]
        cell.refresh()
        placement = await cell.acquire_placement(make_request("r1", "a"))
        assert placement.entry.upstream == "e3"
        tasks.cancel_scope.cancel()


async def test_notice_of_an_excluded_engine_reads_that_engine_only() -> None:
    """Load pattern: some engines are down for long while others change often.

    Guards against reading all upstreams at each change of an excluded one.
    """
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        for name in ("e1", "e2", "e3"):
            harness.add_engine(name, a=0)
        harness.entries["e1"] = dataclasses.replace(
            harness.entries["e1"], leaving=True
        )
        cell = harness.make_cell()
        cell.refresh_upstreams([harness.entries["e1"]])
        assert harness.snapshots == ["e1"]
        back = dataclasses.replace(harness.entries["e1"], leaving=False)
        cell.refresh_upstreams([back])
        cell.apply_remote_counts(
            {name: {"m/a": BATCH_LIMIT} for name in ("e2", "e3")}
        )
        placement = await cell.acquire_placement(make_request("r1", "a"))
        assert placement.entry.upstream == "e1"
        tasks.cancel_scope.cancel()


async def test_requests_of_other_instances_fill_an_engine_and_free_it() -> None:
    """Changed counts apply without a snapshot of the engine."""
    async with run_two_engines() as (harness, cell):
        cell.apply_remote_counts({"e1": {"m/a": BATCH_LIMIT}})
        placement = await cell.acquire_placement(make_request("r1", "a"))
        assert placement.entry.upstream == "e2"
        cell.apply_remote_counts({"e2": {"m/a": BATCH_LIMIT}})
        cell.apply_remote_counts({"e1": {"m/a": 0}})
        placement = await cell.acquire_placement(make_request("r2", "a"))
        assert placement.entry.upstream == "e1"
        assert not harness.snapshots


async def test_health_of_an_upstream_changes_without_snapshots() -> None:
    """Load pattern: many servers flap while all instances try them.

    A failing engine gets no request until its trial, then it does again.
    """
    async with run_two_engines() as (harness, cell):
        for _ in range(3):
            cell.health.record_failure("e1", anyio.current_time())
        cell.refresh_health()
        placements = [
            await cell.acquire_placement(make_request(f"r{i}", "a"))
            for i in range(BATCH_LIMIT)
        ]
        assert {p.entry.upstream for p in placements} == {"e2"}
        with anyio.fail_after(2 * upstream_health.INITIAL_AVOID_S):
            late = await cell.acquire_placement(make_request("late", "a"))
        assert late.entry.upstream == "e1"
        assert not harness.snapshots


async def test_engine_on_trial_gets_one_request_at_a_time() -> None:
    """Load pattern: a queue waits for a server that has just come back.

    If it still fails, it costs one request of each instance, not a batch.
    """
    async with run_two_engines() as (harness, cell):
        for _ in range(3):
            cell.health.record_failure("e1", anyio.current_time())
        cell.refresh_health()
        for index in range(BATCH_LIMIT):
            await cell.acquire_placement(make_request(f"r{index}", "a"))
        granted: list[service_cell.Placement] = []

        async def wait_for_placement(request_id: str) -> None:
            request = make_request(request_id, "a")
            granted.append(await cell.acquire_placement(request))

        for index in range(2):
            harness.tasks.start_soon(wait_for_placement, f"waiting{index}")
        await anyio.sleep(1.5 * upstream_health.INITIAL_AVOID_S)
        assert [p.entry.upstream for p in granted] == ["e1"]
        assert cell.health.record_success("e1")
        cell.refresh_health()
        await anyio.sleep(0.05)
        assert [p.entry.upstream for p in granted] == ["e1", "e1"]


async def test_restarted_engine_gets_few_requests_at_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: many instances see an engine that has just restarted.

    It takes more as its requests are answered well.
    """
    monkeypatch.setattr(slow_starts, "LISTING_S", 0.0)
    async with run_two_engines() as (harness, cell):
        harness.instances = 13
        harness.add_engine("e1", started_ms=2, a=0)
        cell.refresh()
        first = [
            await cell.acquire_placement(make_request(f"r{i}", "a"))
            for i in range(BATCH_LIMIT)
        ]
        assert {p.entry.upstream for p in first} == {"e2"}
        for _ in range(20):
            cell.record_answer("e1", is_good=True)
        later = [
            await cell.acquire_placement(make_request(f"s{i}", "a"))
            for i in range(BATCH_LIMIT)
        ]
        assert {p.entry.upstream for p in later} == {"e1"}


async def test_results_of_others_stop_requests_to_an_engine() -> None:
    """Load pattern: a server breaks that dozens of instances share."""
    async with run_two_engines() as (_, cell):
        cell.apply_results({"e1": upstream_health.Results(failed=5)})
        placements = [
            await cell.acquire_placement(make_request(f"r{i}", "a"))
            for i in range(BATCH_LIMIT)
        ]
        assert {p.entry.upstream for p in placements} == {"e2"}


async def test_lease_change_reads_the_engines_of_its_zone_only() -> None:
    """Load pattern: leases change hands often while requests wait."""
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        harness.add_engine("e1")
        harness.add_engine("e2", "z2")
        cell = harness.make_cell()
        cell.refresh_orderable()
        assert not harness.snapshots
        harness.unordered.add("z2")
        cell.refresh_orderable()
        assert harness.snapshots == ["e2"]
        cell.refresh_orderable()
        assert harness.snapshots == ["e2"]
        harness.unordered.clear()
        cell.refresh_orderable()
        assert harness.snapshots == ["e2", "e2"]
        harness.add_engine("e3", "z3")
        cell.refresh_upstreams([harness.entries["e3"]])
        harness.unordered.add("z3")
        cell.refresh_orderable()
        assert harness.snapshots == ["e2", "e2", "e3", "e3"]
        tasks.cancel_scope.cancel()


async def test_removed_engine_is_forgotten_without_reading_others() -> None:
    """Its requests end, and new ones go elsewhere."""
    async with run_two_engines() as (harness, cell):
        cell.remove_upstreams({"e1", "unknown"})
        placement = await cell.acquire_placement(make_request("r1", "a"))
        assert placement.entry.upstream == "e2"
        assert not harness.snapshots


async def run_ready_tasks() -> None:
    """Lets tasks run that can; those of timers may start again and again."""
    for _ in range(10):
        await lowlevel.checkpoint()


async def test_queued_resumption_gets_no_upstream_of_a_new_version() -> None:
    """Guards against a stream resumed at another software version (ORDER).

    The first upstream of the other version appears while the request waits.
    """
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        harness.add_engine("e1", software="v1", a=0)
        cell = harness.make_cell()
        first = [
            await cell.acquire_placement(make_request(f"r{index}", "a"))
            for index in range(BATCH_LIMIT)
        ]
        placements: list[service_cell.Placement] = []

        async def wait_for_placement() -> None:
            request = dataclasses.replace(
                make_request("resumed", "a"),
                expires_at=anyio.current_time() + 60.0,
            )
            placements.append(
                await cell.acquire_placement(request, software="v1")
            )

        tasks.start_soon(wait_for_placement)
        await run_ready_tasks()
        assert cell.count_waiting() == 1
        harness.add_engine("e2", software="v2", a=0)
        cell.refresh()
        await run_ready_tasks()
        assert placements == []
        cell.release(first.pop(), missing=False)
        await run_ready_tasks()
        assert [p.entry.upstream for p in placements] == ["e1"]
        late = await cell.acquire_placement(make_request("late", "a"))
        assert late.entry.upstream == "e2"
        tasks.cancel_scope.cancel()


async def test_resumed_stream_does_not_wait_behind_new_ones() -> None:
    """Guards against streams that nobody takes up after a kill of all (LOST).

    All clients come back at once, with new requests among them.
    """
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        harness.add_engine("e1", a=0)
        cell = harness.make_cell()
        generation = requests.Generation(
            model=MODEL, adapter="a", prompt_tokens=100, max_tokens=40
        )
        first = [
            await cell.acquire_placement(
                dataclasses.replace(
                    make_request(f"r{index}", "a"), generation=generation
                )
            )
            for index in range(BATCH_LIMIT)
        ]
        granted: list[str] = []

        async def wait_for_placement(name: str, after: int | None) -> None:
            request = dataclasses.replace(
                make_request(name, "a"),
                generation=generation,
                expires_at=anyio.current_time() + 60.0,
            )
            await cell.acquire_placement(request, resume_after=after)
            granted.append(name)

        for name, after in (("new1", None), ("new2", None), ("resumed", 9)):
            tasks.start_soon(wait_for_placement, name, after)
            await run_ready_tasks()
        assert cell.count_waiting() == 3
        cell.release(first.pop(), tokens=20, missing=False)
        await run_ready_tasks()
        assert granted == ["resumed"]
        tasks.cancel_scope.cancel()
