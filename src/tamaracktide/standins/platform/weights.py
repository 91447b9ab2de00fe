"""Progress of loads that share the weight store's rate, without I/O."""


class SharedLoads:
    """Loads in flight that all slow down together.

    Up to `full_speed_loads` in flight each takes `load_s`; with N beyond that
    each progresses at `full_speed_loads / N` of full speed. As all progress
    equally, one progress counter serves them all: a load is done once the
    counter has grown by `load_s` since its start.

    Attributes:
        in_flight: Loads in flight.
    """

    __slots__ = (
        "_at",
        "_full_speed_loads",
        "_load_s",
        "_progress_s",
        "in_flight",
    )

    def __init__(
        self, load_s: float, full_speed_loads: int, now: float
    ) -> None:
        """Builds a store without loads."""
        self._load_s = load_s
        self._full_speed_loads = full_speed_loads
        self._progress_s = 0.0
        self._at = now
        self.in_flight = 0

    def start(self, now: float) -> float:
        """Starts a load; returns the progress at which it is done."""
        self._advance(now)
        self.in_flight += 1
        return self._progress_s + self._load_s

    def end(self, now: float) -> None:
        """Ends a load that is done or given up."""
        self._advance(now)
        self.in_flight -= 1

    def measure_left(self, done_at: float, now: float) -> float:
        """Returns the seconds left for a load if the number stays as it is."""
        self._advance(now)
        return max(0.0, (done_at - self._progress_s) / self._speed)

    @property
    def _speed(self) -> float:
        return min(1.0, self._full_speed_loads / max(1, self.in_flight))

    def _advance(self, now: float) -> None:
        self._progress_s += (now - self._at) * self._speed
        self._at = now
