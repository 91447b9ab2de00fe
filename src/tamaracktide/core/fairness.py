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
import typing

import sortedcontainers

from tamaracktide.core import cell_state
from tamaracktide.core import rows

LEAST_LEVEL = 2.0
"""Places and slots per weight that are never beyond a customer's share."""

URGENCY_PART = 0.25
"""Part of a request's slack by which its start may be put off."""

_MOST_IDLE_ACCOUNTS = 4096
_LEAST_WEIGHT = 1e-9


def get_urgency(waiter: cell_state.Waiter) -> tuple[float, int]:
    """Returns what a customer's waiting requests are ordered by."""
    urgency = find_urgency(waiter.submitted_at, waiter.expires_at)
    return urgency, waiter.sequence


def find_urgency(submitted_at: float, expires_at: float) -> float:
    """Returns by when a request is to start, other things being equal."""
    return submitted_at + URGENCY_PART * (expires_at - submitted_at)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Requests that the same engines can serve, placed together.

    Attributes:
        key: Adapter and version.
        avoid: Upstreams that must not run them.
    """

    key: rows.AdapterKey
    avoid: tuple[str, ...] = ()


Group: typing.TypeAlias = sortedcontainers.SortedKeyList[
    cell_state.Waiter, tuple[float, int]
]
"""Waiting requests, those that must start first at the front."""


@dataclasses.dataclass(slots=True)
class Account:
    """What one customer has running and waiting.

    Attributes:
        customer: The customer.
        weight: Its weight.
        start: Start tag of its next request.
        running: Requests granted and not ended.
        groups: Waiting requests by what they need.
        pins: Requests running by the engine-side name of their slot.
        urgencies: Order of its waiting requests, and when each expires.
    """

    customer: str
    weight: float = 1.0
    start: float = 0.0
    running: int = 0
    groups: dict[GroupKey, Group] = dataclasses.field(default_factory=dict)
    pins: dict[str, int] = dataclasses.field(default_factory=dict)
    urgencies: sortedcontainers.SortedList[tuple[float, int, float]] = (
        dataclasses.field(default_factory=sortedcontainers.SortedList)
    )

    @property
    def waiting(self) -> int:
        """Requests without a grant."""
        return len(self.urgencies)

    @property
    def active(self) -> bool:
        """Whether it has anything running or waiting."""
        return self.running > 0 or self.waiting > 0

    @property
    def demand(self) -> int:
        """Places that it would use now."""
        return self.running + self.waiting

    def list_groups(self) -> list[tuple[GroupKey, Group]]:
        """Returns the groups, that with the most urgent request first."""
        return sorted(
            self.groups.items(), key=lambda item: get_urgency(item[1][0])
        )

    @property
    def slot_demand(self) -> int:
        """Adapter slots that it would use now."""
        return len(self.pins) + len(self.groups)


@dataclasses.dataclass(frozen=True, slots=True)
class Levels:
    """Max-min fair shares per unit of weight, infinite if there is enough.

    Attributes:
        places: Places in batches.
        slots: Adapter slots.
    """

    places: float
    slots: float

    @property
    def scarce(self) -> bool:
        """Whether there is not enough for all."""
        return not (math.isinf(self.places) and math.isinf(self.slots))

    def limits(self, account: Account) -> bool:
        """Returns whether a customer asks for more than its fair share."""
        return (
            account.demand > self.places * account.weight
            or account.slot_demand > self.slots * account.weight
        )


class FairQueue:
    """The waiting requests of a cell, by customer.

    Attributes:
        accounts: Accounts by customer.
        waiters: Waiting requests by request id.
        virtual_time: Start tag of the latest grant; never falls.
        demand: Places that all customers would use now.
        slot_demand: Adapter slots that they would use now.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.accounts: dict[str, Account] = {}
        self.waiters: dict[str, cell_state.Waiter] = {}
        self.virtual_time = 0.0
        self.demand = 0
        self.slot_demand = 0
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
        if not account.active:
            account.start = max(account.start, self.virtual_time)
        account.weight = submit.weight
        account.urgencies.add((*get_urgency(waiter), waiter.expires_at))
        self.demand += 1
        group_key = GroupKey(submit.key, submit.avoid)
        if group_key not in account.groups:
            self.slot_demand += 1
            account.groups[group_key] = sortedcontainers.SortedKeyList(
                key=get_urgency
            )
        account.groups[group_key].add(waiter)
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
            self.slot_demand -= 1
        account.urgencies.remove((*get_urgency(waiter), waiter.expires_at))
        self.demand -= 1
        self._waiting_by_key[submit.key] -= 1
        if not self._waiting_by_key[submit.key]:
            del self._waiting_by_key[submit.key]
        return waiter

    def serve(self, request_id: str, lora_name: str) -> cell_state.Waiter:
        """Takes a request out that is granted, and charges its cost."""
        waiter = self.waiters[request_id]
        account = self.accounts[waiter.submit.customer]
        self._start(account, lora_name)
        self.remove(request_id)
        self.virtual_time = max(self.virtual_time, account.start)
        account.start += waiter.cost / account.weight
        return waiter

    def _start(self, account: Account, lora_name: str) -> None:
        account.running += 1
        self.demand += 1
        if lora_name not in account.pins:
            self.slot_demand += 1
        account.pins[lora_name] = account.pins.get(lora_name, 0) + 1

    def add_running(self, customer: str, weight: float, lora_name: str) -> None:
        """Counts a request that an earlier owner granted."""
        account = self.get_account(customer)
        if not account.active:
            account.weight = weight
        self._start(account, lora_name)

    def end(self, grant: cell_state.GrantRecord, cost: float) -> None:
        """Gives a place back and corrects the charge by the real cost."""
        account = self.accounts[grant.customer]
        account.running -= 1
        self.demand -= 1
        account.pins[grant.lora_name] -= 1
        if not account.pins[grant.lora_name]:
            del account.pins[grant.lora_name]
            self.slot_demand -= 1
        account.start += (cost - grant.cost) / account.weight

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
            for group_key, group in account.list_groups():
                yield account, group_key, group

    def find_levels(self, places: int, slots: int) -> Levels:
        """Returns the fair shares of so many places and slots."""
        place_level = slot_level = math.inf
        if self.demand > places:
            place_level = _fill(
                [
                    (account.demand, account.weight)
                    for account in self.accounts.values()
                    if account.active
                ],
                places,
            )
        if self.slot_demand > slots:
            slot_level = _fill(
                [
                    (account.slot_demand, account.weight)
                    for account in self.accounts.values()
                    if account.active
                ],
                slots,
            )
        return Levels(place_level, slot_level)


def _fill(demands: list[tuple[int, float]], supply: float) -> float:
    """Returns the max-min fair share per unit of weight.

    Those who ask for less get all they ask for; the others share the rest
    by weight.
    """
    weight = sum(weight for _, weight in demands)
    left = supply
    for demand, own in sorted(demands, key=lambda one: one[0] / one[1]):
        if demand * weight > left * own:
            break
        left -= demand
        weight -= own
    return max(LEAST_LEVEL, left / max(weight, _LEAST_WEIGHT))
