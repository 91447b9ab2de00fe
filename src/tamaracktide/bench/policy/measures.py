"""What a run is measured by."""

import dataclasses

from tamaracktide.bench.policy import workload


@dataclasses.dataclass(slots=True)
class Record:
    """The course of one request.

    Attributes:
        request: The request.
        submitted_at: When its present attempt was submitted.
        wait_s: Time without a place in a batch, over all attempts.
        stall_s: Part of it in which its adapter was still to be loaded.
        completed_at: When its answer was complete, or None.
        refused: Whether it was refused or dropped unrun.
        attempts: Attempts that were lost with an engine.
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
    """The figures of one policy under one workload.

    Attributes:
        load_stalls: Requests that waited for their adapter to load.
        stall_s_per_request: Seconds of that wait, mean over all requests.
        batch_efficiency: Tokens made per place of the steps that were run.
        batch_efficiency_alone: The same without the large customer.
        small_p99_wait_s: 99th percentile wait of the small customers; a
            refused request counts with its whole time limit.
        small_p99_wait_alone_s: The same without the large customer.
        stall_alone_s_per_request: Stall seconds without the large customer.
        completed_weighted: Weights of requests complete by their deadline.
        refused: Requests refused or dropped unrun.
        small_refused: Those of small customers.
        loads: Loads that the store served.
        lost: Requests lost with an engine and not run again.
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


def find_percentile(values: list[float], part: float) -> float:
    """Returns the smallest value that reaches a part of all, 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def find_small_p99_wait(records: list[Record]) -> float:
    """Returns the small customers' 99th percentile wait, seconds."""
    waits = [
        record.request.deadline - record.request.arrival
        if record.refused
        else record.wait_s
        for record in records
        if record.request.customer != workload.LARGE_CUSTOMER
    ]
    return find_percentile(waits, 0.99)


def count_completed(records: list[Record]) -> float:
    """Returns the weights of the requests complete by their deadline."""
    return sum(
        record.request.value
        for record in records
        if record.completed_at is not None
        and record.completed_at <= record.request.deadline
    )
