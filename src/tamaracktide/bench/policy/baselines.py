"""Baseline policies: per-engine queues with LRU eviction of adapters."""

import collections
from collections.abc import Callable
import dataclasses
import itertools

from tamaracktide.bench.policy import engines
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import simulation

_RETRY_LOAD_S = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class _Queue:
    """The request queue of one engine and the policy's state of its slots.

    Attributes:
        engine: The engine.
        waiting: Queued requests by adapter name, in order of arrival.
        loading: Names of the adapters that are loading.
        used_at: Time at which each adapter was last loaded or used.
    """

    engine: engines.Engine
    waiting: dict[str, collections.deque[measures.Record]] = dataclasses.field(
        default_factory=dict
    )
    loading: set[str] = dataclasses.field(default_factory=set)
    used_at: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def length(self) -> int:
        """Number of waiting and running requests."""
        waiting = sum(len(group) for group in self.waiting.values())
        return waiting + len(self.engine.jobs)

    def add(self, record: measures.Record) -> None:
        """Appends a request to the queue of its adapter."""
        name = record.request.key.text
        self.waiting.setdefault(name, collections.deque()).append(record)

    def remove(self, record: measures.Record) -> bool:
        """Removes a request; returns whether it was queued."""
        name = record.request.key.text
        group = self.waiting.get(name)
        if group is None or record not in group:
            return False
        group.remove(record)
        if not group:
            del self.waiting[name]
        return True

    def find_first_ready(self) -> measures.Record | None:
        """Returns the oldest queued request whose adapter is loaded."""
        ready = [
            group[0]
            for name, group in self.waiting.items()
            if name in self.engine.slots
        ]
        return min(ready, key=lambda record: record.submitted_at, default=None)


QueueSelector = Callable[[list[_Queue]], _Queue]


class LruPolicy:
    """Assigns requests to engines on arrival; engines serve queues in order.

    A request that waits for its adapter does not block the requests behind it.
    All requests of a queue share one load per adapter, and an adapter that a
    queued request needs is not evicted.
    """

    def __init__(
        self, simulation_: simulation.Simulation, select_queue: QueueSelector
    ) -> None:
        """Initializes the policy with a function that selects a queue."""
        self._simulation = simulation_
        self._select_queue = select_queue
        self._queues = {
            name: _Queue(engine) for name, engine in simulation_.engines.items()
        }

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Queues a request at the selected engine."""
        queues = [
            queue
            for name, queue in self._queues.items()
            if queue.engine.up and name not in avoid
        ]
        if not queues:
            self._simulation.refuse(record)
            return
        queue = self._select_queue(queues)
        queue.add(record)
        clock = self._simulation.clock
        clock.schedule(
            record.request.deadline, lambda: self._expire(queue, record)
        )
        self._serve(queue)

    def stop_engine(self, engine: engines.Engine) -> None:
        """Resubmits the queue of a stopped engine to other engines."""
        queue = self._queues[engine.name]
        groups, queue.waiting = list(queue.waiting.values()), {}
        queue.loading.clear()
        queue.used_at.clear()
        for record in itertools.chain.from_iterable(groups):
            self.submit(record, (engine.name,))

    def start_engine(self, engine: engines.Engine) -> None:
        """Does nothing: `submit` selects among the engines that are up."""

    def _expire(self, queue: _Queue, record: measures.Record) -> None:
        for candidate in self._queues.values():
            if candidate.remove(record):
                self._simulation.refuse(record)

    def _serve(self, queue: _Queue) -> None:
        engine = queue.engine
        if not engine.up:
            return
        while len(engine.jobs) < engine.profile.batch_limit:
            record = queue.find_first_ready()
            if record is None:
                break
            self._start(queue, record)
        first_records = [group[0] for group in queue.waiting.values()]
        for record in sorted(
            first_records, key=lambda record: record.submitted_at
        ):
            name = record.request.key.text
            if name not in engine.slots and name not in queue.loading:
                self._load(queue, record)

    def _start(self, queue: _Queue, record: measures.Record) -> None:
        name = record.request.key.text
        queue.remove(record)
        queue.used_at[name] = self._simulation.clock.now

        def end(completed: bool) -> None:
            if completed:
                self._serve(queue)

        self._simulation.start(queue.engine, record, name, end)

    def _load(self, queue: _Queue, record: measures.Record) -> None:
        engine, key = queue.engine, record.request.key
        name, evict, incarnation = key.text, "", engine.incarnation
        if len(engine.slots) + len(queue.loading) >= engine.profile.slots:
            victim = self._find_victim(queue)
            if victim is None:
                return
            evict = victim

        def end(succeeded: bool) -> None:
            if succeeded:
                queue.loading.discard(name)
                queue.used_at[name] = self._simulation.clock.now
                self._serve(queue)
                return
            at = self._simulation.clock.now + _RETRY_LOAD_S
            self._simulation.clock.schedule(at, retry)

        def retry() -> None:
            if engine.incarnation != incarnation:
                return
            queue.loading.discard(name)
            self._redirect(queue, name)
            self._serve(queue)

        queue.loading.add(name)
        self._simulation.load(engine, name, key, evict, end)

    def _redirect(self, queue: _Queue, name: str) -> None:
        """Resubmits requests to another engine after a failed load."""
        for record in queue.waiting.pop(name, ()):
            self.submit(record, (queue.engine.name,))

    def _find_victim(self, queue: _Queue) -> str | None:
        busy = {job.slot for job in queue.engine.jobs}
        busy.update(queue.waiting)
        idle = [name for name in queue.engine.slots if name not in busy]
        return min(
            idle, key=lambda name: queue.used_at.get(name, 0.0), default=None
        )


def make_round_robin(simulation_: simulation.Simulation) -> LruPolicy:
    """Returns a policy that assigns requests to the engines in turn."""
    next_index = 0

    def select_queue(queues: list[_Queue]) -> _Queue:
        nonlocal next_index
        next_index += 1
        return queues[next_index % len(queues)]

    return LruPolicy(simulation_, select_queue)


def make_least_loaded(simulation_: simulation.Simulation) -> LruPolicy:
    """Returns a policy that selects the engine with the fewest requests."""

    def select_queue(queues: list[_Queue]) -> _Queue:
        return min(queues, key=lambda queue: queue.length)

    return LruPolicy(simulation_, select_queue)
