"""Tests of the fair queue between customers."""

import math

import pytest

from tamaracktide.core import cell_events
from tamaracktide.core import cell_state
from tamaracktide.core import fairness
from tamaracktide.core import rows


def add(
    queue: fairness.FairQueue,
    name: str,
    customer: str,
    weight: float = 1.0,
    lead: float = 0.0,
) -> None:
    """Adds a request with a cost of 100 tokens."""
    submit = cell_events.Submit(
        request_id=name,
        customer=customer,
        key=rows.AdapterKey(customer, "1"),
        weight=weight,
        lead=lead,
    )
    queue.add(
        cell_state.Waiter(
            submit=submit,
            submitted_at=0.0,
            sequence=len(queue.waiters),
            cost=100.0,
            expires_at=30.0,
        )
    )


def serve(queue: fairness.FairQueue, count: int) -> list[str]:
    """Serves `count` requests and returns their customers."""
    served = []
    for _ in range(count):
        account = queue.list_backlogged()[0]
        (_, group), *_ = account.list_groups()
        queue.serve(group[0].submit.request_id, account.customer)
        served.append(account.customer)
    return served


def test_backlog_of_one_customer_does_not_delay_another() -> None:
    """A new customer is served next, regardless of another's backlog."""
    queue = fairness.FairQueue()
    for number in range(50):
        add(queue, f"large{number}", "large")
    serve(queue, 10)
    add(queue, "small", "small")
    assert "small" in serve(queue, 2)


def test_service_follows_weights() -> None:
    """Twice the weight receives twice the requests of equal cost."""
    queue = fairness.FairQueue()
    for number in range(60):
        add(queue, f"a{number}", "a", weight=2.0)
        add(queue, f"b{number}", "b", weight=1.0)
    served = serve(queue, 30)
    assert served.count("a") == pytest.approx(20, abs=1)


def test_fair_shares_are_infinite_while_supply_is_sufficient() -> None:
    """No customer is over its share while all demand is met."""
    queue = fairness.FairQueue()
    add(queue, "r", "a")
    assert math.isinf(queue.compute_fair_shares(1, 1).batch_slots)


def test_only_the_customer_over_its_share_is_limited() -> None:
    """Max-min fairness does not limit customers with low demand."""
    queue = fairness.FairQueue()
    for number in range(50):
        add(queue, f"large{number}", "large")
    add(queue, "small", "small")
    fair_shares = queue.compute_fair_shares(10, 10)
    assert fair_shares.batch_slots == pytest.approx(9.0)
    assert fair_shares.is_exceeded_by(queue.accounts["large"])
    assert not fair_shares.is_exceeded_by(queue.accounts["small"])


def test_request_that_was_charged_before_starts_earlier() -> None:
    """Guards against resumed streams that wait behind new requests (LOST)."""
    queue = fairness.FairQueue()
    for number in range(20):
        add(queue, f"a{number}", "a")
        add(queue, f"b{number}", "b")
    serve(queue, 10)
    add(queue, "resumed", "c", lead=100.0)
    assert serve(queue, 1) == ["c"]


def test_lead_is_never_saved_up() -> None:
    """Guards against a customer that claims to resume streams all the time."""
    queue = fairness.FairQueue()
    for number in range(40):
        add(queue, f"a{number}", "a")
        add(queue, f"c{number}", "c", lead=100.0)
    served = serve(queue, 40)
    assert served.count("c") <= served.count("a") + 2
