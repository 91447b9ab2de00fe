"""Rows of the two tables that operators edit: routes and pools."""

import dataclasses
import enum
from typing import Annotated

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$")
]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1000)]


class UpstreamKind(enum.StrEnum):
    """What a pool's upstreams are."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterKey:
    """One adapter at one version.

    Attributes:
        adapter: Adapter name in the weight store.
        version: Version of the adapter in the weight store.
    """

    adapter: str
    version: str

    @property
    def text(self) -> str:
        """The key as `adapter@version`."""
        return f"{self.adapter}@{self.version}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A name that callers use, bound to a customer and what answers it.

    Attributes:
        name: What callers send as `model`, or as the service's path name.
        customer: The only customer that may use the route.
        pool: Name of the pool whose upstreams answer.
        adapter: Adapter name; empty for a route to plain services.
        version: Adapter version; empty for a route to plain services.
        idempotent: Whether the request may be run again.
        weight: The customer's share of upstreams relative to others.
    """

    name: Name
    customer: Name
    pool: Name
    adapter: str = ""
    version: str = ""
    idempotent: bool = True
    weight: Weight = 1.0

    @property
    def adapter_key(self) -> AdapterKey:
        """The adapter and version that every answer must come from."""
        return AdapterKey(self.adapter, self.version)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A named set of upstreams of one kind.

    Attributes:
        name: The pool's name, which routes refer to.
        kind: What the upstreams are.
        upstreams: Instance ids; an upstream belongs to one pool only.
        stall_weight: Importance of few load stalls, relative.
        batch_weight: Importance of full batches, relative.
        max_queue_s: Longest wait for admission, seconds.
    """

    name: Name
    kind: UpstreamKind
    upstreams: tuple[Name, ...]
    stall_weight: Weight = 1.0
    batch_weight: Weight = 1.0
    max_queue_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 30.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CellId:
    """The upstreams of one pool in one availability zone: a unit of ownership.

    Attributes:
        pool: Pool name.
        zone: Availability zone name.
    """

    pool: str
    zone: str

    @property
    def text(self) -> str:
        """The id as `pool@zone`."""
        return f"{self.pool}@{self.zone}"
