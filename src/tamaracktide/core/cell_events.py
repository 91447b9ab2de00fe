"""Events that a cell's scheduler feeds to the decision core.

Times are seconds on the caller's monotonic clock. The union `CellEvent`
lists every event that `cell.Cell.handle` accepts.
"""

import dataclasses
from typing import TypeAlias

from tamaracktide.core import rows


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedAdapter:
    """An adapter that an engine reports as loaded.

    Attributes:
        lora_name: Name of the adapter inside the engine.
        key: Adapter and version behind that name.
        running: Requests that use it now.
        ready: False while the engine still fetches it.
    """

    lora_name: str
    key: rows.AdapterKey
    running: int = 0
    ready: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSnapshot:
    """An engine's own state was read (first contact, restart or takeover).

    Attributes:
        upstream: Instance id of the engine.
        incarnation: Changes whenever the engine restarts.
        slots: Adapter slots.
        batch_limit: Requests that run at once.
        loaded: Adapters in its slots.
        running: Requests running on it, whoever admitted them.
        checks_fencing: Whether it refuses orders with an old fencing token.
        withheld: Engine-side names that an order of an earlier owner may
            still unload; they are never granted.
        distance_s: Cost of using it rather than a near engine, seconds.
        accepts_loads: Whether somebody may order loads at it now.
    """

    upstream: str
    incarnation: str
    slots: int
    batch_limit: int
    loaded: tuple[LoadedAdapter, ...] = ()
    running: int = 0
    checks_fencing: bool = True
    withheld: tuple[str, ...] = ()
    distance_s: float = 0.0
    accepts_loads: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLost:
    """An upstream is judged dead; its slots and requests are forgotten."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream is leaving or drained; it gets no new work.

    Attributes:
        upstream: Instance id.
        leaving: False when an operator's drain was taken back.
    """

    upstream: str
    leaving: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class EvictionsSuspended:
    """An engine's adapters may not be unloaded for now, or may be again.

    Attributes:
        upstream: Instance id.
        suspended: False once evictions are safe again.
    """

    upstream: str
    suspended: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantAdopted:
    """A gateway holds a grant of an earlier owner of the cell.

    It is sent after the `UpstreamSnapshot` of its engine; the request counts as
    one of those that the engine reported as running.

    Attributes:
        request_id: The request.
        grant_id: The grant; `GrantEnded` gives the place back.
        upstream: Instance id of the engine.
        lora_name: Engine-side name that it pins.
        customer: Customer to account the cost to.
    """

    request_id: str
    grant_id: str
    upstream: str
    lora_name: str
    customer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A gateway asks for a grant for one request.

    Attributes:
        request_id: Unique id of this attempt.
        customer: Customer to account the cost to.
        key: Adapter and version that must answer.
        weight: The customer's weight.
        prompt_tokens: Estimated prompt tokens.
        max_tokens: Most tokens that the answer may have.
        deadline: Time by which the answer must be complete.
        prefix: Hash of the prompt's prefix, empty if unknown.
        avoid: Upstreams that must not run this attempt.
        alone: Whether no other request may run beside it (crash suspect).
    """

    request_id: str
    customer: str
    key: rows.AdapterKey
    weight: float = 1.0
    prompt_tokens: int = 0
    max_tokens: int = 256
    deadline: float = float("inf")
    prefix: str = ""
    avoid: tuple[str, ...] = ()
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReported:
    """Others asked elsewhere for an adapter that this cell may load.

    Attributes:
        key: Adapter and version.
        customer: Customer that asked.
        count: Requests since the last report.
    """

    key: rows.AdapterKey
    customer: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSent:
    """Another instance sent a prompt to an engine.

    Attributes:
        upstream: Instance id of the engine.
        tokens: Tokens of the prompt.
    """

    upstream: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Events that are taken in together, before anything is decided.

    Attributes:
        events: The events, in order.
    """

    events: tuple["CellEvent", ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The caller left before a grant, or after one that was never used."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantEnded:
    """A granted request ended, whatever its result.

    Attributes:
        grant_id: The grant.
        prompt_tokens: Prompt tokens that were processed.
        generated_tokens: Tokens that were generated.
        adapter_missing: The engine said that the adapter is not loaded.
    """

    grant_id: str
    prompt_tokens: int = 0
    generated_tokens: int = 0
    adapter_missing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEnded:
    """A load order was answered.

    Attributes:
        load_id: Id from the `Load` action.
        succeeded: Whether the adapter is in its slot now.
        declined: Whether the load was not tried, as no slot was free; says
            nothing against the adapter or the engine.
    """

    load_id: str
    succeeded: bool
    declined: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReported:
    """An engine reported its load, with a lag.

    Attributes:
        upstream: Instance id.
        running: Requests in its batch.
        waiting: Requests in its own queue.
        reported_at: Time that the report speaks of.
    """

    upstream: str
    running: int
    waiting: int
    reported_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixReported:
    """An engine reported a prompt prefix as cached or dropped."""

    upstream: str
    prefix: str
    cached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreShareChanged:
    """The cell's share of the weight store's rate changed.

    Attributes:
        loads_per_s: Loads that the cell may start a second.
        in_flight: Loads that the cell may have under way at once.
    """

    loads_per_s: float
    in_flight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer that a `WakeAt` action asked for is due."""


CellEvent: TypeAlias = (
    EventBatch
    | UpstreamSnapshot
    | UpstreamLost
    | UpstreamLeaving
    | EvictionsSuspended
    | GrantAdopted
    | Submit
    | DemandReported
    | PromptSent
    | Withdraw
    | GrantEnded
    | LoadEnded
    | LoadReported
    | PrefixReported
    | StoreShareChanged
    | Tick
)
