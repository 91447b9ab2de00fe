"""Reloads the settings file when it changes or on SIGHUP."""

from collections.abc import Callable
import dataclasses
import os
import signal

import anyio

from tamaracktide import errors
from tamaracktide.entry import settings as entry_settings
from tamaracktide.observability import logs
from tamaracktide.settings import files

POLL_PERIOD_S = 0.5
"""Interval between checks of the file; a change must apply within 2 s."""

_FileStamp = tuple[int, int, int]


class SettingsWatcher:
    """Reloads the settings file when it changes, or on SIGHUP.

    Seeds apply immediately. All other settings are bound to sockets and to
    agreements with other instances, and apply at the next start.
    """

    __slots__ = ("_apply_seeds", "_last_stamp", "_path", "_settings")

    def __init__(
        self,
        path: str,
        settings: entry_settings.EntrySettings,
        apply_seeds: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Starts from the settings that were read from the path."""
        self._path = path
        self._settings = settings
        self._apply_seeds = apply_seeds
        self._last_stamp: _FileStamp | None = None

    async def run(self) -> None:
        """Watches the file until cancelled."""
        try:
            with anyio.open_signal_receiver(signal.SIGHUP) as signals:
                # The file may have changed since the settings were read.
                self._read("start")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._poll)
                    async for _ in signals:
                        self._read("signal")
        finally:
            # The default action ends a process that still completes its stop.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def _poll(self) -> None:
        while True:
            await anyio.sleep(POLL_PERIOD_S)
            if _read_stamp(self._path) != self._last_stamp:
                self._read("changed file")

    def _read(self, cause: str) -> None:
        self._last_stamp = _read_stamp(self._path)
        try:
            new_settings = files.read_settings(
                self._path, entry_settings.EntrySettings
            )
        except errors.SettingsError as error:
            logs.bind(cause=cause).error(
                "settings not reloaded; the previous ones stay in force: {}",
                error,
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(new_settings)
            if getattr(new_settings, field.name)
            != getattr(self._settings, field.name)
        ]
        if "seeds" in changed:
            self._apply_seeds(new_settings.seeds)
        self._settings = dataclasses.replace(
            self._settings, seeds=new_settings.seeds
        )
        logs.bind(
            cause=cause,
            applied=[name for name in changed if name == "seeds"],
            next_start=[name for name in changed if name != "seeds"],
        ).info("settings reloaded")


def _read_stamp(path: str) -> _FileStamp | None:
    """Returns a stamp that changes when the file is replaced or written."""
    try:
        file_stat = os.stat(path)
    except OSError:
        return None
    return file_stat.st_ino, file_stat.st_mtime_ns, file_stat.st_size
