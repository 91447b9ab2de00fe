"""Tests of the limits of upstreams that all instances keep together."""

import random

import pytest

from tamaracktide.core import send_limits

LATENCY_S = 0.004
"""Time until another instance learns of a request."""

DURATION_S = 60.0
STEP_S = 0.001
WINDOW_S = 4.0


def make_limit(
    rate: float, own_fraction: float, rng: random.Random
) -> send_limits.SendLimit:
    """Returns a limit that is in force from 0 s."""
    limit = send_limits.SendLimit(rng, 0.0)
    limit.set_rate(rate, own_fraction)
    return limit


def play(rate: float, instances: int, seed: int) -> list[float]:
    """Has instances send whenever they may; returns the times of requests."""
    rng = random.Random(seed)
    limits = [make_limit(rate, 1.0 / instances, rng) for _ in range(instances)]
    sent: list[float] = []
    delayed: list[tuple[float, int]] = []
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        while delayed and delayed[0][0] <= now:
            _, sender = delayed.pop(0)
            for index, limit in enumerate(limits):
                if index != sender:
                    limit.record(1, now)
        for index, limit in enumerate(limits):
            if limit.find_next(now) <= now:
                limit.record(1, now)
                sent.append(now)
                delayed.append((now + LATENCY_S, index))
    return sent


@pytest.mark.parametrize("rate", [1.0, 2.0, 20.0])
@pytest.mark.parametrize("instances", [1, 4, 12])
def test_instances_under_pressure_keep_the_limit_together(
    rate: float, instances: int
) -> None:
    """Guards against each instance keeping a limit by itself (LIMIT).

    Allowed are one and a half times the limit and 5 requests in each window.
    """
    sent = play(rate, instances, seed=instances)
    allowed = 1.5 * rate * WINDOW_S + 5
    for start in sent:
        count = sum(start <= at < start + WINDOW_S for at in sent)
        assert count <= allowed
    assert len(sent) >= 0.7 * rate * DURATION_S


def test_single_busy_instance_gets_the_whole_limit() -> None:
    """The share of instances without requests is not lost."""
    limit = make_limit(2.0, 0.25, random.Random(1))
    sent = 0
    for step in range(40_000):
        now = step * STEP_S
        if limit.find_next(now) <= now:
            limit.record(1, now)
            sent += 1
    assert sent >= 0.75 * 2.0 * 40


def test_limit_of_zero_still_lets_single_requests_through() -> None:
    """Only a response can show that a limit has ended."""
    limit = make_limit(0.0, 1.0, random.Random(1))
    limit.record(1, 0.0)
    assert 1.0 < limit.find_next(0.0) <= 10.0
