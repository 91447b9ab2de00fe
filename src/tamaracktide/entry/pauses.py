"""Detects that the process was held up: stopped, suspended or without a core.

Timers that expired meanwhile run before what has arrived is read, and what this
instance knows is as old as the pause is long.
"""

from collections.abc import Callable

import anyio

from tamaracktide.entry import clocks
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module

TICK_S = 0.25
MIN_PAUSE_S = 0.6
"""Time between two ticks from which on the process counts as held up."""

SETTLE_S = 1.0
"""Time after a pause in which what has arrived meanwhile is read."""


class PauseDetector:
    """Ticks, and records ticks that came late."""

    __slots__ = ("_metrics", "_read_clock", "_resumed_at", "_ticked_at")

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        read_clock: Callable[[], float] = clocks.read_boot_time,
    ) -> None:
        """Starts as after a tick; `run` must be running.

        Args:
            metrics: Counts the seconds of the pauses.
            read_clock: Returns seconds; goes on during a suspend.
        """
        self._metrics = metrics
        self._read_clock = read_clock
        self._ticked_at = read_clock()
        self._resumed_at = float("-inf")

    @property
    def was_held_up(self) -> bool:
        """Whether a pause has just ended, also before the tick shows it."""
        now = self._read_clock()
        if now - self._ticked_at >= MIN_PAUSE_S:
            return True
        return now < self._resumed_at + SETTLE_S

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Records a pause if this tick is late."""
        now = self._read_clock()
        elapsed_s = now - self._ticked_at
        self._ticked_at = now
        if elapsed_s < MIN_PAUSE_S:
            return
        self._resumed_at = now
        self._metrics.held_up_seconds.add({}, elapsed_s)
        logs.bind(held_up_s=round(elapsed_s, 3)).warning(
            "process was held up; its timers and its view are late"
        )
