"""Tests of the stand-in engine over HTTP."""

from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any

import anyio
import httpcore
import pytest

from tamaracktide.standins.engine import main as engine_main
from tamaracktide.standins.engine import settings as engine_settings
from tamaracktide.standins.engine import streams
from tamaracktide.standins.platform import app as platform_app
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web

pytestmark = pytest.mark.anyio
_DISCONNECT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)
_MANY_TOKENS = 100_000


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


class EngineClient:
    """Client of one engine that opens a new connection for each call."""

    def __init__(self, address: str, read_timeout_s: float = 60.0) -> None:
        """Builds a client of an address."""
        self.address = address
        self._url = f"http://{address}"
        self._read_timeout_s = read_timeout_s

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        **headers: str,
    ) -> tuple[int, Any]:
        """Returns the status and the decoded JSON body (text if not JSON)."""
        async with self.stream(method, path, body, **headers) as response:
            content = (await response.aread()).decode()
        is_json = content.startswith(("{", "["))
        return response.status, json.loads(content) if is_json else content

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        body: object = None,
        **headers: str,
    ) -> AsyncIterator[httpcore.Response]:
        """Opens a call whose response body is streamed."""
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream(
                method,
                self._url + path,
                headers=[(k.replace("_", "-"), v) for k, v in headers.items()],
                content=json.dumps(body).encode(),
                extensions={"timeout": {"read": self._read_timeout_s}},
            ) as response,
        ):
            yield response

    async def load(self, name: str, **headers: str) -> int:
        """Orders a load of version 3 of an adapter; returns the status."""
        order = {"lora_name": name, "adapter": name, "version": "3"}
        status, _ = await self.call(
            "POST", "/v1/load_lora_adapter", order, **headers
        )
        return status

    async def unload(self, name: str, **headers: str) -> int:
        """Orders an unload; returns the status."""
        status, _ = await self.call(
            "POST", "/v1/unload_lora_adapter", {"lora_name": name}, **headers
        )
        return status

    async def state(self) -> dict[str, Any]:
        """Returns the engine's state."""
        _, state = await self.call("GET", "/v1/state")
        return dict(state)

    async def set_faults(self, **faults: object) -> None:
        """Sets faults of the engine."""
        status, _ = await self.call("POST", "/admin/faults", faults)
        assert status == 200


@contextlib.asynccontextmanager
async def run_engine(**changes: Any) -> AsyncIterator[EngineClient]:  # noqa: ANN401
    """Runs a fast engine with two slots and a fast weight store."""
    store = platform_app.Platform(
        platform_settings.PlatformSettings(
            address="127.0.0.1:1", load_s=0.01, missing_adapters=("none",)
        ),
        anyio.current_time(),
    )
    async with server.run_embedded(web.make_app(store.handle)) as weight_store:
        settings = engine_settings.EngineSettings(
            **{
                "instance": "e1",
                "address": "127.0.0.1:1",
                "zone": "a",
                "weight_store": weight_store,
                "slots": 2,
                "token_s": 0.002,
                "first_token_s": 0.0,
                **changes,
            }
        )
        async with (
            engine_main.open_engine(settings) as app,
            server.run_embedded(app) as address,
        ):
            yield EngineClient(address)


def make_request(tokens: int = 3, *, stream: bool = False) -> dict[str, Any]:
    """Returns a completion request for the adapter `l1`."""
    return {
        "model": "l1",
        "prompt": "hi",
        "max_tokens": tokens,
        "stream": stream,
    }


def make_text(tokens: int) -> str:
    """Returns the text that completes `make_request`."""
    digits = streams.hash_prompt("hi")
    return "".join(f"l1@3:{digits}:{index} " for index in range(tokens))


async def read_last_id(response: httpcore.Response, target_id: int) -> int:
    """Reads events until `target_id`; returns the last id read."""
    content = b""
    last_id = -1
    async for part in response.aiter_stream():
        content += part
        last_id = content.count(b"id: ") - 1
        if last_id >= target_id:
            break
    return last_id


async def test_response_identifies_adapter_version_and_prompt() -> None:
    """A complete response holds all tokens, the model and the incarnation."""
    async with run_engine() as client:
        assert await client.load("l1") == 200
        status, completion = await client.call(
            "POST", "/v1/completions", make_request()
        )
        state = await client.state()
    assert status == 200
    assert completion["choices"][0]["text"] == make_text(3)
    assert completion["model"] == "l1"
    assert completion["system_fingerprint"] == state["incarnation"]
    assert state["loaded"] == [
        {"lora_name": "l1", "adapter": "l1", "version": "3", "running": 0}
    ]
    assert state["running"] == []


async def test_stream_resumes_at_an_offset() -> None:
    """The events of a finished stream can be read again from an offset."""
    async with run_engine() as client:
        await client.load("l1")
        body = make_request(4, stream=True)
        _, events_text = await client.call(
            "POST", "/v1/completions", body, x_request_id="r"
        )
        _, resumed_text = await client.call("GET", "/v1/streams/r?offset=2")
        _, record = await client.call("GET", "/admin/record")
    events = events_text.split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    assert [event.split("\n")[0] for event in events[:4]] == [
        f"id: {index}" for index in range(4)
    ]
    assert resumed_text.split("\n\n") == events[2:]
    assert record["r"]["tokens"] == 4
    assert record["r"]["finished"]
    assert record["r"]["runs"] == 1


async def test_refused_requests_are_not_run() -> None:
    """Refused requests do not appear in the record."""
    async with run_engine() as client:
        body = make_request()
        path = "/v1/completions"
        assert (await client.call("POST", path, body))[0] == 404
        await client.load("l1")
        assert (await client.call("POST", path, body, x_incarnation="x"))[
            0
        ] == 409
        assert (await client.call("POST", path, make_request(0)))[0] == 400
        await client.set_faults(draining=True)
        assert (await client.call("POST", path, body))[0] == 503
        assert (await client.call("GET", "/admin/record"))[1] == {}
        await client.set_faults(draining=False)
        await client.call("POST", path, body, x_request_id="r")
        status, _ = await client.call("POST", path, body, x_request_id="r")
        _, record = await client.call("GET", "/admin/record")
    assert status == 409
    assert record["r"]["runs"] == 1


@pytest.mark.parametrize(("checks", "status"), [(True, 412), (False, 200)])
async def test_stale_fencing_token(checks: bool, status: int) -> None:
    """An engine refuses stale tokens only if it checks fencing."""
    async with run_engine(checks_fencing=checks) as client:
        assert await client.load("l1", x_fencing_token="5") == 200
        assert await client.load("l2", x_fencing_token="4") == status
        assert await client.unload("l1", x_fencing_token="4") == status
        state = await client.state()
    assert state["highest_fencing_token"] == (5 if checks else 0)


async def test_failed_load_frees_its_slot_and_full_engine_refuses() -> None:
    """A failed load frees its slot; loads return 507 if no slot is free."""
    async with run_engine() as client:
        await client.set_faults(fail_loads=1)
        assert await client.load("l1") == 502
        assert await client.load("none") == 502
        assert await client.load("l1") == 200
        assert await client.load("l1") == 200
        assert await client.load("l2") == 200
        assert await client.load("l3") == 507
        assert await client.unload("l2") == 200
        assert await client.unload("l2") == 404


async def test_adapter_in_use_is_not_unloaded() -> None:
    """An unload is refused until the request that uses the adapter ends."""
    async with run_engine() as client:
        await client.load("l1")
        body = make_request(_MANY_TOKENS, stream=True)
        async with client.stream(
            "POST", "/v1/completions", body, x_request_id="r"
        ) as response:
            assert await client.unload("l1") == 409
            assert (await client.state())["running"] == ["r"]
            assert (await client.call("DELETE", "/v1/streams/r"))[0] == 204
            with pytest.raises(_DISCONNECT_ERRORS):
                await response.aread()
        assert await client.unload("l1") == 200


async def test_restart_discards_state_and_disconnects_streams() -> None:
    """The new incarnation refuses orders meant for the previous one."""
    async with run_engine() as client:
        await client.load("l1")
        previous_incarnation = (await client.state())["incarnation"]
        body = make_request(_MANY_TOKENS, stream=True)
        async with client.stream(
            "POST", "/v1/completions", body, x_request_id="r"
        ) as response:
            await client.set_faults(restart=True)
            with pytest.raises(_DISCONNECT_ERRORS):
                await response.aread()
        state = await client.state()
        assert state["incarnation"] != previous_incarnation
        assert state["loaded"] == []
        assert (await client.call("GET", "/v1/streams/r"))[0] == 404
        assert (
            await client.load("l1", x_incarnation=previous_incarnation) == 409
        )
        _, record = await client.call("GET", "/admin/record")
        assert not record["r"]["finished"]


async def test_frozen_engine_resumes_when_unfrozen() -> None:
    """A request sent to a frozen engine completes once it is unfrozen."""
    async with run_engine() as client:
        await client.load("l1")
        await client.set_faults(freeze=True)
        responses = []

        async def complete() -> None:
            responses.append(
                await client.call("POST", "/v1/completions", make_request())
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(complete)
            await anyio.sleep(0.1)
            assert responses == []
            assert (await client.call("GET", "/admin/record"))[1] == {}
            await client.set_faults(freeze=False)
    assert responses[0][1]["choices"][0]["text"] == make_text(3)


async def test_stalled_stream_resumes_over_a_new_connection() -> None:
    """Open connections stall; a new one can read the same stream."""
    async with run_engine() as client:
        await client.load("l1")
        body = make_request(_MANY_TOKENS, stream=True)
        async with client.stream(
            "POST", "/v1/completions", body, x_request_id="r"
        ) as stalled:
            await client.set_faults(silent=True)
            _, record = await client.call("GET", "/admin/record")
            later_id = record["r"]["tokens"] + 20
            async with client.stream(
                "GET", "/v1/streams/r?offset=0"
            ) as resumed:
                assert await read_last_id(resumed, later_id) >= later_id
            with anyio.move_on_after(0.3) as scope:
                await read_last_id(stalled, later_id)
            assert scope.cancelled_caught
            await client.call("DELETE", "/v1/streams/r")


async def test_delayed_order_takes_effect_after_its_sender_times_out() -> None:
    """An order takes effect late, even if its sender has timed out."""
    async with run_engine() as client:
        await client.set_faults(delay_orders_s=0.5)
        with pytest.raises(httpcore.ReadTimeout):
            await EngineClient(client.address, read_timeout_s=0.1).load("l1")
        with anyio.fail_after(20):
            while not (await client.state())["loaded"]:
                await anyio.sleep(0.02)
