"""Command line of `tamaracktide-platform`."""

import anyio

from tamaracktide.standins.platform import app
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.service import program
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web


async def serve(settings: platform_settings.PlatformSettings) -> None:
    """Serves until SIGTERM."""
    platform = app.Platform(settings, anyio.current_time())
    await server.serve(
        web.make_app(platform.handle), settings.address, settings.stop_timeout_s
    )


def main() -> None:
    """Runs the command line."""
    program.run_command(platform_settings.PlatformSettings, serve)
