"""Which software version of an upstream began which stream.

What two software versions write does not fit together, so a stream goes on only
on upstreams of the version that began it.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from tamaracktide.core import upstream_entries

RETENTION_S = 60.0
"""Time for which the beginning of a stream is kept. It exceeds the deadlines of
clients, within which they resume a stream."""

MAX_RECORDS = 100_000
"""Maximum number of streams that are kept; the oldest ones are dropped."""

OriginsByVersion = Mapping[str, tuple[str, ...]]
"""Ids of the requests that began streams, by software version."""


class StreamOrigins:
    """Software versions of recent streams, by the request that began them."""

    __slots__ = ("_begun",)

    def __init__(self) -> None:
        """Starts without streams."""
        self._begun: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, request_id: str, software: str, now: float) -> bool:
        """Records the beginning of a stream.

        Returns:
            Whether it was not known. What is known is never changed.
        """
        self._drop_expired(now)
        if request_id in self._begun:
            return False
        self._begun[request_id] = (software, now)
        if len(self._begun) > MAX_RECORDS:
            self._begun.popitem(last=False)
        return True

    def forget(self, request_id: str) -> None:
        """Drops a stream."""
        self._begun.pop(request_id, None)

    def find(self, request_id: str, now: float) -> str | None:
        """Returns the software version that began a stream, or None."""
        self._drop_expired(now)
        found = self._begun.get(request_id)
        return None if found is None else found[0]

    def list_all(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns all streams by software version."""
        self._drop_expired(now)
        return group_by_version(
            (request_id, software)
            for request_id, (software, _) in self._begun.items()
        )

    def _drop_expired(self, now: float) -> None:
        while self._begun:
            request_id, (_, begun_at) = next(iter(self._begun.items()))
            if now < begun_at + RETENTION_S:
                return
            del self._begun[request_id]


class SoftwareVersions:
    """Software versions of the upstreams of each service.

    A version that no upstream has any more counts for `RETENTION_S`: streams
    that it began may still be resumed.
    """

    __slots__ = ("_counts", "_last_seen", "_upstreams")

    def __init__(self) -> None:
        """Starts without upstreams."""
        self._upstreams: dict[str, tuple[str, str]] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._last_seen: dict[tuple[str, str], float] = {}

    def set_upstream(
        self, entry: upstream_entries.UpstreamEntry, now: float
    ) -> None:
        """Records the software version of an upstream."""
        key = (entry.service, entry.software)
        if self._upstreams.get(entry.upstream) == key:
            return
        self.remove_upstream(entry.upstream, now)
        self._upstreams[entry.upstream] = key
        self._counts[key] += 1

    def remove_upstream(self, upstream: str, now: float) -> None:
        """Records that an upstream is gone."""
        key = self._upstreams.pop(upstream, None)
        if key is None:
            return
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
            self._last_seen[key] = now

    def list_recent(self, service: str, now: float) -> frozenset[str]:
        """Returns the versions that may have begun streams of a service."""
        for key, seen_at in list(self._last_seen.items()):
            if now >= seen_at + RETENTION_S:
                del self._last_seen[key]
        return frozenset(
            software
            for name, software in (*self._counts, *self._last_seen)
            if name == service
        )

    def list_mixed(self, now: float) -> frozenset[str]:
        """Returns the services that have several versions."""
        services = {service for service, _ in (*self._counts, *self._last_seen)}
        return frozenset(
            service
            for service in services
            if len(self.list_recent(service, now)) > 1
        )


def group_by_version(
    streams: Iterable[tuple[str, str]],
) -> dict[str, tuple[str, ...]]:
    """Returns request ids by software version."""
    grouped: dict[str, list[str]] = {}
    for request_id, software in streams:
        grouped.setdefault(software, []).append(request_id)
    return {software: tuple(ids) for software, ids in grouped.items()}
