"""Controller of one owned cell: executes the actions that its core returns."""

import collections
import math

import anyio

from tamaracktide import result_codes
from tamaracktide.core import cell as cell_core
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import membership
from tamaracktide.core import rows
from tamaracktide.protocol import messages
from tamaracktide.scheduler import cell_parts
from tamaracktide.scheduler import engine_parts
from tamaracktide.scheduler import engines
from tamaracktide.scheduler import gateways
from tamaracktide.scheduler import requests as requests_module
from tamaracktide.scheduler import settings as scheduler_settings

Codes = result_codes.ResultCode

START_POLL_S = 0.02


class CellController:
    """Owns and serves one cell.

    Attributes:
        cell: The cell.
        engines: Controllers of its engines, by instance id.
        successor: Scheduler that takes the cell over, or None while this one
            serves it.
        stopped: Cancel scope of `run`.
    """

    def __init__(
        self,
        cell: rows.CellId,
        settings: cell_settings.CellSettings,
        parts: cell_parts.CellParts,
    ) -> None:
        """Creates a controller without engines; see `update_engines`."""
        self.cell = cell
        self.engines: dict[str, engines.EngineController] = {}
        self.successor: str | None = None
        self._parts = parts
        self._core = cell_core.Cell(settings, parts.rng)
        self._requests = requests_module.WaitingRequests(cell, parts.metrics)
        self._held: dict[str, requests_module.Request] = {}
        self._loads: dict[rows.AdapterKey, list[float]] = {}
        self._events: collections.deque[cell_events.CellEvent] = (
            collections.deque()
        )
        self._handling = False
        self._started = False
        self._share: scheduler_settings.StoreSettings | None = None
        self._wake_at = math.inf
        self._woken = anyio.Event()
        self.stopped = anyio.CancelScope()

    async def run(self) -> None:
        """Serves until `stopped` is cancelled."""
        with self.stopped:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_timer)
                tasks.start_soon(self._start_granting)
                tasks.start_soon(self._record_metrics)
                tasks.start_soon(self._confirm_grants)
        for engine in self.engines.values():
            engine.stopped.cancel()

    def update_engines(self, members: list[membership.Member]) -> None:
        """Adds and removes engines to match the cell's upstreams."""
        listed = {member.instance: member for member in members}
        for name, engine in list(self.engines.items()):
            if _has_moved(engine, listed.get(name)):
                del self.engines[name]
                engine.set_leaving(True)
                self._parts.tasks.start_soon(self._release_engine, engine)
        for name, member in listed.items():
            if name not in self.engines:
                self._add_engine(member)
            else:
                self.engines[name].reacquire()

    def set_store_share(self, share: scheduler_settings.StoreSettings) -> None:
        """Sets the cell's share of the weight store's limits."""
        if share != self._share:
            self._share = share
            self.feed(
                cell_events.StoreShareChanged(
                    share.loads_per_s, share.in_flight
                )
            )

    def submit(
        self, message: messages.GrantRequest, gateway: gateways.Gateway
    ) -> None:
        """Accepts a gateway's request; every request gets a reply."""
        now = anyio.current_time()
        request = self._requests.open(message, gateway, now)
        if self.successor is not None:
            self._requests.refuse(
                request, Codes.NOT_OWNER, owner=self.successor
            )
        elif not self._started:
            request.waited = True
            self._held[message.request_id] = request
        else:
            self._submit_or_refuse(request)

    def withdraw(self, request_id: str) -> None:
        """Removes a request that its gateway no longer waits for."""
        self._held.pop(request_id, None)
        self._requests.close(request_id)
        self.feed(cell_events.Withdraw(request_id))

    def end_grant(self, release: messages.GrantRelease) -> None:
        """Frees the batch slot of a grant."""
        self.feed(
            cell_events.GrantEnded(
                grant_id=release.grant_id,
                prompt_tokens=release.prompt_tokens,
                generated_tokens=release.generated_tokens,
                adapter_missing=release.adapter_missing,
            )
        )

    def check_engine(self, upstream: str) -> None:
        """Polls an engine's state without waiting for the next period."""
        engine = self.engines.get(upstream)
        if engine is not None:
            engine.request_poll()

    def adopt(self, grant: messages.OutstandingGrant) -> None:
        """Counts an outstanding grant that a gateway reported."""
        engine = self.engines.get(grant.upstream)
        if engine is not None:
            engine.adopt(grant)

    def read_epochs(self) -> dict[str, int]:
        """Returns the epochs of the owned engines, by instance id."""
        return {
            name: engine.ownership.epoch
            for name, engine in self.engines.items()
            if engine.ownership.epoch
        }

    def measure_need(self) -> float:
        """Returns the number of loading adapters, or 0 if no request waits."""
        return float(len(self._loads)) if len(self._requests) else 0.0

    def make_load(self) -> messages.CellLoad:
        """Returns the load report that gateways receive."""
        utilization = self._core.measure_utilization()
        now = anyio.current_time()
        waits = [now - request.submitted_at for request in self._requests]
        return messages.CellLoad(
            pool=self.cell.pool,
            zone=self.cell.zone,
            running=utilization.running,
            capacity=utilization.capacity,
            waiting=len(self._requests),
            wait_s=max(utilization.wait_s, max(waits, default=0.0)),
        )

    async def hand_over(self, successor: str) -> None:
        """Refuses requests, waits for orders in flight and releases engines."""
        self.successor = successor
        for request in self._requests:
            self.feed(cell_events.Withdraw(request.message.request_id))
            self._requests.refuse(request, Codes.NOT_OWNER, owner=successor)
        self._held.clear()
        limit_s = self._parts.settings.limits.stop_timeout_s
        with anyio.move_on_after(limit_s):
            async with anyio.create_task_group() as tasks:
                for engine in self.engines.values():
                    tasks.start_soon(engine.release)
        self.stopped.cancel()

    def feed(self, event: cell_events.CellEvent) -> None:
        """Passes an event to the core and executes the returned actions.

        Events that an action raises are queued and handled in order after it.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                now = anyio.current_time()
                for action in self._core.handle(self._events.popleft(), now):
                    self._execute(action, now)
        finally:
            self._handling = False

    def _execute(self, action: cell_actions.CellAction, now: float) -> None:
        match action:
            case cell_actions.Grant():
                self._grant(action, now)
            case cell_actions.Refuse():
                request = self._requests.find(action.request_id)
                if request is not None:
                    self._requests.refuse(
                        request, action.code, action.retry_after_s
                    )
            case cell_actions.Load():
                self._parts.tasks.start_soon(self._load, action)
            case cell_actions.WakeAt(at):
                self._wake_at = at
                self._woken.set()

    def _submit(self, request: requests_module.Request) -> None:
        message = request.message
        self.feed(
            cell_events.Submit(
                request_id=message.request_id,
                customer=message.customer,
                key=request.key,
                weight=message.weight,
                prompt_tokens=message.prompt_tokens,
                max_tokens=message.max_tokens,
                deadline=request.submitted_at + message.time_left_s,
                prefix=message.prefix,
                avoid=message.avoid,
                alone=message.alone,
            )
        )
        request.waited = True

    def _grant(self, grant: cell_actions.Grant, now: float) -> None:
        request = self._requests.find(grant.request_id)
        engine = self.engines.get(grant.upstream)
        delivered = False
        if (
            request is not None
            and engine is not None
            and engine.ownership.epoch
        ):
            load_wait_s = self._measure_load_wait(request, now)
            delivered = self._requests.grant(grant, engine, load_wait_s, now)
        elif request is not None:
            self._requests.refuse(request, Codes.NO_UPSTREAM)
        if not delivered:
            self._events.append(cell_events.GrantEnded(grant_id=grant.grant_id))

    async def _load(self, load: cell_actions.Load) -> None:
        engine = self.engines.get(load.upstream)
        if engine is None:
            self.feed(cell_events.LoadEnded(load.load_id, False))
            return
        started = anyio.current_time()
        running = self._loads.setdefault(load.key, [])
        running.append(started)
        try:
            succeeded = await engine.execute_load(load)
        finally:
            running.remove(started)
            if not running:
                self._loads.pop(load.key, None)
        labels = {"pool": self.cell.pool}
        result = "loaded" if succeeded else "failed"
        self._parts.metrics.loads.inc({**labels, "result": result})
        if load.evict:
            self._parts.metrics.evictions.inc(labels)

    def _measure_load_wait(
        self, request: requests_module.Request, now: float
    ) -> float:
        """Returns how long a granted request waited for an adapter load."""
        started = min(self._loads.get(request.key, ()), default=None)
        if started is None or not request.waited:
            return 0.0
        return now - max(started, request.submitted_at)

    def _add_engine(self, member: membership.Member) -> None:
        parts = engine_parts.EngineParts(
            settings=self._parts.settings,
            client=self._parts.client,
            upstream_client=self._parts.upstream_client,
            feed=self.feed,
            collect=self._collect_grants,
            list_missing=self._parts.confirmer.list_missing,
        )
        engine = engines.EngineController(
            member, parts, self._parts.make_ownership_manager
        )
        self.engines[member.instance] = engine
        self._parts.tasks.start_soon(engine.run)

    async def _release_engine(self, engine: engines.EngineController) -> None:
        limit_s = self._parts.settings.limits.stop_timeout_s
        with anyio.move_on_after(limit_s):
            await engine.release()
        engine.stopped.cancel()

    async def _collect_grants(
        self, upstream: str, epoch: int
    ) -> tuple[messages.OutstandingGrant, ...]:
        grants = await self._parts.gateways.collect(
            self.cell, {upstream: epoch}
        )
        return tuple(grant for grant in grants if grant.upstream == upstream)

    async def _confirm_grants(self) -> None:
        """Collects missing reports of grants on engines taken over."""
        period_s = self._parts.settings.periods.confirm_s
        while True:
            await anyio.sleep(period_s)
            epochs = {
                name: engine.ownership.epoch
                for name, engine in self.engines.items()
                if engine.is_unconfirmed()
            }
            if epochs:
                for grant in await self._parts.confirmer.query_missing(
                    self.cell, epochs
                ):
                    self.adopt(grant)
            for engine in self.engines.values():
                engine.review_evictions()

    async def _start_granting(self) -> None:
        """Holds requests until each engine is known to be usable or not.

        The wait is limited to `start_wait_s`.
        """
        with anyio.move_on_after(self._parts.settings.limits.start_wait_s):
            while not self._is_settled():
                await anyio.sleep(START_POLL_S)
        self._started = True
        held, self._held = self._held, {}
        for request in held.values():
            self._submit_or_refuse(request)

    def _is_settled(self) -> bool:
        phases = {engine.phase for engine in self.engines.values()}
        undecided = {engine_parts.Phase.ACQUIRING, engine_parts.Phase.READING}
        return bool(phases) and not phases & undecided

    def _submit_or_refuse(self, request: requests_module.Request) -> None:
        controllers = self.engines.values()
        if any(
            engine.phase is engine_parts.Phase.LIVE for engine in controllers
        ):
            self._submit(request)
            return
        owner = max((engine.owner for engine in controllers), default="")
        if owner:
            self._requests.refuse(request, Codes.NOT_OWNER, owner=owner)
        elif any(
            engine.phase is engine_parts.Phase.ACQUIRING
            for engine in controllers
        ):
            self._requests.refuse(request, Codes.OWNER_UNREACHABLE)
        else:
            self._requests.refuse(request, Codes.NO_UPSTREAM)

    async def _run_timer(self) -> None:
        while True:
            self._woken = anyio.Event()
            delay_s = self._wake_at - anyio.current_time()
            with anyio.move_on_after(max(delay_s, 0.0)):
                await self._woken.wait()
            if anyio.current_time() >= self._wake_at:
                self._wake_at = math.inf
                self.feed(cell_events.Tick())

    async def _record_metrics(self) -> None:
        """Updates the cell's gauges and time integrals."""
        labels = {"pool": self.cell.pool}
        metrics = self._parts.metrics
        period_s = self._parts.settings.periods.engine_load_s
        while True:
            await anyio.sleep(period_s)
            utilization = self._core.measure_utilization()
            metrics.queue_length.set(labels, len(self._requests))
            metrics.batch_busy_seconds.add(
                labels, utilization.running * period_s
            )
            metrics.batch_place_seconds.add(
                labels, utilization.capacity * period_s
            )
            if utilization.capacity:
                ratio = utilization.running / utilization.capacity
                metrics.batch_efficiency.set(labels, ratio)


def _has_moved(
    engine: engines.EngineController, member: membership.Member | None
) -> bool:
    return member is None or member.address != engine.member.address
