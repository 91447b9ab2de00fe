"""Builds the parts of an entry instance and runs them until shutdown."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import uuid

import anyio
import anyio.abc
import msgspec

from tamaracktide import errors
from tamaracktide.core import popularity
from tamaracktide.core import retry_window
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import app as entry_app
from tamaracktide.entry import cluster_counts
from tamaracktide.entry import cluster_state
from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import engine_controller
from tamaracktide.entry import engine_views
from tamaracktide.entry import forwarding
from tamaracktide.entry import lease_manager
from tamaracktide.entry import loader as entry_loader
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests
from tamaracktide.entry import service_cell
from tamaracktide.entry import serving
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import settings_watch
from tamaracktide.entry import store_follower
from tamaracktide.entry import store_relay
from tamaracktide.entry import upstream_snapshots
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import messages
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings

REFRESH_PERIOD_S = 0.25
"""Interval at which cells apply the load of peers; reports arrive as often,
or half as often in a large cluster."""

TASK_RESTART_DELAY_S = 0.5
"""Delay before a failed task is restarted."""

MAX_REPORTED_REQUESTS = 100
"""Limit on the requests for an adapter that are counted from one report; a
report covers 0.25 s, or 0.5 s in a large cluster."""

CONNECT_TIMEOUT_S = 0.4
"""A hundred times the latency between zones, and half the target for a first
token."""

MAX_CONNECTIONS = 512
REGISTRATION_RETRY_S = 1.0


class EntryInstance:
    """An entry instance: builds its parts and connects them."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        adapter: entry_adapter.PlatformAdapter,
        upstream_client: calls.UpstreamClient,
        store: object_store.ValueStore,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Builds every part; `run` starts them."""
        self._settings = settings
        self._adapter = adapter
        self._upstream_client = upstream_client
        self._store = store
        self._tasks = tasks
        self._unreported_requests: dict[str, int] = {}
        self._cells: dict[str, service_cell.ServiceCell] = {}
        self._views = engine_views.EngineViews()
        self._popularity = popularity.Popularity()
        self._crashes = entry_crashes.CrashTracker()
        self._metrics = metrics_module.Metrics()
        self._cluster_state = cluster_state.ClusterState(
            adapter, anyio.current_time
        )
        self._store_health = store_follower.StoreHealth(self._cluster_state)
        self._peers = entry_peers.Peers(
            settings,
            uuid.uuid4().hex[:12],
            self._make_report,
            self._handle_message,
            self._list_greeting_messages,
        )
        self._relay = store_relay.StoreRelay(store, self._peers, tasks)
        self._leases = lease_manager.LeaseManager(
            settings,
            store,
            adapter.collections.leases,
            self._store_health,
            self._relay,
            self._peers,
            self._list_cells,
            self._refresh,
        )
        self._loader = entry_loader.Loader(
            settings.instance,
            self._leases,
            self._peers,
            self._cluster_state.upstreams.get,
            self._find_version,
        )
        self._counts = cluster_counts.ClusterCounts(
            self._peers, self._cluster_state, self._cells
        )
        self._engine_controller = self._make_engine_controller()
        self._counts.controller = self._engine_controller
        self._loader.controller = self._engine_controller
        self._forwarder = self._make_forwarder()
        self._app = entry_app.App(
            adapter,
            self._cluster_state,
            self._forwarder,
            self._metrics,
            self._record_request,
        )
        self._servers = serving.HttpServers(
            settings,
            self._app,
            self._cluster_state,
            self._store_health,
            self._cells,
            self._metrics,
            tasks,
        )
        self._cluster_state.listen(self._apply_state_change)

    def _make_engine_controller(self) -> engine_controller.EngineController:
        return engine_controller.EngineController(
            engine_controller.Dependencies(
                holder=self._settings.holder,
                adapter=self._adapter,
                upstream_client=self._upstream_client,
                leases=self._leases,
                popularity=self._popularity,
                is_in_use=self._counts.is_in_use,
                count_loads=self._counts.count_loads,
                deliver=self._loader.deliver,
                announce=self._announce_engine,
                tasks=self._tasks,
            )
        )

    def _make_forwarder(self) -> forwarding.Forwarder:
        bounds = self._settings.bounds
        return forwarding.Forwarder(
            self._adapter,
            self._upstream_client,
            self._find_cell,
            self._find_version,
            self._crashes,
            retry_window.RetryWindowSettings(
                window_s=bounds.retry_window_s,
                fraction=bounds.retry_fraction,
                extra=bounds.retry_extra,
            ),
            self._counts.count_instances,
            self._metrics,
        )

    async def run(self) -> None:
        """Serves until the stop signal, then drains all requests."""
        settings = self._settings
        logs.bind(
            callers=settings.caller_address,
            zone=settings.availability_zone,
            ip=settings.ip,
        ).info("instance started")
        collections = self._adapter.collections
        for prefix, find_watch_pause_s in (
            (collections.documents, None),
            (collections.upstreams, self._find_watch_pause_s),
            (collections.versions, None),
            (collections.instances, None),
        ):
            follower = store_follower.Follower(
                prefix,
                self._store,
                self._cluster_state,
                self._store_health,
                self._send_to_isolated_peers,
                find_watch_pause_s,
            )
            self._tasks.start_soon(_run_with_restarts, follower.run)
        self.dial_seeds(settings.seeds)
        self._tasks.start_soon(self._peers.run, self._tasks)
        for run in (self._leases.run, self._register, self._refresh_all):
            self._tasks.start_soon(_run_with_restarts, run)
        await self._servers.run()

    def dial_seeds(self, seeds: tuple[str, ...]) -> None:
        """Connects to seed instances to discover the others."""
        for seed in seeds:
            host = seed.rpartition(":")[0]
            self._peers.dial(f"{host}:{self._settings.peer_port}", self._tasks)

    def _find_watch_pause_s(self) -> float:
        return store_follower.find_watch_pause_s(
            1 + len(self._peers.list_linked())
        )

    async def _register(self) -> None:
        """Registers this instance's address once the store is reachable."""
        settings = self._settings
        key = self._adapter.collections.instances + settings.instance
        value = msgspec.json.encode(
            cluster_state.InstanceRecord(ip=settings.ip)
        )
        while True:
            await self._store_health.wait()
            try:
                await self._write_registration(key, value)
            except errors.PlatformError as error:
                logs.bind(code=error.code.value).warning(
                    "registration failed; retrying: {}", error.detail
                )
                await anyio.sleep(
                    REGISTRATION_RETRY_S * random.uniform(0.5, 1.5)
                )
                continue
            return

    async def _write_registration(self, key: str, value: bytes) -> None:
        try:
            await self._store.create(key, value)
        except errors.PreconditionFailedError:
            stored = await self._store.read(key)
            if stored.value != value:
                await self._store.update(key, value, stored.version)

    def _apply_state_change(self) -> None:
        """Applies changes of the cluster state to every part."""
        for entry in self._cluster_state.upstreams.values():
            self._views.apply_entry(entry, anyio.current_time())
        table = self._cluster_state.table
        services = dict(table.document.services) if table else {}
        self._engine_controller.update(self._cluster_state.upstreams, services)
        for name, service in services.items():
            if name in self._cells:
                self._cells[name].service = service
            else:
                self._cells[name] = self._make_cell(service)
        self._crashes.check(self._cluster_state.upstreams)
        self._refresh()
        for address in self._cluster_state.instances.values():
            self._peers.dial(
                f"{address}:{self._settings.peer_port}", self._tasks
            )

    def _make_cell(
        self, service: routing_document.Service
    ) -> service_cell.ServiceCell:
        return service_cell.ServiceCell(
            service,
            service_cell.Dependencies(
                upstreams=upstream_snapshots.SnapshotBuilder(
                    self._settings.availability_zone,
                    self._views,
                    self._list_upstreams,
                    self._find_version,
                    self._counts.count_remote,
                    self._is_orderable,
                ),
                find_version=self._find_version,
                announce_prompt=self._announce_prompt,
                load=self._loader.load,
                tasks=self._tasks,
            ),
        )

    async def _refresh_all(self) -> None:
        while True:
            await anyio.sleep(REFRESH_PERIOD_S)
            self._cluster_state.drop_lapsed()
            self._refresh()

    def _refresh(self) -> None:
        for cell in self._cells.values():
            cell.refresh()

    def _find_cell(
        self, service: routing_document.Service
    ) -> service_cell.ServiceCell:
        cell = self._cells.get(service.name)
        if cell is None:
            cell = self._cells[service.name] = self._make_cell(service)
        return cell

    def _list_upstreams(
        self, service: str
    ) -> list[upstream_entries.UpstreamEntry]:
        return [
            entry
            for entry in self._cluster_state.upstreams.values()
            if entry.service == service
        ]

    def _list_cells(self) -> set[rows.CellId]:
        table = self._cluster_state.table
        if table is None:
            return set()
        services = table.document.services
        return {
            rows.CellId(entry.service, entry.zone)
            for entry in self._cluster_state.upstreams.values()
            if entry.service in services
            and services[entry.service].engine is not None
        }

    def _find_version(self, model: str, adapter: str) -> int:
        return self._cluster_state.versions.get((model, adapter), 0)

    def _is_orderable(self, service: str, zone: str) -> bool:
        return self._leases.may_be_held(rows.CellId(service, zone))

    def _announce_prompt(self, upstream: str, tokens: int) -> None:
        self._peers.broadcast(
            entry_messages.PromptNotice(upstream=upstream, tokens=tokens)
        )

    def _apply_prompt(self, notice: entry_messages.PromptNotice) -> None:
        entry = self._cluster_state.upstreams.get(notice.upstream)
        if entry is not None and entry.service in self._cells:
            self._cells[entry.service].record_prompt(
                notice.upstream, notice.tokens
            )

    def _record_request(self, request: requests.ClientRequest) -> None:
        """Records a request for an adapter, locally and for the next report."""
        generation = request.generation
        if generation is None or not generation.adapter:
            return
        name = f"{generation.model}/{generation.adapter}"
        self._unreported_requests[name] = (
            self._unreported_requests.get(name, 0) + 1
        )
        self._record_popularity(name, 1)

    def _record_popularity(self, name: str, count: int) -> None:
        key = rows.AdapterKey(name, "")
        now = anyio.current_time()
        for _ in range(count):
            self._popularity.add_request(key, name, now)

    def _apply_demand(self, name: str, count: int) -> None:
        """Records the requests for an adapter that a peer reports."""
        self._record_popularity(name, count)
        model, _, adapter = name.partition("/")
        for cell in self._cells.values():
            engine = cell.service.engine
            if engine is not None and model in engine.models:
                cell.record_demand(model, adapter, count)

    def _make_report(self) -> entry_messages.InstanceReport:
        reported, self._unreported_requests = self._unreported_requests, {}
        running: dict[str, dict[str, int]] = {}
        for cell in self._cells.values():
            for upstream, counts in cell.running.items():
                if counts:
                    running[upstream] = dict(counts)
        return entry_messages.InstanceReport(
            ip=self._settings.ip,
            running=running,
            asked=reported,
            rights=self._leases.list_lease_terms(),
            loads=self._engine_controller.count_loads(),
            store_silent_s=self._store_health.unreachable_s,
            quarantined=self._crashes.list_announced(),
            draining=self._servers.draining,
        )

    def _list_greeting_messages(self) -> list[messages.Message]:
        """Returns the messages that a peer receives when a link opens."""
        items = tuple(
            _make_object_update(item)
            for item in self._cluster_state.list_items()
        )
        greeting: list[messages.Message] = [self._make_report()]
        if items:
            greeting.append(entry_messages.ObjectsNotice(items=items))
        greeting.extend(self._engine_controller.list_announced())
        return greeting

    def _handle_message(self, sender: str, message: messages.Message) -> None:
        match message:
            case entry_messages.InstanceReport():
                for name, count in message.asked.items():
                    self._apply_demand(name, min(count, MAX_REPORTED_REQUESTS))
                self._crashes.apply_quarantined(message.quarantined)
            case entry_messages.EngineNotice():
                self._apply_engine_notice(message)
            case entry_messages.PromptNotice():
                self._apply_prompt(message)
            case entry_messages.LoadRequest():
                self._loader.handle_load_request(sender, message)
            case entry_messages.LoadReply():
                self._loader.apply_reply(message)
            case entry_messages.WriteRequest():
                self._relay.handle_write_request(sender, message)
            case entry_messages.WriteReply():
                self._relay.apply_reply(message)
            case entry_messages.ObjectsNotice():
                self._cluster_state.apply(
                    object_store.Item(
                        notice.key,
                        notice.version,
                        None if notice.deleted else notice.value,
                    )
                    for notice in message.items
                )
            case _:
                logs.bind(peer=sender).warning(
                    "unexpected message type ignored: {}",
                    type(message).__name__,
                )

    def _announce_engine(self, notice: entry_messages.EngineNotice) -> None:
        self._peers.broadcast(notice)
        self._apply_engine_notice(notice)

    def _apply_engine_notice(self, notice: entry_messages.EngineNotice) -> None:
        self._views.apply_notice(notice, anyio.current_time())
        entry = self._cluster_state.upstreams.get(notice.upstream)
        if entry is not None and entry.service in self._cells:
            self._cells[entry.service].refresh_upstream(entry)

    def _send_to_isolated_peers(self, items: list[object_store.Item]) -> None:
        """Forwards store changes to peers that cannot reach the store."""
        if not items:
            return
        notice = entry_messages.ObjectsNotice(
            items=tuple(_make_object_update(item) for item in items)
        )
        for peer in self._peers.list_linked():
            if peer.report is not None and peer.report.store_silent_s > 0:
                self._peers.send(peer.instance, notice)


def _make_object_update(item: object_store.Item) -> entry_messages.ObjectUpdate:
    return entry_messages.ObjectUpdate(
        key=item.key,
        version=item.version,
        value=item.value or b"",
        deleted=item.value is None,
    )


async def _run_with_restarts(run: Callable[[], Awaitable[None]]) -> None:
    """Restarts a task that fails, so that requests continue to be served."""
    while True:
        try:
            await run()
        except Exception as error:
            logs.bind(task=run.__qualname__).opt(exception=True).critical(
                "task failed; restarting: {!r}", error
            )
            await anyio.sleep(TASK_RESTART_DELAY_S)
        else:
            return


async def serve(
    settings: entry_settings.EntrySettings,
    adapter: entry_adapter.PlatformAdapter,
    path: str,
) -> None:
    """Runs an entry instance until SIGTERM or SIGINT.

    Args:
        settings: Settings of the instance.
        adapter: Implements the platform's interfaces.
        path: Path of the settings file.
    """
    store = adapter.open_store(settings.platform_address)
    upstreams = upstream_settings.UpstreamSettings(
        connect_timeout_s=CONNECT_TIMEOUT_S, max_connections=MAX_CONNECTIONS
    )
    async with (
        calls.UpstreamClient(upstreams) as upstream_client,
        anyio.create_task_group() as tasks,
    ):
        instance = EntryInstance(
            settings, adapter, upstream_client, store, tasks
        )
        watcher = settings_watch.SettingsWatcher(
            path, settings, instance.dial_seeds
        )
        tasks.start_soon(_run_with_restarts, watcher.run)
        await instance.run()
        # Cancelled requests must end before the parts that they use.
        await anyio.sleep(serving.STOP_POLL_PERIOD_S)
        tasks.cancel_scope.cancel()
    await store.close()
