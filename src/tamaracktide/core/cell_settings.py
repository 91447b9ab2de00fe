"""Settings of the decision core for one cell."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellSettings:
    """Configuration of a cell's decisions.

    Attributes:
        stall_weight: Relative importance of avoiding load stalls.
        batch_weight: Relative importance of full batches.
        max_queue_s: Longest wait for a grant, seconds.
        max_waiting: Requests that may wait in the cell.
        loads_per_s: Initial limit of the loads started per second.
        loads_in_flight: Initial limit of the loads in flight.
        load_s: Initial estimate of the duration of a load, seconds.
        token_s: Initial estimate of the time per generated token, seconds.
        named_by_key: Whether engines name an adapter by its key alone, so
            that a load ordered by another owner uses the same name.
        spread: Whether to prefer the least busy engines over the busiest.
        rate_per_replica: Request rate per second that one replica of an adapter
            serves before another is loaded; 0 adds replicas only for
            waiting requests.
        max_prefill_backlog_s: Longest prefill backlog of an engine to
            which prompts are sent, seconds; infinite never holds requests
            back.
        max_pause_s: Longest pause between two events of a stream with which it
            is still in time, seconds.
        demand_tau_s: Time constant of the demand that determines the number
            of replicas, seconds.
    """

    stall_weight: float = 1.0
    batch_weight: float = 1.0
    max_queue_s: float = 30.0
    max_waiting: int = 1024
    loads_per_s: float = 8.0
    loads_in_flight: float = 4.0
    load_s: float = 0.25
    token_s: float = 0.03
    named_by_key: bool = False
    spread: bool = False
    rate_per_replica: float = 0.0
    max_prefill_backlog_s: float = math.inf
    max_pause_s: float = 0.3
    demand_tau_s: float = 15.0
