"""Rate limits and call counters, without I/O."""

import dataclasses


class TokenBucket:
    """A token bucket whose burst is one second's worth of its rate."""

    __slots__ = ("_last_refill_at", "_rate_per_s", "_tokens")

    def __init__(self, rate_per_s: float, now: float) -> None:
        """Builds a full bucket."""
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._last_refill_at = now

    def take(self, now: float) -> float:
        """Takes a token if one is available.

        Returns:
            0 if a token was taken, otherwise the seconds until the next one.
        """
        refilled = (now - self._last_refill_at) * self._rate_per_s
        self._tokens = min(self._rate_per_s, self._tokens + refilled)
        self._last_refill_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate_per_s
        self._tokens -= 1
        return 0.0


class PeakRate:
    """The largest number of events within one second of the clock."""

    __slots__ = ("_count", "_second", "peak")

    def __init__(self) -> None:
        """Builds a peak of 0."""
        self.peak = 0
        self._second = 0
        self._count = 0

    def add(self, now: float) -> None:
        """Counts an event."""
        if int(now) != self._second:
            self._second = int(now)
            self._count = 0
        self._count += 1
        self.peak = max(self.peak, self._count)


@dataclasses.dataclass(slots=True)
class Counters:
    """Call counters since startup.

    Attributes:
        reads: Reads and listings of objects.
        writes: Writes and deletions, whatever their outcome.
        watches: Watches.
        conflicts: Writes whose condition failed.
        rejected: Calls rejected by a rate limit.
        unavailable: Calls refused during an outage.
        instance_lists: Reads of the instance list.
        weight_loads: Loads from the weight store.
        peak_reads_per_s: Maximum number of reads, listings and watches in
            one second.
        peak_writes_per_s: Maximum number of writes in one second.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0
    rejected: int = 0
    unavailable: int = 0
    instance_lists: int = 0
    weight_loads: int = 0
    peak_reads_per_s: int = 0
    peak_writes_per_s: int = 0
