"""Immediate refusal of requests, and the delay before their retry."""

import dataclasses

from tamaracktide import result_codes
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state
from tamaracktide.core import estimates
from tamaracktide.core import fairness
from tamaracktide.core import inventory
from tamaracktide.core import randomness
from tamaracktide.core import resumed_streams

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
RETRY_JITTER_FRACTION = 0.25
OVER_SHARE_BACKLOG_RATIO = 2.0
"""Limit of the reported backlog of customers over their fair share, in ratio
to the batch slots."""

SHARED_SLOTS_FRACTION = 0.9
"""Fraction of the adapter slots that fair shares divide."""

MAX_LIMIT_WAIT_S = 2.0
"""Longest wait for the limits of upstreams. Clients leave after 2 s or more
without data."""

CHECKED_WAITERS = 8
"""Approximate number of later requests whose deadlines are checked before a
request is admitted."""

SERVICE_TIME_FACTOR = 1.0
"""Ratio of the time left before the deadline to the expected service time."""

MISSING_ADAPTER_RATIO = 1.5
"""Backlog that an adapter without a replica counts as, in ratio to the batch
slots."""

_Code = result_codes.ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceRate:
    """Rate at which a customer's queue is served.

    Attributes:
        batch_slots: Batch slots that are available to the customer.
        running: Batch slots that it uses now.
        service_s: Time for which a request occupies a batch slot, seconds.
    """

    batch_slots: float
    running: int
    service_s: float

    def predict_wait_s(self, ahead: int) -> float:
        """Returns the wait of a request behind `ahead` other requests."""
        excess = self.running + ahead + 1 - self.batch_slots
        return max(0.0, excess) * self.service_s / self.batch_slots


class Admission:
    """Predicts waits from the backlog and refuses requests by them."""

    def __init__(
        self,
        settings: cell_settings.CellSettings,
        inventory_: inventory.Inventory,
        queue: fairness.FairQueue,
        estimates_: estimates.Estimates,
        rng: randomness.Random,
    ) -> None:
        """Uses the given state without modifying it."""
        self._settings = settings
        self._inventory = inventory_
        self._queue = queue
        self._estimates = estimates_
        self._rng = rng

    def find_refusal(
        self, submit: cell_events.Submit, now: float
    ) -> _Code | None:
        """Returns the code to refuse a new request with, or None."""
        usable = self._inventory.list_usable()
        if all(engine.name in submit.avoid for engine in usable):
            return _Code.NO_UPSTREAM
        account = self._queue.get_account(submit.customer)
        expires_at = self.compute_expiry(submit, now)
        limit_wait_s = self._predict_limit_wait_s(submit.avoid, now)
        if limit_wait_s > min(MAX_LIMIT_WAIT_S, expires_at - now):
            return _Code.DEADLINE_UNREACHABLE
        if self._meets_deadlines(account, expires_at, now):
            return None
        if self.compute_fair_shares().is_exceeded_by(account):
            return _Code.CUSTOMER_OVER_SHARE
        return _Code.DEADLINE_UNREACHABLE

    def _meets_deadlines(
        self, account: fairness.Account, expires_at: float, now: float
    ) -> bool:
        """Returns whether a new request and those behind it start in time.

        Checks a sample of about `CHECKED_WAITERS` of the requests behind it.
        """
        service_rate = self._estimate_service_rate(account)
        waiting = account.start_order
        target_start = fairness.compute_target_start(now, expires_at)
        position = waiting.bisect_right((target_start, 0, 0.0))
        if now + service_rate.predict_wait_s(position) >= expires_at:
            return False
        behind = len(waiting) - position
        step = max(1, behind // CHECKED_WAITERS)
        return all(
            now + service_rate.predict_wait_s(index + 1) < waiting[index][2]
            for index in range(len(waiting) - 1, position - 1, -step)
        )

    def _predict_limit_wait_s(
        self, avoid: tuple[str, ...], now: float
    ) -> float:
        """Returns the wait behind all waiting requests for engines' limits.

        It is 0 unless all engines limit the rate of their requests.
        """
        tokens = rate = 0.0
        for engine in self._inventory.list_usable():
            if engine.name in avoid:
                continue
            limits = engine.limits
            if not limits:
                return 0.0
            tokens += max(0.0, min(x.count_tokens(now) for x in limits))
            rate += min(x.find_own_rate(now) for x in limits)
        ahead = len(self._queue.waiters) + 1 - tokens
        return max(0.0, ahead) / rate if rate else 0.0

    def compute_expiry(self, submit: cell_events.Submit, now: float) -> float:
        """Returns the time until which a request submitted now may wait."""
        service_s = resumed_streams.predict_service_s(submit, self._estimates)
        service_s *= SERVICE_TIME_FACTOR
        return min(
            now + self._settings.max_queue_s, submit.deadline - service_s
        )

    def count_batch_slots(self) -> int:
        """Returns the batch slots of all usable engines."""
        return self._inventory.capacity.batch_slots

    def compute_fair_shares(self) -> fairness.FairShares:
        """Returns the fair shares of batch slots and adapter slots."""
        capacity = self._inventory.capacity
        return self._queue.compute_fair_shares(
            capacity.batch_slots,
            int(capacity.adapter_slots * SHARED_SLOTS_FRACTION),
        )

    def count_waiting(self) -> int:
        """Returns the backlog to report to gateways.

        Requests of customers over their share count only up to
        `OVER_SHARE_BACKLOG_RATIO` times the batch slots. An adapter without a
        replica counts as `MISSING_ADAPTER_RATIO` times the batch slots.
        """
        batch_slots = self.count_batch_slots()
        fair_shares = self.compute_fair_shares()
        waiting = over_share_waiting = missing = 0
        for account in self._queue.list_backlogged():
            if fair_shares.is_exceeded_by(account):
                over_share_waiting += account.waiting
                continue
            waiting += account.waiting
            missing += sum(
                not self._inventory.count_replicas(group_key.key)
                for group_key in account.groups
            )
        waiting += min(
            over_share_waiting, int(batch_slots * OVER_SHARE_BACKLOG_RATIO)
        )
        return waiting + int(missing * batch_slots * MISSING_ADAPTER_RATIO)

    def _estimate_service_rate(self, account: fairness.Account) -> _ServiceRate:
        """Returns the rate at which a customer's queue is served."""
        usable = self._inventory.list_usable()
        batch_slots = sum(engine.batch_limit for engine in usable)
        running = sum(engine.running for engine in usable)
        share = self.compute_fair_shares().batch_slots * account.weight
        others = max(0, running - account.running)
        available = max(
            1.0, min(share, float(batch_slots)), float(batch_slots - others)
        )
        return _ServiceRate(
            available, account.running, self._estimates.service_s
        )

    def find_retry_after_s(self, customer: str, now: float) -> float:
        """Returns the delay before a customer should retry, with jitter."""
        account = self._queue.get_account(customer)
        wait_s = self._estimate_service_rate(account).predict_wait_s(
            account.waiting
        )
        wait_s = max(wait_s, self._predict_limit_wait_s((), now))
        jitter = self._rng.uniform(1.0, 1.0 + RETRY_JITTER_FRACTION)
        bounded_s = min(MAX_RETRY_AFTER_S, wait_s)
        return max(MIN_RETRY_AFTER_S, bounded_s) * jitter

    def find_displaced(self) -> cell_state.Waiter | None:
        """Returns the request to refuse if the queue is full, or None.

        It is the newest request of the customer with the longest queue in
        proportion to its weight.
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
