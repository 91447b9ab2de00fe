"""Serves health, metrics and status of a scheduler over HTTP."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import dataclasses
import hmac
from typing import Any
from typing import TypeAlias

import anyio
import msgspec

from tamaracktide.core import rows
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.scheduler import peers as peers_module
from tamaracktide.scheduler import service as service_module
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.tables import follower as tables_follower

Scope: TypeAlias = MutableMapping[str, Any]
Send: TypeAlias = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Receive: TypeAlias = Callable[[], Awaitable[MutableMapping[str, Any]]]

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """One engine of an owned cell.

    Attributes:
        upstream: Instance id.
        phase: Phase of the scheduler's control over the engine.
        epoch: Ownership epoch, 0 if this scheduler does not own the engine.
        owner: Another scheduler that owns the engine, or empty.
        loaded: Number of adapters in its adapter slots.
        withheld: Number of reserved lora names, which are not granted.
        waits_for: Gateways that must report their grants before evictions.
    """

    upstream: str
    phase: str
    epoch: int
    owner: str
    loaded: int
    withheld: int
    waits_for: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellStatus:
    """One owned cell."""

    pool: str
    zone: str
    running: int
    capacity: int
    waiting: int
    upstreams: tuple[EngineStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Response body of `/admin/status`.

    Attributes:
        instance: Instance id.
        zone: Availability zone.
        incarnation: Id of the process, new at every start.
        revision: Revision of the tables in force.
        draining: Whether a planned shutdown has begun.
        gateways: Connected gateways.
        claim_commits: Number of successful writes of claim shard heads.
        cells: Owned cells.
    """

    instance: str
    zone: str
    incarnation: str
    revision: int
    draining: bool
    gateways: tuple[str, ...]
    claim_commits: int
    cells: tuple[CellStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes
    content_type: str = TEXT_TYPE


class App:
    """The ASGI application."""

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        incarnation: str,
        service: service_module.Service,
        peers: peers_module.Peers,
        follower: tables_follower.Follower,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Initializes the application for a service."""
        self._settings = settings
        self._incarnation = incarnation
        self._service = service
        self._peers = peers
        self._follower = follower
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Responds to one request."""
        if scope["type"] != "http":
            return
        response = self._respond(scope)
        headers = [
            (b"content-type", response.content_type.encode()),
            (b"content-length", str(len(response.body)).encode()),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.body})

    def make_status(self) -> Status:
        """Returns the scheduler's status."""
        return Status(
            instance=self._settings.instance,
            zone=self._settings.zone,
            incarnation=self._incarnation,
            revision=self._follower.tables.revision,
            draining=self._service.draining,
            gateways=tuple(
                sorted(
                    gateway.instance
                    for gateway in self._service.gateways.list_connected()
                )
            ),
            claim_commits=self._service.claim_commits,
            cells=tuple(
                _describe_cell(self._service, cell)
                for cell in sorted(self._service.cells)
            ),
        )

    def _respond(self, scope: Scope) -> _Response:
        if scope["method"] not in ("GET", "HEAD"):
            return _Response(405, b"only GET is answered\n")
        match scope["path"]:
            case "/healthz":
                return _Response(200, b"ok\n")
            case "/readyz":
                reason = self._find_unready()
                return _Response(
                    503 if reason else 200, f"{reason or 'ok'}\n".encode()
                )
            case "/metrics":
                return self._render_metrics(scope)
            case "/admin/status" if self._is_allowed(scope):
                body = msgspec.json.encode(self.make_status())
                return _Response(200, body, JSON_TYPE)
            case "/admin/status":
                return _Response(401, b"the admin token is not valid\n")
        return _Response(404, b"no such path\n")

    def _find_unready(self) -> str:
        if self._service.draining:
            return "draining"
        if not self._follower.is_ready:
            return "tables not loaded"
        listed = self._peers.directory.listed_at is not None
        return "" if listed else "instance list not read"

    def _render_metrics(self, scope: Scope) -> _Response:
        now = anyio.current_time()
        quarantined = self._peers.quarantine.count_quarantined(now)
        self._metrics.quarantined.set({}, quarantined)
        self._metrics.table_revision.set({}, self._follower.tables.revision)
        confirmed_at = self._follower.confirmed_at
        if confirmed_at is not None:
            self._metrics.table_age_seconds.set({}, now - confirmed_at)
        for pool, count in self._count_owned().items():
            self._metrics.owned_upstreams.set({"pool": pool}, count)
        accept = tuple(
            value.decode("latin-1")
            for name, value in scope["headers"]
            if name == b"accept"
        )
        body, content_type = self._metrics.render(accept)
        return _Response(200, body, content_type)

    def _count_owned(self) -> collections.Counter[str]:
        """Returns the number of upstreams that this scheduler owns, by pool."""
        owned: collections.Counter[str] = collections.Counter()
        for cell in self.make_status().cells:
            owned[cell.pool] += sum(
                engine.epoch > 0 for engine in cell.upstreams
            )
        return owned

    def _is_allowed(self, scope: Scope) -> bool:
        token = self._settings.http.admin_token
        if not token:
            return True
        authorization = dict(scope["headers"]).get(b"authorization", b"")
        return hmac.compare_digest(authorization, f"Bearer {token}".encode())


def _describe_cell(
    service: service_module.Service, cell: rows.CellId
) -> CellStatus:
    controller = service.cells[cell]
    load = controller.make_load()
    return CellStatus(
        pool=cell.pool,
        zone=cell.zone,
        running=load.running,
        capacity=load.capacity,
        waiting=load.waiting,
        upstreams=tuple(
            EngineStatus(
                upstream=name,
                phase=engine.phase.value,
                epoch=engine.ownership.epoch,
                owner=engine.owner,
                loaded=len(engine.state.loaded) if engine.state else 0,
                withheld=len(engine.ownership.withheld),
                waits_for=tuple(engine.list_unconfirmed()),
            )
            for name, engine in sorted(controller.engines.items())
        ),
    )
