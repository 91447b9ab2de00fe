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
_BROKEN_OFF = (httpcore.NetworkError, httpcore.ProtocolError)
_LONG = 100_000


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


class Caller:
    """Calls one engine, each time over a new connection."""

    def __init__(self, address: str, read_timeout_s: float = 60.0) -> None:
        """Builds a caller of an address."""
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
        """Returns status and JSON body (text if it is an event stream)."""
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
        """Opens a call whose body is read as it comes."""
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
        """Orders a load of version 3 of an adapter of that name."""
        order = {"lora_name": name, "adapter": name, "version": "3"}
        status, _ = await self.call(
            "POST", "/v1/load_lora_adapter", order, **headers
        )
        return status

    async def unload(self, name: str, **headers: str) -> int:
        """Orders an unload."""
        status, _ = await self.call(
            "POST", "/v1/unload_lora_adapter", {"lora_name": name}, **headers
        )
        return status

    async def state(self) -> dict[str, Any]:
        """Returns the engine's state."""
        _, state = await self.call("GET", "/v1/state")
        return dict(state)

    async def set_faults(self, **faults: object) -> None:
        """Switches faults."""
        status, _ = await self.call("POST", "/admin/faults", faults)
        assert status == 200


@contextlib.asynccontextmanager
async def run_engine(**changes: Any) -> AsyncIterator[Caller]:  # noqa: ANN401
    """Runs a fast engine with two slots before a fast weight store."""
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
            yield Caller(address)


def make_request(tokens: int = 3, *, stream: bool = False) -> dict[str, Any]:
    """Returns a completion request for the adapter `l1`."""
    return {
        "model": "l1",
        "prompt": "hi",
        "max_tokens": tokens,
        "stream": stream,
    }


def make_text(tokens: int) -> str:
    """Returns the text that answers `make_request`."""
    digits = streams.hash_prompt("hi")
    return "".join(f"l1@3:{digits}:{index} " for index in range(tokens))


async def read_last_id(response: httpcore.Response, wanted: int) -> int:
    """Reads events up to a wanted id; returns the last id."""
    content = b""
    last = -1
    async for part in response.aiter_stream():
        content += part
        last = content.count(b"id: ") - 1
        if last >= wanted:
            break
    return last


async def test_answer_names_adapter_version_and_prompt() -> None:
    """A whole answer holds every token, the name and the incarnation."""
    async with run_engine() as caller:
        assert await caller.load("l1") == 200
        status, answer = await caller.call(
            "POST", "/v1/completions", make_request()
        )
        state = await caller.state()
    assert status == 200
    assert answer["choices"][0]["text"] == make_text(3)
    assert answer["model"] == "l1"
    assert answer["system_fingerprint"] == state["incarnation"]
    assert state["loaded"] == [
        {"lora_name": "l1", "adapter": "l1", "version": "3", "running": 0}
    ]
    assert state["running"] == []


async def test_stream_resumes_at_an_offset() -> None:
    """The events of an ended stream come again from an offset on."""
    async with run_engine() as caller:
        await caller.load("l1")
        body = make_request(4, stream=True)
        _, whole = await caller.call(
            "POST", "/v1/completions", body, x_request_id="r"
        )
        _, rest = await caller.call("GET", "/v1/streams/r?offset=2")
        _, record = await caller.call("GET", "/admin/record")
    events = whole.split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    assert [event.split("\n")[0] for event in events[:4]] == [
        f"id: {index}" for index in range(4)
    ]
    assert rest.split("\n\n") == events[2:]
    assert record["r"]["tokens"] == 4
    assert record["r"]["finished"]
    assert record["r"]["runs"] == 1


async def test_refusals_did_not_run() -> None:
    """What is refused leaves no trace in the record."""
    async with run_engine() as caller:
        body = make_request()
        path = "/v1/completions"
        assert (await caller.call("POST", path, body))[0] == 404
        await caller.load("l1")
        assert (await caller.call("POST", path, body, x_incarnation="x"))[
            0
        ] == 409
        assert (await caller.call("POST", path, make_request(0)))[0] == 400
        await caller.set_faults(draining=True)
        assert (await caller.call("POST", path, body))[0] == 503
        assert (await caller.call("GET", "/admin/record"))[1] == {}
        await caller.set_faults(draining=False)
        await caller.call("POST", path, body, x_request_id="r")
        status, _ = await caller.call("POST", path, body, x_request_id="r")
        _, record = await caller.call("GET", "/admin/record")
    assert status == 409
    assert record["r"]["runs"] == 1


@pytest.mark.parametrize(("checks", "status"), [(True, 412), (False, 200)])
async def test_old_fencing_token(checks: bool, status: int) -> None:
    """An engine that checks fencing refuses older tokens, others do not."""
    async with run_engine(checks_fencing=checks) as caller:
        assert await caller.load("l1", x_fencing_token="5") == 200
        assert await caller.load("l2", x_fencing_token="4") == status
        assert await caller.unload("l1", x_fencing_token="4") == status
        state = await caller.state()
    assert state["highest_fencing_token"] == (5 if checks else 0)


async def test_slots_fill_up_and_failed_loads_free_theirs() -> None:
    """A failed load leaves the slot free; a full engine answers 507."""
    async with run_engine() as caller:
        await caller.set_faults(fail_loads=1)
        assert await caller.load("l1") == 502
        assert await caller.load("none") == 502
        assert await caller.load("l1") == 200
        assert await caller.load("l1") == 200
        assert await caller.load("l2") == 200
        assert await caller.load("l3") == 507
        assert await caller.unload("l2") == 200
        assert await caller.unload("l2") == 404


async def test_adapter_in_use_is_not_unloaded() -> None:
    """An unload is refused until the request that uses it is cancelled."""
    async with run_engine() as caller:
        await caller.load("l1")
        body = make_request(_LONG, stream=True)
        async with caller.stream(
            "POST", "/v1/completions", body, x_request_id="r"
        ) as response:
            assert await caller.unload("l1") == 409
            assert (await caller.state())["running"] == ["r"]
            assert (await caller.call("DELETE", "/v1/streams/r"))[0] == 204
            with pytest.raises(_BROKEN_OFF):
                await response.aread()
        assert await caller.unload("l1") == 200


async def test_restart_forgets_and_breaks_streams() -> None:
    """A restart gives a new incarnation that refuses old orders."""
    async with run_engine() as caller:
        await caller.load("l1")
        old = (await caller.state())["incarnation"]
        body = make_request(_LONG, stream=True)
        async with caller.stream(
            "POST", "/v1/completions", body, x_request_id="r"
        ) as response:
            await caller.set_faults(restart=True)
            with pytest.raises(_BROKEN_OFF):
                await response.aread()
        state = await caller.state()
        assert state["incarnation"] != old
        assert state["loaded"] == []
        assert (await caller.call("GET", "/v1/streams/r"))[0] == 404
        assert await caller.load("l1", x_incarnation=old) == 409
        _, record = await caller.call("GET", "/admin/record")
        assert not record["r"]["finished"]


async def test_frozen_engine_goes_on_once_thawed() -> None:
    """A frozen engine accepts a request and answers it after the thaw."""
    async with run_engine() as caller:
        await caller.load("l1")
        await caller.set_faults(freeze=True)
        answers = []

        async def complete() -> None:
            answers.append(
                await caller.call("POST", "/v1/completions", make_request())
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(complete)
            await anyio.sleep(0.1)
            assert answers == []
            assert (await caller.call("GET", "/admin/record"))[1] == {}
            await caller.set_faults(freeze=False)
    assert answers[0][1]["choices"][0]["text"] == make_text(3)


async def test_silent_connection_stalls_and_a_new_one_resumes() -> None:
    """Open connections stop, while a new one follows the same stream."""
    async with run_engine() as caller:
        await caller.load("l1")
        body = make_request(_LONG, stream=True)
        async with caller.stream(
            "POST", "/v1/completions", body, x_request_id="r"
        ) as old:
            await caller.set_faults(silent=True)
            _, record = await caller.call("GET", "/admin/record")
            later = record["r"]["tokens"] + 20
            async with caller.stream("GET", "/v1/streams/r?offset=0") as new:
                assert await read_last_id(new, later) >= later
            with anyio.move_on_after(0.3) as scope:
                await read_last_id(old, later)
            assert scope.cancelled_caught
            await caller.call("DELETE", "/v1/streams/r")


async def test_delayed_order_outlives_its_sender() -> None:
    """An order takes effect late, even if its sender has given up."""
    async with run_engine() as caller:
        await caller.set_faults(delay_orders_s=0.5)
        with pytest.raises(httpcore.ReadTimeout):
            await Caller(caller.address, read_timeout_s=0.1).load("l1")
        with anyio.fail_after(20):
            while not (await caller.state())["loaded"]:
                await anyio.sleep(0.02)
