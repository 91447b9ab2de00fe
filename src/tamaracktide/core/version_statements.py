"""Which software versions each instance may have begun streams at.

A process states a version in the store before it forwards the first event of a
stream that the version writes. So a stream that nobody knows began at a version
that some process had stated, unless this process says that it did not begin the
stream.

While a process uses several versions of a service, one of them is its default.
It forwards a stream of another version only once its witness, a process of
another instance, knows the stream; without a witness, once the store does. So
what a process began and its witness does not know is of the default version.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from tamaracktide.core import routing_document
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries

MAX_EARLIER = 4
"""Maximum number of earlier processes that are told apart."""


@dataclasses.dataclass(frozen=True, slots=True)
class Witness:
    """A process that knows the streams of another one.

    Attributes:
        instance: Its instance; empty if the store takes its place.
        process: Unique id of the process.
    """

    instance: str = ""
    process: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessVersions:
    """The versions that one process may have begun streams at.

    Attributes:
        process: Unique id of the process.
        versions: The versions by service.
        defaults: Default version by service; none where the process does not
            wait for a witness.
        witness: Who knows the streams of other versions.
    """

    process: str
    versions: dict[str, tuple[str, ...]]
    defaults: dict[str, str]
    witness: Witness

    def find_possible(
        self, service: str, denials: Mapping[str, str]
    ) -> frozenset[str]:
        """Returns the versions that may have begun a stream nobody knows.

        Args:
            service: The stream's service.
            denials: Processes that do not know the stream, by instance.
        """
        versions = frozenset(self.versions.get(service, ()))
        default = self.defaults.get(service)
        if default is None or default not in versions:
            return versions
        instance, process = self.witness.instance, self.witness.process
        if instance and denials.get(instance) != process:
            return versions
        return frozenset((default,))

    def restrict(
        self, recent: stream_origins.VersionsByService
    ) -> "ProcessVersions":
        """Returns it without the versions that are not recent."""
        kept = {
            service: tuple(n for n in names if n in recent.get(service, ()))
            for service, names in self.versions.items()
        }
        versions = {service: names for service, names in kept.items() if names}
        return dataclasses.replace(self, versions=versions)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """What an instance states in the store.

    Attributes:
        era: Era of the store in which it was written.
        own: Versions of the process that states it.
        earlier: Versions of earlier processes whose streams may be resumed.
        knows_earlier: Whether these are all.
    """

    era: int
    own: ProcessVersions
    earlier: tuple[ProcessVersions, ...]
    knows_earlier: bool

    @property
    def is_empty(self) -> bool:
        """Whether the instance has begun no stream that may be resumed."""
        return self.knows_earlier and not any(
            process.versions for process in (self.own, *self.earlier)
        )

    def find_possible(
        self, service: str, denials: Mapping[str, str], denied: str
    ) -> frozenset[str] | None:
        """Returns the versions that may have begun a stream nobody knows.

        Args:
            service: The stream's service.
            denials: Processes that do not know the stream, by instance.
            denied: Process of the instance that does not know the stream, empty
                if none has said so.

        Returns:
            The versions; None if it may be any.
        """
        if not self.knows_earlier:
            return None
        processes = list(self.earlier)
        if self.own.process != denied:
            processes.append(self.own)
        return frozenset().union(
            *(process.find_possible(service, denials) for process in processes)
        )

    def restrict(self, recent: stream_origins.VersionsByService) -> "Statement":
        """Returns it without the versions that are not recent."""
        earlier = tuple(process.restrict(recent) for process in self.earlier)
        return dataclasses.replace(
            self,
            own=self.own.restrict(recent),
            earlier=tuple(process for process in earlier if process.versions),
        )


def list_witnesses(
    stated: Iterable[ProcessVersions], service: str, software: str
) -> frozenset[Witness]:
    """Returns who must know a stream of a version before it is forwarded.

    Args:
        stated: What the process has stated, and what it is about to state.
        service: The stream's service.
        software: The version that writes it.
    """
    return frozenset(
        process.witness
        for process in stated
        if process.defaults.get(service, software) != software
    )


class OwnVersions:
    """The versions that this instance may begin streams at.

    Attributes:
        process: Unique id of this process.
    """

    __slots__ = (
        "_defaults",
        "_earlier",
        "_earlier_known_at",
        "_held",
        "_services",
        "_unanswered",
        "_usable",
        "process",
    )

    def __init__(self, process: str, now: float) -> None:
        """Starts without versions.

        What earlier processes began is unknown until `take_over`, or for as
        long as their streams may be resumed.
        """
        self.process = process
        self._usable = stream_origins.SoftwareVersions()
        self._defaults: dict[str, str] = {}
        self._earlier: tuple[tuple[float, ProcessVersions], ...] = ()
        self._earlier_known_at = now + stream_origins.RETENTION_S
        self._services: frozenset[str] = frozenset()
        self._held: Statement | None = None
        self._unanswered: tuple[Statement, ...] = ()

    def apply_document(
        self, document: routing_document.RoutingDocument
    ) -> None:
        """Applies which services have streams that may be resumed."""
        self._services = frozenset().union(
            *(route.services for route in document.routes if route.resumable)
        )

    def apply_upstreams(
        self,
        changed: Iterable[upstream_entries.UpstreamEntry],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Applies changed and removed upstreams.

        The default version of a service remains until it has no upstream.
        """
        for entry in changed:
            self._usable.set_upstream(entry, now)
        for name in removed:
            self._usable.remove_upstream(name, now)
        for service, counts in self._usable.count_upstreams().items():
            if self._defaults.get(service) not in counts:
                most = max(counts, key=lambda name: (counts[name], name))
                self._defaults[service] = most

    def record_unlisted(self, service: str, software: str, now: float) -> None:
        """Records that upstreams run a version that no entry names."""
        self._usable.restore({service: {software: 0.0}}, now)

    def take_over(self, statement: Statement | None, now: float) -> None:
        """Takes over what the earlier process of this instance stated.

        Args:
            statement: Its statement, of the store's era; None if the instance
                has never begun a stream.
            now: Current time, seconds.
        """
        if statement is None:
            self._earlier_known_at = now
            return
        if statement.own.process == self.process:
            return
        processes = _merge((statement.own, *statement.earlier))
        until = now + stream_origins.RETENTION_S
        self._earlier = tuple((until, process) for process in processes)
        if statement.knows_earlier:
            self._earlier_known_at = now

    def make_statement(
        self, era: int, witness: Witness | None, now: float
    ) -> Statement:
        """Returns what must be stated now.

        Args:
            era: Era of the store.
            witness: Who is told of streams; None if streams need no witness.
            now: Current time, seconds.
        """
        versions = {
            service: names
            for service, names in self._usable.list_all(now).items()
            if service in self._services
        }
        several = [name for name, names in versions.items() if len(names) > 1]
        is_witnessed = witness is not None and bool(several)
        return Statement(
            era=era,
            own=ProcessVersions(
                process=self.process,
                versions=versions,
                defaults={
                    name: self._defaults[name]
                    for name in several
                    if is_witnessed and name in self._defaults
                },
                witness=witness if witness and is_witnessed else Witness(),
            ),
            earlier=self._list_earlier(now),
            knows_earlier=now >= self._earlier_known_at,
        )

    def record_sent(self, statement: Statement) -> None:
        """Records what the store may hold from now on.

        A write that fails may have been applied, or may yet be.
        """
        if statement not in self._unanswered:
            self._unanswered = (*self._unanswered, statement)

    def record_held(self, statement: Statement) -> None:
        """Records what the store holds."""
        self._held = statement
        self._unanswered = ()

    def list_recent(self, service: str, now: float) -> frozenset[str]:
        """Returns the versions that streams of a service may begin at."""
        return self._usable.list_recent(service, now)

    def find_held(self, era: int) -> ProcessVersions | None:
        """Returns the versions of this process that the store holds."""
        if self._held is None or self._held.era != era:
            return None
        return self._held.own

    def list_stated(self, era: int) -> tuple[ProcessVersions, ...]:
        """Returns what the store holds or may hold, if it holds anything."""
        held = self.find_held(era)
        if held is None:
            return ()
        return held, *(statement.own for statement in self._unanswered)

    def list_held(self, service: str, era: int) -> frozenset[str]:
        """Returns the versions that streams of a service may begin at."""
        stated = self.list_stated(era)
        if not stated:
            return frozenset()
        return frozenset.intersection(
            *(frozenset(own.versions.get(service, ())) for own in stated)
        )

    def find_earlier(
        self, service: str, denials: Mapping[str, str], now: float
    ) -> frozenset[str] | None:
        """Returns the versions of earlier processes, None if unknown."""
        if now < self._earlier_known_at:
            return None
        return frozenset().union(
            *(
                process.find_possible(service, denials)
                for process in self._list_earlier(now)
            )
        )

    def _list_earlier(self, now: float) -> tuple[ProcessVersions, ...]:
        return tuple(p for until, p in self._earlier if now < until)


def _merge(
    processes: tuple[ProcessVersions, ...],
) -> tuple[ProcessVersions, ...]:
    """Returns a bounded number of processes, newest first."""
    if len(processes) <= MAX_EARLIER:
        return processes
    kept, merged = processes[: MAX_EARLIER - 1], processes[MAX_EARLIER - 1 :]
    services = {service for process in merged for service in process.versions}
    versions = {
        service: tuple(
            sorted({v for p in merged for v in p.versions.get(service, ())})
        )
        for service in sorted(services)
    }
    return (
        *kept,
        ProcessVersions(
            process="", versions=versions, defaults={}, witness=Witness()
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Stated:
    """The record of an instance as it was last read.

    Attributes:
        statement: What it states; None if its build states nothing.
        revision: Revision of the record.
        seen_at: When this revision was first read, seconds.
    """

    statement: Statement | None
    revision: int
    seen_at: float


class Statements:
    """What the other instances have stated."""

    __slots__ = ("_by_instance",)

    def __init__(self) -> None:
        """Starts without statements."""
        self._by_instance: dict[str, _Stated] = {}

    def apply(
        self,
        read: Mapping[str, tuple[Statement | None, int]],
        now: float,
    ) -> None:
        """Applies all records that were read.

        Args:
            read: Statements and the revisions of their records, by instance.
            now: Current time, seconds.
        """
        before, self._by_instance = self._by_instance, {}
        for instance, (statement, revision) in read.items():
            stated = before.get(instance)
            if stated is None or stated.revision != revision:
                stated = _Stated(statement, revision, now)
            self._by_instance[instance] = stated

    def find_possible(
        self,
        service: str,
        recent: frozenset[str],
        denials: Mapping[str, str],
        era: int,
        now: float,
    ) -> frozenset[str] | None:
        """Returns the versions at which others may have begun a stream.

        Args:
            service: The stream's service.
            recent: The service's versions that this instance has observed
                within the retention of streams.
            denials: Processes that do not know the stream, by instance.
            era: Era of the store.
            now: Current time, seconds.

        Returns:
            The versions; None if an instance may have used any.
        """
        possible: set[str] = set()
        for instance, stated in self._by_instance.items():
            statement = stated.statement
            found = None
            if statement is not None and statement.era == era:
                denied = denials.get(instance, "")
                found = statement.find_possible(service, denials, denied)
            if now >= stated.seen_at + stream_origins.RETENTION_S:
                # What this instance would have observed since has ended.
                possible |= (found or frozenset()) & recent
            elif found is None:
                return None
            else:
                possible |= found
        return frozenset(possible)
