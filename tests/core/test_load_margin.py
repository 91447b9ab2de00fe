"""Tests of the time that requests wait beyond the predicted end of a load.

Load pattern: a deployment whose adapters take 290 ms where 250 ms are expected,
a few loads per second at each instance.
"""

import random

from tamaracktide.core import load_margin

LATER_S = 0.04
LOADS = 200


def _play(later_s: float, spread_s: float) -> tuple[int, float]:
    """Returns the early requests of the second half, and the margin."""
    rng = random.Random(1)
    margin = load_margin.LoadMargin()
    early = 0
    for number in range(LOADS):
        if margin.margin_s < later_s + rng.uniform(-spread_s, spread_s):
            margin.record_late()
            early += number >= LOADS // 2
        else:
            margin.record_ready()
    return early, margin.margin_s


def test_margin_finds_how_much_later_loads_end() -> None:
    """Few requests are still sent too early, and none waits much longer."""
    early, margin_s = _play(LATER_S, 0.01)
    assert early <= LOADS // 2 * 0.2
    assert LATER_S - 0.02 <= margin_s <= LATER_S + 0.03


def test_prediction_that_holds_is_trusted() -> None:
    """Where loads take the expected time, requests wait no longer."""
    early, margin_s = _play(-0.01, 0.005)
    assert early == 0
    assert margin_s == 0.0


def test_margin_is_bounded() -> None:
    """Loads that fail for good do not hold requests back for long."""
    margin = load_margin.LoadMargin()
    for _ in range(1000):
        margin.record_late()
    assert margin.margin_s == load_margin.MAX_MARGIN_S
