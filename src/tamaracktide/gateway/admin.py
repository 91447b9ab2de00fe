"""Serves the health, metrics and administration endpoints."""

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
    """Response body of `/admin/status`.

    Attributes:
        instance: Instance id.
        zone: Availability zone.
        incarnation: Id that changes at each start of the gateway.
        revision: Revision of the current tables.
        draining: Whether the gateway is shutting down.
        in_progress: Number of requests in progress.
        grants: Number of grants in use.
        streams: Number of streams in progress.
        unreported: Number of outcomes that no scheduler has stored yet.
        schedulers: Whether each live scheduler is reachable.
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


class AdminEndpoints:
    """Serves `/healthz`, `/readyz`, `/metrics` and `/admin`."""

    def __init__(self, parts: gateway_parts.Parts) -> None:
        """Creates the endpoints of a gateway."""
        self._parts = parts

    def make_response(
        self, scope: asgi.Scope, *, draining: bool, in_progress: int
    ) -> asgi.Response | None:
        """Returns the response, or None for a path of the client API."""
        path = scope["path"]
        headers = tuple(scope["headers"])
        if path == "/healthz":
            return asgi.make_json_response({"status": "ok"})
        if path == "/readyz":
            return self._make_readiness_response(draining)
        if path == "/metrics":
            return self._make_metrics_response(headers)
        if not path.startswith(ADMIN_PREFIX):
            return None
        if not self._is_authorized(headers):
            return asgi.make_error_response(
                asgi.make_error(Codes.UNAUTHENTICATED, "invalid admin token")
            )
        if path == "/admin/status":
            return self._make_status_response(draining, in_progress)
        if path.startswith(EXPLAIN_PREFIX):
            return self._make_decisions_response(path[len(EXPLAIN_PREFIX) :])
        return asgi.make_error_response(
            asgi.make_error(Codes.ROUTE_UNKNOWN, f"unknown path {path!r}")
        )

    def _make_readiness_response(self, draining: bool) -> asgi.Response:
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

    def _make_metrics_response(self, headers: asgi.Headers) -> asgi.Response:
        instruments = self._parts.metrics
        instruments.table_revision.set({}, self._parts.tables.tables.revision)
        now = anyio.current_time()
        instruments.quarantined.set(
            {}, self._parts.quarantine.count_quarantined(now)
        )
        accept = asgi.find_header(headers, b"accept")
        body, content_type = instruments.render([accept])
        return asgi.Response(status=200, body=body, content_type=content_type)

    def _is_authorized(self, headers: asgi.Headers) -> bool:
        token = self._parts.settings.http.admin_token
        authorization = asgi.find_header(headers, b"authorization")
        expected = f"Bearer {token}".encode()
        return not token or hmac.compare_digest(
            authorization.encode(), expected
        )

    def _make_status_response(
        self, draining: bool, in_progress: int
    ) -> asgi.Response:
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
                streams=parts.read_pacer.streams,
                unreported=parts.claims.unreported,
                schedulers={
                    member.instance: member.reachable
                    for member in parts.schedulers.list_members()
                },
            )
        )

    def _make_decisions_response(self, request_id: str) -> asgi.Response:
        recorded = self._parts.records.find(request_id)
        if not recorded:
            return asgi.make_error_response(
                asgi.make_error(
                    Codes.ROUTE_UNKNOWN,
                    f"no decisions recorded for request {request_id!r}",
                )
            )
        return asgi.make_json_response(
            {"request_id": request_id, "decisions": recorded}
        )
