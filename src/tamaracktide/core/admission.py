"""Which requests are refused at once, and when they may come back."""

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
BACKLOG_PART = 1.0
LONGEST_BACKLOG_S = 8.0
MISSING_PART = 0.25

_Code = result_codes.ResultCode


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
        wait_s = self.predict_wait_s(account)
        if now + wait_s >= self.find_expiry(submit, now):
            return _Code.DEADLINE_UNREACHABLE
        level = self._queue.find_level(self.count_places())
        if account.exceeds(level) and wait_s > LONGEST_BACKLOG_S:
            return _Code.CUSTOMER_OVER_SHARE
        return None

    def find_expiry(self, submit: cell_events.Submit, now: float) -> float:
        """Returns until when a request that came now may wait."""
        service_s = self._estimates.predict_service_s(submit.max_tokens)
        return min(
            now + self._settings.max_queue_s, submit.deadline - service_s
        )

    def count_places(self) -> int:
        """Returns the places in all batches that may get new work."""
        return sum(
            engine.batch_limit for engine in self._inventory.list_usable()
        )

    def count_waiting(self) -> int:
        """Returns the waiting requests as the gateways are to see them.

        What customers ask for beyond their share counts only up to
        `BACKLOG_PART` of the places; an adapter that finds no slot counts as
        `MISSING_PART` of them.
        """
        places = self.count_places()
        level = self._queue.find_level(places)
        waiting = beyond = missing = 0
        for account in self._queue.list_backlogged():
            if account.exceeds(level):
                beyond += account.waiting
                continue
            waiting += account.waiting
            missing += sum(
                not self._inventory.count_replicas(group_key.key)
                for group_key in account.groups
            )
        waiting += min(beyond, int(places * BACKLOG_PART))
        return waiting + int(missing * places * MISSING_PART)

    def predict_wait_s(self, account: fairness.Account) -> float:
        """Returns the wait that a customer's next request can expect."""
        usable = self._inventory.list_usable()
        places = sum(engine.batch_limit for engine in usable)
        if not places:
            return 0.0
        running = sum(engine.running for engine in usable)
        share = self._queue.find_level(places) * account.weight
        others = max(0, running - account.running)
        own = max(1.0, min(share, float(places)), float(places - others))
        ahead = account.demand + 1 - own
        return max(0.0, ahead) * self._estimates.service_s / own

    def find_retry_after_s(self, customer: str) -> float:
        """Returns when a customer may come back, with jitter."""
        wait_s = self.predict_wait_s(self._queue.get_account(customer))
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
