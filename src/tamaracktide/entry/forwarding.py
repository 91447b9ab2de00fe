"""Passes a request on to upstreams until it has its final answer."""

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

Codes = result_codes.ResultCode

STREAM_SILENCE_S = 1.5
"""Silence after which a resumable stream goes on elsewhere. Callers leave
after 2 s or more; events come each 30 ms, or 250 ms beside long prompts."""

REPEAT_AFTER_TARGETS = 2.0
"""Silence, in target latencies, after which a repeatable call is repeated."""

LEAST_REPEAT_S = 0.3
EARLY_WAIT_S = 0.03
"""Pause after an engine said that an adapter is not there yet."""

MOST_EARLY = 3
MOST_UNRUN = 2
"""Further upstreams tried after ones that surely did not run a request."""

LEAST_TIME_S = 0.03
"""With less time left a request is not sent at all."""

MAX_ANSWER_BYTES = 8 << 20
EVENT_STREAM = b"text/event-stream"


class _Budget:
    """Pays for the repeats of one service."""

    __slots__ = ("_count_instances", "_window")

    def __init__(
        self,
        window: retry_window.RetryWindow,
        count_instances: Callable[[], int],
    ) -> None:
        self._window = window
        self._count_instances = count_instances

    def add_request(self) -> None:
        """Counts a request."""
        self._window.add_request(anyio.current_time())

    def take(self) -> bool:
        """Takes one retry; returns whether there was one."""
        return self._window.take(self._count_instances(), anyio.current_time())


class Forwarder:
    """Serves the requests of callers through service cells."""

    def __init__(
        self,
        adapter: entry_adapter.PlatformAdapter,
        caller: calls.Caller,
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
        self._caller = caller
        self._find_cell = find_cell
        self._find_version = find_version
        self._crashes = crashes
        self._retries = retries
        self._count_instances = count_instances
        self._metrics = metrics
        self._windows: dict[str, retry_window.RetryWindow] = {}
        self._rng = random.Random()

    async def serve(
        self, request: requests.ClientRequest, responder: responses.Responder
    ) -> tuple[result_codes.ResultCode, results.Progress]:
        """Answers a request.

        Raises:
            errors.TamaracktideError: It was given up; the caller has not been
                told yet.
        """
        progress = results.Progress(request.resume_after)
        if self._crashes.is_refused(request.fingerprint):
            raise errors.RefusalError(
                Codes.QUARANTINED, "it crashed upstreams", 5.0
            )
        tries = attempts.Attempts(
            attempts.RetrySettings(
                max_attempts=request.route.max_attempts,
                max_unrun=MOST_UNRUN,
                backoff_s=0.005,
                max_backoff_s=0.05,
                retry_after_s=0.5,
            ),
            self._find_budget(request.service.name),
            self._rng,
            idempotent=request.route.repeatable,
            continuable=request.route.resumable,
        )
        with anyio.CancelScope(deadline=request.expires_at) as scope:
            code = await self._run(request, responder, tries, progress)
        if scope.cancelled_caught:
            self._give_up(request, tries.handle(attempts.Expired()))
        return code, progress

    def _find_budget(self, service: str) -> _Budget:
        window = self._windows.get(service)
        if window is None:
            window = retry_window.RetryWindow(self._retries)
            self._windows[service] = window
        return _Budget(window, self._count_instances)

    async def _run(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        tries: attempts.Attempts,
        progress: results.Progress,
    ) -> result_codes.ResultCode:
        avoid: tuple[str, ...] = ()
        while True:
            action, result = await self._try_once(
                request, responder, tries, progress, avoid
            )
            if isinstance(result, results.Whole):
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
                case attempts.Abort():
                    own = isinstance(result, results.Lost) and result.answer
                    if own and not responder.started:
                        await self._pass_whole(own, responder)
                        return Codes.OK
                    self._give_up(request, action)

    def _give_up(
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
                    f"{request.request_id}: {action} after the end"
                )

    async def _try_once(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        tries: attempts.Attempts,
        progress: results.Progress,
        avoid: tuple[str, ...],
    ) -> tuple[attempts.Action, results.Result | None]:
        cell = self._find_cell(request.service)
        try:
            place = await cell.acquire_placement(request, avoid)
        except errors.RefusalError as error:
            refused = attempts.GrantRefused(
                error.code, error.retry_after_s or 0.5, final=True
            )
            return tries.handle(refused), None
        tries.handle(attempts.Granted(place.entry.upstream))
        result: results.Result | None = None
        try:
            result = await self._use(request, responder, tries, progress, place)
        finally:
            self._end(cell, request, place, result, progress)
        match result:
            case results.Whole():
                return tries.handle(attempts.Completed()), result
            case results.NotRun():
                return tries.handle(attempts.NotRun()), result
            case results.Lost(silent=silent):
                if progress.events:
                    tries.handle(attempts.Progressed(progress.events))
                broke = attempts.Interrupted(silent, resumable=False)
                return tries.handle(broke), result

    def _end(
        self,
        cell: service_cell.ServiceCell,
        request: requests.ClientRequest,
        place: service_cell.Placement,
        result: results.Result | None,
        progress: results.Progress,
    ) -> None:
        """Gives the place back and notes what the attempt showed."""
        upstream = place.entry.upstream
        missing = isinstance(result, results.NotRun) and result.missing
        tokens = 0
        match result:
            case results.Whole():
                cell.health.record_success(upstream)
                self._crashes.record_completion(request.fingerprint)
                tokens = 1
                engine = request.service.engine
                if engine is not None:
                    tokens = progress.events * engine.event_tokens
            case results.NotRun(unreachable=True):
                cell.reachability.record_unreachable(place.entry)
            case results.Lost():
                self._note_lost(cell, request, place, result)
        if result is not None and not isinstance(result, results.Whole):
            logs.bind(
                request_id=request.request_id,
                upstream=upstream,
                adapter=place.key.text,
                waited_s=round(place.waited_s, 4),
            ).info("attempt failed: {}", result.detail)
        cell.end(place, tokens, missing=missing)

    def _note_lost(
        self,
        cell: service_cell.ServiceCell,
        request: requests.ClientRequest,
        place: service_cell.Placement,
        lost: results.Lost,
    ) -> None:
        """Notes what a lost answer says of its upstream and its request."""
        now = anyio.current_time()
        changed = cell.health.record_failure(place.entry.upstream, now)
        if lost.answer is None:
            cell.reachability.check_reachable(place.entry)
            if not lost.silent:
                self._crashes.record_loss(request.fingerprint, place.entry)
        if changed:
            cell.refresh()

    async def _use(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        tries: attempts.Attempts,
        progress: results.Progress,
        place: service_cell.Placement,
    ) -> results.Result:
        """Sends a request to a place, again if its adapter is a bit late."""
        tries.handle(attempts.Dispatched())
        budget = self._find_budget(request.service.name)
        for early in range(MOST_EARLY + 1):
            result = await self._send(request, responder, progress, place)
            if not isinstance(result, results.NotRun) or not result.missing:
                return result
            if early == MOST_EARLY or place.waited_s == 0:
                return result
            if not budget.take():
                return result
            await anyio.sleep(EARLY_WAIT_S * (early + 1))
        return result

    async def _send(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        progress: results.Progress,
        place: service_cell.Placement,
    ) -> results.Result:
        left_s = request.expires_at - anyio.current_time()
        if left_s < LEAST_TIME_S:
            return results.NotRun("no time left")
        generation = request.generation
        version = 0
        if generation is not None and generation.adapter:
            version = self._find_version(generation.model, generation.adapter)
        terms = entry_adapter.CallOptions(
            upstream=place.entry.upstream,
            address=place.entry.address,
            time_left_s=left_s,
            priority=request.route.priority,
            version=version,
            resume_after=progress.last_id,
        )
        progress.upstreams.append(place.entry.upstream)
        opened = await self._caller.open(
            calls.Call(
                method=request.method,
                address=place.entry.address,
                target=request.target,
                headers=self._adapter.make_headers(request, terms),
                body=request.body,
                timeout_s=self._find_silence_s(request, left_s),
            )
        )
        if isinstance(opened, calls.Failure):
            if not opened.may_have_run:
                return results.NotRun(opened.detail, unreachable=True)
            silent = opened.kind is calls.FailureKind.TIMEOUT
            return results.Lost(opened.detail, silent=silent)
        try:
            return await self._take_answer(request, responder, progress, opened)
        finally:
            await opened.close()

    def _find_silence_s(
        self, request: requests.ClientRequest, left_s: float
    ) -> float:
        """Returns the silence after which another upstream is tried."""
        route = request.route
        match route.kind:
            case routing_document.RequestKind.STREAMING if route.resumable:
                return min(left_s, STREAM_SILENCE_S)
            case routing_document.RequestKind.IDEMPOTENT:
                if route.max_attempts < 2:
                    return left_s
                silence_s = REPEAT_AFTER_TARGETS * route.target_latency_s
                return min(left_s, max(LEAST_REPEAT_S, silence_s))
            case _:
                return left_s

    async def _take_answer(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        progress: results.Progress,
        opened: calls.OpenAnswer,
    ) -> results.Result:
        fields = self._adapter.read_answer(opened.status, opened.headers)
        if fields.request_id and fields.request_id != request.request_id:
            return results.Lost(f"answer to {fields.request_id!r}")
        if fields.not_run:
            await opened.read(MAX_ANSWER_BYTES)
            return results.NotRun(
                f"status {opened.status}", missing=fields.misdirected
            )
        is_success = 200 <= opened.status < 300
        if is_success and not (fields.signed and fields.request_id):
            return results.Lost("success without a signature or request id")
        if is_success and _is_event_stream(opened):
            return await self._pass_stream(request, responder, progress, opened)
        answer = await opened.read(MAX_ANSWER_BYTES)
        if isinstance(answer, calls.Failure):
            silent = answer.kind is calls.FailureKind.TIMEOUT
            return results.Lost(answer.detail, silent=silent)
        if opened.status >= 500 or responder.started:
            return results.Lost(f"status {opened.status}", answer=answer)
        await self._pass_whole(answer, responder)
        return results.Whole(Codes.OK)

    async def _pass_whole(
        self, answer: calls.Answer, responder: responses.Responder
    ) -> None:
        headers = self._adapter.list_returned(answer.headers)
        await responder.reply(answer.status, headers, answer.body)

    async def _pass_stream(
        self,
        request: requests.ClientRequest,
        responder: responses.Responder,
        progress: results.Progress,
        opened: calls.OpenAnswer,
    ) -> results.Result:
        """Passes whole events on as they arrive."""
        splitter = event_stream.EventSplitter(progress.last_id or 0)
        if not responder.started:
            headers = self._adapter.list_returned(opened.headers)
            await responder.start(opened.status, headers)
        while True:
            part = await opened.receive()
            if isinstance(part, calls.Failure):
                silent = part.kind is calls.FailureKind.TIMEOUT
                return results.Lost(part.detail, silent=silent)
            if not part:
                break
            block = splitter.feed(part)
            if block is None:
                continue
            if not block.in_order:
                return results.Lost(f"event {block.last_id} out of order")
            progress.events += block.data.count(event_stream.EVENT_END)
            progress.last_id = block.last_id
            await responder.write(block.data)
        if splitter.pending or progress.last_id is None:
            return results.Lost("the stream ended within an event")
        await responder.finish()
        return results.Whole(Codes.OK)


def _is_event_stream(opened: calls.OpenAnswer) -> bool:
    for name, value in opened.headers:
        if name == b"content-type":
            return value.startswith(EVENT_STREAM)
    return False
