"""Tests of how far an error in a background task reaches."""

from collections.abc import Iterator
import io
import json

import anyio
from loguru import logger
import pytest

from tamaracktide.entry import restarts
from tamaracktide.observability import logs
from tamaracktide.observability import settings as observability_settings
from tamaracktide.protocol import settings as protocol_settings

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    """Returns a stream to which the logs are written."""
    stream = io.StringIO()
    settings = observability_settings.ObservabilitySettings()
    logs.configure_logs(settings, "entry", "n1", stream=stream)
    yield stream
    logger.remove()


async def _fail(upstream: str, count: int) -> None:
    raise KeyError(f"{upstream}/{count}")


async def test_failed_task_ends_alone(stream: io.StringIO) -> None:
    """The other tasks go on; the error is logged with the task's inputs."""
    async with anyio.create_task_group() as group:
        tasks = restarts.ContainedTasks(group)
        tasks.start_soon(_fail, "e1", 3)
        done = anyio.Event()

        async def finish() -> None:
            await anyio.sleep(0.02)
            done.set()

        tasks.start_soon(finish)
        with anyio.fail_after(1.0):
            await done.wait()
        group.cancel_scope.cancel()
    record = json.loads(stream.getvalue())
    assert record["task"] == "_fail"
    assert json.loads(record["inputs"]) == {"upstream": "e1", "count": 3}
    assert "e1/3" in record["message"]
    assert record["level"] == "CRITICAL"


async def test_cancellation_reaches_contained_tasks() -> None:
    """A shutdown ends them."""
    async with anyio.create_task_group() as group:
        tasks = restarts.ContainedTasks(group)
        tasks.start_soon(anyio.sleep_forever)
        await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_failed_task_is_restarted_with_its_inputs(
    stream: io.StringIO, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It runs again until it succeeds."""
    monkeypatch.setattr(restarts, "TASK_RESTART_DELAY_S", 0.01)
    runs: list[str] = []

    async def run(name: str) -> None:
        runs.append(name)
        if len(runs) < 3:
            raise ValueError(name)

    await restarts.run_with_restarts(run, "a")
    assert runs == ["a"] * 3
    records = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [record["inputs"] for record in records] == ['["a"]'] * 2


def test_inputs_are_logged_without_credentials() -> None:
    """A failed task's settings do not show the shared token."""
    settings = protocol_settings.InnerSettings(token="hidden")
    described = restarts.describe_inputs({"settings": settings})
    assert "hidden" not in described
    assert settings.host in described


def test_long_inputs_are_cut() -> None:
    """One log record does not hold all upstreams of a deployment."""
    described = restarts.describe_inputs(["upstream"] * 10_000)
    assert len(described) == restarts.MAX_INPUTS_LENGTH


def test_inputs_that_cannot_be_encoded_are_named() -> None:
    """The error whose inputs they are is logged all the same."""
    cyclic: list[object] = []
    cyclic.append(cyclic)
    assert "list" in restarts.describe_inputs(cyclic)
