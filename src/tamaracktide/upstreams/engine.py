"""Client of model engines: answers, orders and reports."""

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
    """An order of the engine's owner.

    Attributes:
        address: `host:port` of the engine.
        lora_name: Engine-side name of the adapter.
        epoch: The owner's epoch, sent as the fencing token.
        incarnation: The only engine incarnation that may obey.
    """

    address: str
    lora_name: str
    epoch: int
    incarnation: str


class OrderOutcome(enum.Enum):
    """What became of an order.

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
    """The answer to an order.

    Attributes:
        outcome: What became of it.
        highest_epoch: The engine's highest fencing token if it refused ours.
        detail: One sentence.
    """

    outcome: OrderOutcome
    highest_epoch: int = 0
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedAdapter:
    """One used adapter slot of an engine."""

    lora_name: str
    adapter: str
    version: str
    running: int = 0

    @property
    def key(self) -> rows.AdapterKey:
        """Adapter and version in the slot."""
        return rows.AdapterKey(self.adapter, self.version)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """An engine's exact state.

    Attributes:
        instance: Instance id.
        incarnation: Changes whenever the engine restarts.
        slots: Adapter slots.
        batch_limit: Requests that run at once.
        loaded: Used slots.
        running: Ids of the requests that run.
        checks_fencing: Whether orders with an old fencing token are refused.
        highest_fencing_token: Highest token seen.
        draining: Whether the engine refuses new requests.
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
    """An engine's load as it was `age_s` seconds ago."""

    running: int
    waiting: int
    kv_used: float = 0.0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt prefix entered or left the engine's cache."""

    sequence: int
    prefix: str
    cached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events since a sequence number; there may be gaps."""

    next: int
    events: tuple[CacheEvent, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    highest: int = 0


class EngineClient:
    """Calls model engines."""

    def __init__(
        self,
        settings: upstream_settings.UpstreamSettings,
        caller: calls.Caller,
        stream_caller: streams.StreamCaller | None = None,
    ) -> None:
        """Builds a client that shares the callers' connections.

        Args:
            settings: Timeouts and limits.
            caller: Sends orders and reads reports.
            stream_caller: Sends requests; a scheduler needs none.
        """
        self._settings = settings
        self._caller = caller
        self._streams = stream_caller or streams.StreamCaller(settings)

    async def complete(
        self, dispatch: results.Dispatch, timeout_s: float
    ) -> results.Completion:
        """Sends a request and returns its whole answer.

        Args:
            dispatch: The request.
            timeout_s: Longest wait for the answer.
        """
        result = await self.stream(dispatch, timeout_s)
        if not isinstance(result, results.Started):
            return result
        try:
            answer = await result.answer.read(self._settings.max_answer_bytes)
        finally:
            await result.answer.close()
        return (
            results.Lost(answer)
            if isinstance(answer, calls.Failure)
            else answer
        )

    async def stream(
        self, dispatch: results.Dispatch, timeout_s: float | None = None
    ) -> results.Stream:
        """Sends a request and returns once its answer begins.

        Args:
            dispatch: The request.
            timeout_s: Longest silence, by default the progress timeout.
        """
        headers = [
            _JSON,
            (b"X-Request-Id", dispatch.request_id.encode()),
            (b"X-Incarnation", dispatch.incarnation.encode()),
        ]
        if dispatch.traceparent:
            headers.append((b"traceparent", dispatch.traceparent.encode()))
        answer = await self._streams.open(
            calls.Call(
                method="POST",
                address=dispatch.address,
                target=dispatch.path,
                headers=tuple(headers),
                body=dispatch.body,
                timeout_s=timeout_s or self._settings.progress_timeout_s,
            )
        )
        if isinstance(answer, calls.Failure):
            return _classify_failure(answer)
        if answer.status == 200:
            return results.Started(answer)
        try:
            whole = await answer.read(self._settings.max_answer_bytes)
        finally:
            await answer.close()
        return _classify_refusal(answer.status, whole)

    async def resume(
        self, address: str, request_id: str, offset: int
    ) -> results.Resumption:
        """Opens a stream again from a token on, over a new connection."""
        answer = await self._streams.open(
            calls.Call(
                method="GET",
                address=address,
                target=f"/v1/streams/{request_id}?offset={offset}",
                timeout_s=self._settings.progress_timeout_s,
            ),
            fresh=True,
        )
        if isinstance(answer, calls.Failure):
            return answer
        if answer.status == 200:
            return results.Started(answer)
        await answer.close()
        if answer.status == 404:
            return results.StreamUnknown()
        return calls.Failure(
            calls.FailureKind.BROKEN, f"resume answered {answer.status}"
        )

    async def cancel(self, address: str, request_id: str) -> bool:
        """Cancels a request; returns whether it surely runs no longer."""
        # Hundreds of callers may leave at once; each call over a pool of
        # httpcore looks at all of the pool's connections.
        answer = await self._streams.open(
            calls.Call(
                method="DELETE",
                address=address,
                target=f"/v1/streams/{request_id}",
                timeout_s=self._settings.read_timeout_s,
            )
        )
        if isinstance(answer, calls.Failure):
            return False
        try:
            whole = await answer.read(self._settings.max_answer_bytes)
        finally:
            await answer.close()
        return isinstance(whole, calls.Answer) and whole.status in (204, 404)

    async def load_adapter(
        self, order: Order, key: rows.AdapterKey
    ) -> OrderResult:
        """Orders an engine to load an adapter; returns once it answered."""
        body = {
            "lora_name": order.lora_name,
            "adapter": key.adapter,
            "version": key.version,
        }
        return await self._send_order("load_lora_adapter", order, body)

    async def unload_adapter(self, order: Order) -> OrderResult:
        """Orders an engine to free an adapter's slot."""
        body = {"lora_name": order.lora_name}
        return await self._send_order("unload_lora_adapter", order, body)

    async def read_state(self, address: str) -> EngineState | calls.Failure:
        """Returns an engine's exact state."""
        return await self._read(address, "/v1/state", EngineState)

    async def read_load(self, address: str) -> EngineLoad | calls.Failure:
        """Returns an engine's load, which lags."""
        return await self._read(address, "/v1/load", EngineLoad)

    async def read_cache_events(
        self, address: str, since: int
    ) -> CacheEvents | calls.Failure:
        """Returns an engine's cache events since a sequence number."""
        target = f"/v1/cache_events?since={since}"
        return await self._read(address, target, CacheEvents)

    async def _read(
        self, address: str, target: str, kind: type[_T]
    ) -> _T | calls.Failure:
        answer = await self._caller.send(
            calls.Call(
                method="GET",
                address=address,
                target=target,
                timeout_s=self._settings.read_timeout_s,
            )
        )
        if isinstance(answer, calls.Failure):
            return answer
        if answer.status != 200:
            return calls.Failure(
                calls.FailureKind.BROKEN, f"{target} answered {answer.status}"
            )
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except msgspec.MsgspecError as error:
            return calls.Failure(calls.FailureKind.BROKEN, f"{target}: {error}")

    async def _send_order(
        self, name: str, order: Order, body: dict[str, str]
    ) -> OrderResult:
        answer = await self._caller.send(
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
        if isinstance(answer, calls.Failure):
            outcome = (
                OrderOutcome.UNCERTAIN
                if answer.may_have_run
                else OrderOutcome.UNREACHABLE
            )
            return OrderResult(outcome, detail=answer.detail)
        return _classify_order(name, answer)


def _classify_failure(failure: calls.Failure) -> results.NotRun | results.Lost:
    if failure.may_have_run:
        return results.Lost(failure)
    return results.NotRun(results.NotRunReason.UNREACHABLE, failure.detail)


def _classify_refusal(
    status: int, answer: calls.Answer | calls.Failure
) -> results.NotRun | results.Rejected | results.Lost:
    detail = f"engine answered {status}"
    match status:
        case 404:
            return results.NotRun(results.NotRunReason.ADAPTER_MISSING, detail)
        case 409:
            return results.NotRun(
                results.NotRunReason.OTHER_INCARNATION, detail
            )
        case 503:
            return results.NotRun(results.NotRunReason.BUSY, detail)
    if isinstance(answer, calls.Failure):
        return results.Lost(answer)
    if 400 <= status < 500:
        return results.Rejected(answer)
    return results.Lost(calls.Failure(calls.FailureKind.BROKEN, detail))


def _classify_order(name: str, answer: calls.Answer) -> OrderResult:
    detail = f"{name} answered {answer.status}"
    match answer.status:
        case 200:
            return OrderResult(OrderOutcome.DONE)
        case 404:
            outcome = OrderOutcome.MISSING
        case 409:
            in_use = name.startswith("unload") and b"in use" in answer.body
            outcome = (
                OrderOutcome.IN_USE
                if in_use
                else OrderOutcome.OTHER_INCARNATION
            )
        case 412:
            return OrderResult(
                OrderOutcome.STALE_EPOCH, _read_highest(answer.body), detail
            )
        case 502:
            outcome = OrderOutcome.LOAD_FAILED
        case 507:
            outcome = OrderOutcome.NO_SLOT
        case _:
            outcome = OrderOutcome.UNCERTAIN
    return OrderResult(outcome, detail=detail)


def _read_highest(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_Refusal).highest
    except msgspec.MsgspecError:
        return 0
