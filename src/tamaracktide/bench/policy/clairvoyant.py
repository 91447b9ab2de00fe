"""A bound: one queue over all engines that knows every later request."""

import bisect
import collections

from tamaracktide.bench.policy import engines
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import workload
from tamaracktide.bench.policy import world
from tamaracktide.core import rows

_RETRY_LOAD_S = 0.25


class ClairvoyantPolicy:
    """Loads on demand, evicts what is asked for again last (Belady).

    It sees all engines of all zones without a lag, serves the small
    customers first, and lets no request hold up another one.
    """

    def __init__(self, world_: world.World) -> None:
        """Reads the later requests from the workload."""
        self._world = world_
        self._waiting: dict[
            rows.AdapterKey, collections.deque[measures.Record]
        ] = {}
        self._loading: dict[rows.AdapterKey, str] = {}
        self._uses: dict[rows.AdapterKey, list[float]] = (
            collections.defaultdict(list)
        )
        for request in world_.workload.requests:
            self._uses[request.key].append(request.arrival)

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Queues a request."""
        key = record.request.key
        self._waiting.setdefault(key, collections.deque()).append(record)
        clock = self._world.clock
        clock.schedule(record.request.deadline, lambda: self._drop(record))
        self._serve()

    def stop_engine(self, engine: engines.Engine) -> None:
        """Forgets the loads of a stopped engine."""
        self._loading = {
            key: name
            for key, name in self._loading.items()
            if name != engine.name
        }
        self._serve()

    def start_engine(self, engine: engines.Engine) -> None:
        """Uses the engine again."""
        self._serve()

    def _drop(self, record: measures.Record) -> None:
        if record in self._waiting.get(record.request.key, ()):
            self._remove(record)
            self._world.refuse(record)

    def _remove(self, record: measures.Record) -> None:
        key = record.request.key
        self._waiting[key].remove(record)
        if not self._waiting[key]:
            del self._waiting[key]

    def _serve(self) -> None:
        """Serves small customers first, then by deadline."""
        if not self._list_free():
            return
        heads = [group[0] for group in self._waiting.values()]
        heads.sort(
            key=lambda head: (
                head.request.customer == workload.LARGE_CUSTOMER,
                head.request.deadline,
            )
        )
        for head in heads:
            key = head.request.key
            while key in self._waiting:
                if not self._start(self._waiting[key][0]):
                    self._load(key)
                    break

    def _list_free(self) -> list[engines.Engine]:
        return [
            engine
            for engine in self._world.engines.values()
            if engine.up and len(engine.jobs) < engine.profile.batch_limit
        ]

    def _start(self, record: measures.Record) -> bool:
        name = record.request.key.text
        able = [e for e in self._list_free() if name in e.slots]
        if not able:
            return False
        engine = max(able, key=lambda engine: len(engine.jobs))
        self._remove(record)

        def end(completed: bool) -> None:
            if completed:
                self._serve()

        self._world.start(engine, record, name, end)
        return True

    def _load(self, key: rows.AdapterKey) -> None:
        if key in self._loading:
            return
        place = self._find_place()
        if place is None:
            return
        engine, evict = place
        incarnation = engine.incarnation
        self._loading[key] = engine.name

        def end(succeeded: bool) -> None:
            if succeeded:
                self._loading.pop(key, None)
                self._serve()
                return
            at = self._world.clock.now + _RETRY_LOAD_S
            self._world.clock.schedule(at, retry)

        def retry() -> None:
            if engine.incarnation != incarnation:
                return
            self._loading.pop(key, None)
            self._serve()

        self._world.load(engine, key.text, key, evict, end)

    def _find_place(self) -> tuple[engines.Engine, str] | None:
        best: tuple[float, int, engines.Engine, str] | None = None
        for engine in self._list_free():
            held = len(engine.slots) + self._count_loading(engine)
            if held < engine.profile.slots:
                found = (float("inf"), len(engine.jobs), engine, "")
            else:
                found = self._find_victim(engine)
            if best is None or found[:2] > best[:2]:
                best = found
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
        uses = self._uses[key]
        index = bisect.bisect_right(uses, self._world.clock.now)
        return uses[index] if index < len(uses) else 1e9
