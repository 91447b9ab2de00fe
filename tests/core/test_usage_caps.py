"""Tests of usage caps over all instances.

Load patterns: a workspace that sends several times its usual while the others
send as always; requests of 1,500 tokens against a cap of a few requests per
second over thirty instances; instances that are lost, cut off and restarted
meanwhile.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import usage_cluster

from tamaracktide.core import usage_caps
from tamaracktide.core import workspaces

TOLERANCE = usage_caps.Tolerance(window_s=8.0, fraction=0.1, slack=11_000.0)
REQUEST = 1_540.0
MIN_USED_FRACTION = 0.9
"""Part of a cap that is used at least while there is demand and no fault."""


def make_cap(rate: float) -> workspaces.Cap:
    """Returns a cap in tokens with a burst of one second."""
    return workspaces.Cap(
        rate_per_s=rate, burst=rate, unit=workspaces.Unit.TOKENS
    )


def find_bound(cap: workspaces.Cap) -> float:
    """Returns the most tokens that a window may have."""
    allowed = cap.rate_per_s * TOLERANCE.window_s + cap.burst
    return allowed * (1.0 + TOLERANCE.fraction) + TOLERANCE.slack


def run_hot(
    rate: float, instances: int, times: float, uneven: float = 0.0
) -> usage_cluster.UsageCluster:
    """Offers half of a cap, then some times the cap, then half of it again."""
    cluster = usage_cluster.UsageCluster(
        make_cap(rate), TOLERANCE, instances, seed=1
    )
    cluster.run(6.0, rate / 2, REQUEST, uneven)
    cluster.run(12.0, rate * times, REQUEST, uneven)
    cluster.run(6.0, rate / 2, REQUEST, uneven)
    return cluster


@pytest.mark.parametrize("uneven", [0.0, 0.7])
@pytest.mark.parametrize("times", [1.5, 4.2])
@pytest.mark.parametrize("rate", [120_000.0, 12_000.0, 2_700.0])
@pytest.mark.parametrize("instances", [4, 30])
def test_hot_workspace_keeps_its_cap_and_gets_it(
    rate: float, instances: int, times: float, uneven: float
) -> None:
    """The bound holds in every window; nine tenths of the cap are used.

    Usage is compared in whole requests, which the smallest cap has few of.
    """
    cluster = run_hot(rate, instances, times, uneven)
    used = cluster.find_largest_window(TOLERANCE.window_s)
    assert used <= find_bound(make_cap(rate))
    for end in (10.0, 12.0, 14.0, 16.0, 18.0):
        hot = [amount for at, amount in cluster.admitted if 6.0 < at <= end]
        least = MIN_USED_FRACTION * rate * (end - 6.0)
        assert len(hot) >= int(least / REQUEST)


@pytest.mark.parametrize("rate", [120_000.0, 12_000.0])
def test_workspace_below_its_cap_is_not_refused(rate: float) -> None:
    """Demand of four fifths of the cap is admitted, wherever it arrives."""
    cluster = usage_cluster.UsageCluster(make_cap(rate), TOLERANCE, 30, seed=2)
    cluster.run(1.0, 0.0, REQUEST)
    cluster.run(20.0, rate * 0.8, REQUEST, uneven=0.3)
    assert len(cluster.admitted) == len(cluster.offered)


def test_restart_of_all_gives_no_second_burst() -> None:
    """New processes start without tokens."""
    rate = 120_000.0
    cluster = usage_cluster.UsageCluster(make_cap(rate), TOLERANCE, 8, seed=3)
    cluster.run(6.0, rate * 4, REQUEST)
    for index in range(8):
        cluster.restart(index)
    cluster.run(8.0, rate * 4, REQUEST)
    used = cluster.find_largest_window(TOLERANCE.window_s)
    assert used <= find_bound(make_cap(rate))


def test_refused_client_is_told_when_tokens_come() -> None:
    """A client that comes back at the announced time finds tokens."""
    rng = random.Random(4)
    cap = usage_caps.UsageCap(make_cap(1_500.0), TOLERANCE, rng, 0.0)
    now = 0.0
    while cap.admit(REQUEST, now):
        pass
    delay_s = cap.find_retry_after_s(now)
    assert 0.0 < delay_s <= usage_caps.MAX_RETRY_AFTER_S * 1.5
    assert cap.find_fraction(now + delay_s) > 0.0


def test_request_that_did_not_run_is_not_charged() -> None:
    """Its tokens are available again, here and in the next report."""
    cap = usage_caps.UsageCap(
        make_cap(120_000.0), TOLERANCE, random.Random(5), 0.0
    )
    assert cap.admit(REQUEST, 2.0)
    before = cap.find_tokens(2.0)
    cap.give_back(REQUEST, 2.0)
    assert cap.find_tokens(2.0) > before
    assert cap.take_unreported() == usage_caps.Usage(0.0, REQUEST)


class UsageMachine(stateful.RuleBasedStateMachine):
    """Cuts, restarts and changes of the cap beside changing demand."""

    RATE = 60_000.0
    COUNT = 6

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Starts the instances."""
        self.cap = make_cap(self.RATE)
        self.cluster = usage_cluster.UsageCluster(
            self.cap, TOLERANCE, self.COUNT, seed
        )

    @stateful.rule(
        times=strategies.sampled_from([0.3, 0.9, 1.5, 4.0]),
        uneven=strategies.sampled_from([0.0, 0.5]),
        seconds=strategies.sampled_from([1.0, 3.0]),
    )
    def send(self, times: float, uneven: float, seconds: float) -> None:
        """Clients send requests."""
        rate = self.cap.rate_per_s * times
        self.cluster.run(seconds, rate, REQUEST, uneven)

    @stateful.rule(
        sides=strategies.lists(
            strategies.integers(0, 2), min_size=COUNT, max_size=COUNT
        )
    )
    def cut(self, sides: list[int]) -> None:
        """Instances are cut off from each other, or meet again."""
        self.cluster.cut(sides)

    @stateful.rule(index=strategies.integers(0, COUNT - 1))
    def restart(self, index: int) -> None:
        """An instance starts again."""
        self.cluster.restart(index)

    @stateful.rule()
    def meet(self) -> None:
        """All instances hear each other again."""
        self.cluster.cut([0] * self.COUNT)

    @stateful.invariant()
    def check_bound(self) -> None:
        """No window has more than the cap and its tolerance allow."""
        used = self.cluster.find_largest_window(TOLERANCE.window_s)
        assert used <= find_bound(self.cap)


TestUsageMachine = UsageMachine.TestCase
TestUsageMachine.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
)
