"""Tests of the window of requests to an upstream that has just started.

Load pattern: sixty instances that all see an idle upstream of six slots at the
same moment, a few milliseconds after its return.
"""

import random

import pytest

from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import ramps
from tamaracktide.core import rendezvous
from tamaracktide.core import rows

KEY = rows.AdapterKey("plain", "")


def _make_ramps(
    instances: int, batch_limit: int
) -> list[tuple[str, ramps.Ramp]]:
    names = [f"n{number}" for number in range(instances)]
    return [
        (name, ramps.Ramp(batch_limit, rendezvous.find_rank("u/1", name), 0.0))
        for name in names
    ]


@pytest.mark.parametrize("instances", [13, 60, 330])
@pytest.mark.parametrize("batch_limit", [6, 48])
def test_all_instances_together_begin_with_few_requests(
    instances: int, batch_limit: int
) -> None:
    """They send a part of the batch, though they know nothing of each other."""
    known = _make_ramps(instances, batch_limit)
    sent = sum(ramp.find_own_limit(instances) for _, ramp in known)
    assert 0 < sent <= batch_limit


def test_other_instances_begin_after_another_start() -> None:
    """The instances that send first differ from start to start."""
    names = [f"n{number}" for number in range(60)]
    first = {
        min(names, key=lambda name: rendezvous.find_rank(f"u/{start}", name))
        for start in range(10)
    }
    assert len(first) > 5


def test_window_follows_the_answers() -> None:
    """It doubles when all its requests are answered well, and halves if not."""
    ramp = ramps.Ramp(64, 0.0, 0.0)
    start = ramp.window
    for _ in range(ramp.find_own_limit(1)):
        ramp.record_answer(1, 0.1, is_good=True)
    assert ramp.window == pytest.approx(2 * start, rel=0.4)
    grown = ramp.window
    ramp.record_answer(1, 0.2, is_good=False)
    assert ramp.window == pytest.approx(grown / 2)
    for _ in range(20):
        ramp.record_answer(1, 0.3, is_good=False)
    assert ramp.window == ramps.MIN_WINDOW


def test_upstream_is_not_left_idle() -> None:
    """Without evidence the window doubles each second until it ends."""
    ramp = ramps.Ramp(48, 0.99, 0.0)
    now = 0.0
    while not ramp.has_ended:
        now += 0.25
        ramp.update(0, now)
    assert now <= 5.0


def test_window_grows_to_what_others_run_there() -> None:
    """Reports of other instances are evidence as well."""
    ramp = ramps.Ramp(48, 0.0, 0.0)
    ramp.update(30, 0.1)
    assert ramp.window == 30.0


def _make_cell(names: tuple[str, ...]) -> cell.Cell:
    made = cell.Cell(
        cell_settings.CellSettings(named_by_key=True, spread=True),
        random.Random(1),
    )
    loaded = (cell_events.LoadedAdapter(lora_name="plain", key=KEY),)
    for name in names:
        made.handle(
            cell_events.UpstreamSnapshot(
                upstream=name,
                incarnation="1",
                slots=1,
                batch_limit=16,
                loaded=loaded,
            ),
            0.0,
        )
    return made


def _submit(made: cell.Cell, count: int) -> dict[str, int]:
    grants: dict[str, int] = {}
    for number in range(count):
        submit = cell_events.Submit(
            request_id=f"r{number}",
            customer="c",
            key=KEY,
            prompt_tokens=0,
            max_tokens=1,
            deadline=100.0,
        )
        for action in made.handle(submit, 0.0):
            if isinstance(action, cell_actions.Grant):
                grants[action.upstream] = grants.get(action.upstream, 0) + 1
    return grants


def test_cell_sends_a_returned_upstream_few_requests_at_first() -> None:
    """The others take the rest; good answers open it."""
    made = _make_cell(("a", "b", "returned"))
    made.handle(cell_events.RampStarted("returned", 0.0, 13), 0.0)
    grants = _submit(made, 20)
    assert grants["returned"] == 1
    assert grants["a"] + grants["b"] == 19


def test_nothing_is_held_back_if_most_upstreams_have_started() -> None:
    """After a restart of all, requests are not refused for the windows."""
    made = _make_cell(("a", "b", "c"))
    for name in ("a", "b"):
        made.handle(cell_events.RampStarted(name, 0.99, 13), 0.0)
    grants = _submit(made, 30)
    assert sum(grants.values()) == 30
    assert min(grants.values()) > 5
