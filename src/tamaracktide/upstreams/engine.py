"""Client of inference engines: requests, orders and state reports."""

import dataclasses
import enum
from typing import TypeVar

import msgspec

from tamaracktide.core import rows
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import results
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

_T = TypeVar("_T")

_JSON = (b"Content-Type", b"application/json")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order from the owner of an engine.

    Attributes:
        address: `host:port` of the engine.
        lora_name: Engine-side name of the adapter.
        epoch: Epoch of the owner, sent as the fencing token.
        incarnation: Engine incarnation that is allowed to execute the order.
    """

    address: str
    lora_name: str
    epoch: int
    incarnation: str


class OrderOutcome(enum.Enum):
    """Outcome of an order.

    `UNCERTAIN` means that the order may still take effect.
    """

    DONE = "done"
    OTHER_INCARNATION = "other incarnation"
    STALE_EPOCH = "stale epoch"
    NO_SLOT = "no slot"
    LOAD_FAILED = "load failed"
    MISSING = "missing"
    IN_USE = "in use"
    UNREACHABLE = "unreachable"
    UNCERTAIN = "unsure"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of an order.

    Attributes:
        outcome: Outcome of the order.
        highest_epoch: Highest fencing token that the engine has seen, if it
            rejected the token of the order.
        detail: Description in one sentence.
    """

    outcome: OrderOutcome
    highest_epoch: int = 0
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedAdapter:
    """An occupied adapter slot of an engine."""

    lora_name: str
    adapter: str
    version: str
    running: int = 0

    @property
    def key(self) -> rows.AdapterKey:
        """Adapter and version that are loaded in the slot."""
        return rows.AdapterKey(self.adapter, self.version)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """Exact current state of an engine.

    Attributes:
        instance: Instance id.
        incarnation: Changes whenever the engine restarts.
        slots: Number of adapter slots.
        batch_limit: Maximum number of requests that run at the same time.
        loaded: Occupied adapter slots.
        running: Ids of the running requests.
        checks_fencing: Whether the engine rejects orders with an old fencing
            token.
        highest_fencing_token: Highest fencing token that the engine has seen.
        draining: Whether the engine rejects new requests.
    """

    instance: str
    incarnation: str
    slots: int
    batch_limit: int
    loaded: tuple[LoadedAdapter, ...] = ()
    running: tuple[str, ...] = ()
    checks_fencing: bool = True
    highest_fencing_token: int = 0
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of an engine, measured `age_s` seconds ago."""

    running: int
    waiting: int
    kv_used: float = 0.0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Insertion or eviction of a prompt prefix in an engine's cache."""

    sequence: int
    prefix: str
    cached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events since a sequence number; some may be missing."""

    next: int
    events: tuple[CacheEvent, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _StaleTokenBody:
    highest: int = 0


class EngineClient:
    """Sends requests and orders to inference engines."""

    def __init__(
        self,
        settings: upstream_settings.UpstreamSettings,
        upstream_client: calls.UpstreamClient,
        stream_client: streams.StreamClient | None = None,
    ) -> None:
        """Creates a client that uses the connections of the given clients.

        Args:
            settings: Timeouts and limits.
            upstream_client: Sends orders and polls state.
            stream_client: Sends requests; created here if not given, as by
                schedulers, which send no requests.
        """
        self._settings = settings
        self._upstream_client = upstream_client
        self._stream_client = stream_client or streams.StreamClient(settings)

    async def complete(
        self, dispatch: results.Dispatch, timeout_s: float
    ) -> results.Completion:
        """Sends a request and returns the complete response.

        Args:
            dispatch: The request.
            timeout_s: Maximum time without data from the engine.
        """
        result = await self.stream(dispatch, timeout_s)
        if not isinstance(result, results.Started):
            return result
        try:
            response = await result.response.read(
                self._settings.max_answer_bytes
            )
        finally:
            await result.response.close()
        return (
            results.LostResponse(response)
            if isinstance(response, calls.Failure)
            else response
        )

    async def stream(
        self, dispatch: results.Dispatch, timeout_s: float | None = None
    ) -> results.Stream:
        """Sends a request and returns when the response headers have arrived.

        Args:
            dispatch: The request.
            timeout_s: Maximum time without data from the engine; defaults to
                the progress timeout.
        """
        headers = [
            _JSON,
            (b"X-Request-Id", dispatch.request_id.encode()),
            (b"X-Incarnation", dispatch.incarnation.encode()),
        ]
        if dispatch.traceparent:
            headers.append((b"traceparent", dispatch.traceparent.encode()))
        response = await self._stream_client.open(
            calls.Call(
                method="POST",
                address=dispatch.address,
                target=dispatch.path,
                headers=tuple(headers),
                body=dispatch.body,
                timeout_s=timeout_s or self._settings.progress_timeout_s,
            )
        )
        if isinstance(response, calls.Failure):
            return _classify_failure(response)
        if response.status == 200:
            return results.Started(response)
        try:
            complete_response = await response.read(
                self._settings.max_answer_bytes
            )
        finally:
            await response.close()
        return _classify_refusal(response.status, complete_response)

    async def resume(
        self, address: str, request_id: str, offset: int
    ) -> results.Resumption:
        """Resumes a stream at a token offset, over a new connection."""
        response = await self._stream_client.open(
            calls.Call(
                method="GET",
                address=address,
                target=f"/v1/streams/{request_id}?offset={offset}",
                timeout_s=self._settings.progress_timeout_s,
            ),
            fresh=True,
        )
        if isinstance(response, calls.Failure):
            return response
        if response.status == 200:
            return results.Started(response)
        await response.close()
        if response.status == 404:
            return results.StreamUnknown()
        return calls.Failure(
            calls.FailureKind.BROKEN,
            f"resume returned status {response.status}",
        )

    async def cancel(self, address: str, request_id: str) -> bool:
        """Cancels a request; returns whether it is confirmed as stopped."""
        # Uses the stream client because hundreds of clients may disconnect at
        # the same time, and httpcore scans all connections of a pool on each
        # call.
        response = await self._stream_client.open(
            calls.Call(
                method="DELETE",
                address=address,
                target=f"/v1/streams/{request_id}",
                timeout_s=self._settings.read_timeout_s,
            )
        )
        if isinstance(response, calls.Failure):
            return False
        try:
            complete_response = await response.read(
                self._settings.max_answer_bytes
            )
        finally:
            await response.close()
        return isinstance(
            complete_response, calls.Response
        ) and complete_response.status in (204, 404)

    async def load_adapter(
        self, order: Order, key: rows.AdapterKey
    ) -> OrderResult:
        """Orders an engine to load an adapter and waits for the response."""
        body = {
            "lora_name": order.lora_name,
            "adapter": key.adapter,
            "version": key.version,
        }
        return await self._send_order("load_lora_adapter", order, body)

    async def unload_adapter(self, order: Order) -> OrderResult:
        """Orders an engine to unload an adapter."""
        body = {"lora_name": order.lora_name}
        return await self._send_order("unload_lora_adapter", order, body)

    async def read_state(self, address: str) -> EngineState | calls.Failure:
        """Returns the exact current state of an engine."""
        return await self._get(address, "/v1/state", EngineState)

    async def read_load(self, address: str) -> EngineLoad | calls.Failure:
        """Returns the load of an engine, which may be out of date."""
        return await self._get(address, "/v1/load", EngineLoad)

    async def read_cache_events(
        self, address: str, since: int
    ) -> CacheEvents | calls.Failure:
        """Returns the cache events of an engine since a sequence number."""
        target = f"/v1/cache_events?since={since}"
        return await self._get(address, target, CacheEvents)

    async def _get(
        self, address: str, target: str, kind: type[_T]
    ) -> _T | calls.Failure:
        response = await self._upstream_client.send(
            calls.Call(
                method="GET",
                address=address,
                target=target,
                timeout_s=self._settings.read_timeout_s,
            )
        )
        if isinstance(response, calls.Failure):
            return response
        if response.status != 200:
            return calls.Failure(
                calls.FailureKind.BROKEN,
                f"{target} returned status {response.status}",
            )
        try:
            return msgspec.json.decode(response.body, type=kind)
        except msgspec.MsgspecError as error:
            return calls.Failure(calls.FailureKind.BROKEN, f"{target}: {error}")

    async def _send_order(
        self, name: str, order: Order, body: dict[str, str]
    ) -> OrderResult:
        response = await self._upstream_client.send(
            calls.Call(
                method="POST",
                address=order.address,
                target=f"/v1/{name}",
                headers=(
                    _JSON,
                    (b"X-Fencing-Token", str(order.epoch).encode()),
                    (b"X-Incarnation", order.incarnation.encode()),
                ),
                body=msgspec.json.encode(body),
                timeout_s=self._settings.order_timeout_s,
            )
        )
        if isinstance(response, calls.Failure):
            outcome = (
                OrderOutcome.UNCERTAIN
                if response.may_have_run
                else OrderOutcome.UNREACHABLE
            )
            return OrderResult(outcome, detail=response.detail)
        return _classify_order_response(name, response)


def _classify_failure(
    failure: calls.Failure,
) -> results.NotRun | results.LostResponse:
    if failure.may_have_run:
        return results.LostResponse(failure)
    return results.NotRun(results.NotRunReason.UNREACHABLE, failure.detail)


def _classify_refusal(
    status: int, response: calls.Response | calls.Failure
) -> results.NotRun | results.Rejected | results.LostResponse:
    detail = f"engine returned status {status}"
    match status:
        case 404:
            return results.NotRun(results.NotRunReason.ADAPTER_MISSING, detail)
        case 409:
            return results.NotRun(
                results.NotRunReason.OTHER_INCARNATION, detail
            )
        case 503:
            return results.NotRun(results.NotRunReason.BUSY, detail)
    if isinstance(response, calls.Failure):
        return results.LostResponse(response)
    if 400 <= status < 500:
        return results.Rejected(response)
    return results.LostResponse(calls.Failure(calls.FailureKind.BROKEN, detail))


def _classify_order_response(
    name: str, response: calls.Response
) -> OrderResult:
    detail = f"{name} returned status {response.status}"
    match response.status:
        case 200:
            return OrderResult(OrderOutcome.DONE)
        case 404:
            outcome = OrderOutcome.MISSING
        case 409:
            in_use = name.startswith("unload") and b"in use" in response.body
            outcome = (
                OrderOutcome.IN_USE
                if in_use
                else OrderOutcome.OTHER_INCARNATION
            )
        case 412:
            return OrderResult(
                OrderOutcome.STALE_EPOCH,
                _parse_highest_token(response.body),
                detail,
            )
        case 502:
            outcome = OrderOutcome.LOAD_FAILED
        case 507:
            outcome = OrderOutcome.NO_SLOT
        case _:
            outcome = OrderOutcome.UNCERTAIN
    return OrderResult(outcome, detail=detail)


def _parse_highest_token(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_StaleTokenBody).highest
    except msgspec.MsgspecError:
        return 0
