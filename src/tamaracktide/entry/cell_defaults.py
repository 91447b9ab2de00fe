"""Settings of the cells of an entry instance."""

from tamaracktide.core import cell_settings
from tamaracktide.core import routing_document

RATE_PER_REPLICA = 1.0
"""Requests per second for an adapter above which it gets a further replica. One
request per second takes 6% of an engine's time for prefill; at this value half
of all requests have a choice of engines."""

MAX_PREFILL_BACKLOG_S = 0.03
"""Prefill time that may be queued at an engine when a prompt is sent. One
prompt at a time keeps the pauses of the engine's streams under 250 ms, which
three steps full of prompts would exceed, and the next prompt still arrives
before the current one is done."""

DEMAND_TAU_S = 5.0
"""Time constant of the demand estimate; demand shifts to other adapters within
3 to 6 s."""

INITIAL_TOKEN_S = 0.01
"""Estimated time per generated token before the first measurement: one step of
an engine."""

INITIAL_RESPONSE_S = 0.1
"""Estimated response time of a service without engines before the first
measurement."""

MAX_WAITING = 512
"""Maximum number of requests queued at one instance."""

MAX_QUEUE_S = 12.0
"""Maximum wait for a batch slot; the shortest deadline of a generation is
8 s."""

MAX_LOADS_IN_FLIGHT = 16
"""Maximum number of loads that one instance requests at a time; the lease
holders limit the total."""

MAX_LOADS_PER_S = 40.0


def make_settings(
    service: routing_document.Service,
) -> cell_settings.CellSettings:
    """Returns the settings of the cell of a service."""
    plain = service.engine is None
    return cell_settings.CellSettings(
        max_queue_s=MAX_QUEUE_S,
        max_waiting=MAX_WAITING,
        loads_per_s=MAX_LOADS_PER_S,
        loads_in_flight=MAX_LOADS_IN_FLIGHT,
        token_s=INITIAL_RESPONSE_S if plain else INITIAL_TOKEN_S,
        named_by_key=True,
        spread=True,
        rate_per_replica=0.0 if plain else RATE_PER_REPLICA,
        demand_tau_s=DEMAND_TAU_S,
        max_prefill_backlog_s=MAX_PREFILL_BACKLOG_S,
        max_pause_s=service.max_pause_s,
    )
