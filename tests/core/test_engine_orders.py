"""Orders to an engine: never more than its slots, late ones harmless."""

import dataclasses
import random

import pytest

from tamaracktide.core import engine_orders
from tamaracktide.core import upstream_entries

SLOTS = 4
MODEL = "m"


def _make_report(
    orders: int, adapters: dict[str, int], started_ms: int = 1
) -> upstream_entries.UpstreamReport:
    return upstream_entries.UpstreamReport(
        started_ms=started_ms,
        orders=orders,
        models={MODEL: adapters},
        coming={},
    )


def _make(adapters: dict[str, int] | None = None) -> engine_orders.EngineOrders:
    orders = engine_orders.EngineOrders("e", SLOTS, 0.25)
    orders.restart(1)
    assert orders.apply_report(_make_report(0, adapters or {}), 0.0)
    return orders


def _wish(
    name: str, version: int = 0, load_request_id: str = ""
) -> engine_orders.LoadRequest:
    return engine_orders.LoadRequest(
        load_request_id=load_request_id or f"w-{name}",
        model=MODEL,
        adapter=name,
        version=version,
    )


def _find(
    orders: engine_orders.EngineOrders,
    now: float,
    used: frozenset[str] = frozenset(),
) -> tuple[engine_orders.Order | None, list[engine_orders.LoadResult]]:
    return orders.find_next(
        lambda _, adapter: float(ord(adapter[-1])),
        lambda _, adapter: adapter in used,
        now,
    )


def test_load_is_answered_with_the_time_it_is_ready() -> None:
    """An accepted load fulfils its wish at the expected end."""
    orders = _make()
    assert orders.wish(_wish("a"), 10.0) is None
    order, _ = _find(orders, 10.0)
    assert order is not None
    assert order.after == 0
    answers = orders.record_outcome(
        order, engine_orders.Outcome.ACCEPTED, 10.0, 0.25
    )
    ready_at = 10.25 + engine_orders.READY_MARGIN_S
    assert len(answers) == 1
    assert isinstance(answers[0], engine_orders.Accepted)
    assert answers[0].ready_at == pytest.approx(ready_at)
    assert orders.orders == 1


def test_full_engine_unloads_what_is_missed_least() -> None:
    """A load into full slots begins with the least wanted adapter."""
    orders = _make({"a": 1, "b": 1, "c": 1, "d": 1})
    orders.wish(_wish("x"), 10.0)
    order, _ = _find(orders, 10.0, frozenset({"a"}))
    assert order is not None
    assert order.operation is engine_orders.Operation.UNLOAD
    assert order.adapter == "b"


def test_new_adapter_is_kept_for_those_that_wait_for_it() -> None:
    """An adapter that was just loaded is not the next one unloaded.

    Unloading it waits for the runs that it was loaded for, and holds up all
    other orders: half of a day's loads failed that way.
    """
    orders = _make({"b": 1, "c": 1, "d": 1})
    orders.wish(_wish("a"), 10.0)
    order, _ = _find(orders, 10.0)
    assert order is not None
    orders.record_outcome(order, engine_orders.Outcome.ACCEPTED, 10.0, 0.25)
    orders.wish(_wish("x"), 10.5)
    order, _ = _find(orders, 10.5)
    assert order is not None
    assert order.adapter == "b"


def test_adapter_that_was_used_is_unloaded_once_it_is_not() -> None:
    """Load pattern: short requests for many adapters; slots are scarce.

    A slot that is kept for a second after its only run ended is missing.
    """
    orders = _make({"b": 1, "c": 1, "d": 1})
    orders.wish(_wish("a"), 10.0)
    order, _ = _find(orders, 10.0)
    assert order is not None
    orders.record_outcome(order, engine_orders.Outcome.ACCEPTED, 10.0, 0.1)
    orders.wish(_wish("x"), 10.3)
    order, answers = _find(orders, 10.3, frozenset("abcd"))
    assert order is None
    assert answers
    orders.wish(_wish("x"), 10.5)
    order, _ = _find(orders, 10.5, frozenset("bcd"))
    assert order is not None
    assert order.adapter == "a"


def test_wish_is_refused_while_every_slot_is_in_use() -> None:
    """Nothing is unloaded under a running request."""
    orders = _make({"a": 1, "b": 1, "c": 1, "d": 1})
    orders.wish(_wish("x"), 10.0)
    order, answers = _find(orders, 10.0, frozenset("abcd"))
    assert order is None
    assert isinstance(answers[0], engine_orders.Rejected)
    assert answers[0].declined


def test_older_version_in_use_is_not_replaced_here() -> None:
    """Another engine has the new version sooner than a busy one."""
    orders = _make({"a": 1})
    orders.wish(_wish("a", version=2), 10.0)
    order, answers = _find(orders, 10.0, frozenset({"a"}))
    assert order is None
    assert isinstance(answers[0], engine_orders.Rejected)
    orders.wish(_wish("a", version=2), 10.0)
    order, _ = _find(orders, 10.0)
    assert order is not None
    assert (order.operation, order.version) == (
        engine_orders.Operation.LOAD,
        2,
    )


def test_report_of_fewer_orders_is_believed_once_it_cannot_be_old() -> None:
    """An unload that still waits for its runs is not counted by the engine.

    Reports were refused as too old until its runs had ended; the engine got
    no loads for three seconds.
    """
    orders = _make({"a": 1, "b": 1, "c": 1, "d": 1})
    orders.wish(_wish("x"), 10.0)
    order, _ = _find(orders, 10.0)
    assert order is not None
    orders.record_outcome(order, engine_orders.Outcome.ACCEPTED, 10.0, 0.0)
    report = _make_report(0, {"a": 1, "b": 1, "c": 1, "d": 1})
    assert not orders.apply_report(report, 10.1)
    assert orders.apply_report(report, 10.0 + engine_orders.LAG_S)
    assert orders.orders == 0


def test_restart_forgets_everything() -> None:
    """A newer lifetime replaces what was known; an older one is ignored."""
    orders = _make({"a": 1})
    assert orders.apply_report(_make_report(0, {}, started_ms=5), 1.0)
    assert orders.adapters == {MODEL: {}}
    assert not orders.apply_report(_make_report(9, {"z": 1}), 2.0)


@dataclasses.dataclass
class _Late:
    order: engine_orders.Order
    at: float


class _Engine:
    """An engine that checks preconditions and has a number of slots."""

    def __init__(self) -> None:
        self.count = 0
        self.adapters: dict[str, int] = {}

    def carry_out(self, order: engine_orders.Order) -> engine_orders.Outcome:
        if order.after != self.count:
            return engine_orders.Outcome.CONFLICT
        self.count += 1
        if order.operation is engine_orders.Operation.UNLOAD:
            self.adapters.pop(order.adapter, None)
            return engine_orders.Outcome.IN_EFFECT
        self.adapters[order.adapter] = 1
        assert len(self.adapters) <= SLOTS, "the engine crashes"
        return engine_orders.Outcome.ACCEPTED


@pytest.mark.parametrize("seed", range(40))
def test_lost_and_late_orders_never_overfill_an_engine(seed: int) -> None:
    """Whatever is lost, late or repeated, the slots are never exceeded."""
    rng = random.Random(seed)
    engine, orders = _Engine(), _make()
    late: list[_Late] = []
    now = 0.0
    for _ in range(300):
        now += rng.uniform(0.0, 0.3)
        for one in [one for one in late if one.at <= now]:
            late.remove(one)
            engine.carry_out(one.order)
        orders.wish(_wish(rng.choice("abcdefghij")), now)
        if not orders.is_state_known:
            report = _make_report(engine.count, dict(engine.adapters))
            orders.apply_report(report, now)
        order, _ = _find(orders, now)
        if order is None:
            continue
        if rng.random() < 0.3:
            if rng.random() < 0.7:
                late.append(_Late(order, now + rng.uniform(0.0, 8.0)))
            outcome = engine_orders.Outcome.UNCERTAIN
        else:
            outcome = engine.carry_out(order)
        orders.record_outcome(order, outcome, now, 0.25)
