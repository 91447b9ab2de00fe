"""Orders loads, first for waiting requests and then as prefetches."""

import math

from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_invariants
from tamaracktide.core import cell_parts
from tamaracktide.core import cell_state
from tamaracktide.core import fairness
from tamaracktide.core import placement
from tamaracktide.core import retirement
from tamaracktide.core import rows

PREFETCH_PERIOD_S = 0.25
"""Minimum time between two searches for an adapter to prefetch."""

RECHECK_PERIOD_S = 0.1
"""Delay before a load that found no adapter slot is reconsidered."""

STARVED_AFTER_S = 3.0
"""Wait after which a slot is freed even for a customer over its share."""


class LoadPlanner:
    """Orders loads within the cell's share of the weight store's rate.

    Attributes:
        recheck_at: When a delayed load may be able to start; infinite if only
            an event can change that.
    """

    def __init__(self, parts: cell_parts.CellParts) -> None:
        """Creates a planner without loads."""
        self.recheck_at = math.inf
        self._parts = parts
        self._prefetch_at = 0.0
        self._retirement = retirement.Retirement(parts.inventory, parts.queue)

    def load_for_waiting(self, now: float) -> list[cell_actions.Load]:
        """Orders loads for waiting requests in fair-queueing order."""
        self.recheck_at = math.inf
        parts = self._parts
        loads: list[cell_actions.Load] = []
        starved: list[fairness.GroupKey] = []
        fair_shares = parts.admission.compute_fair_shares()
        for account, group_key, group in parts.queue.iterate_groups(
            fair_shares
        ):
            needed, replica = parts.placer.needs_load(
                group_key, parts.queue.count_waiting(group_key.key), now
            )
            if not needed or self._is_held_back(group_key, now):
                continue
            over_share = fair_shares.is_exceeded_by(account)
            if not self._can_start(over_share, now):
                break
            plan = parts.placer.find_load(
                account.customer, group_key, over_share, replica, now
            )
            if plan is not None:
                loads.append(self._start(plan, now))
                continue
            self._recheck(now + RECHECK_PERIOD_S)
            waited_s = now - group[0].submitted_at
            if not replica and (not over_share or waited_s > STARVED_AFTER_S):
                starved.append(group_key)
        self._retirement.update(
            starved, fair_shares, parts.placer.list_loadable, now
        )
        return loads

    def _recheck(self, at: float) -> None:
        self.recheck_at = min(self.recheck_at, at)

    def _is_held_back(self, group_key: fairness.GroupKey, now: float) -> bool:
        retry_at = self._parts.placer.backoff.find_retry(group_key.key)
        if now >= retry_at:
            return False
        self._recheck(retry_at)
        return True

    def _can_start(self, over_share: bool, now: float) -> bool:
        """Returns whether the load budget allows a load.

        Customers over their share do not use the last load in flight.
        """
        budget = self._parts.budget
        active_loads = len(self._parts.inventory.loads)
        if not budget.allows(active_loads, now):
            if active_loads < budget.max_in_flight:
                self._recheck(budget.find_next_token(now))
            return False
        last = budget.max_in_flight > 1 and (
            active_loads + 1 >= budget.max_in_flight
        )
        return not (over_share and last)

    def load_exclusive(
        self, engine: cell_state.Engine, key: rows.AdapterKey, now: float
    ) -> list[cell_actions.Load]:
        """Orders the load for a request that is to run alone."""
        parts = self._parts
        if parts.inventory.find_slot(engine, key) is not None:
            return []
        self._recheck(now + RECHECK_PERIOD_S)
        if parts.placer.backoff.blocks(key, engine.name, now):
            return []
        victim = parts.placer.find_room(engine, key, now)
        if victim is None or not self._can_start(False, now):
            return []
        plan = placement.LoadPlan(engine, key, "", victim.lora_name)
        return [self._start(plan, now)]

    def prefetch(self, now: float) -> list[cell_actions.Load]:
        """Orders at most one load that no request waits for."""
        if now < self._prefetch_at:
            return []
        self._prefetch_at = now + PREFETCH_PERIOD_S
        loads = self._parts.inventory.loads
        if any(load.prefetch for load in loads.values()):
            return []
        if not self._can_start(True, now):
            return []
        replica_load = self._parts.placer.find_replica_load(now)
        if replica_load is not None:
            return [self._start(replica_load, now)]
        if self._parts.settings.rate_per_replica > 0:
            return []
        slots = sum(
            engine.slot_limit for engine in self._parts.inventory.list_usable()
        )
        plan = self._parts.placer.find_prefetch(now, slots)
        return [] if plan is None else [self._start(plan, now)]

    def _start(self, plan: placement.LoadPlan, now: float) -> cell_actions.Load:
        parts, engine = self._parts, plan.engine
        lora_name = plan.key.text
        if not parts.settings.named_by_key:
            lora_name = parts.make_id(f"{lora_name}#")
        cell_invariants.check_load(
            engine,
            lora_name,
            plan.evict,
            len(parts.inventory.loads),
            parts.budget.max_in_flight,
        )
        load = cell_actions.Load(
            load_id=parts.make_id("l"),
            upstream=engine.name,
            incarnation=engine.incarnation,
            lora_name=lora_name,
            key=plan.key,
            evict=plan.evict,
        )
        parts.budget.acquire()
        parts.inventory.start_load(
            cell_state.LoadRecord(
                load_id=load.load_id,
                upstream=engine.name,
                lora_name=load.lora_name,
                key=plan.key,
                customer=plan.customer,
                started_at=now,
                evicted=plan.evict,
                prefetch=plan.prefetch,
            )
        )
        return load

    def end_load(
        self, event: cell_events.LoadEnded, now: float
    ) -> tuple[rows.AdapterKey, int] | None:
        """Applies the result of a load.

        Returns:
            The adapter and its consecutive failures, or None if the load
            succeeded, was declined, or is unknown.
        """
        parts = self._parts
        load = parts.inventory.end_load(event, now)
        if load is None:
            return None
        backoff = parts.placer.backoff
        if event.succeeded:
            backoff.add_success(load.key, load.upstream)
            parts.estimates.add_load(now - load.started_at)
            return None
        if event.declined:
            parts.budget.refund()
            backoff.add_pause(load.key, load.upstream, now)
            return None
        count = backoff.add_failure(load.key, load.upstream, now)
        return load.key, count
