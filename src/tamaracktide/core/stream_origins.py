"""Which software version of an upstream began which stream.

What two software versions write does not fit together, so a stream goes on only
on upstreams of the version that began it.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import enum

from tamaracktide.core import upstream_entries

RETENTION_S = 60.0
"""Time for which the beginning of a stream is kept. It exceeds the deadlines of
clients, within which they resume a stream."""

MAX_RECORDS = 100_000
"""Maximum number of streams that are kept; the oldest ones are dropped."""

OriginsByVersion = Mapping[str, tuple[str, ...]]
"""Ids of the requests that began streams, by software version."""

StreamsByService = Mapping[str, tuple[str, ...]]
"""Ids of the requests that began streams, by service."""

VersionsByService = Mapping[str, tuple[str, ...]]
"""Software versions by service."""

AgesByService = Mapping[str, Mapping[str, float]]
"""Seconds since an upstream had a software version, by service and version."""


class Source(enum.Enum):
    """How an instance knows which version began a stream."""

    OWN = "own"
    PEER = "peer"
    STORE = "store"
    ONLY_VERSION = "only version"
    STATED = "stated"


class StreamOrigins:
    """Software versions of recent streams, by the request that began them."""

    __slots__ = ("_begun", "_services")

    def __init__(self) -> None:
        """Starts without streams."""
        self._begun: collections.OrderedDict[str, tuple[str, Source, float]] = (
            collections.OrderedDict()
        )
        self._services: dict[str, str] = {}

    def record(
        self,
        request_id: str,
        software: str,
        now: float,
        source: Source = Source.OWN,
    ) -> bool:
        """Records the beginning of a stream.

        Returns:
            Whether it was not known. What is known is never changed, and a
            stream without an id is not recorded.
        """
        self._drop_expired(now)
        if not request_id or request_id in self._begun:
            return False
        self._begun[request_id] = (software, source, now)
        if len(self._begun) > MAX_RECORDS:
            self.forget(next(iter(self._begun)))
        return True

    def record_services(self, services: StreamsByService) -> None:
        """Records the services of known streams."""
        for service, request_ids in services.items():
            for request_id in request_ids:
                if request_id in self._begun:
                    self._services.setdefault(request_id, service)

    def record_all(
        self, streams: OriginsByVersion, source: Source, now: float
    ) -> None:
        """Records the beginnings of several streams."""
        for software, request_ids in streams.items():
            for request_id in request_ids:
                self.record(request_id, software, now, source)

    def forget(self, request_id: str) -> None:
        """Drops a stream."""
        self._begun.pop(request_id, None)
        self._services.pop(request_id, None)

    def find_service(self, request_id: str) -> str:
        """Returns the service that began a stream, empty if unknown."""
        return self._services.get(request_id, "")

    def find(self, request_id: str, now: float) -> tuple[str, Source] | None:
        """Returns the version that began a stream and how it is known."""
        self._drop_expired(now)
        found = self._begun.get(request_id)
        return None if found is None else found[:2]

    def list_all(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns all streams by software version."""
        self._drop_expired(now)
        return group_ids(
            (request_id, software)
            for request_id, (software, _, _) in self._begun.items()
        )

    def _drop_expired(self, now: float) -> None:
        while self._begun:
            request_id, (_, _, begun_at) = next(iter(self._begun.items()))
            if now < begun_at + RETENTION_S:
                return
            self.forget(request_id)


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

    def count_upstreams(self) -> dict[str, dict[str, int]]:
        """Returns the numbers of upstreams by service and version."""
        found: dict[str, dict[str, int]] = {}
        for (service, software), count in self._counts.items():
            found.setdefault(service, {})[software] = count
        return found

    def restore(self, ages: AgesByService, now: float) -> None:
        """Records versions that others observed, and how long ago."""
        for service, versions in ages.items():
            for software, age_s in versions.items():
                key, seen_at = (service, software), now - max(0.0, age_s)
                known_at = self._last_seen.get(key, seen_at)
                self._last_seen[key] = max(known_at, seen_at)

    def list_ages(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the ages of the recent versions of every service."""
        return {
            service: {
                software: 0.0
                if (service, software) in self._counts
                else now - self._last_seen[service, software]
                for software in sorted(versions)
            }
            for service, versions in self._list_by_service(now).items()
        }

    def list_recent(self, service: str, now: float) -> frozenset[str]:
        """Returns the versions that may have begun streams of a service."""
        return frozenset(self._list_by_service(now).get(service, ()))

    def list_all(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns the recent versions of every service, sorted."""
        return {
            service: tuple(sorted(versions))
            for service, versions in sorted(self._list_by_service(now).items())
        }

    def list_mixed(self, now: float) -> frozenset[str]:
        """Returns the services that have several versions."""
        return frozenset(
            service
            for service, versions in self._list_by_service(now).items()
            if len(versions) > 1
        )

    def _list_by_service(self, now: float) -> dict[str, set[str]]:
        for key, seen_at in list(self._last_seen.items()):
            if now >= seen_at + RETENTION_S:
                del self._last_seen[key]
        found: dict[str, set[str]] = {}
        for service, software in (*self._counts, *self._last_seen):
            found.setdefault(service, set()).add(software)
        return found


def group_ids(
    streams: Iterable[tuple[str, str]],
) -> dict[str, tuple[str, ...]]:
    """Returns request ids by software version or service."""
    grouped: dict[str, list[str]] = {}
    for request_id, name in streams:
        grouped.setdefault(name, []).append(request_id)
    return {name: tuple(ids) for name, ids in grouped.items()}
