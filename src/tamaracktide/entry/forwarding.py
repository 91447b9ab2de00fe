"""Forwards requests to upstreams, with retries, until they complete."""

from collections.abc import Callable
import random

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import attempts
from tamaracktide.core import event_stream
from tamaracktide.core import retry_window
from tamaracktide.core import routing_document
from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests
from tamaracktide.entry import responses
from tamaracktide.entry import results
from tamaracktide.entry import service_cell
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

Codes = result_codes.ResultCode

STREAM_IDLE_TIMEOUT_S = 1.5
"""Idle time after which a resumable stream is resumed on another upstream.
Clients disconnect after 2 s or more without data. Events arrive every 30 ms, or
every 250 ms while the engine also processes long prompts."""

RETRY_TIMEOUT_FACTOR = 2.0
"""Target latencies without data after which an idempotent call is retried."""

MIN_RETRY_TIMEOUT_S = 0.3
ADAPTER_RETRY_WAIT_S = 0.03
"""Wait after an engine first reports a missing adapter; grows linearly with
each retry."""

MAX_ADAPTER_RETRIES = 3
MAX_NOT_RUN_RETRIES = 2
"""Additional upstreams tried, beyond `max_attempts`, after ones that certainly
did not run the request."""

MIN_SEND_TIME_S = 0.03
"""A request with less time left is not sent."""

MAX_RESPONSE_BYTES = 8 << 20
EVENT_STREAM_TYPE = b"text/event-stream"


class _RetryBudget:
    """Retry budget of one service."""

    __slots__ = ("_count_instances", "_window")

    def __init__(
        self,
        window: retry_window.RetryWindow,
        count_instances: Callable[[], int],
    ) -> None:
        self._window = window
        self._count_instances = count_instances

    def add_request(self) -> None:
        """Records a first attempt."""
        self._window.add_request(anyio.current_time())

    def take(self) -> bool:
        """Consumes one retry; returns whether the budget allows it."""
        return self._window.take(self._count_instances(), anyio.current_time())


class Forwarder:
    """Forwards client requests to the upstreams that cells assign."""

    def __init__(
        self,
        adapter: entry_adapter.PlatformAdapter,
        upstream_client: streams.StreamClient,
        find_cell: Callable[
            [routing_document.Service], service_cell.ServiceCell
        ],
        find_version: Callable[[str, str], int],
        crashes: entry_crashes.CrashTracker,
        retries: retry_window.RetryWindowSettings,
        count_instances: Callable[[], int],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Builds a forwarder for all services."""
        self._adapter = adapter
        self._upstream_client = upstream_client
        self._find_cell = find_cell
        self._find_version = find_version
        self._crashes = crashes
        self._retries = retries
        self._count_instances = count_instances
        self._metrics = metrics
        self._retry_windows: dict[str, retry_window.RetryWindow] = {}
        self._rng = random.Random()

    async def serve(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        progress: results.Progress,
    ) -> result_codes.ResultCode:
        """Forwards a request and writes its response.

        Args:
            request: The request.
            responder: Writes the response.
            progress: Is updated, also if the request is aborted.

        Raises:
            errors.TamaracktideError: The request was aborted; the error has
                not been sent to the client.
        """
        if self._crashes.is_refused(request.fingerprint):
            raise errors.RefusalError(
                Codes.QUARANTINED,
                "request has crashed upstreams",
                5.0,
            )
        tries = attempts.Attempts(
            attempts.RetrySettings(
                max_attempts=request.route.max_attempts,
                max_unrun=MAX_NOT_RUN_RETRIES,
                backoff_s=0.005,
                max_backoff_s=0.05,
                retry_after_s=0.5,
            ),
            self._find_budget(request.service.name),
            self._rng,
            idempotent=request.route.safe_to_retry,
            continuable=request.route.resumable,
        )
        with anyio.CancelScope(deadline=request.expires_at) as scope:
            code = await self._run_attempts(request, responder, tries, progress)
        if scope.cancelled_caught:
            self._raise_final_error(request, tries.handle(attempts.Expired()))
        return code

    def _find_budget(self, service: str) -> _RetryBudget:
        window = self._retry_windows.get(service)
        if window is None:
            window = retry_window.RetryWindow(self._retries)
            self._retry_windows[service] = window
        return _RetryBudget(window, self._count_instances)

    async def _run_attempts(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        tries: attempts.Attempts,
        progress: results.Progress,
    ) -> result_codes.ResultCode:
        avoid: tuple[str, ...] = ()
        while True:
            action, result = await self._run_attempt(
                request, responder, tries, progress, avoid
            )
            if isinstance(result, results.Completed):
                return result.code
            match action:
                case attempts.Retry(wait_s, avoid, _):
                    self._metrics.retries.inc(
                        {
                            "pool": request.service.name,
                            "cause": tries.last_cause,
                        }
                    )
                    await anyio.sleep(wait_s)
                case attempts.Abort(limit=limit):
                    progress.limit = limit
                    upstream_response = (
                        isinstance(result, results.LostResponse)
                        and result.response
                    )
                    if upstream_response and not responder.started:
                        await self._forward_response(
                            upstream_response, responder
                        )
                        return Codes.OK
                    self._raise_final_error(request, action)

    def _raise_final_error(
        self, request: requests.ClientRequest, action: attempts.Action
    ) -> None:
        match action:
            case attempts.Abort(code, retry_after_s):
                meaning = result_codes.MEANINGS[code]
                kind = (
                    errors.RefusalError
                    if meaning.execution is result_codes.Execution.NOT_RUN
                    else errors.OutcomeUnknownError
                )
                raise kind(code, meaning.text, retry_after_s)
            case _:
                raise errors.InvariantError(
                    f"{request.request_id}: unexpected action {action} on abort"
                )

    async def _run_attempt(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        tries: attempts.Attempts,
        progress: results.Progress,
        avoid: tuple[str, ...],
    ) -> tuple[attempts.Action, results.Result | None]:
        cell = self._find_cell(request.service)
        try:
            placement = await cell.acquire_placement(request, avoid)
        except errors.RefusalError as error:
            refused = attempts.GrantRefused(
                error.code, error.retry_after_s or 0.5, final=True
            )
            return tries.handle(refused), None
        tries.handle(attempts.Granted(placement.entry.upstream))
        result: results.Result | None = None
        try:
            result = await self._send_with_retries(
                request, responder, tries, progress, placement
            )
        finally:
            self._finish_attempt(cell, request, placement, result, progress)
        match result:
            case results.Completed():
                return tries.handle(attempts.Completed()), result
            case results.NotRun():
                return tries.handle(attempts.NotRun()), result
            case results.LostResponse(timed_out=timed_out):
                if progress.events:
                    tries.handle(attempts.Progressed(progress.events))
                interrupted = attempts.Interrupted(timed_out, resumable=False)
                return tries.handle(interrupted), result

    def _finish_attempt(
        self,
        cell: service_cell.ServiceCell,
        request: requests.ClientRequest,
        placement: service_cell.Placement,
        result: results.Result | None,
        progress: results.Progress,
    ) -> None:
        """Releases the placement and records the result of the attempt."""
        upstream = placement.entry.upstream
        missing = isinstance(result, results.NotRun) and result.missing
        tokens = 0
        match result:
            case results.Completed():
                if cell.health.record_success(upstream):
                    cell.refresh_health()
                self._crashes.record_completion(request.fingerprint)
                tokens = 1
                engine = request.service.engine
                if engine is not None:
                    tokens = progress.events * engine.event_tokens
            case results.NotRun(unreachable=True):
                cell.reachability.record_unreachable(placement.entry)
            case results.LostResponse():
                self._record_loss(cell, request, placement, result)
        if result is not None and not isinstance(result, results.Completed):
            logs.bind(
                request_id=request.request_id,
                upstream=upstream,
                adapter=placement.key.text,
                waited_s=round(placement.waited_s, 4),
            ).info("attempt failed: {}", result.detail)
        cell.release(placement, tokens, missing=missing)

    def _record_loss(
        self,
        cell: service_cell.ServiceCell,
        request: requests.ClientRequest,
        placement: service_cell.Placement,
        lost: results.LostResponse,
    ) -> None:
        """Records a lost response against its upstream and its request."""
        now = anyio.current_time()
        changed = cell.health.record_failure(placement.entry.upstream, now)
        if lost.response is None:
            cell.reachability.check_reachable(placement.entry)
            if not lost.timed_out:
                self._crashes.record_loss(request.fingerprint, placement.entry)
        if changed:
            cell.refresh_health()

    async def _send_with_retries(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        tries: attempts.Attempts,
        progress: results.Progress,
        placement: service_cell.Placement,
    ) -> results.Result:
        """Sends a request, with retries while its adapter is loading."""
        tries.handle(attempts.Dispatched())
        budget = self._find_budget(request.service.name)
        for retry in range(MAX_ADAPTER_RETRIES + 1):
            result = await self._send(request, responder, progress, placement)
            if not isinstance(result, results.NotRun) or not result.missing:
                return result
            if retry == MAX_ADAPTER_RETRIES or placement.waited_s == 0:
                return result
            if not budget.take():
                return result
            await anyio.sleep(ADAPTER_RETRY_WAIT_S * (retry + 1))
        return result

    async def _send(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        progress: results.Progress,
        placement: service_cell.Placement,
    ) -> results.Result:
        remaining_s = request.expires_at - anyio.current_time()
        if remaining_s < MIN_SEND_TIME_S:
            return results.NotRun("too little time left to send the request")
        generation = request.generation
        version = 0
        if generation is not None and generation.adapter:
            version = self._find_version(generation.model, generation.adapter)
        options = entry_adapter.CallOptions(
            upstream=placement.entry.upstream,
            address=placement.entry.address,
            time_left_s=remaining_s,
            priority=request.route.priority,
            version=version,
            resume_after=progress.last_id,
        )
        progress.upstreams.append(placement.entry.upstream)
        open_response = await self._upstream_client.open(
            calls.Call(
                method=request.method,
                address=placement.entry.address,
                target=request.target,
                headers=self._adapter.make_headers(request, options),
                body=request.body,
                timeout_s=self._find_idle_timeout_s(request, remaining_s),
            )
        )
        if isinstance(open_response, calls.Failure):
            if not open_response.may_have_run:
                return results.NotRun(open_response.detail, unreachable=True)
            timed_out = open_response.kind is calls.FailureKind.TIMEOUT
            return results.LostResponse(
                open_response.detail, timed_out=timed_out
            )
        try:
            return await self._handle_response(
                request, responder, progress, open_response
            )
        finally:
            await open_response.close()

    def _find_idle_timeout_s(
        self, request: requests.ClientRequest, remaining_s: float
    ) -> float:
        """Returns the idle time after which another upstream is tried."""
        route = request.route
        match route.kind:
            case routing_document.RequestKind.STREAMING if route.resumable:
                return min(remaining_s, STREAM_IDLE_TIMEOUT_S)
            case routing_document.RequestKind.IDEMPOTENT:
                if route.max_attempts < 2:
                    return remaining_s
                idle_timeout_s = RETRY_TIMEOUT_FACTOR * route.target_latency_s
                return min(
                    remaining_s, max(MIN_RETRY_TIMEOUT_S, idle_timeout_s)
                )
            case _:
                return remaining_s

    async def _handle_response(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        progress: results.Progress,
        open_response: streams.StreamedResponse,
    ) -> results.Result:
        fields = self._adapter.parse_response_headers(
            open_response.status, open_response.headers
        )
        if fields.request_id and fields.request_id != request.request_id:
            return results.LostResponse(
                f"response belongs to another request: {fields.request_id!r}"
            )
        if fields.not_run:
            await open_response.read(MAX_RESPONSE_BYTES)
            return results.NotRun(
                f"status {open_response.status}", missing=fields.misdirected
            )
        is_success = 200 <= open_response.status < 300
        if is_success and not (fields.signed and fields.request_id):
            return results.LostResponse(
                "successful response without a signature or request id"
            )
        if is_success and _is_event_stream(open_response):
            return await self._forward_stream(
                request, responder, progress, open_response
            )
        response = await open_response.read(MAX_RESPONSE_BYTES)
        if isinstance(response, calls.Failure):
            timed_out = response.kind is calls.FailureKind.TIMEOUT
            return results.LostResponse(response.detail, timed_out=timed_out)
        if open_response.status >= 500 or responder.started:
            return results.LostResponse(
                f"status {open_response.status}", response=response
            )
        await self._forward_response(response, responder)
        return results.Completed(Codes.OK)

    async def _forward_response(
        self, response: calls.Response, responder: responses.Responder
    ) -> None:
        headers = self._adapter.filter_response_headers(response.headers)
        await responder.respond(response.status, headers, response.body)

    async def _forward_stream(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        progress: results.Progress,
        open_response: streams.StreamedResponse,
    ) -> results.Result:
        """Forwards complete events as they arrive."""
        splitter = event_stream.EventSplitter(progress.last_id or 0)
        if not responder.started:
            headers = self._adapter.filter_response_headers(
                open_response.headers
            )
            await responder.start(open_response.status, headers)
        while True:
            chunk = await open_response.receive()
            if isinstance(chunk, calls.Failure):
                timed_out = chunk.kind is calls.FailureKind.TIMEOUT
                return results.LostResponse(chunk.detail, timed_out=timed_out)
            if not chunk:
                break
            block = splitter.feed(chunk)
            if block is None:
                continue
            if not block.in_order:
                return results.LostResponse(
                    f"event {block.last_id} is out of order"
                )
            progress.events += block.data.count(event_stream.EVENT_END)
            progress.last_id = block.last_id
            await responder.write(block.data)
        if splitter.pending or progress.last_id is None:
            return results.LostResponse("stream ended within an event")
        await responder.finish()
        return results.Completed(Codes.OK)


def _is_event_stream(open_response: streams.StreamedResponse) -> bool:
    for name, value in open_response.headers:
        if name == b"content-type":
            return value.startswith(EVENT_STREAM_TYPE)
    return False
