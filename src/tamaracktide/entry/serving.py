"""HTTP servers of an entry instance, and graceful shutdown."""

from collections.abc import Callable

import anyio
import anyio.abc

from tamaracktide import http_server
from tamaracktide.entry import app as entry_app
from tamaracktide.entry import cluster_state
from tamaracktide.entry import service_cell
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import status
from tamaracktide.entry import store_follower
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module

CONNECTION_CLOSE_DELAY_S = 2.6
"""Delay from the stop signal until idle connections are closed, and the others
after their response. The load balancer probes every second and removes an
instance after two failures. A request accepted after 3 s could outlast the
grace period."""

KILL_MARGIN_S = 0.7
"""Time reserved between the exit and the kill after the grace period."""

STOP_POLL_PERIOD_S = 0.05
KEEP_ALIVE_S = 120.0
"""Clients close idle connections; their limit is far shorter than this."""


class HttpServers:
    """Serves clients, readiness probes and metrics until a stop signal.

    Attributes:
        draining: Whether the shutdown has begun.
    """

    __slots__ = (
        "_app",
        "_cells",
        "_cluster_state",
        "_count_revisions",
        "_metrics",
        "_settings",
        "_store_health",
        "_tasks",
        "draining",
    )

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        app: entry_app.App,
        state: cluster_state.ClusterState,
        store_health: store_follower.StoreHealth,
        cells: dict[str, service_cell.ServiceCell],
        count_revisions: Callable[[], dict[int, int]],
        metrics: metrics_module.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Stores the parts that are served; `run` starts the servers."""
        self.draining = False
        self._settings = settings
        self._app = app
        self._cluster_state = state
        self._store_health = store_health
        self._cells = cells
        self._count_revisions = count_revisions
        self._metrics = metrics
        self._tasks = tasks

    async def run(self) -> None:
        """Serves until the shutdown is complete."""
        settings = self._settings
        host, _, http_port = settings.caller_address.rpartition(":")
        client_server = http_server.make_server(
            self._app, host, int(http_port), KEEP_ALIVE_S
        )
        host, _, ready_port = settings.readiness_address.rpartition(":")
        readiness_server = http_server.make_server(
            status.ReadinessApp(self._is_ready),
            host,
            int(ready_port),
            KEEP_ALIVE_S,
        )
        metrics_server = http_server.make_server(
            status.MetricsApp(self._metrics, self._update_gauges),
            settings.ip,
            settings.metrics_port,
            KEEP_ALIVE_S,
        )
        relayed_server = http_server.make_server(
            status.RelayedApp(self._app.serve_relayed, settings.inner_token),
            settings.ip,
            settings.effective_forward_port,
            KEEP_ALIVE_S,
        )
        self._tasks.start_soon(relayed_server.serve)
        self._tasks.start_soon(readiness_server.serve)
        self._tasks.start_soon(metrics_server.serve)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_on_signal, client_server)
            await client_server.serve()
            tasks.cancel_scope.cancel()

    async def _stop_on_signal(self, server: http_server.Server) -> None:
        await http_server.wait_for_stop()
        self.draining = True
        started_at = anyio.current_time()
        await anyio.sleep(CONNECTION_CLOSE_DELAY_S)
        self._app.close_connections = True
        server.should_exit = True
        end_at = started_at + self._settings.bounds.grace_s - KILL_MARGIN_S
        # A response that is complete here may still have to be sent.
        while (
            self._app.in_progress or server.open_connections
        ) and anyio.current_time() < end_at:
            await anyio.sleep(STOP_POLL_PERIOD_S)
        logs.bind(
            cut=self._app.in_progress, connections=server.open_connections
        ).info("drain finished; cancelling remaining requests")
        self._app.cancel_requests()
        server.force_exit = True

    def _is_ready(self) -> bool:
        state = self._cluster_state
        is_informed = state.table is not None and state.knows_upstreams
        return is_informed and not self.draining

    def _update_gauges(self) -> None:
        version = self._cluster_state.document_version
        self._metrics.table_revision.set({}, version)
        self._metrics.table_age_seconds.set(
            {}, self._store_health.unreachable_s
        )
        self._metrics.store_era.set({}, self._cluster_state.era)
        self._metrics.store_era_changes.set({}, self._cluster_state.era_changes)
        for prefix, count in self._cluster_state.relisted.items():
            self._metrics.store_relisted_objects.set({"prefix": prefix}, count)
        for revision, count in self._count_revisions().items():
            self._metrics.peers.set({"revision": str(revision)}, count)
        for name, cell in self._cells.items():
            self._metrics.queue_length.set({"pool": name}, cell.count_waiting())
