"""Which services the resumable routes of recent documents chose.

A stream goes on at the service that began it. The routing document gives that
service only if every document in force since then chooses it.
"""

from collections.abc import Mapping

from tamaracktide.core import routing_document
from tamaracktide.core import stream_origins

MAX_TABLES = 100
"""Maximum number of tables that are kept; the oldest ones are dropped."""

_RoutesByHost = Mapping[str, Mapping[str, routing_document.Route]]


class RouteHistory:
    """The resumable routes in force within the retention of streams."""

    __slots__ = ("_current", "_reassigned", "_replaced", "_started_at")

    def __init__(self, started_at: float) -> None:
        """Starts without routes.

        Args:
            started_at: Start of the instance, seconds.
        """
        self._started_at = started_at
        self._current: _RoutesByHost = {}
        self._replaced: list[tuple[float, _RoutesByHost]] = []
        self._reassigned: frozenset[str] = frozenset()

    def apply(
        self, document: routing_document.RoutingDocument, now: float
    ) -> None:
        """Applies the document that comes into force."""
        routes = _index_resumable(document)
        previous, self._current = self._current, routes
        if previous and _list_shares(routes) != _list_shares(previous):
            self._replaced.append((now, previous))
            del self._replaced[:-MAX_TABLES]
            self._reassigned = self._find_reassigned()

    def is_complete(self, now: float) -> bool:
        """Whether every document that may have begun a stream is known."""
        return now >= self._started_at + stream_origins.RETENTION_S

    def find_choices(
        self, host: str, path: str, request_id: str, now: float
    ) -> frozenset[str]:
        """Returns the services that recent documents choose for a request."""
        self._drop_expired(now)
        return frozenset(
            route.choose_service(request_id)
            for route in self._find_routes(host, path)
        )

    def list_reassigned(self, now: float) -> frozenset[str]:
        """Returns the services whose streams may be resumed at another one.

        They are those of routes whose shares have changed.
        """
        self._drop_expired(now)
        return self._reassigned

    def has_several_services(self) -> bool:
        """Whether resumable routes name several services."""
        return len(_list_services(self._current)) > 1

    def _find_reassigned(self) -> frozenset[str]:
        reassigned: set[str] = set()
        for host, prefixes in self._current.items():
            for prefix in prefixes:
                routes = self._find_routes(host, prefix)
                if len({route.shares for route in routes}) > 1:
                    reassigned.update(*(route.services for route in routes))
        return frozenset(reassigned)

    def _find_routes(
        self, host: str, path: str
    ) -> list[routing_document.Route]:
        """Returns the routes of a path in all recent tables."""
        tables = (*(table for _, table in self._replaced), self._current)
        found = (
            routing_document.find_longest_prefix(table.get(host, {}), path)
            for table in tables
        )
        return [route for route in found if route is not None]

    def _drop_expired(self, now: float) -> None:
        expires_at = now - stream_origins.RETENTION_S
        kept = [pair for pair in self._replaced if pair[0] > expires_at]
        if len(kept) < len(self._replaced):
            self._replaced = kept
            self._reassigned = self._find_reassigned()


def _index_resumable(
    document: routing_document.RoutingDocument,
) -> _RoutesByHost:
    indexed: dict[str, dict[str, routing_document.Route]] = {}
    for route in document.routes:
        if route.resumable:
            indexed.setdefault(route.host, {})[route.path_prefix] = route
    return indexed


def _list_shares(
    table: _RoutesByHost,
) -> dict[tuple[str, str], tuple[routing_document.Share, ...]]:
    return {
        (host, prefix): route.shares
        for host, routes in table.items()
        for prefix, route in routes.items()
    }


def _list_services(table: _RoutesByHost) -> frozenset[str]:
    return frozenset(
        service
        for routes in table.values()
        for route in routes.values()
        for service in route.services
    )
