"""Feeds random events to a cell and checks its actions against a model."""

from collections.abc import Callable
import dataclasses
import random

from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import rows

ENGINES = 4
ADAPTERS = 24
CUSTOMERS = 6
SLOTS = 3
BATCH_LIMIT = 4
MAX_WAIT_S = 5.0
_TICK_DELAY_S = 0.2


@dataclasses.dataclass(slots=True)
class _Engine:
    """The actual state of a simulated engine."""

    name: str
    incarnation: int = 1
    up: bool = False
    leaving: bool = False
    suspended: bool = False
    loaded: dict[str, rows.AdapterKey] = dataclasses.field(default_factory=dict)
    running: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Counts of a random run.

    Attributes:
        steps: Random operations.
        granted: Grants issued.
        refused: Requests refused.
        loads: Load orders issued.
    """

    steps: int
    granted: int
    refused: int
    loads: int


class RandomCell:
    """Feeds seeded random events to a cell and simulates its engines.

    Every action is checked against the actual state of the engines. An invalid
    action or a violated invariant of the cell raises `AssertionError`.
    """

    def __init__(self, seed: int) -> None:
        """Creates a cell whose engines are all down."""
        self.now = 0.0
        self._rng = random.Random(seed)
        settings = cell_settings.CellSettings(
            max_queue_s=MAX_WAIT_S,
            max_waiting=40,
            batch_weight=self._rng.choice([1.0, 4.0]),
        )
        self.cell = cell.Cell(settings, random.Random(seed + 1))
        self._engines = [_Engine(f"e{n}") for n in range(ENGINES)]
        self._by_name = {engine.name: engine for engine in self._engines}
        self._waiting: dict[str, tuple[cell_events.Submit, float]] = {}
        self._grants: dict[str, cell_actions.Grant] = {}
        self._loads: dict[str, cell_actions.Load] = {}
        self._wake_at: float | None = None
        self._max_in_flight = settings.loads_in_flight
        self._request_count = 0
        self._granted = self._refused = self._load_orders = 0
        self._operations: list[tuple[Callable[[], None], int]] = [
            (self.submit, 30),
            (self.end_grant, 24),
            (self.end_load, 24),
            (self.advance, 30),
            (self.start_engine, 3),
            (self.restart_engine, 1),
            (self.lose_engine, 1),
            (self.drain_engine, 2),
            (self.read_engine, 2),
            (self.suspend_evictions, 2),
            (self.report_load, 4),
            (self.report_prefix, 3),
            (self.withdraw, 3),
            (self.change_store_share, 1),
        ]

    def run(self, steps: int) -> Summary:
        """Runs `steps` random operations."""
        operations = [operation for operation, _ in self._operations]
        weights = [weight for _, weight in self._operations]
        for _ in range(steps):
            (operation,) = self._rng.choices(operations, weights)
            operation()
        return Summary(steps, self._granted, self._refused, self._load_orders)

    def submit(self) -> None:
        """Submits a grant request, sometimes followed by a duplicate."""
        self._request_count += 1
        rng = self._rng
        customer = min(rng.randrange(CUSTOMERS), rng.randrange(CUSTOMERS))
        number = rng.randrange(ADAPTERS // CUSTOMERS) * CUSTOMERS + customer
        event = cell_events.Submit(
            request_id=f"r{self._request_count}",
            customer=f"c{customer}",
            key=rows.AdapterKey(f"a{number}", "1"),
            weight=rng.choice([1.0, 1.0, 2.0]),
            prompt_tokens=rng.randrange(500),
            max_tokens=rng.randrange(1, 100),
            deadline=self.now + rng.uniform(0.5, 20.0),
            prefix=f"p{number}",
            avoid=("e0",) if rng.random() < 0.1 else (),
            alone=rng.random() < 0.03,
        )
        self._waiting[event.request_id] = event, self.now
        self._feed(event)
        if rng.random() < 0.05 and event.request_id in self._waiting:
            self._feed(event)

    def end_grant(self) -> None:
        """Ends a running request; its adapter is sometimes missing."""
        if not self._grants:
            return
        grant = self._grants.pop(self._rng.choice(list(self._grants)))
        engine = self._by_name[grant.upstream]
        engine.running.pop(grant.grant_id, None)
        missing = self._rng.random() < 0.02
        if missing and grant.lora_name not in engine.running.values():
            engine.loaded.pop(grant.lora_name, None)
        self._feed(
            cell_events.GrantEnded(
                grant_id=grant.grant_id,
                prompt_tokens=self._rng.randrange(500),
                generated_tokens=self._rng.randrange(100),
                adapter_missing=missing,
            )
        )

    def end_load(self) -> None:
        """Ends a load order, sometimes with a failure."""
        if not self._loads:
            return
        load = self._loads.pop(self._rng.choice(list(self._loads)))
        succeeded = self._rng.random() < 0.85
        engine = self._by_name[load.upstream]
        if str(engine.incarnation) != load.incarnation or not engine.up:
            return
        if succeeded:
            engine.loaded[load.lora_name] = load.key
            assert len(engine.loaded) <= SLOTS, engine
        self._feed(cell_events.LoadEnded(load.load_id, succeeded))

    def advance(self) -> None:
        """Advances time and fires due timers, some of them late."""
        until = self.now + self._rng.expovariate(10.0)
        while self._wake_at is not None and self._wake_at <= until:
            late_s = self._rng.choice([0.0, 0.0, _TICK_DELAY_S])
            self.now = max(self.now, self._wake_at + late_s)
            self._wake_at = None
            self._feed(cell_events.Tick())
        self.now = max(self.now, until)

    def _choose_engine(self) -> _Engine:
        return self._rng.choice(self._engines)

    def start_engine(self) -> None:
        """Starts a stopped engine with no adapters loaded."""
        down = [engine for engine in self._engines if not engine.up]
        if not down:
            return
        engine = self._rng.choice(down)
        engine.up = True
        engine.leaving = engine.suspended = False
        self._feed(self._make_snapshot(engine))

    def _make_snapshot(self, engine: _Engine) -> cell_events.UpstreamSnapshot:
        running = list(engine.running.values())
        return cell_events.UpstreamSnapshot(
            upstream=engine.name,
            incarnation=str(engine.incarnation),
            slots=SLOTS,
            batch_limit=BATCH_LIMIT,
            loaded=tuple(
                cell_events.LoadedAdapter(name, key, running.count(name))
                for name, key in engine.loaded.items()
            ),
            running=len(running),
        )

    def _reset_engine(self, engine: _Engine) -> None:
        engine.incarnation += 1
        engine.loaded.clear()
        engine.running.clear()
        self._grants = {
            grant_id: grant
            for grant_id, grant in self._grants.items()
            if grant.upstream != engine.name
        }

    def restart_engine(self) -> None:
        """Restarts an engine without reporting it as lost first."""
        engine = self._choose_engine()
        if engine.up:
            self._reset_engine(engine)
            engine.leaving = engine.suspended = False
            self._feed(self._make_snapshot(engine))

    def lose_engine(self) -> None:
        """Stops an engine and reports it as lost."""
        engine = self._choose_engine()
        if engine.up:
            self._reset_engine(engine)
            engine.up = False
            self._feed(cell_events.UpstreamLost(engine.name))

    def drain_engine(self) -> None:
        """Drains an engine or cancels its drain."""
        engine = self._choose_engine()
        engine.leaving = engine.up and not engine.leaving
        self._feed(cell_events.UpstreamLeaving(engine.name, engine.leaving))

    def read_engine(self) -> None:
        """Polls the state of an engine again."""
        engine = self._choose_engine()
        if engine.up:
            self._feed(self._make_snapshot(engine))

    def suspend_evictions(self) -> None:
        """Suspends or resumes the evictions of an engine."""
        engine = self._choose_engine()
        engine.suspended = engine.up and not engine.suspended
        self._feed(
            cell_events.EvictionsSuspended(engine.name, engine.suspended)
        )

    def report_load(self) -> None:
        """Delivers a load report that is up to a second old."""
        engine = self._choose_engine()
        self._feed(
            cell_events.LoadReported(
                upstream=engine.name,
                running=self._rng.randrange(BATCH_LIMIT + 1),
                waiting=0,
                reported_at=self.now - self._rng.random(),
            )
        )

    def report_prefix(self) -> None:
        """Delivers a prefix cache event."""
        self._feed(
            cell_events.PrefixReported(
                self._choose_engine().name,
                f"p{self._rng.randrange(ADAPTERS)}",
                self._rng.random() < 0.7,
            )
        )

    def withdraw(self) -> None:
        """Withdraws a waiting request, as when its client disconnects."""
        if self._waiting:
            request_id = self._rng.choice(list(self._waiting))
            del self._waiting[request_id]
            self._feed(cell_events.Withdraw(request_id))

    def change_store_share(self) -> None:
        """Changes the cell's share of the weight store."""
        self._max_in_flight = self._rng.uniform(0.5, 6.0)
        self._feed(
            cell_events.StoreShareChanged(
                self._max_in_flight * 4, self._max_in_flight
            )
        )

    def _feed(self, event: cell_events.CellEvent) -> None:
        for action in self.cell.handle(event, self.now):
            match action:
                case cell_actions.Grant():
                    self._apply_grant(action)
                case cell_actions.Load():
                    self._apply_load(action)
                case cell_actions.Refuse():
                    self._refused += 1
                    assert action.request_id in self._waiting, action
                    assert action.retry_after_s > 0, action
                    del self._waiting[action.request_id]
                case cell_actions.WakeAt():
                    self._wake_at = action.at
        for submit, submitted_at in self._waiting.values():
            assert self.now < submit.deadline, submit
            assert self.now < submitted_at + MAX_WAIT_S, submit

    def _apply_grant(self, grant: cell_actions.Grant) -> None:
        self._granted += 1
        submit, _ = self._waiting.pop(grant.request_id)
        engine = self._by_name[grant.upstream]
        assert engine.up, grant
        assert not engine.leaving, grant
        assert str(engine.incarnation) == grant.incarnation, grant
        assert engine.loaded[grant.lora_name] == submit.key, grant
        assert len(engine.running) < BATCH_LIMIT, grant
        assert not (submit.alone and engine.running), grant
        engine.running[grant.grant_id] = grant.lora_name
        self._grants[grant.grant_id] = grant

    def _apply_load(self, load: cell_actions.Load) -> None:
        self._load_orders += 1
        engine = self._by_name[load.upstream]
        assert not engine.leaving, load
        if load.evict:
            assert not engine.suspended, load
            assert load.evict not in engine.running.values(), load
            engine.loaded.pop(load.evict, None)
        self._loads[load.load_id] = load
