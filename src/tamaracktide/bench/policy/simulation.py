"""Simulated deployment, the same for every policy."""

from collections.abc import Callable
import random
import typing

from tamaracktide.bench.policy import clock
from tamaracktide.bench.policy import engines
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import stores
from tamaracktide.bench.policy import workload
from tamaracktide.core import rows

_DRAIN_S = 120.0
_MAX_ATTEMPTS = 3


class Policy(typing.Protocol):
    """Decides where requests run."""

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Accepts a new request, or one to retry after its engine was lost."""

    def stop_engine(self, engine: engines.Engine) -> None:
        """Handles the stop of an engine, whose running requests were lost."""

    def start_engine(self, engine: engines.Engine) -> None:
        """Handles the restart of an engine, which has no adapters loaded."""


class Simulation:
    """The clock, engines, weight store and faults of one run.

    Attributes:
        workload: Requests and faults of the run.
        clock: Virtual clock.
        engines: Engines by name.
        store: The weight store.
        records: Records of all requests, including those of the warm-up.
    """

    def __init__(self, workload_: workload.Workload) -> None:
        """Creates the deployment of a workload."""
        profile = workload_.profile
        self.workload = workload_
        self.clock = clock.Clock()
        self.store = stores.Store(self.clock, profile.full_speed_loads)
        engine_list = [
            engines.Engine(self.clock, index, profile)
            for index in range(profile.engines)
        ]
        self.engines = {engine.name: engine for engine in engine_list}
        self.records: list[measures.Record] = []
        self._by_index = engine_list
        self._rng = random.Random(f"{workload_.seed} loads")
        self._policy: Policy | None = None

    def run(self, policy: Policy) -> None:
        """Runs the complete workload under a policy."""
        self._policy = policy
        for request in self.workload.requests:
            self._schedule_arrival(request)
        for restart in self.workload.restarts:
            self._schedule_restart(restart)
        self.clock.run(self.workload.profile.duration_s + _DRAIN_S)

    def _schedule_arrival(self, request: workload.Request) -> None:
        def arrive() -> None:
            record = measures.Record(request, self.clock.now)
            self.records.append(record)
            self._submit(record, ())

        self.clock.schedule(request.arrival, arrive)

    def _submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        assert self._policy is not None
        record.submitted_at = self.clock.now
        self._policy.submit(record, avoid)

    def _schedule_restart(self, restart: workload.Restart) -> None:
        engine = self._by_index[restart.engine]
        policy = self._policy
        assert policy is not None

        def stop() -> None:
            if engine.up:
                engine.stop()
                policy.stop_engine(engine)
                self.clock.schedule(self.clock.now + restart.down_s, start)

        def start() -> None:
            engine.up = True
            policy.start_engine(engine)

        self.clock.schedule(restart.at, stop)

    def load(
        self,
        engine: engines.Engine,
        name: str,
        key: rows.AdapterKey,
        evict: str,
        on_end: Callable[[bool], None],
    ) -> None:
        """Loads an adapter into a slot, after evicting `evict` if not empty."""
        incarnation = engine.incarnation
        if evict:
            engine.remove_slot(evict)

        def end() -> None:
            if engine.incarnation != incarnation or not engine.up:
                return
            failed = self._draw_load_failure(engine)
            if not failed:
                engine.add_slot(name, key)
            on_end(not failed)

        self.store.load(end)

    def _draw_load_failure(self, engine: engines.Engine) -> bool:
        faulty = self.workload.faulty_loads
        in_faulty_period = faulty.start <= self.clock.now < faulty.end
        if in_faulty_period and faulty.engine == engine.index:
            return True
        return self._rng.random() < self.workload.profile.load_failure_rate

    def start(
        self,
        engine: engines.Engine,
        record: measures.Record,
        slot: str,
        on_end: Callable[[bool], None],
    ) -> None:
        """Starts a request on an engine that has its adapter loaded."""
        now, submitted_at = self.clock.now, record.submitted_at
        record.wait_s += now - submitted_at
        loaded_at = engine.slots[slot].loaded_at
        record.stall_s += max(0.0, loaded_at - submitted_at)

        def end(completed: bool) -> None:
            if completed:
                record.completed_at = self.clock.now
            on_end(completed)
            if not completed:
                self.retry(record, engine)

        engine.start(record.request, slot, end)

    def retry(self, record: measures.Record, engine: engines.Engine) -> None:
        """Resubmits a request that was lost with its engine."""
        record.attempts += 1
        if record.attempts < _MAX_ATTEMPTS:
            self._submit(record, (engine.name,))

    def refuse(self, record: measures.Record) -> None:
        """Records a request as refused before it ran.

        Its wait counts as a load stall if no engine has its adapter loaded at
        that time.
        """
        record.refused = True
        waited_s = self.clock.now - record.submitted_at
        record.wait_s += waited_s
        loaded = any(
            slot.key == record.request.key
            for engine in self.engines.values()
            for slot in engine.slots.values()
        )
        if not loaded:
            record.stall_s += waited_s
