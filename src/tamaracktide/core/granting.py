"""Gives waiting requests their places, in the order of fairness."""

import heapq

from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_invariants
from tamaracktide.core import cell_parts
from tamaracktide.core import cell_state
from tamaracktide.core import fairness

LOWEST_PRIORITY = 100
"""Largest number that a grant's engine priority takes."""

_PRIORITY_TOKENS = 256.0


class Granter:
    """Grants places and takes them back.

    Attributes:
        granted: Grants that have not ended, by request id.
        alone: Requests that wait to run alone, by request id.
    """

    def __init__(self, parts: cell_parts.CellParts) -> None:
        """Starts without grants."""
        self.granted: dict[str, cell_actions.Grant] = {}
        self.alone: dict[str, cell_state.Waiter] = {}
        self._parts = parts

    def grant_waiting(self, now: float) -> list[cell_actions.Grant]:
        """Grants every place that a waiting request may take now."""
        grants = self._grant_alone(now)
        queue = self._parts.queue
        engines = self._parts.inventory.list_usable()
        if not queue.waiters or not any(e.free_places for e in engines):
            return grants
        levels = self._parts.admission.find_levels()
        order = [
            (account.start, account.customer)
            for account in queue.list_backlogged()
        ]
        while order:
            _, customer = heapq.heappop(order)
            account = queue.accounts[customer]
            grant = self._grant_next(account, levels, now)
            if grant is None:
                continue
            grants.append(grant)
            if account.waiting:
                heapq.heappush(order, (account.start, customer))
        return grants

    def _grant_next(
        self, account: fairness.Account, levels: fairness.Levels, now: float
    ) -> cell_actions.Grant | None:
        """Grants the customer's first request that has a place."""
        queue = self._parts.queue
        beyond_share = levels.limits(account)
        for _, group in account.list_groups():
            waiter = group[0]
            place = self._parts.placer.find_ready(waiter, beyond_share, now)
            if place is not None:
                engine, slot = place
                priority = self._find_priority(account, beyond_share)
                grant = self._make_grant(waiter, engine, slot, priority, now)
                queue.serve(waiter.submit.request_id, slot.lora_name)
                return grant
        return None

    def _find_priority(
        self, account: fairness.Account, beyond_share: bool
    ) -> int:
        if not beyond_share:
            return 0
        lead = account.start - self._parts.queue.virtual_time
        steps = 1 + int(max(0.0, lead) / _PRIORITY_TOKENS)
        return min(LOWEST_PRIORITY, steps)

    def _make_grant(
        self,
        waiter: cell_state.Waiter,
        engine: cell_state.Engine,
        slot: cell_state.Slot,
        priority: int,
        now: float,
    ) -> cell_actions.Grant:
        submit = waiter.submit
        ended = submit.request_id in self.granted
        cell_invariants.check_grant(engine, slot, submit, ended)
        grant = cell_actions.Grant(
            request_id=submit.request_id,
            grant_id=self._parts.make_id("g"),
            upstream=engine.name,
            incarnation=engine.incarnation,
            lora_name=slot.lora_name,
            priority=priority,
        )
        self._parts.inventory.start_grant(
            cell_state.GrantRecord(
                grant_id=grant.grant_id,
                request_id=submit.request_id,
                customer=submit.customer,
                weight=submit.weight,
                key=submit.key,
                upstream=engine.name,
                lora_name=slot.lora_name,
                cost=waiter.cost,
                granted_at=now,
                max_tokens=submit.max_tokens,
            )
        )
        self._parts.placer.record_prompt(engine, submit.prompt_tokens, now)
        engine.note_prefix(submit.prefix, True)
        self.granted[submit.request_id] = grant
        return grant

    def _grant_alone(self, now: float) -> list[cell_actions.Grant]:
        """Grants the first request that must run alone once it can."""
        if not self.alone:
            return []
        waiter = next(iter(self.alone.values()))
        engine = self._keep_engine_free(waiter)
        if engine is None or engine.running:
            return []
        slot = self._parts.inventory.find_slot(engine, waiter.submit.key)
        if slot is None or slot.state is not cell_state.SlotState.READY:
            return []
        grant = self._make_grant(waiter, engine, slot, LOWEST_PRIORITY, now)
        del self.alone[waiter.submit.request_id]
        submit = waiter.submit
        self._parts.queue.add_running(
            submit.customer, submit.weight, slot.lora_name
        )
        return [grant]

    def find_kept_engine(self, request_id: str) -> cell_state.Engine | None:
        """Returns the engine that is kept free for a request, or None."""
        for engine in self._parts.inventory.list_usable():
            if engine.exclusive == request_id:
                return engine
        return None

    def _keep_engine_free(
        self, waiter: cell_state.Waiter
    ) -> cell_state.Engine | None:
        submit = waiter.submit
        kept = self.find_kept_engine(submit.request_id)
        if kept is not None:
            return kept
        usable = self._parts.inventory.list_usable()
        if any(engine.exclusive for engine in usable):
            return None
        able = [e for e in usable if e.name not in submit.avoid]
        if not able:
            return None
        chosen = min(able, key=lambda engine: engine.running)
        chosen.exclusive = submit.request_id
        self._parts.inventory.changes += 1
        return chosen

    def drop_alone(self, request_id: str) -> cell_state.Waiter | None:
        """Takes a request out that was to run alone; None if unknown."""
        waiter = self.alone.pop(request_id, None)
        if waiter is None:
            return None
        for engine in self._parts.inventory.engines.values():
            if engine.exclusive == request_id:
                engine.exclusive = ""
                self._parts.inventory.changes += 1
        return waiter

    def end_grant(self, event: cell_events.GrantEnded, now: float) -> None:
        """Gives a place back and corrects what its request was charged."""
        grant = self._parts.inventory.end_grant(event)
        if grant is None:
            return
        cost = float(event.prompt_tokens + event.generated_tokens)
        if event.generated_tokens:
            self._parts.estimates.add_answer(grant, event.generated_tokens, now)
        self._forget(grant, cost)
        engine = self._parts.inventory.engines[grant.upstream]
        cell_invariants.check_engine(engine)

    def forget_grants(self, lost: list[cell_state.GrantRecord]) -> None:
        """Ends grants whose engine was lost or restarted."""
        for grant in lost:
            self._forget(grant, grant.cost)

    def _forget(self, grant: cell_state.GrantRecord, cost: float) -> None:
        self.granted.pop(grant.request_id, None)
        self._parts.queue.end(grant, cost)
