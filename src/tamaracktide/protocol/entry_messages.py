"""Messages between entry instances."""

import dataclasses

import msgspec

from tamaracktide.core import catch_up
from tamaracktide.core import paces as core_paces
from tamaracktide.core import upstream_health


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseNotice:
    """Lease term of the sender in a cell.

    Attributes:
        cell: The cell as `service@zone`.
        revision: Revision of the lease's record.
        epoch: Fencing token.
        right_left_s: Remaining time of the lease term.
    """

    cell: str
    revision: int
    epoch: int
    right_left_s: float


class AdapterState(msgspec.Struct, frozen=True, array_like=True):
    """State of an adapter on an engine, encoded as an array.

    Attributes:
        version: Its version.
        ready_in_ms: Time until it is ready; 0 if it is ready now.
    """

    version: int
    ready_in_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineNotice:
    """State of an engine, as tracked by the lease holder of its cell.

    Attributes:
        upstream: Instance id of the engine.
        started_ms: Start time of the engine, which identifies its incarnation.
        orders: Number of orders that it has accepted.
        models: Its loaded and loading adapters, by loaded base model.
    """

    upstream: str
    started_ms: int
    orders: int
    models: dict[str, dict[str, AdapterState]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceReport:
    """Periodic report to a relay; also the heartbeat of the link.

    A relay reports the sums over its group: itself and the members that are
    attached to it.

    Attributes:
        sequence: Number of the report on this link, from 1.
        is_full: Whether `running` replaces all earlier counts.
        is_relay: Whether the sender is a relay.
        ip: The sender's address.
        instances: Number of instances in the sender's group.
        running: Changed counts of requests by upstream and adapter, as
            `model/adapter`; 0 if none is left.
        asked: Requests received since the last report, by adapter.
        rights: The lease terms that the sender holds; their revisions are of
            the store's era in `known`.
        loads: Number of adapters loading in the sender's cells.
        engines: Engines in the sender's cells whose state changed.
        known: What the sender knows of the store.
        store_silent_s: Time since the store responded to an instance of the
            group; 0 while it responds, -1 if none of them uses it.
        quarantined: Fingerprints of requests that crash upstreams.
        quarantined_parts: Parts of prompts that crash upstreams, for builds
            that know no groups.
        quarantined_groups: Parts of prompts that are refused together.
        draining: Whether the sender is shutting down.
        results: Results of a member's requests since its last report, of
            upstreams that failed some.
        cut_off: Services of which the sender reaches no upstream.
        paces: Samples of the paces of engines since the last report, while
            they seem uneven.
    """

    sequence: int
    is_full: bool
    is_relay: bool
    ip: str
    instances: int
    running: dict[str, dict[str, int]]
    asked: dict[str, int]
    rights: tuple[LeaseNotice, ...]
    loads: int
    store_silent_s: float
    engines: tuple[EngineNotice, ...] = ()
    known: catch_up.StoreVersions = dataclasses.field(
        default_factory=catch_up.StoreVersions
    )
    quarantined: tuple[str, ...] = ()
    quarantined_parts: tuple[str, ...] = ()
    quarantined_groups: tuple[tuple[str, ...], ...] = ()
    draining: bool = False
    results: dict[str, upstream_health.Results] = dataclasses.field(
        default_factory=dict
    )
    cut_off: tuple[str, ...] = ()
    paces: dict[str, core_paces.PaceSum] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClusterReport:
    """Periodic report of a relay to its members, with sums over all instances.

    Attributes:
        is_full: Whether `running` replaces all earlier counts.
        acknowledged: Sequence number of the latest report in `running`, by
            member.
        running: Changed counts of requests by upstream and adapter.
        engines: Engines whose state changed.
        holders: Lease holder by cell.
        instances: Number of instances.
        store_silent_s: Time since the store responded to any instance; 0
            while it responds.
        quarantined: Fingerprints of requests that crash upstreams.
        quarantined_parts: Parts of prompts that crash upstreams, for builds
            that know no groups.
        quarantined_groups: Parts of prompts that are refused together.
        draining: Whether the relay is shutting down.
        results: Results of the group's requests since the last report, by
            instance and upstream.
        cut_off: Services of which the relay reaches no upstream.
        paces: Samples of all instances since its last report, by engine.
        known: What the relay knows of the store.
    """

    is_full: bool
    acknowledged: dict[str, int]
    running: dict[str, dict[str, int]]
    engines: tuple[EngineNotice, ...]
    holders: dict[str, str]
    instances: int
    store_silent_s: float
    quarantined: tuple[str, ...] = ()
    quarantined_parts: tuple[str, ...] = ()
    quarantined_groups: tuple[tuple[str, ...], ...] = ()
    draining: bool = False
    results: dict[str, dict[str, upstream_health.Results]] = dataclasses.field(
        default_factory=dict
    )
    cut_off: tuple[str, ...] = ()
    paces: dict[str, core_paces.PaceSum] = dataclasses.field(
        default_factory=dict
    )
    known: catch_up.StoreVersions = dataclasses.field(
        default_factory=catch_up.StoreVersions
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptNotice:
    """Announces a prompt to an engine, which runs one prefill at a time.

    Attributes:
        upstream: Instance id of the engine.
        tokens: Number of tokens of the prompt.
    """

    upstream: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendLimitNotice:
    """Announces the limit of an upstream, and requests sent under it.

    Attributes:
        upstream: Instance id of the upstream.
        started_ms: Its start time, which identifies its incarnation.
        rate: Requests per second that it takes from all instances together;
            None if it no longer names a limit.
        sent: Number of requests that the sender sends to it now.
        brittle: Rejections in a second that it survives; None for any.
        overloaded: Whether it has just rejected a request, being brittle.
    """

    upstream: str
    started_ms: int
    rate: float | None
    sent: int = 0
    brittle: float | None = None
    overloaded: bool = False


class WorkspaceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of a workspace since the last report, encoded as an array.

    Attributes:
        admitted: Usage of the requests that were admitted, less what was given
            back.
        offered: Usage of all its requests.
    """

    admitted: int = 0
    offered: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """Usage of a member since its last report, or of a relay's group.

    Attributes:
        sequence: Number of the report.
        instances: Instances whose usage it contains.
        usage: Usage by workspace.
    """

    sequence: int
    instances: int = 1
    usage: dict[str, WorkspaceUsage] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageTotals:
    """Usage of all instances since a relay's last report to its members.

    Attributes:
        instances: Instances whose usage it contains.
        acknowledged: Number of the latest report that it contains, by member.
        usage: Usage by workspace.
    """

    instances: int
    acknowledged: dict[str, int] = dataclasses.field(default_factory=dict)
    usage: dict[str, WorkspaceUsage] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashNotice:
    """Announces which requests were lost as an upstream ended.

    Attributes:
        upstream: Instance id of the upstream.
        started_ms: Its start time, which identifies its incarnation.
        requests: Suspected parts of the prompts of the requests, by
            fingerprint.
        survived: Parts of their prompts with which other requests survived.
    """

    upstream: str
    started_ms: int
    requests: dict[str, tuple[str, ...]]
    survived: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamsNotice:
    """Announces which software version of an upstream began which stream.

    Attributes:
        streams: Ids of the requests that began streams, by software version.
        versions: Seconds since an upstream had a software version, by service
            and version, where they are told.
        is_complete: Whether `versions` are all that may have begun a stream.
        services: Ids of those streams whose route may choose another service by
            now, by the service that began them.
    """

    streams: dict[str, tuple[str, ...]]
    versions: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    is_complete: bool = False
    services: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamQuery:
    """Asks which software version and service began a stream.

    Attributes:
        request_id: Id of the request that began it.
        asker: Instance that needs to know.
        process: Process of the asker, which did not begin it; builds before
            statements of versions send none, and understand no denials.
        reads_records: Whether the asker needs the records in the store read on
            its behalf.
        service: Service that began it, empty if unknown.
    """

    request_id: str
    asker: str
    process: str = ""
    reads_records: bool = False
    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamReply:
    """Replies to a query.

    Attributes:
        request_id: Id of the request that began the stream.
        software: Software version that began it, empty in a denial.
        asker: Instance that needs to know.
        service: Service that began it, empty if unknown.
        denied_by: Instance whose process did not begin the stream, empty if the
            version is known.
        process: This process.
    """

    request_id: str
    software: str
    asker: str
    service: str = ""
    denied_by: str = ""
    process: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadRequest:
    """Requests the load of an adapter from the lease holder of a cell.

    Attributes:
        load_id: Id of the load request.
        upstream: Instance id of the engine.
        model: Base model.
        adapter: Adapter.
        version: Minimum version; 0 for any.
    """

    load_id: str
    upstream: str
    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReply:
    """Replies to a load request.

    Attributes:
        load_id: Id of the load request.
        accepted: Whether the adapter is loaded or loading.
        ready_in_s: Time until it is ready.
        declined: Whether the load was not attempted, for example because no
            slot was free.
    """

    load_id: str
    accepted: bool
    ready_in_s: float = 0.0
    declined: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectUpdate:
    """An object of the platform's store, forwarded between instances.

    Attributes:
        key: Its key.
        version: Version of the store at the object's last change.
        value: Its value.
        deleted: Whether it was deleted.
    """

    key: str
    version: int
    value: bytes = b""
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectsNotice:
    """Objects that the sender has observed in the platform's store.

    Attributes:
        items: The objects.
        recovered_s: Time since the store last recovered from an outage, as
            the sender observed it; -1 for none.
        era: Era of the store in which the objects were read.
    """

    items: tuple[ObjectUpdate, ...]
    recovered_s: float = -1.0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectsRequest:
    """Requests the objects that are newer than what the sender knows."""

    known: catch_up.StoreVersions


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRequest:
    """Requests a part of the routing document.

    Attributes:
        digest: Digest of the document whose first parts the sender has; empty
            for none. Another document is sent from its beginning.
        offset: Position of the part, bytes.
    """

    digest: str = ""
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentPart:
    """Part of the routing document that is in force at the sender.

    Attributes:
        era: Era of the store in which the document was read.
        revision: Version of the store at its last change.
        size: Its size in bytes.
        digest: Digest of its bytes.
        offset: Position of the part, bytes.
        data: The part, compressed.
    """

    era: int
    revision: int
    size: int
    digest: str
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRequest:
    """Requests a write from a peer while the sender cannot reach the store.

    Attributes:
        ask_id: Id of the write request.
        key: The object's key.
        value: Its new value.
        revision: Revision that it must be at; 0 creates it.
        era: Era of the store that the revision belongs to.
    """

    ask_id: str
    key: str
    value: bytes
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteReply:
    """Outcome of a write for another instance.

    Attributes:
        ask_id: Id of the write request.
        revision: The object's new revision; 0 if the outcome is unknown.
        conflict: Whether the object was at another revision.
        era: Era of the store at the end of the write, as the sender knows it.
    """

    ask_id: str
    revision: int = 0
    conflict: bool = False
    era: int = 0
