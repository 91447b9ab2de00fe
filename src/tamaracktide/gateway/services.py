"""Forwards requests to plain services."""

import collections

import anyio
import xxhash

from tamaracktide import result_codes
from tamaracktide.core import attempts
from tamaracktide.core import rows
from tamaracktide.gateway import asgi
from tamaracktide.gateway import claimed_runs
from tamaracktide.gateway import parts as gateway_parts
from tamaracktide.gateway import sources
from tamaracktide.gateway import targets
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import service

Codes = result_codes.ResultCode

PREFIX = "/services/"
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
FAILURE_BACKOFF_S = 2.0
"""Time in which a failed service is used only if no other is available."""


class Services:
    """Handles `/services/ROUTE/PATH`."""

    def __init__(self, parts: gateway_parts.Parts) -> None:
        """Builds the handler."""
        self._parts = parts
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._backoff_until: dict[str, float] = {}

    async def handle(
        self, request: asgi.Request, customer: str, responder: asgi.Responder
    ) -> None:
        """Handles one request.

        Raises:
            errors.TamaracktideError: The request failed, and the error has
                not been sent to the client yet.
        """
        target, service_target = self._find_target(request, customer)
        request.log_context.route = target.route.name
        idempotent = (
            target.route.idempotent and request.method in IDEMPOTENT_METHODS
        )
        key = request.find_header(b"idempotency-key")
        if idempotent or not key:
            await self._forward(
                request, target, service_target, idempotent, responder
            )
            return
        await claimed_runs.run_claimed(
            self._parts.claims,
            claimed_runs.KeyedRequest(
                customer, key, _make_fingerprint(request)
            ),
            responder,
            lambda: self._forward(
                request, target, service_target, False, responder
            ),
        )

    def _find_target(
        self, request: asgi.Request, customer: str
    ) -> tuple[targets.Target, str]:
        """Returns the target, and the path and query to send to the service."""
        name, service_target = self._split_target(request.target[len(PREFIX) :])
        target = targets.find_target(
            self._parts.tables.tables, name, customer, rows.UpstreamKind.SERVICE
        )
        return target, service_target

    def _split_target(self, rest: str) -> tuple[str, str]:
        """Splits off the route name, which may contain slashes."""
        path, mark, query = rest.partition("?")
        names = path.split("/")
        snapshot = self._parts.tables.tables
        for count in range(1, len(names) + 1):
            name = "/".join(names[:count])
            if snapshot.find_route(name) is not None:
                service_target = "/" + "/".join(names[count:])
                return name, service_target + mark + query
        return names[0], "/"

    async def _forward(
        self,
        request: asgi.Request,
        target: targets.Target,
        service_target: str,
        idempotent: bool,
        responder: asgi.Responder,
    ) -> asgi.Response:
        """Responds to the client and returns the response, kept for retries."""
        tries = attempts.Attempts(
            self._parts.settings.retries,
            self._parts.budget,
            self._parts.rng,
            idempotent=idempotent,
        )
        service_request = service.ServiceRequest(
            method=request.method,
            target=service_target,
            headers=request.headers,
            body=request.body,
        )
        avoid: tuple[str, ...] = ()
        while True:
            result = await self._try_once(
                request, target, service_request, tries, avoid
            )
            match result:
                case calls.Response():
                    response = _make_response(result)
                    await responder.respond(response)
                    return response
                case attempts.Retry(wait_s, avoid, _):
                    self._parts.metrics.retries.inc(
                        {"pool": target.pool.name, "cause": tries.last_cause}
                    )
                    await anyio.sleep(wait_s)
                case attempts.Abort(code, retry_after_s):
                    raise asgi.make_error(code, "", retry_after_s)

    async def _try_once(
        self,
        request: asgi.Request,
        target: targets.Target,
        service_request: service.ServiceRequest,
        tries: attempts.Attempts,
        avoid: tuple[str, ...],
    ) -> calls.Response | attempts.Action:
        remaining_s = request.deadline - anyio.current_time()
        if remaining_s <= 0:
            return tries.handle(attempts.Expired())
        selected = self._select_instance(target.pool, avoid)
        if selected is None:
            return tries.handle(attempts.GrantRefused(Codes.NO_UPSTREAM, 1.0))
        tries.handle(attempts.Granted(selected.id))
        tries.handle(attempts.Dispatched())
        request.log_context.upstream = selected.id
        self._in_flight[selected.id] += 1
        try:
            result = await self._parts.services.send(
                selected.address,
                service_request,
                remaining_s,
                fresh=request.method not in IDEMPOTENT_METHODS,
            )
        finally:
            self._in_flight[selected.id] -= 1
        if isinstance(result, calls.Response):
            self._record(request, "answer", str(result.status), selected.id)
            tries.handle(attempts.Completed())
            return result
        self._record(request, "failure", result.detail, selected.id)
        return await self._handle_failure(selected, result, tries)

    async def _handle_failure(
        self,
        selected: sources.Instance,
        failure: calls.Failure,
        tries: attempts.Attempts,
    ) -> attempts.Action:
        self._backoff_until[selected.id] = (
            anyio.current_time() + FAILURE_BACKOFF_S
        )
        await self._parts.upstream_client.close_idle(selected.address)
        if not failure.may_have_run:
            return tries.handle(attempts.NotRun())
        timed_out = failure.kind is calls.FailureKind.TIMEOUT
        return tries.handle(
            attempts.Interrupted(silent=timed_out, resumable=False)
        )

    def _select_instance(
        self, pool: rows.Pool, avoid: tuple[str, ...]
    ) -> sources.Instance | None:
        """Returns the live service with the fewest requests in flight.

        Services to avoid and those in back-off come last; the gateway's own
        zone breaks ties.
        """
        live = [
            found
            for name in pool.upstreams
            if (found := self._parts.members.find_live(name)) is not None
        ]
        now = anyio.current_time()

        def rank(instance: sources.Instance) -> tuple[bool, bool, int, bool]:
            return (
                instance.id in avoid,
                self._backoff_until.get(instance.id, 0.0) > now,
                self._in_flight[instance.id],
                instance.zone != self._parts.settings.zone,
            )

        return min(live, key=rank, default=None)

    def _record(
        self, request: asgi.Request, step: str, detail: str, upstream: str
    ) -> None:
        self._parts.records.add(
            request.request_id, step, detail, upstream=upstream
        )


def _make_fingerprint(request: asgi.Request) -> str:
    text = f"{request.method} {request.target}\n".encode()
    return str(xxhash.xxh64_hexdigest(text + request.body))


def _make_response(service_response: calls.Response) -> asgi.Response:
    dropped = (b"content-type", b"date", b"server", b"set-cookie")
    return asgi.Response(
        status=service_response.status,
        body=service_response.body,
        content_type=service_response.find_header(b"content-type")
        or asgi.JSON_TYPE,
        headers=tuple(
            (name, value)
            for name, value in service.filter_headers(service_response.headers)
            if name not in dropped
        ),
    )
