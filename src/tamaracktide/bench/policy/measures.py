"""Records of requests and measures of a policy."""

import dataclasses

from tamaracktide.bench.policy import workload


@dataclasses.dataclass(slots=True)
class Record:
    """The progress and outcome of one request.

    Attributes:
        request: The request.
        submitted_at: Time at which the current attempt was submitted.
        wait_s: Time spent waiting for a batch slot, over all attempts.
        stall_s: Part of `wait_s` in which the adapter was not yet loaded.
        completed_at: Time at which the response was complete, or None.
        refused: Whether the request was refused or expired before it ran.
        attempts: Number of attempts that were lost with an engine.
    """

    request: workload.Request
    submitted_at: float
    wait_s: float = 0.0
    stall_s: float = 0.0
    completed_at: float | None = None
    refused: bool = False
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """The results of one policy under one workload.

    Attributes:
        load_stalls: Number of requests that waited for their adapter to load.
        stall_s_per_request: Mean wait for adapter loads, over all requests.
        batch_efficiency: Generated tokens per batch slot and step.
        batch_efficiency_alone: The same without the large customer.
        small_p99_wait_s: 99th percentile wait of the small customers; a
            refused request counts with the time from arrival to deadline.
        small_p99_wait_alone_s: The same without the large customer.
        stall_alone_s_per_request: `stall_s_per_request` without the large
            customer.
        completed_weighted: Total weight of the requests that completed by
            their deadline.
        refused: Number of requests refused or expired before they ran.
        small_refused: Number of these that belong to small customers.
        loads: Number of loads started on the weight store.
        lost: Number of requests that neither completed nor were refused, such
            as those lost with an engine on every attempt.
    """

    load_stalls: int
    stall_s_per_request: float
    batch_efficiency: float
    batch_efficiency_alone: float
    small_p99_wait_s: float
    small_p99_wait_alone_s: float
    stall_alone_s_per_request: float
    completed_weighted: float
    refused: int
    small_refused: int
    loads: int
    lost: int


def find_percentile(values: list[float], fraction: float) -> float:
    """Returns the value at a fraction of the sorted values, 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def find_small_p99_wait(records: list[Record]) -> float:
    """Returns the small customers' 99th percentile wait in seconds."""
    waits = [
        record.request.deadline - record.request.arrival
        if record.refused
        else record.wait_s
        for record in records
        if record.request.customer != workload.LARGE_CUSTOMER
    ]
    return find_percentile(waits, 0.99)


def sum_completed_value(records: list[Record]) -> float:
    """Returns the total weight of requests completed by their deadline."""
    return sum(
        record.request.value
        for record in records
        if record.completed_at is not None
        and record.completed_at <= record.request.deadline
    )
