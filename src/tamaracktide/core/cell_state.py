"""Records of a cell's engines, loads, grants and waiting requests."""

import dataclasses
import enum

from tamaracktide.core import cell_events
from tamaracktide.core import ramps
from tamaracktide.core import rows
from tamaracktide.core import send_limits

BATCH_HEADROOM_FRACTION = 0.0625
"""Fraction of a batch that customers over their share leave free."""

SLOT_HEADROOM_FRACTION = 0.25
"""Fraction of the adapter slots that customers over their share leave idle."""

MAX_PREFIXES = 256
"""Prompt prefixes that are tracked for an engine."""

MAX_HOST_CACHED = 100
"""Evicted adapters that an engine is assumed to keep in its host memory; the
platform's engines keep 120, including those in adapter slots."""


class SlotState(enum.Enum):
    """State of an adapter slot.

    Only a READY slot is granted. A RESERVED slot may still be unloaded by an
    outstanding order. The engine said that it lacks the adapter of a MISSING
    slot; requests that were sent before may still use it.
    """

    LOADING = "loading"
    READY = "ready"
    RESERVED = "reserved"
    MISSING = "missing"


@dataclasses.dataclass(slots=True, kw_only=True)
class Slot:
    """An occupied adapter slot of an engine.

    Attributes:
        lora_name: Engine-side name.
        key: Adapter and version in the slot.
        state: State of the slot.
        customer: Customer that the slot is charged to, or empty.
        used_at: When it was last granted or loaded.
        pins: Grants of this cell that use it.
        remote: Running requests that another owner or instance admitted.
        retiring: Whether it gets no new grants, so that it becomes evictable.
    """

    lora_name: str
    key: rows.AdapterKey
    state: SlotState
    customer: str = ""
    used_at: float = 0.0
    pins: int = 0
    remote: int = 0
    retiring: bool = False

    @property
    def running(self) -> int:
        """Running requests that use it."""
        return self.pins + self.remote

    @property
    def in_use(self) -> bool:
        """Whether a running request or a load occupies the slot."""
        return self.running > 0 or self.state is SlotState.LOADING

    @property
    def is_offered(self) -> bool:
        """Whether its adapter is there, or will be."""
        return self.state in (SlotState.LOADING, SlotState.READY)


@dataclasses.dataclass(slots=True, kw_only=True)
class Engine:
    """An engine of the cell.

    Attributes:
        name: Instance id.
        incarnation: Changes whenever the engine restarts.
        slot_limit: Number of adapter slots.
        batch_limit: Number of batch slots, which is the number of requests
            that run concurrently.
        slots: Occupied adapter slots by engine-side name.
        running: Running requests, including remote and unattributed ones.
        pending: Loads in flight on it.
        unattributed: Running remote requests whose adapter is unknown.
        leaving: Whether it gets no new work.
        on_trial: Whether this cell sends it one request at a time.
        exclusive: Id of the request that runs alone on it or that it is being
            kept free for, or empty.
        evictions_suspended: Whether no adapter may be unloaded now.
        reported: The latest load report, or None.
        snapshot_at: When its state was last polled.
        prefixes: Prompt prefixes that it probably has cached, oldest first.
        distance_s: Additional cost over an engine in the same zone, seconds.
        preference_s: Advantage over engines that are as busy, seconds.
        accepts_loads: Whether any instance may order loads on it now.
        prefill_done_at: When the prefill of the prompts sent to it is expected
            to end.
        host_cached: Adapters that it can load from its host memory, oldest
            first.
        send_limit: Rate at which it takes requests; None for any.
        pace: Rate at which it gets requests while it is brittle; None if it
            is not.
        time_factor: Time that it takes over that of a median engine.
        ramp: Window of requests after its start; None once it is over.
        instances: Number of instances that share the window.
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
    on_trial: bool = False
    exclusive: str = ""
    evictions_suspended: bool = False
    reported: cell_events.LoadReported | None = None
    snapshot_at: float = 0.0
    prefixes: dict[str, None] = dataclasses.field(default_factory=dict)
    distance_s: float = 0.0
    preference_s: float = 0.0
    accepts_loads: bool = True
    prefill_done_at: float = 0.0
    host_cached: dict[rows.AdapterKey, None] = dataclasses.field(
        default_factory=dict
    )
    send_limit: send_limits.SendLimit | None = None
    pace: send_limits.SendLimit | None = None
    time_factor: float = 1.0
    ramp: ramps.Ramp | None = None
    instances: int = 1

    @property
    def limits(self) -> list[send_limits.SendLimit]:
        """The limits that are in force."""
        return [x for x in (self.send_limit, self.pace) if x is not None]

    def find_next_send(self, now: float) -> float:
        """Returns the time from which its limits allow a request."""
        return max((limit.find_next(now) for limit in self.limits), default=now)

    def is_held_back(self, now: float) -> bool:
        """Whether the limit that it named allows no request now."""
        return (
            self.send_limit is not None and self.send_limit.find_next(now) > now
        )

    def record_sends(self, count: int, now: float) -> None:
        """Counts requests that any instance sends to it."""
        for limit in self.limits:
            limit.record(count, now)

    def record_eviction(self, key: rows.AdapterKey) -> None:
        """Records that an adapter was evicted from its slot."""
        self.host_cached.pop(key, None)
        self.host_cached[key] = None
        if len(self.host_cached) > MAX_HOST_CACHED:
            del self.host_cached[next(iter(self.host_cached))]

    def record_prefix(self, prefix: str, cached: bool) -> None:
        """Records that a prompt prefix was cached or dropped."""
        self.prefixes.pop(prefix, None)
        if prefix and cached:
            self.prefixes[prefix] = None
        if len(self.prefixes) > MAX_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    @property
    def evictable(self) -> bool:
        """Whether an adapter without tracked requests may be unloaded."""
        return not self.evictions_suspended and not self.unattributed

    @property
    def idle_slots(self) -> int:
        """Adapter slots that no running request or load occupies."""
        return self.slot_limit - sum(
            slot.in_use for slot in self.slots.values()
        )

    @property
    def batch_headroom(self) -> int:
        """Batch slots that customers over their share leave free."""
        return int(self.batch_limit * BATCH_HEADROOM_FRACTION)

    @property
    def slot_headroom(self) -> int:
        """Adapter slots that customers over their share leave idle."""
        return int(self.slot_limit * SLOT_HEADROOM_FRACTION)

    @property
    def own_running(self) -> int:
        """Running requests that this cell granted."""
        return sum(slot.pins for slot in self.slots.values())

    def is_ramp_full(self, now: float) -> bool:
        """Whether its window allows this instance no further request."""
        ramp = self.ramp
        if ramp is None:
            return False
        ramp.update(self.running, now)
        return self.own_running >= ramp.find_own_limit(self.instances)

    @property
    def free_batch_slots(self) -> int:
        """Batch slots that are available to new requests."""
        if self.leaving or self.exclusive:
            return 0
        return max(0, self.batch_limit - self.running)


@dataclasses.dataclass(slots=True, kw_only=True)
class Waiter:
    """A request that waits for a grant.

    Attributes:
        submit: The event that submitted it.
        submitted_at: When it was submitted.
        sequence: Sequence number within the cell.
        cost: Estimated cost in tokens.
        expires_at: When it is refused unless it was granted before.
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
        customer: Customer that its cost is charged to.
        weight: The customer's weight.
        key: Adapter and version that the request uses.
        upstream: Instance id of the engine.
        lora_name: Engine-side name of the pinned slot.
        cost: Estimated cost in tokens.
        granted_at: When it was granted.
        max_tokens: Maximum number of generated tokens.
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
    """A load order that is in flight.

    Attributes:
        load_id: The order.
        upstream: Instance id of the engine.
        lora_name: Engine-side name that is loaded.
        key: Adapter and version.
        customer: Customer that the load is charged to.
        started_at: When it was ordered.
        evicted: Engine-side name that the order unloads, or empty.
        prefetch: Whether it was ordered without a waiting request.
    """

    load_id: str
    upstream: str
    lora_name: str
    key: rows.AdapterKey
    customer: str
    started_at: float
    evicted: str = ""
    prefetch: bool = False
