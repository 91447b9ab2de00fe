"""HTTP endpoints of load and unload orders."""

import dataclasses
import urllib.parse

import anyio
import httpcore

from tamaracktide.core import rows
from tamaracktide.standins.engine import adapters
from tamaracktide.standins.engine import process as engine_process
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
    """Handles orders to load and unload adapters."""

    def __init__(
        self,
        process: engine_process.EngineProcess,
        pool: httpcore.AsyncConnectionPool,
    ) -> None:
        """Builds the endpoints; the pool connects to the weight store."""
        self._process = process
        self._pool = pool

    async def load(self, request: web.Request) -> web.Response:
        """Loads an adapter, or waits for its load if already in progress."""
        body = await request.read_body()
        order = web.parse_fields(LoadOrder, body)
        key = rows.AdapterKey(order.adapter, order.version)
        await self._apply_delay_fault()
        while True:
            refusal = self._find_refusal(request)
            if refusal:
                return refusal
            slots = self._process.runtime.slots
            result = slots.begin_load(order.lora_name, key)
            if result is not adapters.LoadStartResult.IN_PROGRESS:
                break
            await anyio.sleep(LOAD_POLL_S)
        match result:
            case adapters.LoadStartResult.RESERVED:
                return await self._load_into_slot(order.lora_name, key)
            case adapters.LoadStartResult.ALREADY_LOADED:
                return web.make_json_response(200, {"loaded": order.lora_name})
            case adapters.LoadStartResult.NO_FREE_SLOT:
                return web.make_error_response(507, "no free adapter slot")
        return web.make_error_response(
            400, f"name refers to another adapter: {order.lora_name}"
        )

    async def unload(self, request: web.Request) -> web.Response:
        """Unloads an adapter that no request uses."""
        body = await request.read_body()
        order = web.parse_fields(UnloadOrder, body)
        await self._apply_delay_fault()
        refusal = self._find_refusal(request)
        if refusal:
            return refusal
        match self._process.runtime.slots.unload(order.lora_name):
            case adapters.UnloadResult.DONE:
                return web.make_json_response(
                    200, {"unloaded": order.lora_name}
                )
            case adapters.UnloadResult.NOT_LOADED:
                return web.make_error_response(
                    404, f"adapter not loaded: {order.lora_name}"
                )
        return web.make_error_response(
            409, f"adapter in use: {order.lora_name}"
        )

    async def _apply_delay_fault(self) -> None:
        """Delays an order while an injected fault requires it."""
        await anyio.sleep(self._process.faults.delay_orders_s)
        await self._process.wait_until_unfrozen()

    def _find_refusal(self, request: web.Request) -> web.Response | None:
        """Returns an error on another incarnation or a stale fencing token."""
        refusal = self._process.check_incarnation(request)
        if refusal or not self._process.settings.checks_fencing:
            return refusal
        text = request.headers.get("x-fencing-token", "0")
        if not text.isdecimal():
            return web.make_error_response(
                400, f"X-Fencing-Token is not a decimal number: {text}"
            )
        runtime = self._process.runtime
        if int(text) < runtime.highest_fencing_token:
            return web.make_json_response(
                412, {"highest": runtime.highest_fencing_token}
            )
        runtime.highest_fencing_token = int(text)
        return None

    async def _load_into_slot(
        self, lora_name: str, key: rows.AdapterKey
    ) -> web.Response:
        """Loads the weights into a reserved slot."""
        runtime = self._process.runtime
        failure = await self._fetch(key)
        await self._process.wait_until_unfrozen()
        runtime.slots.end_load(lora_name, loaded=not failure)
        if runtime is not self._process.runtime:
            return web.make_error_response(
                409, "engine restarted during the load"
            )
        if failure:
            return web.make_error_response(502, f"load failed: {failure}")
        return web.make_json_response(200, {"loaded": lora_name})

    async def _fetch(self, key: rows.AdapterKey) -> str:
        """Fetches weights; returns the failure, or an empty string."""
        faults = self._process.faults
        if faults.fail_loads > 0:
            self._process.faults = dataclasses.replace(
                faults, fail_loads=faults.fail_loads - 1
            )
            return "injected fault"
        settings = self._process.settings
        path = urllib.parse.quote(f"/weights/{key.adapter}/{key.version}")
        headers: dict[str | bytes, str | bytes] = {"X-Zone": settings.zone}
        if settings.platform_token:
            headers["Authorization"] = f"Bearer {settings.platform_token}"
        url = f"http://{settings.weight_store}{path}"
        try:
            with anyio.fail_after(settings.load_timeout_s):
                response = await self._pool.request("GET", url, headers=headers)
        except (
            TimeoutError,
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            return repr(error)
        return (
            ""
            if response.status == 200
            else f"weight store returned status {response.status}"
        )
