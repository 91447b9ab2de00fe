"""Placement of requests and loads, and the choice of evicted adapters."""

from collections.abc import Mapping
import dataclasses
import math

from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state
from tamaracktide.core import estimates
from tamaracktide.core import fairness
from tamaracktide.core import inventory
from tamaracktide.core import loading
from tamaracktide.core import pauses
from tamaracktide.core import popularity
from tamaracktide.core import ramps
from tamaracktide.core import randomness
from tamaracktide.core import rendezvous
from tamaracktide.core import resumed_streams
from tamaracktide.core import rows

EVICTION_HORIZON_S = 100.0
"""Time over which missed requests count as the cost of an eviction."""

REPLICATE_FACTOR = 1.5
"""Ratio of the wait for a batch slot to the load time above which a replica
is loaded."""

PREFETCH_FACTOR = 2.0
"""Ratio by which the request rate of a prefetched adapter must exceed that of
the adapter it evicts."""

WAITING_RATE = 10.0
"""Request rate per second that a waiting request counts as."""

IDLE_ENGINE_COST_S = 0.3
"""Cost of running a request on an otherwise idle engine."""

PACKED_FRACTION = 0.85
"""Fraction of a batch that is filled before another engine is used."""

_EMPTY_BATCH_COST_S = 0.1
"""Cost of an entirely empty batch; with `spread`, of each load in flight."""

_RENDEZVOUS_COST_S = 0.06
"""Cost per rank in an adapter's rendezvous order, so that instances without
any state for an adapter load it on the same engine."""

_FETCH_COST_S = 0.3
"""Cost of fetching an adapter from the weight store instead of the engine's
host memory: 0.25 s instead of 0.025 s, and it slows down other fetches."""

_PREFIX_SCORE = 0.5
_PREFILL_TOKEN_S = 0.000045
"""Prefill time of a prompt token: the platform's engines prefill 22 to 26
tokens per ms, and run a decode step between two chunks of a prompt."""

_FULL_BATCH_DELAY_S = 0.2
"""Additional time to the first event in a full batch, where each token takes
longer."""

_CACHED_PREFIX_SAVING_S = 0.012
"""Prefill time saved by a cached prefix, about 300 of 1,460 tokens."""

SPEED_EXPONENT = 2.0
"""Power of its speed with which an engine is preferred for adapters: the longer
its pauses, the higher the risk that they are too long."""

MAX_STALENESS_S = 0.1
"""Random cost of an engine among uneven ones: what the requests that other
instances have sent since their reports may cost. Without it, all instances
choose the same engine until the next report."""

SLOW_REPLICA_FRACTION = 0.3
"""Fraction of a replica's request rate from which an adapter that only slow
engines have gets another replica."""

_MAX_REPLICATED = 24
"""Adapters considered for more replicas; the request rates of others are too
low."""

_MAX_PENDING_LOADS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Adapter that a load evicts, or a free slot.

    Attributes:
        rate: Expected requests per second for the evicted adapter.
        lora_name: Engine-side name, empty for a free slot.
    """

    rate: float
    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """A load to start.

    Attributes:
        engine: Engine that loads the adapter.
        key: Adapter and version.
        customer: Customer that the load is charged to.
        evict: Engine-side name to unload first, or empty.
        prefetch: Whether it is ordered without a waiting request.
    """

    engine: cell_state.Engine
    key: rows.AdapterKey
    customer: str
    evict: str
    prefetch: bool = False


MAX_HELD_BACKOFF_S = 2.0
"""Remaining back-off of every engine above which requests do not wait for a
load."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Packed:
    """Cached selection of the engines to keep full.

    Attributes:
        state: Inventory change count, and demand for batch slots and adapter
            slots, for which the selection is valid.
        names: Instance ids of the engines.
        open: Those with free batch slots.
    """

    state: tuple[int, int, int]
    names: frozenset[str]
    open: tuple[cell_state.Engine, ...]


class Placer:
    """Chooses engines and adapter slots by expected delay in seconds."""

    def __init__(
        self,
        settings: cell_settings.CellSettings,
        inventory_: inventory.Inventory,
        queue: fairness.FairQueue,
        estimates_: estimates.Estimates,
        budget: loading.LoadBudget,
        rng: randomness.Random,
    ) -> None:
        """Uses the given state without modifying it."""
        self.popularity = popularity.Popularity()
        if settings.spread:
            self.popularity = popularity.Popularity(settings.demand_tau_s, 1.0)
        self.backoff = loading.Backoff()
        self.recheck_at = math.inf
        self._settings = settings
        self._inventory = inventory_
        self._queue = queue
        self._estimates = estimates_
        self._budget = budget
        self._rng = rng
        self._packed = _Packed((-1, 0, 0), frozenset(), ())

    def find_ready(
        self,
        waiter: cell_state.Waiter,
        over_share: bool,
        precedes: bool,
        now: float,
    ) -> tuple[cell_state.Engine, cell_state.Slot] | None:
        """Returns the best engine that has the adapter ready, or None.

        A pool that prefers full batches uses an engine outside the packed set
        only if no packed engine can load the adapter.

        Args:
            waiter: The request.
            over_share: Whether its customer exceeds its fair share.
            precedes: Whether it goes before new requests, if it is resumed.
            now: Current time, seconds.
        """
        submit = waiter.submit
        candidates = [
            (engine, slot)
            for engine, slot in self._inventory.find_slots(submit.key)
            if slot.state is cell_state.SlotState.READY
            and not slot.retiring
            and engine.name not in submit.avoid
            and _has_batch_slot(engine, slot, over_share)
        ]
        if not candidates:
            return None
        packed = self._find_packed(submit.key, submit.avoid, now)
        holds_ramps = self._inventory.holds_ramps()
        max_backlog_s = resumed_streams.find_max_backlog_s(
            submit, self._settings, precedes=precedes
        )
        best: tuple[cell_state.Engine, cell_state.Slot] | None = None
        best_score = float("-inf")
        for engine, slot in candidates:
            if packed and engine.name not in packed:
                continue
            if holds_ramps and engine.is_ramp_full(now):
                at = now + ramps.IDLE_GROWTH_S
                self.recheck_at = min(self.recheck_at, at)
                continue
            backlog_s = engine.prefill_done_at - now
            if backlog_s > max_backlog_s:
                at = engine.prefill_done_at - max_backlog_s
                self.recheck_at = min(self.recheck_at, at)
                continue
            next_send_at = engine.find_next_send(now)
            if next_send_at > now:
                self.recheck_at = min(self.recheck_at, next_send_at)
                continue
            score = self._score_ready(engine, submit, now)
            if score > best_score:
                best, best_score = (engine, slot), score
        return best

    def record_prompt(
        self, engine: cell_state.Engine, tokens: int, now: float
    ) -> None:
        """Records that a prompt was sent to an engine."""
        start_at = max(now, engine.prefill_done_at)
        engine.prefill_done_at = start_at + _find_prefill_s(engine, tokens)

    def _score_ready(
        self,
        engine: cell_state.Engine,
        submit: cell_events.Submit,
        now: float,
    ) -> float:
        prefix = submit.prefix
        cached = bool(prefix) and prefix in engine.prefixes
        fill = engine.running / engine.batch_limit
        if self._settings.spread:
            cost_s = _estimate_delay_s(engine, now) + engine.distance_s
            cost_s += self._predict_slowness_s(
                engine, submit.prompt_tokens, now
            )
            saving_s = _CACHED_PREFIX_SAVING_S * cached + engine.preference_s
            return saving_s - cost_s
        return self._settings.batch_weight * fill + _PREFIX_SCORE * cached

    def _predict_slowness_s(
        self, engine: cell_state.Engine, tokens: int, now: float
    ) -> float:
        """Returns what an engine's speed costs; 0 if all are as fast.

        That is the time to read the prompt, and the pause of the streams that
        run there meanwhile.
        """
        if not self._inventory.is_uneven:
            return 0.0
        prefill_s = _find_prefill_s(engine, tokens)
        backlog_s = max(0.0, engine.prefill_done_at - now)
        harm_s = pauses.predict_harm_s(
            engine.running, prefill_s + backlog_s, self._settings.max_pause_s
        )
        return prefill_s + harm_s + self._rng.uniform(0.0, MAX_STALENESS_S)

    def _find_packed(
        self, key: rows.AdapterKey, avoid: tuple[str, ...], now: float
    ) -> frozenset[str]:
        """Returns the engines to keep full for an adapter; empty for any.

        These are the first engines by name that together have enough batch
        slots and adapter slots for the running and the waiting requests of
        the cell.
        """
        settings = self._settings
        if settings.spread:
            return frozenset()
        gain_s = settings.batch_weight * IDLE_ENGINE_COST_S
        if gain_s <= settings.stall_weight * self._estimates.load_s:
            return frozenset()
        packed = self._list_packed()
        if any(
            self._can_serve(engine, key, avoid, now) for engine in packed.open
        ):
            return packed.names
        return frozenset()

    def _list_packed(self) -> "_Packed":
        """Returns the engines to keep full, which all adapters share."""
        queue = self._queue
        state = (self._inventory.changes, queue.demand, queue.slot_demand)
        if self._packed.state == state:
            return self._packed
        batch_slots, slots = queue.demand, queue.slot_demand
        packed = []
        for engine in sorted(
            self._inventory.list_usable(), key=lambda engine: engine.name
        ):
            if batch_slots <= 0 and slots <= 0:
                break
            if engine.exclusive:
                continue
            packed.append(engine)
            batch_slots -= int(engine.batch_limit * PACKED_FRACTION)
            slots -= engine.slot_limit
        self._packed = _Packed(
            state,
            frozenset(engine.name for engine in packed),
            tuple(e for e in packed if e.free_batch_slots > e.pending),
        )
        return self._packed

    def _can_serve(
        self,
        engine: cell_state.Engine,
        key: rows.AdapterKey,
        avoid: tuple[str, ...],
        now: float,
    ) -> bool:
        """Returns whether an engine serves an adapter or can load it now."""
        if engine.name in avoid:
            return False
        if self._inventory.find_slot(engine, key) is not None:
            return True
        if self.backoff.blocks(key, engine.name, now):
            return False
        if not self._budget.allows(len(self._inventory.loads), now):
            return False
        return self.find_room(engine, key, now) is not None

    def needs_load(
        self, group_key: fairness.GroupKey, waiting: int, now: float
    ) -> tuple[bool, bool]:
        """Returns whether to load an adapter, and whether as a replica.

        A replica is loaded if the expected wait for a batch slot on the
        engines that have the adapter exceeds the time of a load.
        """
        running = 0
        replicas = 0
        if not self._inventory.count_replicas(group_key.key):
            return True, False
        if not self._inventory.has_unlimited:
            # Another replica does not raise the rate of the limits.
            return False, False
        packed = self._find_packed(group_key.key, group_key.avoid, now)
        for engine, slot in self._inventory.find_slots(group_key.key):
            if engine.name in group_key.avoid:
                continue
            if packed and engine.name not in packed:
                continue
            if slot.state is cell_state.SlotState.LOADING:
                return False, False
            if engine.exclusive or engine.is_held_back(now):
                continue
            replicas += 1
            running += engine.running
        if not replicas:
            return True, False
        interval_s = self._estimates.service_s / max(1, running)
        wait_s = waiting * interval_s
        return wait_s > REPLICATE_FACTOR * self._estimates.load_s, True

    def find_load(
        self,
        customer: str,
        group_key: fairness.GroupKey,
        over_share: bool,
        replica: bool,
        now: float,
    ) -> LoadPlan | None:
        """Returns the cheapest load for waiting requests, or None."""
        key = group_key.key
        best: LoadPlan | None = None
        best_cost = float("inf")
        packed = self._find_packed(key, group_key.avoid, now)
        loadable = self.list_loadable(key, group_key.avoid, now)
        for rank, engine in enumerate(loadable):
            if packed and engine.name not in packed:
                continue
            wait_s = self._predict_batch_wait_s(engine, over_share, replica)
            if wait_s is None:
                continue
            victim = self.find_room(engine, key, now)
            if victim is None:
                continue
            if over_share and not self._can_use_slot(
                engine, customer, key, victim, now
            ):
                continue
            cost = self._find_cost(engine, victim, now) + wait_s
            if self._settings.spread and key not in engine.host_cached:
                cost += _FETCH_COST_S + rank * _RENDEZVOUS_COST_S
            if cost < best_cost:
                best_cost = cost
                best = LoadPlan(engine, key, customer, victim.lora_name)
        return best

    def list_loadable(
        self, key: rows.AdapterKey, avoid: tuple[str, ...], now: float
    ) -> list[cell_state.Engine]:
        """Returns the engines that may load an adapter, in order of preference.

        Engines that have the adapter in their host memory come first. Within
        both groups, the order is the adapter's rendezvous order. Engines with
        a send limit are used only if all have one.
        """
        eligible = {
            engine.name: engine
            for engine in self._inventory.engines.values()
            if not engine.leaving
            and not engine.exclusive
            and engine.accepts_loads
            and engine.name not in avoid
            and not self.backoff.blocks(key, engine.name, now)
            and self._inventory.find_slot(engine, key) is None
            and not self._inventory.is_passed_over(engine)
        }
        ranked = [eligible[name] for name in self._rank(key, eligible)]
        return sorted(ranked, key=lambda engine: key not in engine.host_cached)

    def _rank(
        self, key: rows.AdapterKey, engines: Mapping[str, cell_state.Engine]
    ) -> list[str]:
        """Returns engines in an adapter's rendezvous order, by their speed."""
        if not self._inventory.is_uneven:
            return rendezvous.sort_members(key.text, engines)
        return rendezvous.sort_weighted(
            key.text,
            {
                name: engine.time_factor**-SPEED_EXPONENT
                for name, engine in engines.items()
            },
        )

    def _predict_batch_wait_s(
        self, engine: cell_state.Engine, over_share: bool, replica: bool
    ) -> float | None:
        """Returns the wait for a batch slot after a load, None if too long."""
        headroom = engine.batch_headroom if over_share else 0
        free = engine.free_batch_slots - engine.pending - headroom
        if free > 0:
            return 0.0
        if replica or over_share or engine.pending >= _MAX_PENDING_LOADS:
            return None
        return self._estimates.service_s / max(1, engine.running)

    def _find_cost(
        self, engine: cell_state.Engine, victim: Victim, now: float
    ) -> float:
        settings = self._settings
        fill = engine.running / engine.batch_limit
        if settings.spread:
            loading_s = _EMPTY_BATCH_COST_S * engine.pending
            return _estimate_delay_s(engine, now) + loading_s
        empty = _EMPTY_BATCH_COST_S * (1.0 - fill)
        idle = 0.0 if engine.running else IDLE_ENGINE_COST_S
        missed_s = victim.rate * EVICTION_HORIZON_S * self._estimates.load_s
        return settings.stall_weight * missed_s + settings.batch_weight * (
            empty + idle
        )

    def is_unloadable(
        self, key: rows.AdapterKey, avoid: tuple[str, ...], now: float
    ) -> bool:
        """Returns whether no engine has an adapter or can load it soon.

        This is the case while every usable engine backs off after failed
        loads; another cell then serves the request sooner.
        """
        if self._inventory.count_replicas(key):
            return False
        soon = now + MAX_HELD_BACKOFF_S
        engines = [
            engine
            for engine in self._inventory.list_usable()
            if engine.name not in avoid
        ]
        return bool(engines) and all(
            not engine.accepts_loads
            or self.backoff.find_engine_retry(engine.name) > soon
            for engine in engines
        )

    def find_room(
        self, engine: cell_state.Engine, key: rows.AdapterKey, now: float
    ) -> Victim | None:
        """Returns what the load of an adapter evicts, or None.

        An adapter that is missing from its slot is loaded into it again.
        """
        if self._settings.named_by_key and self._inventory.find_reloadable(
            engine, key.text
        ):
            return Victim(0.0, "")
        return self.find_victim(engine, now)

    def find_victim(
        self, engine: cell_state.Engine, now: float
    ) -> Victim | None:
        """Returns the least valuable slot that a load may use, or None."""
        if len(engine.slots) < engine.slot_limit:
            return Victim(0.0, "")
        if not engine.evictable or len(engine.slots) > engine.slot_limit:
            return None
        best: Victim | None = None
        for slot in engine.slots.values():
            if slot.in_use:
                continue
            rate = self._predict_slot_rate(slot, now)
            if best is None or rate < best.rate:
                best = Victim(rate, slot.lora_name)
        return best

    def _predict_slot_rate(self, slot: cell_state.Slot, now: float) -> float:
        """Returns the expected requests per second that a slot serves."""
        if not slot.is_offered or slot.retiring:
            return 0.0
        rate = self.popularity.predict(slot.key, now)
        rate /= max(1, self._inventory.count_unlimited_replicas(slot.key))
        waiting = self._queue.count_waiting(slot.key)
        rate *= self.find_slot_factor(slot.customer)
        return rate + WAITING_RATE * waiting

    def find_slot_factor(self, customer: str) -> float:
        """Returns the weight of a customer's slots, below 1 over its share."""
        held = self._inventory.slots_by_customer
        own = held.get(customer, 0)
        if not own:
            return 1.0
        share = sum(held.values()) / len(held)
        return min(1.0, 2.0 * share / own)

    def _can_use_slot(
        self,
        engine: cell_state.Engine,
        customer: str,
        key: rows.AdapterKey,
        victim: Victim,
        now: float,
    ) -> bool:
        if engine.idle_slots <= engine.slot_headroom:
            return False
        if not victim.lora_name:
            return True
        if engine.slots[victim.lora_name].customer == customer:
            return True
        own = self.popularity.predict(key, now)
        return own * self.find_slot_factor(customer) > victim.rate

    def find_replica_load(self, now: float) -> LoadPlan | None:
        """Returns a load that adds a replica of a busy adapter, or None.

        An engine prefills prompts between its decode steps, so an adapter
        with a high request rate needs several engines to choose from.
        """
        rate_per_replica = self._settings.rate_per_replica
        if rate_per_replica <= 0:
            return None
        least_rate = rate_per_replica
        if self._inventory.is_uneven:
            least_rate *= SLOW_REPLICA_FRACTION
        frequent = self.popularity.list_frequent(now, least_rate)
        for likely in frequent[:_MAX_REPLICATED]:
            replicas = self._inventory.measure_replicas(likely.key)
            if not replicas or replicas >= math.ceil(
                likely.rate / rate_per_replica
            ):
                continue
            if now < self.backoff.find_retry(likely.key):
                continue
            spare_rate = likely.rate / (replicas + 1)
            for engine in self.list_loadable(likely.key, (), now):
                victim = self.find_room(engine, likely.key, now)
                if victim is not None and victim.rate < spare_rate:
                    return LoadPlan(
                        engine,
                        likely.key,
                        likely.customer,
                        victim.lora_name,
                        True,
                    )
        return None

    def find_prefetch(self, now: float, limit: int) -> LoadPlan | None:
        """Returns a worthwhile load that no request waits for, or None."""
        for likely in self.popularity.list_likely(now, limit):
            if self._inventory.count_replicas(likely.key):
                continue
            if now < self.backoff.find_retry(likely.key):
                continue
            plan = self._place_prefetch(likely, now)
            if plan is not None:
                return plan
        return None

    def _place_prefetch(
        self, likely: popularity.Prediction, now: float
    ) -> LoadPlan | None:
        rate = likely.rate * self.find_slot_factor(likely.customer)
        best: LoadPlan | None = None
        best_rate = rate / PREFETCH_FACTOR
        for engine in self.list_loadable(likely.key, (), now):
            victim = self.find_room(engine, likely.key, now)
            if victim is not None and victim.rate < best_rate:
                best_rate = victim.rate
                best = LoadPlan(
                    engine, likely.key, likely.customer, victim.lora_name, True
                )
        return best


def _find_prefill_s(engine: cell_state.Engine, tokens: int) -> float:
    return tokens * _PREFILL_TOKEN_S * engine.time_factor


def _estimate_delay_s(engine: cell_state.Engine, now: float) -> float:
    """Returns the additional response time compared with an idle engine."""
    prefill_s = max(0.0, engine.prefill_done_at - now)
    fill = engine.running / engine.batch_limit
    return prefill_s + _FULL_BATCH_DELAY_S * fill * engine.time_factor


def _has_batch_slot(
    engine: cell_state.Engine, slot: cell_state.Slot, over_share: bool
) -> bool:
    if engine.on_trial and any(used.pins for used in engine.slots.values()):
        return False
    if not over_share:
        return engine.free_batch_slots > 0
    if engine.free_batch_slots <= engine.batch_headroom + engine.pending:
        return False
    return slot.in_use or engine.idle_slots > engine.slot_headroom
