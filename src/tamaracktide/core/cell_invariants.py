"""Invariants of a cell, checked at every decision."""

from tamaracktide import errors
from tamaracktide import invariants
from tamaracktide.core import cell_events
from tamaracktide.core import cell_state
from tamaracktide.core import inventory
from tamaracktide.core import rows


def check_grant(
    engine: cell_state.Engine,
    slot: cell_state.Slot,
    submit: cell_events.Submit,
    ended: bool,
) -> None:
    """Checks a grant before it is recorded.

    Args:
        engine: Engine that is to run the request.
        slot: Adapter slot that the request is to use.
        submit: The request.
        ended: Whether the request was refused or granted before.
    """
    name = f"{submit.request_id} on {engine.name}"
    invariants.check(
        slot.key == submit.key,
        f"{name}: slot holds other adapter {slot.key.text}",
    )
    invariants.check(
        engine.slots.get(slot.lora_name) is slot,
        f"{name}: no slot {slot.lora_name}",
    )
    invariants.check(
        slot.state is cell_state.SlotState.READY,
        f"{name}: {slot.lora_name} is {slot.state.value}",
    )
    invariants.check(not engine.leaving, f"{name}: the engine is leaving")
    invariants.check(
        engine.name not in submit.avoid,
        f"{name}: the engine is in its avoid list",
    )
    invariants.check(
        engine.running < engine.batch_limit,
        f"{name}: the batch of {engine.batch_limit} is full",
    )
    alone = submit.alone and engine.running
    invariants.check(
        not alone, f"{name}: must run alone, but {engine.running} others run"
    )
    invariants.check(
        engine.exclusive in ("", submit.request_id),
        f"{name}: the engine is exclusive to {engine.exclusive}",
    )
    invariants.check(not ended, f"{name}: already granted or refused")


def check_load(
    engine: cell_state.Engine,
    key: rows.AdapterKey,
    evict: str,
    active_loads: int,
    max_in_flight: int,
) -> None:
    """Checks a load before it is recorded.

    Args:
        engine: Engine that is to load the adapter.
        key: Adapter and version.
        evict: Engine-side name that is unloaded first, or empty.
        active_loads: Loads in flight in the cell.
        max_in_flight: Limit of the loads in flight in the cell.
    """
    name = f"load of {key.text} on {engine.name}"
    invariants.check(not engine.leaving, f"{name}: the engine is leaving")
    invariants.check(
        active_loads < max_in_flight,
        f"{name}: {active_loads} loads in flight, limit {max_in_flight}",
    )
    occupied = len(engine.slots) - bool(evict)
    invariants.check(
        occupied < engine.slot_limit,
        f"{name}: {occupied} of {engine.slot_limit} slots are occupied",
    )
    if not evict:
        return
    victim = engine.slots.get(evict)
    if victim is None:
        raise errors.InvariantError(f"{name}: no slot {evict} to evict")
    invariants.check(not victim.in_use, f"{name}: {evict} is in use")
    invariants.check(engine.evictable, f"{name}: evictions are suspended")


def check_refusal(request_id: str, granted: bool) -> None:
    """Checks that a request refused as not run was never granted."""
    invariants.check(not granted, f"{request_id}: refused after it was granted")


def check_wait(waiter: cell_state.Waiter, now: float) -> None:
    """Checks that a waiting request has not exceeded its longest wait."""
    invariants.check(
        now < waiter.expires_at,
        f"{waiter.submit.request_id}: waits {now - waiter.submitted_at:.3f} s,"
        f" past its expiry",
    )


def check_engine(engine: cell_state.Engine) -> None:
    """Checks an engine's counters against its slots."""
    running = inventory.count_running(engine)
    invariants.check(
        engine.running == running,
        f"{engine.name}: {engine.running} counted, slots add up to {running}",
    )
    invariants.check(
        all(slot.pins >= 0 for slot in engine.slots.values()),
        f"{engine.name}: negative pins",
    )


def check_virtual_time(before: float, after: float) -> None:
    """Checks that virtual time does not decrease."""
    invariants.check(
        before <= after, f"virtual time decreased from {before} to {after}"
    )
