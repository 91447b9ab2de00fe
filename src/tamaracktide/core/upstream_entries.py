"""Upstream entries and reports in the platform's store."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEntry:
    """One upstream as registered by itself.

    Attributes:
        upstream: Instance id.
        service: Service that the upstream belongs to.
        address: `IP:PORT`.
        zone: Availability zone.
        batch_limit: Maximum number of concurrent requests.
        leaving: Whether the upstream accepts no new requests.
        software: Version of its software; a stream goes on only on upstreams
            of the version that began it.
        started_ms: Start time, Unix milliseconds; identifies the incarnation.
        orders: Number of orders accepted in this incarnation.
        models: Loaded adapters by base model, with their versions.
        on_disk: Models that the upstream can load from its local disk.
    """

    upstream: str
    service: str
    address: str
    zone: str
    batch_limit: int
    leaving: bool = False
    software: str = ""
    started_ms: int = 0
    orders: int = 0
    models: Mapping[str, Mapping[str, int]] = dataclasses.field(
        default_factory=dict
    )
    on_disk: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReport:
    """State reported by an engine, up to a few hundred milliseconds old.

    Attributes:
        started_ms: Start time, Unix milliseconds.
        orders: Number of orders accepted in this incarnation.
        models: Loaded adapters by base model, with their versions.
        coming: Loading adapters by base model, with their versions.
        busy: Whether the engine is loading or unloading a base model.
        running: Requests in the engine's batch.
        waiting: Requests in the engine's queue.
    """

    started_ms: int
    orders: int
    models: Mapping[str, Mapping[str, int]]
    coming: Mapping[str, Mapping[str, int]]
    busy: bool = False
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncedVersion:
    """The newest version of an adapter or base model.

    Attributes:
        model: Base model.
        adapter: Adapter; empty for the model itself.
        version: Version that requests must use.
    """

    model: str
    adapter: str
    version: int
