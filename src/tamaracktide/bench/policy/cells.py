"""Runs the project's `Cell`, one per zone, as the schedulers do."""

import functools
import random

from tamaracktide import result_codes
from tamaracktide.bench.policy import engines
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import simulation
from tamaracktide.bench.policy import workload
from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import routing
from tamaracktide.core import rows

CONTROL_DELAY_S = 0.0015
LOAD_REPORT_PERIOD_S = 0.25
PREFIX_DELAY_S = 1.0
PREFIX_GAP_RATE = 0.2
_POOL = "pool"


class _Owner:
    """The owner of one cell; carries out the actions of its `Cell`."""

    def __init__(
        self,
        policy: "CellsPolicy",
        zone: str,
        settings: cell_settings.CellSettings,
    ) -> None:
        self.id = rows.CellId(_POOL, zone)
        self.rng = random.Random(f"{policy.simulation.workload.seed} {zone}")
        self.cell = cell.Cell(settings, self.rng)
        self._policy = policy
        self._simulation = policy.simulation
        self._waiting: dict[str, measures.Record] = {}
        self._wake_version = 0

    def feed(self, event: cell_events.CellEvent) -> None:
        """Passes an event to the cell and carries out its actions."""
        for action in self.cell.handle(event, self._simulation.clock.now):
            match action:
                case cell_actions.Grant():
                    self._schedule_after_delay(
                        functools.partial(self._start, action)
                    )
                case cell_actions.Refuse():
                    self._schedule_after_delay(
                        functools.partial(self._refuse, action)
                    )
                case cell_actions.Load():
                    self._load(action)
                case cell_actions.WakeAt():
                    self._schedule_tick(action.at)

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Requests a grant; the request arrives after `CONTROL_DELAY_S`."""
        request = record.request
        self._waiting[request.request_id] = record
        event = cell_events.Submit(
            request_id=request.request_id,
            customer=request.customer,
            key=request.key,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            deadline=request.deadline,
            prefix=request.prefix,
            avoid=avoid,
        )
        self._schedule_after_delay(functools.partial(self.feed, event))

    def _schedule_after_delay(self, callback: functools.partial[None]) -> None:
        clock = self._simulation.clock
        clock.schedule(clock.now + CONTROL_DELAY_S, callback)

    def _schedule_tick(self, at: float) -> None:
        self._wake_version += 1
        version = self._wake_version

        def tick() -> None:
            if version == self._wake_version:
                self.feed(cell_events.Tick())

        self._simulation.clock.schedule(at, tick)

    def _start(self, grant: cell_actions.Grant) -> None:
        record = self._waiting.pop(grant.request_id)
        engine = self._simulation.engines[grant.upstream]
        if not engine.up or str(engine.incarnation) != grant.incarnation:
            self.feed(cell_events.GrantEnded(grant_id=grant.grant_id))
            record.wait_s += self._simulation.clock.now - record.submitted_at
            self._simulation.retry(record, engine)
            return

        def end(completed: bool) -> None:
            tokens = record.request.output_tokens if completed else 0
            ended = cell_events.GrantEnded(
                grant_id=grant.grant_id,
                prompt_tokens=record.request.prompt_tokens,
                generated_tokens=tokens,
            )
            self._schedule_after_delay(functools.partial(self.feed, ended))

        self._simulation.start(engine, record, grant.lora_name, end)

    def _refuse(self, refusal: cell_actions.Refuse) -> None:
        record = self._waiting.pop(refusal.request_id)
        if self._policy.forward(record, self.id, refusal):
            return
        self._policy.record_refusal(refusal)
        self._simulation.refuse(record)

    def _load(self, load: cell_actions.Load) -> None:
        engine = self._simulation.engines[load.upstream]
        if not engine.up or str(engine.incarnation) != load.incarnation:
            return

        def end(succeeded: bool) -> None:
            ended = cell_events.LoadEnded(load.load_id, succeeded)
            self._schedule_after_delay(functools.partial(self.feed, ended))

        self._simulation.load(engine, load.lora_name, load.key, load.evict, end)


class CellsPolicy:
    """Policy that uses the project's own scheduling decisions.

    Attributes:
        simulation: The deployment.
        refusals: Number of refusals by name of the result code.
    """

    def __init__(self, simulation_: simulation.Simulation) -> None:
        """Creates a cell for each zone and reports the engines to it."""
        profile = simulation_.workload.profile
        self.simulation = simulation_
        self.refusals: dict[str, int] = {}
        self._owners: dict[rows.CellId, _Owner] = {}
        self._utilization: dict[rows.CellId, routing.CellUtilization] = {}
        self._refused: dict[str, set[rows.CellId]] = {}
        self._rng = random.Random(f"{simulation_.workload.seed} gateway")
        for zone in range(profile.zones):
            owner = _Owner(self, f"zone{zone}", make_settings(profile, zone))
            self._owners[owner.id] = owner
        for engine in simulation_.engines.values():
            self.start_engine(engine)
            engine.on_prefix_change = functools.partial(
                self._report_prefix, engine
            )
        self._report_loads()

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Sends a request to a cell, as a gateway in a random zone does."""
        zone = (
            f"zone{self._rng.randrange(self.simulation.workload.profile.zones)}"
        )
        order = routing.order_cells(
            record.request.key, list(self._owners), self._utilization, zone
        )
        self._owners[order[0]].submit(record, avoid)

    def forward(
        self,
        record: measures.Record,
        cell_id: rows.CellId,
        refusal: cell_actions.Refuse,
    ) -> bool:
        """Retries in the next cell after a failed load, as a gateway does.

        Returns:
            Whether a cell that has not refused the request was found.
        """
        if refusal.code is not result_codes.ResultCode.LOAD_FAILED:
            return False
        refused = self._refused.setdefault(refusal.request_id, {cell_id})
        refused.add(cell_id)
        remaining = [
            candidate_id
            for candidate_id in self._owners
            if candidate_id not in refused
        ]
        if not remaining:
            return False
        order = routing.order_cells(
            record.request.key, remaining, self._utilization, cell_id.zone
        )
        self._owners[order[0]].submit(record, ())
        return True

    def stop_engine(self, engine: engines.Engine) -> None:
        """Reports the loss of an engine to its owner."""
        self._find_owner(engine).feed(cell_events.UpstreamLost(engine.name))

    def start_engine(self, engine: engines.Engine) -> None:
        """Reports the state of a started engine to its owner."""
        profile = self.simulation.workload.profile
        self._find_owner(engine).feed(
            cell_events.UpstreamSnapshot(
                upstream=engine.name,
                incarnation=str(engine.incarnation),
                slots=profile.slots,
                batch_limit=profile.batch_limit,
            )
        )

    def record_refusal(self, refusal: cell_actions.Refuse) -> None:
        """Counts a refusal by its result code."""
        name = refusal.code.name
        self.refusals[name] = self.refusals.get(name, 0) + 1

    def _find_owner(self, engine: engines.Engine) -> _Owner:
        zone = engine.index % self.simulation.workload.profile.zones
        return self._owners[rows.CellId(_POOL, f"zone{zone}")]

    def _report_prefix(
        self, engine: engines.Engine, prefix: str, cached: bool
    ) -> None:
        if self._rng.random() < PREFIX_GAP_RATE:
            return
        event = cell_events.PrefixReported(engine.name, prefix, cached)
        owner = self._find_owner(engine)
        clock = self.simulation.clock
        clock.schedule(
            clock.now + PREFIX_DELAY_S, functools.partial(owner.feed, event)
        )

    def _report_loads(self) -> None:
        self._utilization = {
            cell_id: owner.cell.measure_utilization()
            for cell_id, owner in self._owners.items()
        }
        clock = self.simulation.clock
        if clock.now < self.simulation.workload.profile.duration_s:
            clock.schedule(clock.now + LOAD_REPORT_PERIOD_S, self._report_loads)


def make_settings(
    profile: workload.Profile, zone: int
) -> cell_settings.CellSettings:
    """Returns a zone's settings, with a fixed share of the weight store."""
    engines_in_zone = len(range(zone, profile.engines, profile.zones))
    in_flight = profile.full_speed_loads * engines_in_zone / profile.engines
    return cell_settings.CellSettings(
        stall_weight=profile.stall_weight,
        batch_weight=profile.batch_weight,
        max_queue_s=profile.max_queue_s,
        loads_in_flight=in_flight,
        loads_per_s=in_flight / 0.25,
    )
