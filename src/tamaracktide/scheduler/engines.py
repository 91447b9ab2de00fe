"""One engine of an owned cell: ownership, state, load reports and orders."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

import anyio

from tamaracktide import invariants
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import membership
from tamaracktide.core import ownership_events
from tamaracktide.observability import logs
from tamaracktide.protocol import messages
from tamaracktide.scheduler import keeper as keeper_module
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client

Outcome = engine_client.OrderOutcome

KICK_DELAY_S = 0.02
RELEASE_POLL_S = 0.02

# Orders that certainly can't take effect any more.
_CERTAIN = frozenset(Outcome) - {Outcome.UNSURE}
_UNLOADED = frozenset({Outcome.DONE, Outcome.MISSING})


class Phase(enum.Enum):
    """What this scheduler can do with the engine."""

    TAKING = "taking"
    ELSEWHERE = "elsewhere"
    READING = "reading"
    LIVE = "live"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineParts:
    """What an engine's shell works with.

    Attributes:
        settings: The scheduler's settings.
        client: Client of engines.
        caller: Connections of that client.
        feed: Hands an event to the cell.
        collect: Returns the gateways' grants in use on an engine.
    """

    settings: scheduler_settings.SchedulerSettings
    client: engine_client.EngineClient
    caller: calls.Caller
    feed: Callable[[cell_events.CellEvent], None]
    collect: Callable[
        [str, int], Awaitable[tuple[messages.OutstandingGrant, ...]]
    ]


class KeeperMaker(Protocol):
    """Builds the keeper of an upstream."""

    def __call__(
        self, upstream: str, listener: keeper_module.Listener
    ) -> keeper_module.Keeper:
        """Returns a keeper that tells the listener."""


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
        parts: EngineParts,
        make_keeper: KeeperMaker,
    ) -> None:
        """Starts to take the engine once `run` runs."""
        self.member = member
        self.phase = Phase.TAKING
        self.owner = ""
        self.state: engine_client.EngineState | None = None
        self.stopped = anyio.CancelScope()
        self.keeper = make_keeper(member.instance, self)
        self._parts = parts
        self._leaving = False
        self._told_leaving = False
        self._silent_since: float | None = None
        self._suspended = False
        self._orders_seen = 0
        self._orders_open = 0
        self._kicked = anyio.Event()

    async def run(self) -> None:
        """Owns and reads the engine until `stopped` is cancelled."""
        with self.stopped:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.keeper.run)
                tasks.start_soon(self._poll_load)
                self.keeper.feed(ownership_events.Acquire())
                await self._poll_state()

    def begin_ownership(self, ready: ownership_events.Ready) -> None:
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
        self._drop(Phase.TAKING)
        self.owner = owner

    def note_owner(self, owner: str) -> None:
        """Remembers who owns it."""
        self.phase = Phase.ELSEWHERE
        self.owner = owner

    def suspend_unloads(self, suspended: bool) -> None:
        """Passes on that evictions are not allowed for now, or are again."""
        self._suspended = suspended
        if self.phase is Phase.LIVE:
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
        if self.keeper.epoch != epoch:
            # Ownership changed before the order was sent.
            ended = ownership_events.UnloadEnded(load.evict, certain=True)
            self.keeper.feed(ended)
            return False
        order = self._make_order(load.evict, load.incarnation)
        result = await self._parts.client.unload_adapter(order)
        certain = result.outcome in _CERTAIN
        self.keeper.feed(ownership_events.UnloadEnded(load.evict, certain))
        self._judge(result, order)
        return result.outcome in _UNLOADED

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
        self._tell_keeper(state, state.highest_fencing_token)
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
        self._tell_state(state)
        for grant in grants:
            self.adopt(grant)
        if self._suspended:
            self._parts.feed(cell_events.EvictionsSuspended(upstream))
        self._told_leaving = False
        self._tell_leaving()

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
        self, state: engine_client.EngineState, highest: int
    ) -> None:
        self.keeper.feed(
            ownership_events.EngineRead(
                incarnation=state.incarnation,
                checks_fencing=state.checks_fencing,
                highest_fencing_token=highest,
            )
        )

    def _tell_state(self, state: engine_client.EngineState) -> None:
        self.state = state
        self._parts.feed(
            cell_events.UpstreamRead(
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
                running=len(state.running),
                checks_fencing=state.checks_fencing,
                withheld=self.keeper.withheld,
            )
        )
        self._tell_leaving()

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
        self._told_leaving = False

    async def _poll_load(self) -> None:
        while True:
            await anyio.sleep(self._parts.settings.periods.engine_load_s)
            if self.phase is not Phase.LIVE:
                continue
            asked_at = anyio.current_time()
            report = await self._parts.client.read_load(self.member.address)
            if isinstance(report, calls.Failure):
                self.kick()
            elif self.phase is Phase.LIVE:
                self._parts.feed(
                    cell_events.LoadReported(
                        upstream=self.member.instance,
                        running=report.running,
                        waiting=report.waiting,
                        reported_at=asked_at - report.age_s,
                    )
                )
