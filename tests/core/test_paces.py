"""Tests of the paces of engines, and of what they are taken from.

Load pattern: engines at 0.6, 1 and 1.6 times the speed of the median, each of
which writes a few streams per second that many instances forward.
"""

import pytest

from tamaracktide.core import paces
from tamaracktide.core import pauses
from tamaracktide.core import rendezvous
from tamaracktide.core import stream_timing

EVENT_S = 0.03
SPEEDS = {"fast": 1.6, "even": 1.0, "even2": 1.0, "slow": 0.6}


def _make_paces(samples: int = paces.MIN_SAMPLES) -> paces.Paces:
    known = paces.Paces()
    for name, speed in SPEEDS.items():
        for _ in range(samples):
            known.record(name, EVENT_S / speed, 1.0)
    return known


def test_time_factors_follow_the_speeds() -> None:
    """Slow engines take more time than the median one, fast ones less."""
    changed = _make_paces().find_changes(1.0)
    assert changed["slow"] == pytest.approx(1 / 0.6)
    assert changed["fast"] == pytest.approx(1 / 1.6)
    assert "even" not in changed


def test_few_samples_are_not_believed() -> None:
    """One stream in a slow moment does not make an engine slow."""
    known = _make_paces(paces.MIN_SAMPLES - 1)
    assert known.find_changes(1.0) == {}


def test_engines_of_like_speed_are_even() -> None:
    """Differences up to a quarter change nothing and are not reported."""
    known = paces.Paces()
    for number in range(4):
        for _ in range(5):
            known.record(f"e{number}", EVENT_S * (1 + 0.05 * number), 1.0)
    assert known.find_changes(1.0) == {}
    assert known.take_unreported() == {}


def test_engine_that_turns_slow_is_believed_within_seconds() -> None:
    """Six samples a second of four times the time show within two seconds."""
    known = _make_paces()
    known.find_changes(1.0)
    factors = dict.fromkeys(SPEEDS, 1.0)
    for step in range(12):
        now = 1.0 + step / 6
        known.apply_report("even", paces.PaceSum(1, EVENT_S * 4000), now)
        for name in ("fast", "even2", "slow"):
            event_ms = EVENT_S * 1000 / SPEEDS[name]
            known.apply_report(name, paces.PaceSum(1, event_ms), now)
        factors.update(known.find_changes(now))
    assert factors["even"] > 2.0


def test_engine_without_samples_counts_as_average_again() -> None:
    """An engine that nobody uses is tried again after some seconds."""
    known = _make_paces()
    known.find_changes(1.0)
    later = 1.0 + paces.SAMPLE_TIMEOUT_S + 0.1
    assert known.find_changes(later)["slow"] == 1.0


def test_reports_give_others_the_same_paces() -> None:
    """Sums of samples lead to the same factors elsewhere."""
    known, other = _make_paces(), paces.Paces()
    for name, pace in known.take_unreported().items():
        other.apply_report(name, pace, 1.0)
    assert other.find_changes(1.0) == pytest.approx(known.find_changes(1.0))
    assert known.take_unreported() == {}


def test_pace_ignores_pauses_and_coalesced_events() -> None:
    """Prompts read in a third of the gaps do not change the median."""
    timing = stream_timing.StreamTiming(0.0)
    now, samples = 0.5, []
    timing.record(1, now)
    for number in range(stream_timing.MAX_GAPS):
        now += EVENT_S if number % 3 else 0.2
        samples.append(timing.record(1, now))
    assert timing.first_s == 0.5
    assert samples[-1] == pytest.approx(EVENT_S)
    assert timing.longest_gap_s == pytest.approx(0.2)
    now += EVENT_S * 3
    for _ in range(stream_timing.MIN_GAPS):
        timing.record(3, now)
        now += EVENT_S * 3
    assert timing.finish() == pytest.approx(EVENT_S)


def test_short_stream_gives_no_sample() -> None:
    """Seven gaps say too little."""
    timing = stream_timing.StreamTiming(0.0)
    for number in range(stream_timing.MIN_GAPS):
        timing.record(1, number * EVENT_S)
    assert timing.finish() is None


def test_harm_grows_with_streams_and_with_the_square_of_the_pause() -> None:
    """Beyond the longest pause each stream is late, whatever the rest."""
    base = pauses.predict_harm_s(4, 0.1, 0.3)
    assert pauses.predict_harm_s(8, 0.1, 0.3) == pytest.approx(2 * base)
    assert pauses.predict_harm_s(4, 0.2, 0.3) == pytest.approx(4 * base)
    late = pauses.predict_harm_s(1, 0.3, 0.3)
    assert pauses.predict_harm_s(1, 3.0, 0.3) == late


def test_weighted_rendezvous_prefers_by_weight() -> None:
    """A member is first in proportion to its weight."""
    weights = {"a": 3.0, "b": 1.0}
    first = [rendezvous.sort_weighted(f"k{n}", weights)[0] for n in range(2000)]
    assert 0.7 < first.count("a") / 2000 < 0.8
    wider = {**weights, "c": 1.0}
    for number in range(50):
        order = rendezvous.sort_weighted(f"k{number}", wider)
        order.remove("c")
        assert order == rendezvous.sort_weighted(f"k{number}", weights)
