"""Tests of cells whose engines differ in speed.

Load pattern: engines at 0.6, 1 and 1.6 times the median speed, ten prompts of
1,460 tokens per second, and an adapter that each engine has.
"""

import collections
from collections.abc import Mapping
import random

from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import rows

HOT = rows.AdapterKey("m/hot", "")
SPEEDS = {"s1": 0.6, "s2": 0.6, "e1": 1.0, "e2": 1.0, "f1": 1.6, "f2": 1.6}
FACTORS = {name: 1 / speed for name, speed in SPEEDS.items() if speed != 1.0}
STREAM_S = 2.0


def _make_cell(
    loaded: Mapping[str, tuple[rows.AdapterKey, ...]],
) -> cell.Cell:
    settings = cell_settings.CellSettings(
        loads_per_s=1000.0,
        loads_in_flight=100.0,
        token_s=0.01,
        named_by_key=True,
        spread=True,
        rate_per_replica=1.0,
        max_prefill_backlog_s=0.03,
        demand_tau_s=5.0,
    )
    made = cell.Cell(settings, random.Random(1))
    for name in SPEEDS:
        adapters = tuple(
            cell_events.LoadedAdapter(lora_name=key.adapter, key=key)
            for key in loaded.get(name, ())
        )
        snapshot = cell_events.UpstreamSnapshot(
            upstream=name,
            incarnation="1",
            slots=4,
            batch_limit=48,
            loaded=adapters,
        )
        made.handle(snapshot, 0.0)
    return made


def _play(
    made: cell.Cell, key: rows.AdapterKey, rate: float, seconds: float
) -> tuple[collections.Counter[str], list[str]]:
    """Submits requests; returns the grants and the loads by engine."""
    grants: collections.Counter[str] = collections.Counter()
    loads: list[str] = []
    due: list[tuple[float, cell_events.CellEvent]] = []
    for number in range(int(rate * seconds)):
        now = number / rate
        submit = cell_events.Submit(
            request_id=f"r{number}",
            customer=key.adapter,
            key=key,
            prompt_tokens=1460,
            max_tokens=100,
            deadline=1000.0,
        )
        due.append((now, submit))
    while due:
        due.sort(key=lambda item: item[0])
        now, event = due.pop(0)
        if now > seconds:
            break
        for action in made.handle(event, now):
            match action:
                case cell_actions.Grant():
                    grants[action.upstream] += 1
                    ended = cell_events.GrantEnded(grant_id=action.grant_id)
                    due.append((now + STREAM_S, ended))
                case cell_actions.Load():
                    loads.append(action.upstream)
                    loaded = cell_events.LoadEnded(action.load_id, True)
                    due.append((now + 0.25, loaded))
                case cell_actions.WakeAt(at):
                    due.append((at, cell_events.Tick()))
                case cell_actions.Refuse():
                    raise AssertionError(f"{action} while slots are free")
    return grants, loads


def test_fast_engines_get_most_prompts_and_none_is_idle() -> None:
    """Prompts are read where they pause the streams of others least."""
    everywhere = dict.fromkeys(SPEEDS, (HOT,))
    made = _make_cell(everywhere)
    made.handle(cell_events.PacesChanged(FACTORS), 0.0)
    grants, _ = _play(made, HOT, rate=30.0, seconds=20.0)
    by_speed: collections.Counter[float] = collections.Counter()
    for name, count in grants.items():
        by_speed[SPEEDS[name]] += count
    assert by_speed[1.6] > by_speed[1.0] > by_speed[0.6] > 0
    assert by_speed[1.6] > 2.0 * by_speed[0.6]


def test_even_engines_share_prompts_alike() -> None:
    """Without paces each engine gets a sixth."""
    made = _make_cell(dict.fromkeys(SPEEDS, (HOT,)))
    grants, _ = _play(made, HOT, rate=30.0, seconds=20.0)
    assert max(grants.values()) < 1.3 * min(grants.values())


def test_adapter_that_only_a_slow_engine_has_gets_a_replica() -> None:
    """Half a request per second is enough to load it elsewhere as well."""
    made = _make_cell({"s1": (HOT,)})
    made.handle(cell_events.PacesChanged(FACTORS), 0.0)
    grants, loads = _play(made, HOT, rate=0.5, seconds=60.0)
    assert loads
    assert all(SPEEDS[name] >= 1.0 for name in loads)
    assert sum(grants.values()) - grants["s1"] > 0


def test_rare_adapters_are_loaded_on_faster_engines_more_often() -> None:
    """Each adapter still belongs to one engine, the same at all instances."""
    first: collections.Counter[float] = collections.Counter()
    for number in range(120):
        made = _make_cell({})
        made.handle(cell_events.PacesChanged(FACTORS), 0.0)
        key = rows.AdapterKey(f"m/rare{number}", "")
        _, loads = _play(made, key, rate=1.0, seconds=1.0)
        first[SPEEDS[loads[0]]] += 1
    assert first[1.6] > first[1.0] > first[0.6]
