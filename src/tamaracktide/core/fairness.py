"""Weighted fair queueing between customers: start-time fair queueing.

Each customer has a start tag in virtual time, in tokens per weight. The
customer with the least tag goes first; a grant moves its tag on by the
request's cost, and the end of the request corrects that by the real cost.
A customer that was idle starts at the virtual time, so it neither saves up
nor owes for the time in which it asked for nothing.
"""

import collections
from collections.abc import Iterator
import dataclasses
import math

from tamaracktide.core import cell_state
from tamaracktide.core import rows

_MOST_IDLE_ACCOUNTS = 4096
_LEAST_WEIGHT = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Requests that the same engines can serve, placed together.

    Attributes:
        key: Adapter and version.
        avoid: Upstreams that must not run them.
    """

    key: rows.AdapterKey
    avoid: tuple[str, ...] = ()


Group = collections.deque[cell_state.Waiter]


@dataclasses.dataclass(slots=True)
class Account:
    """What one customer has running and waiting.

    Attributes:
        customer: The customer.
        weight: Its weight.
        start: Start tag of its next request.
        running: Requests granted and not ended.
        waiting: Requests without a grant.
        groups: Waiting requests by what they need, oldest group first.
    """

    customer: str
    weight: float = 1.0
    start: float = 0.0
    running: int = 0
    waiting: int = 0
    groups: dict[GroupKey, Group] = dataclasses.field(default_factory=dict)

    @property
    def active(self) -> bool:
        """Whether it has anything running or waiting."""
        return self.running > 0 or self.waiting > 0

    @property
    def demand(self) -> int:
        """Places that it would use now."""
        return self.running + self.waiting

    def exceeds(self, level: float) -> bool:
        """Returns whether it asks for more than its fair share."""
        return self.demand > level * self.weight


class FairQueue:
    """The waiting requests of a cell, by customer.

    Attributes:
        accounts: Accounts by customer.
        waiters: Waiting requests by request id.
        virtual_time: Start tag of the latest grant; never falls.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.accounts: dict[str, Account] = {}
        self.waiters: dict[str, cell_state.Waiter] = {}
        self.virtual_time = 0.0
        self._active_weight = 0.0
        self._demand = 0
        self._waiting_by_key: collections.Counter[rows.AdapterKey] = (
            collections.Counter()
        )

    def get_account(self, customer: str) -> Account:
        """Returns a customer's account, a new one if it has none."""
        account = self.accounts.get(customer)
        if account is None:
            self._drop_idle()
            account = Account(customer, start=self.virtual_time)
            self.accounts[customer] = account
        return account

    def add(self, waiter: cell_state.Waiter) -> None:
        """Appends a request to its customer's queue."""
        submit = waiter.submit
        account = self.get_account(submit.customer)
        if account.active:
            self._active_weight -= account.weight
        else:
            account.start = max(account.start, self.virtual_time)
        account.weight = submit.weight
        self._active_weight += account.weight
        account.waiting += 1
        self._demand += 1
        group_key = GroupKey(submit.key, submit.avoid)
        account.groups.setdefault(group_key, collections.deque()).append(waiter)
        self.waiters[submit.request_id] = waiter
        self._waiting_by_key[submit.key] += 1

    def remove(self, request_id: str) -> cell_state.Waiter | None:
        """Takes a request out unserved; None if it does not wait."""
        waiter = self.waiters.pop(request_id, None)
        if waiter is None:
            return None
        submit = waiter.submit
        account = self.accounts[submit.customer]
        group_key = GroupKey(submit.key, submit.avoid)
        group = account.groups[group_key]
        group.remove(waiter)
        if not group:
            del account.groups[group_key]
        account.waiting -= 1
        self._demand -= 1
        self._waiting_by_key[submit.key] -= 1
        if not self._waiting_by_key[submit.key]:
            del self._waiting_by_key[submit.key]
        self._settle_active(account)
        return waiter

    def serve(self, request_id: str) -> cell_state.Waiter:
        """Takes a request out that is granted, and charges its cost."""
        waiter = self.waiters[request_id]
        account = self.accounts[waiter.submit.customer]
        account.running += 1
        self._demand += 1
        self.remove(request_id)
        self.virtual_time = max(self.virtual_time, account.start)
        account.start += waiter.cost / account.weight
        return waiter

    def add_running(self, customer: str, weight: float) -> None:
        """Counts a request that an earlier owner granted."""
        account = self.get_account(customer)
        if not account.active:
            account.weight = weight
            self._active_weight += weight
        account.running += 1
        self._demand += 1

    def end(self, customer: str, estimate: float, cost: float) -> None:
        """Gives a place back and corrects the charge by the real cost."""
        account = self.accounts[customer]
        account.running -= 1
        self._demand -= 1
        account.start += (cost - estimate) / account.weight
        self._settle_active(account)

    def _settle_active(self, account: Account) -> None:
        if not account.active:
            self._active_weight -= account.weight

    def _drop_idle(self) -> None:
        if len(self.accounts) <= _MOST_IDLE_ACCOUNTS:
            return
        self.accounts = {
            customer: account
            for customer, account in self.accounts.items()
            if account.active or account.start > self.virtual_time
        }

    def count_waiting(self, key: rows.AdapterKey) -> int:
        """Returns how many requests wait for an adapter."""
        return self._waiting_by_key.get(key, 0)

    def list_backlogged(self) -> list[Account]:
        """Returns the accounts with waiting requests, least tag first."""
        backlogged = {
            waiter.submit.customer for waiter in self.waiters.values()
        }
        return sorted(
            (self.accounts[customer] for customer in backlogged),
            key=lambda account: (account.start, account.customer),
        )

    def iterate_groups(
        self,
    ) -> Iterator[tuple[Account, GroupKey, Group]]:
        """Yields the waiting groups in the order of fairness."""
        for account in self.list_backlogged():
            for group_key, group in list(account.groups.items()):
                yield account, group_key, group

    def find_level(self, places: int) -> float:
        """Returns the max-min fair number of places per unit of weight.

        Customers that ask for less get all they ask for; the others share
        the rest by weight. It is infinite if there are places for all.
        """
        if self._demand <= places:
            return math.inf
        left = float(places)
        weight = self._active_weight
        accounts = [one for one in self.accounts.values() if one.active]
        accounts.sort(key=lambda account: account.demand / account.weight)
        for account in accounts:
            if account.demand * weight > left * account.weight:
                break
            left -= account.demand
            weight -= account.weight
        return max(0.0, left) / max(weight, _LEAST_WEIGHT)
