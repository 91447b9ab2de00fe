"""The routing document: routes, services and limits, replaced as a unit."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import TypeVar

import xxhash

from tamaracktide.core import workspaces as core_workspaces

DEFAULT_MAX_PAUSE_S = 0.3

_T = TypeVar("_T")


class RequestKind(enum.Enum):
    """The kind of a route's requests, which decides if retries are safe."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """The share of a route's requests that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests of one host and path prefix are handled.

    Attributes:
        name: The route's name.
        host: Host that the route belongs to.
        path_prefix: Path prefix, which begins and ends with a slash.
        kind: Kind of the requests, which decides whether retries are safe.
        shares: The services that requests are split between.
        timeout_s: Time limit of a request.
        target_latency_s: Latency within which a response has its full value.
        priority: Priority of the requests; 0 is the highest.
        max_attempts: Maximum number of upstreams that a request is sent to.
        resumable: Whether a stream may be resumed on another upstream.
        public: Whether its requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_s: float
    target_latency_s: float = 1.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False

    @property
    def safe_to_retry(self) -> bool:
        """Whether a request may be retried after it may have been executed."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAMING:
                return self.resumable
            case RequestKind.NON_IDEMPOTENT:
                return False

    @property
    def services(self) -> frozenset[str]:
        """The services that its requests are split between."""
        return frozenset(share.service for share in self.shares)

    def choose_service(self, request_id: str) -> str:
        """Returns the service for a request, chosen by a hash of its id.

        Args:
            request_id: Its id; that of the request which began the stream if it
                resumes one.
        """
        return choose_service(self.shares, request_id)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineModel:
    """A base model that a service's engines can load.

    Attributes:
        name: The model's name.
        weights_mb: Memory size of its weights.
        adapter_mb: Memory size of one adapter.
        load_s: Time to load it from the weight store.
        disk_load_s: Time to load it from the engine's local disk.
    """

    name: str
    weights_mb: float
    adapter_mb: float = 0.0
    load_s: float = 3.0
    disk_load_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Capacity of the engines of a service.

    Attributes:
        batch_limit: Maximum number of requests in an engine's batch.
        kv_tokens: Capacity of an engine's KV cache in tokens.
        adapter_slots: Number of adapter slots of an engine.
        weights_mb: Memory for models and adapters together.
        loads_per_s: Model loads per second that the weight store allows.
        event_tokens: Number of tokens in one event of a stream.
        models: The models, by name.
    """

    batch_limit: int
    kv_tokens: int
    adapter_slots: int
    weights_mb: float
    loads_per_s: float
    event_tokens: int = 1
    models: Mapping[str, EngineModel]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of upstreams: model engines, or instances of a plain service.

    Attributes:
        name: The service's name.
        max_connections: Maximum number of connections that one upstream
            accepts, from all instances together.
        max_pause_s: Longest pause between two events of a stream with which it
            is still in time, the shortest of its routes.
        engine: Capacity of its engines; None for a plain service.
    """

    name: str
    max_connections: int = 100
    max_pause_s: float = DEFAULT_MAX_PAUSE_S
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on client requests and connections.

    Attributes:
        max_header_bytes: Maximum size of the headers.
        max_body_bytes: Maximum size of a body.
        header_timeout_s: Time limit for receiving the headers.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingDocument:
    """One version of all routes, services and limits.

    Attributes:
        version: Version number, which increases with each replacement.
        routes: All routes.
        services: All services, by name.
        limits: Limits on client requests and connections.
        workspaces: All workspaces, by name; empty if callers need no API keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    workspaces: Mapping[str, core_workspaces.Workspace] = dataclasses.field(
        default_factory=dict
    )


class RouteTable:
    """Index of one document: routes by host and prefix, workspaces by key.

    Attributes:
        document: The document.
        weights: Weights of the workspaces in fair queueing, by name.
    """

    __slots__ = ("_by_host", "_by_key", "document", "weights")

    def __init__(self, document: RoutingDocument) -> None:
        """Indexes the document."""
        self.document = document
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route
        known = document.workspaces.values()
        self._by_key = core_workspaces.index_keys(known)
        self.weights = core_workspaces.find_weights(known)

    def find_workspace(
        self, key_digest: str
    ) -> core_workspaces.Workspace | None:
        """Returns the workspace of an API key, or None."""
        return self._by_key.get(key_digest)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        prefixes = self._by_host.get(host)
        return None if prefixes is None else find_longest_prefix(prefixes, path)


def choose_service(shares: tuple[Share, ...], request_id: str) -> str:
    """Returns the service for a request, chosen by a hash of its id.

    Args:
        shares: The services that requests are split between.
        request_id: Its id; that of the request which began the stream if it
            resumes one.
    """
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service


def find_longest_prefix(prefixes: Mapping[str, _T], path: str) -> _T | None:
    """Returns the value of the longest prefix of a path, or None.

    Args:
        prefixes: Values by path prefix, which begins and ends with a slash.
        path: The path.
    """
    end = path.rfind("/") + 1
    while end > 0:
        value = prefixes.get(path[:end])
        if value is not None:
            return value
        end = path.rfind("/", 0, end - 1) + 1
    return None
