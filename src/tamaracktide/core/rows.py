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
    """The kind of a pool's upstreams."""

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
    """A name that clients use, mapped to a customer, a pool and an adapter.

    Attributes:
        name: Value that clients send as `model` or as the service's name in
            the path.
        customer: The only customer that is allowed to use the route.
        pool: Name of the pool whose upstreams serve the route.
        adapter: Adapter name; empty for a route to plain services.
        version: Adapter version; empty for a route to plain services.
        idempotent: Whether a request may be executed more than once.
        weight: Weight of the customer's share of the upstreams.
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
        """The adapter version that every response must come from."""
        return AdapterKey(self.adapter, self.version)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A named set of upstreams of one kind.

    Attributes:
        name: The pool's name, which routes refer to.
        kind: Kind of the upstreams.
        upstreams: Instance ids; an upstream belongs to one pool only.
        stall_weight: Relative weight of avoiding stalls on adapter loads.
        batch_weight: Relative weight of filling batches.
        max_queue_s: Maximum time that a request waits for admission, seconds.
    """

    name: Name
    kind: UpstreamKind
    upstreams: tuple[Name, ...]
    stall_weight: Weight = 1.0
    batch_weight: Weight = 1.0
    max_queue_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 30.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CellId:
    """A cell: the upstreams of one pool in one availability zone.

    Cells are the unit of ownership.

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
