"""Tests of the unload orders that an engine controller sends."""

import anyio
import pytest

from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import membership
from tamaracktide.core import ownership_events
from tamaracktide.core import rows
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.protocol import messages
from tamaracktide.scheduler import engine_parts
from tamaracktide.scheduler import engines
from tamaracktide.scheduler import ownership_manager
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client
from tamaracktide.upstreams import settings as upstream_settings

pytestmark = pytest.mark.anyio
KEY = rows.AdapterKey("a", "1")
DONE = engine_client.OrderResult(engine_client.OrderOutcome.DONE)
LOST = calls.Failure(calls.FailureKind.BROKEN, "lost")


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the product does."""
    return "asyncio"


class FakeOwnership(ownership_manager.OwnershipManager):
    """An ownership at epoch 2 that allows every unload."""

    def __init__(self) -> None:
        """Creates an ownership that is already acquired."""

    @property
    def epoch(self) -> int:
        """The fencing token."""
        return 2

    @property
    def withheld(self) -> tuple[str, ...]:
        """No lora names."""
        return ()

    def feed(self, event: ownership_events.OwnershipEvent) -> None:
        """Ignores the event."""

    async def request_unload(self, lora_name: str) -> bool:
        """Allows the order."""
        return True

    async def run(self) -> None:
        """Returns at once."""


class FakeClient(engine_client.EngineClient):
    """Client of an engine with one adapter.

    Attributes:
        running: Number of requests that use the adapter at each poll, None
            for a failed poll; the last item repeats.
        unloads: Lora names of the unload orders.
    """

    def __init__(
        self, upstream_client: calls.UpstreamClient, running: list[int | None]
    ) -> None:
        """Creates a client whose engine has the adapter loaded."""
        super().__init__(upstream_settings.UpstreamSettings(), upstream_client)
        self.running = running
        self.unloads: list[str] = []

    async def read_state(
        self, address: str
    ) -> engine_client.EngineState | calls.Failure:
        """Returns the next state, or a failure."""
        count = self.running[0]
        if len(self.running) > 1:
            del self.running[0]
        if count is None:
            return LOST
        loaded = engine_client.LoadedAdapter("a#1", "a", "1", count)
        return engine_client.EngineState(
            instance="e1",
            incarnation="i",
            slots=1,
            batch_limit=4,
            loaded=(loaded,),
            running=tuple(f"r{number}" for number in range(count)),
            checks_fencing=False,
        )

    async def unload_adapter(
        self, order: engine_client.Order
    ) -> engine_client.OrderResult:
        """Records the order."""
        self.unloads.append(order.lora_name)
        return DONE

    async def load_adapter(
        self, order: engine_client.Order, key: rows.AdapterKey
    ) -> engine_client.OrderResult:
        """Accepts the order."""
        return DONE


async def collect_grants(
    upstream: str, epoch: int
) -> tuple[messages.OutstandingGrant, ...]:
    """Returns no grants."""
    return ()


async def try_eviction(
    running: list[int | None], missing: list[str]
) -> tuple[list[str], list[cell_events.CellEvent]]:
    """Takes an engine over and evicts an adapter.

    Returns:
        The lora names of the unload orders and the events fed to the cell.
    """
    fed: list[cell_events.CellEvent] = []
    settings = scheduler_settings.SchedulerSettings(
        instance="s",
        zone="z1",
        platform=platform_settings.PlatformSettings(address="127.0.0.1:1"),
        periods=scheduler_settings.PeriodSettings(engine_state_s=60.0),
    )
    async with (
        calls.UpstreamClient(settings.upstreams) as upstream_client,
        anyio.create_task_group() as tasks,
    ):
        client = FakeClient(upstream_client, running)
        parts = engine_parts.EngineParts(
            settings=settings,
            client=client,
            upstream_client=upstream_client,
            feed=fed.append,
            collect=collect_grants,
            list_missing=lambda upstream, epoch: missing,
        )
        member = membership.Member(
            instance="e1", role="engine", zone="z1", address="127.0.0.1:1"
        )
        engine = engines.EngineController(
            member, parts, lambda *_: FakeOwnership()
        )
        tasks.start_soon(engine.run)
        with anyio.fail_after(10.0):
            while engine.phase is not engine_parts.Phase.LIVE:
                await anyio.sleep(0.001)
        load = cell_actions.Load(
            load_id="l",
            upstream="e1",
            incarnation="i",
            lora_name="b#1",
            key=rows.AdapterKey("b", "1"),
            evict="a#1",
        )
        loaded = await engine.execute_load(load)
        tasks.cancel_scope.cancel()
    assert loaded == bool(client.unloads)
    return client.unloads, fed


@pytest.mark.parametrize(
    ("running", "unloads"),
    [([0], ["a#1"]), ([1, 0], ["a#1"]), ([1, 1], []), ([1, None], [])],
)
async def test_adapter_that_the_engine_runs_is_not_unloaded(
    running: list[int | None], unloads: list[str]
) -> None:
    """The engine is polled again if its last state showed a request."""
    sent, _ = await try_eviction(running, [])
    assert sent == unloads


async def test_inherited_adapter_stays_until_all_gateways_have_replied() -> (
    None
):
    """The cell is notified, and the controller sends no order either."""
    sent, fed = await try_eviction([0], ["g1"])
    assert sent == []
    snapshot = fed[0]
    assert isinstance(snapshot, cell_events.UpstreamSnapshot)
    assert snapshot.running == 1
    assert cell_events.EvictionsSuspended("e1", True) in fed
