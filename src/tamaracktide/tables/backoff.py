"""Exponential back-off with jitter between failed calls."""

import random


class Backoff:
    """Exponential back-off: the wait doubles with each failure up to a limit.

    Attributes:
        failures: Number of failures since the last success.
    """

    __slots__ = ("_max_s", "_min_s", "_rng", "failures")

    def __init__(self, min_s: float, max_s: float, rng: random.Random) -> None:
        """Starts without failures.

        Args:
            min_s: Wait after the first failure, seconds.
            max_s: Maximum wait, seconds.
            rng: Source of the jitter.
        """
        self._min_s = min_s
        self._max_s = max_s
        self._rng = rng
        self.failures = 0

    def reset(self) -> None:
        """Records a success."""
        self.failures = 0

    def next_wait_s(self, min_wait_s: float | None = None) -> float:
        """Records a failure and returns the wait before the next call, seconds.

        Args:
            min_wait_s: Lower bound requested by the server, if any.
        """
        exponential_s = self._min_s * 2.0 ** min(self.failures, 20)
        self.failures += 1
        if min_wait_s is None:
            return min(self._max_s, exponential_s) * self._rng.uniform(0.5, 1.0)
        wait_s = max(min(self._max_s, exponential_s), min_wait_s)
        return wait_s * self._rng.uniform(1.0, 1.5)
