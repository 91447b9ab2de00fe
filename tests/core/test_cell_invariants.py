"""Mutation tests that show that each invariant of a cell is checked."""

from collections.abc import Callable
from typing import Any

import pytest

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.bench import random_cell
from tamaracktide.core import cell
from tamaracktide.core import cell_events
from tamaracktide.core import cell_state
from tamaracktide.core import fairness
from tamaracktide.core import granting
from tamaracktide.core import inventory
from tamaracktide.core import loading
from tamaracktide.core import placement
from tamaracktide.core import rows

STEPS = 4000
READY = cell_state.SlotState.READY
Placement = tuple[cell_state.Engine, cell_state.Slot]


def run(seed: int = 3) -> None:
    """Runs random events on a cell."""
    random_cell.RandomCell(seed).run(STEPS)


def select_any_adapter(
    self: placement.Placer, waiter: cell_state.Waiter, *_: object
) -> Placement | None:
    """Places a request on any ready slot, whatever its adapter."""
    for engine in self._inventory.list_usable():
        for slot in engine.slots.values():
            if slot.state is READY and engine.free_batch_slots:
                return engine, slot
    return None


def evict_any_slot(
    _: placement.Placer, engine: cell_state.Engine, __: float
) -> placement.Victim | None:
    """Evicts the first slot, even if it is in use."""
    if len(engine.slots) < engine.slot_limit:
        return placement.Victim(0.0, "")
    return placement.Victim(0.0, next(iter(engine.slots)))


def evict_when_suspended(
    _: placement.Placer, engine: cell_state.Engine, __: float
) -> placement.Victim | None:
    """Evicts idle slots although evictions are suspended."""
    if len(engine.slots) < engine.slot_limit:
        return placement.Victim(0.0, "")
    for slot in engine.slots.values():
        if not slot.in_use:
            return placement.Victim(0.0, slot.lora_name)
    return None


def place_on_leaving(
    self: placement.Placer, waiter: cell_state.Waiter, *_: object
) -> Placement | None:
    """Places a request on an engine that is leaving."""
    for engine in self._inventory.engines.values():
        slot = self._inventory.find_slot(engine, waiter.submit.key)
        if engine.leaving and slot is not None and slot.state is READY:
            return engine, slot
    return None


def ignore_full_batch(*_: object) -> bool:
    """Reports a free batch slot on every engine."""
    return True


def refuse_nothing(*_: object) -> None:
    """Lets requests wait past their expiry."""


def refuse_granted(self: cell.Cell, now: float) -> None:
    """Refuses a request that was granted."""
    for request_id in list(self._granter.granted):
        submit = cell_events.Submit(
            request_id=request_id,
            customer="c0",
            key=rows.AdapterKey("a0", "1"),
        )
        self._refuse(submit, result_codes.ResultCode.QUEUE_FULL, now)


def allow_any_load(*_: object) -> bool:
    """Ignores the load budget of the cell."""
    return True


def adopt_reported_count(
    self: inventory.Inventory, event: cell_events.LoadReported
) -> None:
    """Replaces the tracked count of running requests by the reported one."""
    engine = self.engines.get(event.upstream)
    if engine is not None:
        engine.running = event.running


def rewind_virtual_time(
    self: fairness.FairQueue, request_id: str, lora_name: str
) -> cell_state.Waiter:
    """Decreases virtual time at a grant."""
    waiter = self.waiters[request_id]
    self._start(self.accounts[waiter.submit.customer], lora_name)
    self.remove(request_id)
    self.virtual_time -= 1.0
    return waiter


def ignore_exclusivity(
    self: granting.Granter, waiter: cell_state.Waiter
) -> cell_state.Engine | None:
    """Grants a request that must run alone while others are running."""
    for engine in self._parts.inventory.list_usable():
        slot = self._parts.inventory.find_slot(engine, waiter.submit.key)
        if engine.running and slot is not None and slot.state is READY:
            self._make_grant(waiter, engine, slot, 0, 0.0)
    return None


MUTATIONS: list[tuple[object, str, Callable[..., Any], str]] = [
    (placement.Placer, "find_ready", select_any_adapter, "other adapter"),
    (placement.Placer, "find_victim", evict_any_slot, "is in use"),
    (placement.Placer, "find_victim", evict_when_suspended, "suspended"),
    (placement.Placer, "find_ready", place_on_leaving, "is leaving"),
    (placement, "_has_batch_slot", ignore_full_batch, "is full|exclusive to"),
    (cell.Cell, "_refuse_expired", refuse_nothing, "waits"),
    (cell.Cell, "_refuse_expired", refuse_granted, "after it was granted"),
    (loading.LoadBudget, "allows", allow_any_load, "loads in flight"),
    (
        inventory.Inventory,
        "apply_load_report",
        adopt_reported_count,
        "slots add up",
    ),
    (
        fairness.FairQueue,
        "serve",
        rewind_virtual_time,
        "virtual time decreased",
    ),
    (
        granting.Granter,
        "_select_exclusive_engine",
        ignore_exclusivity,
        "others run",
    ),
]


def test_unmutated_cell_keeps_every_invariant() -> None:
    """The same runs pass without a mutation."""
    run()


@pytest.mark.parametrize(("owner", "name", "mutant", "text"), MUTATIONS)
def test_mutation_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    name: str,
    mutant: Callable[..., Any],
    text: str,
) -> None:
    """The check in the cell raises an error that names the violation."""
    monkeypatch.setattr(owner, name, mutant)
    with pytest.raises(errors.InvariantError, match=text):
        run()
