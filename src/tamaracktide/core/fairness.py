"""Weighted fair queueing between customers: start-time fair queueing.

Each customer has a start tag in virtual time, in tokens per weight. The
customer with the lowest tag is served first. A grant advances its tag by the
request's estimated cost, and the end of the request corrects it by the actual
cost. A customer that was idle starts at the current virtual time, so it
accumulates neither credit nor debt while it sends no requests.
"""

import collections
from collections.abc import Iterator
import dataclasses
import math
import typing

import sortedcontainers

from tamaracktide.core import cell_state
from tamaracktide.core import resumed_streams
from tamaracktide.core import rows

MIN_FAIR_SHARE = 2.0
"""Batch slots and adapter slots per weight that are always within a fair
share."""

START_SLACK_FRACTION = 0.25
"""Fraction of a request's slack by which its start may be delayed."""

_MAX_IDLE_ACCOUNTS = 4096
_MIN_WEIGHT = 1e-9


def get_start_order(waiter: cell_state.Waiter) -> tuple[float, int]:
    """Returns the sort key of a customer's waiting requests."""
    target_start = compute_target_start(waiter.submitted_at, waiter.expires_at)
    return target_start, waiter.sequence


def compute_target_start(submitted_at: float, expires_at: float) -> float:
    """Returns the target start time of a request, which orders the queue."""
    return submitted_at + START_SLACK_FRACTION * (expires_at - submitted_at)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Key of requests that the same engines can serve, placed as a group.

    Attributes:
        key: Adapter and version.
        avoid: Upstreams that must not run them.
    """

    key: rows.AdapterKey
    avoid: tuple[str, ...] = ()


Group: typing.TypeAlias = sortedcontainers.SortedKeyList[
    cell_state.Waiter, tuple[float, int]
]
"""Waiting requests, ordered by target start time."""


@dataclasses.dataclass(slots=True)
class Account:
    """Running and waiting requests of one customer.

    Attributes:
        customer: The customer.
        weight: Its weight.
        start: Start tag of its next request.
        running: Requests granted and not ended.
        groups: Waiting requests by group.
        pins: Running requests by the engine-side name of their slot.
        start_order: Sort keys and expiry times of its waiting requests.
        resumes: Whether its requests go on with streams that began elsewhere.
    """

    customer: str
    weight: float = 1.0
    start: float = 0.0
    running: int = 0
    groups: dict[GroupKey, Group] = dataclasses.field(default_factory=dict)
    pins: dict[str, int] = dataclasses.field(default_factory=dict)
    start_order: sortedcontainers.SortedList[tuple[float, int, float]] = (
        dataclasses.field(default_factory=sortedcontainers.SortedList)
    )
    resumes: bool = False

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self.start_order)

    @property
    def active(self) -> bool:
        """Whether it has running or waiting requests."""
        return self.running > 0 or self.waiting > 0

    @property
    def demand(self) -> int:
        """Batch slots that it could use now."""
        return self.running + self.waiting

    def find_first_expiry(self) -> float:
        """Returns when the first of its waiting requests expires."""
        return min(
            (expires_at for _, _, expires_at in self.start_order),
            default=math.inf,
        )

    def list_groups(self) -> list[tuple[GroupKey, Group]]:
        """Returns the groups, ordered by the target start of their first."""
        return sorted(
            self.groups.items(), key=lambda item: get_start_order(item[1][0])
        )

    @property
    def slot_demand(self) -> int:
        """Adapter slots that it could use now."""
        return len(self.pins) + len(self.groups)


@dataclasses.dataclass(frozen=True, slots=True)
class FairShares:
    """Max-min fair shares per unit of weight, infinite if demand is met.

    Attributes:
        batch_slots: Share of the batch slots.
        slots: Share of the adapter slots.
    """

    batch_slots: float
    slots: float

    @property
    def scarce(self) -> bool:
        """Whether demand exceeds the supply of either resource."""
        return not (math.isinf(self.batch_slots) and math.isinf(self.slots))

    def is_exceeded_by(self, account: Account) -> bool:
        """Returns whether a customer's demand exceeds its fair share."""
        return (
            account.demand > self.batch_slots * account.weight
            or account.slot_demand > self.slots * account.weight
        )


def get_service_order(
    account: Account, fair_shares: FairShares
) -> tuple[bool, float]:
    """Returns the sort key of an account: the lowest one is served first.

    Resumed streams precede new requests, the one that must start first before
    the others.
    """
    if has_precedence(account, fair_shares):
        return False, account.find_first_expiry()
    return True, account.start


def has_precedence(account: Account, fair_shares: FairShares) -> bool:
    """Whether the requests of an account go before those of others.

    Resumed streams do while their customer is within its fair share, and only
    some of each customer at a time: the time to read prompts is in no share.
    """
    return (
        account.resumes
        and account.running < resumed_streams.MAX_PRECEDING_STREAMS
        and not fair_shares.is_exceeded_by(account)
    )


class FairQueue:
    """The waiting requests of a cell, by customer.

    Attributes:
        accounts: Accounts by customer.
        waiters: Waiting requests by request id.
        virtual_time: Highest start tag of any grant; never decreases.
        demand: Batch slots that all customers could use now.
        slot_demand: Adapter slots that all customers could use now.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.accounts: dict[str, Account] = {}
        self.waiters: dict[str, cell_state.Waiter] = {}
        self.virtual_time = 0.0
        self.demand = 0
        self.slot_demand = 0
        self._waiting_by_key: collections.Counter[rows.AdapterKey] = (
            collections.Counter()
        )

    def get_account(self, customer: str) -> Account:
        """Returns a customer's account, creating it if necessary."""
        account = self.accounts.get(customer)
        if account is None:
            self._drop_idle()
            account = Account(customer, start=self.virtual_time)
            self.accounts[customer] = account
        return account

    def add(self, waiter: cell_state.Waiter) -> None:
        """Adds a request to its customer's queue."""
        submit = waiter.submit
        earliest = self.virtual_time - submit.lead / submit.weight
        is_new = submit.customer not in self.accounts
        account = self.get_account(submit.customer)
        if is_new:
            account.start = earliest
        elif not account.active:
            account.start = max(account.start, earliest)
        account.weight = submit.weight
        account.resumes = resumed_streams.is_resumed(submit)
        account.start_order.add((*get_start_order(waiter), waiter.expires_at))
        self.demand += 1
        group_key = GroupKey(submit.key, submit.avoid)
        if group_key not in account.groups:
            self.slot_demand += 1
            account.groups[group_key] = sortedcontainers.SortedKeyList(
                key=get_start_order
            )
        account.groups[group_key].add(waiter)
        self.waiters[submit.request_id] = waiter
        self._waiting_by_key[submit.key] += 1

    def remove(self, request_id: str) -> cell_state.Waiter | None:
        """Removes a request without serving it; None if it is not waiting."""
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
        account.start_order.remove(
            (*get_start_order(waiter), waiter.expires_at)
        )
        self.demand -= 1
        self._waiting_by_key[submit.key] -= 1
        if not self._waiting_by_key[submit.key]:
            del self._waiting_by_key[submit.key]
        return waiter

    def serve(self, request_id: str, lora_name: str) -> cell_state.Waiter:
        """Removes a granted request and charges its estimated cost."""
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
        """Records a running request that was not granted from the queue."""
        account = self.get_account(customer)
        if not account.active:
            account.weight = weight
        self._start(account, lora_name)

    def end(self, grant: cell_state.GrantRecord, cost: float) -> None:
        """Records the end of a request and corrects the charge by its cost."""
        account = self.accounts[grant.customer]
        account.running -= 1
        self.demand -= 1
        account.pins[grant.lora_name] -= 1
        if not account.pins[grant.lora_name]:
            del account.pins[grant.lora_name]
            self.slot_demand -= 1
        account.start += (cost - grant.cost) / account.weight

    def _drop_idle(self) -> None:
        if len(self.accounts) <= _MAX_IDLE_ACCOUNTS:
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
        """Returns the accounts with waiting requests, lowest tag first."""
        backlogged = {
            waiter.submit.customer for waiter in self.waiters.values()
        }
        return sorted(
            (self.accounts[customer] for customer in backlogged),
            key=lambda account: (account.start, account.customer),
        )

    def iterate_groups(
        self, fair_shares: FairShares
    ) -> Iterator[tuple[Account, GroupKey, Group]]:
        """Yields the waiting groups in the order in which they are served."""
        for account in sorted(
            self.list_backlogged(),
            key=lambda account: get_service_order(account, fair_shares),
        ):
            for group_key, group in account.list_groups():
                yield account, group_key, group

    def compute_fair_shares(self, batch_slots: int, slots: int) -> FairShares:
        """Returns the fair shares of the given supply.

        Args:
            batch_slots: Supply of batch slots.
            slots: Supply of adapter slots.
        """
        batch_slot_share = slot_share = math.inf
        if self.demand > batch_slots:
            batch_slot_share = _compute_max_min_share(
                [
                    (account.demand, account.weight)
                    for account in self.accounts.values()
                    if account.active
                ],
                batch_slots,
            )
        if self.slot_demand > slots:
            slot_share = _compute_max_min_share(
                [
                    (account.slot_demand, account.weight)
                    for account in self.accounts.values()
                    if account.active
                ],
                slots,
            )
        return FairShares(batch_slot_share, slot_share)


def _compute_max_min_share(
    demands: list[tuple[int, float]], supply: float
) -> float:
    """Returns the max-min fair share per unit of weight.

    Demands below the share are met in full; the others divide the rest by
    weight.
    """
    weight = sum(weight for _, weight in demands)
    remaining = supply
    for demand, own_weight in sorted(
        demands, key=lambda item: item[0] / item[1]
    ):
        if demand * weight > remaining * own_weight:
            break
        remaining -= demand
        weight -= own_weight
    return max(MIN_FAIR_SHARE, remaining / max(weight, _MIN_WEIGHT))
