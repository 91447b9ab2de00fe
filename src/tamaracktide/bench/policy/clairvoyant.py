"""Reference bound: one queue for all engines that knows future requests."""

import bisect
import collections

from tamaracktide.bench.policy import engines
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import simulation
from tamaracktide.bench.policy import workload
from tamaracktide.core import rows

_RETRY_LOAD_S = 0.25


class ClairvoyantPolicy:
    """Loads on demand and evicts the adapter with the latest next use (Belady).

    The policy reads the state of all zones' engines without delay and serves
    the small customers first. No request blocks another one.
    """

    def __init__(self, simulation_: simulation.Simulation) -> None:
        """Reads the arrival times of all requests from the workload."""
        self._simulation = simulation_
        self._waiting: dict[
            rows.AdapterKey, collections.deque[measures.Record]
        ] = {}
        self._loading: dict[rows.AdapterKey, str] = {}
        self._arrivals: dict[rows.AdapterKey, list[float]] = (
            collections.defaultdict(list)
        )
        for request in simulation_.workload.requests:
            self._arrivals[request.key].append(request.arrival)

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Queues a request."""
        key = record.request.key
        self._waiting.setdefault(key, collections.deque()).append(record)
        clock = self._simulation.clock
        clock.schedule(record.request.deadline, lambda: self._expire(record))
        self._serve()

    def stop_engine(self, engine: engines.Engine) -> None:
        """Discards the loads in flight on a stopped engine."""
        self._loading = {
            key: name
            for key, name in self._loading.items()
            if name != engine.name
        }
        self._serve()

    def start_engine(self, engine: engines.Engine) -> None:
        """Serves waiting requests on the started engine."""
        self._serve()

    def _expire(self, record: measures.Record) -> None:
        if record in self._waiting.get(record.request.key, ()):
            self._remove(record)
            self._simulation.refuse(record)

    def _remove(self, record: measures.Record) -> None:
        key = record.request.key
        self._waiting[key].remove(record)
        if not self._waiting[key]:
            del self._waiting[key]

    def _serve(self) -> None:
        """Serves waiting requests, small customers first, by deadline."""
        if not self._list_available():
            return
        first_records = [group[0] for group in self._waiting.values()]
        first_records.sort(
            key=lambda record: (
                record.request.customer == workload.LARGE_CUSTOMER,
                record.request.deadline,
            )
        )
        for record in first_records:
            key = record.request.key
            while key in self._waiting:
                if not self._start(self._waiting[key][0]):
                    self._load(key)
                    break

    def _list_available(self) -> list[engines.Engine]:
        return [
            engine
            for engine in self._simulation.engines.values()
            if engine.up and len(engine.jobs) < engine.profile.batch_limit
        ]

    def _start(self, record: measures.Record) -> bool:
        name = record.request.key.text
        candidates = [
            engine for engine in self._list_available() if name in engine.slots
        ]
        if not candidates:
            return False
        engine = max(candidates, key=lambda engine: len(engine.jobs))
        self._remove(record)

        def end(completed: bool) -> None:
            if completed:
                self._serve()

        self._simulation.start(engine, record, name, end)
        return True

    def _load(self, key: rows.AdapterKey) -> None:
        if key in self._loading:
            return
        placement = self._choose_placement()
        if placement is None:
            return
        engine, evict = placement
        incarnation = engine.incarnation
        self._loading[key] = engine.name

        def end(succeeded: bool) -> None:
            if succeeded:
                self._loading.pop(key, None)
                self._serve()
                return
            at = self._simulation.clock.now + _RETRY_LOAD_S
            self._simulation.clock.schedule(at, retry)

        def retry() -> None:
            if engine.incarnation != incarnation:
                return
            self._loading.pop(key, None)
            self._serve()

        self._simulation.load(engine, key.text, key, evict, end)

    def _choose_placement(self) -> tuple[engines.Engine, str] | None:
        best: tuple[float, int, engines.Engine, str] | None = None
        for engine in self._list_available():
            occupied = len(engine.slots) + self._count_loading(engine)
            if occupied < engine.profile.slots:
                candidate = (float("inf"), len(engine.jobs), engine, "")
            else:
                candidate = self._find_victim(engine)
            if best is None or candidate[:2] > best[:2]:
                best = candidate
        if best is None or best[0] < 0:
            return None
        return best[2], best[3]

    def _count_loading(self, engine: engines.Engine) -> int:
        return sum(name == engine.name for name in self._loading.values())

    def _find_victim(
        self, engine: engines.Engine
    ) -> tuple[float, int, engines.Engine, str]:
        busy = {job.slot for job in engine.jobs}
        busy.update(key.text for key in self._waiting)
        idle = [
            (self._find_next_use(slot.key), name)
            for name, slot in engine.slots.items()
            if name not in busy
        ]
        next_use, name = max(idle, default=(-1.0, ""))
        return next_use, len(engine.jobs), engine, name

    def _find_next_use(self, key: rows.AdapterKey) -> float:
        arrivals = self._arrivals[key]
        index = bisect.bisect_right(arrivals, self._simulation.clock.now)
        return arrivals[index] if index < len(arrivals) else 1e9
