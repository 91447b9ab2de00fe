"""Tests of which process of an upstream a connection leads to.

Load pattern: engines start again under their ids and addresses while streams
begin and go on there, before their new entries are known.
"""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import connected_processes
from tamaracktide.core import upstream_entries

ADDRESS = "127.0.0.1:1"
Verdict = connected_processes.Verdict

indexes = strategies.integers(0, 100)


def make_entry(started_ms: int) -> upstream_entries.UpstreamEntry:
    """Returns an entry that names the start of a process."""
    return upstream_entries.UpstreamEntry(
        upstream="e1",
        service="llm",
        address=ADDRESS,
        zone="z1",
        batch_limit=8,
        software=f"v{started_ms}",
        started_ms=started_ms,
    )


def test_report_tells_the_start_for_all_open_connections() -> None:
    """Also for those that are opened while one of them is open."""
    processes = connected_processes.ConnectedProcesses()
    first = processes.open(ADDRESS)
    second = processes.open(ADDRESS)
    second.record_report(1, 0.0)
    assert first.judge(make_entry(1)) is Verdict.ATTESTED
    assert not processes.close(first)
    third = processes.open(ADDRESS)
    assert third.judge(make_entry(1)) is Verdict.ATTESTED
    assert third.judge(make_entry(2)) is Verdict.DIFFERS


def test_nothing_is_known_once_all_connections_have_ended() -> None:
    """Guards against a stream that goes on after a restart in place (ORDER)."""
    processes = connected_processes.ConnectedProcesses()
    first = processes.open(ADDRESS)
    first.record_report(1, 0.0)
    assert processes.close(first)
    assert processes.open(ADDRESS).judge(make_entry(1)) is Verdict.UNKNOWN


def test_late_report_says_nothing_of_the_next_process() -> None:
    """It counts for the process that its connection led to."""
    processes = connected_processes.ConnectedProcesses()
    first = processes.open(ADDRESS)
    processes.close(first)
    second = processes.open(ADDRESS)
    first.record_report(1, 0.0)
    assert second.judge(make_entry(1)) is Verdict.UNKNOWN


def test_contradicting_reports_attest_nothing() -> None:
    """Several processes serve at the address, as behind a proxy."""
    process = connected_processes.ConnectedProcesses().open(ADDRESS)
    for started_ms in (1, 2, 1):
        process.record_report(started_ms, 0.0)
    assert process.judge(make_entry(1)) is Verdict.UNKNOWN
    assert not process.needs_report(100.0)


def test_failed_report_is_requested_again_after_a_while() -> None:
    """A process that does not report is not asked for each stream."""
    process = connected_processes.ConnectedProcesses().open(ADDRESS)
    assert process.needs_report(0.0)
    process.record_failure(0.0)
    assert process.has_failed
    assert not process.needs_report(0.5)
    assert process.needs_report(connected_processes.RETRY_PERIOD_S)
    process.record_report(1, 1.0)
    assert not process.has_failed
    assert not process.needs_report(100.0)


def test_unlisted_process_is_told_from_every_listed_version() -> None:
    """Also if its start is not known."""
    entry = make_entry(1)
    names = {
        connected_processes.name_unlisted(entry, started_ms)
        for started_ms in (None, 1, 2)
    }
    assert len(names | {entry.software}) == 4


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection as the test and as the instance see it."""

    real_start: int
    process: connected_processes.Process
    has_ended: bool = False


class ProcessMachine(stateful.RuleBasedStateMachine):
    """An upstream that starts again while reports and entries are late."""

    def __init__(self) -> None:
        """Starts with the first process of the upstream."""
        super().__init__()
        self.processes = connected_processes.ConnectedProcesses()
        self.start = 1
        self.entry = make_entry(1)
        self.open: list[Connection] = []
        self.reports: list[tuple[connected_processes.Process, int]] = []

    def _close(self, connection: Connection) -> None:
        self.open.remove(connection)
        self.processes.close(connection.process)

    @stateful.rule()
    def connect(self) -> None:
        """Opens a connection; ends that have arrived are seen before."""
        for ended in [c for c in self.open if c.has_ended]:
            self._close(ended)
        process = self.processes.open(ADDRESS)
        self.open.append(Connection(self.start, process))

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(index=indexes)
    def end(self, index: int) -> None:
        """Ends a connection, of a living process or one that has ended."""
        self._close(self.open[index % len(self.open)])

    @stateful.rule()
    def restart(self) -> None:
        """Starts the upstream again; the instance reads the ends later."""
        self.start += 1
        for connection in self.open:
            connection.has_ended = True

    @stateful.precondition(lambda self: any(not c.has_ended for c in self.open))
    @stateful.rule(index=indexes)
    def answer(self, index: int) -> None:
        """Sends a report on a connection, which may arrive much later."""
        alive = [c for c in self.open if not c.has_ended]
        connection = alive[index % len(alive)]
        self.reports.append((connection.process, connection.real_start))

    @stateful.precondition(lambda self: self.reports)
    @stateful.rule(index=indexes)
    def receive_report(self, index: int) -> None:
        """Receives any of the reports that were sent."""
        process, started_ms = self.reports.pop(index % len(self.reports))
        process.record_report(started_ms, 0.0)

    @stateful.rule()
    def read_entry(self) -> None:
        """Reads the entry of the process that serves by now."""
        self.entry = make_entry(self.start)

    @stateful.invariant()
    def attested_process_is_that_of_the_entry(self) -> None:
        """A stream is never resumed at another process than the entry's."""
        for connection in self.open:
            verdict = connection.process.judge(self.entry)
            if verdict is Verdict.ATTESTED:
                assert connection.real_start == self.entry.started_ms

    @stateful.invariant()
    def reports_of_one_process_do_not_contradict(self) -> None:
        """Connections of two processes never count as those of one."""
        assert not any(c.process.is_ambiguous for c in self.open)


TestProcessMachine = ProcessMachine.TestCase
TestProcessMachine.settings = settings(derandomize=True, deadline=None)
