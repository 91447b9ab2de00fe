"""Model of the weight store: full speed up to a number of loads."""

from collections.abc import Callable
import dataclasses

from tamaracktide.bench.policy import clock

LOAD_S = 0.25
_EPSILON_S = 1e-9


@dataclasses.dataclass(slots=True, eq=False)
class _Transfer:
    left_s: float
    on_end: Callable[[], None]


class Store:
    """Serves loads; all slow down in proportion beyond full speed.

    Attributes:
        loads: Loads that were started.
        peak: Most loads that were in flight at once.
    """

    def __init__(self, clock_: clock.Clock, full_speed_loads: int) -> None:
        """Starts idle."""
        self.loads = 0
        self.peak = 0
        self._clock = clock_
        self._full_speed_loads = full_speed_loads
        self._transfers: list[_Transfer] = []
        self._updated_at = 0.0
        self._version = 0

    def load(self, on_end: Callable[[], None]) -> None:
        """Starts a load and calls back at its end."""
        self._advance()
        self.loads += 1
        self._transfers.append(_Transfer(LOAD_S, on_end))
        self.peak = max(self.peak, len(self._transfers))
        self._plan()

    def _get_speed(self) -> float:
        return min(1.0, self._full_speed_loads / max(1, len(self._transfers)))

    def _advance(self) -> None:
        elapsed = self._clock.now - self._updated_at
        for transfer in self._transfers:
            transfer.left_s -= elapsed * self._get_speed()
        self._updated_at = self._clock.now

    def _plan(self) -> None:
        self._version += 1
        if not self._transfers:
            return
        version = self._version
        left = min(transfer.left_s for transfer in self._transfers)
        at = self._clock.now + max(0.0, left) / self._get_speed()
        self._clock.schedule(at, lambda: self._end_loads(version))

    def _end_loads(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        ended = [t for t in self._transfers if t.left_s <= _EPSILON_S]
        self._transfers = [t for t in self._transfers if t not in ended]
        self._plan()
        for transfer in ended:
            transfer.on_end()
