"""Resolves the route and pool of a request."""

import dataclasses

from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import tables
from tamaracktide.gateway import asgi

Codes = result_codes.ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A route and its pool."""

    route: rows.Route
    pool: rows.Pool


def find_target(
    snapshot: tables.Tables,
    name: str,
    customer: str,
    kind: rows.UpstreamKind,
) -> Target:
    """Returns the target of a customer's route name.

    Raises:
        errors.RefusalError: The route is unknown, belongs to another customer
            or is of another kind, or the tables are not loaded.
    """
    if snapshot.revision == 0:
        raise asgi.make_error(Codes.TABLES_NOT_LOADED)
    route = snapshot.find_route(name)
    if route is None:
        raise asgi.make_error(Codes.ROUTE_UNKNOWN, f"unknown route {name!r}")
    if route.customer != customer:
        raise asgi.make_error(
            Codes.ROUTE_FORBIDDEN, f"route {name!r} belongs to another customer"
        )
    pool = snapshot.find_pool(route.pool)
    if pool is None or pool.kind is not kind:
        raise asgi.make_error(
            Codes.ROUTE_UNKNOWN, f"route {name!r} has no {kind.value} pool"
        )
    return Target(route, pool)
