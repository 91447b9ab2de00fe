"""The addresses of an entry instance, and the stop."""

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

CLOSE_AFTER_S = 2.6
"""Time after a stop signal at which idle connections are closed, and the
others after their answer: the balancer asks each second and believes two
misses. A request that is taken later than 3 s could outlast the grace."""

STOP_MARGIN_S = 0.7
"""Time kept between the own end and the kill at the end of the grace."""

STOP_POLL_S = 0.05
KEEP_ALIVE_S = 120.0
"""Idle connections are the callers' to close; their limit is far shorter."""


class Serving:
    """Serves callers, the balancer and metrics until a stop signal.

    Attributes:
        draining: Whether a stop has begun.
    """

    __slots__ = (
        "_app",
        "_cells",
        "_contact",
        "_known",
        "_metrics",
        "_settings",
        "_tasks",
        "draining",
    )

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        app: entry_app.App,
        known: cluster_state.ClusterState,
        contact: store_follower.StoreHealth,
        cells: dict[str, service_cell.ServiceCell],
        metrics: metrics_module.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Builds the servers' keeper; `run` starts them."""
        self.draining = False
        self._settings = settings
        self._app = app
        self._known = known
        self._contact = contact
        self._cells = cells
        self._metrics = metrics
        self._tasks = tasks

    async def run(self) -> None:
        """Serves until the stop has ended."""
        settings = self._settings
        host, _, http_port = settings.caller_address.rpartition(":")
        callers = http_server.make_server(
            self._app, host, int(http_port), KEEP_ALIVE_S
        )
        host, _, ready_port = settings.readiness_address.rpartition(":")
        ready = http_server.make_server(
            status.ReadinessApp(self._is_ready),
            host,
            int(ready_port),
            KEEP_ALIVE_S,
        )
        metrics = http_server.make_server(
            status.MetricsApp(self._metrics, self._update_gauges),
            settings.ip,
            settings.metrics_port,
            KEEP_ALIVE_S,
        )
        self._tasks.start_soon(ready.serve)
        self._tasks.start_soon(metrics.serve)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_on_signal, callers)
            await callers.serve()
            tasks.cancel_scope.cancel()

    async def _stop_on_signal(self, server: http_server.Server) -> None:
        await http_server.wait_for_stop()
        self.draining = True
        started_at = anyio.current_time()
        await anyio.sleep(CLOSE_AFTER_S)
        self._app.closing = True
        server.should_exit = True
        end_at = started_at + self._settings.bounds.grace_s - STOP_MARGIN_S
        while self._app.in_progress and anyio.current_time() < end_at:
            await anyio.sleep(STOP_POLL_S)
        logs.bind(cut=self._app.in_progress).info("shutdown ends")
        self._app.cut()
        server.force_exit = True

    def _is_ready(self) -> bool:
        return not self.draining and self._known.table is not None

    def _update_gauges(self) -> None:
        table = self._known.table
        version = table.document.version if table else 0
        self._metrics.table_revision.set({}, version)
        self._metrics.table_age_seconds.set({}, self._contact.silent_s)
        for name, cell in self._cells.items():
            self._metrics.queue_length.set({"pool": name}, cell.count_waiting())
