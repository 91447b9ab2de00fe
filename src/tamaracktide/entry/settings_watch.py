"""Takes in a changed settings file, with or without a signal."""

from collections.abc import Callable
import dataclasses
import os
import signal

import anyio

from tamaracktide import errors
from tamaracktide.entry import settings as entry_settings
from tamaracktide.observability import logs
from tamaracktide.settings import files

POLL_S = 0.5
"""How often the file is looked at; a change is to be in force within 2 s."""

_Stamp = tuple[int, int, int]


class SettingsWatch:
    """Reads the settings file again when it changes, or on SIGHUP.

    Seeds are taken in at once. Everything else is bound to sockets and to
    agreements with other instances, and waits for the next start.
    """

    __slots__ = ("_path", "_seen", "_settings", "_take_seeds")

    def __init__(
        self,
        path: str,
        settings: entry_settings.EntrySettings,
        take_seeds: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Starts from the settings that were read from a path."""
        self._path = path
        self._settings = settings
        self._take_seeds = take_seeds
        self._seen = _stamp(path)

    async def run(self) -> None:
        """Looks after the file until cancelled."""
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._poll)
                async for _ in signals:
                    self._read("signal")

    async def _poll(self) -> None:
        while True:
            await anyio.sleep(POLL_S)
            if _stamp(self._path) != self._seen:
                self._read("changed file")

    def _read(self, cause: str) -> None:
        self._seen = _stamp(self._path)
        try:
            fresh = files.read_settings(
                self._path, entry_settings.EntrySettings
            )
        except errors.SettingsError as error:
            logs.bind(cause=cause).error(
                "settings not taken in, the former ones stay: {}", error
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(fresh)
            if getattr(fresh, field.name) != getattr(self._settings, field.name)
        ]
        if "seeds" in changed:
            self._take_seeds(fresh.seeds)
        self._settings = dataclasses.replace(self._settings, seeds=fresh.seeds)
        logs.bind(
            cause=cause,
            applied=[name for name in changed if name == "seeds"],
            next_start=[name for name in changed if name != "seeds"],
        ).info("settings read again")


def _stamp(path: str) -> _Stamp | None:
    """Returns what changes whenever the file is replaced or written."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_ino, found.st_mtime_ns, found.st_size
