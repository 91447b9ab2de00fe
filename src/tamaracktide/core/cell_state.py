"""What a cell knows of its engines, loads, grants and waiting requests."""

import dataclasses
import enum

from tamaracktide.core import cell_events
from tamaracktide.core import rows

RESERVED_PLACES_PART = 0.0625
"""Part of a batch that a customer beyond its share leaves free."""

RESERVED_SLOTS_PART = 0.25
"""Part of the slots that a customer beyond its share leaves unused."""

MOST_PREFIXES = 256
"""Prompt prefixes that are remembered for an engine."""

MOST_AT_HAND = 100
"""Adapters that an engine is taken to keep in its memory after they left
their slots; the platform's engines keep 120, those in slots among them."""


class SlotState(enum.Enum):
    """What an adapter slot may be used for."""

    LOADING = "loading"
    READY = "ready"
    WITHHELD = "withheld"


@dataclasses.dataclass(slots=True, kw_only=True)
class Slot:
    """One adapter slot of an engine that is in use.

    Attributes:
        lora_name: Engine-side name.
        key: Adapter and version behind it.
        state: Whether it may be granted.
        customer: Customer that the slot is accounted to.
        used_at: When it was last granted or loaded.
        pins: Own grants that use it.
        foreign: Running requests that another owner admitted.
        retiring: Whether it gets no new grants, so that it can be evicted.
    """

    lora_name: str
    key: rows.AdapterKey
    state: SlotState
    customer: str = ""
    used_at: float = 0.0
    pins: int = 0
    foreign: int = 0
    retiring: bool = False

    @property
    def in_use(self) -> bool:
        """Whether a running request or a load holds the slot."""
        return (
            self.pins > 0 or self.foreign > 0 or self.state is SlotState.LOADING
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Engine:
    """One engine of the cell.

    Attributes:
        name: Instance id.
        incarnation: Changes whenever the engine restarts.
        slot_limit: Adapter slots.
        batch_limit: Requests that run at once.
        slots: Slots in use by engine-side name.
        running: Own grants and requests of earlier owners.
        pending: Loads under way on it.
        unattributed: Those of earlier owners whose adapter is not known.
        leaving: Whether it gets no new work.
        exclusive: Request id that it is kept free for or that runs alone on
            it, or empty.
        evictions_suspended: Whether no adapter may be unloaded now.
        reported: The latest load report, or None.
        read_at: When its state was last read.
        prefixes: Prompt prefixes that it probably has cached, oldest first.
        distance_s: Cost of using it rather than a near engine, seconds.
        accepts_loads: Whether somebody may order loads at it now.
        reads_until: When it will have read the prompts that were sent to it.
        at_hand: Adapters that it can load from its memory, oldest first.
    """

    name: str
    incarnation: str
    slot_limit: int
    batch_limit: int
    slots: dict[str, Slot] = dataclasses.field(default_factory=dict)
    running: int = 0
    pending: int = 0
    unattributed: int = 0
    leaving: bool = False
    exclusive: str = ""
    evictions_suspended: bool = False
    reported: cell_events.LoadReported | None = None
    read_at: float = 0.0
    prefixes: dict[str, None] = dataclasses.field(default_factory=dict)
    distance_s: float = 0.0
    accepts_loads: bool = True
    reads_until: float = 0.0
    at_hand: dict[rows.AdapterKey, None] = dataclasses.field(
        default_factory=dict
    )

    def note_evicted(self, key: rows.AdapterKey) -> None:
        """Takes in that an adapter has left its slot."""
        self.at_hand.pop(key, None)
        self.at_hand[key] = None
        if len(self.at_hand) > MOST_AT_HAND:
            del self.at_hand[next(iter(self.at_hand))]

    def note_prefix(self, prefix: str, cached: bool) -> None:
        """Takes in that a prompt prefix is cached or dropped."""
        self.prefixes.pop(prefix, None)
        if prefix and cached:
            self.prefixes[prefix] = None
        if len(self.prefixes) > MOST_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    @property
    def evictable(self) -> bool:
        """Whether an adapter that no known request uses may be unloaded."""
        return not self.evictions_suspended and not self.unattributed

    @property
    def idle_slots(self) -> int:
        """Slots that no running request or load holds."""
        return self.slot_limit - sum(
            slot.in_use for slot in self.slots.values()
        )

    @property
    def reserved_places(self) -> int:
        """Places that customers beyond their share leave free."""
        return int(self.batch_limit * RESERVED_PLACES_PART)

    @property
    def reserved_slots(self) -> int:
        """Slots that customers beyond their share leave unused."""
        return int(self.slot_limit * RESERVED_SLOTS_PART)

    @property
    def free_places(self) -> int:
        """Requests that it could run besides those it runs now."""
        if self.leaving or self.exclusive:
            return 0
        return max(0, self.batch_limit - self.running)


@dataclasses.dataclass(slots=True, kw_only=True)
class Waiter:
    """A request that waits for a grant.

    Attributes:
        submit: The event that brought it.
        submitted_at: When it came.
        sequence: Counts the cell's requests.
        cost: Estimated cost in tokens.
        expires_at: When it is refused if it has no grant by then.
    """

    submit: cell_events.Submit
    submitted_at: float
    sequence: int
    cost: float
    expires_at: float = float("inf")


@dataclasses.dataclass(slots=True, kw_only=True)
class GrantRecord:
    """A granted request that has not ended.

    Attributes:
        grant_id: The grant.
        request_id: The request.
        customer: Customer that its cost is accounted to.
        weight: The customer's weight.
        key: Adapter and version that it was granted.
        upstream: Instance id of the engine.
        lora_name: Engine-side name of the pinned slot.
        cost: Estimated cost in tokens.
        granted_at: When it was granted.
        max_tokens: Most tokens that the answer may have.
    """

    grant_id: str
    request_id: str
    customer: str
    weight: float
    key: rows.AdapterKey
    upstream: str
    lora_name: str
    cost: float
    granted_at: float
    max_tokens: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadRecord:
    """A load order that has not been answered.

    Attributes:
        load_id: The order.
        upstream: Instance id of the engine.
        lora_name: Engine-side name that is loaded.
        key: Adapter and version.
        customer: Customer that the load is accounted to.
        started_at: When it was ordered.
        evicted: Engine-side name that the order unloads, or empty.
        prefetch: Whether no request waited for it when it was ordered.
    """

    load_id: str
    upstream: str
    lora_name: str
    key: rows.AdapterKey
    customer: str
    started_at: float
    evicted: str = ""
    prefetch: bool = False
