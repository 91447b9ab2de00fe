"""Finds how many requests a started upstream takes.

All instances together run a window of requests there, which grows as they are
answered well and shrinks as they are not.
"""

import math

START_FRACTION = 0.125
"""Fraction of the batch slots with which a window begins."""

MIN_WINDOW = 2.0
END_FACTOR = 2.0
"""Multiple of the batch slots at which a window ends."""

IDLE_GROWTH_S = 1.0
"""Time without evidence after which a window doubles."""

LATE_FACTOR = 2.0
"""Multiple of the target latency up to which an answer is a good one."""

MAX_RAMPING_FRACTION = 0.5
"""Fraction of a service's upstreams up to which windows are kept."""


class Ramp:
    """The window of one upstream, as one instance knows it.

    Attributes:
        window: Requests that all instances together may run there.
    """

    __slots__ = ("_batch_limit", "_changed_at", "_rank", "window")

    def __init__(self, batch_limit: int, rank: float, now: float) -> None:
        """Begins with the smallest window.

        Args:
            batch_limit: Requests that the upstream runs at a time.
            rank: Position of this instance among all, from 0 to 1.
            now: Current time, seconds.
        """
        self.window = max(MIN_WINDOW, START_FRACTION * batch_limit)
        self._batch_limit = batch_limit
        self._rank = rank
        self._changed_at = now

    def find_own_limit(self, instances: int) -> int:
        """Returns the requests that this instance may run there."""
        share = self.window / max(1, instances)
        if share >= 1.0:
            return math.floor(share)
        return 1 if self._rank * instances < self.window else 0

    def record_answer(
        self, instances: int, now: float, *, is_good: bool
    ) -> None:
        """Records how a request was answered."""
        self._changed_at = now
        if is_good:
            self.window *= 1.0 + 1.0 / max(1, self.find_own_limit(instances))
        else:
            self.window = max(MIN_WINDOW, self.window / 2.0)

    def update(self, running: int, now: float) -> None:
        """Applies what runs there by now, and the time without evidence."""
        if running > self.window:
            self.window = float(running)
            self._changed_at = now
        elif now - self._changed_at >= IDLE_GROWTH_S:
            self.window *= 2.0
            self._changed_at = now

    @property
    def has_ended(self) -> bool:
        """Whether the upstream takes as many requests as any other."""
        return self.window >= END_FACTOR * self._batch_limit
