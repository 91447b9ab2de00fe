"""Each invariant is shown to be checked: a seeded mutation breaks it."""

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
Place = tuple[cell_state.Engine, cell_state.Slot]


def run(seed: int = 3) -> None:
    """Runs random events against a cell."""
    random_cell.RandomCell(seed).run(STEPS)


def take_any_adapter(
    self: placement.Placer, waiter: cell_state.Waiter, *_: object
) -> Place | None:
    """Places a request on any loaded adapter."""
    for engine in self._inventory.list_usable():
        for slot in engine.slots.values():
            if slot.state is READY and engine.free_places:
                return engine, slot
    return None


def evict_any_slot(
    _: placement.Placer, engine: cell_state.Engine, __: float
) -> placement.Victim | None:
    """Evicts the first slot, used or not."""
    if len(engine.slots) < engine.slot_limit:
        return placement.Victim(0.0, "")
    return placement.Victim(0.0, next(iter(engine.slots)))


def evict_when_suspended(
    _: placement.Placer, engine: cell_state.Engine, __: float
) -> placement.Victim | None:
    """Evicts unused slots although evictions are suspended."""
    if len(engine.slots) < engine.slot_limit:
        return placement.Victim(0.0, "")
    for slot in engine.slots.values():
        if not slot.in_use:
            return placement.Victim(0.0, slot.lora_name)
    return None


def place_on_leaving(
    self: placement.Placer, waiter: cell_state.Waiter, *_: object
) -> Place | None:
    """Places a request on an engine that is leaving."""
    for engine in self._inventory.engines.values():
        slot = self._inventory.find_slot(engine, waiter.submit.key)
        if engine.leaving and slot is not None and slot.state is READY:
            return engine, slot
    return None


def place_in_full_batch(*_: object) -> bool:
    """Takes every engine to have a free place."""
    return True


def refuse_nothing(*_: object) -> None:
    """Lets waiting requests wait for ever."""


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
    """Ignores the cell's share of the store."""
    return True


def miscount(
    self: inventory.Inventory, event: cell_events.LoadReported
) -> None:
    """Takes over the reported count in place of the own one."""
    engine = self.engines.get(event.upstream)
    if engine is not None:
        engine.running = event.running


def turn_back(
    self: fairness.FairQueue, request_id: str, lora_name: str
) -> cell_state.Waiter:
    """Sets virtual time back with a grant."""
    waiter = self.waiters[request_id]
    self._start(self.accounts[waiter.submit.customer], lora_name)
    self.remove(request_id)
    self.virtual_time -= 1.0
    return waiter


def forget_exclusive(
    self: granting.Granter, waiter: cell_state.Waiter
) -> cell_state.Engine | None:
    """Takes an idle engine for granted even if others run on it."""
    for engine in self._parts.inventory.list_usable():
        slot = self._parts.inventory.find_slot(engine, waiter.submit.key)
        if engine.running and slot is not None and slot.state is READY:
            self._make_grant(waiter, engine, slot, 0, 0.0)
    return None


MUTATIONS: list[tuple[object, str, Callable[..., Any], str]] = [
    (placement.Placer, "find_ready", take_any_adapter, "other adapter"),
    (placement.Placer, "find_victim", evict_any_slot, "is in use"),
    (placement.Placer, "find_victim", evict_when_suspended, "suspended"),
    (placement.Placer, "find_ready", place_on_leaving, "is leaving"),
    (placement, "_has_place", place_in_full_batch, "is full|runs alone"),
    (cell.Cell, "_refuse_expired", refuse_nothing, "waits"),
    (cell.Cell, "_refuse_expired", refuse_granted, "after it was granted"),
    (loading.LoadBudget, "allows", allow_any_load, "under way"),
    (inventory.Inventory, "take_report", miscount, "slots say"),
    (fairness.FairQueue, "serve", turn_back, "virtual time"),
    (granting.Granter, "_keep_engine_free", forget_exclusive, "others run"),
]


def test_unmutated_cell_keeps_every_invariant() -> None:
    """The runs that the mutations break pass without them."""
    run()


@pytest.mark.parametrize(("owner", "name", "mutant", "text"), MUTATIONS)
def test_mutation_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    name: str,
    mutant: Callable[..., Any],
    text: str,
) -> None:
    """The cell's own check raises and names what is broken."""
    monkeypatch.setattr(owner, name, mutant)
    with pytest.raises(errors.InvariantError, match=text):
        run()
