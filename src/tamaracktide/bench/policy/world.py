"""The modelled deployment that every policy drives alike."""

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
_MOST_ATTEMPTS = 3


class Policy(typing.Protocol):
    """What decides where requests run."""

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Takes a request, or a lost one again."""

    def stop_engine(self, engine: engines.Engine) -> None:
        """Learns that an engine has stopped; its requests were lost."""

    def start_engine(self, engine: engines.Engine) -> None:
        """Learns that an engine answers again, empty."""


class World:
    """Clock, engines, store and faults of one run.

    Attributes:
        workload: What happens.
        clock: Virtual time.
        engines: Engines by name.
        store: The weight store.
        records: The course of every measured and unmeasured request.
    """

    def __init__(self, workload_: workload.Workload) -> None:
        """Builds the deployment of a workload."""
        profile = workload_.profile
        self.workload = workload_
        self.clock = clock.Clock()
        self.store = stores.Store(self.clock, profile.full_speed_loads)
        made = [
            engines.Engine(self.clock, index, profile)
            for index in range(profile.engines)
        ]
        self.engines = {engine.name: engine for engine in made}
        self.records: list[measures.Record] = []
        self._by_index = made
        self._rng = random.Random(f"{workload_.seed} loads")
        self._policy: Policy | None = None

    def run(self, policy: Policy) -> None:
        """Runs the whole workload under a policy."""
        self._policy = policy
        for request in self.workload.requests:
            self._plan_arrival(request)
        for restart in self.workload.restarts:
            self._plan_restart(restart)
        self.clock.run(self.workload.profile.duration_s + _DRAIN_S)

    def _plan_arrival(self, request: workload.Request) -> None:
        def arrive() -> None:
            record = measures.Record(request, self.clock.now)
            self.records.append(record)
            self._submit(record, ())

        self.clock.schedule(request.arrival, arrive)

    def _submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        assert self._policy is not None
        record.submitted_at = self.clock.now
        self._policy.submit(record, avoid)

    def _plan_restart(self, restart: workload.Restart) -> None:
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
        """Loads an adapter into a slot, after unloading another one."""
        incarnation = engine.incarnation
        if evict:
            engine.remove_slot(evict)

        def end() -> None:
            if engine.incarnation != incarnation or not engine.up:
                return
            failed = self._find_load_failure(engine)
            if not failed:
                engine.add_slot(name, key)
            on_end(not failed)

        self.store.load(end)

    def _find_load_failure(self, engine: engines.Engine) -> bool:
        faulty = self.workload.faulty_loads
        within = faulty.start <= self.clock.now < faulty.end
        if within and faulty.engine == engine.index:
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
        """Submits a request again that was lost with its engine."""
        record.attempts += 1
        if record.attempts < _MOST_ATTEMPTS:
            self._submit(record, (engine.name,))

    def refuse(self, record: measures.Record) -> None:
        """Notes a request as refused unrun.

        Its wait counts as a stall if no engine had its adapter by then.
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
