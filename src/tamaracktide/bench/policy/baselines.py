"""Usual policies: a queue at each engine and least-recently-used slots."""

import collections
from collections.abc import Callable
import dataclasses
import itertools

from tamaracktide.bench.policy import engines
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import world

_RETRY_LOAD_S = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class _Queue:
    """The requests and slots of one engine, as the policy sees them.

    Attributes:
        engine: The engine.
        waiting: Requests by adapter, each in the order of arrival.
        loading: Names of adapters whose loads are under way.
        used_at: When each loaded adapter was last asked for.
    """

    engine: engines.Engine
    waiting: dict[str, collections.deque[measures.Record]] = dataclasses.field(
        default_factory=dict
    )
    loading: set[str] = dataclasses.field(default_factory=set)
    used_at: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def length(self) -> int:
        """Requests that wait or run."""
        waiting = sum(len(group) for group in self.waiting.values())
        return waiting + len(self.engine.jobs)

    def add(self, record: measures.Record) -> None:
        """Appends a request."""
        name = record.request.key.text
        self.waiting.setdefault(name, collections.deque()).append(record)

    def remove(self, record: measures.Record) -> bool:
        """Takes a request out; returns whether it was there."""
        name = record.request.key.text
        group = self.waiting.get(name)
        if group is None or record not in group:
            return False
        group.remove(record)
        if not group:
            del self.waiting[name]
        return True

    def find_first(self) -> measures.Record | None:
        """Returns the first request whose adapter is loaded."""
        ready = [
            group[0]
            for name, group in self.waiting.items()
            if name in self.engine.slots
        ]
        return min(ready, key=lambda record: record.submitted_at, default=None)


Choose = Callable[[list[_Queue]], _Queue]


class LruPolicy:
    """Dispatches on arrival; engines serve their queues first come.

    A request whose adapter is still to be loaded does not hold up those
    behind it, loads are shared by all requests in a queue, and an adapter
    that a queued request needs is not evicted.
    """

    def __init__(self, world_: world.World, choose: Choose) -> None:
        """Builds the policy from its choice of a queue."""
        self._world = world_
        self._choose = choose
        self._queues = {
            name: _Queue(engine) for name, engine in world_.engines.items()
        }

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Queues a request at the chosen engine."""
        queues = [
            queue
            for name, queue in self._queues.items()
            if queue.engine.up and name not in avoid
        ]
        if not queues:
            self._world.refuse(record)
            return
        queue = self._choose(queues)
        queue.add(record)
        clock = self._world.clock
        clock.schedule(
            record.request.deadline, lambda: self._drop(queue, record)
        )
        self._serve(queue)

    def stop_engine(self, engine: engines.Engine) -> None:
        """Dispatches the queue of a stopped engine anew."""
        queue = self._queues[engine.name]
        groups, queue.waiting = list(queue.waiting.values()), {}
        queue.loading.clear()
        queue.used_at.clear()
        for record in itertools.chain.from_iterable(groups):
            self.submit(record, (engine.name,))

    def start_engine(self, engine: engines.Engine) -> None:
        """The engine is chosen again from now on."""

    def _drop(self, queue: _Queue, record: measures.Record) -> None:
        for each in self._queues.values():
            if each.remove(record):
                self._world.refuse(record)

    def _serve(self, queue: _Queue) -> None:
        engine = queue.engine
        if not engine.up:
            return
        while len(engine.jobs) < engine.profile.batch_limit:
            record = queue.find_first()
            if record is None:
                break
            self._start(queue, record)
        heads = [group[0] for group in queue.waiting.values()]
        for record in sorted(heads, key=lambda head: head.submitted_at):
            name = record.request.key.text
            if name not in engine.slots and name not in queue.loading:
                self._load(queue, record)

    def _start(self, queue: _Queue, record: measures.Record) -> None:
        name = record.request.key.text
        queue.remove(record)
        queue.used_at[name] = self._world.clock.now

        def end(completed: bool) -> None:
            if completed:
                self._serve(queue)

        self._world.start(queue.engine, record, name, end)

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
                queue.used_at[name] = self._world.clock.now
                self._serve(queue)
                return
            at = self._world.clock.now + _RETRY_LOAD_S
            self._world.clock.schedule(at, retry)

        def retry() -> None:
            if engine.incarnation != incarnation:
                return
            queue.loading.discard(name)
            self._redirect(queue, name)
            self._serve(queue)

        queue.loading.add(name)
        self._world.load(engine, name, key, evict, end)

    def _redirect(self, queue: _Queue, name: str) -> None:
        """Sends requests whose load failed to another engine."""
        for record in queue.waiting.pop(name, ()):
            self.submit(record, (queue.engine.name,))

    def _find_victim(self, queue: _Queue) -> str | None:
        busy = {job.slot for job in queue.engine.jobs}
        busy.update(queue.waiting)
        idle = [name for name in queue.engine.slots if name not in busy]
        return min(
            idle, key=lambda name: queue.used_at.get(name, 0.0), default=None
        )


def make_round_robin(world_: world.World) -> LruPolicy:
    """Returns the policy that takes the engines in turn."""
    turn = 0

    def choose(queues: list[_Queue]) -> _Queue:
        nonlocal turn
        turn += 1
        return queues[turn % len(queues)]

    return LruPolicy(world_, choose)


def make_least_loaded(world_: world.World) -> LruPolicy:
    """Returns the policy that takes the engine with the fewest requests."""

    def choose(queues: list[_Queue]) -> _Queue:
        return min(queues, key=lambda queue: queue.length)

    return LruPolicy(world_, choose)
