"""Invariants of a cell, checked at every decision."""

import collections
from collections.abc import Collection
from collections.abc import Iterable

from tamaracktide import errors
from tamaracktide import invariants
from tamaracktide.core import cell_events
from tamaracktide.core import cell_state
from tamaracktide.core import fairness
from tamaracktide.core import inventory


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
    lora_name: str,
    evict: str,
    active_loads: int,
    max_in_flight: int,
) -> None:
    """Checks a load before it is recorded.

    Args:
        engine: Engine that is to load the adapter.
        lora_name: Engine-side name that is loaded.
        evict: Engine-side name that is unloaded first, or empty.
        active_loads: Loads in flight in the cell.
        max_in_flight: Limit of the loads in flight in the cell.
    """
    name = f"load of {lora_name} on {engine.name}"
    invariants.check(not engine.leaving, f"{name}: the engine is leaving")
    invariants.check(
        active_loads < max_in_flight,
        f"{name}: {active_loads} loads in flight, limit {max_in_flight}",
    )
    held = engine.slots.get(lora_name)
    if held is not None:
        invariants.check(
            held.state is cell_state.SlotState.MISSING,
            f"{name}: the slot is {held.state.value}",
        )
    occupied = len(engine.slots) - bool(evict)
    invariants.check(
        occupied < engine.slot_limit or held is not None,
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


def check_inventory(inventory_: inventory.Inventory) -> None:
    """Checks the records of a cell's engines, loads and grants.

    Each load in flight has its own slot, which is loading, and each grant pins
    one that exists; so none of them can end without it.
    """
    for engine in inventory_.engines.values():
        check_engine(engine)
        loads = [
            load
            for load in inventory_.loads.values()
            if load.upstream == engine.name
        ]
        _check_loads(engine, loads)
        _check_pins(engine, inventory_.grants.values())
        _check_index(engine, inventory_)
    names = inventory_.engines.keys()
    for load in inventory_.loads.values():
        invariants.check(load.upstream in names, f"{load}: no such engine")
    for grant in inventory_.grants.values():
        invariants.check(grant.upstream in names, f"{grant}: no such engine")
    customers = collections.Counter(
        slot.customer
        for engine in inventory_.engines.values()
        for slot in engine.slots.values()
        if slot.customer
    )
    invariants.check(
        dict(customers) == dict(inventory_.slots_by_customer),
        f"{inventory_.slots_by_customer} are charged with slots, not "
        f"{customers}",
    )


def _check_loads(
    engine: cell_state.Engine, loads: Collection[cell_state.LoadRecord]
) -> None:
    invariants.check(
        engine.pending == len(loads),
        f"{engine.name}: {engine.pending} of {len(loads)} loads counted",
    )
    names = {load.lora_name for load in loads}
    invariants.check(
        len(names) == len(loads), f"{engine.name}: a name is loaded twice"
    )
    for name in names:
        slot = engine.slots.get(name)
        invariants.check(
            slot is not None and slot.state is cell_state.SlotState.LOADING,
            f"{engine.name}: {name} is loaded into {slot}",
        )


def _check_pins(
    engine: cell_state.Engine, grants: Iterable[cell_state.GrantRecord]
) -> None:
    pins = collections.Counter(
        grant.lora_name for grant in grants if grant.upstream == engine.name
    )
    counted = {name: slot.pins for name, slot in engine.slots.items()}
    invariants.check(
        pins == collections.Counter(counted),
        f"{engine.name}: slots are pinned {counted} times, not {pins}",
    )


def _check_index(
    engine: cell_state.Engine, inventory_: inventory.Inventory
) -> None:
    for slot in engine.slots.values():
        if not slot.is_offered:
            continue
        found = inventory_.find_slot(engine, slot.key)
        invariants.check(
            found is not None
            and found.key == slot.key
            and found.is_offered
            and engine.slots.get(found.lora_name) is found,
            f"{engine.name}: {slot.lora_name} is found as {found}",
        )
    held = {slot.key for slot in engine.slots.values() if slot.is_offered}
    for key in inventory_.list_keys(engine):
        invariants.check(
            key in held, f"{engine.name}: {key.text} is found, but not held"
        )


def check_queue(
    queue: fairness.FairQueue, grants: Iterable[cell_state.GrantRecord]
) -> None:
    """Checks the accounts of a cell's customers against its grants."""
    by_customer: dict[str, collections.Counter[str]] = {}
    for grant in grants:
        pins = by_customer.setdefault(grant.customer, collections.Counter())
        pins[grant.lora_name] += 1
    for customer, account in queue.accounts.items():
        pins = by_customer.pop(customer, collections.Counter())
        invariants.check(
            account.pins == pins and account.running == pins.total(),
            f"{customer}: {account.running} requests run on {account.pins}, "
            f"not {pins}",
        )
    invariants.check(not by_customer, f"{by_customer} have no account")
    accounts = queue.accounts.values()
    invariants.check(
        queue.demand == sum(account.demand for account in accounts)
        and queue.slot_demand == sum(a.slot_demand for a in accounts),
        f"demand of {queue.demand} and {queue.slot_demand} slots is wrong",
    )


def check_virtual_time(before: float, after: float) -> None:
    """Checks that virtual time does not decrease."""
    invariants.check(
        before <= after, f"virtual time decreased from {before} to {after}"
    )
