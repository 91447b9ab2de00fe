"""Tests of the gateway's program, run in the test's own process."""

import functools
import os
import signal

import anyio
import gateway_fakes as fakes
import httpcore
import pytest

import deployment
from tamaracktide.gateway import main
from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.object_api import settings as platform_settings

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the gateway does."""
    return "asyncio"


async def wait_for_status(port: int, path: str) -> int:
    """Returns the HTTP status of a path once the program listens."""
    async with httpcore.AsyncConnectionPool() as pool:
        with anyio.fail_after(10):
            while True:
                try:
                    url = f"http://127.0.0.1:{port}{path}"
                    return (await pool.request("GET", url)).status
                except httpcore.ConnectError:
                    await anyio.sleep(0.01)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_program_serves_until_a_signal(number: signal.Signals) -> None:
    """Without a platform the gateway is live but not ready until stopped."""
    port = deployment.find_port()
    settings = gateway_settings.GatewaySettings(
        instance="g1",
        zone="z1",
        key_secret=fakes.SECRET,
        platform=platform_settings.PlatformSettings(address="127.0.0.1:1"),
        http=gateway_settings.HttpSettings(port=port),
    )
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(functools.partial(main.serve, settings))
            assert await wait_for_status(port, "/healthz") == 200
            assert await wait_for_status(port, "/readyz") == 503
            os.kill(os.getpid(), number)
