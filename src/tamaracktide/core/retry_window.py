"""Bounds the retries of all instances together in every sliding window.

Each instance may send its share of a fixed extra allowance plus a fraction of
its own first requests. The sum over the instances then stays within the bound
of the deployment without any coordination.
"""

import collections
import dataclasses

BUCKET_COUNT = 20
"""Buckets per window; a bucket counts until it is entirely outside it."""

SAFETY_FRACTION = 0.8
"""Fraction of the bound that is used.

The rest covers requests that count in another window than their retries, and
the replacement of an instance.
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryWindowSettings:
    """The bound on the retries of all instances together.

    Attributes:
        window_s: Length of the sliding window, seconds.
        fraction: Retries allowed per first request.
        extra: Retries allowed beyond the fraction, over all instances.
    """

    window_s: float = 10.0
    fraction: float = 0.2
    extra: float = 50.0


class RetryWindow:
    """Counts the requests and retries of one service at one instance."""

    __slots__ = ("_bucket_s", "_requests", "_retries", "_settings")

    def __init__(self, settings: RetryWindowSettings) -> None:
        """Starts without requests."""
        self._settings = settings
        self._bucket_s = settings.window_s / BUCKET_COUNT
        self._requests: collections.deque[tuple[int, int]] = collections.deque()
        self._retries: collections.deque[tuple[int, int]] = collections.deque()

    def add_request(self, now: float) -> None:
        """Counts a first request."""
        self._add(self._requests, now)

    def take(self, instances: int, now: float) -> bool:
        """Counts a retry if the share of this instance permits it.

        Args:
            instances: Number of instances that share the extra allowance.
            now: Current time, seconds.

        Returns:
            Whether the retry may be sent.
        """
        settings = self._settings
        # A request permits retries throughout the window that starts with it.
        # The oldest bucket, which may be partly outside the window, counts in
        # full; `SAFETY_FRACTION` leaves room for that.
        requests = self._count(self._requests, now)
        allowed = settings.fraction * requests
        allowed += settings.extra / max(1, instances)
        if self._count(self._retries, now) + 1 > allowed * SAFETY_FRACTION:
            return False
        self._add(self._retries, now)
        return True

    def _add(
        self, counts: collections.deque[tuple[int, int]], now: float
    ) -> None:
        bucket = int(now / self._bucket_s)
        if counts and counts[-1][0] == bucket:
            counts[-1] = (bucket, counts[-1][1] + 1)
        else:
            counts.append((bucket, 1))

    def _count(
        self, counts: collections.deque[tuple[int, int]], now: float
    ) -> int:
        oldest = int(now / self._bucket_s) - BUCKET_COUNT
        while counts and counts[0][0] < oldest:
            counts.popleft()
        return sum(count for _, count in counts)
