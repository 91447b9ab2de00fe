"""Sends orders to the engines of the cells whose lease this instance holds."""

from collections.abc import Callable
import dataclasses
import math

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import engine_orders
from tamaracktide.core import popularity
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import engine_views
from tamaracktide.entry import lease_manager
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import restarts
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

ADAPTER_LOAD_S = 0.25
"""Time to fetch an adapter while the weight store is not saturated."""

FULL_SPEED_LOADS = 8
"""Adapters loading on all engines together up to which a fetch takes its usual
time, for each `LOADS_PER_STEP` that the weight store allows per second."""

LOADS_PER_STEP = 3.0
"""The current weight stores allow 2.5 and 4.5 loads per second and fetch 8 and
16 adapters at full speed; the expanded ones allow 18 and 20 and fetch 48."""

ORDER_TIMEOUT_S = 0.4
"""Less than `leases.LeaseSettings.max_order_s`, so that an order ends within
the lease term."""

REPORT_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.11
"""Age of the state in an engine's report, and so the wait before a poll: a
report that is requested sooner after an order shows the state before it."""

IDLE_POLL_PERIOD_S = 2.0
"""Time between two checks of an engine without work."""

MODEL_POLL_PERIOD_S = 0.5
"""Time between two checks of an engine without a model."""

SATURATED_PAUSE_S = 0.02
"""Pause while an engine or the weight store is at its limit of concurrent
fetches."""

MODEL_LOAD_MARGIN_S = 3.0
"""Time beyond the expected end of a model load after which it is retried. An
engine reports a new model with its heartbeat, about once per second."""

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0

Deliver = Callable[[engine_orders.LoadResult], None]
"""Receives the result of a load request."""


@dataclasses.dataclass(slots=True)
class _Engine:
    """An engine to which this instance may send orders."""

    entry: upstream_entries.UpstreamEntry
    orders: engine_orders.EngineOrders
    wake_event: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    reported_at: tuple[int, int, int] = (-1, -1, -1)
    failures: int = 0
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """What the engine controller depends on.

    Attributes:
        holder: Lease holder id that is sent with orders to engines.
        adapter: Implements the engines' interface.
        upstream_client: Sends calls to engines.
        leases: Tracks in which cells this instance holds the lease.
        popularity: Request rates of adapters.
        is_in_use: Returns whether a request uses an adapter on an engine.
        keeps_adapters: Returns whether an engine must evict no adapter now.
        count_loads: Returns the number of adapters loading on all engines.
        deliver: Receives the results of load requests.
        announce: Announces the state of an engine to all instances.
        tasks: Task group that runs one task per engine.
    """

    holder: str
    adapter: entry_adapter.PlatformAdapter
    upstream_client: streams.StreamClient
    leases: lease_manager.LeaseManager
    popularity: popularity.Popularity
    is_in_use: Callable[[str, str], bool]
    keeps_adapters: Callable[[str], bool]
    count_loads: Callable[[], int]
    deliver: Deliver
    announce: Callable[[entry_messages.EngineNotice], None]
    tasks: anyio.abc.TaskGroup


class EngineController:
    """Runs the orders of every engine in the cells with a held lease."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Starts without engines."""
        self._dependencies = dependencies
        self._engines: dict[str, _Engine] = {}
        self._services: dict[str, routing_document.Service] = {}
        self._max_serving: dict[str, int] = {}

    def update(
        self,
        entries: dict[str, upstream_entries.UpstreamEntry],
        services: dict[str, routing_document.Service],
    ) -> None:
        """Applies the list of engines; starts and cancels their tasks."""
        self._services = services
        served = {
            name
            for name, entry in entries.items()
            if self._find_profile(entry) is not None
        }
        for name in self._engines.keys() - served:
            self._remove_engine(name)
        for name, entry in entries.items():
            profile = self._find_profile(entry)
            if profile is None:
                continue
            engine = self._engines.get(name)
            if engine is None:
                self._add_engine(entry, profile)
                continue
            if engine.entry.models and not entry.models:
                engine.wake_event.set()
            engine.entry = entry
            if entry.started_ms > engine.orders.started_ms:
                engine.orders.restart(entry.started_ms)
                engine.wake_event.set()
        self._count_serving(entries)

    def request_load(
        self, upstream: str, request: engine_orders.LoadRequest
    ) -> None:
        """Queues a load request; its result is passed to `deliver`."""
        engine = self._engines.get(upstream)
        now = anyio.current_time()
        if engine is None or not self._is_held(engine.entry):
            logs.bind(wish=request.load_request_id, upstream=upstream).info(
                "load refused: lease not held"
            )
            self._dependencies.deliver(
                engine_orders.Rejected(
                    request.load_request_id, "lease not held", True
                )
            )
            return
        result = engine.orders.submit(request, now)
        if result is not None:
            self._deliver([result])
            return
        engine.wake_event.set()

    def count_loads(self) -> int:
        """Returns the number of adapters loading in cells with a held lease."""
        now = anyio.current_time()
        return sum(
            engine.orders.count_loading(now)
            for engine in self._engines.values()
            if self._is_held(engine.entry)
        )

    def wake(self) -> None:
        """Wakes the tasks of all engines after a change of a lease."""
        for engine in self._engines.values():
            engine.wake_event.set()

    def _add_engine(
        self,
        entry: upstream_entries.UpstreamEntry,
        profile: routing_document.EngineProfile,
    ) -> None:
        orders = engine_orders.EngineOrders(
            entry.upstream, profile.adapter_slots, ADAPTER_LOAD_S
        )
        orders.restart(entry.started_ms)
        engine = _Engine(entry, orders)
        self._engines[entry.upstream] = engine
        self._dependencies.tasks.start_soon(self._run, engine)

    def _remove_engine(self, name: str) -> None:
        engine = self._engines.pop(name)
        engine.scope.cancel()
        self._deliver(engine.orders.reject_all("engine removed", declined=True))

    def _find_profile(
        self, entry: upstream_entries.UpstreamEntry
    ) -> routing_document.EngineProfile | None:
        """Returns the engine profile of an upstream's service, or None."""
        service = self._services.get(entry.service)
        return None if service is None else service.engine

    def _count_serving(
        self, entries: dict[str, upstream_entries.UpstreamEntry]
    ) -> None:
        """Records the peak number of serving engines of each service."""
        for name in self._services:
            serving = sum(
                entry.service == name and bool(entry.models)
                for entry in entries.values()
                if not entry.leaving
            )
            max_serving = max(serving, self._max_serving.get(name, 0))
            self._max_serving[name] = max_serving

    def _is_held(self, entry: upstream_entries.UpstreamEntry) -> bool:
        cell = rows.CellId(entry.service, entry.zone)
        return self._dependencies.leases.is_held(cell)

    async def _run(self, engine: _Engine) -> None:
        """Sends orders to one engine until it is removed."""
        with engine.scope:
            await restarts.run_with_restarts(self._run_or_reset, engine)

    async def _run_or_reset(self, engine: _Engine) -> None:
        """Runs an engine; an error leaves no state and no load request."""
        try:
            await self._run_steps(engine)
        except Exception:
            engine.orders.restart(engine.entry.started_ms)
            self._deliver(
                engine.orders.reject_all("engine state reset", declined=True)
            )
            raise

    async def _run_steps(self, engine: _Engine) -> None:
        """Processes due work in a loop while the lease is held."""
        while True:
            if not self._is_held(engine.entry):
                self._deliver(
                    engine.orders.reject_all("lease not held", declined=True)
                )
                # Another instance may send orders in the meantime.
                engine.orders.is_state_known = False
                await self._sleep(engine, math.inf)
                continue
            if not await self._step(engine):
                has_model = bool(engine.entry.models)
                await self._sleep(
                    engine,
                    IDLE_POLL_PERIOD_S if has_model else MODEL_POLL_PERIOD_S,
                )

    async def _step(self, engine: _Engine) -> bool:
        """Processes the next due item; returns whether more may be due."""
        orders = engine.orders
        model = self._find_missing_model(engine)
        if model:
            return await self._load_model(engine, model)
        if not orders.has_work:
            return False
        if not orders.is_state_known and not await self._poll_report(engine):
            return True
        now = anyio.current_time()
        max_loads = self._find_full_speed_loads(engine.entry)
        if self._dependencies.count_loads() >= max_loads:
            # A further load would only slow down those in flight.
            await self._sleep(engine, SATURATED_PAUSE_S)
            return True
        orders.keeps_adapters = self._dependencies.keeps_adapters(
            orders.upstream
        )
        order, load_results = orders.find_next(
            self._predict_rate, lambda m, a: self._is_used(engine, m, a), now
        )
        self._deliver(load_results)
        if order is None:
            if orders.has_work:
                await self._sleep(engine, SATURATED_PAUSE_S)
            return orders.has_work
        await self._send(engine, order)
        return True

    async def _sleep(self, engine: _Engine, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await engine.wake_event.wait()
        engine.wake_event = anyio.Event()

    def _predict_rate(self, model: str, adapter: str) -> float:
        key = rows.AdapterKey(f"{model}/{adapter}", "")
        return self._dependencies.popularity.predict(key, anyio.current_time())

    def _is_used(self, engine: _Engine, model: str, adapter: str) -> bool:
        name = f"{model}/{adapter}" if adapter else model
        return self._dependencies.is_in_use(engine.entry.upstream, name)

    def _find_missing_model(self, engine: _Engine) -> str:
        """Returns the model to load on an engine without one, empty for none.

        If the peak number of engines already serves, a further engine stays
        empty: loading a model from the weight store costs more than the
        additional engine gains.
        """
        entry = engine.entry
        service = self._services.get(entry.service)
        if entry.models or entry.leaving or service is None:
            return ""
        if service.engine is None or self._is_loading_model(engine):
            return ""
        for model in entry.on_disk:
            if model in service.engine.models:
                return model
        serving = sum(
            other_engine.entry.service == entry.service
            and bool(other_engine.entry.models)
            and not other_engine.entry.leaving
            for other_engine in self._engines.values()
        )
        if serving >= self._max_serving.get(entry.service, 0):
            return ""
        return next(iter(service.engine.models), "")

    def _is_loading_model(self, engine: _Engine) -> bool:
        now = anyio.current_time()
        times = engine.orders.model_ready_at.values()
        return any(now < at + MODEL_LOAD_MARGIN_S for at in times)

    async def _load_model(self, engine: _Engine, model: str) -> bool:
        if not engine.orders.is_state_known and not await self._poll_report(
            engine
        ):
            return True
        if engine.orders.adapters:
            return False
        await self._send(engine, engine.orders.plan_model(model))
        return True

    async def _poll_report(self, engine: _Engine) -> bool:
        """Polls an engine's report; returns whether its state is now known."""
        await anyio.sleep(REPORT_LAG_S)
        entry = engine.entry
        response = await self._dependencies.upstream_client.send(
            self._dependencies.adapter.make_report_call(
                entry.address, REPORT_TIMEOUT_S
            )
        )
        if not isinstance(response, calls.Response) or response.status != 200:
            await self._record_failure(
                engine, f"report request failed: {response}"
            )
            return False
        try:
            report = self._dependencies.adapter.decode_report(response.body)
        except errors.PlatformError as error:
            await self._record_failure(engine, error.detail)
            return False
        engine.failures = 0
        now = anyio.current_time()
        if not engine.orders.apply_report(report, now):
            return False
        self._announce(engine)
        return engine.orders.is_state_known

    async def _send(self, engine: _Engine, order: engine_orders.Order) -> None:
        entry = engine.entry
        cell = rows.CellId(entry.service, entry.zone)
        options = entry_adapter.CallOptions(
            upstream=entry.upstream,
            address=entry.address,
            time_left_s=ORDER_TIMEOUT_S,
            priority=0,
            version=0,
            resume_after=None,
        )
        call = self._dependencies.adapter.make_order_call(
            order,
            options,
            self._dependencies.holder,
            self._dependencies.leases.find_epoch(cell),
        )
        # The lease is checked immediately before the order is sent.
        if not self._dependencies.leases.is_held(cell):
            engine.orders.record_outcome(
                order,
                engine_orders.Outcome.UNCERTAIN,
                anyio.current_time(),
                0.0,
            )
            return
        sent_at = anyio.current_time()
        response: calls.Response | calls.Failure | None = None
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            response = await self._dependencies.upstream_client.send(call)
        outcome = engine_orders.Outcome.UNCERTAIN
        if isinstance(response, calls.Response):
            outcome = self._dependencies.adapter.parse_order_outcome(response)
        now = anyio.current_time()
        load_results = engine.orders.record_outcome(
            order, outcome, now, self._predict_load_s(entry, order)
        )
        logs.bind(
            upstream=entry.upstream,
            operation=order.operation.value,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            after=order.after,
            outcome=outcome.value,
            seconds=round(now - sent_at, 4),
        ).info("order finished")
        self._deliver(load_results)
        if outcome in (
            engine_orders.Outcome.ACCEPTED,
            engine_orders.Outcome.IN_EFFECT,
        ):
            self._announce(engine)
        else:
            await self._record_failure(engine, outcome.value)

    def _predict_load_s(
        self,
        entry: upstream_entries.UpstreamEntry,
        order: engine_orders.Order,
    ) -> float:
        if order.adapter:
            slowdown = (
                self._dependencies.count_loads() + 1
            ) / self._find_full_speed_loads(entry)
            return ADAPTER_LOAD_S * max(1.0, slowdown)
        profile = self._find_profile(entry)
        model = profile.models.get(order.model) if profile else None
        if model is None:
            return 0.0
        on_disk = order.model in entry.on_disk
        return model.disk_load_s if on_disk else model.load_s

    def _find_full_speed_loads(
        self, entry: upstream_entries.UpstreamEntry
    ) -> int:
        profile = self._find_profile(entry)
        loads_per_s = profile.loads_per_s if profile else 0.0
        steps = int(loads_per_s / LOADS_PER_STEP + 0.5)
        return FULL_SPEED_LOADS * max(1, steps)

    async def _record_failure(self, engine: _Engine, detail: str) -> None:
        engine.failures += 1
        engine.orders.is_state_known = False
        if engine.failures > 2:
            self._deliver(engine.orders.reject_all(detail, declined=False))
        logs.bind(
            upstream=engine.entry.upstream, failures=engine.failures
        ).warning("engine state unknown: {}", detail)
        if engine.failures > 1:
            pause_s = MIN_BACKOFF_S * 2.0 ** (engine.failures - 2)
            await anyio.sleep(min(MAX_BACKOFF_S, pause_s))

    def _deliver(self, load_results: list[engine_orders.LoadResult]) -> None:
        for result in load_results:
            if isinstance(result, engine_orders.Rejected):
                logs.bind(wish=result.load_request_id).info(
                    "load refused: {}", result.reason
                )
            self._dependencies.deliver(result)

    def _announce(self, engine: _Engine) -> None:
        if engine.orders.is_state_known:
            notice = _make_notice(engine.orders, anyio.current_time())
            self._dependencies.announce(notice)


def _make_notice(
    orders: engine_orders.EngineOrders, now: float
) -> entry_messages.EngineNotice:
    return entry_messages.EngineNotice(
        upstream=orders.upstream,
        started_ms=orders.started_ms,
        orders=orders.orders,
        models={
            model: {
                adapter: engine_views.make_state(
                    state.version, state.ready_at, now
                )
                for adapter, state in adapters.items()
            }
            for model, adapters in orders.adapters.items()
        },
    )
