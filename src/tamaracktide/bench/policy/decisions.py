"""Processor time of a cell's decisions at two sizes of a deployment."""

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
SERVERS_PER_NODE = 600 / 330
ADAPTERS_PER_NODE = 68_000 / 330
ACCELERATORS = 8
SLOTS = 8
BATCH_LIMIT = 16
LOAD = 0.6
SERVICE_S = 4.0
LOAD_S = 0.25
EVENTS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What decisions cost.

    Attributes:
        nodes: Nodes of the deployment.
        engines: Engines of one cell.
        adapters: Adapters of one cell.
        events: Events that were handled.
        granted: Grants among their answers.
        event_us: Processor time of an event, microseconds.
        request_us: Processor time of a granted request, microseconds.
    """

    nodes: int
    engines: int
    adapters: int
    events: int
    granted: int
    event_us: float
    request_us: float


class _Run:
    """Feeds a cell requests and the ends of its grants and loads."""

    def __init__(
        self,
        made: cell.Cell,
        rng: random.Random,
        adapters: int,
        interval_s: float,
    ) -> None:
        self.granted = 0
        self.spent_s = 0.0
        self._cell = made
        self._rng = rng
        self._adapters = adapters
        self._interval_s = interval_s
        self._now = 0.0
        self._ends: list[tuple[float, int, cell_events.CellEvent]] = []

    def feed_next(self, index: int) -> None:
        """Feeds what is due, or else a new request."""
        if self._ends and self._ends[0][0] <= self._now:
            event = heapq.heappop(self._ends)[2]
        else:
            self._now += self._interval_s
            event = _make_submit(self._rng, index, self._adapters)
        started = time.process_time()
        actions = self._cell.handle(event, self._now)
        self.spent_s += time.process_time() - started
        for number, action in enumerate(actions):
            self._take(action, index * 1000 + number)

    def _take(self, action: cell_actions.CellAction, number: int) -> None:
        match action:
            case cell_actions.Grant():
                self.granted += 1
                ended = cell_events.GrantEnded(
                    grant_id=action.grant_id, generated_tokens=100
                )
                self._push(SERVICE_S, number, ended)
            case cell_actions.Load():
                loaded = cell_events.LoadEnded(action.load_id, True)
                self._push(LOAD_S, number, loaded)

    def _push(
        self, delay_s: float, number: int, event: cell_events.CellEvent
    ) -> None:
        heapq.heappush(self._ends, (self._now + delay_s, number, event))


def measure_decisions(nodes: int, seed: int) -> Cost:
    """Measures one cell of a deployment of so many nodes.

    Requests come at `LOAD` of what the places serve; each holds its place
    for `SERVICE_S`.
    """
    rng = random.Random(seed)
    engines = max(1, round(nodes * SERVERS_PER_NODE / CELLS))
    adapters = round(nodes * ADAPTERS_PER_NODE / CELLS)
    made = cell.Cell(
        cell_settings.CellSettings(loads_per_s=64.0, loads_in_flight=16.0), rng
    )
    for number in range(engines):
        made.handle(
            cell_events.UpstreamSnapshot(
                upstream=f"e{number}",
                incarnation="1",
                slots=SLOTS * ACCELERATORS,
                batch_limit=BATCH_LIMIT * ACCELERATORS,
            ),
            0.0,
        )
    places = engines * BATCH_LIMIT * ACCELERATORS
    run = _Run(made, rng, adapters, SERVICE_S / (places * LOAD))
    for index in range(EVENTS):
        run.feed_next(index)
    return Cost(
        nodes=nodes,
        engines=engines,
        adapters=adapters,
        events=EVENTS,
        granted=run.granted,
        event_us=round(run.spent_s / EVENTS * 1e6, 1),
        request_us=round(run.spent_s / max(1, run.granted) * 1e6, 1),
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
