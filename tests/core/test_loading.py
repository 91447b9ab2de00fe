"""Tests of the store's share and of backoff after failed loads."""

from tamaracktide.core import loading
from tamaracktide.core import rows

KEY = rows.AdapterKey("oak", "1")


def test_budget_limits_rate_and_loads_in_flight() -> None:
    """Neither more loads at once nor more a second than the share."""
    budget = loading.LoadBudget(loads_per_s=2.0, in_flight=2.0)
    assert not budget.allows(under_way=2, now=0.0)
    for _ in range(2):
        assert budget.allows(under_way=0, now=0.0)
        budget.take()
    assert not budget.allows(under_way=0, now=0.0)
    assert budget.allows(under_way=0, now=0.5)


def test_failed_load_goes_elsewhere_first() -> None:
    """The engine that failed is blocked; another one is not."""
    backoff = loading.Backoff()
    backoff.add_failure(KEY, "e0", 0.0)
    assert backoff.blocks(KEY, "e0", 0.1)
    assert not backoff.blocks(KEY, "e1", 0.1)


def test_failures_in_a_row_wait_longer() -> None:
    """Each failure of an adapter doubles the time to the next try."""
    backoff = loading.Backoff()
    for _ in range(4):
        backoff.add_failure(KEY, "e0", 0.0)
    assert backoff.find_retry(KEY) == 4 * loading.FIRST_BACKOFF_S


def test_engine_that_fails_every_load_is_left_alone() -> None:
    """An engine gets no loads of any adapter after failures in a row."""
    backoff = loading.Backoff()
    for number in range(loading.ENGINE_FAILURES):
        backoff.add_failure(rows.AdapterKey(str(number), "1"), "e0", 0.0)
    assert backoff.blocks(KEY, "e0", 0.1)
