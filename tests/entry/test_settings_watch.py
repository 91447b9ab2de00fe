"""Tests of settings that change while an instance runs."""

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


def _write(path: pathlib.Path, **changes: object) -> None:
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


class _Seeds:
    """Takes seeds in."""

    def __init__(self) -> None:
        self.taken: list[tuple[str, ...]] = []

    async def wait_for(self, count: int) -> None:
        """Waits until seeds were taken in some times."""
        with anyio.fail_after(WAIT_S):
            while len(self.taken) < count:
                await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def _watch(path: pathlib.Path) -> AsyncIterator[_Seeds]:
    seeds = _Seeds()
    settings = files.read_settings(str(path), entry_settings.EntrySettings)
    watch = settings_watch.SettingsWatcher(
        str(path), settings, seeds.taken.append
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        await anyio.sleep(0.05)
        yield seeds
        tasks.cancel_scope.cancel()


async def test_new_seeds_are_taken_in_without_a_signal(
    tmp_path: pathlib.Path,
) -> None:
    """The file alone tells."""
    path = tmp_path / "settings.json"
    _write(path)
    async with _watch(path) as seeds:
        _write(path, seeds=["10.0.0.1:7"])
        await seeds.wait_for(1)
        assert seeds.taken == [("10.0.0.1:7",)]


async def test_malformed_file_leaves_the_former_settings(
    tmp_path: pathlib.Path,
) -> None:
    """A later one that is well formed is taken in."""
    path = tmp_path / "settings.json"
    _write(path)
    async with _watch(path) as seeds:
        path.write_text("{", encoding="utf-8")
        await anyio.sleep(2 * settings_watch.POLL_PERIOD_S)
        assert not seeds.taken
        path.unlink()
        await anyio.sleep(2 * settings_watch.POLL_PERIOD_S)
        _write(path, seeds=["10.0.0.2:7"])
        await seeds.wait_for(1)


async def test_signal_reads_the_file_and_unchanged_seeds_stay(
    tmp_path: pathlib.Path,
) -> None:
    """A signal without a change does nothing; the process goes on."""
    path = tmp_path / "settings.json"
    _write(path, seeds=["10.0.0.1:7"])
    async with _watch(path) as seeds:
        for _ in range(3):
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.sleep(0.05)
        assert not seeds.taken
