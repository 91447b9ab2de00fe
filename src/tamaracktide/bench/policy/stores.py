"""Model of the weight store, which slows down under concurrent loads."""

from collections.abc import Callable
import dataclasses

from tamaracktide.bench.policy import clock

LOAD_S = 0.25
_EPSILON_S = 1e-9


@dataclasses.dataclass(slots=True, eq=False)
class _Transfer:
    remaining_s: float
    on_end: Callable[[], None]


class Store:
    """Serves loads at full speed up to a number of concurrent loads.

    Beyond `full_speed_loads`, all loads slow down in proportion.

    Attributes:
        loads: Number of started loads.
        peak: Maximum number of loads in flight at once.
    """

    def __init__(self, clock_: clock.Clock, full_speed_loads: int) -> None:
        """Starts with no loads in flight."""
        self.loads = 0
        self.peak = 0
        self._clock = clock_
        self._full_speed_loads = full_speed_loads
        self._transfers: list[_Transfer] = []
        self._updated_at = 0.0
        self._version = 0

    def load(self, on_end: Callable[[], None]) -> None:
        """Starts a load and calls `on_end` when it ends."""
        self._advance()
        self.loads += 1
        self._transfers.append(_Transfer(LOAD_S, on_end))
        self.peak = max(self.peak, len(self._transfers))
        self._schedule_next_end()

    def _get_speed(self) -> float:
        return min(1.0, self._full_speed_loads / max(1, len(self._transfers)))

    def _advance(self) -> None:
        elapsed = self._clock.now - self._updated_at
        for transfer in self._transfers:
            transfer.remaining_s -= elapsed * self._get_speed()
        self._updated_at = self._clock.now

    def _schedule_next_end(self) -> None:
        self._version += 1
        if not self._transfers:
            return
        version = self._version
        remaining_s = min(transfer.remaining_s for transfer in self._transfers)
        at = self._clock.now + max(0.0, remaining_s) / self._get_speed()
        self._clock.schedule(at, lambda: self._end_loads(version))

    def _end_loads(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        ended = [
            transfer
            for transfer in self._transfers
            if transfer.remaining_s <= _EPSILON_S
        ]
        self._transfers = [
            transfer for transfer in self._transfers if transfer not in ended
        ]
        self._schedule_next_end()
        for transfer in ended:
            transfer.on_end()
