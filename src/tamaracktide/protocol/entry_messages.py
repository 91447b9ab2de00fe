"""Messages between entry instances."""

import dataclasses


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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceReport:
    """Periodic report of an instance; also its heartbeat.

    Attributes:
        ip: The sender's address.
        running: Requests by upstream and adapter, as `model/adapter`.
        asked: Requests received since the last report, by adapter.
        rights: The lease terms that it holds.
        loads: Number of adapters loading in its cells.
        store_silent_s: Time for which the store has been unreachable for it.
        suspects: Fingerprints of requests suspected of crashing upstreams.
        quarantined: Fingerprints of requests that crash upstreams.
        draining: Whether it is shutting down.
    """

    ip: str
    running: dict[str, dict[str, int]]
    asked: dict[str, int]
    rights: tuple[LeaseNotice, ...]
    loads: int
    store_silent_s: float
    suspects: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdapterState:
    """State of an adapter on an engine.

    Attributes:
        model: Base model.
        adapter: Adapter.
        version: Its version.
        ready_in_s: Time until it is ready; 0 if it is ready now.
    """

    model: str
    adapter: str
    version: int
    ready_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineNotice:
    """State of an engine, as tracked by the lease holder of its cell.

    Attributes:
        upstream: Instance id of the engine.
        started_ms: Start time of the engine, which identifies its incarnation.
        orders: Number of orders that it has accepted.
        models: Its loaded base models.
        adapters: Its loaded and loading adapters.
    """

    upstream: str
    started_ms: int
    orders: int
    models: tuple[str, ...]
    adapters: tuple[AdapterState, ...]


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
    """Objects that the sender has observed in the platform's store."""

    items: tuple[ObjectUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRequest:
    """Requests a write from a peer while the sender cannot reach the store.

    Attributes:
        ask_id: Id of the write request.
        key: The object's key.
        value: Its new value.
        revision: Revision that it must be at; 0 creates it.
    """

    ask_id: str
    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteReply:
    """Outcome of a write for another instance.

    Attributes:
        ask_id: Id of the write request.
        revision: The object's new revision; 0 if the outcome is unknown.
        conflict: Whether the object was at another revision.
    """

    ask_id: str
    revision: int = 0
    conflict: bool = False
