"""Messages between entry instances."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseNotice:
    """What a holder says of its right to order in a cell.

    Attributes:
        cell: The cell as `service@zone`.
        revision: Revision of the lease's record.
        epoch: Fencing token.
        right_left_s: Seconds of the right that are left.
    """

    cell: str
    revision: int
    epoch: int
    right_left_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceReport:
    """What an instance does now; also its heartbeat.

    Attributes:
        ip: The sender's address.
        running: Requests by upstream and adapter, as `model/adapter`.
        asked: Requests for adapters since the last report.
        rights: The rights to order that it holds.
        loads: Adapters on their way in its cells.
        store_silent_s: How long it has not heard the store.
        suspects: Fingerprints of requests that may have crashed upstreams.
        quarantined: Fingerprints of requests that crash upstreams.
        draining: Whether it is about to stop.
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
    """One adapter of an engine.

    Attributes:
        model: Base model.
        adapter: Adapter.
        version: Its version.
        ready_in_s: Time until it can be used; 0 if it can be now.
    """

    model: str
    adapter: str
    version: int
    ready_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineNotice:
    """What the holder of a cell knows one of its engines to have.

    Attributes:
        upstream: Instance id of the engine.
        started_ms: Lifetime of the engine.
        orders: Orders that it has accepted.
        models: Base models that it has.
        adapters: Its adapters.
    """

    upstream: str
    started_ms: int
    orders: int
    models: tuple[str, ...]
    adapters: tuple[AdapterState, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptNotice:
    """The sender sends a prompt to an engine, which reads one at a time.

    Attributes:
        upstream: Instance id of the engine.
        tokens: Tokens of the prompt.
    """

    upstream: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadRequest:
    """Asks the holder of an engine's cell to load an adapter.

    Attributes:
        load_id: Id of the wish.
        upstream: Instance id of the engine.
        model: Base model.
        adapter: Adapter.
        version: Least version that helps; 0 for any.
    """

    load_id: str
    upstream: str
    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReply:
    """Answers a wish.

    Attributes:
        load_id: Id of the wish.
        accepted: Whether the adapter is or will be there.
        ready_in_s: Time until it can be used.
        declined: Whether the load was not tried, as no slot was free.
    """

    load_id: str
    accepted: bool
    ready_in_s: float = 0.0
    declined: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectUpdate:
    """An object of the platform's store, passed on between instances.

    Attributes:
        key: Its key.
        version: The store's version at its last change.
        value: Its value.
        deleted: Whether it was deleted.
    """

    key: str
    version: int
    value: bytes = b""
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectsNotice:
    """Objects that the sender has seen in the platform's store."""

    items: tuple[ObjectUpdate, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRequest:
    """Asks a peer to write an object that the sender cannot reach.

    Attributes:
        ask_id: Id of the write.
        key: The object's key.
        value: Its new value.
        revision: Revision that it must have; 0 creates it.
    """

    ask_id: str
    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteReply:
    """What became of a write for another instance.

    Attributes:
        ask_id: Id of the write.
        revision: The object's new revision; 0 if the outcome is not known.
        conflict: Whether the object was at another revision.
    """

    ask_id: str
    revision: int = 0
    conflict: bool = False
