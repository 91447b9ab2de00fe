"""Messages of the inner protocol.

On the wire a message is a CBOR array `[number, {field: value}]`. Numbers are
never reused. A receiver ignores fields that it does not know and takes the
default of those that are missing. Durations are seconds; clocks of different
instances are never compared, so deadlines travel as time left.
"""

import dataclasses

from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import peer_messages

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message in both directions.

    Attributes:
        version: Highest protocol version that the sender speaks.
        instance: Instance id of the sender.
        incarnation: Changes at every start of the sender.
        role: `gateway`, `scheduler` or `ctl`.
        zone: Availability zone of the sender.
    """

    version: int
    instance: str
    incarnation: str
    role: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye:
    """Last message before a coded close.

    Attributes:
        code: Result code number.
        detail: One sentence.
    """

    code: int
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantRequest:
    """Gateway to scheduler: asks for a place on an upstream of a cell.

    Attributes:
        request_id: Unique id of this attempt.
        pool: Pool of the cell.
        zone: Availability zone of the cell.
        adapter: Adapter that must answer.
        version: Its version.
        customer: Customer to account to.
        weight: The customer's weight.
        prompt_tokens: Estimated prompt tokens.
        max_tokens: Most tokens that the answer may have.
        time_left_s: Time until the caller's deadline.
        prefix: Hash of the prompt's prefix.
        avoid: Upstreams that must not run this attempt.
        alone: Whether no other request may run beside it.
        fingerprint: Hash of the request's content; empty for none.
        suspects: Owners before this one that the gateway cannot reach.
        traceparent: W3C trace context.
    """

    request_id: str
    pool: str
    zone: str
    adapter: str
    version: str
    customer: str
    weight: float = 1.0
    prompt_tokens: int = 0
    max_tokens: int = 256
    time_left_s: float = 60.0
    prefix: str = ""
    avoid: tuple[str, ...] = ()
    alone: bool = False
    fingerprint: str = ""
    suspects: tuple[str, ...] = ()
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantReply:
    """Scheduler to gateway: the request may be dispatched.

    Attributes:
        request_id: The request.
        grant_id: Unique id of the grant.
        upstream: Instance id of the engine.
        address: Its `host:port`.
        incarnation: Engine incarnation that the grant is valid for.
        lora_name: Name to send as the engine's `model`.
        priority: Engine priority, lower first.
        epoch: Ownership epoch, the engine's fencing token.
        queued_s: Time spent waiting for the grant.
        load_wait_s: Part of it spent waiting for an adapter load.
    """

    request_id: str
    grant_id: str
    upstream: str
    address: str
    incarnation: str
    lora_name: str
    priority: int = 0
    epoch: int = 0
    queued_s: float = 0.0
    load_wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefusalReply:
    """Scheduler to gateway: the request is refused and did not run.

    Attributes:
        request_id: The request.
        code: Result code number.
        detail: One sentence.
        retry_after_s: When to come back.
        owner: Instance id that the sender believes to be the owner.
    """

    request_id: str
    code: int
    detail: str = ""
    retry_after_s: float = 1.0
    owner: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantRelease:
    """Gateway to scheduler: a grant ended or a request is withdrawn.

    Attributes:
        request_id: The request.
        grant_id: The grant; empty withdraws a request that waits.
        upstream: Instance id of the engine.
        prompt_tokens: Prompt tokens processed.
        generated_tokens: Tokens generated.
        adapter_missing: The engine did not know the adapter.
        lost: The upstream was judged dead or restarted.
        suspect: The request's fingerprint if it may have crashed it.
    """

    request_id: str
    grant_id: str = ""
    upstream: str = ""
    prompt_tokens: int = 0
    generated_tokens: int = 0
    adapter_missing: bool = False
    lost: bool = False
    suspect: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingQuery:
    """New owner to every gateway: which grants of this cell are in use?"""

    query_id: str
    pool: str
    zone: str
    epochs: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingGrant:
    """One grant in use at a gateway."""

    request_id: str
    grant_id: str
    upstream: str
    lora_name: str
    customer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingReply:
    """Gateway to owner: its grants in use; also after a reconnection.

    Attributes:
        query_id: The query that asked; empty if none did.
        grants: Those of the cell and on the upstreams that the query names.
        pool: Pool of the cell.
        zone: Availability zone of the cell.
    """

    query_id: str
    grants: tuple[OutstandingGrant, ...] = ()
    pool: str = ""
    zone: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellLoad:
    """Load of one cell, as its owner sees it.

    Attributes:
        pool: Pool of the cell.
        zone: Availability zone of the cell.
        running: Granted requests.
        capacity: Places in the batches.
        waiting: Requests without a grant.
        wait_s: Wait to be expected by a new request.
    """

    pool: str
    zone: str
    running: int
    capacity: int
    waiting: int
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Either direction, a few times a second on connections in use.

    Attributes:
        sequence: Counts the sender's heartbeats on this connection.
        loads: Loads of the cells that the sender owns.
    """

    sequence: int
    loads: tuple[CellLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Gateway to the shard's committer: claims an idempotency key.

    Attributes:
        attempt_id: Unique id of this claim attempt, kept over resends.
        customer: Customer whose key it is.
        key: The caller's idempotency key.
        fingerprint: Hash of the request that the key stands for.
        gateway: Instance id of the gateway.
        incarnation: Incarnation of the gateway.
    """

    attempt_id: str
    customer: str
    key: str
    fingerprint: str
    gateway: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimReply:
    """Committer to gateway: what the store says of the key.

    Attributes:
        attempt_id: The claim attempt that asked.
        state: `claimed` (run it), `pending`, `completed`, `unknown`,
            `reused` or `unavailable` (certainly not claimed).
        status: HTTP status of a completed answer.
        content_type: Content type of a completed answer.
        body: A completed answer.
        retry_after_s: When to come back.
        body_kept: Whether `body` is the whole answer; it may be empty.
    """

    attempt_id: str
    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    retry_after_s: float = 1.0
    body_kept: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeReport:
    """Gateway to committer: the outcome of a claimed request.

    Attributes:
        attempt_id: The claim attempt.
        customer: Customer whose key it is.
        key: The idempotency key.
        outcome: `completed`, `not_run` or `unknown`.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: The answer, within the size limit.
        body_kept: Whether `body` is the whole answer; it may be empty.
    """

    attempt_id: str
    customer: str
    key: str
    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeReply:
    """Committer to gateway: the outcome is kept (or not)."""

    attempt_id: str
    kept: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """Periodic exchange between peers of what each knows.

    Attributes:
        revision: Revision of the tables in force at the sender.
        head: Hash of the tables' head at that revision.
        leaving: Instance ids that the sender knows to be leaving.
        quarantined: Fingerprints of quarantined requests.
        suspects: Fingerprints of requests that the sender itself saw run
            when their upstream was lost.
        epochs: Highest ownership epoch seen per upstream, those changed.
        instances_version: Version of its instance list, -1 for none.
    """

    revision: int
    head: str = ""
    leaving: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()
    epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    instances_version: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableFetch:
    """Asks a peer for the tables' head or for shards by hash.

    Attributes:
        fetch_id: Echoed by the reply.
        hashes: Shard hashes; empty asks for the head.
    """

    fetch_id: str
    hashes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableReply:
    """A peer's copies of what was asked for; missing ones are left out."""

    fetch_id: str
    head: bytes = b""
    shards: dict[str, bytes] = dataclasses.field(default_factory=dict)


Message = (
    Hello
    | Goodbye
    | GrantRequest
    | GrantReply
    | RefusalReply
    | GrantRelease
    | OutstandingQuery
    | OutstandingReply
    | Heartbeat
    | ClaimRequest
    | ClaimReply
    | OutcomeReport
    | OutcomeReply
    | Digest
    | TableFetch
    | TableReply
    | peer_messages.ShareOffer
    | peer_messages.InstancesFetch
    | peer_messages.InstancesReply
    | peer_messages.ShareRequest
    | entry_messages.InstanceReport
    | entry_messages.EngineNotice
    | entry_messages.LoadRequest
    | entry_messages.LoadReply
    | entry_messages.ObjectsNotice
    | entry_messages.PromptNotice
    | entry_messages.WriteRequest
    | entry_messages.WriteReply
)

NUMBERS: dict[int, type] = {
    1: Hello,
    2: Goodbye,
    3: GrantRequest,
    4: GrantReply,
    5: RefusalReply,
    6: GrantRelease,
    7: OutstandingQuery,
    8: OutstandingReply,
    9: Heartbeat,
    10: ClaimRequest,
    11: ClaimReply,
    12: OutcomeReport,
    13: OutcomeReply,
    14: Digest,
    15: TableFetch,
    16: TableReply,
    17: peer_messages.ShareOffer,
    18: peer_messages.InstancesFetch,
    19: peer_messages.InstancesReply,
    20: peer_messages.ShareRequest,
    21: entry_messages.InstanceReport,
    22: entry_messages.EngineNotice,
    23: entry_messages.LoadRequest,
    24: entry_messages.LoadReply,
    25: entry_messages.ObjectsNotice,
    26: entry_messages.PromptNotice,
    27: entry_messages.WriteRequest,
    28: entry_messages.WriteReply,
}
