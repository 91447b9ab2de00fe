"""Tests of the load budget and of the back-off after failed loads."""

from tamaracktide.core import loading
from tamaracktide.core import rows

KEY = rows.AdapterKey("oak", "1")


def test_budget_limits_rate_and_loads_in_flight() -> None:
    """The budget limits both the loads in flight and the loads per second."""
    budget = loading.LoadBudget(loads_per_s=2.0, in_flight=2.0)
    assert not budget.allows(active_loads=2, now=0.0)
    for _ in range(2):
        assert budget.allows(active_loads=0, now=0.0)
        budget.acquire()
    assert not budget.allows(active_loads=0, now=0.0)
    assert budget.allows(active_loads=0, now=0.5)


def test_failed_load_blocks_only_its_engine() -> None:
    """The engine that failed is blocked; another is not."""
    backoff = loading.Backoff()
    backoff.add_failure(KEY, "e0", 0.0)
    assert backoff.blocks(KEY, "e0", 0.1)
    assert not backoff.blocks(KEY, "e1", 0.1)


def test_consecutive_failures_double_the_backoff() -> None:
    """Each failure of an adapter doubles the delay before the next load."""
    backoff = loading.Backoff()
    for _ in range(4):
        backoff.add_failure(KEY, "e0", 0.0)
    assert backoff.find_retry(KEY) == 4 * loading.INITIAL_BACKOFF_S


def test_engine_that_fails_every_load_is_blocked() -> None:
    """After consecutive failures, an engine gets no loads of any adapter."""
    backoff = loading.Backoff()
    for number in range(loading.MAX_ENGINE_FAILURES):
        backoff.add_failure(rows.AdapterKey(str(number), "1"), "e0", 0.0)
    assert backoff.blocks(KEY, "e0", 0.1)
