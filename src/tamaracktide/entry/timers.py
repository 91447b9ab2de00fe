"""Timers that call a function at a scheduled time."""

from collections.abc import Callable
import math

import anyio
import anyio.abc


class Timer:
    """Calls a function at the earliest scheduled time."""

    __slots__ = ("_due_at", "_function", "_tasks")

    def __init__(
        self, function: Callable[[], None], tasks: anyio.abc.TaskGroup
    ) -> None:
        """Starts with no call scheduled; `tasks` runs the waits."""
        self._function = function
        self._tasks = tasks
        self._due_at = math.inf

    def schedule(self, due_at: float) -> None:
        """Schedules the call, unless an earlier one is already scheduled."""
        if due_at == math.inf or anyio.current_time() < self._due_at <= due_at:
            return
        self._due_at = due_at
        self._tasks.start_soon(self._run, due_at)

    async def _run(self, due_at: float) -> None:
        await anyio.sleep(max(0.0, due_at - anyio.current_time()))
        if self._due_at == due_at:
            self._due_at = math.inf
            self._function()
