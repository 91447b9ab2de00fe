"""Which services the resumable routes of recent documents chose.

A stream goes on at the service that began it. The routing document gives that
service only if every document in force since then chooses it.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeAlias

from tamaracktide.core import routing_document
from tamaracktide.core import stream_origins

MAX_TABLES = 100
"""Maximum number of tables that are kept; the oldest ones are dropped."""

MAX_RECORDED_TABLES = 4
"""Maximum number of tables that outlast all instances, the newest ones."""

_Shares: TypeAlias = tuple[routing_document.Share, ...]

SharesByHost: TypeAlias = Mapping[str, Mapping[str, _Shares]]
"""Shares of the resumable routes, by host and path prefix."""


class RouteHistory:
    """The resumable routes in force within the retention of streams."""

    __slots__ = (
        "_current",
        "_reassigned",
        "_replaced",
        "_restored",
        "_started_at",
    )

    def __init__(self, started_at: float) -> None:
        """Starts without routes.

        Args:
            started_at: Start of the instance, seconds.
        """
        self._started_at = started_at
        self._current: SharesByHost = {}
        self._replaced: list[tuple[float, SharesByHost]] = []
        self._restored: SharesByHost | None = None
        self._reassigned: frozenset[str] = frozenset()

    def apply(
        self, document: routing_document.RoutingDocument, now: float
    ) -> None:
        """Applies the document that comes into force."""
        table = _index_resumable(document)
        previous, self._current = self._current, table
        if table == previous:
            return
        if previous:
            self._replaced.append((now, previous))
            del self._replaced[:-MAX_TABLES]
        self._reassigned = self._find_reassigned()

    def restore(self, tables: Sequence[SharesByHost], now: float) -> None:
        """Applies tables that were in force before the start, oldest first."""
        known = [*(table for _, table in self._replaced), self._current]
        unknown = [table for table in tables if table not in known]
        if self.is_complete(now) or not unknown:
            return
        self._restored = unknown[0]
        self._replaced[:0] = [(now, table) for table in unknown]
        self._reassigned = self._find_reassigned()

    def list_recent(self, now: float) -> tuple[SharesByHost, ...]:
        """Returns the recent tables, each once, oldest first.

        None of them if all streams are of one service.
        """
        self._drop_expired(now)
        tables: list[SharesByHost] = []
        for table in (*(table for _, table in self._replaced), self._current):
            if table and table not in tables:
                tables.append(table)
        services = frozenset().union(*map(_list_services, tables))
        return tuple(tables[-MAX_RECORDED_TABLES:]) if len(services) > 1 else ()

    def find_restored_choice(
        self, host: str, path: str, request_id: str, now: float
    ) -> str | None:
        """Returns the service that began a stream which nobody knows.

        Streams that began after the shares of their route had changed are
        announced and recorded. So this one began before, by the oldest table.

        Returns:
            None if no table was restored, or it has no such route.
        """
        self._drop_expired(now)
        if self._restored is None:
            return None
        shares = routing_document.find_longest_prefix(
            self._restored.get(host, {}), path
        )
        if shares is None:
            return None
        return routing_document.choose_service(shares, request_id)

    def is_complete(self, now: float) -> bool:
        """Whether every document that may have begun a stream is known."""
        return now >= self._started_at + stream_origins.RETENTION_S

    def find_choices(
        self, host: str, path: str, request_id: str, now: float
    ) -> frozenset[str]:
        """Returns the services that recent documents choose for a request."""
        self._drop_expired(now)
        return frozenset(
            routing_document.choose_service(shares, request_id)
            for shares in self._find_shares(host, path)
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
                found = set(self._find_shares(host, prefix))
                if len(found) > 1:
                    reassigned.update(
                        share.service for shares in found for share in shares
                    )
        return frozenset(reassigned)

    def _find_shares(self, host: str, path: str) -> list[_Shares]:
        """Returns the shares of a path's route in all recent tables."""
        tables = (*(table for _, table in self._replaced), self._current)
        found = (
            routing_document.find_longest_prefix(table.get(host, {}), path)
            for table in tables
        )
        return [shares for shares in found if shares is not None]

    def _drop_expired(self, now: float) -> None:
        expires_at = now - stream_origins.RETENTION_S
        kept = [pair for pair in self._replaced if pair[0] > expires_at]
        if len(kept) == len(self._replaced):
            return
        self._replaced = kept
        self._reassigned = self._find_reassigned()
        if all(table is not self._restored for _, table in kept):
            self._restored = None


def _index_resumable(
    document: routing_document.RoutingDocument,
) -> SharesByHost:
    indexed: dict[str, dict[str, _Shares]] = {}
    for route in document.routes:
        if route.resumable:
            prefixes = indexed.setdefault(route.host, {})
            prefixes[route.path_prefix] = route.shares
    return indexed


def _list_services(table: SharesByHost) -> frozenset[str]:
    return frozenset(
        share.service
        for prefixes in table.values()
        for shares in prefixes.values()
        for share in shares
    )
