"""Serves gateways and schedulers, and opens and hands over cells."""

from collections.abc import Callable

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import cell_settings
from tamaracktide.core import rows
from tamaracktide.core import tables as core_tables
from tamaracktide.observability import logs
from tamaracktide.peering import bootstrap
from tamaracktide.protocol import connection
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import outbox as outbox_module
from tamaracktide.protocol import peer_messages
from tamaracktide.scheduler import announcements
from tamaracktide.scheduler import cell_list
from tamaracktide.scheduler import cell_parts
from tamaracktide.scheduler import cells
from tamaracktide.scheduler import claims as claims_module
from tamaracktide.scheduler import gateways as gateways_module
from tamaracktide.scheduler import peers as peers_module
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.scheduler import suspects
from tamaracktide.tables import follower as tables_follower
from tamaracktide.upstreams import engine as engine_client

Codes = result_codes.ResultCode

ROLE_ENGINE = "engine"
ROLE_GATEWAY = "gateway"
ROLE_SCHEDULER = "scheduler"
STOP_POLL_S = 0.05
RETRY_AFTER_S = 1.0


class Service:
    """Serves grants of the cells that this scheduler owns.

    Attributes:
        cells: Cells that this scheduler serves, by id.
        gateways: Gateways with their requests and grants.
        draining: Whether a planned shutdown has begun.
        drained: Instances that operators exclude from new work.
    """

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        follower: tables_follower.Follower,
        peers: peers_module.Peers,
        claims: claims_module.ClaimShards,
        make_parts: Callable[[gateways_module.Gateways], cell_parts.CellParts],
    ) -> None:
        """Initializes the service without cells; `run` opens them."""
        self.cells: dict[rows.CellId, cells.CellController] = {}
        self.gateways = gateways_module.Gateways(settings.limits, self)
        self.draining = False
        self.drained: frozenset[str] = frozenset()
        self._settings = settings
        self._follower = follower
        self._peers = peers
        self._claims = claims
        self._cell_list = cell_list.CellList(follower, peers)
        self._parts = make_parts(self.gateways)
        self._tasks = self._parts.tasks
        self._pending_claims = 0

    @property
    def claim_commits(self) -> int:
        """Number of successful writes of claim shard heads."""
        return self._claims.commits

    @property
    def engine_client(self) -> engine_client.EngineClient:
        """Client that calls the engines."""
        return self._parts.client

    async def run(self) -> None:
        """Reconciles cells and audits grants periodically until cancelled."""
        audited_at = anyio.current_time()
        while True:
            await self.reconcile()
            now = anyio.current_time()
            self.gateways.end_abandoned(now)
            if now - audited_at >= self._settings.periods.audit_s:
                audited_at = now
                self._audit()
            await anyio.sleep(self._settings.periods.reconcile_s)

    async def handle_connection(
        self, peer_connection: connection.Connection
    ) -> None:
        """Serves one peer until its connection closes."""
        peer = peer_connection.peer
        logs.bind(peer=peer.instance, role=peer.role).info("peer connected")
        try:
            match peer.role:
                case "gateway":
                    await self._serve_gateway(peer_connection)
                case "scheduler":
                    await self._peers.serve(peer_connection)
                case bootstrap.ROLE_READER:
                    await self._peers.serve_reader(peer_connection)
                case _:
                    await peer_connection.close(
                        Codes.BAD_REQUEST, f"unsupported role {peer.role!r}"
                    )
        except* errors.ProtocolError as group:
            logs.bind(peer=peer.instance).info(
                "peer connection closed: {}", str(group.exceptions[0])
            )

    async def reconcile(self) -> None:
        """Opens, updates and hands over cells once."""
        if self.draining:
            return
        self._peers.own_epochs = self._read_epochs()
        desired = self._cell_list.read()
        for cell in list(self.cells):
            await self._check_ownership(cell, desired)
        now = anyio.current_time()
        own = self._settings.instance
        for cell in desired:
            if cell in self.cells:
                continue
            if self._peers.membership.find_owner(cell, now) == own:
                self._open_cell(cell)
        for cell, share in self._divide_load_rate(desired).items():
            if cell in self.cells:
                self.cells[cell].set_store_share(share)
        await self._peers.borrow()

    async def stop(self) -> None:
        """Hands over all cells and waits for pending claims."""
        self.draining = True
        await self._peers.announce_departure()
        self.gateways.broadcast(self._peers.make_digest())
        async with anyio.create_task_group() as tasks:
            for cell in list(self.cells):
                tasks.start_soon(
                    self._hand_over, cell, self._find_successor(cell)
                )
        with anyio.move_on_after(self._settings.limits.stop_timeout_s):
            while self._pending_claims:
                await anyio.sleep(STOP_POLL_S)

    def withdraw(self, cell: rows.CellId, request_id: str) -> None:
        """Removes a request that a gateway no longer waits for."""
        controller = self.cells.get(cell)
        if controller is not None:
            controller.withdraw(request_id)

    def end_grant(
        self, cell: rows.CellId, release: messages.GrantRelease
    ) -> None:
        """Ends a grant that a gateway no longer uses."""
        controller = self.cells.get(cell)
        if controller is not None:
            controller.end_grant(release)

    async def _serve_gateway(
        self, peer_connection: connection.Connection
    ) -> None:
        limits = self._settings.limits
        outbox = outbox_module.Outbox(peer_connection, limits.max_replies)
        now = anyio.current_time()
        gateway = self.gateways.connect(peer_connection.peer, outbox, now)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(outbox.run)
                tasks.start_soon(
                    announcements.send_digests,
                    gateway,
                    self._peers.make_digest,
                    self._settings.periods,
                )
                tasks.start_soon(
                    heartbeats.keep_alive,
                    peer_connection,
                    self._settings.inner,
                    announcements.make_loads_reader(self._list_loads),
                )
                while True:
                    self._handle(gateway, await peer_connection.receive())
        finally:
            now = anyio.current_time()
            self.gateways.disconnect(gateway, outbox, now)
            outbox.close()

    def _handle(
        self, gateway: gateways_module.Gateway, message: messages.Message
    ) -> None:
        match message:
            case messages.GrantRequest():
                self._request_grant(gateway, message)
            case messages.GrantRelease():
                self._release(gateway, message)
            case messages.OutstandingReply():
                self._apply_outstanding(gateway, message)
            case messages.ClaimRequest() | messages.OutcomeReport():
                self._tasks.start_soon(self._serve_claim, gateway, message)
            case messages.TableFetch():
                gateway.send(self._peers.make_table_reply(message))
            case peer_messages.InstancesFetch():
                gateway.send(self._peers.directory.make_reply(message))

    def _request_grant(
        self,
        gateway: gateways_module.Gateway,
        request: messages.GrantRequest,
    ) -> None:
        now = anyio.current_time()
        screened = suspects.screen(self._peers.quarantine, request, now)
        if screened is None:
            self._refuse(gateway, request, Codes.QUARANTINED)
            return
        controller = self.cells.get(rows.CellId(request.pool, request.zone))
        if controller is not None:
            controller.submit(screened, gateway)
        else:
            self._tasks.start_soon(self._resolve_cell, gateway, screened)

    async def _resolve_cell(
        self,
        gateway: gateways_module.Gateway,
        request: messages.GrantRequest,
    ) -> None:
        """Opens the requested cell, or refuses and names its owner."""
        cell = rows.CellId(request.pool, request.zone)
        if not self._follower.is_ready:
            self._refuse(gateway, request, Codes.TABLES_NOT_LOADED)
            return
        if cell not in self._cell_list.read():
            self._refuse(gateway, request, Codes.NO_UPSTREAM)
            return
        now = anyio.current_time()
        members = self._peers.membership
        await self._peers.probe_all(
            members.list_possibly_reachable(request.suspects, now)
        )
        owner = members.find_owner(cell, anyio.current_time())
        if owner == self._settings.instance and not self.draining:
            self._open_cell(cell).submit(request, gateway)
        else:
            self._refuse(gateway, request, Codes.NOT_OWNER, owner)

    def _refuse(
        self,
        gateway: gateways_module.Gateway,
        request: messages.GrantRequest,
        code: result_codes.ResultCode,
        owner: str = "",
    ) -> None:
        gateway.send(
            messages.RefusalReply(
                request_id=request.request_id,
                code=code,
                detail=f"{request.pool}@{request.zone}",
                retry_after_s=RETRY_AFTER_S,
                owner=owner,
            )
        )

    def _release(
        self,
        gateway: gateways_module.Gateway,
        release: messages.GrantRelease,
    ) -> None:
        if release.grant_id:
            tracked = gateway.grants.pop(release.grant_id, None)
            if tracked is not None:
                self.end_grant(tracked.cell, release)
            if tracked is not None:
                now = anyio.current_time()
                suspects.apply_release(
                    self._peers.quarantine, tracked, release, now
                )
            if tracked is not None and release.lost:
                self._check_engine(tracked.cell, release.upstream)
            return
        tracked = gateway.waiting.pop(release.request_id, None)
        if tracked is not None:
            self.withdraw(tracked.cell, release.request_id)

    def _check_engine(self, cell: rows.CellId, upstream: str) -> None:
        controller = self.cells.get(cell)
        if controller is not None:
            controller.check_engine(upstream)

    def _apply_outstanding(
        self,
        gateway: gateways_module.Gateway,
        reply: messages.OutstandingReply,
    ) -> None:
        controller = self.cells.get(rows.CellId(reply.pool, reply.zone))
        if controller is not None:
            for grant in reply.grants:
                controller.adopt(grant)
        self.gateways.apply_reply(gateway, reply, anyio.current_time())

    async def _serve_claim(
        self,
        gateway: gateways_module.Gateway,
        message: messages.ClaimRequest | messages.OutcomeReport,
    ) -> None:
        self._pending_claims += 1
        try:
            match message:
                case messages.ClaimRequest():
                    gateway.send(await self._claims.claim(message))
                case messages.OutcomeReport():
                    gateway.send(await self._claims.report(message))
        finally:
            self._pending_claims -= 1

    def _list_loads(self) -> list[messages.CellLoad]:
        return [controller.make_load() for controller in self.cells.values()]

    def _audit(self) -> None:
        """Compares grants with the gateways' and ends those not in use."""
        self._parts.confirmer.forget_removed_gateways()
        for cell, controller in self.cells.items():
            self._tasks.start_soon(
                self.gateways.collect, cell, controller.read_epochs()
            )

    def _read_epochs(self) -> dict[str, int]:
        return {
            name: epoch
            for controller in self.cells.values()
            for name, epoch in controller.read_epochs().items()
        }

    async def _check_ownership(
        self, cell: rows.CellId, desired: frozenset[rows.CellId]
    ) -> None:
        controller = self.cells[cell]
        if controller.successor is not None:
            return
        if cell not in desired:
            self._tasks.start_soon(self._hand_over, cell, "")
            return
        self._update_cell(controller, self._follower.tables)
        now = anyio.current_time()
        owner = self._peers.membership.find_owner(cell, now)
        if owner == self._settings.instance:
            return
        # The successor cannot acquire ownership while the platform is
        # unavailable, so the cell stays here until then.
        if (
            self._peers.directory.is_platform_reachable()
            and await self._peers.probe(owner)
            and await self._peers.directory.refresh()
        ):
            self._tasks.start_soon(self._hand_over, cell, owner)

    def _open_cell(self, cell: rows.CellId) -> cells.CellController:
        controller = self.cells.get(cell)
        if controller is not None:
            return controller
        logs.bind(cell=cell.text).info("cell opened")
        pool = self._follower.tables.pools[cell.pool]
        desired = self._cell_list.read()
        share = self._peers.lending.find_initial_share(cell, desired)
        settings = cell_settings.CellSettings(
            stall_weight=pool.stall_weight,
            batch_weight=pool.batch_weight,
            max_queue_s=pool.max_queue_s,
            max_waiting=self._settings.limits.max_waiting,
            loads_per_s=share.loads_per_s,
            loads_in_flight=share.in_flight,
        )
        controller = cells.CellController(cell, settings, self._parts)
        self.cells[cell] = controller
        self._update_cell(controller, self._follower.tables)
        self._tasks.start_soon(controller.run)
        return controller

    def _update_cell(
        self, controller: cells.CellController, tables: core_tables.Tables
    ) -> None:
        members = self._peers.membership
        pool = tables.pools[controller.cell.pool]
        controller.update_engines(
            members.list_upstreams(pool, controller.cell.zone)
        )
        for name, engine in controller.engines.items():
            engine.set_leaving(members.is_leaving(name) or name in self.drained)

    def _divide_load_rate(
        self, desired: frozenset[rows.CellId]
    ) -> dict[rows.CellId, scheduler_settings.StoreSettings]:
        """Returns each owned cell's share of the weight store's load rate."""
        needs = {
            cell: controller.measure_need()
            for cell, controller in self.cells.items()
        }
        return self._peers.lending.update(desired, needs, anyio.current_time())

    def _find_successor(self, cell: rows.CellId) -> str:
        now = anyio.current_time()
        return self._peers.membership.find_owner(cell, now)

    async def _hand_over(self, cell: rows.CellId, successor: str) -> None:
        controller = self.cells[cell]
        logs.bind(cell=cell.text, owner=successor).info("cell handed over")
        await controller.hand_over(successor)
        if self.cells.get(cell) is controller:
            del self.cells[cell]
