"""Passes requests on to plain services."""

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
SHUN_S = 2.0
"""How long a service that failed is asked only if no other is left."""


class Services:
    """Answers `/services/ROUTE/PATH`."""

    def __init__(self, parts: gateway_parts.Parts) -> None:
        """Builds the handler."""
        self._parts = parts
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._shunned_until: dict[str, float] = {}

    async def handle(
        self, request: asgi.Request, customer: str, responder: asgi.Responder
    ) -> None:
        """Answers one request.

        Raises:
            errors.TamaracktideError: The request was given up; the caller
                has not been told yet.
        """
        target, passed = self._find_target(request, customer)
        request.note.route = target.route.name
        idempotent = (
            target.route.idempotent and request.method in IDEMPOTENT_METHODS
        )
        key = request.find_header(b"idempotency-key")
        if idempotent or not key:
            await self._answer(request, target, passed, idempotent, responder)
            return
        await claimed_runs.run_claimed(
            self._parts.claims,
            claimed_runs.Keyed(customer, key, _make_fingerprint(request)),
            responder,
            lambda: self._answer(request, target, passed, False, responder),
        )

    def _find_target(
        self, request: asgi.Request, customer: str
    ) -> tuple[targets.Target, str]:
        """Returns the target and the path and query for the service."""
        name, passed = self._split_target(request.target[len(PREFIX) :])
        target = targets.find_target(
            self._parts.tables.tables, name, customer, rows.UpstreamKind.SERVICE
        )
        return target, passed

    def _split_target(self, rest: str) -> tuple[str, str]:
        """Returns the route name and what follows; names may hold slashes."""
        path, mark, query = rest.partition("?")
        names = path.split("/")
        snapshot = self._parts.tables.tables
        for count in range(1, len(names) + 1):
            name = "/".join(names[:count])
            if snapshot.find_route(name) is not None:
                passed = "/" + "/".join(names[count:])
                return name, passed + mark + query
        return names[0], "/"

    async def _answer(
        self,
        request: asgi.Request,
        target: targets.Target,
        passed: str,
        idempotent: bool,
        responder: asgi.Responder,
    ) -> asgi.Reply:
        """Answers the caller and returns the answer, to keep for repeats."""
        tries = attempts.Attempts(
            self._parts.settings.retries,
            self._parts.budget,
            self._parts.rng,
            idempotent=idempotent,
        )
        forwarded = service.ServiceRequest(
            method=request.method,
            target=passed,
            headers=request.headers,
            body=request.body,
        )
        avoid: tuple[str, ...] = ()
        while True:
            result = await self._try_once(
                request, target, forwarded, tries, avoid
            )
            match result:
                case calls.Answer():
                    reply = _make_reply(result)
                    await responder.reply(reply)
                    return reply
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
        forwarded: service.ServiceRequest,
        tries: attempts.Attempts,
        avoid: tuple[str, ...],
    ) -> calls.Answer | attempts.Action:
        left_s = request.deadline - anyio.current_time()
        if left_s <= 0:
            return tries.handle(attempts.Expired())
        chosen = self._choose(target.pool, avoid)
        if chosen is None:
            return tries.handle(attempts.GrantRefused(Codes.NO_UPSTREAM, 1.0))
        tries.handle(attempts.Granted(chosen.id))
        tries.handle(attempts.Dispatched())
        request.note.upstream = chosen.id
        self._in_flight[chosen.id] += 1
        try:
            result = await self._parts.services.send(
                chosen.address,
                forwarded,
                left_s,
                fresh=request.method not in IDEMPOTENT_METHODS,
            )
        finally:
            self._in_flight[chosen.id] -= 1
        if isinstance(result, calls.Answer):
            self._record(request, "answer", str(result.status), chosen.id)
            tries.handle(attempts.Completed())
            return result
        self._record(request, "failure", result.detail, chosen.id)
        return await self._handle_failure(chosen, result, tries)

    async def _handle_failure(
        self,
        chosen: sources.Instance,
        failure: calls.Failure,
        tries: attempts.Attempts,
    ) -> attempts.Action:
        self._shunned_until[chosen.id] = anyio.current_time() + SHUN_S
        await self._parts.caller.forget(chosen.address)
        if not failure.may_have_run:
            return tries.handle(attempts.NotRun())
        silent = failure.kind is calls.FailureKind.TIMEOUT
        return tries.handle(
            attempts.Interrupted(silent=silent, resumable=False)
        )

    def _choose(
        self, pool: rows.Pool, avoid: tuple[str, ...]
    ) -> sources.Instance | None:
        """Returns the least busy live service, of the own zone if equal."""
        live = [
            found
            for name in pool.upstreams
            if (found := self._parts.members.find_live(name)) is not None
        ]
        now = anyio.current_time()

        def rank(one: sources.Instance) -> tuple[bool, bool, int, bool]:
            return (
                one.id in avoid,
                self._shunned_until.get(one.id, 0.0) > now,
                self._in_flight[one.id],
                one.zone != self._parts.settings.zone,
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


def _make_reply(answer: calls.Answer) -> asgi.Reply:
    dropped = (b"content-type", b"date", b"server", b"set-cookie")
    return asgi.Reply(
        status=answer.status,
        body=answer.body,
        content_type=answer.find_header(b"content-type") or asgi.JSON_TYPE,
        headers=tuple(
            (name, value)
            for name, value in service.filter_headers(answer.headers)
            if name not in dropped
        ),
    )
