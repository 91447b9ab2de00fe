"""The program `tamaracktide-scheduler`."""

import anyio
import fire

from tamaracktide.observability import logs
from tamaracktide.observability import traces
from tamaracktide.scheduler import program
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.settings import flags


def run(
    settings: str = "", check_settings: bool = False, print_schema: bool = False
) -> None:
    """Runs the scheduler.

    Args:
        settings: Path of the settings file.
        check_settings: Check the settings file and exit.
        print_schema: Print the JSON schema of the settings and exit.
    """
    checked = flags.run_settings_flags(
        scheduler_settings.SchedulerSettings,
        settings,
        check_settings,
        print_schema,
    )
    observability = checked.observability
    logs.configure_logs(observability, program.ROLE, checked.instance)
    traces.configure_traces(observability, program.ROLE, checked.instance)
    try:
        anyio.run(program.serve, checked, backend="asyncio")
    finally:
        traces.close_traces()


def main() -> None:
    """Runs the command line."""
    fire.Fire(run)
