"""Tests of the detection of pauses.

Load pattern: the process is stopped for seconds, or gets no core.
"""

from tamaracktide.entry import pauses
from tamaracktide.observability import metrics


class Clock:
    """A clock that a test sets."""

    now = 100.0

    def __call__(self) -> float:
        """Returns its time, seconds."""
        return self.now


def test_pause_is_seen_before_the_tick_that_shows_it() -> None:
    """Guards against a request that is handled first after a pause."""
    clock = Clock()
    detector = pauses.PauseDetector(metrics.Metrics(), clock)
    clock.now += pauses.TICK_S
    detector.tick()
    assert not detector.was_held_up
    clock.now += 3.0
    assert detector.was_held_up


def test_pause_ends_once_what_arrived_has_been_read() -> None:
    """The view is trusted again after the time to settle."""
    clock = Clock()
    detector = pauses.PauseDetector(metrics.Metrics(), clock)
    clock.now += 3.0
    detector.tick()
    assert detector.was_held_up
    ticks = round(pauses.SETTLE_S / pauses.TICK_S)
    for _ in range(ticks - 1):
        clock.now += pauses.TICK_S
        detector.tick()
        assert detector.was_held_up
    clock.now += pauses.TICK_S
    detector.tick()
    assert not detector.was_held_up
