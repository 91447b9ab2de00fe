"""A cell's engines, slots, loads and grants: bookkeeping without policy."""

import collections
from collections.abc import Iterator

from tamaracktide.core import cell_events
from tamaracktide.core import cell_state
from tamaracktide.core import rows


class Inventory:
    """Keeps engines, grants and loads in step with each other.

    Own orders count at once; what engines report corrects them.

    Attributes:
        engines: Engines by instance id.
        grants: Grants that have not ended, by grant id.
        loads: Load orders that have not been answered, by load id.
        slots_by_customer: Slots in use by the customer they count for.
        changes: Grows whenever places or slots may have changed.
    """

    def __init__(self) -> None:
        """Starts without engines."""
        self.engines: dict[str, cell_state.Engine] = {}
        self.grants: dict[str, cell_state.GrantRecord] = {}
        self.loads: dict[str, cell_state.LoadRecord] = {}
        self.slots_by_customer: collections.Counter[str] = collections.Counter()
        self.changes = 0
        self._holders: dict[rows.AdapterKey, dict[str, cell_state.Slot]] = {}

    def list_usable(self) -> list[cell_state.Engine]:
        """Returns the engines that may get new work."""
        return [e for e in self.engines.values() if not e.leaving]

    def find_slots(
        self, key: rows.AdapterKey
    ) -> Iterator[tuple[cell_state.Engine, cell_state.Slot]]:
        """Yields the usable engines that serve or load an adapter."""
        for name, slot in self._holders.get(key, {}).items():
            engine = self.engines[name]
            if not engine.leaving:
                yield engine, slot

    def find_slot(
        self, engine: cell_state.Engine, key: rows.AdapterKey
    ) -> cell_state.Slot | None:
        """Returns the slot of an engine that serves or loads an adapter."""
        return self._holders.get(key, {}).get(engine.name)

    def count_replicas(self, key: rows.AdapterKey) -> int:
        """Returns how many engines serve or load an adapter."""
        return len(self._holders.get(key, {}))

    def withhold(
        self, engine: cell_state.Engine, slot: cell_state.Slot
    ) -> None:
        """Lets no new request use a slot; drops it once it is unused."""
        self.changes += 1
        slot.state = cell_state.SlotState.WITHHELD
        self._unindex(engine, slot)

    def _add_slot(
        self, engine: cell_state.Engine, slot: cell_state.Slot
    ) -> None:
        engine.slots[slot.lora_name] = slot
        if slot.customer:
            self.slots_by_customer[slot.customer] += 1
        if slot.state is not cell_state.SlotState.WITHHELD:
            self._holders.setdefault(slot.key, {}).setdefault(engine.name, slot)

    def _drop_slot(self, engine: cell_state.Engine, lora_name: str) -> None:
        slot = engine.slots.pop(lora_name, None)
        if slot is None:
            return
        if slot.state is cell_state.SlotState.READY:
            engine.note_evicted(slot.key)
        if slot.customer:
            self.slots_by_customer[slot.customer] -= 1
            if not self.slots_by_customer[slot.customer]:
                del self.slots_by_customer[slot.customer]
        self._unindex(engine, slot)

    def _unindex(
        self, engine: cell_state.Engine, slot: cell_state.Slot
    ) -> None:
        holders = self._holders.get(slot.key, {})
        if holders.get(engine.name) is slot:
            del holders[engine.name]
            if not holders:
                del self._holders[slot.key]

    def account_slot(self, slot: cell_state.Slot, customer: str) -> None:
        """Counts a slot for the customer that uses it now."""
        if slot.customer == customer:
            return
        if slot.customer:
            self.slots_by_customer[slot.customer] -= 1
        slot.customer = customer
        self.slots_by_customer[customer] += 1

    def read_engine(
        self, event: cell_events.UpstreamSnapshot, now: float
    ) -> list[cell_state.GrantRecord]:
        """Takes over an engine's exact state.

        Returns:
            The grants that ended because the engine restarted.
        """
        self.changes += 1
        known = self.engines.get(event.upstream)
        if known is not None and known.incarnation == event.incarnation:
            self._correct_engine(known, event, now)
            return []
        ended = self.forget_engine(event.upstream)
        engine = cell_state.Engine(
            name=event.upstream,
            incarnation=event.incarnation,
            slot_limit=event.slots,
            batch_limit=event.batch_limit,
            read_at=now,
            distance_s=event.distance_s,
            accepts_loads=event.accepts_loads,
        )
        self.engines[event.upstream] = engine
        for loaded in event.loaded:
            self._add_reported(engine, loaded, event, now)
        _count_foreign(engine, event)
        return ended

    def _correct_engine(
        self,
        engine: cell_state.Engine,
        event: cell_events.UpstreamSnapshot,
        now: float,
    ) -> None:
        """Corrects the own counts of an engine that did not restart."""
        engine.slot_limit = event.slots
        engine.batch_limit = event.batch_limit
        engine.read_at = now
        engine.distance_s = event.distance_s
        engine.accepts_loads = event.accepts_loads
        reported = {loaded.lora_name: loaded for loaded in event.loaded}
        evicting = {
            load.evicted
            for load in self.loads.values()
            if load.upstream == engine.name
        }
        loading = {
            load.lora_name
            for load in self.loads.values()
            if load.upstream == engine.name
        }
        for name, slot in list(engine.slots.items()):
            if name not in reported and not slot.pins and name not in loading:
                self._drop_slot(engine, name)
        for name, loaded in reported.items():
            if name in engine.slots:
                known = engine.slots[name]
                known.foreign = max(0, loaded.running - known.pins)
                if name not in loading:
                    _correct_state(known, loaded)
            elif name not in evicting:
                self._add_reported(engine, loaded, event, now)
        _count_foreign(engine, event)

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
            foreign=loaded.running,
        )
        _correct_state(slot, loaded)
        if loaded.lora_name in event.withheld:
            slot.state = cell_state.SlotState.WITHHELD
        self._add_slot(engine, slot)

    def forget_engine(self, upstream: str) -> list[cell_state.GrantRecord]:
        """Drops an engine with its loads and grants; returns the grants."""
        self.changes += 1
        engine = self.engines.get(upstream)
        if engine is None:
            return []
        for lora_name in list(engine.slots):
            self._drop_slot(engine, lora_name)
        del self.engines[upstream]
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
        """Turns one foreign request of an engine into a known grant."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None or event.grant_id in self.grants:
            return None
        slot = engine.slots.get(event.lora_name)
        if slot is None:
            return None
        if slot.foreign > 0:
            slot.foreign -= 1
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
        self.account_slot(slot, event.customer)
        return grant

    def start_grant(self, grant: cell_state.GrantRecord) -> None:
        """Takes a place in the batch and pins the slot."""
        self.changes += 1
        engine = self.engines[grant.upstream]
        slot = engine.slots[grant.lora_name]
        slot.pins += 1
        slot.used_at = grant.granted_at
        self.account_slot(slot, grant.customer)
        engine.running += 1
        self.grants[grant.grant_id] = grant

    def end_grant(
        self, event: cell_events.GrantEnded
    ) -> cell_state.GrantRecord | None:
        """Gives the place back and unpins the slot; None if unknown."""
        self.changes += 1
        grant = self.grants.pop(event.grant_id, None)
        if grant is None:
            return None
        engine = self.engines[grant.upstream]
        engine.running = max(0, engine.running - 1)
        if engine.exclusive == grant.request_id:
            engine.exclusive = ""
        slot = engine.slots.get(grant.lora_name)
        if slot is None:
            return grant
        slot.pins -= 1
        if event.adapter_missing:
            self.withhold(engine, slot)
            if not slot.in_use:
                self._drop_slot(engine, slot.lora_name)
        return grant

    def start_load(self, load: cell_state.LoadRecord) -> None:
        """Occupies a slot with the load, in place of the evicted one."""
        self.changes += 1
        engine = self.engines[load.upstream]
        if load.evicted:
            self._drop_slot(engine, load.evicted)
        slot = cell_state.Slot(
            lora_name=load.lora_name,
            key=load.key,
            state=cell_state.SlotState.LOADING,
            customer=load.customer,
            used_at=load.started_at,
        )
        self._add_slot(engine, slot)
        engine.pending += 1
        self.loads[load.load_id] = load

    def end_load(
        self, event: cell_events.LoadEnded, now: float
    ) -> cell_state.LoadRecord | None:
        """Makes a loaded slot ready or frees a failed one; None if stale."""
        self.changes += 1
        load = self.loads.pop(event.load_id, None)
        if load is None:
            return None
        engine = self.engines[load.upstream]
        engine.pending -= 1
        if not event.succeeded:
            self._drop_slot(engine, load.lora_name)
            return load
        slot = engine.slots[load.lora_name]
        slot.state = cell_state.SlotState.READY
        slot.used_at = now
        return load

    def set_leaving(self, event: cell_events.UpstreamLeaving) -> None:
        """Keeps new work from an engine, or lets it get some again."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is not None:
            engine.leaving = event.leaving

    def suspend_evictions(self, event: cell_events.EvictionsSuspended) -> None:
        """Forbids or allows unloading adapters of an engine."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is not None:
            engine.evictions_suspended = event.suspended

    def take_prefix(self, event: cell_events.PrefixReported) -> None:
        """Takes in that an engine cached or dropped a prompt prefix."""
        engine = self.engines.get(event.upstream)
        if engine is not None:
            engine.note_prefix(event.prefix, event.cached)

    def take_report(self, event: cell_events.LoadReported) -> None:
        """Lowers foreign counts that a later report shows to have ended."""
        self.changes += 1
        engine = self.engines.get(event.upstream)
        if engine is None or event.reported_at < engine.read_at:
            return
        engine.reported = event
        most = event.running + event.waiting
        for slot in engine.slots.values():
            slot.foreign = min(slot.foreign, most)
        engine.unattributed = min(engine.unattributed, most)
        engine.running = count_running(engine)


def count_running(engine: cell_state.Engine) -> int:
    """Returns how many requests an engine runs by its slots."""
    pinned = sum(slot.pins + slot.foreign for slot in engine.slots.values())
    return pinned + engine.unattributed


def _correct_state(
    slot: cell_state.Slot, loaded: cell_events.LoadedAdapter
) -> None:
    if slot.state is cell_state.SlotState.WITHHELD:
        return
    ready = cell_state.SlotState.READY
    slot.state = ready if loaded.ready else cell_state.SlotState.LOADING


def _count_foreign(
    engine: cell_state.Engine, event: cell_events.UpstreamSnapshot
) -> None:
    known = sum(loaded.running for loaded in event.loaded)
    engine.unattributed = max(0, event.running - known)
    engine.running = count_running(engine)
