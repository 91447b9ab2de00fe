"""Decision core of one cell: admission, order, placement, loads, evictions."""

import heapq

from tamaracktide import result_codes
from tamaracktide.core import blockers
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_invariants
from tamaracktide.core import cell_parts
from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state
from tamaracktide.core import granting
from tamaracktide.core import load_planner
from tamaracktide.core import loading
from tamaracktide.core import randomness
from tamaracktide.core import routing
from tamaracktide.core import rows

MAX_PREFERENCE_S = 0.002
"""Maximum advantage of one engine over another that is as busy. It is less than
what a single request on an engine costs. Cells with the same state, in which
the latest choices of the others are missing, so choose different engines, and
each of them reuses its connections."""

MIN_TIMER_DELAY_S = 0.001
"""Shortest delay of a timer; rounding must not make it fire immediately."""

_Code = result_codes.ResultCode


class Cell:
    """State of a cell and the decisions on its events.

    Attributes:
        settings: The cell's settings.
    """

    def __init__(
        self, settings: cell_settings.CellSettings, rng: randomness.Random
    ) -> None:
        """Creates a cell without engines; `UpstreamSnapshot` adds them."""
        self.settings = settings
        self._parts = cell_parts.make_parts(settings, rng)
        self._granter = granting.Granter(self._parts)
        self._planner = load_planner.LoadPlanner(self._parts)
        self._expiries: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._actions: list[cell_actions.CellAction] = []

    def handle(
        self, event: cell_events.CellEvent, now: float
    ) -> list[cell_actions.CellAction]:
        """Applies an event and returns the resulting actions, in order.

        Args:
            event: The event to apply.
            now: Time of the event on the monotonic clock, seconds.

        Raises:
            errors.InvariantError: A decision would break an invariant.
        """
        self._actions = []
        match event:
            case (
                cell_events.DemandReported()
                | cell_events.PromptSent()
                | cell_events.RequestsSent()
            ):
                # These events never allow a waiting request to proceed.
                self._apply_remote(event, now)
                return self._actions
        virtual_time = self._parts.queue.virtual_time
        self._apply(event, now)
        self._refuse_expired(now)
        self._parts.placer.recheck_at = float("inf")
        self._actions.extend(self._granter.grant_waiting(now))
        self._load(now)
        after = self._parts.queue.virtual_time
        cell_invariants.check_virtual_time(virtual_time, after)
        self._check_longest_wait(now)
        self._schedule_wake_up(now)
        return self._actions

    def check_state(self) -> None:
        """Checks that all parts of the state agree.

        Raises:
            errors.InvariantError: They do not.
        """
        inventory = self._parts.inventory
        cell_invariants.check_inventory(inventory)
        cell_invariants.check_queue(
            self._parts.queue, inventory.grants.values()
        )
        self._granter.check_exclusive()

    def find_blockers(
        self, submit: cell_events.Submit, now: float
    ) -> blockers.Blockers:
        """Returns what a waiting request lacks at which engines."""
        return blockers.find_blockers(
            submit, self._parts.inventory, self.settings, now
        )

    def measure_utilization(self) -> routing.CellUtilization:
        """Returns the utilization by which gateways choose between cells.

        It is the higher of the utilizations of batch slots and of adapter
        slots, in units of batch slots.
        """
        admission = self._parts.admission
        usable = self._parts.inventory.list_usable()
        capacity = admission.count_batch_slots()
        slots = max(1, sum(engine.slot_limit for engine in usable))
        used_slots = sum(e.slot_limit - e.idle_slots for e in usable)
        running = sum(engine.running for engine in usable)
        return routing.CellUtilization(
            running=max(running, used_slots * capacity // slots),
            capacity=capacity,
            waiting=admission.count_waiting()
            + len(self._granter.exclusive_waiters),
        )

    def _apply(self, event: cell_events.CellEvent, now: float) -> None:
        match event:
            case cell_events.EventBatch(events):
                for batched in events:
                    self._apply(batched, now)
            case cell_events.Submit():
                self._submit(event, now)
            case cell_events.Withdraw():
                self._withdraw(event, now)
            case cell_events.GrantEnded():
                self._granter.end_grant(event, now)
            case cell_events.GrantAdopted():
                self._adopt(event, now)
            case cell_events.LoadEnded():
                self._end_load(event, now)
            case cell_events.StoreShareChanged():
                self._parts.budget.set_share(
                    event.loads_per_s, event.in_flight, now
                )
            case _:
                self._apply_upstream(event, now)

    def _apply_upstream(self, event: cell_events.CellEvent, now: float) -> None:
        inventory = self._parts.inventory
        match event:
            case cell_events.UpstreamSnapshot():
                self._apply_snapshot(event, now)
            case cell_events.UpstreamLost():
                lost = inventory.remove_engine(event.upstream)
                self._granter.end_lost_grants(lost)
            case cell_events.UpstreamLeaving():
                inventory.set_leaving(event)
            case cell_events.EvictionsSuspended():
                inventory.suspend_evictions(event)
            case cell_events.AdaptersReady():
                inventory.set_ready(event)
            case cell_events.RemoteCountsChanged():
                inventory.apply_remote_counts(event)
            case cell_events.LoadReported():
                inventory.apply_load_report(event)
            case cell_events.PrefixReported():
                inventory.apply_prefix_report(event)
            case _:
                self._apply_limit(event, now)

    def _apply_limit(self, event: cell_events.CellEvent, now: float) -> None:
        """Applies what an engine says about the requests that it takes."""
        inventory = self._parts.inventory
        match event:
            case cell_events.SendLimitChanged():
                inventory.set_send_limit(event, self._parts.rng, now)
            case cell_events.BrittleChanged():
                inventory.set_brittle(event, self._parts.rng, now)
            case cell_events.UpstreamOverloaded():
                inventory.slow_down(event, now)
            case cell_events.PacesChanged():
                inventory.set_paces(event)
            case cell_events.RampStarted():
                inventory.start_ramp(event, now)
            case cell_events.AnswerObserved():
                inventory.record_answer(event, now)
            case _:
                self._apply_remote(event, now)

    def _apply_remote(self, event: cell_events.CellEvent, now: float) -> None:
        """Applies the activity of other instances on the same engines."""
        placer = self._parts.placer
        match event:
            case cell_events.DemandReported(key, customer, count):
                for _ in range(count):
                    placer.popularity.add_request(key, customer, now)
            case cell_events.PromptSent(upstream, tokens):
                engine = self._parts.inventory.engines.get(upstream)
                if engine is not None:
                    placer.record_prompt(engine, tokens, now)
            case cell_events.RequestsSent(upstream, count):
                engine = self._parts.inventory.engines.get(upstream)
                if engine is not None:
                    engine.record_sends(count, now)

    def _apply_snapshot(
        self, event: cell_events.UpstreamSnapshot, now: float
    ) -> None:
        inventory = self._parts.inventory
        tracked = inventory.engines.get(event.upstream)
        if tracked is None or tracked.incarnation != event.incarnation:
            self._parts.placer.backoff.remove_engine(event.upstream)
        lost = inventory.apply_snapshot(event, now)
        self._granter.end_lost_grants(lost)
        engine = inventory.engines[event.upstream]
        if engine is not tracked:
            engine.preference_s = self._parts.rng.uniform(0.0, MAX_PREFERENCE_S)
        cell_invariants.check_engine(engine)

    def _adopt(self, event: cell_events.GrantAdopted, now: float) -> None:
        grant = self._parts.inventory.adopt_grant(event, now)
        if grant is not None:
            self._parts.queue.add_running(
                grant.customer, grant.weight, grant.lora_name
            )

    def _submit(self, event: cell_events.Submit, now: float) -> None:
        request_id = event.request_id
        granted = self._granter.granted.get(request_id)
        if granted is not None:
            self._actions.append(granted)
            return
        waiting = self._parts.queue.waiters
        if (
            request_id in waiting
            or request_id in self._granter.exclusive_waiters
        ):
            return
        self._parts.placer.popularity.add_request(
            event.key, event.customer, now
        )
        code = self._parts.admission.find_refusal(event, now)
        if code is None and self._parts.placer.is_unloadable(
            event.key, event.avoid, now
        ):
            code = _Code.LOAD_FAILED
        if code is not None:
            self._refuse(event, code, now)
            return
        self._add_waiter(event, now)
        self._refuse_displaced(event, now)

    def _add_waiter(self, event: cell_events.Submit, now: float) -> None:
        self._sequence += 1
        waiter = cell_state.Waiter(
            submit=event,
            submitted_at=now,
            sequence=self._sequence,
            cost=self._parts.estimates.predict_cost(
                event.prompt_tokens, event.max_tokens
            ),
            expires_at=self._parts.admission.compute_expiry(event, now),
        )
        if event.alone:
            self._granter.exclusive_waiters[event.request_id] = waiter
        else:
            self._parts.queue.add(waiter)
        heapq.heappush(
            self._expiries,
            (waiter.expires_at, waiter.sequence, event.request_id),
        )

    def _refuse_displaced(self, event: cell_events.Submit, now: float) -> None:
        """Refuses one request of the longest queue if the cell is full."""
        displaced = self._parts.admission.find_displaced()
        if displaced is None:
            return
        own = displaced.submit.customer == event.customer
        code = _Code.QUEUE_FULL if own else _Code.CUSTOMER_OVER_SHARE
        self._refuse(displaced.submit, code, now)

    def _withdraw(self, event: cell_events.Withdraw, now: float) -> None:
        self._remove_waiter(event.request_id)
        granted = self._granter.granted.get(event.request_id)
        if granted is not None:
            ended = cell_events.GrantEnded(grant_id=granted.grant_id)
            self._granter.end_grant(ended, now)

    def _remove_waiter(self, request_id: str) -> cell_state.Waiter | None:
        waiter = self._parts.queue.remove(request_id)
        return waiter or self._granter.remove_exclusive(request_id)

    def _refuse(
        self, submit: cell_events.Submit, code: _Code, now: float
    ) -> None:
        request_id = submit.request_id
        cell_invariants.check_refusal(
            request_id, request_id in self._granter.granted
        )
        retry_after_s = self._parts.admission.find_retry_after_s(
            submit.customer, now
        )
        self._remove_waiter(request_id)
        self._actions.append(
            cell_actions.Refuse(
                request_id=request_id, code=code, retry_after_s=retry_after_s
            )
        )

    def _refuse_expired(self, now: float) -> None:
        """Refuses expired requests, or all requests if no engine is usable."""
        usable = self._parts.inventory.list_usable()
        while self._expiries:
            expires_at, _, request_id = self._expiries[0]
            waiter = self._find_waiter(request_id)
            if waiter is not None and expires_at > now and usable:
                return
            heapq.heappop(self._expiries)
            if waiter is None or waiter.expires_at != expires_at:
                continue
            late = _Code.DEADLINE_UNREACHABLE
            code = late if usable else _Code.NO_UPSTREAM
            self._refuse(waiter.submit, code, now)

    def _check_longest_wait(self, now: float) -> None:
        while self._expiries:
            expires_at, _, request_id = self._expiries[0]
            waiter = self._find_waiter(request_id)
            if waiter is not None and waiter.expires_at == expires_at:
                cell_invariants.check_wait(waiter, now)
                return
            heapq.heappop(self._expiries)

    def _find_waiter(self, request_id: str) -> cell_state.Waiter | None:
        waiter = self._parts.queue.waiters.get(request_id)
        return waiter or self._granter.exclusive_waiters.get(request_id)

    def _end_load(self, event: cell_events.LoadEnded, now: float) -> None:
        failed = self._planner.end_load(event, now)
        if failed is None:
            return
        key, count = failed
        if count >= loading.MAX_FAILURES:
            self._refuse_unloadable(key, now)
        unloadable: dict[tuple[rows.AdapterKey, tuple[str, ...]], bool] = {}
        for waiter in list(self._parts.queue.waiters.values()):
            submit = waiter.submit
            group = submit.key, submit.avoid
            if group not in unloadable:
                unloadable[group] = self._parts.placer.is_unloadable(
                    *group, now
                )
            if unloadable[group]:
                self._refuse(submit, _Code.LOAD_FAILED, now)

    def _refuse_unloadable(self, key: rows.AdapterKey, now: float) -> None:
        """Refuses the requests for an adapter that repeatedly fails to load."""
        if self._parts.inventory.count_replicas(key):
            return
        waiters = [
            *self._parts.queue.waiters.values(),
            *self._granter.exclusive_waiters.values(),
        ]
        for waiter in waiters:
            if waiter.submit.key == key:
                self._refuse(waiter.submit, _Code.LOAD_FAILED, now)

    def _load(self, now: float) -> None:
        self._actions.extend(self._planner.load_for_waiting(now))
        for waiter in self._granter.exclusive_waiters.values():
            engine = self._granter.find_exclusive_engine(
                waiter.submit.request_id
            )
            if engine is not None:
                self._actions.extend(
                    self._planner.load_exclusive(engine, waiter.submit.key, now)
                )
        self._actions.extend(self._planner.prefetch(now))

    def _schedule_wake_up(self, now: float) -> None:
        at = min(self._planner.recheck_at, self._parts.placer.recheck_at)
        if self._expiries:
            at = min(at, self._expiries[0][0])
        if at != float("inf"):
            at = max(at, now + MIN_TIMER_DELAY_S)
            self._actions.append(cell_actions.WakeAt(at))
