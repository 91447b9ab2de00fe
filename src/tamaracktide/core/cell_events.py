"""Events that the owner of a cell passes to the decision core.

Times are seconds on the monotonic clock of the caller of `cell.Cell.handle`.
The union `CellEvent` lists every event that this method accepts.
"""

from collections.abc import Mapping
import dataclasses
from typing import TypeAlias

from tamaracktide.core import rows


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedAdapter:
    """An adapter that an engine reports as loaded.

    Attributes:
        lora_name: Name of the adapter inside the engine.
        key: Adapter and version that the name stands for.
        running: Requests that use it now.
        ready: False while the engine is still loading it.
    """

    lora_name: str
    key: rows.AdapterKey
    running: int = 0
    ready: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PacesChanged:
    """Engines of the cell turned out to be faster or slower than others.

    Attributes:
        factors: Time that an engine takes over that of a median one, by engine.
    """

    factors: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class RampStarted:
    """An upstream of the cell has just started.

    Attributes:
        upstream: Its instance id.
        rank: Position of this instance among all, from 0 to 1.
        instances: Number of instances.
    """

    upstream: str
    rank: float
    instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerObserved:
    """A request to an upstream was answered, or lost.

    Attributes:
        upstream: Instance id of the upstream.
        is_good: Whether the answer was a success and in time.
    """

    upstream: str
    is_good: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptersReady:
    """Loads that other instances ordered on an engine have ended.

    Attributes:
        upstream: Instance id of the engine.
        lora_names: Slots that are ready now.
    """

    upstream: str
    lora_names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSnapshot:
    """An engine was polled (first contact, restart, takeover or refresh).

    Attributes:
        upstream: Instance id of the engine.
        incarnation: Changes whenever the engine restarts.
        slots: Number of adapter slots.
        batch_limit: Number of requests that run concurrently.
        loaded: Adapters in its slots.
        running: Running requests, including those admitted by other owners or
            instances.
        checks_fencing: Whether it rejects orders with a stale fencing token.
        withheld: Engine-side names of reserved slots: an order of an earlier
            owner may still unload them, so they are never granted.
        distance_s: Additional cost over an engine in the same zone, seconds.
        accepts_loads: Whether any instance may order loads on it now.
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
    """An upstream was declared dead; its slots and requests are dropped."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream is leaving or draining and gets no new work.

    Attributes:
        upstream: Instance id.
        leaving: False when an operator cancelled the drain.
        on_trial: Whether it gets one request at a time.
    """

    upstream: str
    leaving: bool = True
    on_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EvictionsSuspended:
    """Evictions on an engine are suspended or resumed.

    Attributes:
        upstream: Instance id.
        suspended: False once evictions are safe again.
    """

    upstream: str
    suspended: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantAdopted:
    """A gateway holds a grant of an earlier owner of the cell.

    It follows the `UpstreamSnapshot` of its engine. The request is one of those
    that the engine reported as running.

    Attributes:
        request_id: The request.
        grant_id: The grant, which `GrantEnded` releases.
        upstream: Instance id of the engine.
        lora_name: Engine-side name that it pins.
        customer: Customer to charge the cost to.
    """

    request_id: str
    grant_id: str
    upstream: str
    lora_name: str
    customer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A gateway requests a grant for one attempt of a request.

    Attributes:
        request_id: Unique id of this attempt.
        customer: Customer to charge the cost to.
        key: Adapter and version that must serve it.
        weight: The customer's weight.
        prompt_tokens: Estimated prompt tokens.
        max_tokens: Maximum number of generated tokens.
        deadline: Time by which the response must be complete.
        prefix: Hash of the prompt's prefix, empty if unknown.
        avoid: Upstreams that must not run this attempt.
        alone: Whether no other request may run beside it, as it is suspected
            of crashing upstreams.
        lead: Tokens that its customer has been charged for it before; an idle
            customer starts so much earlier. It is 0 unless the request goes on
            with a stream that began elsewhere.
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
    lead: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReported:
    """Other instances received requests for an adapter that this cell may load.

    Attributes:
        key: Adapter and version.
        customer: Customer that sent them.
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
        tokens: Prompt tokens.
    """

    upstream: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendLimitChanged:
    """An upstream named the rate of requests that it takes, or no longer does.

    Attributes:
        upstream: Instance id.
        rate: Requests per second from all instances together; None for any.
        own_fraction: Fraction of them that this instance can count on.
    """

    upstream: str
    rate: float | None
    own_fraction: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class BrittleChanged:
    """An upstream said that it ends if it has to reject requests, or not.

    Attributes:
        upstream: Instance id.
        rejections: Rejections in a second that it survives; None for any.
        own_fraction: Fraction of its requests that this instance can count on.
    """

    upstream: str
    rejections: float | None
    own_fraction: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamOverloaded:
    """A brittle upstream rejected a request.

    Attributes:
        upstream: Instance id.
        rejections: Rejections in a second that it survives.
    """

    upstream: str
    rejections: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestsSent:
    """Other instances sent requests to an upstream that limits their rate.

    Attributes:
        upstream: Instance id.
        count: Number of requests.
    """

    upstream: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Events that are applied together before any decision is made.

    Attributes:
        events: The events, in order.
    """

    events: tuple["CellEvent", ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The client disconnected before its grant was used."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decode:
    """Tokens that an engine generated after the first event of a response.

    Attributes:
        tokens: Number of tokens.
        seconds: Time from the first to the last event.
    """

    tokens: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantEnded:
    """A granted request ended, with any outcome.

    Attributes:
        grant_id: The grant.
        prompt_tokens: Prompt tokens that were processed.
        generated_tokens: Tokens that were generated.
        adapter_missing: Whether the engine responded that the adapter is not
            loaded.
        decode: Tokens that the engine generated after the first event.
    """

    grant_id: str
    prompt_tokens: int = 0
    generated_tokens: int = 0
    adapter_missing: bool = False
    decode: Decode | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteCount:
    """Requests of other instances for an adapter on an engine.

    Attributes:
        upstream: Instance id of the engine.
        adapter: Name of the adapter, as in the keys of its slots.
        running: Number of requests.
    """

    upstream: str
    adapter: str
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteCountsChanged:
    """Other instances started or ended requests on the engines."""

    counts: tuple[RemoteCount, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEnded:
    """A load order ended.

    Attributes:
        load_id: Id from the `Load` action.
        succeeded: Whether the adapter is in its slot now.
        declined: Whether the load was not attempted because no slot was free;
            this does not count as a failure of the adapter or the engine.
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
        reported_at: Time that the report describes.
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
    """The cell's share of the weight store's load rate changed.

    Attributes:
        loads_per_s: Loads that the cell may start per second.
        in_flight: Loads that the cell may have in flight.
    """

    loads_per_s: float
    in_flight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer requested by a `WakeAt` action fired."""


CellEvent: TypeAlias = (
    EventBatch
    | AdaptersReady
    | UpstreamSnapshot
    | UpstreamLost
    | UpstreamLeaving
    | EvictionsSuspended
    | GrantAdopted
    | Submit
    | DemandReported
    | PromptSent
    | SendLimitChanged
    | BrittleChanged
    | PacesChanged
    | RampStarted
    | AnswerObserved
    | UpstreamOverloaded
    | RequestsSent
    | Withdraw
    | GrantEnded
    | RemoteCountsChanged
    | LoadEnded
    | LoadReported
    | PrefixReported
    | StoreShareChanged
    | Tick
)
