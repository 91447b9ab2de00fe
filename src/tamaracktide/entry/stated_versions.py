"""Which software versions may have begun a stream that nobody knows.

Each instance states in the store which versions it may begin streams at, before
the first event of such a stream is forwarded. What others have stated counts
only if it was read after the client's retry had arrived: an instance that is
cut off in silence cannot tell otherwise that it misses a version.
"""

import collections
from collections.abc import Callable

import anyio

from tamaracktide.core import version_statements
from tamaracktide.observability import logs

HOLD_TIMEOUT_S = 0.4
"""Time for which the first event of a stream waits for the store: a hundred
times the latency between zones."""

UNCONFIRMED_S = 1.0
"""Time for which streams begin at the default version only, after neither a
witness nor the store has confirmed one of another version."""

MAX_DENIED = 1_000
"""Maximum number of streams whose denials are kept."""


class StatedVersions:
    """The statements of this instance and of the others.

    Attributes:
        own: What this instance may begin streams at.
        others: What the others have stated, as last read.
        may_be_unstated: Whether an instance of a build that states nothing may
            have begun streams.
        choose_witness: Returns who is told of streams, given the present
            witness; None if streams need no witness.
    """

    def __init__(
        self, instance: str, process: str, find_era: Callable[[], int]
    ) -> None:
        """Starts without statements.

        Args:
            instance: Id of this instance.
            process: Unique id of this process.
            find_era: Returns the era of the store.
        """
        self.own = version_statements.OwnVersions(process, anyio.current_time())
        self.others = version_statements.Statements()
        self.may_be_unstated: Callable[[], bool] = lambda: False
        self.choose_witness: Callable[
            [version_statements.Witness],
            version_statements.Witness | None,
        ] = lambda _: None
        self._witness: version_statements.Witness | None = None
        self._unconfirmed_until = float("-inf")
        self._instance = instance
        self._find_era = find_era
        self._held = anyio.Event()
        self._denials: collections.OrderedDict[str, dict[str, str]] = (
            collections.OrderedDict()
        )

    def make_statement(self) -> version_statements.Statement:
        """Returns what this instance must state now."""
        present = self._witness or version_statements.Witness()
        self._witness = self.choose_witness(present)
        return self.own.make_statement(
            self._find_era(), self._witness, anyio.current_time()
        )

    def record_sent(self, statement: version_statements.Statement) -> None:
        """Records that the store may hold a statement of this instance."""
        self.own.record_sent(statement)

    def record_held(self, statement: version_statements.Statement) -> None:
        """Records that the store holds a statement of this instance."""
        self.own.record_held(statement)
        self._held.set()
        self._held = anyio.Event()

    def lacks_versions(self) -> bool:
        """Whether the store does not hold what this instance must state."""
        held = self.own.find_held(self._find_era())
        return held != self.make_statement().own

    def list_withheld(self, service: str) -> frozenset[str]:
        """Returns the versions at which no stream may begin now.

        Streams begin at the versions that the store holds instead, and at the
        default version while others are not confirmed. Where the store holds
        none, their first events wait (`hold`).
        """
        usable = self._list_held(service)
        if not usable:
            return frozenset()
        now = anyio.current_time()
        if now < self._unconfirmed_until:
            usable = frozenset(
                name
                for name in usable
                if not self.list_witnesses(service, name)
            )
        return self.own.list_recent(service, now) - usable

    async def hold(self, service: str, software: str) -> bool:
        """Waits until the store holds that streams may begin at a version.

        Returns:
            Whether a stream may begin there. An instance that could not state
            any version serves all of them.
        """
        with anyio.move_on_after(HOLD_TIMEOUT_S):
            while software not in self._list_held(service):
                await self._held.wait()
            return True
        is_allowed = not self._list_held(service)
        logs.bind(
            service=service, software=software, allowed=is_allowed
        ).warning("software version not stated in time")
        return is_allowed

    def _list_held(self, service: str) -> frozenset[str]:
        return self.own.list_held(service, self._find_era())

    def list_witnesses(
        self, service: str, software: str
    ) -> frozenset[version_statements.Witness]:
        """Returns who must know a stream of a version before it is forwarded.

        While the statement changes, these are the witnesses of both.
        """
        wanted = self.make_statement().own
        stated = (wanted, *self.own.list_stated(self._find_era()))
        return version_statements.list_witnesses(stated, service, software)

    def record_unconfirmed(self, service: str, software: str) -> None:
        """Records that nobody has confirmed a stream of a version in time."""
        self._unconfirmed_until = anyio.current_time() + UNCONFIRMED_S
        logs.bind(service=service, software=software).warning(
            "stream not confirmed by its witness; default version used"
        )

    def record_denial(
        self, request_id: str, instance: str, process: str
    ) -> None:
        """Records that a process did not begin a stream."""
        denials = self._denials.setdefault(request_id, {})
        denials[instance] = process
        while len(self._denials) > MAX_DENIED:
            self._denials.popitem(last=False)

    def find_possible(
        self,
        request_id: str,
        service: str,
        recent: frozenset[str],
        asker: tuple[str, str] = ("", ""),
    ) -> frozenset[str] | None:
        """Returns the versions that may have begun a stream nobody knows.

        Args:
            request_id: Id of the request that began it.
            service: Its service.
            recent: The service's versions that this instance has observed.
            asker: Instance that asks for the stream and its process, which did
                not begin it.

        Returns:
            The versions; None if it may be any.
        """
        now = anyio.current_time()
        own = self._instance, self.own.process
        denials = dict((asker, own)) | self._denials.get(request_id, {})
        earlier = self.own.find_earlier(service, denials, now)
        others = self.others.find_possible(
            service, recent, denials, self._find_era(), now
        )
        if earlier is None or others is None or self.may_be_unstated():
            return None
        return earlier | others
