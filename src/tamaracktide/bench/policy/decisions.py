"""CPU time of a cell's decisions at two sizes of the deployment."""

import dataclasses
import heapq
import random
import time

from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import rows

CELLS = 30
ENGINES_PER_NODE = 600 / 330
ADAPTERS_PER_NODE = 68_000 / 330
ACCELERATORS = 8
SLOTS = 8
BATCH_LIMIT = 16
TARGET_UTILIZATION = 0.6
SERVICE_S = 4.0
LOAD_S = 0.25
EVENTS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """The CPU time of decisions.

    Attributes:
        nodes: Number of nodes in the deployment.
        engines: Number of engines in one cell.
        adapters: Number of adapters in one cell.
        events: Number of handled events.
        granted: Number of grants among the actions.
        event_us: CPU time per event in microseconds.
        request_us: CPU time per granted request in microseconds.
    """

    nodes: int
    engines: int
    adapters: int
    events: int
    granted: int
    event_us: float
    request_us: float


class _Run:
    """Feeds requests, and the ends of grants and loads, to a cell."""

    def __init__(
        self,
        measured_cell: cell.Cell,
        rng: random.Random,
        adapters: int,
        interval_s: float,
    ) -> None:
        self.granted = 0
        self.processor_s = 0.0
        self._cell = measured_cell
        self._rng = rng
        self._adapters = adapters
        self._interval_s = interval_s
        self._now = 0.0
        self._end_events: list[tuple[float, int, cell_events.CellEvent]] = []

    def feed_next(self, index: int) -> None:
        """Feeds the next due end event, or else a new request."""
        if self._end_events and self._end_events[0][0] <= self._now:
            event = heapq.heappop(self._end_events)[2]
        else:
            self._now += self._interval_s
            event = _make_submit(self._rng, index, self._adapters)
        started = time.process_time()
        actions = self._cell.handle(event, self._now)
        self.processor_s += time.process_time() - started
        for number, action in enumerate(actions):
            self._schedule_end(action, index * 1000 + number)

    def _schedule_end(
        self, action: cell_actions.CellAction, number: int
    ) -> None:
        match action:
            case cell_actions.Grant():
                self.granted += 1
                ended = cell_events.GrantEnded(
                    grant_id=action.grant_id, generated_tokens=100
                )
                self._push_event(SERVICE_S, number, ended)
            case cell_actions.Load():
                loaded = cell_events.LoadEnded(action.load_id, True)
                self._push_event(LOAD_S, number, loaded)

    def _push_event(
        self, delay_s: float, number: int, event: cell_events.CellEvent
    ) -> None:
        heapq.heappush(self._end_events, (self._now + delay_s, number, event))


def measure_decisions(nodes: int, seed: int) -> Cost:
    """Measures one cell of a deployment with `nodes` nodes.

    Requests arrive at a rate that keeps `TARGET_UTILIZATION` of the batch slots
    busy. Each request occupies its batch slot for `SERVICE_S`.
    """
    rng = random.Random(seed)
    engines = max(1, round(nodes * ENGINES_PER_NODE / CELLS))
    adapters = round(nodes * ADAPTERS_PER_NODE / CELLS)
    measured_cell = cell.Cell(
        cell_settings.CellSettings(loads_per_s=64.0, loads_in_flight=16.0), rng
    )
    for number in range(engines):
        measured_cell.handle(
            cell_events.UpstreamSnapshot(
                upstream=f"e{number}",
                incarnation="1",
                slots=SLOTS * ACCELERATORS,
                batch_limit=BATCH_LIMIT * ACCELERATORS,
            ),
            0.0,
        )
    batch_slots = engines * BATCH_LIMIT * ACCELERATORS
    run = _Run(
        measured_cell,
        rng,
        adapters,
        SERVICE_S / (batch_slots * TARGET_UTILIZATION),
    )
    for index in range(EVENTS):
        run.feed_next(index)
    return Cost(
        nodes=nodes,
        engines=engines,
        adapters=adapters,
        events=EVENTS,
        granted=run.granted,
        event_us=round(run.processor_s / EVENTS * 1e6, 1),
        request_us=round(run.processor_s / max(1, run.granted) * 1e6, 1),
    )


def _make_submit(
    rng: random.Random, index: int, adapters: int
) -> cell_events.Submit:
    number = min(adapters - 1, int(rng.paretovariate(0.7)) - 1)
    return cell_events.Submit(
        request_id=f"r{index}",
        customer=f"c{number % 200}",
        key=rows.AdapterKey(f"a{number}", "1"),
        prompt_tokens=400,
        max_tokens=200,
    )
