"""Answers health checks and operators' calls."""

import dataclasses
import hmac

import anyio

from tamaracktide import result_codes
from tamaracktide.gateway import asgi
from tamaracktide.gateway import parts as gateway_parts

Codes = result_codes.ResultCode

ADMIN_PREFIX = "/admin/"
EXPLAIN_PREFIX = "/admin/explain/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """What `/admin/status` answers.

    Attributes:
        instance: Instance id.
        zone: Availability zone.
        incarnation: Changes at every start.
        revision: Revision of the tables in force.
        draining: Whether a planned stop has begun.
        in_progress: Requests in progress.
        grants: Grants in use.
        streams: Streams in progress.
        unreported: Outcomes that no scheduler has kept yet.
        schedulers: Whether each live scheduler can be reached.
    """

    instance: str
    zone: str
    incarnation: str
    revision: int
    draining: bool
    in_progress: int
    grants: int
    streams: int
    unreported: int
    schedulers: dict[str, bool]


class Operators:
    """Answers `/healthz`, `/readyz`, `/metrics` and `/admin`."""

    def __init__(self, parts: gateway_parts.Parts) -> None:
        """Builds the handler."""
        self._parts = parts

    def answer(
        self, scope: asgi.Scope, *, draining: bool, in_progress: int
    ) -> asgi.Response | None:
        """Returns the answer, or None if the path is a caller's."""
        path = scope["path"]
        headers = tuple(scope["headers"])
        if path == "/healthz":
            return asgi.make_json_response({"status": "ok"})
        if path == "/readyz":
            return self._answer_ready(draining)
        if path == "/metrics":
            return self._render_metrics(headers)
        if not path.startswith(ADMIN_PREFIX):
            return None
        if not self._is_allowed(headers):
            return asgi.make_error_response(
                asgi.make_error(Codes.UNAUTHENTICATED, "bad admin token")
            )
        if path == "/admin/status":
            return self._describe(draining, in_progress)
        if path.startswith(EXPLAIN_PREFIX):
            return self._explain(path[len(EXPLAIN_PREFIX) :])
        return asgi.make_error_response(
            asgi.make_error(Codes.ROUTE_UNKNOWN, f"no path {path!r}")
        )

    def _answer_ready(self, draining: bool) -> asgi.Response:
        code = Codes.OK
        if draining:
            code = Codes.DRAINING
        elif self._parts.tables.tables.revision == 0:
            code = Codes.TABLES_NOT_LOADED
        elif not self._parts.schedulers.connected:
            code = Codes.OWNER_UNREACHABLE
        if code is Codes.OK:
            return asgi.make_json_response({"status": "ready"})
        return asgi.make_error_response(asgi.make_error(code))

    def _render_metrics(self, headers: asgi.Headers) -> asgi.Response:
        instruments = self._parts.metrics
        instruments.table_revision.set({}, self._parts.tables.tables.revision)
        now = anyio.current_time()
        instruments.quarantined.set(
            {}, self._parts.quarantine.count_quarantined(now)
        )
        accept = asgi.find_header(headers, b"accept")
        body, content_type = instruments.render([accept])
        return asgi.Response(status=200, body=body, content_type=content_type)

    def _is_allowed(self, headers: asgi.Headers) -> bool:
        token = self._parts.settings.http.admin_token
        given = asgi.find_header(headers, b"authorization")
        expected = f"Bearer {token}".encode()
        return not token or hmac.compare_digest(given.encode(), expected)

    def _describe(self, draining: bool, in_progress: int) -> asgi.Response:
        parts = self._parts
        return asgi.make_json_response(
            Status(
                instance=parts.settings.instance,
                zone=parts.settings.zone,
                incarnation=parts.incarnation,
                revision=parts.tables.tables.revision,
                draining=draining,
                in_progress=in_progress,
                grants=len(parts.schedulers.grants),
                streams=parts.pace.streams,
                unreported=parts.claims.unreported,
                schedulers={
                    member.instance: member.reachable
                    for member in parts.schedulers.list_members()
                },
            )
        )

    def _explain(self, request_id: str) -> asgi.Response:
        found = self._parts.records.find(request_id)
        if not found:
            return asgi.make_error_response(
                asgi.make_error(
                    Codes.ROUTE_UNKNOWN, f"no request {request_id!r} is known"
                )
            )
        return asgi.make_json_response(
            {"request_id": request_id, "decisions": found}
        )
