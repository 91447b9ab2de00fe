"""Model of an engine: adapter slots and a continuous batch."""

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
        slot: Name of the slot that it uses.
        on_end: Called with whether it completed.
        left_steps: Steps until it completes.
    """

    request: workload.Request
    slot: str
    on_end: Callable[[bool], None]
    left_steps: float


@dataclasses.dataclass(slots=True)
class ModelSlot:
    """An adapter in a slot; `loaded_at` is when its load ended."""

    key: rows.AdapterKey
    loaded_at: float


class Engine:
    """One engine; a step of the whole batch gives each request one token.

    A prompt takes one step per `PREFILL_TOKENS_PER_STEP` tokens that are not
    cached. A step takes `STEP_S` plus `STEP_PER_REQUEST_S` per request.

    Attributes:
        index: Its number.
        name: Its instance id.
        up: Whether it answers.
        incarnation: Counts its starts.
        slots: Adapters by slot name.
        jobs: Requests in the batch.
        steps: Steps run so far, measured after the warm-up.
        tokens: Tokens made by them.
        on_prefix: Called with a prefix and whether it is cached now.
    """

    def __init__(
        self, clock_: clock.Clock, index: int, profile: workload.Profile
    ) -> None:
        """Starts up and empty."""
        self.index = index
        self.name = f"engine{index}"
        self.up = True
        self.incarnation = 1
        self.slots: dict[str, ModelSlot] = {}
        self.jobs: list[Job] = []
        self.steps = 0.0
        self.tokens = 0.0
        self.on_prefix: Callable[[str, bool], None] = lambda _p, _c: None
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
        """Adds a request to the batch; its adapter must be loaded."""
        assert self.up, self.name
        assert len(self.jobs) < self.profile.batch_limit, self.name
        assert self.slots[slot].key == request.key, slot
        self._advance()
        steps = request.output_tokens + self._prefill(request)
        self.jobs.append(Job(request, slot, on_end, steps))
        self._plan()

    def add_slot(self, name: str, key: rows.AdapterKey) -> None:
        """Puts a loaded adapter into a slot."""
        assert len(self.slots) < self.profile.slots, self.name
        self.slots[name] = ModelSlot(key, self._clock.now)

    def remove_slot(self, name: str) -> None:
        """Unloads an adapter that no request uses."""
        assert all(job.slot != name for job in self.jobs), name
        del self.slots[name]

    def stop(self) -> None:
        """Stops; requests in the batch are lost, slots and cache emptied."""
        self._advance()
        self.up = False
        self.incarnation += 1
        lost, self.jobs = self.jobs, []
        self.slots.clear()
        self._prefixes.clear()
        self._plan()
        for job in lost:
            job.on_end(False)

    def _prefill(self, request: workload.Request) -> float:
        cached = request.prefix in self._prefixes
        self._prefixes[request.prefix] = None
        self._prefixes.move_to_end(request.prefix)
        if not cached:
            self.on_prefix(request.prefix, True)
        if len(self._prefixes) > CACHED_PREFIXES:
            dropped, _ = self._prefixes.popitem(last=False)
            self.on_prefix(dropped, False)
        part = 1.0 - PREFIX_FRACTION if cached else 1.0
        return part * request.prompt_tokens / PREFILL_TOKENS_PER_STEP

    def _get_step_s(self) -> float:
        return STEP_S + STEP_PER_REQUEST_S * len(self.jobs)

    def _advance(self) -> None:
        now = self._clock.now
        steps = (now - self._updated_at) / self._get_step_s()
        for job in self.jobs:
            job.left_steps -= steps
        if self.jobs and now > self.profile.warm_up_s:
            self.steps += steps
            self.tokens += steps * len(self.jobs)
        self._updated_at = now

    def _plan(self) -> None:
        self._version += 1
        if not self.jobs:
            return
        version = self._version
        left = max(0.0, min(job.left_steps for job in self.jobs))
        at = self._clock.now + left * self._get_step_s()
        self._clock.schedule(at, lambda: self._end_jobs(version))

    def _end_jobs(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        ended = [job for job in self.jobs if job.left_steps <= _EPSILON_STEPS]
        self.jobs = [
            job for job in self.jobs if job.left_steps > _EPSILON_STEPS
        ]
        self._plan()
        for job in ended:
            job.on_end(True)
