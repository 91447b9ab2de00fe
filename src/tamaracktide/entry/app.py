"""The ASGI application for callers: checks a request and has it served."""

from collections.abc import Callable
import random

import anyio
import xxhash

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing_document
from tamaracktide.entry import cluster_state
from tamaracktide.entry import forwarding
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests
from tamaracktide.entry import responses
from tamaracktide.entry import results
from tamaracktide.gateway import asgi
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module

Codes = result_codes.ResultCode

ANSWER_MARGIN_S = 0.02
"""Time kept for the final answer to reach the caller in time."""

NO_TABLE_RETRY_S = 0.5
"""An instance that has just started learns the routes within a second."""

MAX_IN_PROGRESS = 2000
"""Requests in progress at one instance; each holds two connections."""


class App:
    """Answers callers.

    Attributes:
        closing: Whether connections are closed after their answer.
    """

    def __init__(
        self,
        adapter: entry_adapter.PlatformAdapter,
        known: cluster_state.ClusterState,
        forwarder: forwarding.Forwarder,
        metrics: metrics_module.Metrics,
        note_asked: Callable[[requests.ClientRequest], None],
    ) -> None:
        """Builds the application."""
        self._scopes: set[anyio.CancelScope] = set()
        self.closing = False
        self._adapter = adapter
        self._known = known
        self._forwarder = forwarder
        self._metrics = metrics
        self._note_asked = note_asked

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        responder = responses.Responder(send, close=self.closing)
        scope_of_request = anyio.CancelScope()
        self._scopes.add(scope_of_request)
        try:
            with scope_of_request:
                await self._serve(scope, receive, responder)
        finally:
            self._scopes.discard(scope_of_request)

    @property
    def in_progress(self) -> int:
        """Requests in progress."""
        return len(self._scopes)

    def cut(self) -> None:
        """Breaks off every request in progress, at the end of the grace."""
        for scope_of_request in list(self._scopes):
            scope_of_request.cancel()

    async def _serve(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        responder: responses.Responder,
    ) -> None:
        started_at = anyio.current_time()
        headers: requests.Headers = tuple(scope["headers"])
        fields = self._adapter.read_caller(headers)
        outcome = _Outcome()
        try:
            request = await self._read_request(
                scope, receive, headers, fields, started_at
            )
            outcome.route = request.route.name
            self._note_asked(request)
            await self._watch(request, receive, responder, outcome)
        except errors.TamaracktideError as error:
            outcome.code, outcome.detail = error.code, error.detail
            if not responder.started and error.code is not Codes.CALLER_LEFT:
                await responder.refuse(fields.request_id, error)
        except Exception as error:
            outcome.code = Codes.OUTCOME_UNKNOWN
            logs.bind(request_id=fields.request_id).opt(exception=True).error(
                "request failed: {!r}", error
            )
            if not responder.started:
                await responder.refuse(
                    fields.request_id,
                    errors.OutcomeUnknownError(outcome.code, "internal error"),
                )
        self._log(fields.request_id, outcome, started_at)

    async def _watch(
        self,
        request: requests.ClientRequest,
        receive: asgi.Receive,
        responder: responses.Responder,
        outcome: "_Outcome",
    ) -> None:
        """Serves a request until it is answered or its caller leaves."""
        failure: errors.TamaracktideError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(asgi.watch_caller, receive, tasks.cancel_scope)
            try:
                outcome.code, outcome.progress = await self._forwarder.serve(
                    request, responder
                )
            except errors.TamaracktideError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not responder.finished:
            raise errors.OutcomeUnknownError(Codes.CALLER_LEFT, "caller left")

    async def _read_request(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        headers: requests.Headers,
        fields: entry_adapter.CallerFields,
        started_at: float,
    ) -> requests.ClientRequest:
        table = self._known.table
        if table is None:
            raise errors.RefusalError(
                Codes.TABLES_NOT_LOADED, "no routes yet", NO_TABLE_RETRY_S
            )
        if self.in_progress > MAX_IN_PROGRESS:
            raise errors.RefusalError(
                Codes.QUEUE_FULL,
                f"{MAX_IN_PROGRESS} requests are in progress",
                random.uniform(0.5, 1.0),
            )
        limits = table.document.limits
        if asgi.measure_headers(headers) > limits.max_header_bytes:
            raise errors.RefusalError(
                Codes.REQUEST_TOO_LARGE,
                f"headers of more than {limits.max_header_bytes} bytes",
            )
        target = asgi.find_target(scope)
        route = self._find_route(table, fields.host, target)
        body = await asgi.read_body(receive, limits.max_body_bytes)
        # The document may have changed while the body arrived.
        table = self._known.table or table
        route = self._find_route(table, fields.host, target)
        service = route.choose_service(fields.request_id)
        deadline = started_at + route.timeout_s
        if fields.time_left_s is not None:
            deadline = started_at + fields.time_left_s
        return requests.ClientRequest(
            request_id=fields.request_id,
            method=scope["method"],
            target=target,
            headers=headers,
            body=body,
            route=route,
            service=table.document.services[service],
            deadline=deadline,
            expires_at=min(deadline, started_at + route.timeout_s)
            - ANSWER_MARGIN_S,
            generation=fields.generation,
            resume_after=fields.resume_after,
            fingerprint=_make_fingerprint(target, body),
        )

    def _find_route(
        self, table: routing_document.RouteTable, host: str, target: str
    ) -> routing_document.Route:
        route = table.find(host, target.partition("?")[0])
        if route is None:
            raise errors.RefusalError(
                Codes.ROUTE_UNKNOWN,
                f"no route for {host!r} {target!r} in version "
                f"{table.document.version}",
            )
        return route

    def _log(
        self, request_id: str, outcome: "_Outcome", started_at: float
    ) -> None:
        seconds = anyio.current_time() - started_at
        kind = {"kind": "entry"}
        self._metrics.requests.inc({**kind, "code": str(outcome.code.value)})
        self._metrics.request_seconds.observe(kind, seconds)
        progress = outcome.progress
        logs.bind(
            request_id=request_id,
            route=outcome.route,
            upstreams=progress.upstreams if progress else [],
            events=progress.events if progress else 0,
            code=outcome.code.value,
            seconds=round(seconds, 4),
        ).info("request ended: {} {}", outcome.code.name, outcome.detail)


class _Outcome:
    """How a request ended, for its log line."""

    __slots__ = ("code", "detail", "progress", "route")

    def __init__(self) -> None:
        self.code = Codes.OK
        self.detail = ""
        self.progress: results.Progress | None = None
        self.route = ""


def _make_fingerprint(target: str, body: bytes) -> str:
    digest = xxhash.xxh64(target.encode("latin-1"))
    digest.update(body)
    return digest.hexdigest()
