"""Tests of polling an engine's reports."""

import dataclasses

import anyio
import pytest

from tamaracktide.core import cell_events
from tamaracktide.core import membership
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.protocol import messages
from tamaracktide.scheduler import engine_parts
from tamaracktide.scheduler import reports
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client
from tamaracktide.upstreams import settings as upstream_settings

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the product does."""
    return "asyncio"


class FakeClient(engine_client.EngineClient):
    """Returns one cache event per call and records the requested start.

    Attributes:
        requested_from: Sequence numbers from which events were requested.
    """

    def __init__(self, upstream_client: calls.UpstreamClient) -> None:
        """Creates a client without calls."""
        super().__init__(upstream_settings.UpstreamSettings(), upstream_client)
        self.requested_from: list[int] = []

    async def read_load(
        self, address: str
    ) -> engine_client.EngineLoad | calls.Failure:
        """Returns an idle engine's load."""
        return engine_client.EngineLoad(running=0, waiting=0)

    async def read_cache_events(
        self, address: str, since: int
    ) -> engine_client.CacheEvents | calls.Failure:
        """Fails the second call, else returns the next event."""
        self.requested_from.append(since)
        if len(self.requested_from) == 2:
            return calls.Failure(calls.FailureKind.BROKEN, "lost")
        event = engine_client.CacheEvent(since + 1, f"p{since}", True)
        return engine_client.CacheEvents(since + 1, (event,))


@dataclasses.dataclass
class FakeEngine:
    """A live engine; its incarnation changes at the fifth read of its state."""

    member: membership.Member
    phase: engine_parts.Phase = engine_parts.Phase.LIVE
    state_reads: int = 0

    @property
    def state(self) -> engine_client.EngineState | None:
        """The engine's state; each read is counted."""
        self.state_reads += 1
        return engine_client.EngineState(
            instance="e1",
            incarnation="i" if self.state_reads < 5 else "later",
            slots=1,
            batch_limit=1,
        )

    def request_poll(self) -> None:
        """Does nothing."""


async def collect_grants(
    upstream: str, epoch: int
) -> tuple[messages.OutstandingGrant, ...]:
    """Returns no grants."""
    return ()


async def test_cache_events_reach_the_cell_and_restart_with_the_engine() -> (
    None
):
    """A failed call is repeated; polls of a restarted engine begin at 0."""
    fed: list[cell_events.CellEvent] = []
    settings = scheduler_settings.SchedulerSettings(
        instance="s",
        zone="z1",
        platform=platform_settings.PlatformSettings(address="127.0.0.1:1"),
        periods=scheduler_settings.PeriodSettings(engine_load_s=0.001),
    )
    async with (
        calls.UpstreamClient(settings.upstreams) as upstream_client,
        anyio.create_task_group() as tasks,
    ):
        client = FakeClient(upstream_client)
        parts = engine_parts.EngineParts(
            settings=settings,
            client=client,
            upstream_client=upstream_client,
            feed=fed.append,
            collect=collect_grants,
            list_missing=lambda upstream, epoch: [],
        )
        engine = FakeEngine(
            membership.Member(
                instance="e1", role="engine", zone="z1", address="a:1"
            )
        )
        tasks.start_soon(reports.poll_reports, engine, parts)
        with anyio.fail_after(10.0):
            while len(client.requested_from) < 6:
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()
    reported = [
        event for event in fed if isinstance(event, cell_events.PrefixReported)
    ]
    assert client.requested_from[:4] == [0, 1, 1, 2]
    assert 0 in client.requested_from[4:]
    assert reported[:3] == [
        cell_events.PrefixReported("e1", prefix, True)
        for prefix in ("p0", "p1", "p2")
    ]
