"""Drives the product's cells, one for each zone, as the daemons do."""

import functools
import random

from tamaracktide import result_codes
from tamaracktide.bench.policy import engines
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import workload
from tamaracktide.bench.policy import world
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
    """The owner of one cell: carries out what its `Cell` decides."""

    def __init__(
        self,
        policy: "CellsPolicy",
        zone: str,
        settings: cell_settings.CellSettings,
    ) -> None:
        self.id = rows.CellId(_POOL, zone)
        self.rng = random.Random(f"{policy.world.workload.seed} {zone}")
        self.cell = cell.Cell(settings, self.rng)
        self._policy = policy
        self._world = policy.world
        self._waiting: dict[str, measures.Record] = {}
        self._wake_version = 0

    def feed(self, event: cell_events.CellEvent) -> None:
        """Gives an event to the cell and carries out its actions."""
        for action in self.cell.handle(event, self._world.clock.now):
            match action:
                case cell_actions.Grant():
                    self._delay(functools.partial(self._start, action))
                case cell_actions.Refuse():
                    self._delay(functools.partial(self._refuse, action))
                case cell_actions.Load():
                    self._load(action)
                case cell_actions.WakeAt():
                    self._wake(action.at)

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Asks for a grant; the way there takes the control delay."""
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
        self._delay(functools.partial(self.feed, event))

    def _delay(self, callback: functools.partial[None]) -> None:
        clock = self._world.clock
        clock.schedule(clock.now + CONTROL_DELAY_S, callback)

    def _wake(self, at: float) -> None:
        self._wake_version += 1
        version = self._wake_version

        def tick() -> None:
            if version == self._wake_version:
                self.feed(cell_events.Tick())

        self._world.clock.schedule(at, tick)

    def _start(self, grant: cell_actions.Grant) -> None:
        record = self._waiting.pop(grant.request_id)
        engine = self._world.engines[grant.upstream]
        if not engine.up or str(engine.incarnation) != grant.incarnation:
            self.feed(cell_events.GrantEnded(grant_id=grant.grant_id))
            record.wait_s += self._world.clock.now - record.submitted_at
            self._world.retry(record, engine)
            return

        def end(completed: bool) -> None:
            tokens = record.request.output_tokens if completed else 0
            ended = cell_events.GrantEnded(
                grant_id=grant.grant_id,
                prompt_tokens=record.request.prompt_tokens,
                generated_tokens=tokens,
            )
            self._delay(functools.partial(self.feed, ended))

        self._world.start(engine, record, grant.lora_name, end)

    def _refuse(self, refusal: cell_actions.Refuse) -> None:
        record = self._waiting.pop(refusal.request_id)
        if self._policy.pass_on(record, self.id, refusal):
            return
        self._policy.note_refusal(refusal)
        self._world.refuse(record)

    def _load(self, load: cell_actions.Load) -> None:
        engine = self._world.engines[load.upstream]
        if not engine.up or str(engine.incarnation) != load.incarnation:
            return

        def end(succeeded: bool) -> None:
            ended = cell_events.LoadEnded(load.load_id, succeeded)
            self._delay(functools.partial(self.feed, ended))

        self._world.load(engine, load.lora_name, load.key, load.evict, end)


class CellsPolicy:
    """The product's decisions under the benchmark.

    Attributes:
        world: The deployment.
        refusals: Refusals by result code name.
    """

    def __init__(self, world_: world.World) -> None:
        """Builds a cell for each zone and reads the engines' state."""
        profile = world_.workload.profile
        self.world = world_
        self.refusals: dict[str, int] = {}
        self._owners: dict[rows.CellId, _Owner] = {}
        self._uses: dict[rows.CellId, routing.CellUtilization] = {}
        self._refused: dict[str, set[rows.CellId]] = {}
        self._rng = random.Random(f"{world_.workload.seed} gateway")
        for zone in range(profile.zones):
            owner = _Owner(self, f"zone{zone}", make_settings(profile, zone))
            self._owners[owner.id] = owner
        for engine in world_.engines.values():
            self.start_engine(engine)
            engine.on_prefix = functools.partial(self._note_prefix, engine)
        self._report_loads()

    def submit(self, record: measures.Record, avoid: tuple[str, ...]) -> None:
        """Sends a request to a cell as a gateway in some zone would."""
        zone = f"zone{self._rng.randrange(self.world.workload.profile.zones)}"
        order = routing.order_cells(
            record.request.key, list(self._owners), self._uses, zone
        )
        self._owners[order[0]].submit(record, avoid)

    def pass_on(
        self,
        record: measures.Record,
        cell_id: rows.CellId,
        refusal: cell_actions.Refuse,
    ) -> bool:
        """Asks the next cell after a failed load, as a gateway does.

        Returns:
            Whether a cell that has not refused the request is asked.
        """
        if refusal.code is not result_codes.ResultCode.LOAD_FAILED:
            return False
        refused = self._refused.setdefault(refusal.request_id, {cell_id})
        refused.add(cell_id)
        left = [one for one in self._owners if one not in refused]
        if not left:
            return False
        order = routing.order_cells(
            record.request.key, left, self._uses, cell_id.zone
        )
        self._owners[order[0]].submit(record, ())
        return True

    def stop_engine(self, engine: engines.Engine) -> None:
        """Tells the owner that an engine was lost."""
        self._find_owner(engine).feed(cell_events.UpstreamLost(engine.name))

    def start_engine(self, engine: engines.Engine) -> None:
        """Tells the owner the state of an engine that has started."""
        profile = self.world.workload.profile
        self._find_owner(engine).feed(
            cell_events.UpstreamSnapshot(
                upstream=engine.name,
                incarnation=str(engine.incarnation),
                slots=profile.slots,
                batch_limit=profile.batch_limit,
            )
        )

    def note_refusal(self, refusal: cell_actions.Refuse) -> None:
        """Counts a refusal by its code."""
        name = refusal.code.name
        self.refusals[name] = self.refusals.get(name, 0) + 1

    def _find_owner(self, engine: engines.Engine) -> _Owner:
        zone = engine.index % self.world.workload.profile.zones
        return self._owners[rows.CellId(_POOL, f"zone{zone}")]

    def _note_prefix(
        self, engine: engines.Engine, prefix: str, cached: bool
    ) -> None:
        if self._rng.random() < PREFIX_GAP_RATE:
            return
        event = cell_events.PrefixReported(engine.name, prefix, cached)
        owner = self._find_owner(engine)
        clock = self.world.clock
        clock.schedule(
            clock.now + PREFIX_DELAY_S, functools.partial(owner.feed, event)
        )

    def _report_loads(self) -> None:
        self._uses = {
            cell_id: owner.cell.measure_utilization()
            for cell_id, owner in self._owners.items()
        }
        clock = self.world.clock
        if clock.now < self.world.workload.profile.duration_s:
            clock.schedule(clock.now + LOAD_REPORT_PERIOD_S, self._report_loads)


def make_settings(
    profile: workload.Profile, zone: int
) -> cell_settings.CellSettings:
    """Returns a zone's settings with its fixed share of the store."""
    engines_here = len(range(zone, profile.engines, profile.zones))
    in_flight = profile.full_speed_loads * engines_here / profile.engines
    return cell_settings.CellSettings(
        stall_weight=profile.stall_weight,
        batch_weight=profile.batch_weight,
        max_queue_s=profile.max_queue_s,
        loads_in_flight=in_flight,
        loads_per_s=in_flight / 0.25,
    )
