"""Tests of reloading the settings of a running instance."""

from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import signal

import anyio
import pytest

from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import settings_watch
from tamaracktide.settings import files

pytestmark = pytest.mark.anyio

WAIT_S = 5.0


def _write_settings(path: pathlib.Path, **changes: object) -> None:
    values: dict[str, object] = {
        "instance": "n1",
        "availability_zone": "z1",
        "ip": "127.0.0.1",
        "caller_address": "127.0.0.1:1",
        "readiness_address": "127.0.0.1:2",
        "peer_port": 3,
        "metrics_port": 4,
        "platform_address": "127.0.0.1:5",
        **changes,
    }
    path.write_text(json.dumps(values), encoding="utf-8")


class _SeedRecorder:
    """Records the seeds that the watcher applies."""

    def __init__(self) -> None:
        self.applied: list[tuple[str, ...]] = []

    async def wait_for(self, count: int) -> None:
        """Waits until seeds were applied `count` times."""
        with anyio.fail_after(WAIT_S):
            while len(self.applied) < count:
                await anyio.sleep(0.02)


def _read(path: pathlib.Path) -> entry_settings.EntrySettings:
    return files.read_settings(str(path), entry_settings.EntrySettings)


@contextlib.asynccontextmanager
async def _run_watcher(
    path: pathlib.Path, settings: entry_settings.EntrySettings | None = None
) -> AsyncIterator[_SeedRecorder]:
    seeds = _SeedRecorder()
    settings = settings or _read(path)
    watcher = settings_watch.SettingsWatcher(
        str(path), settings, seeds.applied.append
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await anyio.sleep(0.05)
        yield seeds
        tasks.cancel_scope.cancel()


async def test_new_seeds_are_applied_without_a_signal(
    tmp_path: pathlib.Path,
) -> None:
    """A change of the file is sufficient."""
    path = tmp_path / "settings.json"
    _write_settings(path)
    async with _run_watcher(path) as seeds:
        _write_settings(path, seeds=["10.0.0.1:7"])
        await seeds.wait_for(1)
        assert seeds.applied == [("10.0.0.1:7",)]


async def test_malformed_file_leaves_the_previous_settings(
    tmp_path: pathlib.Path,
) -> None:
    """A later valid file is applied."""
    path = tmp_path / "settings.json"
    _write_settings(path)
    async with _run_watcher(path) as seeds:
        path.write_text("{", encoding="utf-8")
        await anyio.sleep(2 * settings_watch.POLL_PERIOD_S)
        assert not seeds.applied
        path.unlink()
        await anyio.sleep(2 * settings_watch.POLL_PERIOD_S)
        _write_settings(path, seeds=["10.0.0.2:7"])
        await seeds.wait_for(1)


async def test_signal_without_changes_applies_no_seeds(
    tmp_path: pathlib.Path,
) -> None:
    """A signal without a change has no effect; the process continues."""
    path = tmp_path / "settings.json"
    _write_settings(path, seeds=["10.0.0.1:7"])
    async with _run_watcher(path) as seeds:
        for _ in range(3):
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.sleep(0.05)
        assert not seeds.applied


async def test_file_that_is_not_text_leaves_the_previous_settings(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a watcher that fails, and with it the signal's handler.

    The next reload signal then ended the process, and its requests.
    """
    path = tmp_path / "settings.json"
    _write_settings(path)
    async with _run_watcher(path) as seeds:
        path.write_bytes(b'{"instance": "\xff\xfe"}')
        await anyio.sleep(2 * settings_watch.POLL_PERIOD_S)
        _write_settings(path, seeds=["10.0.0.1:7"])
        os.kill(os.getpid(), signal.SIGHUP)
        await seeds.wait_for(1)


async def test_change_during_the_start_is_applied(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a change between the reading and the watching (CONFIG)."""
    path = tmp_path / "settings.json"
    _write_settings(path)
    settings = _read(path)
    _write_settings(path, seeds=["10.0.0.1:7"])
    async with _run_watcher(path, settings) as seeds:
        await seeds.wait_for(1)


async def test_signal_after_the_watcher_has_ended_is_ignored(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the end of a process that completes its stop (Fault)."""
    path = tmp_path / "settings.json"
    _write_settings(path)
    async with _run_watcher(path):
        pass
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
