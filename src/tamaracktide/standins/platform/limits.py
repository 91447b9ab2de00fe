"""Rate limits and counts of calls, without I/O."""

import dataclasses


class TokenBucket:
    """Allows a rate, and one second's worth of it at once."""

    __slots__ = ("_at", "_rate_per_s", "_tokens")

    def __init__(self, rate_per_s: float, now: float) -> None:
        """Builds a full bucket."""
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._at = now

    def take(self, now: float) -> float:
        """Takes one token.

        Returns:
            0 if there was one, otherwise the seconds until there is one.
        """
        earned = (now - self._at) * self._rate_per_s
        self._tokens = min(self._rate_per_s, self._tokens + earned)
        self._at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate_per_s
        self._tokens -= 1
        return 0.0


class PeakRate:
    """The largest count of events in any one second of the clock."""

    __slots__ = ("_count", "_second", "peak")

    def __init__(self) -> None:
        """Builds a peak of none."""
        self.peak = 0
        self._second = 0
        self._count = 0

    def add(self, now: float) -> None:
        """Counts one event."""
        if int(now) != self._second:
            self._second = int(now)
            self._count = 0
        self._count += 1
        self.peak = max(self.peak, self._count)


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of calls since the start.

    Attributes:
        reads: Reads and listings of objects.
        writes: Writes and deletions, whatever their outcome.
        watches: Watches.
        conflicts: Writes refused by their condition.
        rejected: Calls over a rate.
        unavailable: Calls refused in an outage.
        instance_lists: Reads of the instance list.
        weight_loads: Fetches from the weight store.
        peak_reads_per_s: Most reads and watches in one second.
        peak_writes_per_s: Most writes in one second.
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
