"""Starts an entry instance with a platform adapter."""

import gc
import sys

import anyio

from tamaracktide import event_loop
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import program
from tamaracktide.entry import settings as entry_settings
from tamaracktide.observability import logs
from tamaracktide.observability import traces
from tamaracktide.settings import flags

ROLE = "entry"
GC_THRESHOLDS = (20_000, 20, 20)


def run(
    adapter: entry_adapter.PlatformAdapter,
    settings: str = "",
    check_settings: bool = False,
    print_schema: bool = False,
) -> None:
    """Runs an entry instance.

    Args:
        adapter: Implements the platform's interfaces.
        settings: Path of the settings file.
        check_settings: Only check the settings file.
        print_schema: Only print the JSON schema of the settings.
    """
    loaded_settings = flags.run_settings_flags(
        entry_settings.EntrySettings, settings, check_settings, print_schema
    )
    logs.configure_logs(
        loaded_settings.observability,
        ROLE,
        loaded_settings.instance,
        stream=sys.stdout,
    )
    traces.configure_traces(
        loaded_settings.observability, ROLE, loaded_settings.instance
    )
    # A collection pauses all streams; imported objects are never collected.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        anyio.run(
            program.serve,
            loaded_settings,
            adapter,
            settings,
            backend="asyncio",
            backend_options={"loop_factory": event_loop.make_loop},
        )
    finally:
        traces.close_traces()
