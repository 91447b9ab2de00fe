"""Which requests are refused at once, and when they may come back."""

import dataclasses

from tamaracktide import result_codes
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state
from tamaracktide.core import estimates
from tamaracktide.core import fairness
from tamaracktide.core import inventory
from tamaracktide.core import randomness

LEAST_RETRY_AFTER_S = 0.5
LONGEST_RETRY_AFTER_S = 60.0
RETRY_JITTER = 0.25
BACKLOG_PART = 2.0
SHARED_SLOTS_PART = 0.9
CHECKED_WAITERS = 8
SERVICE_MARGIN = 1.0
MISSING_PART = 1.5

_Code = result_codes.ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class _Pace:
    """How fast a customer's queue is served.

    Attributes:
        places: Places that it can count on.
        running: Places that it has.
        service_s: Time for which a request holds a place.
    """

    places: float
    running: int
    service_s: float

    def predict_wait_s(self, ahead: int) -> float:
        """Returns the wait of a request behind so many others."""
        excess = self.running + ahead + 1 - self.places
        return max(0.0, excess) * self.service_s / self.places


class Admission:
    """Predicts waits from the real backlog and judges requests by them."""

    def __init__(
        self,
        settings: cell_settings.CellSettings,
        inventory_: inventory.Inventory,
        queue: fairness.FairQueue,
        estimates_: estimates.Estimates,
        rng: randomness.Random,
    ) -> None:
        """Reads the given state; it changes none of it."""
        self._settings = settings
        self._inventory = inventory_
        self._queue = queue
        self._estimates = estimates_
        self._rng = rng

    def find_refusal(
        self, submit: cell_events.Submit, now: float
    ) -> _Code | None:
        """Returns why a new request is refused at once, or None."""
        usable = self._inventory.list_usable()
        if all(engine.name in submit.avoid for engine in usable):
            return _Code.NO_UPSTREAM
        account = self._queue.get_account(submit.customer)
        if self._has_time(account, self.find_expiry(submit, now), now):
            return None
        if self.find_levels().limits(account):
            return _Code.CUSTOMER_OVER_SHARE
        return _Code.DEADLINE_UNREACHABLE

    def _has_time(
        self, account: fairness.Account, expires_at: float, now: float
    ) -> bool:
        """Returns whether a new request and those behind it start in time.

        Of those behind it, `CHECKED_WAITERS` are looked at.
        """
        pace = self._find_pace(account)
        waiting = account.urgencies
        urgency = fairness.find_urgency(now, expires_at)
        position = waiting.bisect_right((urgency, 0, 0.0))
        if now + pace.predict_wait_s(position) >= expires_at:
            return False
        behind = len(waiting) - position
        step = max(1, behind // CHECKED_WAITERS)
        return all(
            now + pace.predict_wait_s(index + 1) < waiting[index][2]
            for index in range(len(waiting) - 1, position - 1, -step)
        )

    def find_expiry(self, submit: cell_events.Submit, now: float) -> float:
        """Returns until when a request that came now may wait."""
        service_s = self._estimates.predict_service_s(submit.max_tokens)
        service_s *= SERVICE_MARGIN
        return min(
            now + self._settings.max_queue_s, submit.deadline - service_s
        )

    def count_places(self) -> int:
        """Returns the places in all batches that may get new work."""
        return sum(
            engine.batch_limit for engine in self._inventory.list_usable()
        )

    def find_levels(self) -> fairness.Levels:
        """Returns the fair shares of the places and slots to be had."""
        usable = self._inventory.list_usable()
        slots = sum(engine.slot_limit for engine in usable)
        return self._queue.find_levels(
            sum(engine.batch_limit for engine in usable),
            int(slots * SHARED_SLOTS_PART),
        )

    def count_waiting(self) -> int:
        """Returns the waiting requests as the gateways are to see them.

        What customers ask for beyond their share counts only up to
        `BACKLOG_PART` of the places; an adapter that finds no slot counts as
        `MISSING_PART` of them.
        """
        places = self.count_places()
        levels = self.find_levels()
        waiting = beyond = missing = 0
        for account in self._queue.list_backlogged():
            if levels.limits(account):
                beyond += account.waiting
                continue
            waiting += account.waiting
            missing += sum(
                not self._inventory.count_replicas(group_key.key)
                for group_key in account.groups
            )
        waiting += min(beyond, int(places * BACKLOG_PART))
        return waiting + int(missing * places * MISSING_PART)

    def _find_pace(self, account: fairness.Account) -> _Pace:
        """Returns how fast a customer's queue is served."""
        usable = self._inventory.list_usable()
        places = sum(engine.batch_limit for engine in usable)
        running = sum(engine.running for engine in usable)
        share = self.find_levels().places * account.weight
        others = max(0, running - account.running)
        own = max(1.0, min(share, float(places)), float(places - others))
        return _Pace(own, account.running, self._estimates.service_s)

    def find_retry_after_s(self, customer: str) -> float:
        """Returns when a customer may come back, with jitter."""
        account = self._queue.get_account(customer)
        wait_s = self._find_pace(account).predict_wait_s(account.waiting)
        jitter = self._rng.uniform(1.0, 1.0 + RETRY_JITTER)
        bounded_s = min(LONGEST_RETRY_AFTER_S, wait_s)
        return max(LEAST_RETRY_AFTER_S, bounded_s) * jitter

    def find_displaced(self) -> cell_state.Waiter | None:
        """Returns whom to refuse from a full queue.

        It is the newest request of the customer whose queue is the longest
        for its weight.
        """
        backlogged = self._queue.list_backlogged()
        if len(self._queue.waiters) <= self._settings.max_waiting:
            return None
        longest = max(
            backlogged, key=lambda account: account.waiting / account.weight
        )
        return max(
            (group[-1] for group in longest.groups.values()),
            key=lambda waiter: waiter.sequence,
        )
