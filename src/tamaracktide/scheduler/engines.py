"""Controller of one engine: ownership, state, load reports and orders."""

import anyio

from tamaracktide import invariants
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import confirmations
from tamaracktide.core import membership
from tamaracktide.core import ownership_events
from tamaracktide.observability import logs
from tamaracktide.protocol import messages
from tamaracktide.scheduler import engine_parts
from tamaracktide.scheduler import reports
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client

Outcome = engine_client.OrderOutcome
Phase = engine_parts.Phase

POLL_DEBOUNCE_S = 0.02
RELEASE_POLL_S = 0.02

# Outcomes after which the order can no longer take effect.
_CERTAIN_OUTCOMES = frozenset(Outcome) - {Outcome.UNCERTAIN}
_UNLOADED_OUTCOMES = frozenset({Outcome.DONE, Outcome.MISSING})


class EngineController:
    """Controls one engine of an owned cell.

    Attributes:
        member: The engine's entry in the instance list.
        phase: What this scheduler can do with the engine.
        owner: The other reachable scheduler that owns the engine, or empty.
        state: The engine's state at the last poll, or None.
        ownership: Manages the ownership of the engine.
        stopped: Cancel scope of `run`.
    """

    def __init__(
        self,
        member: membership.Member,
        parts: engine_parts.EngineParts,
        make_ownership_manager: engine_parts.OwnershipManagerFactory,
    ) -> None:
        """Creates a controller; `run` acquires the engine."""
        self.member = member
        self.phase = Phase.ACQUIRING
        self.owner = ""
        self.state: engine_client.EngineState | None = None
        self.stopped = anyio.CancelScope()
        self.ownership = make_ownership_manager(member.instance, self)
        self._parts = parts
        self._leaving = False
        self._reported_leaving = False
        self._unresponsive_since: float | None = None
        self._unloads_suspended = False
        self._reported_suspended = False
        self._inherited = confirmations.InheritedNames()
        self._order_transitions = 0
        self._orders_in_flight = 0
        self._poll_requested = anyio.Event()

    async def run(self) -> None:
        """Owns and polls the engine until `stopped` is cancelled."""
        with self.stopped:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.ownership.run)
                tasks.start_soon(reports.poll_reports, self, self._parts)
                self.ownership.feed(ownership_events.Acquire())
                await self._poll_state()

    def begin_ownership(
        self, ready: ownership_events.OwnershipAcquired
    ) -> None:
        """Requests a poll of the engine's state, required before any grant."""
        logs.bind(upstream=self.member.instance, epoch=ready.epoch).info(
            "ownership acquired"
        )
        self.phase = Phase.READING
        self.owner = ""
        self.request_poll()

    def end_ownership(self, owner: str) -> None:
        """Stops grants on the engine and tries to acquire it again."""
        logs.bind(upstream=self.member.instance, owner=owner).info(
            "ownership lost"
        )
        self._deactivate(Phase.ACQUIRING)
        self.owner = owner

    def record_owner(self, owner: str) -> None:
        """Records the scheduler that owns the engine."""
        self.phase = Phase.OWNED_ELSEWHERE
        self.owner = owner

    def suspend_unloads(self, suspended: bool) -> None:
        """Suspends or resumes unload orders and notifies the cell."""
        self._unloads_suspended = suspended
        self.review_evictions()

    def list_unconfirmed(self) -> list[str]:
        """Returns gateways that may hold unreported grants on the engine.

        Only adapters loaded before this ownership began can be affected.
        """
        if self.phase is not Phase.LIVE or not self._inherited.names:
            return []
        upstream = self.member.instance
        return self._parts.list_missing(upstream, self.ownership.epoch)

    def is_unconfirmed(self) -> bool:
        """Whether a gateway may hold unreported grants on the engine."""
        return bool(self.list_unconfirmed())

    def review_evictions(self) -> None:
        """Notifies the cell when evictions become suspended or allowed."""
        if self.phase is not Phase.LIVE:
            return
        suspended = self._unloads_suspended or self.is_unconfirmed()
        if suspended != self._reported_suspended:
            self._reported_suspended = suspended
            upstream = self.member.instance
            self._parts.feed(
                cell_events.EvictionsSuspended(upstream, suspended)
            )

    def set_leaving(self, leaving: bool) -> None:
        """Sets whether the engine is leaving and gets no new work."""
        self._leaving = leaving
        self._report_leaving()

    def request_poll(self) -> None:
        """Requests a poll of the engine's state ahead of the next period."""
        self._poll_requested.set()

    def reacquire(self) -> None:
        """Tries to acquire the ownership if it was lost."""
        self.ownership.feed(ownership_events.Acquire())

    async def release(self) -> None:
        """Waits for the orders in flight and releases the ownership."""
        while self._orders_in_flight:
            await anyio.sleep(RELEASE_POLL_S)
        with anyio.move_on_after(self._parts.settings.limits.release_wait_s):
            await self.ownership.release()

    async def execute_load(self, load: cell_actions.Load) -> bool:
        """Executes a load order; returns whether the adapter is in its slot."""
        self._order_transitions += 1
        self._orders_in_flight += 1
        try:
            succeeded = await self._load(load)
        finally:
            self._order_transitions += 1
            self._orders_in_flight -= 1
        self._parts.feed(cell_events.LoadEnded(load.load_id, succeeded))
        if not succeeded:
            self.request_poll()
        return succeeded

    async def _load(self, load: cell_actions.Load) -> bool:
        invariants.check(
            load.lora_name not in self.ownership.withheld,
            f"load order for the reserved lora name {load.lora_name}",
        )
        if load.evict and not await self._unload(load):
            return False
        order = self._make_order(load.lora_name, load.incarnation)
        if not order.epoch:
            return False
        result = await self._parts.client.load_adapter(order, load.key)
        self._check_result(result, order)
        return result.outcome is Outcome.DONE

    async def _unload(self, load: cell_actions.Load) -> bool:
        epoch = self.ownership.epoch
        if not await self.ownership.request_unload(load.evict):
            return False
        in_use = await self._is_in_use(load.evict)
        if in_use or self.ownership.epoch != epoch:
            # The adapter is in use or the ownership changed; no order is sent.
            ended = ownership_events.UnloadEnded(load.evict, certain=True)
            self.ownership.feed(ended)
            return False
        order = self._make_order(load.evict, load.incarnation)
        result = await self._parts.client.unload_adapter(order)
        certain = result.outcome in _CERTAIN_OUTCOMES
        self.ownership.feed(ownership_events.UnloadEnded(load.evict, certain))
        self._check_result(result, order)
        return result.outcome in _UNLOADED_OUTCOMES

    async def _is_in_use(self, lora_name: str) -> bool:
        """Whether a request without a grant of this owner may use a name."""
        if self.state is None or _count_running(self.state, lora_name):
            state = await self._fetch_state()
            if isinstance(state, calls.Failure):
                return True
            if _count_running(state, lora_name):
                return True
        return lora_name in self._inherited.names and self.is_unconfirmed()

    def _make_order(
        self, lora_name: str, incarnation: str
    ) -> engine_client.Order:
        return engine_client.Order(
            address=self.member.address,
            lora_name=lora_name,
            epoch=self.ownership.epoch,
            incarnation=incarnation,
        )

    def _check_result(
        self, result: engine_client.OrderResult, order: engine_client.Order
    ) -> None:
        if result.outcome is Outcome.DONE:
            return
        logs.bind(
            upstream=self.member.instance,
            lora_name=order.lora_name,
            epoch=order.epoch,
            outcome=result.outcome.value,
        ).warning("engine order failed: {}", result.detail)
        if result.outcome is Outcome.STALE_EPOCH and self.state is not None:
            self._report_to_ownership(self.state, result.highest_epoch)

    async def _poll_state(self) -> None:
        while True:
            self._poll_requested = anyio.Event()
            if self.ownership.epoch:
                await self._poll_once()
            period_s = self._parts.settings.periods.engine_state_s
            with anyio.move_on_after(period_s):
                await self._poll_requested.wait()
            await anyio.sleep(POLL_DEBOUNCE_S)

    async def _poll_once(self) -> None:
        epoch, orders = self.ownership.epoch, self._order_transitions
        requested_at = anyio.current_time()
        state = await self._fetch_state()
        if isinstance(state, calls.Failure):
            self._handle_poll_failure(state, requested_at)
            return
        self._unresponsive_since = None
        current = self.ownership.epoch == epoch
        self._report_to_ownership(state, state.highest_fencing_token, current)
        if self.ownership.epoch != epoch:
            return
        if self._order_transitions != orders:
            self.request_poll()
        elif self.phase is Phase.LIVE:
            self._report_state(state)
        elif await self._fence(state):
            await self._activate(state)

    async def _fetch_state(self) -> engine_client.EngineState | calls.Failure:
        address = self.member.address
        state = await self._parts.client.read_state(address)
        if isinstance(state, calls.Failure):
            # The pooled connections may be dead, so retry on a new one.
            await self._parts.upstream_client.close_idle(address)
            state = await self._parts.client.read_state(address)
        return state

    async def _fence(self, state: engine_client.EngineState) -> bool:
        """Makes the engine reject orders of earlier owners.

        Sends a load order for an adapter that is already loaded, which changes
        nothing on the engine but its highest fencing token.

        Returns:
            Whether the state can be used; otherwise it is polled again.
        """
        token = state.highest_fencing_token
        if not state.checks_fencing or token >= self.ownership.epoch:
            return True
        if not state.loaded:
            return True
        loaded = state.loaded[0]
        order = self._make_order(loaded.lora_name, state.incarnation)
        result = await self._parts.client.load_adapter(order, loaded.key)
        self._check_result(result, order)
        self.request_poll()
        return False

    async def _activate(self, state: engine_client.EngineState) -> None:
        """Makes the engine usable after collecting the gateways' grants."""
        epoch = self.ownership.epoch
        upstream = self.member.instance
        grants = await self._parts.collect(upstream, epoch)
        if self.ownership.epoch != epoch:
            return
        self.phase = Phase.LIVE
        names = (adapter.lora_name for adapter in state.loaded)
        self._inherited.begin(epoch, state.incarnation, names)
        # Counts one running request of unknown adapter until the reported
        # grants are adopted.
        self._report_state(state, unknown=1)
        for grant in grants:
            self.adopt(grant)
        self.review_evictions()
        self._report_state(state)

    def adopt(self, grant: messages.OutstandingGrant) -> None:
        """Counts an outstanding grant of an earlier owner or epoch."""
        if self.phase is Phase.LIVE:
            self._parts.feed(
                cell_events.GrantAdopted(
                    request_id=grant.request_id,
                    grant_id=grant.grant_id,
                    upstream=grant.upstream,
                    lora_name=grant.lora_name,
                    customer=grant.customer,
                )
            )

    def _report_to_ownership(
        self,
        state: engine_client.EngineState,
        highest: int,
        current: bool = False,
    ) -> None:
        names = tuple(adapter.lora_name for adapter in state.loaded)
        self.ownership.feed(
            ownership_events.EnginePolled(
                incarnation=state.incarnation,
                checks_fencing=state.checks_fencing,
                highest_fencing_token=highest,
                loaded=names if current else None,
            )
        )

    def _report_state(
        self, state: engine_client.EngineState, unknown: int = 0
    ) -> None:
        if self.state is None or self.state.incarnation != state.incarnation:
            self._reported_leaving = self._reported_suspended = False
        self.state = state
        names = (adapter.lora_name for adapter in state.loaded)
        self._inherited.update(state.incarnation, names)
        self._parts.feed(
            cell_events.UpstreamSnapshot(
                upstream=self.member.instance,
                incarnation=state.incarnation,
                slots=state.slots,
                batch_limit=state.batch_limit,
                loaded=tuple(
                    cell_events.LoadedAdapter(
                        adapter.lora_name, adapter.key, adapter.running
                    )
                    for adapter in state.loaded
                ),
                running=len(state.running) + unknown,
                checks_fencing=state.checks_fencing,
                withheld=self.ownership.withheld,
            )
        )
        self._report_leaving()
        self.review_evictions()

    def _report_leaving(self) -> None:
        draining = self.state is not None and self.state.draining
        leaving = self._leaving or draining
        if self.phase is Phase.LIVE and leaving != self._reported_leaving:
            self._reported_leaving = leaving
            upstream = self.member.instance
            self._parts.feed(cell_events.UpstreamLeaving(upstream, leaving))

    def _handle_poll_failure(
        self, failure: calls.Failure, requested_at: float
    ) -> None:
        if self._unresponsive_since is None:
            self._unresponsive_since = requested_at
        unresponsive_s = anyio.current_time() - self._unresponsive_since
        refused = failure.kind is calls.FailureKind.UNREACHABLE
        if (
            refused
            or unresponsive_s >= self._parts.settings.limits.engine_lost_s
        ):
            logs.bind(upstream=self.member.instance).warning(
                "engine unresponsive, grants stopped: {}", failure.detail
            )
            self._deactivate(Phase.UNRESPONSIVE)
        else:
            self.request_poll()

    def _deactivate(self, phase: Phase) -> None:
        if self.phase is Phase.LIVE:
            self._parts.feed(cell_events.UpstreamLost(self.member.instance))
        self.phase = phase
        self._reported_leaving = self._reported_suspended = False


def _count_running(state: engine_client.EngineState, lora_name: str) -> int:
    return sum(
        adapter.running
        for adapter in state.loaded
        if adapter.lora_name == lora_name
    )
