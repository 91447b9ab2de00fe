"""Where requests run, where adapters are loaded, and what gives way."""

import dataclasses
import math

from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state
from tamaracktide.core import estimates
from tamaracktide.core import fairness
from tamaracktide.core import inventory
from tamaracktide.core import loading
from tamaracktide.core import popularity
from tamaracktide.core import rendezvous
from tamaracktide.core import rows

EVICTION_HORIZON_S = 100.0
"""Time over which the requests for an evicted adapter count against it."""

REPLICATE_FACTOR = 1.5
"""Loads that a wait for a place must exceed before a replica is loaded."""

PREFETCH_FACTOR = 2.0
"""How much likelier a prefetched adapter must be than the one it evicts."""

WAITING_RATE = 10.0
"""Requests a second that a known waiter counts for."""

IDLE_ENGINE_COST_S = 0.3
"""Cost of running a request on an engine that could stay idle."""

PACKED_PART = 0.85
"""Part of a batch that is filled before another engine is taken."""

_EMPTY_PLACE_COST_S = 0.1
_RENDEZVOUS_COST_S = 0.06
"""Cost of each step away from an adapter's first engine, so that instances
that know nothing of an adapter have it fetched by the same engine."""

_FETCH_COST_S = 0.3
"""Cost of fetching an adapter from the store, which takes 0.25 s and slows
down other fetches, rather than from the engine's memory, 0.025 s."""

_PREFIX_SCORE = 0.5
_READ_TOKEN_S = 0.000045
"""Time to read a prompt token: the platform's engines read 22 to 26 a ms, and
generate a token of each stream between two pieces of a prompt."""

_FULL_BATCH_S = 0.2
"""Extra time of a first event in a full batch: each token takes longer."""

_CACHED_PREFIX_S = 0.012
"""Time that a cached prefix saves: some 300 of 1,460 tokens."""

_MOST_COPIED = 24
"""Adapters that may get further copies; the rest ask too seldom."""

_MOST_PENDING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """What a load puts out of a slot.

    Attributes:
        rate: Requests a second that will miss it.
        lora_name: Engine-side name, empty for a free slot.
    """

    rate: float
    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """A load that is to start.

    Attributes:
        engine: Where.
        key: Adapter and version.
        customer: Customer that it counts for.
        evict: Engine-side name to unload first, or empty.
        prefetch: Whether no request waits for it.
    """

    engine: cell_state.Engine
    key: rows.AdapterKey
    customer: str
    evict: str
    prefetch: bool = False


HOPELESS_AFTER_S = 2.0
"""Backoff of all engines beyond which a request is not held for a load."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Packed:
    """The engines to keep full, as of a state of the cell.

    Attributes:
        state: Changes of the inventory, and places and slots in demand.
        names: Instance ids of the engines.
        open: Those that have a place to take.
    """

    state: tuple[int, int, int]
    names: frozenset[str]
    open: tuple[cell_state.Engine, ...]


class Placer:
    """Chooses engines and slots by cost, in seconds of expected delay."""

    def __init__(
        self,
        settings: cell_settings.CellSettings,
        inventory_: inventory.Inventory,
        queue: fairness.FairQueue,
        estimates_: estimates.Estimates,
        budget: loading.LoadBudget,
    ) -> None:
        """Reads the given state; it changes none of it."""
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
        self._packed = _Packed((-1, 0, 0), frozenset(), ())

    def find_ready(
        self, waiter: cell_state.Waiter, beyond_share: bool, now: float
    ) -> tuple[cell_state.Engine, cell_state.Slot] | None:
        """Returns a place on an engine that has the adapter loaded.

        A pool that prefers full batches takes an engine outside the packed
        ones only if none of these can load the adapter.
        """
        submit = waiter.submit
        places = [
            (engine, slot)
            for engine, slot in self._inventory.find_slots(submit.key)
            if slot.state is cell_state.SlotState.READY
            and not slot.retiring
            and engine.name not in submit.avoid
            and _has_place(engine, slot, beyond_share)
        ]
        if not places:
            return None
        packed = self._find_packed(submit.key, submit.avoid, now)
        best: tuple[cell_state.Engine, cell_state.Slot] | None = None
        best_score = float("-inf")
        for engine, slot in places:
            if packed and engine.name not in packed:
                continue
            reads_s = engine.reads_until - now
            if reads_s > self._settings.max_prefill_backlog_s:
                at = engine.reads_until - self._settings.max_prefill_backlog_s
                self.recheck_at = min(self.recheck_at, at)
                continue
            score = self._score_ready(engine, submit.prefix, now)
            if score > best_score:
                best, best_score = (engine, slot), score
        return best

    def record_prompt(
        self, engine: cell_state.Engine, tokens: int, now: float
    ) -> None:
        """Takes in that a prompt was sent to an engine."""
        start_at = max(now, engine.reads_until)
        engine.reads_until = start_at + tokens * _READ_TOKEN_S

    def _score_ready(
        self, engine: cell_state.Engine, prefix: str, now: float
    ) -> float:
        cached = bool(prefix) and prefix in engine.prefixes
        fill = engine.running / engine.batch_limit
        if self._settings.spread:
            cost_s = _measure_busy_s(engine, now) + engine.distance_s
            return _CACHED_PREFIX_S * cached - cost_s
        return self._settings.batch_weight * fill + _PREFIX_SCORE * cached

    def _find_packed(
        self, key: rows.AdapterKey, avoid: tuple[str, ...], now: float
    ) -> frozenset[str]:
        """Returns the engines to keep full for an adapter; empty for any.

        These are the busiest engines that together have places and slots
        for what the cell runs and what waits.
        """
        settings = self._settings
        if settings.spread:
            return frozenset()
        gain_s = settings.batch_weight * IDLE_ENGINE_COST_S
        if gain_s <= settings.stall_weight * self._estimates.load_s:
            return frozenset()
        packed = self._list_packed()
        if any(
            self._may_pack(engine, key, avoid, now) for engine in packed.open
        ):
            return packed.names
        return frozenset()

    def _list_packed(self) -> "_Packed":
        """Returns the engines to keep full, the same for every adapter."""
        queue = self._queue
        state = (self._inventory.changes, queue.demand, queue.slot_demand)
        if self._packed.state == state:
            return self._packed
        places, slots = queue.demand, queue.slot_demand
        packed = []
        for engine in sorted(
            self._inventory.list_usable(), key=lambda engine: engine.name
        ):
            if places <= 0 and slots <= 0:
                break
            if engine.exclusive:
                continue
            packed.append(engine)
            places -= int(engine.batch_limit * PACKED_PART)
            slots -= engine.slot_limit
        self._packed = _Packed(
            state,
            frozenset(engine.name for engine in packed),
            tuple(e for e in packed if e.free_places > e.pending),
        )
        return self._packed

    def _may_pack(
        self,
        engine: cell_state.Engine,
        key: rows.AdapterKey,
        avoid: tuple[str, ...],
        now: float,
    ) -> bool:
        """Returns whether an engine serves an adapter or may load it now."""
        if engine.name in avoid:
            return False
        if self._inventory.find_slot(engine, key) is not None:
            return True
        if self.backoff.blocks(key, engine.name, now):
            return False
        if not self._budget.allows(len(self._inventory.loads), now):
            return False
        return self.find_victim(engine, now) is not None

    def needs_load(
        self, group_key: fairness.GroupKey, waiting: int, now: float
    ) -> tuple[bool, bool]:
        """Returns whether to load an adapter, and whether as a replica.

        A replica is loaded if a place at the engines that have the adapter
        is expected later than a load ends.
        """
        running = 0
        replicas = 0
        if not self._inventory.count_replicas(group_key.key):
            return True, False
        packed = self._find_packed(group_key.key, group_key.avoid, now)
        for engine, slot in self._inventory.find_slots(group_key.key):
            if engine.name in group_key.avoid:
                continue
            if packed and engine.name not in packed:
                continue
            if slot.state is cell_state.SlotState.LOADING:
                return False, False
            if engine.exclusive:
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
        beyond_share: bool,
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
            wait_s = self._predict_place_s(engine, beyond_share, replica)
            if wait_s is None:
                continue
            victim = self.find_victim(engine, now)
            if victim is None:
                continue
            if beyond_share and not self._may_take_slot(
                engine, customer, key, victim, now
            ):
                continue
            cost = self._find_cost(engine, victim, now) + wait_s
            if self._settings.spread and key not in engine.at_hand:
                cost += _FETCH_COST_S + rank * _RENDEZVOUS_COST_S
            if cost < best_cost:
                best_cost = cost
                best = LoadPlan(engine, key, customer, victim.lora_name)
        return best

    def list_loadable(
        self, key: rows.AdapterKey, avoid: tuple[str, ...], now: float
    ) -> list[cell_state.Engine]:
        """Returns engines that may load an adapter, preferred ones first."""
        able = {
            engine.name: engine
            for engine in self._inventory.engines.values()
            if not engine.leaving
            and not engine.exclusive
            and engine.accepts_loads
            and engine.name not in avoid
            and not self.backoff.blocks(key, engine.name, now)
            and self._inventory.find_slot(engine, key) is None
        }
        ranked = [
            able[name] for name in rendezvous.sort_members(key.text, able)
        ]
        return sorted(ranked, key=lambda engine: key not in engine.at_hand)

    def _predict_place_s(
        self, engine: cell_state.Engine, beyond_share: bool, replica: bool
    ) -> float | None:
        """Returns the wait for a place after a load, None if too long."""
        reserved = engine.reserved_places if beyond_share else 0
        free = engine.free_places - engine.pending - reserved
        if free > 0:
            return 0.0
        if replica or beyond_share or engine.pending >= _MOST_PENDING:
            return None
        return self._estimates.service_s / max(1, engine.running)

    def _find_cost(
        self, engine: cell_state.Engine, victim: Victim, now: float
    ) -> float:
        settings = self._settings
        fill = engine.running / engine.batch_limit
        if settings.spread:
            loading_s = _EMPTY_PLACE_COST_S * engine.pending
            return _measure_busy_s(engine, now) + loading_s
        empty = _EMPTY_PLACE_COST_S * (1.0 - fill)
        idle = 0.0 if engine.running else IDLE_ENGINE_COST_S
        missed_s = victim.rate * EVICTION_HORIZON_S * self._estimates.load_s
        return settings.stall_weight * missed_s + settings.batch_weight * (
            empty + idle
        )

    def is_unloadable(
        self, key: rows.AdapterKey, avoid: tuple[str, ...], now: float
    ) -> bool:
        """Returns whether no engine has an adapter or may load it soon.

        True while every engine that may be used fails its loads and is not
        tried again for a while; another cell serves the request sooner.
        """
        if self._inventory.count_replicas(key):
            return False
        soon = now + HOPELESS_AFTER_S
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

    def find_victim(
        self, engine: cell_state.Engine, now: float
    ) -> Victim | None:
        """Returns the slot of least value that a load may take, or None."""
        if len(engine.slots) < engine.slot_limit:
            return Victim(0.0, "")
        if not engine.evictable or len(engine.slots) > engine.slot_limit:
            return None
        best: Victim | None = None
        for slot in engine.slots.values():
            if slot.in_use:
                continue
            rate = self._rate_slot(slot, now)
            if best is None or rate < best.rate:
                best = Victim(rate, slot.lora_name)
        return best

    def _rate_slot(self, slot: cell_state.Slot, now: float) -> float:
        """Returns the requests a second that would miss a slot."""
        if slot.state is cell_state.SlotState.WITHHELD or slot.retiring:
            return 0.0
        rate = self.popularity.predict(slot.key, now)
        rate /= max(1, self._inventory.count_replicas(slot.key))
        waiting = self._queue.count_waiting(slot.key)
        rate *= self.find_slot_factor(slot.customer)
        return rate + WAITING_RATE * waiting

    def find_slot_factor(self, customer: str) -> float:
        """Returns how much a customer's slots count, less beyond its share."""
        held = self._inventory.slots_by_customer
        own = held.get(customer, 0)
        if not own:
            return 1.0
        share = sum(held.values()) / len(held)
        return min(1.0, 2.0 * share / own)

    def _may_take_slot(
        self,
        engine: cell_state.Engine,
        customer: str,
        key: rows.AdapterKey,
        victim: Victim,
        now: float,
    ) -> bool:
        if engine.idle_slots <= engine.reserved_slots:
            return False
        if not victim.lora_name:
            return True
        if engine.slots[victim.lora_name].customer == customer:
            return True
        own = self.popularity.predict(key, now)
        return own * self.find_slot_factor(customer) > victim.rate

    def find_copy(self, now: float) -> LoadPlan | None:
        """Returns a load of an adapter that one more engine should have.

        An engine reads prompts between the tokens that it generates, so an
        adapter that many ask for needs several engines to choose from.
        """
        rate_per_replica = self._settings.rate_per_replica
        if rate_per_replica <= 0:
            return None
        for likely in self.popularity.list_likely(now, _MOST_COPIED):
            if likely.rate < rate_per_replica:
                return None
            have = self._inventory.count_replicas(likely.key)
            if not have or have >= math.ceil(likely.rate / rate_per_replica):
                continue
            if now < self.backoff.find_retry(likely.key):
                continue
            spare_rate = likely.rate / (have + 1)
            for engine in self.list_loadable(likely.key, (), now):
                victim = self.find_victim(engine, now)
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
        """Returns a load that is worth it although no request waits."""
        for likely in self.popularity.list_likely(now, limit):
            if self._inventory.count_replicas(likely.key):
                continue
            if now < self.backoff.find_retry(likely.key):
                continue
            plan = self._find_prefetch_place(likely, now)
            if plan is not None:
                return plan
        return None

    def _find_prefetch_place(
        self, likely: popularity.Prediction, now: float
    ) -> LoadPlan | None:
        rate = likely.rate * self.find_slot_factor(likely.customer)
        best: LoadPlan | None = None
        best_rate = rate / PREFETCH_FACTOR
        for engine in self.list_loadable(likely.key, (), now):
            victim = self.find_victim(engine, now)
            if victim is not None and victim.rate < best_rate:
                best_rate = victim.rate
                best = LoadPlan(
                    engine, likely.key, likely.customer, victim.lora_name, True
                )
        return best


def _measure_busy_s(engine: cell_state.Engine, now: float) -> float:
    """Returns how much longer an answer takes than on an idle engine."""
    reading_s = max(0.0, engine.reads_until - now)
    return reading_s + _FULL_BATCH_S * (engine.running / engine.batch_limit)


def _has_place(
    engine: cell_state.Engine, slot: cell_state.Slot, beyond_share: bool
) -> bool:
    if not beyond_share:
        return engine.free_places > 0
    if engine.free_places <= engine.reserved_places + engine.pending:
        return False
    return slot.in_use or engine.idle_slots > engine.reserved_slots
