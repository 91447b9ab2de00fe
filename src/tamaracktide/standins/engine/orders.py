"""HTTP interface of load and unload orders."""

import dataclasses
import urllib.parse

import anyio
import httpcore

from tamaracktide.core import rows
from tamaracktide.standins.engine import adapters
from tamaracktide.standins.engine import host as engine_host
from tamaracktide.standins.service import web

LOAD_POLL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadOrder:
    """Body of a load order."""

    lora_name: str
    adapter: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnloadOrder:
    """Body of an unload order."""

    lora_name: str


class Orders:
    """Loads and unloads adapters."""

    def __init__(
        self, host: engine_host.Host, pool: httpcore.AsyncConnectionPool
    ) -> None:
        """Builds the interface; the pool connects to the weight store."""
        self._host = host
        self._pool = pool

    async def load(self, request: web.Request) -> web.Reply:
        """Loads an adapter, or joins a load of it that is under way."""
        body = await request.read_body()
        order = web.parse_fields(LoadOrder, body)
        key = rows.AdapterKey(order.adapter, order.version)
        await self._delay()
        while True:
            refusal = self._check(request)
            if refusal:
                return refusal
            slots = self._host.runtime.slots
            start = slots.begin_load(order.lora_name, key)
            if start is not adapters.LoadStart.IN_PROGRESS:
                break
            await anyio.sleep(LOAD_POLL_S)
        match start:
            case adapters.LoadStart.RESERVED:
                return await self._fill_slot(order.lora_name, key)
            case adapters.LoadStart.ALREADY_LOADED:
                return web.make_json_reply(200, {"loaded": order.lora_name})
            case adapters.LoadStart.NO_FREE_SLOT:
                return web.make_error_reply(507, "no free slot")
        return web.make_error_reply(400, f"name taken: {order.lora_name}")

    async def unload(self, request: web.Request) -> web.Reply:
        """Unloads an adapter that no request uses."""
        body = await request.read_body()
        order = web.parse_fields(UnloadOrder, body)
        await self._delay()
        refusal = self._check(request)
        if refusal:
            return refusal
        match self._host.runtime.slots.unload(order.lora_name):
            case adapters.Unload.DONE:
                return web.make_json_reply(200, {"unloaded": order.lora_name})
            case adapters.Unload.NOT_LOADED:
                return web.make_error_reply(
                    404, f"not loaded: {order.lora_name}"
                )
        return web.make_error_reply(409, f"in use: {order.lora_name}")

    async def _delay(self) -> None:
        """Holds an order back as the faults say."""
        await anyio.sleep(self._host.faults.delay_orders_s)
        await self._host.wait_thawed()

    def _check(self, request: web.Request) -> web.Reply | None:
        """Returns the refusal by incarnation or fencing token, if any."""
        refusal = self._host.check_incarnation(request)
        if refusal or not self._host.settings.checks_fencing:
            return refusal
        text = request.headers.get("x-fencing-token", "0")
        if not text.isdecimal():
            return web.make_error_reply(400, f"bad fencing token: {text}")
        runtime = self._host.runtime
        if int(text) < runtime.highest_fencing_token:
            return web.make_json_reply(
                412, {"highest": runtime.highest_fencing_token}
            )
        runtime.highest_fencing_token = int(text)
        return None

    async def _fill_slot(
        self, lora_name: str, key: rows.AdapterKey
    ) -> web.Reply:
        """Fetches the weights into a reserved slot."""
        runtime = self._host.runtime
        fault = await self._fetch(key)
        await self._host.wait_thawed()
        runtime.slots.end_load(lora_name, loaded=not fault)
        if runtime is not self._host.runtime:
            return web.make_error_reply(409, "restarted during the load")
        if fault:
            return web.make_error_reply(502, f"load failed: {fault}")
        return web.make_json_reply(200, {"loaded": lora_name})

    async def _fetch(self, key: rows.AdapterKey) -> str:
        """Fetches weights; returns why it failed, empty if it did not."""
        faults = self._host.faults
        if faults.fail_loads > 0:
            self._host.faults = dataclasses.replace(
                faults, fail_loads=faults.fail_loads - 1
            )
            return "fault switched on"
        settings = self._host.settings
        path = urllib.parse.quote(f"/weights/{key.adapter}/{key.version}")
        headers: dict[str | bytes, str | bytes] = {"X-Zone": settings.zone}
        if settings.platform_token:
            headers["Authorization"] = f"Bearer {settings.platform_token}"
        url = f"http://{settings.weight_store}{path}"
        try:
            with anyio.fail_after(settings.load_timeout_s):
                reply = await self._pool.request("GET", url, headers=headers)
        except (
            TimeoutError,
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            return repr(error)
        return "" if reply.status == 200 else f"status {reply.status}"
