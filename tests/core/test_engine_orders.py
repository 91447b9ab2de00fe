"""Tests that orders respect the adapter slots and late orders are harmless."""

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


def _make_orders(
    adapters: dict[str, int] | None = None,
) -> engine_orders.EngineOrders:
    orders = engine_orders.EngineOrders("e", SLOTS, 0.25)
    orders.restart(1)
    assert orders.apply_report(_make_report(0, adapters or {}), 0.0)
    return orders


def _make_request(
    name: str, version: int = 0, load_request_id: str = ""
) -> engine_orders.LoadRequest:
    return engine_orders.LoadRequest(
        load_request_id=load_request_id or f"w-{name}",
        model=MODEL,
        adapter=name,
        version=version,
    )


def _find_next(
    orders: engine_orders.EngineOrders,
    now: float,
    adapters_in_use: frozenset[str] = frozenset(),
) -> tuple[engine_orders.Order | None, list[engine_orders.LoadResult]]:
    return orders.find_next(
        lambda _, adapter: float(ord(adapter[-1])),
        lambda _, adapter: adapter in adapters_in_use,
        now,
    )


def test_accepted_load_reports_its_ready_time() -> None:
    """An accepted load reports the expected end to its load request."""
    orders = _make_orders()
    assert orders.submit(_make_request("a"), 10.0) is None
    order, _ = _find_next(orders, 10.0)
    assert order is not None
    assert order.after == 0
    results = orders.record_outcome(
        order, engine_orders.Outcome.ACCEPTED, 10.0, 0.25
    )
    ready_at = 10.25 + engine_orders.READY_MARGIN_S
    assert len(results) == 1
    assert isinstance(results[0], engine_orders.Accepted)
    assert results[0].ready_at == pytest.approx(ready_at)
    assert orders.orders == 1


def test_full_engine_unloads_the_least_requested_adapter() -> None:
    """A load into full slots first unloads the least requested adapter."""
    orders = _make_orders({"a": 1, "b": 1, "c": 1, "d": 1})
    orders.submit(_make_request("x"), 10.0)
    order, _ = _find_next(orders, 10.0, frozenset({"a"}))
    assert order is not None
    assert order.operation is engine_orders.Operation.UNLOAD
    assert order.adapter == "b"


def test_new_adapter_is_not_unloaded_before_its_first_use() -> None:
    """A newly loaded adapter is not the next one to be unloaded.

    Its unload would wait for the requests that it was loaded for and block all
    other orders. In one day, half of all loads failed that way.
    """
    orders = _make_orders({"b": 1, "c": 1, "d": 1})
    orders.submit(_make_request("a"), 10.0)
    order, _ = _find_next(orders, 10.0)
    assert order is not None
    orders.record_outcome(order, engine_orders.Outcome.ACCEPTED, 10.0, 0.25)
    orders.submit(_make_request("x"), 10.5)
    order, _ = _find_next(orders, 10.5)
    assert order is not None
    assert order.adapter == "b"


def test_used_adapter_is_unloaded_once_idle() -> None:
    """A used adapter is unloaded before its minimum residency has passed.

    With short requests for many adapters and few slots, loads would be declined
    if each slot stayed occupied for a second after its only request ended.
    """
    orders = _make_orders({"b": 1, "c": 1, "d": 1})
    orders.submit(_make_request("a"), 10.0)
    order, _ = _find_next(orders, 10.0)
    assert order is not None
    orders.record_outcome(order, engine_orders.Outcome.ACCEPTED, 10.0, 0.1)
    orders.submit(_make_request("x"), 10.3)
    order, results = _find_next(orders, 10.3, frozenset("abcd"))
    assert order is None
    assert results
    orders.submit(_make_request("x"), 10.5)
    order, _ = _find_next(orders, 10.5, frozenset("bcd"))
    assert order is not None
    assert order.adapter == "a"


def test_load_request_is_declined_while_every_slot_is_in_use() -> None:
    """No adapter is unloaded while a request uses it."""
    orders = _make_orders({"a": 1, "b": 1, "c": 1, "d": 1})
    orders.submit(_make_request("x"), 10.0)
    order, results = _find_next(orders, 10.0, frozenset("abcd"))
    assert order is None
    assert isinstance(results[0], engine_orders.Rejected)
    assert results[0].declined


def test_full_engine_unloads_nothing_while_it_keeps_its_adapters() -> None:
    """Guards against new requests that take the slots of awaited streams."""
    orders = _make_orders({"a": 1, "b": 1, "c": 1, "d": 1})
    orders.keeps_adapters = True
    assert orders.submit(_make_request("e"), 10.0) is None
    order, results = _find_next(orders, 10.0)
    assert order is None
    assert isinstance(results[0], engine_orders.Rejected)
    assert results[0].declined
    assert orders.submit(_make_request("a", version=2), 10.0) is None
    order, _ = _find_next(orders, 10.0)
    assert order is not None
    assert order.adapter == "a"


def test_older_version_in_use_is_not_replaced_here() -> None:
    """Another engine has the new version sooner than a busy engine."""
    orders = _make_orders({"a": 1})
    orders.submit(_make_request("a", version=2), 10.0)
    order, results = _find_next(orders, 10.0, frozenset({"a"}))
    assert order is None
    assert isinstance(results[0], engine_orders.Rejected)
    orders.submit(_make_request("a", version=2), 10.0)
    order, _ = _find_next(orders, 10.0)
    assert order is not None
    assert (order.operation, order.version) == (
        engine_orders.Operation.LOAD,
        2,
    )


def test_report_of_fewer_orders_is_applied_once_it_cannot_be_stale() -> None:
    """The engine does not count an unload that waits for running requests.

    If such reports are rejected as stale until the requests have ended, the
    engine gets no loads meanwhile (three seconds in one case).
    """
    orders = _make_orders({"a": 1, "b": 1, "c": 1, "d": 1})
    orders.submit(_make_request("x"), 10.0)
    order, _ = _find_next(orders, 10.0)
    assert order is not None
    orders.record_outcome(order, engine_orders.Outcome.ACCEPTED, 10.0, 0.0)
    report = _make_report(0, {"a": 1, "b": 1, "c": 1, "d": 1})
    assert not orders.apply_report(report, 10.1)
    assert orders.apply_report(report, 10.0 + engine_orders.MAX_REPORT_AGE_S)
    assert orders.orders == 0


def test_restart_discards_the_state() -> None:
    """A newer incarnation replaces the state; older reports are stale."""
    orders = _make_orders({"a": 1})
    assert orders.apply_report(_make_report(0, {}, started_ms=5), 1.0)
    assert orders.adapters == {MODEL: {}}
    assert not orders.apply_report(_make_report(9, {"z": 1}), 2.0)


@dataclasses.dataclass
class _LateOrder:
    order: engine_orders.Order
    at: float


class _Engine:
    """An engine with limited slots that checks preconditions."""

    def __init__(self) -> None:
        self.accepted_orders = 0
        self.adapters: dict[str, int] = {}

    def execute(self, order: engine_orders.Order) -> engine_orders.Outcome:
        if order.after != self.accepted_orders:
            return engine_orders.Outcome.CONFLICT
        self.accepted_orders += 1
        if order.operation is engine_orders.Operation.UNLOAD:
            self.adapters.pop(order.adapter, None)
            return engine_orders.Outcome.IN_EFFECT
        self.adapters[order.adapter] = 1
        assert len(self.adapters) <= SLOTS, (
            "an engine crashes beyond its adapter slots"
        )
        return engine_orders.Outcome.ACCEPTED


@pytest.mark.parametrize("seed", range(40))
def test_lost_and_late_orders_never_overfill_an_engine(seed: int) -> None:
    """Lost, late or repeated orders never exceed the adapter slots."""
    rng = random.Random(seed)
    engine, orders = _Engine(), _make_orders()
    late_orders: list[_LateOrder] = []
    now = 0.0
    for _ in range(300):
        now += rng.uniform(0.0, 0.3)
        for late in [late for late in late_orders if late.at <= now]:
            late_orders.remove(late)
            engine.execute(late.order)
        orders.submit(_make_request(rng.choice("abcdefghij")), now)
        if not orders.is_state_known:
            report = _make_report(engine.accepted_orders, dict(engine.adapters))
            orders.apply_report(report, now)
        order, _ = _find_next(orders, now)
        if order is None:
            continue
        if rng.random() < 0.3:
            if rng.random() < 0.7:
                late_orders.append(
                    _LateOrder(order, now + rng.uniform(0.0, 8.0))
                )
            outcome = engine_orders.Outcome.UNCERTAIN
        else:
            outcome = engine.execute(order)
        orders.record_outcome(order, outcome, now, 0.25)
