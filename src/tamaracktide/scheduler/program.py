"""Builds the components of a scheduler and runs them until a signal."""

import random
import signal
import uuid

import anyio
import anyio.abc
import uvicorn

from tamaracktide import http_server
from tamaracktide.core import committer
from tamaracktide.core import ownership
from tamaracktide.object_api import instances
from tamaracktide.object_api import objects as objects_module
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.scheduler import admin
from tamaracktide.scheduler import cell_parts
from tamaracktide.scheduler import claims
from tamaracktide.scheduler import drains
from tamaracktide.scheduler import gateways
from tamaracktide.scheduler import grant_confirmer
from tamaracktide.scheduler import ownership_manager
from tamaracktide.scheduler import peers as peers_module
from tamaracktide.scheduler import service as service_module
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.tables import follower as tables_follower
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client

ROLE = "scheduler"
KEEP_ALIVE_S = 5.0
READY_POLL_S = 0.02


class Program:
    """One scheduler with all its components.

    Attributes:
        service: Serves gateways and schedulers.
        app: HTTP application for health, metrics and status.
    """

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        objects: objects_module.ObjectClient,
        instance_client: instances.InstanceClient,
        upstream_client: calls.UpstreamClient,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Builds the components; `run` runs them."""
        self._settings = settings
        self._objects = objects
        self._upstream_client = upstream_client
        self._tasks = tasks
        self._rng = random.Random()
        self._metrics = metrics_module.Metrics()
        self._hello = messages.Hello(
            version=messages.PROTOCOL_VERSION,
            instance=settings.instance,
            incarnation=uuid.uuid4().hex[:12],
            role=ROLE,
            zone=settings.zone,
        )
        self._follower = tables_follower.Follower(
            objects, settings.tables, self._rng
        )
        self._peers = peers_module.Peers(
            settings,
            self._hello,
            instance_client.read,
            self._follower,
            self._rng,
        )
        self.service = service_module.Service(
            settings,
            self._follower,
            self._peers,
            claims.ClaimShards(
                objects, committer.CommitterSettings(), self._metrics, tasks
            ),
            self._make_parts,
        )
        self.app = admin.App(
            settings,
            self._hello.incarnation,
            self.service,
            self._peers,
            self._follower,
            self._metrics,
        )

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then hands over all cells."""
        self._tasks.start_soon(self.run_parts)
        await self._serve_http()

    async def run_parts(self) -> None:
        """Runs all components except the HTTP server until cancelled."""
        await self._peers.directory.start()
        self._follower.add_listener(
            lambda _: self._peers.directory.request_refresh()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._peers.run)
            tasks.start_soon(self._serve_inner)
            tasks.start_soon(
                drains.follow_drains,
                self._objects,
                self._settings.periods,
                self._set_drained,
            )

    async def _serve_inner(self) -> None:
        """Serves peers once the tables and the instance list are loaded.

        Peers treat a scheduler that accepts connections as reachable and hand
        over cells to it, which it cannot serve before then.
        """
        while (
            not self._follower.is_ready
            or self._peers.directory.listed_at is None
        ):
            await anyio.sleep(READY_POLL_S)
        inner = self._settings.inner
        bound = await self._tasks.start(
            server.serve,
            f"{inner.host}:{inner.port}",
            self._hello,
            self.service.handle_connection,
            inner,
        )
        logs.bind(inner_address=bound).info("scheduler started")
        self._tasks.start_soon(self.service.run)

    async def _serve_http(self) -> None:
        """Serves health, metrics and status until the shutdown is complete."""
        http = self._settings.http
        server = http_server.make_server(
            self.app, http.host, http.port, KEEP_ALIVE_S
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_on_signal, server)
            await server.serve()
            tasks.cancel_scope.cancel()

    async def _stop_on_signal(self, server: uvicorn.Server) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for number in signals:
                logs.bind(signal=int(number)).info("shutdown started")
                break
            await self.service.stop()
        server.should_exit = True

    def _make_parts(self, registry: gateways.Gateways) -> cell_parts.CellParts:
        return cell_parts.CellParts(
            settings=self._settings,
            client=engine_client.EngineClient(
                self._settings.upstreams, self._upstream_client
            ),
            upstream_client=self._upstream_client,
            gateways=registry,
            confirmer=grant_confirmer.GrantConfirmer(
                self._settings, registry, self._peers
            ),
            metrics=self._metrics,
            make_ownership_manager=self._make_ownership_manager,
            rng=self._rng,
            tasks=self._tasks,
        )

    def _make_ownership_manager(
        self, upstream: str, listener: ownership_manager.Listener
    ) -> ownership_manager.OwnershipManager:
        periods = self._settings.periods
        settings = ownership.OwnershipSettings(
            instance=self._settings.instance,
            incarnation=self._hello.incarnation,
            retry_s=periods.ownership_retry_s,
            confirm_s=periods.ownership_confirm_s,
        )
        return ownership_manager.OwnershipManager(
            upstream,
            settings,
            self._objects,
            self._peers.probe_owner,
            listener,
            self._rng,
        )

    def _set_drained(self, drained: frozenset[str]) -> None:
        self.service.drained = drained


async def serve(settings: scheduler_settings.SchedulerSettings) -> None:
    """Runs a scheduler until SIGTERM or SIGINT."""
    objects = objects_module.ObjectClient(settings.platform)
    instance_client = instances.InstanceClient(settings.platform)
    async with (
        calls.UpstreamClient(settings.upstreams) as upstream_client,
        anyio.create_task_group() as tasks,
    ):
        program = Program(
            settings, objects, instance_client, upstream_client, tasks
        )
        await program.run()
        tasks.cancel_scope.cancel()
    await objects.close()
    await instance_client.close()
