"""Calls at a planned time."""

from collections.abc import Callable
import math

import anyio
import anyio.abc


class Timer:
    """Calls a function at the earliest time that was asked for."""

    __slots__ = ("_at", "_call", "_tasks")

    def __init__(
        self, call: Callable[[], None], tasks: anyio.abc.TaskGroup
    ) -> None:
        """Starts without a plan; `tasks` runs the waits."""
        self._call = call
        self._tasks = tasks
        self._at = math.inf

    def plan(self, at: float) -> None:
        """Has the function called at a time, or earlier if so planned."""
        if at == math.inf or anyio.current_time() < self._at <= at:
            return
        self._at = at
        self._tasks.start_soon(self._run, at)

    async def _run(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - anyio.current_time()))
        if self._at == at:
            self._at = math.inf
            self._call()
