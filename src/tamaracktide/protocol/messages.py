"""Messages of the inner protocol.

A message is encoded as a CBOR array `[number, {field: value}]`. Numbers are
never reused. A receiver ignores unknown fields and uses the default values of
missing ones. Durations are in seconds. Clocks of different instances are never
compared, so deadlines are sent as remaining time.
"""

import dataclasses

from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import peer_messages

PROTOCOL_VERSION = 1
REVISION = 5
"""Grows with each landing that adds messages or fields. Peers of all revisions
of a protocol version work together; logs and metrics show which are met."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message in both directions.

    Attributes:
        version: Highest protocol version that the sender supports.
        instance: Instance id of the sender.
        incarnation: Changes whenever the sender restarts.
        role: `gateway`, `scheduler`, `entry`, or `ctl` for read-only peers.
        zone: Availability zone of the sender.
        revision: `REVISION` of the sender; builds before 2 send none.
    """

    version: int
    instance: str
    incarnation: str
    role: str
    zone: str
    revision: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye:
    """Last message before a connection is closed with a result code.

    Attributes:
        code: Number of the result code.
        detail: Description in one sentence.
    """

    code: int
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantRequest:
    """Gateway to scheduler: requests a batch slot on an upstream of a cell.

    Attributes:
        request_id: Unique id of this attempt.
        pool: Pool of the cell.
        zone: Availability zone of the cell.
        adapter: Adapter that serves the request.
        version: Version of the adapter.
        customer: Customer to charge the request to.
        weight: Weight of the customer.
        prompt_tokens: Estimated number of prompt tokens.
        max_tokens: Maximum number of tokens to generate.
        time_left_s: Time until the deadline of the client.
        prefix: Hash of the prompt prefix.
        avoid: Upstreams that must not run this attempt.
        alone: Whether the request must run exclusively, with no other request
            in the batch.
        fingerprint: Hash of the request content; empty for none.
        suspects: Owners that precede this one and that the gateway cannot
            reach.
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
    """Scheduler to gateway: permits the gateway to dispatch the request.

    Attributes:
        request_id: Id of the request.
        grant_id: Unique id of the grant.
        upstream: Instance id of the engine.
        address: `host:port` of the engine.
        incarnation: Engine incarnation for which the grant is valid.
        lora_name: Value of `model` in the request to the engine.
        priority: Engine priority; lower values run first.
        epoch: Ownership epoch, used as the fencing token for the engine.
        queued_s: Time spent waiting for the grant.
        load_wait_s: Part of `queued_s` spent waiting for an adapter load.
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
    """Scheduler to gateway: refuses the request, which did not run.

    Attributes:
        request_id: Id of the request.
        code: Number of the result code.
        detail: Description in one sentence.
        retry_after_s: Time after which to retry.
        owner: Instance id of the owner according to the sender.
    """

    request_id: str
    code: int
    detail: str = ""
    retry_after_s: float = 1.0
    owner: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantRelease:
    """Gateway to scheduler: releases a grant or withdraws a request.

    Attributes:
        request_id: Id of the request.
        grant_id: Id of the grant; empty to withdraw a waiting request.
        upstream: Instance id of the engine.
        prompt_tokens: Number of prompt tokens processed.
        generated_tokens: Number of tokens generated.
        adapter_missing: Whether the engine did not have the adapter loaded.
        lost: Whether the upstream restarted or was considered lost.
        suspect: Fingerprint of the request if it may have crashed the
            upstream.
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
    """New owner to every gateway: requests the grants in use in a cell."""

    query_id: str
    pool: str
    zone: str
    epochs: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingGrant:
    """A grant in use at a gateway."""

    request_id: str
    grant_id: str
    upstream: str
    lora_name: str
    customer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingReply:
    """Gateway to owner: reports its grants in use.

    It is also sent without a query after a reconnection.

    Attributes:
        query_id: Id of the query; empty if sent without one.
        grants: Grants of the cell and on the upstreams that the query names.
        pool: Pool of the cell.
        zone: Availability zone of the cell.
    """

    query_id: str
    grants: tuple[OutstandingGrant, ...] = ()
    pool: str = ""
    zone: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellLoad:
    """Load of a cell, as reported by its owner.

    Attributes:
        pool: Pool of the cell.
        zone: Availability zone of the cell.
        running: Number of requests with a grant.
        capacity: Number of batch slots.
        waiting: Number of requests without a grant.
        wait_s: Expected wait of a new request.
    """

    pool: str
    zone: str
    running: int
    capacity: int
    waiting: int
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Either direction: sent periodically on otherwise idle connections.

    It is also sent on others if there are loads to report.

    Attributes:
        sequence: Sequence number of the heartbeat on this connection.
        loads: Loads of the cells that the sender owns.
    """

    sequence: int
    loads: tuple[CellLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Gateway to committer of the shard: claims an idempotency key.

    Attributes:
        attempt_id: Unique id of this claim attempt, the same in every resend.
        customer: Customer to whom the key belongs.
        key: Idempotency key sent by the client.
        fingerprint: Hash of the request that the key identifies.
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
    """Committer to gateway: reports the stored state of the key.

    Attributes:
        attempt_id: Id of the claim attempt.
        state: `claimed` (the gateway runs the request), `pending`,
            `completed`, `unknown`, `reused` or `unavailable` (certainly not
            claimed).
        status: HTTP status of the stored response, if completed.
        content_type: Content type of the stored response, if completed.
        body: Body of the stored response, if completed.
        retry_after_s: Time after which to retry.
        body_kept: Whether `body` is the complete body, which may be empty.
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
    """Gateway to committer: reports the outcome of a claimed request.

    Attributes:
        attempt_id: Id of the claim attempt.
        customer: Customer to whom the key belongs.
        key: The idempotency key.
        outcome: `completed`, `not_run` or `unknown`.
        status: HTTP status of the response.
        content_type: Content type of the response.
        body: Body of the response, if within the size limit.
        body_kept: Whether `body` is the complete body, which may be empty.
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
    """Committer to gateway: reports whether the outcome was stored."""

    attempt_id: str
    kept: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """Summary of the state of the sender, exchanged periodically by peers.

    Attributes:
        revision: Revision of the tables in force at the sender.
        head: Hash of the table head at that revision.
        leaving: Ids of instances that are leaving according to the sender.
        quarantined: Fingerprints of quarantined requests.
        suspects: Fingerprints of requests that the sender itself observed
            running when their upstream was lost.
        epochs: Highest ownership epoch seen per upstream, where changed.
        instances_version: Version of the sender's instance list; -1 for none.
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
    """Requests the table head or shards by hash from a peer.

    Attributes:
        fetch_id: Id that the reply repeats.
        hashes: Hashes of the shards; empty to request the head.
    """

    fetch_id: str
    hashes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableReply:
    """Requested head or shards; those that the peer lacks are omitted."""

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
    | entry_messages.CrashNotice
    | entry_messages.DocumentPart
    | entry_messages.DocumentRequest
    | entry_messages.InstanceReport
    | entry_messages.ClusterReport
    | entry_messages.EngineNotice
    | entry_messages.LoadRequest
    | entry_messages.LoadReply
    | entry_messages.ObjectsNotice
    | entry_messages.ObjectsRequest
    | entry_messages.PromptNotice
    | entry_messages.SendLimitNotice
    | entry_messages.StreamsNotice
    | entry_messages.StreamQuery
    | entry_messages.StreamReply
    | entry_messages.UsageReport
    | entry_messages.UsageTotals
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
    23: entry_messages.LoadRequest,
    24: entry_messages.LoadReply,
    25: entry_messages.ObjectsNotice,
    26: entry_messages.PromptNotice,
    27: entry_messages.WriteRequest,
    28: entry_messages.WriteReply,
    29: entry_messages.InstanceReport,
    30: entry_messages.ClusterReport,
    31: entry_messages.EngineNotice,
    32: entry_messages.ObjectsRequest,
    33: entry_messages.StreamsNotice,
    34: entry_messages.StreamQuery,
    35: entry_messages.StreamReply,
    36: entry_messages.CrashNotice,
    37: entry_messages.SendLimitNotice,
    38: entry_messages.UsageReport,
    39: entry_messages.UsageTotals,
    40: entry_messages.DocumentRequest,
    41: entry_messages.DocumentPart,
}
