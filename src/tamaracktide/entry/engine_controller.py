"""Carries out orders at the engines of the cells that this instance holds."""

from collections.abc import Callable
import dataclasses

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import engine_orders
from tamaracktide.core import popularity
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import lease_manager
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages
from tamaracktide.upstreams import calls

ADAPTER_LOAD_S = 0.25
"""Time to fetch an adapter while the weight store is not crowded."""

FULL_SPEED_LOADS = 8
"""Adapters on their way over all engines up to which a fetch takes its usual
time, for each `LOADS_PER_STEP` that the weight store allows a second."""

LOADS_PER_STEP = 3.0
"""Today's stores allow 2.5 and 4.5 loads a second and fetch 8 and 16 adapters
at full speed; the grown ones allow 18 and 20 and fetch 48."""

ORDER_TIMEOUT_S = 0.4
"""Less than `leases.LeaseSettings.order_s`: an order ends within the right."""

REPORT_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.11
"""Age of an engine's report; one that is asked for sooner shows the past."""

IDLE_CHECK_S = 0.5
"""How often an engine without work is looked at."""

CROWDED_PAUSE_S = 0.02
"""Pause while an engine or the store fetches as many as it should."""

MODEL_LATE_S = 3.0
"""Time beyond the expected one after which a model's load is tried again; an
engine tells of a new model within its heartbeat of about a second."""

FAILED_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0

Deliver = Callable[[engine_orders.Answer], None]
"""Takes the answer to a wish."""


@dataclasses.dataclass(slots=True)
class _Engine:
    """One engine that this instance orders at."""

    entry: upstream_entries.UpstreamEntry
    orders: engine_orders.EngineOrders
    woken: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    told_at: tuple[int, int, int] = (-1, -1, -1)
    failures: int = 0
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """What the orders depend on.

    Attributes:
        holder: Names this machine to the engines.
        adapter: Speaks the engines' interface.
        caller: Calls engines.
        leases: Says in which cells this instance may order.
        popularity: How often adapters are asked for.
        is_in_use: Whether a request runs with an adapter on an engine.
        count_loads: Returns the adapters on their way over all engines.
        deliver: Takes answers to wishes.
        tell: Takes what an engine has, for all instances.
        tasks: Runs one task for each engine.
    """

    holder: str
    adapter: entry_adapter.PlatformAdapter
    caller: calls.Caller
    leases: lease_manager.LeaseManager
    popularity: popularity.Popularity
    is_in_use: Callable[[str, str], bool]
    count_loads: Callable[[], int]
    deliver: Deliver
    tell: Callable[[entry_messages.EngineNotice], None]
    tasks: anyio.abc.TaskGroup


class EngineController:
    """Runs the orders of every engine in a held cell."""

    def __init__(self, around: Dependencies) -> None:
        """Starts without engines."""
        self._around = around
        self._engines: dict[str, _Engine] = {}
        self._services: dict[str, routing_document.Service] = {}
        self._most_serving: dict[str, int] = {}

    def update(
        self,
        entries: dict[str, upstream_entries.UpstreamEntry],
        services: dict[str, routing_document.Service],
    ) -> None:
        """Takes in which engines there are; starts and ends their tasks."""
        self._services = services
        for name in self._engines.keys() - entries.keys():
            self._engines.pop(name).scope.cancel()
        for name, entry in entries.items():
            service = services.get(entry.service)
            if service is None or service.engine is None:
                continue
            known = self._engines.get(name)
            if known is None:
                self._open(entry, service.engine)
                continue
            known.entry = entry
            if entry.started_ms > known.orders.started_ms:
                known.orders.restart(entry.started_ms)
                known.woken.set()
        self._count_serving(entries)

    def wish(self, upstream: str, wish: engine_orders.Wish) -> None:
        """Takes a wish in; its answer is delivered."""
        engine = self._engines.get(upstream)
        now = anyio.current_time()
        if engine is None or not self._is_held(engine.entry):
            logs.bind(wish=wish.wish_id, upstream=upstream).info(
                "load refused: no right to order"
            )
            self._around.deliver(
                engine_orders.Rejected(wish.wish_id, "no right to order", True)
            )
            return
        answer = engine.orders.wish(wish, now)
        if answer is not None:
            self._deliver([answer])
            return
        engine.woken.set()

    def count_loads(self) -> int:
        """Returns the adapters on their way at the engines of held cells."""
        now = anyio.current_time()
        return sum(
            engine.orders.count_coming(now)
            for engine in self._engines.values()
            if self._is_held(engine.entry)
        )

    def list_announced(self) -> list[entry_messages.EngineNotice]:
        """Returns what the engines of held cells have, where it is sure."""
        now = anyio.current_time()
        return [
            _describe(engine.orders, now)
            for engine in self._engines.values()
            if engine.orders.is_sure and self._is_held(engine.entry)
        ]

    def _open(
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
        self._around.tasks.start_soon(self._run, engine)

    def _count_serving(
        self, entries: dict[str, upstream_entries.UpstreamEntry]
    ) -> None:
        """Remembers how many engines of a service served at once."""
        for name in self._services:
            serving = sum(
                entry.service == name and bool(entry.models)
                for entry in entries.values()
                if not entry.leaving
            )
            most = max(serving, self._most_serving.get(name, 0))
            self._most_serving[name] = most

    def _is_held(self, entry: upstream_entries.UpstreamEntry) -> bool:
        cell = rows.CellId(entry.service, entry.zone)
        return self._around.leases.is_held(cell)

    async def _run(self, engine: _Engine) -> None:
        """Orders at one engine until it is gone."""
        with engine.scope:
            while True:
                try:
                    await self._run_steps(engine)
                except errors.InvariantError as error:
                    logs.bind(upstream=engine.entry.upstream).critical(
                        "orders start anew: {}", error
                    )
                    engine.orders.restart(engine.entry.started_ms)

    async def _run_steps(self, engine: _Engine) -> None:
        """Does what is due, again and again, while the cell is held."""
        while True:
            if not self._is_held(engine.entry):
                self._deliver(
                    engine.orders.reject_all("no right to order", declined=True)
                )
                # Another instance may order meanwhile.
                engine.orders.is_sure = False
                await self._sleep(engine, IDLE_CHECK_S)
                continue
            if not await self._step(engine):
                await self._sleep(engine, IDLE_CHECK_S)

    async def _step(self, engine: _Engine) -> bool:
        """Does what is due; returns whether there may be more."""
        orders = engine.orders
        model = self._find_missing_model(engine)
        if model:
            return await self._load_model(engine, model)
        if not orders.has_work:
            return False
        if not orders.is_sure and not await self._read_report(engine):
            return True
        now = anyio.current_time()
        full_speed = self._find_full_speed(engine.entry)
        if self._around.count_loads() >= full_speed:
            # More at once would only slow down those that are on their way.
            await self._sleep(engine, CROWDED_PAUSE_S)
            return True
        order, answers = orders.find_next(
            self._rate, lambda m, a: self._is_used(engine, m, a), now
        )
        self._deliver(answers)
        if order is None:
            if orders.has_work:
                await self._sleep(engine, CROWDED_PAUSE_S)
            return orders.has_work
        await self._send(engine, order)
        return True

    async def _sleep(self, engine: _Engine, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await engine.woken.wait()
        engine.woken = anyio.Event()

    def _rate(self, model: str, adapter: str) -> float:
        key = rows.AdapterKey(f"{model}/{adapter}", "")
        return self._around.popularity.predict(key, anyio.current_time())

    def _is_used(self, engine: _Engine, model: str, adapter: str) -> bool:
        name = f"{model}/{adapter}" if adapter else model
        return self._around.is_in_use(engine.entry.upstream, name)

    def _find_missing_model(self, engine: _Engine) -> str:
        """Returns the model to load on an engine that has none, or empty.

        An engine beyond those that have served at once stays empty: loading
        a model from the weight store costs more than the engine is worth.
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
            other.entry.service == entry.service
            and bool(other.entry.models)
            and not other.entry.leaving
            for other in self._engines.values()
        )
        if serving >= self._most_serving.get(entry.service, 0):
            return ""
        return next(iter(service.engine.models), "")

    def _is_loading_model(self, engine: _Engine) -> bool:
        now = anyio.current_time()
        times = engine.orders.model_ready_at.values()
        return any(now < at + MODEL_LATE_S for at in times)

    async def _load_model(self, engine: _Engine, model: str) -> bool:
        if not engine.orders.is_sure and not await self._read_report(engine):
            return True
        if engine.orders.adapters:
            return False
        await self._send(engine, engine.orders.plan_model(model))
        return True

    async def _read_report(self, engine: _Engine) -> bool:
        """Reads an engine's own account; returns whether it is sure now."""
        await anyio.sleep(REPORT_LAG_S)
        entry = engine.entry
        answer = await self._around.caller.send(
            self._around.adapter.make_report_call(
                entry.address, REPORT_TIMEOUT_S
            )
        )
        if not isinstance(answer, calls.Answer) or answer.status != 200:
            await self._note_failure(engine, f"no report: {answer}")
            return False
        try:
            report = self._around.adapter.decode_report(answer.body)
        except errors.PlatformError as error:
            await self._note_failure(engine, error.detail)
            return False
        engine.failures = 0
        now = anyio.current_time()
        if not engine.orders.take_report(report, now):
            return False
        self._tell(engine)
        return engine.orders.is_sure

    async def _send(self, engine: _Engine, order: engine_orders.Order) -> None:
        entry = engine.entry
        cell = rows.CellId(entry.service, entry.zone)
        terms = entry_adapter.CallOptions(
            upstream=entry.upstream,
            address=entry.address,
            time_left_s=ORDER_TIMEOUT_S,
            priority=0,
            version=0,
            resume_after=None,
        )
        call = self._around.adapter.make_order_call(
            order,
            terms,
            self._around.holder,
            self._around.leases.find_epoch(cell),
        )
        # The right is checked last, right before the order goes out.
        if not self._around.leases.is_held(cell):
            engine.orders.note_outcome(
                order, engine_orders.Outcome.UNSURE, anyio.current_time(), 0.0
            )
            return
        sent_at = anyio.current_time()
        answer: calls.Answer | calls.Failure | None = None
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            answer = await self._around.caller.send(call)
        outcome = engine_orders.Outcome.UNSURE
        if isinstance(answer, calls.Answer):
            outcome = self._around.adapter.parse_order_outcome(answer.status)
        now = anyio.current_time()
        answers = engine.orders.note_outcome(
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
        ).info("order answered")
        self._deliver(answers)
        if outcome in (
            engine_orders.Outcome.ACCEPTED,
            engine_orders.Outcome.ALREADY,
        ):
            self._tell(engine)
        else:
            await self._note_failure(engine, outcome.value)

    def _predict_load_s(
        self,
        entry: upstream_entries.UpstreamEntry,
        order: engine_orders.Order,
    ) -> float:
        if order.adapter:
            crowd = (self._around.count_loads() + 1) / self._find_full_speed(
                entry
            )
            return ADAPTER_LOAD_S * max(1.0, crowd)
        engine = self._services[entry.service].engine
        if engine is None:
            return 0.0
        model = engine.models[order.model]
        on_disk = order.model in entry.on_disk
        return model.disk_load_s if on_disk else model.load_s

    def _find_full_speed(self, entry: upstream_entries.UpstreamEntry) -> int:
        engine = self._services[entry.service].engine
        loads_per_s = engine.loads_per_s if engine else 0.0
        steps = int(loads_per_s / LOADS_PER_STEP + 0.5)
        return FULL_SPEED_LOADS * max(1, steps)

    async def _note_failure(self, engine: _Engine, detail: str) -> None:
        engine.failures += 1
        engine.orders.is_sure = False
        if engine.failures > 2:
            self._deliver(engine.orders.reject_all(detail, declined=False))
        logs.bind(
            upstream=engine.entry.upstream, failures=engine.failures
        ).warning("engine's state is unsure: {}", detail)
        if engine.failures > 1:
            pause_s = FAILED_PAUSE_S * 2.0 ** (engine.failures - 2)
            await anyio.sleep(min(LONGEST_PAUSE_S, pause_s))

    def _deliver(self, answers: list[engine_orders.Answer]) -> None:
        for answer in answers:
            if isinstance(answer, engine_orders.Rejected):
                logs.bind(wish=answer.wish_id).info(
                    "load refused: {}", answer.reason
                )
            self._around.deliver(answer)

    def _tell(self, engine: _Engine) -> None:
        if engine.orders.is_sure:
            told = _describe(engine.orders, anyio.current_time())
            self._around.tell(told)


def _describe(
    orders: engine_orders.EngineOrders, now: float
) -> entry_messages.EngineNotice:
    return entry_messages.EngineNotice(
        upstream=orders.upstream,
        started_ms=orders.started_ms,
        orders=orders.orders,
        models=tuple(orders.adapters),
        adapters=tuple(
            entry_messages.AdapterState(
                model=model,
                adapter=adapter,
                version=held.version,
                ready_in_s=max(0.0, held.ready_at - now),
            )
            for model, adapters in orders.adapters.items()
            for adapter, held in adapters.items()
        ),
    )
