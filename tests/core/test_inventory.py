"""Tests of the records of a cell's engines, slots, loads and grants."""

import random

from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import rows

KEY = rows.AdapterKey("m/a0", "")
OTHER = rows.AdapterKey("m/a1", "")


def make_cell(slots: int = 1, *adapters: rows.AdapterKey) -> cell.Cell:
    """Returns a cell of an entry instance over one engine."""
    made = cell.Cell(
        cell_settings.CellSettings(named_by_key=True, spread=True),
        random.Random(1),
    )
    made.handle(
        cell_events.UpstreamSnapshot(
            upstream="e0",
            incarnation="1",
            slots=slots,
            batch_limit=8,
            loaded=tuple(
                cell_events.LoadedAdapter(key.text, key) for key in adapters
            ),
        ),
        0.0,
    )
    return made


def submit(
    made: cell.Cell, *request_ids: str, key: rows.AdapterKey = KEY
) -> list[cell_actions.CellAction]:
    """Submits requests and returns the actions other than timers."""
    actions = [
        action
        for request_id in request_ids
        for action in made.handle(
            cell_events.Submit(
                request_id=request_id, customer=request_id, key=key
            ),
            0.0,
        )
    ]
    return [a for a in actions if not isinstance(a, cell_actions.WakeAt)]


def grant(made: cell.Cell, *request_ids: str) -> list[cell_actions.Grant]:
    """Submits requests that are granted at once."""
    grants = []
    for action in submit(made, *request_ids):
        assert isinstance(action, cell_actions.Grant), action
        grants.append(action)
    return grants


def load(
    made: cell.Cell, request_id: str, key: rows.AdapterKey = KEY
) -> cell_actions.Load:
    """Submits a request for which an adapter is loaded."""
    (action,) = submit(made, request_id, key=key)
    assert isinstance(action, cell_actions.Load), action
    return action


def turn_away(
    made: cell.Cell, granted: cell_actions.Grant
) -> list[cell_actions.Load]:
    """Ends a request that its engine turned away; returns the loads."""
    actions = made.handle(
        cell_events.GrantEnded(grant_id=granted.grant_id, adapter_missing=True),
        0.0,
    )
    return [a for a in actions if isinstance(a, cell_actions.Load)]


def test_load_ends_after_requests_that_were_turned_away() -> None:
    """Its slot is not dropped before: the end of a load raised a KeyError."""
    made = make_cell(2, KEY)
    first, second = grant(made, "r1", "r2")
    turn_away(made, first)
    loads = [load(made, "r3"), *turn_away(made, second)]
    for loading in loads:
        has_succeeded = loading is loads[-1]
        made.handle(cell_events.LoadEnded(loading.load_id, has_succeeded), 0.0)
    made.check_state()


def test_requests_stay_counted_when_their_adapter_is_loaded_again() -> None:
    """Their ends do not reset the cell: "slots add up to" another number."""
    made = make_cell(2, KEY)
    first, second = grant(made, "r1", "r2")
    turn_away(made, first)
    loading = load(made, "r3")
    made.check_state()
    made.handle(cell_events.LoadEnded(loading.load_id, True), 0.0)
    made.handle(cell_events.GrantEnded(grant_id=second.grant_id), 0.0)
    made.check_state()


def test_missing_adapter_is_loaded_into_its_slot_again() -> None:
    """The load evicts no adapter of a full engine."""
    made = make_cell(2, KEY, OTHER)
    first, _ = grant(made, "r1", "r2")
    turn_away(made, first)
    assert not load(made, "r3").evict


def test_missing_adapter_is_not_loaded_twice_at_a_time() -> None:
    """A load that ends does not end a second one of the same name."""
    made = make_cell(2, KEY)
    first, second = grant(made, "r1", "r2")
    turn_away(made, first)
    load(made, "r3")
    turn_away(made, second)
    assert not submit(made, "r4")
    made.check_state()


def test_failed_load_of_a_pinned_slot_keeps_it() -> None:
    """The requests that use it can end."""
    made = make_cell(2, KEY)
    first, second = grant(made, "r1", "r2")
    turn_away(made, first)
    loading = load(made, "r3")
    made.handle(cell_events.LoadEnded(loading.load_id, False), 0.0)
    made.check_state()
    made.handle(cell_events.GrantEnded(grant_id=second.grant_id), 0.0)
    made.check_state()


def test_failed_load_drops_requests_of_other_instances() -> None:
    """They do not stay counted as running, which reset the cell."""
    made = make_cell(2, OTHER)
    (other,) = submit(made, "r1", key=OTHER)
    assert isinstance(other, cell_actions.Grant)
    loading = load(made, "r2")
    made.handle(
        cell_events.RemoteCountsChanged(
            (cell_events.RemoteCount("e0", "m/a0", 2),)
        ),
        0.0,
    )
    made.handle(cell_events.LoadEnded(loading.load_id, False), 0.0)
    made.handle(cell_events.GrantEnded(grant_id=other.grant_id), 0.0)
    made.check_state()


def test_second_slot_of_an_adapter_serves_when_the_first_is_dropped() -> None:
    """An adapter that is loaded is not loaded once more."""
    made = make_cell(3, KEY)
    event = cell_events.UpstreamSnapshot(
        upstream="e0",
        incarnation="1",
        slots=3,
        batch_limit=8,
        loaded=(
            cell_events.LoadedAdapter(KEY.text, KEY),
            cell_events.LoadedAdapter("second", KEY),
        ),
    )
    made.handle(event, 0.0)
    (first,) = grant(made, "r1")
    turn_away(made, first)
    made.check_state()
    grant(made, "r2")


def test_drained_engine_is_not_kept_for_a_request() -> None:
    """An engine whose drain is cancelled gets requests again."""
    made = make_cell(1)
    made.handle(
        cell_events.UpstreamSnapshot(
            upstream="e1", incarnation="1", slots=1, batch_limit=8
        ),
        0.0,
    )
    alone = cell_events.Submit(
        request_id="r1", customer="c", key=KEY, alone=True
    )
    made.handle(alone, 0.0)
    leaving = cell_events.UpstreamLeaving("e0")
    (other,) = made.handle(leaving, 0.0)[:1]
    assert isinstance(other, cell_actions.Load)
    (granted,) = made.handle(cell_events.LoadEnded(other.load_id, True), 0.0)
    assert isinstance(granted, cell_actions.Grant)
    made.handle(cell_events.GrantEnded(grant_id=granted.grant_id), 0.0)
    made.handle(cell_events.UpstreamLeaving("e0", leaving=False), 0.0)
    made.check_state()


def test_customers_without_slots_are_forgotten() -> None:
    """A slot that many customers use in turn is charged to the last."""
    made = make_cell(1, KEY)
    for number in range(4):
        (granted,) = grant(made, f"r{number}")
        made.handle(cell_events.GrantEnded(grant_id=granted.grant_id), 0.0)
    made.check_state()
