"""Waits between failed calls: exponential, with jitter."""

import random


class Backoff:
    """Doubles the wait with each failure up to a limit.

    Attributes:
        failures: Failures since the last success.
    """

    __slots__ = ("_max_s", "_min_s", "_rng", "failures")

    def __init__(self, min_s: float, max_s: float, rng: random.Random) -> None:
        """Starts without failures.

        Args:
            min_s: Wait after the first failure, seconds.
            max_s: Longest wait, seconds.
            rng: Source of the jitter.
        """
        self._min_s = min_s
        self._max_s = max_s
        self._rng = rng
        self.failures = 0

    def reset(self) -> None:
        """Notes a success."""
        self.failures = 0

    def next_wait_s(self, at_least_s: float | None = None) -> float:
        """Notes a failure and returns the wait, seconds.

        Args:
            at_least_s: What the other side asked for, if it did.
        """
        doubled_s = self._min_s * 2.0 ** min(self.failures, 20)
        self.failures += 1
        if at_least_s is None:
            return min(self._max_s, doubled_s) * self._rng.uniform(0.5, 1.0)
        wait_s = max(min(self._max_s, doubled_s), at_least_s)
        return wait_s * self._rng.uniform(1.0, 1.5)
