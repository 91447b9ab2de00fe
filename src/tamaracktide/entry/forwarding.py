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
from tamaracktide.core import stalls
from tamaracktide.core import stream_timing
from tamaracktide.entry import attestation
from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import hedging
from tamaracktide.entry import outcomes
from tamaracktide.entry import peer_forwarding
from tamaracktide.entry import placements
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests
from tamaracktide.entry import responses
from tamaracktide.entry import results
from tamaracktide.entry import resumption as entry_resumption
from tamaracktide.entry import runs
from tamaracktide.entry import sending
from tamaracktide.entry import service_cell
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

Codes = result_codes.ResultCode

ADAPTER_RETRY_WAIT_S = 0.03
"""Wait after an engine first reports a missing adapter; grows linearly with
each retry."""

MAX_ADAPTER_RETRIES = 3
MAX_NOT_RUN_RETRIES = 2
"""Additional upstreams tried, beyond `max_attempts`, after ones that certainly
did not run the request."""

EVENT_STREAM_TYPE = b"text/event-stream"
CUT_DETAIL = "connection ended with its upstream"


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
        resumption: entry_resumption.Resumption,
        peer_forwarder: peer_forwarding.PeerForwarder,
        attestor: attestation.Attestor,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Builds a forwarder for all services."""
        self._adapter = adapter
        self._find_cell = find_cell
        self._crashes = crashes
        self._outcomes = outcomes.OutcomeRecorder(crashes)
        self._sender = sending.Sender(
            adapter, upstream_client, find_version, find_cell, attestor
        )
        self._hedger = hedging.Hedger(
            self._sender, peer_forwarder, self._outcomes, crashes, metrics
        )
        self._resumption = resumption
        self._attestor = attestor
        self._peer_forwarder = peer_forwarder
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
        self._crashes.check_allowed(request)
        tries = attempts.Attempts(
            attempts.RetrySettings(
                max_attempts=request.max_attempts,
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
        cell = self._find_cell(request.service)
        run = runs.Run(request, responder, progress, tries, cell)
        with anyio.CancelScope(deadline=request.expires_at) as scope:
            progress.software = await self._resumption.find_software(request)
            code = await self._run_attempts(run)
        if scope.cancelled_caught:
            self._raise_final_error(request, tries.handle(attempts.Expired()))
        return code

    def _find_budget(self, service: str) -> _RetryBudget:
        window = self._retry_windows.get(service)
        if window is None:
            window = retry_window.RetryWindow(self._retries)
            self._retry_windows[service] = window
        return _RetryBudget(window, self._count_instances)

    async def _run_attempts(self, run: runs.Run) -> result_codes.ResultCode:
        avoid: tuple[str, ...] = ()
        while True:
            action, result = await self._run_attempt(run, avoid)
            if isinstance(result, results.Completed):
                return result.code
            match action:
                case attempts.Retry(wait_s, avoid, _):
                    self._metrics.retries.inc(
                        {
                            "pool": run.request.service.name,
                            "cause": run.tries.last_cause,
                        }
                    )
                    await anyio.sleep(wait_s)
                case attempts.Abort(limit=limit):
                    run.progress.limit = limit
                    response = self._find_final_response(run, result)
                    if response is not None:
                        await self._forward_response(response, run.responder)
                        return Codes.OK
                    self._raise_final_error(run.request, action)

    def _find_final_response(
        self, run: runs.Run, result: results.Result | None
    ) -> calls.Response | None:
        """Returns the upstream's error response that the client receives."""
        if not isinstance(result, results.LostResponse):
            return None
        if result.response is None or run.responder.started:
            return None
        return None if self._misleads(run, result.response) else result.response

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
        self, run: runs.Run, avoid: tuple[str, ...]
    ) -> tuple[attempts.Action, results.Result | None]:
        """Runs an attempt, and those that take over while it is silent."""
        attempt = self._peer_forwarder.find_attempt(run)
        if attempt is not None:
            return await self._run_at_peer(run, attempt)
        try:
            placement = await placements.acquire(run, self._crashes, avoid)
        except errors.RefusalError as error:
            refused = attempts.GrantRefused(
                error.code, error.retry_after_s or 0.5, final=True
            )
            return run.tries.handle(refused), None
        run.tries.handle(attempts.Granted(placement.entry.upstream))
        run.tries.handle(attempts.Dispatched())
        attempt = runs.Attempt(placement)
        result = await self._finish(run, attempt)
        while attempt.successor is not None:
            attempt = attempt.successor
            result = await self._finish(run, attempt)
        return self._conclude(run, attempt, result)

    async def _run_at_peer(
        self, run: runs.Run, attempt: runs.Attempt
    ) -> tuple[attempts.Action, results.Result | None]:
        """Runs an attempt at another instance."""
        run.tries.handle(attempts.Granted(attempt.upstream))
        run.tries.handle(attempts.Dispatched())
        result = await self._finish(run, attempt)
        return self._conclude(run, attempt, result)

    def _conclude(
        self, run: runs.Run, attempt: runs.Attempt, result: results.Result
    ) -> tuple[attempts.Action, results.Result]:
        """Passes the result of an attempt to the state machine."""
        match result:
            case results.LostResponse() if attempt.is_relayed:
                # The peer may have used all attempts.
                if run.progress.events:
                    progressed = attempts.Progressed(run.progress.events)
                    run.tries.handle(progressed)
                return run.tries.handle(attempts.Expired()), result
            case results.Completed():
                return run.tries.handle(attempts.Completed()), result
            case results.NotRun():
                return run.tries.handle(attempts.NotRun()), result
            case results.LostResponse(timed_out=timed_out):
                if run.progress.events:
                    progressed = attempts.Progressed(run.progress.events)
                    run.tries.handle(progressed)
                interrupted = attempts.Interrupted(timed_out, resumable=False)
                return run.tries.handle(interrupted), result

    async def _finish(
        self, run: runs.Run, attempt: runs.Attempt
    ) -> results.Result:
        """Forwards the response of an attempt; returns the result."""
        result: results.Result | None = None
        try:
            if attempt.response is None:
                result = await self._send_with_retries(run, attempt)
            else:
                result = await self._handle_response(
                    run, attempt, attempt.response
                )
            return result
        finally:
            self._outcomes.finish(run, attempt, result)
            if result is None and attempt.successor is not None:
                await self._abandon(run, attempt.successor)

    async def _abandon(self, run: runs.Run, attempt: runs.Attempt) -> None:
        """Ends an attempt that was to take over from one that is cancelled."""
        self._outcomes.finish(run, attempt, None)
        if attempt.response is not None:
            await attempt.response.close()

    async def _send_with_retries(
        self, run: runs.Run, attempt: runs.Attempt
    ) -> results.Result:
        """Sends a request, with retries while its adapter is loading."""
        budget = self._find_budget(run.request.service.name)
        for retry in range(MAX_ADAPTER_RETRIES + 1):
            result = await self._send(run, attempt)
            missing = isinstance(result, results.NotRun) and result.missing
            if retry == 0 and not attempt.is_relayed:
                run.cell.record_adapter(attempt.placement, missing=missing)
            if not missing:
                return result
            if (
                retry == MAX_ADAPTER_RETRIES
                or attempt.upstream in run.cell.send_limits
                or attempt.placement.waited_s == 0
                or self._crashes.is_refused(run.request)
                or not budget.take()
            ):
                return result
            await anyio.sleep(ADAPTER_RETRY_WAIT_S * (retry + 1))
        return result

    async def _send(
        self, run: runs.Run, attempt: runs.Attempt
    ) -> results.Result:
        attempt.timing = stream_timing.StreamTiming(anyio.current_time())
        if attempt.is_relayed:
            opened = await self._peer_forwarder.open(run, attempt)
        else:
            opened = await self._sender.open(
                run.request,
                run.progress,
                attempt.placement,
                self._hedger.watch(run, attempt),
            )
        if isinstance(opened, streams.StreamedResponse):
            return await self._handle_response(run, attempt, opened)
        return opened

    async def _handle_response(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        opened: streams.StreamedResponse,
    ) -> results.Result:
        """Forwards a response whose headers fit the request, and closes it."""
        try:
            if _is_forwarded_at_once(run.request.route, opened):
                return await self._forward_stream(run, attempt, opened)
            response = await opened.read(opened.max_answer_bytes)
            if isinstance(response, calls.Failure):
                return results.make_lost_response(response)
            if await self._was_cut(run, attempt, opened):
                return results.LostResponse(CUT_DETAIL)
            is_retried = opened.status >= 500 and not attempt.is_relayed
            if (
                is_retried
                or run.responder.started
                or self._misleads(run, response)
            ):
                return results.LostResponse(
                    f"status {opened.status}", response=response
                )
            await self._forward_response(response, run.responder)
            is_success = 200 <= opened.status < 300
            return results.Completed(Codes.OK, is_success=is_success)
        finally:
            await opened.close()

    async def _was_cut(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        opened: streams.StreamedResponse,
    ) -> bool:
        """Whether a response that only its connection ends may be incomplete.

        The kernel ends the connections of a killed process like complete ones.
        """
        if attempt.is_relayed or not opened.ended_by_close:
            return False
        entry = attempt.placement.entry
        return await run.cell.reachability.has_ended(entry)

    def _misleads(self, run: runs.Run, response: calls.Response) -> bool:
        """Whether a status falsely promises that a request has not run.

        The upstream has not said so, or the request would have been retried.
        """
        if run.request.route.safe_to_retry:
            return False
        fields = self._adapter.parse_response_headers(
            response.status, response.headers
        )
        return fields.promises_not_run

    def _has_stalled(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        stall: stalls.StallDetector,
        block: event_stream.EventBatch | None,
    ) -> bool:
        """Whether a stream has stalled and another upstream may go on."""
        has_progressed = (
            block is not None and block.last_id != run.progress.last_id
        )
        now = anyio.current_time()
        if not stall.record(now, has_progressed=has_progressed):
            return False
        if attempt.is_relayed or not run.tries.allows_hedge:
            return False
        logs.bind(
            request_id=run.request.request_id,
            upstream=attempt.upstream,
            events=run.progress.events,
        ).info("stream stalled: bytes arrive, but no events")
        return True

    async def _forward_response(
        self, response: calls.Response, responder: responses.Responder
    ) -> None:
        headers = self._adapter.filter_response_headers(response.headers)
        await responder.respond(response.status, headers, response.body)

    async def _forward_stream(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        opened: streams.StreamedResponse,
    ) -> results.Result:
        """Forwards complete events as they arrive."""
        responder, progress = run.responder, run.progress
        splitter = event_stream.EventSplitter(
            progress.last_id or 0, opened.max_pending_bytes
        )
        if responder.started:
            logs.bind(
                request_id=run.request.request_id,
                upstream=attempt.upstream,
                software=attempt.placement.entry.software,
                resume_after=progress.last_id,
            ).info("stream resumed")
        else:
            headers = self._adapter.filter_response_headers(opened.headers)
            await responder.start(opened.status, headers)
        stall = stalls.StallDetector(anyio.current_time())
        while True:
            chunk = await opened.receive()
            if isinstance(chunk, calls.Failure):
                return results.make_lost_response(chunk)
            if not chunk:
                break
            block = splitter.feed(chunk)
            fault = _find_fault(splitter, block)
            if fault is not None:
                return results.LostResponse(fault)
            if self._has_stalled(run, attempt, stall, block):
                return results.LostResponse(
                    "bytes, but no event for too long", timed_out=True
                )
            if block is None:
                continue
            fault = await self._admit_events(run, attempt, opened)
            if fault is not None:
                return results.LostResponse(fault)
            _record_events(run, attempt, block)
            await responder.write(block.data)
        if splitter.pending or progress.last_id is None:
            return results.LostResponse("stream ended within an event")
        return await self._finish_stream(run, attempt, opened)

    async def _admit_events(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        opened: streams.StreamedResponse,
    ) -> str | None:
        """Records which software version writes a stream, before its events.

        Returns:
            Why they must not be forwarded, or None.
        """
        if attempt.is_admitted or attempt.is_relayed:
            return None
        request, progress = run.request, run.progress
        software = progress.software
        if software is None:
            software = await self._attestor.find_software(
                request, attempt.placement.entry, opened.process
            )
        if not await self._resumption.hold(request, software):
            return f"software version {software!r} is not stated"
        if progress.software not in (None, software):
            return (
                f"{progress.software!r} has begun the stream, not {software!r}"
            )
        progress.software = software
        if not await self._resumption.record_begin(request, software):
            return f"stream of {software!r} is not confirmed"
        attempt.is_admitted = True
        return None

    async def _finish_stream(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        opened: streams.StreamedResponse,
    ) -> results.Result:
        """Ends the response to the client, unless its upstream was killed."""
        if await self._was_cut(run, attempt, opened):
            return results.LostResponse(CUT_DETAIL)
        await run.responder.finish()
        self._resumption.record_end(run.request)
        return results.Completed(Codes.OK)


def _find_fault(
    splitter: event_stream.EventSplitter, block: event_stream.EventBatch | None
) -> str | None:
    """Returns why a stream must not be forwarded further, or None."""
    if splitter.excess is not None:
        return splitter.excess
    if block is not None and not block.in_order:
        return f"event {block.last_id} is out of order"
    return None


def _record_events(
    run: runs.Run, attempt: runs.Attempt, block: event_stream.EventBatch
) -> None:
    """Records events that are about to be forwarded."""
    events = block.data.count(event_stream.EVENT_END)
    run.progress.events += events
    run.progress.last_id = block.last_id
    attempt.events += events
    now = anyio.current_time()
    if attempt.began_at is None:
        attempt.began_at = now
    if attempt.timing is None:
        return
    event_s = attempt.timing.record(events, now)
    if event_s is not None:
        outcomes.record_pace(run, attempt, event_s)


def _is_forwarded_at_once(
    route: routing_document.Route, opened: streams.StreamedResponse
) -> bool:
    """Whether the client receives the events of a response as they arrive.

    On other routes another upstream answers anew if this one fails.
    """
    is_streaming = route.kind is routing_document.RequestKind.STREAMING
    is_success = 200 <= opened.status < 300
    return is_streaming and is_success and _is_event_stream(opened)


def _is_event_stream(opened: streams.StreamedResponse) -> bool:
    for name, value in opened.headers:
        if name == b"content-type":
            return value.startswith(EVENT_STREAM_TYPE)
    return False
