"""Tests of the stand-in service over HTTP."""

import json
from typing import Any

import anyio
import httpcore
import pytest

from tamaracktide.standins.service import app as service_app
from tamaracktide.standins.service import server
from tamaracktide.standins.service import settings as service_settings
from tamaracktide.standins.service import web

pytestmark = pytest.mark.anyio
_DISCONNECT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


def make_service() -> web.App:
    """Returns the application of a service without faults."""
    settings = service_settings.ServiceSettings(
        instance="s1", address="127.0.0.1:1"
    )
    return web.make_app(service_app.Service(settings).handle)


async def call(
    address: str, method: str, path: str, body: str = "", key: str = ""
) -> tuple[int, Any]:
    """Returns the status and the decoded JSON body."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            f"http://{address}{path}",
            headers={"Idempotency-Key": key} if key else {},
            content=body.encode(),
        )
    return response.status, json.loads(response.content)


async def test_effects_are_counted_by_key() -> None:
    """Only requests with an idempotency key are counted."""
    async with server.run_embedded(make_service()) as address:
        await call(address, "POST", "/orders", "one", "k1")
        status, response_body = await call(
            address, "PUT", "/orders", "two", "k1"
        )
        await call(address, "POST", "/orders", "three")
        _, effects = await call(address, "GET", "/admin/effects")
    assert status == 200
    assert response_body == {
        "instance": "s1",
        "key": "k1",
        "effect": 2,
        "echo": "two",
    }
    assert effects == {"k1": 2}


async def test_injected_failure_has_no_effect() -> None:
    """A 503 counts no effect, and the next request succeeds."""
    async with server.run_embedded(make_service()) as address:
        await call(address, "POST", "/admin/faults", '{"fail_before": 1}')
        first, _ = await call(address, "POST", "/orders", "", "k1")
        second, _ = await call(address, "POST", "/orders", "", "k1")
        _, effects = await call(address, "GET", "/admin/effects")
    assert (first, second) == (503, 200)
    assert effects == {"k1": 1}


async def test_lost_response_keeps_its_effect() -> None:
    """The connection is dropped after the effect."""
    async with server.run_embedded(make_service()) as address:
        await call(address, "POST", "/admin/faults", '{"lose_reply": 1}')
        with pytest.raises(_DISCONNECT_ERRORS):
            await call(address, "POST", "/orders", "", "k1")
        _, effects = await call(address, "GET", "/admin/effects")
    assert effects == {"k1": 1}


async def test_unknown_fault_is_rejected() -> None:
    """The error message contains the name of a misspelt fault."""
    async with server.run_embedded(make_service()) as address:
        status, response_body = await call(
            address, "POST", "/admin/faults", '{"lose_replay": 1}'
        )
    assert status == 400
    assert "lose_replay" in response_body["error"]["message"]


async def test_effect_waits_for_the_delay() -> None:
    """A request has no effect before the delay has passed."""
    async with server.run_embedded(make_service()) as address:
        await call(address, "POST", "/admin/faults", '{"delay_s": 60}')
        with anyio.move_on_after(0.1) as scope:
            await call(address, "POST", "/orders", "", "k1")
        _, effects = await call(address, "GET", "/admin/effects")
    assert scope.cancelled_caught
    assert effects == {}
