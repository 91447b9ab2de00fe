"""Model of an engine with adapter slots and continuous batching."""

import collections
from collections.abc import Callable
import dataclasses

from tamaracktide.bench.policy import clock
from tamaracktide.bench.policy import workload
from tamaracktide.core import rows

STEP_S = 0.020
STEP_PER_REQUEST_S = 0.0006
PREFILL_TOKENS_PER_STEP = 256
PREFIX_FRACTION = 0.6
CACHED_PREFIXES = 64
_EPSILON_STEPS = 1e-6


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request in the batch.

    Attributes:
        request: The request.
        slot: Name of the adapter slot it uses.
        on_end: Called at the end with whether the request completed.
        remaining_steps: Batch steps until the request completes.
    """

    request: workload.Request
    slot: str
    on_end: Callable[[bool], None]
    remaining_steps: float


@dataclasses.dataclass(slots=True)
class AdapterSlot:
    """A loaded adapter; `loaded_at` is the time at which its load ended."""

    key: rows.AdapterKey
    loaded_at: float


class Engine:
    """A simulated engine; each batch step generates one token per request.

    Prefill takes one step per `PREFILL_TOKENS_PER_STEP` prompt tokens that are
    not cached. A step takes `STEP_S` plus `STEP_PER_REQUEST_S` per request.

    Attributes:
        index: Index of the engine in the deployment.
        name: Instance id.
        up: Whether the engine is running.
        incarnation: Number of the engine's current start.
        slots: Loaded adapters by slot name.
        jobs: Requests in the running batch.
        steps: Batch steps run after the warm-up.
        tokens: Tokens generated in these steps.
        on_prefix_change: Called with a prefix and whether it is now cached.
    """

    def __init__(
        self, clock_: clock.Clock, index: int, profile: workload.Profile
    ) -> None:
        """Starts the engine with empty slots and an empty batch."""
        self.index = index
        self.name = f"engine{index}"
        self.up = True
        self.incarnation = 1
        self.slots: dict[str, AdapterSlot] = {}
        self.jobs: list[Job] = []
        self.steps = 0.0
        self.tokens = 0.0
        self.on_prefix_change: Callable[[str, bool], None] = lambda _p, _c: None
        self.profile = profile
        self._clock = clock_
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._updated_at = 0.0
        self._version = 0

    def start(
        self,
        request: workload.Request,
        slot: str,
        on_end: Callable[[bool], None],
    ) -> None:
        """Adds a request, whose adapter must be loaded, to the batch."""
        assert self.up, self.name
        assert len(self.jobs) < self.profile.batch_limit, self.name
        assert self.slots[slot].key == request.key, slot
        self._advance()
        steps = request.output_tokens + self._prefill(request)
        self.jobs.append(Job(request, slot, on_end, steps))
        self._schedule_next_end()

    def add_slot(self, name: str, key: rows.AdapterKey) -> None:
        """Records a loaded adapter in a slot."""
        assert len(self.slots) < self.profile.slots, self.name
        self.slots[name] = AdapterSlot(key, self._clock.now)

    def remove_slot(self, name: str) -> None:
        """Unloads an adapter that no running request uses."""
        assert all(job.slot != name for job in self.jobs), name
        del self.slots[name]

    def stop(self) -> None:
        """Stops the engine: loses its batch and clears its slots and cache."""
        self._advance()
        self.up = False
        self.incarnation += 1
        lost, self.jobs = self.jobs, []
        self.slots.clear()
        self._prefixes.clear()
        self._schedule_next_end()
        for job in lost:
            job.on_end(False)

    def _prefill(self, request: workload.Request) -> float:
        cached = request.prefix in self._prefixes
        self._prefixes[request.prefix] = None
        self._prefixes.move_to_end(request.prefix)
        if not cached:
            self.on_prefix_change(request.prefix, True)
        if len(self._prefixes) > CACHED_PREFIXES:
            evicted, _ = self._prefixes.popitem(last=False)
            self.on_prefix_change(evicted, False)
        fraction = 1.0 - PREFIX_FRACTION if cached else 1.0
        return fraction * request.prompt_tokens / PREFILL_TOKENS_PER_STEP

    def _get_step_s(self) -> float:
        return STEP_S + STEP_PER_REQUEST_S * len(self.jobs)

    def _advance(self) -> None:
        now = self._clock.now
        steps = (now - self._updated_at) / self._get_step_s()
        for job in self.jobs:
            job.remaining_steps -= steps
        if self.jobs and now > self.profile.warm_up_s:
            self.steps += steps
            self.tokens += steps * len(self.jobs)
        self._updated_at = now

    def _schedule_next_end(self) -> None:
        self._version += 1
        if not self.jobs:
            return
        version = self._version
        remaining_steps = max(
            0.0, min(job.remaining_steps for job in self.jobs)
        )
        at = self._clock.now + remaining_steps * self._get_step_s()
        self._clock.schedule(at, lambda: self._end_jobs(version))

    def _end_jobs(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        ended = [
            job for job in self.jobs if job.remaining_steps <= _EPSILON_STEPS
        ]
        self.jobs = [
            job for job in self.jobs if job.remaining_steps > _EPSILON_STEPS
        ]
        self._schedule_next_end()
        for job in ended:
            job.on_end(True)
