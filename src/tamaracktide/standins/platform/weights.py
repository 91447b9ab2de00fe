"""Progress of loads that share the weight store's bandwidth, without I/O."""


class SharedLoads:
    """Loads in flight that share a fixed total rate.

    With N loads in flight, each takes `load_s` if N is at most
    `full_speed_loads`, and otherwise progresses at `full_speed_loads / N` of
    full speed. As all loads progress at the same speed, they share one progress
    counter: a load is complete once the counter has grown by `load_s` since its
    start.

    Attributes:
        in_flight: Number of loads in flight.
    """

    __slots__ = (
        "_advanced_at",
        "_full_speed_loads",
        "_load_s",
        "_progress_s",
        "in_flight",
    )

    def __init__(
        self, load_s: float, full_speed_loads: int, now: float
    ) -> None:
        """Builds the state with no loads in flight."""
        self._load_s = load_s
        self._full_speed_loads = full_speed_loads
        self._progress_s = 0.0
        self._advanced_at = now
        self.in_flight = 0

    def start(self, now: float) -> float:
        """Starts a load; returns the progress at which it completes."""
        self._advance(now)
        self.in_flight += 1
        return self._progress_s + self._load_s

    def end(self, now: float) -> None:
        """Ends a load that completed or was cancelled."""
        self._advance(now)
        self.in_flight -= 1

    def estimate_remaining_s(self, done_progress_s: float, now: float) -> float:
        """Returns the remaining seconds at the current number of loads."""
        self._advance(now)
        return max(0.0, (done_progress_s - self._progress_s) / self._speed)

    @property
    def _speed(self) -> float:
        return min(1.0, self._full_speed_loads / max(1, self.in_flight))

    def _advance(self, now: float) -> None:
        self._progress_s += (now - self._advanced_at) * self._speed
        self._advanced_at = now
