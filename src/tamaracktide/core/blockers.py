"""What a request that is not granted waits for, for the logs."""

import dataclasses

from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state
from tamaracktide.core import inventory
from tamaracktide.core import resumed_streams


@dataclasses.dataclass(frozen=True, slots=True)
class Blockers:
    """The engines that may run a request, by what they lack.

    Attributes:
        engines: Engines that may run it.
        loaded: Those that have its adapter.
        loading: Those that are loading it.
        full: Those that have the adapter, but no batch slot.
        reading: Those that have both, but read other prompts first.
        idle_slots: Adapter slots that no request uses, on all of them.
    """

    engines: int
    loaded: int
    loading: int
    full: int
    reading: int
    idle_slots: int


def find_blockers(
    submit: cell_events.Submit,
    inventory_: inventory.Inventory,
    settings: cell_settings.CellSettings,
    now: float,
) -> Blockers:
    """Returns what a waiting request lacks at which engines.

    Args:
        submit: The request.
        inventory_: The engines.
        settings: The cell's settings.
        now: Current time, seconds.
    """
    usable = inventory_.list_usable()
    engines = [e for e in usable if e.name not in submit.avoid]
    slots = [inventory_.find_slot(e, submit.key) for e in engines]
    states = [None if slot is None else slot.state for slot in slots]
    ready = cell_state.SlotState.READY
    loaded = [e for e, s in zip(engines, states, strict=True) if s is ready]
    free = [engine for engine in loaded if engine.free_batch_slots]
    limit = now + resumed_streams.find_max_backlog_s(
        submit, settings, precedes=True
    )
    return Blockers(
        engines=len(engines),
        loaded=len(loaded),
        loading=states.count(cell_state.SlotState.LOADING),
        full=len(loaded) - len(free),
        reading=sum(engine.prefill_done_at > limit for engine in free),
        idle_slots=sum(engine.idle_slots for engine in engines),
    )
