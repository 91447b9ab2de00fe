"""Tests of telling stalled streams from slow ones.

Load pattern: an upstream that sends a byte now and then to keep its connection
open, beside sound ones whose events are seconds apart.
"""

from tamaracktide.core import stalls


def test_fragments_without_an_event_are_a_stall() -> None:
    """A byte every half second does not keep a stream alive."""
    detector = stalls.StallDetector(0.0)
    found = [
        number / 2
        for number in range(1, 20)
        if detector.record(number / 2, has_progressed=False)
    ]
    assert found[0] == stalls.STALL_TIMEOUT_S


def test_slow_events_are_no_stall() -> None:
    """Each event may be five seconds late, in two parts."""
    detector = stalls.StallDetector(0.0)
    for number in range(1, 10):
        at = number * 5.0
        assert not detector.record(at - 0.1, has_progressed=False)
        assert not detector.record(at, has_progressed=True)


def test_one_late_fragment_is_no_stall() -> None:
    """A packet that was lost and sent again is not a trickle."""
    detector = stalls.StallDetector(0.0)
    assert not detector.record(0.1, has_progressed=False)
    assert not detector.record(10.0, has_progressed=False)
