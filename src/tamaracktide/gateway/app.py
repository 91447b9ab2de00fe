"""The ASGI application, which checks and dispatches requests."""

from collections.abc import Awaitable
from collections.abc import Callable
import uuid

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.gateway import admin
from tamaracktide.gateway import asgi
from tamaracktide.gateway import completions
from tamaracktide.gateway import parts as gateway_parts
from tamaracktide.gateway import services
from tamaracktide.observability import logs
from tamaracktide.observability import traces
from tamaracktide.settings import api_keys

Codes = result_codes.ResultCode
Handler = Callable[[asgi.Request, str, asgi.Responder], Awaitable[None]]

COMPLETION_PATHS = frozenset(("/v1/completions", "/v1/chat/completions"))


class App:
    """The ASGI application of the gateway.

    Attributes:
        draining: Whether new requests are refused.
        in_progress: Requests in progress.
    """

    def __init__(self, parts: gateway_parts.Parts) -> None:
        """Builds the application."""
        self._parts = parts
        self._completions = completions.Completions(parts)
        self._services = services.Services(parts)
        self._admin_endpoints = admin.AdminEndpoints(parts)
        self.draining = False
        self.in_progress = 0

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        request_id = uuid.uuid4().hex
        responder = asgi.Responder(send, request_id)
        response = self._admin_endpoints.make_response(
            scope, draining=self.draining, in_progress=self.in_progress
        )
        if response is not None:
            await responder.respond(response)
            return
        self.in_progress += 1
        try:
            await self._serve(scope, receive, responder, request_id)
        finally:
            self.in_progress -= 1

    async def _serve(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        responder: asgi.Responder,
        request_id: str,
    ) -> None:
        started_at = anyio.current_time()
        headers = tuple(scope["headers"])
        traceparent = asgi.find_header(headers, b"traceparent")
        code = Codes.OK
        log_context = asgi.LogContext()
        with traces.start_span(
            "gateway.request", traceparent, {"request_id": request_id}
        ) as span:
            try:
                await self._handle(
                    scope, receive, responder, request_id, log_context
                )
            except errors.TamaracktideError as error:
                code = error.code
                await _send_error(responder, error)
            except Exception as error:
                code = Codes.OUTCOME_UNKNOWN
                logs.bind(request_id=request_id).opt(exception=True).error(
                    "request failed: {!r}", error
                )
                await _send_error(responder, asgi.make_error(code))
            span.set_attribute("code", code.value)
            span.set_attribute("customer", log_context.customer)
            span.set_attribute("route", log_context.route)
        seconds = anyio.current_time() - started_at
        self._record_metrics(scope["path"], code, seconds)
        logs.bind(
            request_id=request_id,
            customer=log_context.customer,
            route=log_context.route,
            upstream=log_context.upstream,
            code=code.value,
            seconds=round(seconds, 4),
        ).info("request ended: {}", code.name)

    def _record_metrics(
        self, path: str, code: result_codes.ResultCode, seconds: float
    ) -> None:
        kind = "service" if path.startswith(services.PREFIX) else "engine"
        metrics = self._parts.metrics
        metrics.requests.inc({"kind": kind, "code": str(code.value)})
        metrics.request_seconds.observe({"kind": kind}, seconds)
        meaning = result_codes.MEANINGS[code]
        if meaning.execution is result_codes.Execution.NOT_RUN:
            metrics.refusals.inc({"code": str(code.value)})

    async def _handle(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        responder: asgi.Responder,
        request_id: str,
        log_context: asgi.LogContext,
    ) -> None:
        self._check_limits(scope)
        customer = self._authenticate(tuple(scope["headers"]))
        log_context.customer = customer
        handler = self._find_handler(scope)
        request = await self._read_request(
            scope, receive, request_id, log_context
        )
        self._parts.records.add(
            request_id,
            "received",
            f"{request.method} {request.path} of {customer}",
        )
        failure: errors.TamaracktideError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                asgi.cancel_on_disconnect, receive, tasks.cancel_scope
            )
            try:
                await handler(request, customer, responder)
            except errors.TamaracktideError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not responder.finished:
            raise asgi.make_error(Codes.CALLER_LEFT)

    def _check_limits(self, scope: asgi.Scope) -> None:
        limits = self._parts.settings.http
        if self.draining:
            raise asgi.make_error(Codes.DRAINING)
        if self.in_progress > limits.max_requests:
            raise asgi.make_error(
                Codes.QUEUE_FULL,
                f"{limits.max_requests} requests are in progress",
            )
        if (
            asgi.measure_headers(tuple(scope["headers"]))
            > limits.max_header_bytes
        ):
            raise asgi.make_error(
                Codes.REQUEST_TOO_LARGE,
                f"headers exceed {limits.max_header_bytes} bytes",
            )

    def _authenticate(self, headers: asgi.Headers) -> str:
        """Returns the customer of the API key."""
        scheme, _, key = asgi.find_header(headers, b"authorization").partition(
            " "
        )
        customer = None
        if scheme.lower() == "bearer":
            customer = api_keys.verify_api_key(
                key.strip(), self._parts.settings.key_secret
            )
        if customer is None:
            raise asgi.make_error(Codes.UNAUTHENTICATED)
        return customer

    def _find_handler(self, scope: asgi.Scope) -> Handler:
        path = scope["path"]
        if path.startswith(services.PREFIX):
            return self._services.handle
        methods: dict[str, Handler] = {"POST": self._completions.handle}
        if path == "/v1/models":
            methods = {"GET": self._list_models}
        elif path not in COMPLETION_PATHS:
            raise asgi.make_error(Codes.ROUTE_UNKNOWN, f"no path {path!r}")
        handler = methods.get(scope["method"])
        if handler is None:
            raise asgi.make_error(
                Codes.METHOD_NOT_ALLOWED, f"{scope['method']} of {path}"
            )
        return handler

    async def _list_models(
        self, _request: asgi.Request, customer: str, responder: asgi.Responder
    ) -> None:
        routes = self._parts.tables.tables.list_customer_routes(customer)
        models = [
            {"id": route.name, "object": "model", "owned_by": customer}
            for route in routes
            if route.adapter
        ]
        await responder.respond(
            asgi.make_json_response({"object": "list", "data": models})
        )

    async def _read_request(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        request_id: str,
        log_context: asgi.LogContext,
    ) -> asgi.Request:
        limits = self._parts.settings.http
        headers = tuple(scope["headers"])
        timeout_s = self._read_timeout(headers)
        with anyio.move_on_after(timeout_s):
            return asgi.Request(
                request_id=request_id,
                method=scope["method"],
                path=scope["path"],
                target=asgi.find_target(scope),
                headers=headers,
                body=await asgi.read_body(receive, limits.max_body_bytes),
                deadline=anyio.current_time() + timeout_s,
                log_context=log_context,
            )
        raise asgi.make_error(
            Codes.BAD_REQUEST, "request body did not arrive in time"
        )

    def _read_timeout(self, headers: asgi.Headers) -> float:
        limits = self._parts.settings.http
        text = asgi.find_header(headers, b"x-timeout-s")
        if not text:
            return limits.default_timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = 0.0
        if not 0 < timeout_s <= limits.max_timeout_s:
            raise asgi.make_error(
                Codes.BAD_REQUEST,
                f"X-Timeout-S {text!r} is not in (0, {limits.max_timeout_s}]",
            )
        return timeout_s


async def _send_error(
    responder: asgi.Responder, error: errors.TamaracktideError
) -> None:
    if error.code is Codes.CALLER_LEFT:
        return
    if responder.started:
        await responder.finish(asgi.encode_error_event(error))
        return
    await responder.respond(asgi.make_error_response(error))
