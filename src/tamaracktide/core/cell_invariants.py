"""What must always hold in a cell, checked at every decision."""

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
    """Checks a grant before it takes its place.

    Args:
        engine: Where the request is to run.
        slot: The slot that it is to use.
        submit: The request.
        ended: Whether the request was refused or granted before.
    """
    name = f"{submit.request_id} on {engine.name}"
    invariants.check(
        slot.key == submit.key, f"{name}: other adapter {slot.key.text}"
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
    invariants.check(engine.name not in submit.avoid, f"{name}: to be avoided")
    invariants.check(
        engine.running < engine.batch_limit,
        f"{name}: the batch of {engine.batch_limit} is full",
    )
    alone = submit.alone and engine.running
    invariants.check(not alone, f"{name}: {engine.running} others run")
    invariants.check(
        engine.exclusive in ("", submit.request_id),
        f"{name}: {engine.exclusive} runs alone",
    )
    invariants.check(not ended, f"{name}: was answered before")


def check_load(
    engine: cell_state.Engine,
    key: rows.AdapterKey,
    evict: str,
    under_way: int,
    most_in_flight: int,
) -> None:
    """Checks a load before it takes its slot.

    Args:
        engine: Where the adapter is to be loaded.
        key: Adapter and version.
        evict: Engine-side name that is unloaded first, or empty.
        under_way: Loads under way in the cell.
        most_in_flight: Loads that may be under way in the cell.
    """
    name = f"load of {key.text} on {engine.name}"
    invariants.check(not engine.leaving, f"{name}: the engine is leaving")
    invariants.check(
        under_way < most_in_flight,
        f"{name}: {under_way} under way, at most {most_in_flight}",
    )
    kept = len(engine.slots) - bool(evict)
    invariants.check(
        kept < engine.slot_limit,
        f"{name}: {kept} of {engine.slot_limit} slots are taken",
    )
    if not evict:
        return
    victim = engine.slots.get(evict)
    if victim is None:
        raise errors.InvariantError(f"{name}: no slot {evict} to evict")
    invariants.check(not victim.in_use, f"{name}: {evict} is in use")
    invariants.check(engine.evictable, f"{name}: evictions are suspended")


def check_refusal(request_id: str, granted: bool) -> None:
    """Checks that a request that is refused as not run was not granted."""
    invariants.check(not granted, f"{request_id}: refused after it was granted")


def check_wait(waiter: cell_state.Waiter, now: float) -> None:
    """Checks that a waiting request is not past its longest wait."""
    invariants.check(
        now < waiter.expires_at,
        f"{waiter.submit.request_id}: waits {now - waiter.submitted_at:.3f} s",
    )


def check_engine(engine: cell_state.Engine) -> None:
    """Checks an engine's counts against its slots."""
    running = inventory.count_running(engine)
    invariants.check(
        engine.running == running,
        f"{engine.name}: counts {engine.running}, slots say {running}",
    )
    invariants.check(
        all(slot.pins >= 0 for slot in engine.slots.values()),
        f"{engine.name}: negative pins",
    )


def check_virtual_time(before: float, after: float) -> None:
    """Checks that virtual time does not go back."""
    invariants.check(before <= after, f"virtual time from {before} to {after}")
