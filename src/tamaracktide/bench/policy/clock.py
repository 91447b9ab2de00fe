"""Virtual clock that runs callbacks in the order of their times."""

from collections.abc import Callable
import heapq


class Clock:
    """Runs scheduled callbacks without waiting.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        """Starts at time 0 with no scheduled callbacks."""
        self.now = 0.0
        self._sequence = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, at: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at `at`, or at the current time if past."""
        self._sequence += 1
        heapq.heappush(
            self._heap, (max(at, self.now), self._sequence, callback)
        )

    def run(self, until: float) -> None:
        """Runs all callbacks that are scheduled up to `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
