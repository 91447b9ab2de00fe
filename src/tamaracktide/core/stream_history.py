"""What an instance knows of the streams that clients may resume.

After a start, an instance cannot know which software versions served before. So
the only version that is listed began a stream for certain only once the history
of the versions is complete: they were observed for as long as a stream may be
resumed, or read from a record of them. The same holds for the service of a
route whose shares have changed.
"""

from collections.abc import Iterable

from tamaracktide.core import route_history
from tamaracktide.core import routing_document
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries

Found = tuple[str, stream_origins.Source]
"""Software version that began a stream, and how it is known."""


class StreamHistory:
    """Software versions of services, and the streams that each began.

    Attributes:
        mixed: Services that have, or recently had, several versions.
        tracked: Services whose streams others must know: the mixed ones, and
            those of routes whose shares have changed recently.
        routes: The resumable routes of recent documents.
    """

    __slots__ = (
        "_complete_at",
        "_inherited",
        "_origins",
        "_own",
        "_reassigned",
        "_versions",
        "mixed",
        "routes",
        "tracked",
    )

    def __init__(self, started_at: float) -> None:
        """Starts without streams.

        Args:
            started_at: Start of the instance, seconds.
        """
        self.mixed: frozenset[str] = frozenset()
        self.tracked: frozenset[str] = frozenset()
        self.routes = route_history.RouteHistory(started_at)
        self._complete_at = started_at + stream_origins.RETENTION_S
        self._versions = stream_origins.SoftwareVersions()
        self._origins = stream_origins.StreamOrigins()
        self._own: dict[str, stream_origins.StreamOrigins] = {}
        self._inherited = stream_origins.StreamOrigins()
        self._reassigned: frozenset[str] = frozenset()

    def apply_upstreams(
        self,
        changed: Iterable[upstream_entries.UpstreamEntry],
        removed: Iterable[str],
        now: float,
    ) -> frozenset[str]:
        """Applies upstreams; returns the services that are tracked now."""
        for entry in changed:
            self._versions.set_upstream(entry, now)
        for name in removed:
            self._versions.remove_upstream(name, now)
        return self.refresh(now)

    def apply_document(
        self, document: routing_document.RoutingDocument, now: float
    ) -> frozenset[str]:
        """Applies a document; returns the services that are tracked now."""
        self.routes.apply(document, now)
        return self.refresh(now)

    def restore_versions(
        self,
        versions: stream_origins.VersionsByService,
        now: float,
        *,
        is_complete: bool,
    ) -> frozenset[str]:
        """Applies recorded versions, which count from now on.

        Args:
            versions: The versions, by service.
            now: Current time, seconds.
            is_complete: Whether they are all recent ones.

        Returns:
            The services that are tracked now and were not before.
        """
        ages = {
            service: dict.fromkeys(names, 0.0)
            for service, names in versions.items()
        }
        return self.restore_ages(ages, now, is_complete=is_complete)

    def restore_ages(
        self,
        ages: stream_origins.AgesByService,
        now: float,
        *,
        is_complete: bool,
    ) -> frozenset[str]:
        """Applies versions that a peer observed.

        Args:
            ages: Seconds since each was observed, by service and version.
            now: Current time, seconds.
            is_complete: Whether they are all recent ones.

        Returns:
            The services that are tracked now and were not before.
        """
        self._versions.restore(ages, now)
        if is_complete:
            self._complete_at = min(self._complete_at, now)
        return self.refresh(now)

    def list_ages(self, now: float) -> dict[str, dict[str, float]]:
        """Returns how long ago each recent version was observed."""
        return self._versions.list_ages(now)

    def interrupt(self, now: float) -> None:
        """Records that a version may now come and go without being seen."""
        self._complete_at = now + stream_origins.RETENTION_S

    def refresh(self, now: float) -> frozenset[str]:
        """Updates `tracked`; returns the services that were not before."""
        self.mixed = self._versions.list_mixed(now)
        self._reassigned = self.routes.list_reassigned(now)
        before, self.tracked = self.tracked, self.mixed | self._reassigned
        return self.tracked - before

    def is_complete(self, now: float) -> bool:
        """Whether every version that may have begun a stream is known."""
        return now >= self._complete_at

    def list_versions(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns the recent software versions of every service."""
        return self._versions.list_all(now)

    def list_recent(self, service: str, now: float) -> frozenset[str]:
        """Returns the recent software versions of a service."""
        return self._versions.list_recent(service, now)

    def record_begin(
        self, service: str, request_id: str, software: str, now: float
    ) -> None:
        """Records the beginning of a stream of this instance."""
        own = self._own.setdefault(service, stream_origins.StreamOrigins())
        own.record(request_id, software, now)
        self._origins.record(request_id, software, now)
        self._origins.record_services({service: (request_id,)})

    def record_end(self, service: str, request_id: str) -> None:
        """Records that a stream of this instance is complete."""
        if service in self._own:
            self._own[service].forget(request_id)

    def record(
        self,
        streams: stream_origins.OriginsByVersion,
        source: stream_origins.Source,
        now: float,
    ) -> None:
        """Records streams of other instances or of earlier processes."""
        self._origins.record_all(streams, source, now)

    def record_services(
        self, services: stream_origins.StreamsByService
    ) -> None:
        """Records the services of known streams."""
        self._origins.record_services(services)

    def inherit(
        self, streams: stream_origins.OriginsByVersion, now: float
    ) -> None:
        """Takes over what an earlier process of this instance recorded."""
        self._origins.record_all(streams, stream_origins.Source.STORE, now)
        self._inherited.record_all(streams, stream_origins.Source.STORE, now)

    def find(self, request_id: str, now: float) -> Found | None:
        """Returns the version that is recorded for a stream, or None."""
        return self._origins.find(request_id, now)

    def find_service(self, request_id: str) -> str:
        """Returns the service that began a stream, empty if unknown."""
        return self._origins.find_service(request_id)

    def group_by_service(
        self, request_ids: Iterable[str]
    ) -> dict[str, tuple[str, ...]]:
        """Returns the ids of the streams whose service others must know."""
        if not self._reassigned:
            return {}
        found = ((name, self.find_service(name)) for name in request_ids)
        return stream_origins.group_ids(
            (name, service)
            for name, service in found
            if service in self._reassigned
        )

    def find_only_version(self, service: str, now: float) -> Found | None:
        """Returns the version that must have begun any stream, or None."""
        versions = self._versions.list_recent(service, now)
        if len(versions) != 1 or not self.is_complete(now):
            return None
        return next(iter(versions)), stream_origins.Source.ONLY_VERSION

    def list_streams(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns all known streams by version, for a new link."""
        return self._origins.list_all(now)

    def list_begun(
        self, service: str, now: float
    ) -> dict[str, tuple[str, ...]]:
        """Returns the unfinished streams that this instance began."""
        own = self._own.get(service)
        return {} if own is None else own.list_all(now)

    def list_to_record(self, now: float) -> dict[str, tuple[str, ...]]:
        """Returns the streams that must outlive the process."""
        if not self.tracked:
            return {}
        found = [self._inherited.list_all(now)]
        found.extend(
            self.list_begun(name, now) for name in sorted(self.tracked)
        )
        return stream_origins.group_ids(
            (request_id, software)
            for streams in found
            for software, request_ids in streams.items()
            for request_id in request_ids
        )
