"""Starts an entry instance with an adapter for its platform."""

import gc
import signal
import sys

import anyio

from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import program
from tamaracktide.entry import settings as entry_settings
from tamaracktide.observability import logs
from tamaracktide.observability import traces
from tamaracktide.settings import flags

ROLE = "entry"
COLLECT_THRESHOLDS = (20_000, 20, 20)


def run(
    adapter: entry_adapter.PlatformAdapter,
    settings: str = "",
    check_settings: bool = False,
    print_schema: bool = False,
) -> None:
    """Runs an entry instance.

    Args:
        adapter: Speaks the platform's interfaces.
        settings: Path of the settings file.
        check_settings: Only check the settings file.
        print_schema: Only print the JSON schema of the settings.
    """
    checked = flags.run_settings_flags(
        entry_settings.EntrySettings, settings, check_settings, print_schema
    )
    # Until the program listens for it, a reload must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logs.configure_logs(
        checked.observability, ROLE, checked.instance, stream=sys.stdout
    )
    traces.configure_traces(checked.observability, ROLE, checked.instance)
    # Each collection halts all streams; what was imported stays anyway.
    gc.freeze()
    gc.set_threshold(*COLLECT_THRESHOLDS)
    try:
        anyio.run(program.serve, checked, adapter, settings, backend="asyncio")
    finally:
        traces.close_traces()
