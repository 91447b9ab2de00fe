"""Grants batch slots to waiting requests in fair-queueing order."""

import heapq

from tamaracktide import invariants
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_invariants
from tamaracktide.core import cell_parts
from tamaracktide.core import cell_state
from tamaracktide.core import fairness

LOWEST_PRIORITY = 100
"""Largest priority number of a grant, which engines run last."""

_PRIORITY_TOKENS = 256.0
"""Lead over virtual time, in tokens per weight, of one priority step."""


class Granter:
    """Grants batch slots and releases them.

    Attributes:
        granted: Grants that have not ended, by request id.
        exclusive_waiters: Requests that wait to run alone on an engine, by
            request id.
    """

    def __init__(self, parts: cell_parts.CellParts) -> None:
        """Creates a granter without grants."""
        self.granted: dict[str, cell_actions.Grant] = {}
        self.exclusive_waiters: dict[str, cell_state.Waiter] = {}
        self._parts = parts

    def grant_waiting(self, now: float) -> list[cell_actions.Grant]:
        """Grants every batch slot that a waiting request may use now."""
        grants = self._grant_exclusive(now)
        queue = self._parts.queue
        engines = self._parts.inventory.list_usable()
        if not queue.waiters or not any(e.free_batch_slots for e in engines):
            return grants
        fair_shares = self._parts.admission.compute_fair_shares()
        order = [
            (fairness.get_service_order(account, fair_shares), account.customer)
            for account in queue.list_backlogged()
        ]
        heapq.heapify(order)
        while order:
            _, customer = heapq.heappop(order)
            account = queue.accounts[customer]
            grant = self._grant_next(account, fair_shares, now)
            if grant is None:
                continue
            grants.append(grant)
            if account.waiting:
                tag = fairness.get_service_order(account, fair_shares)
                heapq.heappush(order, (tag, customer))
        return grants

    def _grant_next(
        self,
        account: fairness.Account,
        fair_shares: fairness.FairShares,
        now: float,
    ) -> cell_actions.Grant | None:
        """Grants the customer's first request that can be placed."""
        queue = self._parts.queue
        over_share = fair_shares.is_exceeded_by(account)
        precedes = fairness.has_precedence(account, fair_shares)
        for _, group in account.list_groups():
            waiter = group[0]
            ready = self._parts.placer.find_ready(
                waiter, over_share, precedes, now
            )
            if ready is not None:
                engine, slot = ready
                priority = self._find_priority(account, over_share)
                grant = self._make_grant(waiter, engine, slot, priority, now)
                queue.serve(waiter.submit.request_id, slot.lora_name)
                return grant
        return None

    def _find_priority(
        self, account: fairness.Account, over_share: bool
    ) -> int:
        if not over_share:
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
        engine.record_sends(1, now)
        self._parts.placer.record_prompt(engine, submit.prompt_tokens, now)
        engine.record_prefix(submit.prefix, True)
        self.granted[submit.request_id] = grant
        return grant

    def _grant_exclusive(self, now: float) -> list[cell_actions.Grant]:
        """Grants the first exclusive request once its engine is ready."""
        if not self.exclusive_waiters:
            return []
        waiter = next(iter(self.exclusive_waiters.values()))
        engine = self._select_exclusive_engine(waiter)
        if engine is None or engine.running:
            return []
        slot = self._parts.inventory.find_slot(engine, waiter.submit.key)
        if slot is None or slot.state is not cell_state.SlotState.READY:
            return []
        grant = self._make_grant(waiter, engine, slot, LOWEST_PRIORITY, now)
        del self.exclusive_waiters[waiter.submit.request_id]
        submit = waiter.submit
        self._parts.queue.add_running(
            submit.customer, submit.weight, slot.lora_name
        )
        return [grant]

    def find_exclusive_engine(
        self, request_id: str
    ) -> cell_state.Engine | None:
        """Returns the engine that is exclusive to a request, or None."""
        for engine in self._parts.inventory.list_usable():
            if engine.exclusive == request_id:
                return engine
        return None

    def _select_exclusive_engine(
        self, waiter: cell_state.Waiter
    ) -> cell_state.Engine | None:
        submit = waiter.submit
        selected = self.find_exclusive_engine(submit.request_id)
        if selected is not None:
            return selected
        usable = self._parts.inventory.list_usable()
        if any(engine.exclusive for engine in usable):
            return None
        eligible = [e for e in usable if e.name not in submit.avoid]
        if not eligible:
            return None
        chosen = min(eligible, key=lambda engine: engine.running)
        chosen.exclusive = submit.request_id
        self._parts.inventory.changes += 1
        return chosen

    def check_exclusive(self) -> None:
        """Checks that each exclusive engine is kept for a request."""
        inventory = self._parts.inventory
        granted = {
            (grant.upstream, grant.request_id)
            for grant in inventory.grants.values()
        }
        for engine in inventory.engines.values():
            kept = engine.exclusive
            invariants.check(
                not kept
                or kept in self.exclusive_waiters
                or (engine.name, kept) in granted,
                f"{engine.name}: kept free for {kept}, which has ended",
            )

    def remove_exclusive(self, request_id: str) -> cell_state.Waiter | None:
        """Removes a request that waits to run alone; None if unknown."""
        waiter = self.exclusive_waiters.pop(request_id, None)
        if waiter is None:
            return None
        for engine in self._parts.inventory.engines.values():
            if engine.exclusive == request_id:
                engine.exclusive = ""
                self._parts.inventory.changes += 1
        return waiter

    def end_grant(self, event: cell_events.GrantEnded, now: float) -> None:
        """Releases a grant and corrects the cost charged for its request."""
        grant = self._parts.inventory.end_grant(event)
        if grant is None:
            return
        cost = float(event.prompt_tokens + event.generated_tokens)
        if event.decode is not None:
            self._parts.estimates.add_decode(event.decode)
        if event.generated_tokens:
            self._parts.estimates.add_completion(
                grant, event.generated_tokens, now
            )
        self._finish_grant(grant, cost)
        engine = self._parts.inventory.engines[grant.upstream]
        cell_invariants.check_engine(engine)

    def end_lost_grants(self, lost: list[cell_state.GrantRecord]) -> None:
        """Ends the grants of an engine that was lost or restarted."""
        for grant in lost:
            self._finish_grant(grant, grant.cost)

    def _finish_grant(self, grant: cell_state.GrantRecord, cost: float) -> None:
        self.granted.pop(grant.request_id, None)
        self._parts.queue.end(grant, cost)
