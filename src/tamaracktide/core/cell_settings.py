"""Settings of the decision core for one cell."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellSettings:
    """What a cell's decisions depend on besides events.

    Attributes:
        stall_weight: Importance of few load stalls, relative.
        batch_weight: Importance of full batches, relative.
        max_queue_s: Longest wait for a grant, seconds.
        max_waiting: Requests that may wait in the cell.
        loads_per_s: Loads that the cell may start a second at first.
        loads_in_flight: Loads that the cell may have under way at first.
        load_s: Expected duration of a load before any was measured.
        token_s: Expected seconds per generated token before any answer.
        named_by_key: Whether engines know an adapter by its key alone, so
            that a load that another owner ordered has the same name.
        spread: Whether the least busy engines are preferred to the busiest.
        rate_per_replica: Requests a second for an adapter from which another
            engine gets it as well; 0 leaves that to waiting requests.
        max_prefill_backlog_s: Reading of prompts that an engine may have before it;
            infinite does not hold requests back for it.
        demand_tau_s: Time constant of the demand that copies follow.
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
    demand_tau_s: float = 15.0
