"""Hypothesis state machine of a cell whose events need not fit together.

Instances hear of engines, loads and requests of others late and in any order,
so any event may follow any other one.
"""

import random

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import rows

ENGINES = ("e0", "e1")
ADAPTERS = ("m/a0", "m/a1", "m/a2")
SLOTS = 2
BATCH_LIMIT = 4

engines = strategies.sampled_from(ENGINES)
adapters = strategies.sampled_from(ADAPTERS)
counts = strategies.integers(0, 2)
indexes = strategies.integers(0, 100)
reports = strategies.dictionaries(
    adapters, strategies.tuples(counts, strategies.booleans()), max_size=SLOTS
)
snapshots = strategies.builds(
    lambda engine, incarnation, report, unknown: cell_events.UpstreamSnapshot(
        upstream=engine,
        incarnation=str(incarnation),
        slots=SLOTS,
        batch_limit=BATCH_LIMIT,
        loaded=tuple(
            cell_events.LoadedAdapter(
                f"{name}@", rows.AdapterKey(name, ""), running, ready
            )
            for name, (running, ready) in report.items()
        ),
        running=unknown + sum(running for running, _ in report.values()),
    ),
    engines,
    strategies.sampled_from((1, 1, 1, 2)),
    reports,
    counts,
)
remote_counts = strategies.builds(
    lambda engine, adapter, count: cell_events.RemoteCountsChanged(
        (cell_events.RemoteCount(engine, adapter, count),)
    ),
    engines,
    adapters,
    counts,
)
other_events = strategies.one_of(
    remote_counts,
    strategies.builds(cell_events.UpstreamLost, engines),
    strategies.builds(
        lambda engine, adapter: cell_events.AdaptersReady(
            engine, (f"{adapter}@",)
        ),
        engines,
        adapters,
    ),
    strategies.builds(
        cell_events.UpstreamLeaving,
        engines,
        strategies.booleans(),
        strategies.booleans(),
    ),
    strategies.builds(
        cell_events.EvictionsSuspended, engines, strategies.booleans()
    ),
    strategies.builds(
        cell_events.LoadReported,
        upstream=engines,
        running=counts,
        waiting=counts,
        reported_at=strategies.just(1e9),
    ),
    strategies.builds(
        cell_events.DemandReported,
        strategies.builds(rows.AdapterKey, adapters, strategies.just("")),
        adapters,
        strategies.integers(1, 8),
    ),
    strategies.builds(
        cell_events.SendLimitChanged,
        engines,
        strategies.sampled_from((None, 0.0, 40.0)),
    ),
    strategies.builds(
        cell_events.BrittleChanged,
        engines,
        strategies.sampled_from((None, 0.0, 4.0)),
    ),
    strategies.builds(cell_events.UpstreamOverloaded, engines, counts),
    strategies.builds(cell_events.RampStarted, engines, counts, counts),
    strategies.builds(
        cell_events.AnswerObserved, engines, strategies.booleans()
    ),
    strategies.builds(
        cell_events.StoreShareChanged, counts, strategies.floats(0.0, 4.0)
    ),
)


class CellStateMachine(stateful.RuleBasedStateMachine):
    """Feeds any events to a cell and checks its state after each."""

    @stateful.initialize(
        seed=strategies.integers(0, 1000),
        is_shared=strategies.booleans(),
    )
    def start(self, seed: int, is_shared: bool) -> None:
        """Creates a cell that is shared between instances, or owned by one."""
        self.now = 0.0
        self.requests = 0
        self.waiting: set[str] = set()
        self.grants: list[cell_actions.Grant] = []
        self.loads: list[cell_actions.Load] = []
        self.cell = cell.Cell(
            cell_settings.CellSettings(
                named_by_key=is_shared,
                spread=is_shared,
                rate_per_replica=float(is_shared),
                loads_per_s=100.0,
                max_queue_s=10.0,
            ),
            random.Random(seed),
        )
        for name in ENGINES:
            self.feed(
                cell_events.UpstreamSnapshot(
                    upstream=name,
                    incarnation="1",
                    slots=SLOTS,
                    batch_limit=BATCH_LIMIT,
                    loaded=tuple(
                        cell_events.LoadedAdapter(
                            f"{adapter}@", rows.AdapterKey(adapter, "")
                        )
                        for adapter in ADAPTERS[:SLOTS]
                    ),
                )
            )

    def feed(self, event: cell_events.CellEvent) -> None:
        """Handles an event; each request gets one result."""
        for action in self.cell.handle(event, self.now):
            match action:
                case cell_actions.Grant(request_id=request_id):
                    assert request_id in self.waiting, action
                    self.waiting.remove(request_id)
                    self.grants.append(action)
                case cell_actions.Refuse(request_id=request_id):
                    assert request_id in self.waiting, action
                    self.waiting.remove(request_id)
                case cell_actions.Load():
                    self.loads.append(action)

    @stateful.rule(
        adapter=adapters,
        count=strategies.integers(1, 4),
        avoid=strategies.sampled_from(((), (), ("e0",))),
    )
    def submit(self, adapter: str, count: int, avoid: tuple[str, ...]) -> None:
        """Requests for an adapter arrive."""
        for _ in range(count):
            self.submit_one(adapter, avoid)

    @stateful.rule(adapter=adapters)
    def submit_alone(self, adapter: str) -> None:
        """A request arrives that must run alone."""
        self.submit_one(adapter, (), is_alone=True)

    def submit_one(
        self, adapter: str, avoid: tuple[str, ...], *, is_alone: bool = False
    ) -> None:
        """Submits a request."""
        self.requests += 1
        request_id = f"r{self.requests}"
        self.waiting.add(request_id)
        self.feed(
            cell_events.Submit(
                request_id=request_id,
                customer=adapter,
                key=rows.AdapterKey(adapter, ""),
                avoid=avoid,
                alone=is_alone,
            )
        )

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(index=indexes)
    def end_grant(self, index: int) -> None:
        """A request ends."""
        self.release(index, is_missing=False)

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(index=indexes)
    def turn_away(self, index: int) -> None:
        """An engine turns a request away."""
        self.release(index, is_missing=True)

    def release(self, index: int, *, is_missing: bool) -> None:
        """Releases a grant."""
        grant = self.grants.pop(index % len(self.grants))
        self.feed(
            cell_events.GrantEnded(
                grant_id=grant.grant_id,
                generated_tokens=0 if is_missing else 10,
                adapter_missing=is_missing,
            )
        )

    @stateful.precondition(lambda self: self.loads)
    @stateful.rule(
        index=indexes,
        has_succeeded=strategies.booleans(),
        is_declined=strategies.booleans(),
    )
    def end_load(
        self, index: int, has_succeeded: bool, is_declined: bool
    ) -> None:
        """A load ends, succeeds or not."""
        load = self.loads.pop(index % len(self.loads))
        self.feed(
            cell_events.LoadEnded(load.load_id, has_succeeded, is_declined)
        )

    @stateful.rule(event=snapshots)
    def read_engine(self, event: cell_events.CellEvent) -> None:
        """An engine is polled, after a restart or not."""
        self.feed(event)

    @stateful.rule(event=remote_counts)
    def count_remote(self, event: cell_events.CellEvent) -> None:
        """Another instance starts or ends requests."""
        self.feed(event)

    @stateful.rule(event=other_events)
    def apply_other(self, event: cell_events.CellEvent) -> None:
        """Something else becomes known."""
        self.feed(event)

    @stateful.rule(events=strategies.lists(other_events | snapshots))
    def apply_batch(self, events: list[cell_events.CellEvent]) -> None:
        """Several events are applied at once."""
        self.feed(cell_events.EventBatch(tuple(events)))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(index=indexes)
    def withdraw(self, index: int) -> None:
        """A client disconnects while its request waits."""
        request_id = sorted(self.waiting)[index % len(self.waiting)]
        self.waiting.remove(request_id)
        self.feed(cell_events.Withdraw(request_id))

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(index=indexes)
    def withdraw_granted(self, index: int) -> None:
        """A client disconnects while the grant is on its way."""
        grant = self.grants.pop(index % len(self.grants))
        self.feed(cell_events.Withdraw(grant.request_id))

    @stateful.rule(engine=engines, adapter=adapters)
    def adopt_grant(self, engine: str, adapter: str) -> None:
        """A request of an earlier owner becomes known."""
        self.requests += 1
        self.feed(
            cell_events.GrantAdopted(
                request_id=f"r{self.requests}",
                grant_id=f"adopted{self.requests}",
                upstream=engine,
                lora_name=f"{adapter}@",
                customer=adapter,
            )
        )

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.3, 2.0)))
    def advance(self, seconds: float) -> None:
        """Time passes, and a timer fires."""
        self.now += seconds
        self.feed(cell_events.Tick())

    @stateful.invariant()
    def check_state(self) -> None:
        """Every count and reference in the cell's state is right."""
        if hasattr(self, "cell"):
            self.cell.check_state()


CellStateMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestCellStateMachine = CellStateMachine.TestCase
