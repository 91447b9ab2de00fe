"""Command line of `tamaracktide-engine`."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import httpcore

from tamaracktide.standins.engine import app
from tamaracktide.standins.engine import process as engine_process
from tamaracktide.standins.engine import settings as engine_settings
from tamaracktide.standins.service import program
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web


@contextlib.asynccontextmanager
async def open_engine(
    settings: engine_settings.EngineSettings,
) -> AsyncIterator[web.App]:
    """Runs an engine until the context exits.

    Yields:
        The engine's ASGI application.
    """
    process = engine_process.EngineProcess(settings, anyio.current_time())
    async with (
        httpcore.AsyncConnectionPool(max_connections=settings.slots) as pool,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(process.run_steps)
        tasks.start_soon(process.run_reports)
        yield web.make_app(app.Engine(process, pool).handle)
        tasks.cancel_scope.cancel()


async def serve(settings: engine_settings.EngineSettings) -> None:
    """Serves until SIGTERM."""
    async with open_engine(settings) as engine:
        await server.serve(engine, settings.address, settings.stop_timeout_s)


def main() -> None:
    """Runs the command line."""
    program.run_command(engine_settings.EngineSettings, serve)
