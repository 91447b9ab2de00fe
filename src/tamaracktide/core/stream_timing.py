"""Times of one stream: to its first event, and between its events."""

import statistics

MIN_GAPS = 8
"""Gaps of a stream from which a sample of its pace is taken."""

MAX_GAPS = 16
"""Gaps after which a sample is taken while the stream goes on."""


class StreamTiming:
    """Records when the events of a stream arrive.

    Attributes:
        first_s: Time from the request to the first event; None before it.
        longest_gap_s: Longest time between two arrivals.
        sent_at: When the request was sent.
        later_events: Events after those that arrived first.
        later_s: Time from the first arrival to the last.
        event_s: The latest sample of its pace; None before the first.
    """

    __slots__ = (
        "_gaps",
        "_last_at",
        "event_s",
        "first_s",
        "later_events",
        "later_s",
        "longest_gap_s",
        "sent_at",
    )

    def __init__(self, sent_at: float) -> None:
        """Starts when the request is sent."""
        self.first_s: float | None = None
        self.longest_gap_s = 0.0
        self.event_s: float | None = None
        self.sent_at = sent_at
        self.later_events = 0
        self.later_s = 0.0
        self._last_at = sent_at
        self._gaps: list[float] = []

    def record(self, events: int, now: float) -> float | None:
        """Records events that arrived together.

        Returns:
            A sample of the time for an event, if one is complete.
        """
        if self.first_s is None:
            self.first_s = now - self.sent_at
        else:
            gap_s = now - self._last_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            self.later_events += events
            self.later_s += gap_s
            self._gaps.append(gap_s / events)
        self._last_at = now
        return self._take_sample() if len(self._gaps) >= MAX_GAPS else None

    def finish(self) -> float | None:
        """Returns the last sample, if the stream has enough gaps for one."""
        return self._take_sample() if len(self._gaps) >= MIN_GAPS else None

    def _take_sample(self) -> float:
        """Returns the median gap: prompts are read in fewer than half."""
        self.event_s = statistics.median(self._gaps)
        self._gaps.clear()
        return self.event_s
