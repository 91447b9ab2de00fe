"""Builds the parts of an entry instance and runs them until shutdown."""

from collections.abc import Iterable
import random
import uuid

import anyio
import anyio.abc

from tamaracktide.core import popularity
from tamaracktide.core import retry_window
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.core import usage_caps
from tamaracktide.entry import app as entry_app
from tamaracktide.entry import attestation
from tamaracktide.entry import awaited_streams
from tamaracktide.entry import cells as entry_cells
from tamaracktide.entry import cluster_state
from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import engine_controller
from tamaracktide.entry import engine_views
from tamaracktide.entry import forwarding
from tamaracktide.entry import lease_manager
from tamaracktide.entry import loader as entry_loader
from tamaracktide.entry import notices
from tamaracktide.entry import object_exchange
from tamaracktide.entry import pauses
from tamaracktide.entry import peer_forwarding
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import report_exchange
from tamaracktide.entry import requests
from tamaracktide.entry import restarts
from tamaracktide.entry import resumption as entry_resumption
from tamaracktide.entry import service_cell
from tamaracktide.entry import serving
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import settings_watch
from tamaracktide.entry import stated_versions
from tamaracktide.entry import store_follower
from tamaracktide.entry import store_relay
from tamaracktide.entry import stream_records
from tamaracktide.entry import stream_services
from tamaracktide.entry import upstream_snapshots
from tamaracktide.entry import usage as entry_usage
from tamaracktide.entry import usage_exchange
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import messages
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

REFRESH_PERIOD_S = 2.0
"""Interval at which cells read the state of all their upstreams. Changes are
applied at once; this bounds the age of whatever depends on the time alone."""

LAPSE_CHECK_PERIOD_S = 0.25
"""Interval at which upstreams whose entry was not restored are dropped, and
entries applied that a notice took precedence over."""

MAX_STORE_SILENCE_S = 2.0
"""Time without the store after which an instance without links may have missed
changes of the upstreams."""

CONNECT_TIMEOUT_S = 0.4
"""A hundred times the latency between zones, and half the target for a first
token."""


class EntryInstance:
    """An entry instance: builds its parts and connects them.

    Attributes:
        crashes: Requests that crash upstreams.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        adapter: entry_adapter.PlatformAdapter,
        upstream_client: streams.StreamClient,
        store: object_store.ValueStore,
        tasks: anyio.abc.TaskGroup,
        transport: entry_peers.Transport = entry_peers.WEB_SOCKETS,
    ) -> None:
        """Builds every part; `run` starts them."""
        tasks = restarts.ContainedTasks(tasks)
        self._settings = settings
        self._adapter = adapter
        self._upstream_client = upstream_client
        self._store = store
        self._tasks = tasks
        self._cells = entry_cells.Cells(self._make_cell)
        self._views = engine_views.EngineViews()
        self._popularity = popularity.Popularity()
        self._notices = notices.NoticeExchange()
        self.crashes = entry_crashes.CrashTracker(
            self._notices.send, lambda: not self._peers.plan.is_flat
        )
        self._metrics = metrics_module.Metrics()
        self._cluster_state = cluster_state.ClusterState(
            adapter, anyio.current_time
        )
        store.listen_for_eras(self._cluster_state.observe_era)
        self._store_health = store_follower.StoreHealth(self._cluster_state)
        self._started_at = anyio.current_time()
        self._applied: tuple[
            routing_document.RouteTable | None, dict[tuple[str, str], int]
        ] = (None, {})
        self._exchange = self._make_exchange()
        self._usage_exchange = usage_exchange.UsageExchange(
            settings.instance, self._count_instances
        )
        self._usage = self._make_usage_meter()
        self._usage_exchange.meter = self._usage
        process = uuid.uuid4().hex[:12]
        self._stated = stated_versions.StatedVersions(
            settings.instance, process, lambda: self._cluster_state.era
        )
        self._resumption = entry_resumption.Resumption(
            settings.instance,
            self._stated,
            self._is_view_current,
            self._metrics,
        )
        self._pauses = pauses.PauseDetector(self._metrics)
        self._peer_forwarder = peer_forwarding.PeerForwarder(
            settings, adapter, upstream_client, self._metrics
        )
        self._peers = entry_peers.Peers(
            settings,
            process,
            entry_peers.Callbacks(
                handle=self._handle_message,
                handle_open=self._handle_open,
                send_reports=self._send_reports,
                handle_loss=self._handle_loss,
                holds_lease=lambda: self._leases.holds_any,
            ),
            tasks,
            transport,
        )
        self._exchange.peers = self._peers
        self._usage_exchange.peers = self._peers
        self._resumption.peers = self._peers
        self._peer_forwarder.peers = self._peers
        self._notices.peers = self._peers
        self._objects = object_exchange.ObjectExchange(
            settings,
            adapter.collections,
            store,
            self._cluster_state,
            self._store_health,
            self._exchange,
            self._peers,
        )
        self._relay = store_relay.StoreRelay(
            store, self._cluster_state, self._peers, tasks
        )
        self._stream_records = self._make_stream_records()
        self._stream_records.is_new = lambda: (
            settings.is_first_start or self._objects.is_new_to_streams
        )
        self._stream_records.on_recorded = self._resumption.wake_recorded
        self._stated.choose_witness = self._objects.choose_witness
        self._stated.may_be_unstated = lambda: self._objects.may_be_unstated
        self._resumption.records = self._stream_records
        self._awaited = awaited_streams.AwaitedStreams(
            lambda: self._cluster_state.upstreams.values(),
            lambda: self._resumption.history.mixed,
            self._cells.suspend_evictions,
            tasks,
        )
        self._stream_records.on_inherit = self._awaited.begin
        self._resumption.on_return = self._awaited.record_return
        self._cluster_state.listen_for_eras(self._stream_records.handle_era)
        self._leases = lease_manager.LeaseManager(
            settings,
            store,
            adapter.collections.leases,
            self._cluster_state,
            self._store_health,
            self._relay,
            self._peers,
            self._list_cells,
            lambda cell: self._exchange.holders.get(cell.text, ""),
            self._apply_lease_change,
        )
        self._loader = entry_loader.Loader(
            settings.instance,
            self._leases,
            self._peers,
            self._cluster_state.upstreams.get,
            self._find_version,
        )
        self._engine_controller = self._make_engine_controller()
        self._loader.controller = self._engine_controller
        self._forwarder = self._make_forwarder()
        self._app = entry_app.App(
            adapter,
            self._cluster_state,
            stream_services.ServiceChooser(self._resumption),
            self._forwarder,
            self._usage,
            self._metrics,
            self._record_request,
        )
        self._servers = serving.HttpServers(
            settings,
            self._app,
            self._cluster_state,
            self._store_health,
            self._cells.by_service,
            self._peers.count_revisions,
            self._metrics,
            tasks,
        )
        self._cluster_state.listen(self._apply_state_change)

    def _make_exchange(self) -> report_exchange.ReportExchange:
        return report_exchange.ReportExchange(
            report_exchange.Dependencies(
                ip=self._settings.ip,
                instance=self._settings.instance,
                get_own=self._get_own_state,
                views=self._views,
                apply_counts=self._cells.apply_counts,
                apply_demand=self._apply_demand,
                take_results=self._cells.take_results,
                apply_results=self._cells.apply_results,
                take_paces=self._cells.take_paces,
                apply_paces=self._cells.apply_paces,
                apply_engines=self._apply_engines,
                apply_quarantined=self.crashes.apply_quarantined,
                apply_holders=self._cells.refresh,
            )
        )

    def _make_stream_records(self) -> stream_records.StreamRecords:
        return stream_records.StreamRecords(
            self._settings,
            self._adapter.collections.streams,
            self._store,
            self._store_health,
            self._resumption.history,
            self._stated,
            lambda: self._cluster_state.era,
            self._find_store_rank,
            self._count_instances,
            self._resumption.check_view,
            self._resumption.apply_restored,
            self._tasks,
        )

    def _find_store_rank(self) -> int | None:
        """Returns the rank among the instances that follow the store."""
        if not self._peers.is_relay:
            return None
        others = [peer.instance for peer in self._peers.list_relays()]
        return sorted((*others, self._settings.instance)).index(
            self._settings.instance
        )

    def _make_usage_meter(self) -> entry_usage.UsageMeter:
        bounds = self._settings.bounds
        return entry_usage.UsageMeter(
            usage_caps.Tolerance(
                window_s=bounds.usage_window_s,
                fraction=bounds.usage_fraction,
                slack=bounds.usage_slack,
            ),
            self._usage_exchange.find_heard_fraction,
            self._metrics,
            random.Random(),
        )

    def _make_engine_controller(self) -> engine_controller.EngineController:
        return engine_controller.EngineController(
            engine_controller.Dependencies(
                holder=self._settings.holder,
                adapter=self._adapter,
                upstream_client=self._upstream_client,
                leases=self._leases,
                popularity=self._popularity,
                is_in_use=self._is_in_use,
                keeps_adapters=self._awaited.is_suspended,
                count_loads=self._count_loads,
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
            self._cells.find,
            self._find_version,
            self.crashes,
            retry_window.RetryWindowSettings(
                window_s=bounds.retry_window_s,
                fraction=bounds.retry_fraction,
                extra=bounds.retry_extra,
            ),
            self._count_instances,
            self._resumption,
            self._peer_forwarder,
            attestation.Attestor(
                self._adapter,
                self._upstream_client,
                self._resumption.record_unlisted,
                self._metrics,
                self._tasks,
            ),
            self._metrics,
        )

    async def run(self) -> None:
        """Serves until the stop signal, then drains all requests."""
        settings = self._settings
        logs.bind(
            callers=settings.caller_address,
            zone=settings.availability_zone,
            ip=settings.ip,
            revision=messages.REVISION,
        ).info("instance started")
        for follower in self._objects.make_followers():
            self._tasks.start_soon(restarts.run_with_restarts, follower.run)
        self._tasks.start_soon(self._peers.run)
        for run in (
            self._dial_seeds_if_undiscovered,
            self._leases.run,
            self._objects.register,
            self._refresh_all,
            self._apply_lapsed,
            self._pauses.run,
            self._stream_records.run,
        ):
            self._tasks.start_soon(restarts.run_with_restarts, run)
        await self._servers.run()

    def dial_seeds(self, seeds: tuple[str, ...]) -> None:
        """Connects to seed instances to discover the others."""
        for seed in seeds:
            host = seed.rpartition(":")[0]
            self._peers.dial_seed(f"{host}:{self._settings.peer_port}")

    async def _dial_seeds_if_undiscovered(self) -> None:
        """Discovers the instances by the seeds while the store is silent."""
        while not self._peers.is_discovered:
            await anyio.sleep(entry_peers.REPORT_PERIOD_S)
        if not self._cluster_state.instances:
            self.dial_seeds(self._settings.seeds)

    def _send_reports(self) -> None:
        self._objects.update()
        self._exchange.send_reports()
        self._usage_exchange.send_reports()
        self._resumption.send_unsent()

    def _handle_open(
        self, peer: entry_peers.Peer, link: entry_peers.Link
    ) -> None:
        self._exchange.handle_open(peer, link)
        self._resumption.handle_open(link)

    def _handle_loss(self, instance: str) -> None:
        self._exchange.handle_loss(instance)
        self._usage_exchange.handle_loss(instance)

    def _is_view_current(self) -> bool:
        """Whether changes of the upstreams have reached this instance."""
        if self._pauses.was_held_up:
            return False
        silent_s = self._store_health.unreachable_s
        return silent_s < MAX_STORE_SILENCE_S or any(
            peer.reaches_store(MAX_STORE_SILENCE_S)
            for peer in self._peers.list_linked()
        )

    def _apply_state_change(self) -> None:
        """Applies changes of the cluster state to every part."""
        state = self._cluster_state
        changed = state.take_changed_upstreams()
        entries = [
            state.upstreams[name] for name in changed if name in state.upstreams
        ]
        for entry in entries:
            self._views.apply_entry(entry, anyio.current_time())
        removed = changed - state.upstreams.keys()
        for name in removed:
            self._views.forget(name)
        self._resumption.apply_upstreams(entries, removed)
        services = dict(state.table.document.services) if state.table else {}
        self._engine_controller.update(state.upstreams, services)
        self.crashes.check(state.upstreams)
        self._apply_instances()
        self._cells.remove_upstreams(removed)
        applied = (state.table, dict(state.versions))
        if applied != self._applied:
            self._applied = applied
            if state.table is not None:
                self._resumption.apply_document(state.table.document)
                self._usage.set_workspaces(state.table.document.workspaces)
            self._cells.update_services(services)
            return
        self._cells.refresh_upstreams(entries)

    def _apply_instances(self) -> None:
        records = self._cluster_state.instances
        self._peers.set_instances(
            {name: record.ip for name, record in records.items()},
            {name: record.zone for name, record in records.items()},
        )
        if self._objects.is_first_start:
            self._resumption.apply_first_start()

    def _apply_lease_change(self) -> None:
        self._engine_controller.wake()
        self._cells.refresh_orderable()

    def _is_in_use(self, upstream: str, name: str) -> bool:
        """Whether a request of any instance uses an adapter on an upstream."""
        if self._cells.is_in_use(upstream, name):
            return True
        return name in self._exchange.count_running(upstream)

    def _count_loads(self) -> int:
        """Returns the number of adapters loading on all engines."""
        return (
            self._exchange.count_loads() + self._engine_controller.count_loads()
        )

    def _count_instances(self) -> int:
        """Returns the number of instances that share the retry budget.

        Right after the start of this one, registered instances count too.
        """
        count = self._exchange.count_instances()
        started_at = self._started_at
        expiry_s = report_exchange.INSTANCE_EXPIRY_S
        if anyio.current_time() < started_at + expiry_s:
            count = max(count, len(self._cluster_state.instances))
        return count

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
                    self._exchange.count_running,
                    self._is_orderable,
                ),
                find_version=self._find_version,
                announce_prompt=self._announce_prompt,
                announce_limit=self._notices.send,
                count_instances=self._count_instances,
                instance=self._settings.instance,
                slow_start_min_instances=(
                    self._settings.slow_start_min_instances
                ),
                load_margin=self._loader.margin,
                load=self._loader.load,
                list_withheld=self._stated.list_withheld,
                record_exit=self.crashes.record_exit,
                was_held_up=lambda: self._pauses.was_held_up,
                backend=self._upstream_client.backend,
                tasks=self._tasks,
            ),
        )

    async def _refresh_all(self) -> None:
        while True:
            await anyio.sleep(REFRESH_PERIOD_S)
            self._cells.refresh()

    async def _apply_lapsed(self) -> None:
        """Applies what only the passing of time brings into force."""
        while True:
            await anyio.sleep(LAPSE_CHECK_PERIOD_S)
            self._cluster_state.drop_lapsed()
            upstreams = self._cluster_state.upstreams
            self._cells.refresh_upstreams(
                [
                    upstreams[name]
                    for name in self._views.apply_deferred(anyio.current_time())
                    if name in upstreams
                ]
            )

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
        """Announces a prompt to all instances, in a small cluster only."""
        if not self._peers.plan.is_flat:
            return
        self._peers.broadcast(
            entry_messages.PromptNotice(upstream=upstream, tokens=tokens)
        )

    def _apply_prompt(self, notice: entry_messages.PromptNotice) -> None:
        entry = self._cluster_state.upstreams.get(notice.upstream)
        if entry is not None and entry.service in self._cells.by_service:
            self._cells.by_service[entry.service].record_prompt(
                notice.upstream, notice.tokens
            )

    def _record_request(self, request: requests.ClientRequest) -> None:
        """Records a request for an adapter, locally and for the next report."""
        generation = request.generation
        if generation is None or not generation.adapter:
            return
        name = f"{generation.model}/{generation.adapter}"
        self._exchange.record_request(name)
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
        self._cells.apply_demand(model, adapter, count)

    def _get_own_state(self) -> report_exchange.OwnState:
        return report_exchange.OwnState(
            running=self._cells.list_running(),
            rights=self._leases.list_lease_terms(),
            loads=self._engine_controller.count_loads(),
            known=self._cluster_state.find_versions(),
            store_silent_s=self._objects.store_silent_s,
            quarantined=self.crashes.list_announced(),
            draining=self._servers.draining,
            cut_off=self._cells.list_cut_off(),
        )

    def _handle_message(
        self,
        peer: entry_peers.Peer,
        link: entry_peers.Link,
        message: messages.Message,
    ) -> None:
        match message:
            case entry_messages.InstanceReport():
                self._exchange.apply_report(peer, link, message)
                self._objects.send_all(peer, link)
            case entry_messages.ClusterReport():
                self._exchange.apply_cluster_report(peer, message)
            case entry_messages.EngineNotice():
                self._exchange.apply_engines((message,))
            case entry_messages.PromptNotice():
                self._apply_prompt(message)
            case entry_messages.SendLimitNotice():
                self._apply_limit_notice(peer, message)
            case entry_messages.CrashNotice():
                self._apply_crash(peer, message)
            case entry_messages.UsageReport():
                self._usage_exchange.apply_report(peer, message)
            case entry_messages.UsageTotals():
                self._usage_exchange.apply_totals(peer, message)
            case _:
                self._handle_other(peer, message)

    def _handle_other(
        self, peer: entry_peers.Peer, message: messages.Message
    ) -> None:
        """Handles requests and replies of single instances."""
        match message:
            case entry_messages.LoadRequest():
                self._loader.handle_load_request(peer.instance, message)
            case entry_messages.LoadReply():
                self._loader.apply_reply(message)
            case entry_messages.WriteRequest():
                self._relay.handle_write_request(peer.instance, message)
            case entry_messages.WriteReply():
                self._relay.apply_reply(message)
            case entry_messages.StreamsNotice():
                self._resumption.apply_notice(message)
            case entry_messages.StreamQuery():
                self._resumption.handle_query(peer, message)
            case entry_messages.StreamReply():
                self._resumption.apply_reply(peer.instance, message)
            case _:
                self._handle_objects(peer, message)

    def _handle_objects(
        self, peer: entry_peers.Peer, message: messages.Message
    ) -> None:
        """Handles objects of the store and requests for them."""
        match message:
            case entry_messages.ObjectsNotice():
                self._objects.apply(peer.instance, message)
            case entry_messages.ObjectsRequest():
                self._objects.send_newer(peer, message)
            case entry_messages.DocumentRequest():
                self._objects.documents.handle_request(peer, message)
            case entry_messages.DocumentPart():
                self._objects.documents.apply_part(peer.instance, message)
            case _:
                logs.bind(peer=peer.instance).warning(
                    "unexpected message type ignored: {}",
                    type(message).__name__,
                )

    def _apply_crash(
        self, peer: entry_peers.Peer, notice: entry_messages.CrashNotice
    ) -> None:
        """Applies a notice; a relay passes on what it did not know."""
        unknown = self.crashes.apply_notice(notice)
        if unknown is None or self._peers.plan.is_flat:
            return
        if self._peers.is_relay:
            self._notices.send(unknown, peer.instance)

    def _apply_limit_notice(
        self, peer: entry_peers.Peer, notice: entry_messages.SendLimitNotice
    ) -> None:
        """Applies the limit of an upstream and requests sent under it."""
        entry = self._cluster_state.upstreams.get(notice.upstream)
        if entry is not None and entry.service in self._cells.by_service:
            self._cells.by_service[entry.service].apply_limit_notice(notice)
        self._notices.pass_on(notice, peer)

    def _announce_engine(self, notice: entry_messages.EngineNotice) -> None:
        self._exchange.record_engine(notice)
        self._apply_engines([notice])

    def _apply_engines(
        self, engine_notices: Iterable[entry_messages.EngineNotice]
    ) -> None:
        now = anyio.current_time()
        names = []
        for notice in engine_notices:
            self._views.apply_notice(notice, now)
            names.append(notice.upstream)
        upstreams = self._cluster_state.upstreams
        self._cells.refresh_upstreams(
            [upstreams[name] for name in names if name in upstreams]
        )


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
    store = adapter.open_store(settings)
    upstreams = upstream_settings.UpstreamSettings(
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_answer_bytes=settings.bounds.max_answer_bytes,
        max_pending_bytes=settings.bounds.max_pending_bytes,
        max_total_answer_bytes=settings.bounds.max_total_answer_bytes,
    )
    async with (
        streams.StreamClient(upstreams) as upstream_client,
        anyio.create_task_group() as tasks,
    ):
        instance = EntryInstance(
            settings, adapter, upstream_client, store, tasks
        )
        watcher = settings_watch.SettingsWatcher(
            path, settings, instance.dial_seeds
        )
        tasks.start_soon(restarts.run_with_restarts, watcher.run)
        await instance.run()
        # Cancelled requests must end before the parts that they use.
        await anyio.sleep(serving.STOP_POLL_PERIOD_S)
        tasks.cancel_scope.cancel()
    await store.close()
