"""Which process of an upstream a connection leads to.

Load pattern: a release starts engines again one after the other, under their
ids and addresses, and streams begin and go on there before their new entries
are known, or at an instance that no entry reaches. The entry of such an engine
names a software version that its process does not have.

A process has one start, which its reports tell, and its connections end with
it. So all connections to an address that are open at one time lead to the same
process, and a connection that is opened while another one is open leads to the
process of that one. A report that arrives on any of them tells the start of the
process for all. Once none is open, nothing is known of the next process.
"""

import dataclasses
import enum

from tamaracktide.core import upstream_entries

RETRY_PERIOD_S = 1.0
"""Time after a report that failed before another one is requested."""


class Verdict(enum.Enum):
    """Whether a process is the one that an upstream's entry describes."""

    ATTESTED = "attested"
    DIFFERS = "differs"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """A process that connections to an address lead to.

    Attributes:
        address: `host:port` of the connections.
        connections: Number of its open connections.
        started_ms: Start time that it reports, Unix milliseconds; None while
            it is not known.
        reported_at: When that became known, seconds.
        failed_at: When a report of it last failed, seconds.
        is_ambiguous: Whether its reports contradict each other, so that its
            connections lead to several processes.
    """

    address: str
    connections: int = 0
    started_ms: int | None = None
    reported_at: float = float("-inf")
    failed_at: float = float("-inf")
    is_ambiguous: bool = False

    @property
    def has_failed(self) -> bool:
        """Whether it has not reported when it was asked last."""
        return self.failed_at > self.reported_at

    def needs_report(self, now: float) -> bool:
        """Whether its start is to be requested."""
        if self.started_ms is not None or self.is_ambiguous:
            return False
        return now >= self.failed_at + RETRY_PERIOD_S

    def record_report(self, started_ms: int, now: float) -> None:
        """Records the start that a report on one of its connections tells."""
        if self.started_ms not in (None, started_ms):
            self.is_ambiguous = True
        self.started_ms = None if self.is_ambiguous else started_ms
        self.reported_at = now

    def record_failure(self, now: float) -> None:
        """Records that a report has failed or did not arrive in time."""
        self.failed_at = now

    def judge(self, entry: upstream_entries.UpstreamEntry) -> Verdict:
        """Returns whether an entry describes this process."""
        if self.started_ms is None:
            return Verdict.UNKNOWN
        if self.started_ms == entry.started_ms:
            return Verdict.ATTESTED
        return Verdict.DIFFERS


class ConnectedProcesses:
    """The processes that open connections lead to, by address."""

    __slots__ = ("_by_address",)

    def __init__(self) -> None:
        """Starts without connections."""
        self._by_address: dict[str, Process] = {}

    def open(self, address: str) -> Process:
        """Returns the process of a connection that has just been opened.

        Connections whose end has arrived must be closed here before.
        """
        process = self._by_address.get(address)
        if process is None:
            process = self._by_address[address] = Process(address)
        process.connections += 1
        return process

    def close(self, process: Process) -> bool:
        """Records the end of a connection; returns whether it was the last."""
        process.connections -= 1
        if process.connections:
            return False
        del self._by_address[process.address]
        return True


def name_unlisted(
    entry: upstream_entries.UpstreamEntry, started_ms: int | None
) -> str:
    """Returns what stands for the software version of a process.

    No entry has this version, so that no stream goes on at it.

    Args:
        entry: An entry of the upstream, of an earlier or later process.
        started_ms: Start time of the process, Unix milliseconds; None if it is
            not known.
    """
    start = "?" if started_ms is None else str(started_ms)
    return f"?{entry.upstream}@{start}"
