"""Restarts background tasks that fail."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from tamaracktide.observability import logs

TASK_RESTART_DELAY_S = 0.5
"""Delay before a failed task is restarted."""


async def run_with_restarts(run: Callable[[], Awaitable[None]]) -> None:
    """Restarts a task that fails, so that requests continue to be served."""
    while True:
        try:
            await run()
        except Exception as error:
            logs.bind(task=run.__qualname__).opt(exception=True).critical(
                "task failed; restarting: {!r}", error
            )
            await anyio.sleep(TASK_RESTART_DELAY_S)
        else:
            return
