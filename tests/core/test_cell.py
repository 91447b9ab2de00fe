"""Tests of a cell's decisions through `Cell.handle`."""

import dataclasses
import random

from tamaracktide import result_codes
from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import rows

KEY = rows.AdapterKey("oak", "1")


def make_cell(engines: int = 1, slots: int = 2) -> cell.Cell:
    """Returns a cell with empty engines `e0`, `e1`, and so on."""
    cell_ = cell.Cell(cell_settings.CellSettings(), random.Random(1))
    for number in range(engines):
        cell_.handle(make_snapshot(f"e{number}", slots=slots), 0.0)
    return cell_


def make_snapshot(name: str, slots: int = 2) -> cell_events.UpstreamSnapshot:
    """Returns the state of a newly started engine."""
    return cell_events.UpstreamSnapshot(
        upstream=name, incarnation="1", slots=slots, batch_limit=2
    )


def submit(request_id: str, key: rows.AdapterKey = KEY) -> cell_events.Submit:
    """Returns a small request."""
    return cell_events.Submit(request_id=request_id, customer="c", key=key)


def find(
    actions: list[cell_actions.CellAction], kind: type
) -> list[cell_actions.CellAction]:
    """Returns the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def test_first_request_loads_and_then_runs() -> None:
    """The adapter is loaded first and granted under the same name."""
    cell_ = make_cell()
    (load,) = find(cell_.handle(submit("r1"), 1.0), cell_actions.Load)
    assert isinstance(load, cell_actions.Load)
    assert load.key == KEY
    ended = cell_events.LoadEnded(load.load_id, True)
    (grant,) = find(cell_.handle(ended, 1.25), cell_actions.Grant)
    assert isinstance(grant, cell_actions.Grant)
    assert grant.lora_name == load.lora_name


def test_one_load_serves_all_waiters() -> None:
    """A second request for a loading adapter does not order another load."""
    cell_ = make_cell()
    cell_.handle(submit("r1"), 1.0)
    assert not find(cell_.handle(submit("r2"), 1.0), cell_actions.Load)


def test_no_engine_refuses_at_once() -> None:
    """A cell without engines refuses with a retry delay."""
    cell_ = make_cell(engines=0)
    (refusal,) = find(cell_.handle(submit("r1"), 1.0), cell_actions.Refuse)
    assert isinstance(refusal, cell_actions.Refuse)
    assert refusal.code is result_codes.ResultCode.NO_UPSTREAM
    assert refusal.retry_after_s > 0


def test_engine_with_more_adapters_than_slots_gets_no_load() -> None:
    """No load is ordered on an engine whose slots are overcommitted.

    Loads in flight and adapters that another owner loaded can together exceed
    the engine's adapter slots.
    """
    cell_ = make_cell()
    cell_.handle(cell_events.StoreShareChanged(100.0, 10.0), 0.5)
    for name in ("oak", "ash"):
        cell_.handle(submit(name, rows.AdapterKey(name, "1")), 1.0)
    others = tuple(
        cell_events.LoadedAdapter(f"{name}#9", rows.AdapterKey(name, "1"))
        for name in ("birch", "elm")
    )
    snapshot = dataclasses.replace(
        make_snapshot("e0"), loaded=others, batch_limit=8
    )
    cell_.handle(snapshot, 1.1)
    late = submit("r3", rows.AdapterKey("fir", "1"))
    late = dataclasses.replace(late, customer="d")
    assert not find(cell_.handle(late, 1.2), cell_actions.Load)


def test_cell_whose_engines_all_fail_refuses_at_once() -> None:
    """Requests do not wait while every engine backs off from loads."""
    cell_ = make_cell()
    cell_.handle(cell_events.StoreShareChanged(100.0, 10.0), 0.5)
    now = 1.0
    refused: list[cell_actions.CellAction] = []
    for number in range(12):
        key = rows.AdapterKey(f"a{number}", "1")
        actions = cell_.handle(submit(f"r{number}", key), now)
        while loads := find(actions, cell_actions.Load):
            actions = []
            for load in loads:
                assert isinstance(load, cell_actions.Load)
                ended = cell_events.LoadEnded(load.load_id, False)
                actions += cell_.handle(ended, now)
        refused = find(actions, cell_actions.Refuse)
        now += 5.0
    assert refused
    assert isinstance(refused[-1], cell_actions.Refuse)
    assert refused[-1].code is result_codes.ResultCode.LOAD_FAILED
