"""State of a cell's engines, adapter slots, loads and grants; no policy."""

import collections
from collections.abc import Iterator
import dataclasses

from tamaracktide.core import cell_events
from tamaracktide.core import cell_state
from tamaracktide.core import ramps
from tamaracktide.core import randomness
from tamaracktide.core import rows
from tamaracktide.core import send_limits


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What all usable engines of a cell hold together.

    Attributes:
        batch_slots: Requests that run concurrently.
        adapter_slots: Loaded adapters.
    """

    batch_slots: int
    adapter_slots: int


class Inventory:
    """Keeps the records of engines, grants and loads consistent.

    Grants and load orders take effect immediately; reports of the engines
    correct them later.

    Attributes:
        engines: Engines by instance id.
        grants: Grants that have not ended, by grant id.
        loads: Load orders in flight, by load id.
        slots_by_customer: Number of adapter slots charged to each customer.
        changes: Change counter, increased whenever batch slots or adapter
            slots may have changed.
        is_uneven: Whether some engines are faster than others.
    """

    def __init__(self) -> None:
        """Creates an inventory without engines."""
        self.engines: dict[str, cell_state.Engine] = {}
        self.grants: dict[str, cell_state.GrantRecord] = {}
        self.loads: dict[str, cell_state.LoadRecord] = {}
        self.slots_by_customer: collections.Counter[str] = collections.Counter()
        self.changes = 0
        self.is_uneven = False
        self._capacity: Capacity | None = None
        self._slots_by_adapter: dict[
            rows.AdapterKey, dict[str, cell_state.Slot]
        ] = {}

    def list_usable(self) -> list[cell_state.Engine]:
        """Returns the engines that may get new work."""
        return [e for e in self.engines.values() if not e.leaving]

    @property
    def capacity(self) -> Capacity:
        """Capacity of the usable engines."""
        if self._capacity is None:
            usable = self.list_usable()
            self._capacity = Capacity(
                sum(engine.batch_limit for engine in usable),
                sum(engine.slot_limit for engine in usable),
            )
        return self._capacity

    def find_slots(
        self, key: rows.AdapterKey
    ) -> Iterator[tuple[cell_state.Engine, cell_state.Slot]]:
        """Yields usable engines and slots that serve or load an adapter."""
        for name, slot in self._slots_by_adapter.get(key, {}).items():
            engine = self.engines[name]
            if not engine.leaving:
                yield engine, slot

    def find_slot(
        self, engine: cell_state.Engine, key: rows.AdapterKey
    ) -> cell_state.Slot | None:
        """Returns an engine's slot that serves or is loading an adapter."""
        return self._slots_by_adapter.get(key, {}).get(engine.name)

    def list_keys(self, engine: cell_state.Engine) -> list[rows.AdapterKey]:
        """Returns the adapters that an engine serves or is loading."""
        return [
            key
            for key, slots in self._slots_by_adapter.items()
            if engine.name in slots
        ]

    def count_replicas(self, key: rows.AdapterKey) -> int:
        """Returns how many engines serve or are loading an adapter."""
        return len(self._slots_by_adapter.get(key, {}))

    def count_unlimited_replicas(self, key: rows.AdapterKey) -> int:
        """Returns the same, without engines that are passed over."""
        names = self._slots_by_adapter.get(key, {})
        return sum(not self.is_passed_over(self.engines[n]) for n in names)

    def is_passed_over(self, engine: cell_state.Engine) -> bool:
        """Whether an engine has a send limit and a usable one has none."""
        return engine.send_limit is not None and self.has_unlimited

    @property
    def has_unlimited(self) -> bool:
        """Whether a usable engine takes requests at any rate."""
        return any(
            engine.send_limit is None and not engine.leaving
            for engine in self.engines.values()
        )

    def set_paces(self, event: cell_events.PacesChanged) -> None:
        """Sets how much time engines take compared with a median one."""
        for name, factor in event.factors.items():
            if name in self.engines:
                self.engines[name].time_factor = factor
        self.is_uneven = any(
            engine.time_factor != 1.0 for engine in self.engines.values()
        )
        self.changes += 1

    def start_ramp(self, event: cell_events.RampStarted, now: float) -> None:
        """Begins the window of requests of an engine."""
        engine = self.engines.get(event.upstream)
        if engine is None:
            return
        engine.ramp = ramps.Ramp(engine.batch_limit, event.rank, now)
        engine.instances = event.instances

    def record_answer(
        self, event: cell_events.AnswerObserved, now: float
    ) -> None:
        """Adjusts an engine's window of requests to an answer."""
        engine = self.engines.get(event.upstream)
        if engine is None or engine.ramp is None:
            return
        engine.ramp.record_answer(engine.instances, now, is_good=event.is_good)
        if engine.ramp.has_ended:
            engine.ramp = None

    def holds_ramps(self) -> bool:
        """Whether windows of requests are kept: few engines are in one."""
        usable = self.list_usable()
        ramping = sum(engine.ramp is not None for engine in usable)
        return 0 < ramping <= ramps.MAX_RAMPING_FRACTION * len(usable)

    def measure_replicas(self, key: rows.AdapterKey) -> float:
        """Returns the engines that serve an adapter, by their speed."""
        return sum(
            1.0 / self.engines[name].time_factor
            for name in self._slots_by_adapter.get(key, {})
        )

    def _add_slot(
        self, engine: cell_state.Engine, slot: cell_state.Slot
    ) -> None:
        engine.slots[slot.lora_name] = slot
        if slot.customer:
            self.slots_by_customer[slot.customer] += 1
        self._index(engine, slot)

    def _drop_slot(self, engine: cell_state.Engine, lora_name: str) -> None:
        slot = engine.slots.pop(lora_name, None)
        if slot is None:
            return
        engine.running -= slot.running
        if slot.state is cell_state.SlotState.READY:
            engine.record_eviction(slot.key)
        self.charge_slot(slot, "")
        self._unindex(engine, slot)

    def _index(self, engine: cell_state.Engine, slot: cell_state.Slot) -> None:
        if slot.is_offered:
            slots_by_engine = self._slots_by_adapter.setdefault(slot.key, {})
            slots_by_engine.setdefault(engine.name, slot)

    def _unindex(
        self, engine: cell_state.Engine, slot: cell_state.Slot
    ) -> None:
        slots_by_engine = self._slots_by_adapter.get(slot.key, {})
        if slots_by_engine.get(engine.name) is not slot:
            return
        del slots_by_engine[engine.name]
        if not slots_by_engine:
            del self._slots_by_adapter[slot.key]
        for other in engine.slots.values():
            if other is not slot and other.key == slot.key:
                self._index(engine, other)

    def _record_missing(
        self, engine: cell_state.Engine, slot: cell_state.Slot
    ) -> None:
        """Excludes a slot from grants, or drops it if it is idle.

        A load in flight decides about its slot itself.
        """
        match slot.state:
            case cell_state.SlotState.LOADING:
                return
            case cell_state.SlotState.READY:
                slot.state = cell_state.SlotState.MISSING
                self._unindex(engine, slot)
        if not slot.running:
            self._drop_slot(engine, slot.lora_name)

    def charge_slot(self, slot: cell_state.Slot, customer: str) -> None:
        """Charges a slot to the customer that uses it now, empty for none."""
        charged = self.slots_by_customer
        if slot.customer:
            charged[slot.customer] -= 1
            if not charged[slot.customer]:
                del charged[slot.customer]
        slot.customer = customer
        if customer:
            charged[customer] += 1

    def apply_snapshot(
        self, event: cell_events.UpstreamSnapshot, now: float
    ) -> list[cell_state.GrantRecord]:
        """Applies the polled state of an engine.

        Returns:
            The grants that ended because the engine restarted.
        """
        self.changes += 1
        tracked = self.engines.get(event.upstream)
        if tracked is not None and tracked.incarnation == event.incarnation:
            self._reconcile_engine(tracked, event, now)
            return []
        ended = self.remove_engine(event.upstream)
        engine = cell_state.Engine(
            name=event.upstream,
            incarnation=event.incarnation,
            slot_limit=event.slots,
            batch_limit=event.batch_limit,
            snapshot_at=now,
            distance_s=event.distance_s,
            accepts_loads=event.accepts_loads,
        )
        self.engines[event.upstream] = engine
        self._capacity = None
        for loaded in event.loaded:
            self._add_reported(engine, loaded, event, now)
        _count_remote(engine, event)
        return ended

    def _reconcile_engine(
        self,
        engine: cell_state.Engine,
        event: cell_events.UpstreamSnapshot,
        now: float,
    ) -> None:
        """Corrects the tracked state of an engine that did not restart."""
        limits = (event.slots, event.batch_limit)
        if limits != (engine.slot_limit, engine.batch_limit):
            self._capacity = None
        engine.slot_limit = event.slots
        engine.batch_limit = event.batch_limit
        engine.snapshot_at = now
        engine.distance_s = event.distance_s
        engine.accepts_loads = event.accepts_loads
        reported = {loaded.lora_name: loaded for loaded in event.loaded}
        evicting = {
            load.evicted
            for load in self.loads.values()
            if load.upstream == engine.name
        }
        loading = self._list_loading(engine)
        for name, slot in list(engine.slots.items()):
            if name not in reported and not slot.pins and name not in loading:
                self._drop_slot(engine, name)
        for name, loaded in reported.items():
            if name in engine.slots:
                tracked = engine.slots[name]
                tracked.remote = max(0, loaded.running - tracked.pins)
                if name not in loading:
                    _reconcile_state(tracked, loaded)
                    self._index(engine, tracked)
            elif name not in evicting:
                self._add_reported(engine, loaded, event, now)
        _count_remote(engine, event)

    def _add_reported(
        self,
        engine: cell_state.Engine,
        loaded: cell_events.LoadedAdapter,
        event: cell_events.UpstreamSnapshot,
        now: float,
    ) -> None:
        slot = cell_state.Slot(
            lora_name=loaded.lora_name,
            key=loaded.key,
            state=cell_state.SlotState.READY,
            used_at=now,
            remote=loaded.running,
        )
        _reconcile_state(slot, loaded)
        if loaded.lora_name in event.withheld:
            slot.state = cell_state.SlotState.RESERVED
        self._add_slot(engine, slot)

    def set_ready(self, event: cell_events.AdaptersReady) -> None:
        """Marks slots as ready whose load was not ordered by this cell."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None:
            return
        for name in set(event.lora_names) - self._list_loading(engine):
            slot = engine.slots.get(name)
            if slot is None:
                continue
            if slot.state is cell_state.SlotState.LOADING:
                slot.state = cell_state.SlotState.READY

    def _list_loading(self, engine: cell_state.Engine) -> set[str]:
        """Returns the slots of an engine that this cell is loading."""
        return {
            load.lora_name
            for load in self.loads.values()
            if load.upstream == engine.name
        }

    def remove_engine(self, upstream: str) -> list[cell_state.GrantRecord]:
        """Removes an engine with its loads and grants; returns the grants."""
        self.changes += 1
        engine = self.engines.get(upstream)
        if engine is None:
            return []
        for lora_name in list(engine.slots):
            self._drop_slot(engine, lora_name)
        del self.engines[upstream]
        self._capacity = None
        self.loads = {
            load_id: load
            for load_id, load in self.loads.items()
            if load.upstream != upstream
        }
        ended = [g for g in self.grants.values() if g.upstream == upstream]
        for grant in ended:
            del self.grants[grant.grant_id]
        return ended

    def adopt_grant(
        self, event: cell_events.GrantAdopted, now: float
    ) -> cell_state.GrantRecord | None:
        """Converts a remote request of an engine into a tracked grant."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None or event.grant_id in self.grants:
            return None
        slot = engine.slots.get(event.lora_name)
        if slot is None:
            return None
        if slot.remote > 0:
            slot.remote -= 1
        else:
            engine.running += 1
        slot.pins += 1
        grant = cell_state.GrantRecord(
            grant_id=event.grant_id,
            request_id=event.request_id,
            customer=event.customer,
            weight=1.0,
            key=slot.key,
            upstream=event.upstream,
            lora_name=event.lora_name,
            cost=0.0,
            granted_at=now,
        )
        self.grants[grant.grant_id] = grant
        self.charge_slot(slot, event.customer)
        return grant

    def start_grant(self, grant: cell_state.GrantRecord) -> None:
        """Occupies a batch slot and pins the adapter slot."""
        self.changes += 1
        engine = self.engines[grant.upstream]
        slot = engine.slots[grant.lora_name]
        slot.pins += 1
        slot.used_at = grant.granted_at
        self.charge_slot(slot, grant.customer)
        engine.running += 1
        self.grants[grant.grant_id] = grant

    def end_grant(
        self, event: cell_events.GrantEnded
    ) -> cell_state.GrantRecord | None:
        """Frees the batch slot and unpins the adapter slot; None if unknown."""
        self.changes += 1
        grant = self.grants.pop(event.grant_id, None)
        if grant is None:
            return None
        engine = self.engines[grant.upstream]
        if engine.exclusive == grant.request_id:
            engine.exclusive = ""
        slot = engine.slots[grant.lora_name]
        slot.pins -= 1
        engine.running -= 1
        if event.adapter_missing:
            self._record_missing(engine, slot)
        return grant

    def find_reloadable(
        self, engine: cell_state.Engine, lora_name: str
    ) -> cell_state.Slot | None:
        """Returns the slot of a name whose adapter is missing, or None."""
        slot = engine.slots.get(lora_name)
        if slot is None or slot.state is not cell_state.SlotState.MISSING:
            return None
        return slot

    def start_load(self, load: cell_state.LoadRecord) -> None:
        """Occupies an adapter slot, after the eviction if one is named.

        An adapter that is missing is loaded into its slot again, where the
        requests that use it stay counted.
        """
        self.changes += 1
        engine = self.engines[load.upstream]
        if load.evicted:
            self._drop_slot(engine, load.evicted)
        slot = self.find_reloadable(engine, load.lora_name)
        if slot is None:
            slot = cell_state.Slot(
                lora_name=load.lora_name,
                key=load.key,
                state=cell_state.SlotState.LOADING,
                customer=load.customer,
                used_at=load.started_at,
            )
            self._add_slot(engine, slot)
        slot.state = cell_state.SlotState.LOADING
        self._index(engine, slot)
        engine.pending += 1
        self.loads[load.load_id] = load

    def end_load(
        self, event: cell_events.LoadEnded, now: float
    ) -> cell_state.LoadRecord | None:
        """Marks the slot ready, or frees it on failure; None if unknown."""
        self.changes += 1
        load = self.loads.pop(event.load_id, None)
        if load is None:
            return None
        engine = self.engines[load.upstream]
        engine.pending -= 1
        slot = engine.slots[load.lora_name]
        if event.succeeded:
            slot.state = cell_state.SlotState.READY
            slot.used_at = now
        elif slot.pins:
            slot.state = cell_state.SlotState.MISSING
            self._unindex(engine, slot)
        else:
            self._drop_slot(engine, load.lora_name)
        return load

    def set_leaving(self, event: cell_events.UpstreamLeaving) -> None:
        """Marks an engine as leaving or usable."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None:
            return
        engine.on_trial = event.on_trial
        if engine.leaving != event.leaving:
            engine.leaving = event.leaving
            self._capacity = None
        if engine.leaving and not self._runs(engine, engine.exclusive):
            # The request gets another engine.
            engine.exclusive = ""

    def _runs(self, engine: cell_state.Engine, request_id: str) -> bool:
        """Whether a request of this cell runs on an engine."""
        return any(
            grant.request_id == request_id
            for grant in self.grants.values()
            if grant.upstream == engine.name
        )

    def set_send_limit(
        self,
        event: cell_events.SendLimitChanged,
        rng: randomness.Random,
        now: float,
    ) -> None:
        """Sets or removes the limit of an engine."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None:
            return
        if event.rate is None:
            engine.send_limit = None
            return
        if engine.send_limit is None:
            engine.send_limit = send_limits.SendLimit(rng, now)
        engine.send_limit.set_rate(event.rate, event.own_fraction)

    def set_brittle(
        self,
        event: cell_events.BrittleChanged,
        rng: randomness.Random,
        now: float,
    ) -> None:
        """Sets or removes the pace of an engine."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None:
            return
        if event.rejections is None:
            engine.pace = None
            return
        if engine.pace is None:
            engine.pace = send_limits.SendLimit(rng, now, burst_s=0.0)
        rate = send_limits.PACE_PER_REJECTION * max(1.0, event.rejections)
        engine.pace.set_rate(rate, event.own_fraction)

    def slow_down(
        self, event: cell_events.UpstreamOverloaded, now: float
    ) -> None:
        """Reduces the pace of an engine that rejected a request."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is not None and engine.pace is not None:
            rate = send_limits.SLOW_FRACTION * event.rejections
            engine.pace.slow_down(rate, now)

    def suspend_evictions(self, event: cell_events.EvictionsSuspended) -> None:
        """Suspends or resumes evictions on an engine."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is not None:
            engine.evictions_suspended = event.suspended

    def apply_prefix_report(self, event: cell_events.PrefixReported) -> None:
        """Records that an engine cached or dropped a prompt prefix."""
        engine = self.engines.get(event.upstream)
        if engine is not None:
            engine.record_prefix(event.prefix, event.cached)

    def apply_remote_counts(
        self, event: cell_events.RemoteCountsChanged
    ) -> None:
        """Applies the requests of other instances to the adapters' slots.

        An adapter that is in no slot has no request that the engine can run.
        """
        self.changes += 1
        for count in event.counts:
            engine = self.engines.get(count.upstream)
            if engine is None:
                continue
            for slot in engine.slots.values():
                if slot.key.adapter == count.adapter:
                    engine.running += count.running - slot.remote
                    slot.remote = count.running

    def apply_load_report(self, event: cell_events.LoadReported) -> None:
        """Applies a load report, which bounds the remote request counts.

        A report from before the latest poll is ignored.
        """
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None or event.reported_at < engine.snapshot_at:
            return
        engine.reported = event
        max_running = event.running + event.waiting
        for slot in engine.slots.values():
            slot.remote = min(slot.remote, max_running)
        engine.unattributed = min(engine.unattributed, max_running)
        engine.running = count_running(engine)


def count_running(engine: cell_state.Engine) -> int:
    """Returns the number of running requests according to the slots."""
    return engine.unattributed + sum(
        slot.running for slot in engine.slots.values()
    )


def _reconcile_state(
    slot: cell_state.Slot, loaded: cell_events.LoadedAdapter
) -> None:
    """Sets the state that an engine reports, unless it is known better."""
    match slot.state:
        case cell_state.SlotState.RESERVED:
            return
        case cell_state.SlotState.MISSING if slot.running:
            return
    ready = cell_state.SlotState.READY
    slot.state = ready if loaded.ready else cell_state.SlotState.LOADING


def _count_remote(
    engine: cell_state.Engine, event: cell_events.UpstreamSnapshot
) -> None:
    tracked = sum(loaded.running for loaded in event.loaded)
    engine.unattributed = max(0, event.running - tracked)
    engine.running = count_running(engine)
