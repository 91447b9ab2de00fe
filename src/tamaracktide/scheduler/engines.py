"""One engine of an owned cell: ownership, state, load reports and orders."""

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

KICK_DELAY_S = 0.02
RELEASE_POLL_S = 0.02

# Orders that certainly can't take effect any more.
_CERTAIN = frozenset(Outcome) - {Outcome.UNCERTAIN}
_UNLOADED = frozenset({Outcome.DONE, Outcome.MISSING})


class Engine:
    """The shell around one engine.

    Attributes:
        member: The engine's entry in the instance list.
        phase: What this scheduler can do with it.
        owner: The reachable scheduler that owns it, if another does.
        state: Its state as last read, or None.
        keeper: Its ownership.
        stopped: Cancel scope of `run`.
    """

    def __init__(
        self,
        member: membership.Member,
        parts: engine_parts.EngineParts,
        make_keeper: engine_parts.KeeperMaker,
    ) -> None:
        """Starts to take the engine once `run` runs."""
        self.member = member
        self.phase = Phase.ACQUIRING
        self.owner = ""
        self.state: engine_client.EngineState | None = None
        self.stopped = anyio.CancelScope()
        self.keeper = make_keeper(member.instance, self)
        self._parts = parts
        self._leaving = False
        self._told_leaving = False
        self._silent_since: float | None = None
        self._suspended = False
        self._told_suspended = False
        self._inherited = confirmations.InheritedNames()
        self._orders_seen = 0
        self._orders_open = 0
        self._kicked = anyio.Event()

    async def run(self) -> None:
        """Owns and reads the engine until `stopped` is cancelled."""
        with self.stopped:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.keeper.run)
                tasks.start_soon(reports.poll_reports, self, self._parts)
                self.keeper.feed(ownership_events.Acquire())
                await self._poll_state()

    def begin_ownership(
        self, ready: ownership_events.OwnershipAcquired
    ) -> None:
        """Reads the engine first, before anything is granted."""
        logs.bind(upstream=self.member.instance, epoch=ready.epoch).info(
            "upstream taken"
        )
        self.phase = Phase.READING
        self.owner = ""
        self.kick()

    def end_ownership(self, owner: str) -> None:
        """Stops all granting on the engine and tries to get it back."""
        logs.bind(upstream=self.member.instance, owner=owner).info(
            "upstream lost"
        )
        self._drop(Phase.ACQUIRING)
        self.owner = owner

    def note_owner(self, owner: str) -> None:
        """Remembers who owns it."""
        self.phase = Phase.ELSEWHERE
        self.owner = owner

    def suspend_unloads(self, suspended: bool) -> None:
        """Passes on that evictions are not allowed for now, or are again."""
        self._suspended = suspended
        self.review_evictions()

    def list_unconfirmed(self) -> list[str]:
        """Returns gateways that may use inherited names in unknown ways."""
        if self.phase is not Phase.LIVE or not self._inherited.names:
            return []
        upstream = self.member.instance
        return self._parts.list_missing(upstream, self.keeper.epoch)

    def is_unconfirmed(self) -> bool:
        """Whether a gateway may use inherited names in unknown ways."""
        return bool(self.list_unconfirmed())

    def review_evictions(self) -> None:
        """Tells the cell when evictions stop or start to be allowed."""
        if self.phase is not Phase.LIVE:
            return
        suspended = self._suspended or self.is_unconfirmed()
        if suspended != self._told_suspended:
            self._told_suspended = suspended
            upstream = self.member.instance
            self._parts.feed(
                cell_events.EvictionsSuspended(upstream, suspended)
            )

    def set_leaving(self, leaving: bool) -> None:
        """Notes whether the engine may get new work."""
        self._leaving = leaving
        self._tell_leaving()

    def kick(self) -> None:
        """Reads the engine's state soon."""
        self._kicked.set()

    def reacquire(self) -> None:
        """Tries to own it, if it was lost."""
        self.keeper.feed(ownership_events.Acquire())

    async def release(self) -> None:
        """Waits for the orders in progress and gives the ownership up."""
        while self._orders_open:
            await anyio.sleep(RELEASE_POLL_S)
        with anyio.move_on_after(self._parts.settings.limits.release_wait_s):
            await self.keeper.release()

    async def carry_out(self, load: cell_actions.Load) -> bool:
        """Carries out a load order; returns whether it is in its slot."""
        self._orders_seen += 1
        self._orders_open += 1
        try:
            succeeded = await self._load(load)
        finally:
            self._orders_seen += 1
            self._orders_open -= 1
        self._parts.feed(cell_events.LoadEnded(load.load_id, succeeded))
        if not succeeded:
            self.kick()
        return succeeded

    async def _load(self, load: cell_actions.Load) -> bool:
        invariants.check(
            load.lora_name not in self.keeper.withheld,
            f"load under the withheld name {load.lora_name}",
        )
        if load.evict and not await self._unload(load):
            return False
        order = self._make_order(load.lora_name, load.incarnation)
        if not order.epoch:
            return False
        result = await self._parts.client.load_adapter(order, load.key)
        self._judge(result, order)
        return result.outcome is Outcome.DONE

    async def _unload(self, load: cell_actions.Load) -> bool:
        epoch = self.keeper.epoch
        if not await self.keeper.ask_unload(load.evict):
            return False
        in_use = await self._is_in_use(load.evict)
        if in_use or self.keeper.epoch != epoch:
            # The order is not sent, or ownership changed before it was.
            ended = ownership_events.UnloadEnded(load.evict, certain=True)
            self.keeper.feed(ended)
            return False
        order = self._make_order(load.evict, load.incarnation)
        result = await self._parts.client.unload_adapter(order)
        certain = result.outcome in _CERTAIN
        self.keeper.feed(ownership_events.UnloadEnded(load.evict, certain))
        self._judge(result, order)
        return result.outcome in _UNLOADED

    async def _is_in_use(self, lora_name: str) -> bool:
        """Whether a request may use a name by other grants than own ones."""
        if self.state is None or _count_running(self.state, lora_name):
            state = await self._ask_state()
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
            epoch=self.keeper.epoch,
            incarnation=incarnation,
        )

    def _judge(
        self, result: engine_client.OrderResult, order: engine_client.Order
    ) -> None:
        if result.outcome is Outcome.DONE:
            return
        logs.bind(
            upstream=self.member.instance,
            lora_name=order.lora_name,
            epoch=order.epoch,
            outcome=result.outcome.value,
        ).warning("order not obeyed: {}", result.detail)
        if result.outcome is Outcome.STALE_EPOCH and self.state is not None:
            self._tell_keeper(self.state, result.highest_epoch)

    async def _poll_state(self) -> None:
        while True:
            self._kicked = anyio.Event()
            if self.keeper.epoch:
                await self._read_state()
            period_s = self._parts.settings.periods.engine_state_s
            with anyio.move_on_after(period_s):
                await self._kicked.wait()
            await anyio.sleep(KICK_DELAY_S)

    async def _read_state(self) -> None:
        epoch, orders = self.keeper.epoch, self._orders_seen
        asked_at = anyio.current_time()
        state = await self._ask_state()
        if isinstance(state, calls.Failure):
            self._note_silence(state, asked_at)
            return
        self._silent_since = None
        current = self.keeper.epoch == epoch
        self._tell_keeper(state, state.highest_fencing_token, current)
        if self.keeper.epoch != epoch:
            return
        if self._orders_seen != orders:
            self.kick()
        elif self.phase is Phase.LIVE:
            self._tell_state(state)
        elif await self._fence(state):
            await self._begin(state)

    async def _ask_state(self) -> engine_client.EngineState | calls.Failure:
        address = self.member.address
        state = await self._parts.client.read_state(address)
        if isinstance(state, calls.Failure):
            # The known connections may have gone silent.
            await self._parts.caller.forget(address)
            state = await self._parts.client.read_state(address)
        return state

    async def _fence(self, state: engine_client.EngineState) -> bool:
        """Makes the engine refuse orders of earlier owners.

        Loading what is loaded already changes nothing but the token.

        Returns:
            Whether the state can be used; otherwise it is read again.
        """
        token = state.highest_fencing_token
        if not state.checks_fencing or token >= self.keeper.epoch:
            return True
        if not state.loaded:
            return True
        loaded = state.loaded[0]
        order = self._make_order(loaded.lora_name, state.incarnation)
        result = await self._parts.client.load_adapter(order, loaded.key)
        self._judge(result, order)
        self.kick()
        return False

    async def _begin(self, state: engine_client.EngineState) -> None:
        """Makes the engine usable after the gateways' grants are known."""
        epoch = self.keeper.epoch
        upstream = self.member.instance
        grants = await self._parts.collect(upstream, epoch)
        if self.keeper.epoch != epoch:
            return
        self.phase = Phase.LIVE
        names = (one.lora_name for one in state.loaded)
        self._inherited.begin(epoch, state.incarnation, names)
        # Until the grants are counted, a request of unknown adapter runs.
        self._tell_state(state, unknown=1)
        for grant in grants:
            self.adopt(grant)
        self.review_evictions()
        self._tell_state(state)

    def adopt(self, grant: messages.OutstandingGrant) -> None:
        """Counts a grant that a gateway holds from before."""
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

    def _tell_keeper(
        self,
        state: engine_client.EngineState,
        highest: int,
        current: bool = False,
    ) -> None:
        names = tuple(one.lora_name for one in state.loaded)
        self.keeper.feed(
            ownership_events.EnginePolled(
                incarnation=state.incarnation,
                checks_fencing=state.checks_fencing,
                highest_fencing_token=highest,
                loaded=names if current else None,
            )
        )

    def _tell_state(
        self, state: engine_client.EngineState, unknown: int = 0
    ) -> None:
        if self.state is None or self.state.incarnation != state.incarnation:
            self._told_leaving = self._told_suspended = False
        self.state = state
        names = (one.lora_name for one in state.loaded)
        self._inherited.update(state.incarnation, names)
        self._parts.feed(
            cell_events.UpstreamSnapshot(
                upstream=self.member.instance,
                incarnation=state.incarnation,
                slots=state.slots,
                batch_limit=state.batch_limit,
                loaded=tuple(
                    cell_events.LoadedAdapter(
                        one.lora_name, one.key, one.running
                    )
                    for one in state.loaded
                ),
                running=len(state.running) + unknown,
                checks_fencing=state.checks_fencing,
                withheld=self.keeper.withheld,
            )
        )
        self._tell_leaving()
        self.review_evictions()

    def _tell_leaving(self) -> None:
        draining = self.state is not None and self.state.draining
        leaving = self._leaving or draining
        if self.phase is Phase.LIVE and leaving != self._told_leaving:
            self._told_leaving = leaving
            upstream = self.member.instance
            self._parts.feed(cell_events.UpstreamLeaving(upstream, leaving))

    def _note_silence(self, failure: calls.Failure, asked_at: float) -> None:
        if self._silent_since is None:
            self._silent_since = asked_at
        silent_s = anyio.current_time() - self._silent_since
        refused = failure.kind is calls.FailureKind.UNREACHABLE
        if refused or silent_s >= self._parts.settings.limits.engine_lost_s:
            logs.bind(upstream=self.member.instance).warning(
                "engine judged lost: {}", failure.detail
            )
            self._drop(Phase.SILENT)
        else:
            self.kick()

    def _drop(self, phase: Phase) -> None:
        if self.phase is Phase.LIVE:
            self._parts.feed(cell_events.UpstreamLost(self.member.instance))
        self.phase = phase
        self._told_leaving = self._told_suspended = False


def _count_running(state: engine_client.EngineState, lora_name: str) -> int:
    return sum(
        one.running for one in state.loaded if one.lora_name == lora_name
    )
