"""Command line of `tamaracktide-service`."""

from tamaracktide.standins.service import app
from tamaracktide.standins.service import program
from tamaracktide.standins.service import server
from tamaracktide.standins.service import settings as service_settings
from tamaracktide.standins.service import web


async def serve(settings: service_settings.ServiceSettings) -> None:
    """Serves until SIGTERM."""
    service = app.Service(settings)
    await server.serve(
        web.make_app(service.handle), settings.address, settings.stop_timeout_s
    )


def main() -> None:
    """Runs the command line."""
    program.run_command(service_settings.ServiceSettings, serve)
