"""The ASGI application for clients: validates and forwards requests."""

from collections.abc import Callable
import random

import anyio
import xxhash

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing_document
from tamaracktide.entry import callers
from tamaracktide.entry import cluster_state
from tamaracktide.entry import forwarding
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests
from tamaracktide.entry import responses
from tamaracktide.entry import results
from tamaracktide.entry import stream_services
from tamaracktide.entry import usage as entry_usage
from tamaracktide.gateway import asgi
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module

Codes = result_codes.ResultCode

RESPONSE_MARGIN_S = 0.02
"""Time reserved for the final response to reach the client."""

NO_ROUTES_RETRY_AFTER_S = 0.5
"""An instance that has just started receives the routes within 1 s."""

MAX_REQUESTS_IN_PROGRESS = 2000
"""Limit for one instance; each request holds two connections."""


class App:
    """Serves client requests.

    Attributes:
        close_connections: Whether each connection is closed after its
            response.
    """

    def __init__(
        self,
        adapter: entry_adapter.PlatformAdapter,
        state: cluster_state.ClusterState,
        service_chooser: stream_services.ServiceChooser,
        forwarder: forwarding.Forwarder,
        usage: entry_usage.UsageMeter,
        metrics: metrics_module.Metrics,
        record_request: Callable[[requests.ClientRequest], None],
    ) -> None:
        """Builds the application.

        Args:
            adapter: Translates the platform's headers.
            state: Provides the routing table.
            service_chooser: Chooses the services of requests.
            forwarder: Forwards requests to upstreams.
            usage: Charges requests to the usage caps of workspaces.
            metrics: Counts requests and their durations.
            record_request: Called with each request that has a route.
        """
        self._request_scopes: set[anyio.CancelScope] = set()
        self.close_connections = False
        self._adapter = adapter
        self._cluster_state = state
        self._service_chooser = service_chooser
        self._forwarder = forwarder
        self._usage = usage
        self._metrics = metrics
        self._record_request = record_request

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request of a client."""
        await self._accept(scope, receive, send, None)

    async def serve_relayed(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        relayed: requests.Relayed,
    ) -> None:
        """Serves one request that another instance sent on.

        Args:
            scope: The ASGI scope.
            receive: The ASGI receive callable.
            send: The ASGI send callable.
            relayed: What the other instance says about it.
        """
        await self._accept(scope, receive, send, relayed)

    async def _accept(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        relayed: requests.Relayed | None,
    ) -> None:
        if scope["type"] != "http":
            return
        responder = responses.Responder(
            send, close=self.close_connections, to_peer=relayed is not None
        )
        request_scope = anyio.CancelScope()
        self._request_scopes.add(request_scope)
        try:
            with request_scope:
                await self._serve(scope, receive, responder, relayed)
        finally:
            self._request_scopes.discard(request_scope)

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return len(self._request_scopes)

    def cancel_requests(self) -> None:
        """Cancels the requests in progress when the grace period ends."""
        for request_scope in list(self._request_scopes):
            request_scope.cancel()

    async def _serve(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        responder: responses.Responder,
        relayed: requests.Relayed | None,
    ) -> None:
        started_at = anyio.current_time()
        headers: requests.Headers = tuple(scope["headers"])
        fields = self._adapter.parse_client_headers(headers)
        outcome = _Outcome()
        try:
            request = await self._read_request(
                scope, receive, headers, fields, started_at, relayed
            )
            outcome.route = request.route.name
            if request.caller is not None:
                outcome.workspace = request.caller.workspace
            await self._serve_charged(request, receive, responder, outcome)
        except errors.TamaracktideError as error:
            outcome.code, outcome.detail = error.code, error.detail
            if not responder.started and error.code is not Codes.CALLER_LEFT:
                await responder.respond_error(fields.request_id, error)
        except Exception as error:
            outcome.code = Codes.OUTCOME_UNKNOWN
            logs.bind(request_id=fields.request_id).opt(exception=True).error(
                "request failed: {!r}", error
            )
            if not responder.started:
                await responder.respond_error(
                    fields.request_id,
                    errors.OutcomeUnknownError(outcome.code, "internal error"),
                )
        outcome.response = responder.state
        self._log_outcome(fields, outcome, started_at)

    async def _serve_charged(
        self,
        request: requests.ClientRequest,
        receive: asgi.Receive,
        responder: responses.Responder,
        outcome: "_Outcome",
    ) -> None:
        """Serves a request, and returns its charge if it has not run."""
        charge = None
        if request.caller is not None and request.relayed_attempts is None:
            charge = self._usage.charge(
                request.caller, request.tokens, request.request_id
            )
        self._record_request(request)
        try:
            await self._serve_until_disconnect(
                request, receive, responder, outcome
            )
        except errors.RefusalError:
            if charge is not None:
                self._usage.give_back(charge)
            raise

    async def _serve_until_disconnect(
        self,
        request: requests.ClientRequest,
        receive: asgi.Receive,
        responder: responses.Responder,
        outcome: "_Outcome",
    ) -> None:
        """Serves a request until it completes or its client disconnects."""
        progress = results.Progress(request.resume_after)
        outcome.progress = progress
        error_to_raise: errors.TamaracktideError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                asgi.cancel_on_disconnect, receive, tasks.cancel_scope
            )
            try:
                outcome.code = await self._forwarder.serve(
                    request, responder, progress
                )
            except errors.TamaracktideError as error:
                error_to_raise = error
            tasks.cancel_scope.cancel()
        if error_to_raise is not None:
            raise error_to_raise
        if not responder.finished:
            raise errors.OutcomeUnknownError(
                Codes.CALLER_LEFT,
                "client disconnected before the response ended",
            )

    async def _read_request(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        headers: requests.Headers,
        fields: entry_adapter.ClientFields,
        started_at: float,
        relayed: requests.Relayed | None,
    ) -> requests.ClientRequest:
        table = self._cluster_state.table
        if table is None:
            raise errors.RefusalError(
                Codes.TABLES_NOT_LOADED,
                "no routing document received yet",
                NO_ROUTES_RETRY_AFTER_S,
            )
        if self.in_progress > MAX_REQUESTS_IN_PROGRESS:
            raise errors.RefusalError(
                Codes.QUEUE_FULL,
                f"{MAX_REQUESTS_IN_PROGRESS} requests are already in progress",
                random.uniform(0.5, 1.0),
            )
        limits = table.document.limits
        if asgi.measure_headers(headers) > limits.max_header_bytes:
            raise errors.RefusalError(
                Codes.REQUEST_TOO_LARGE,
                f"headers exceed {limits.max_header_bytes} bytes",
            )
        target = asgi.find_target(scope)
        route = self._find_route(table, fields.host, target)
        callers.identify(table, route, fields, relayed)
        body = await asgi.read_body(receive, limits.max_body_bytes)
        # The routing document may change while the body is read.
        table = self._cluster_state.table or table
        route = self._find_route(table, fields.host, target)
        caller = callers.identify(table, route, fields, relayed)
        deadline = started_at + route.timeout_s
        if fields.time_left_s is not None:
            deadline = started_at + fields.time_left_s
        expires_at = (
            min(deadline, started_at + route.timeout_s) - RESPONSE_MARGIN_S
        )
        service = await self._service_chooser.choose(
            route, target.partition("?")[0], fields, expires_at
        )
        return requests.ClientRequest(
            request_id=fields.request_id,
            method=scope["method"],
            target=target,
            headers=headers,
            body=body,
            route=route,
            service=table.document.services[service],
            deadline=deadline,
            expires_at=expires_at,
            generation=fields.generation,
            resume_after=fields.resume_after,
            resumed_request=fields.resumed_request,
            fingerprint=compute_fingerprint(target, body),
            relayed_attempts=None if relayed is None else relayed.attempts,
            caller=caller,
        )

    def _find_route(
        self, table: routing_document.RouteTable, host: str, target: str
    ) -> routing_document.Route:
        route = table.find(host, target.partition("?")[0])
        if route is None:
            raise errors.RefusalError(
                Codes.ROUTE_UNKNOWN,
                f"no route for {host!r} {target!r} in routing document "
                f"version {table.document.version}",
            )
        return route

    def _log_outcome(
        self,
        fields: entry_adapter.ClientFields,
        outcome: "_Outcome",
        started_at: float,
    ) -> None:
        seconds = anyio.current_time() - started_at
        labels = {"kind": "entry"}
        self._metrics.requests.inc({**labels, "code": str(outcome.code.value)})
        self._metrics.request_seconds.observe(labels, seconds)
        progress = outcome.progress
        logs.bind(
            request_id=fields.request_id,
            route=outcome.route,
            workspace=outcome.workspace,
            resume_after=fields.resume_after,
            resumed_request=fields.resumed_request,
            upstreams=progress.upstreams if progress else [],
            events=progress.events if progress else 0,
            response=outcome.response,
            first_s=_round(progress.first_s if progress else None),
            longest_gap_s=_round(progress.longest_gap_s if progress else None),
            event_s=_round(progress.event_s if progress else None),
            limit=progress.limit.value if progress and progress.limit else "",
            code=outcome.code.value,
            seconds=round(seconds, 4),
        ).info("request finished: {} {}", outcome.code.name, outcome.detail)


class _Outcome:
    """Outcome of a request, for its log record."""

    __slots__ = (
        "code",
        "detail",
        "progress",
        "response",
        "route",
        "workspace",
    )

    def __init__(self) -> None:
        self.code = Codes.OK
        self.detail = ""
        self.progress: results.Progress | None = None
        self.response = ""
        self.route = ""
        self.workspace = ""


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)


def compute_fingerprint(target: str, body: bytes) -> str:
    """Returns the fingerprint of a request, equal for all its attempts."""
    digest = xxhash.xxh64(target.encode("latin-1"))
    digest.update(body)
    return digest.hexdigest()
