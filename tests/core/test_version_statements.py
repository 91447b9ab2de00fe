"""Tests of what instances conclude of streams that nobody knows.

Load pattern: releases of upstreams, while instances are cut off, killed and
started again at any moment. No conclusion may ever be wrong (ORDER).
"""

from collections.abc import Callable
import dataclasses
import random

from tamaracktide.core import routing_document
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries
from tamaracktide.core import version_statements

SERVICE = "llm"
ERA = 1
VERSIONS = ("v1", "v2")
NAMES = ("n1", "n2", "n3")

SEEDS = 40
STEPS_PER_SEED = 4_000


def make_document() -> routing_document.RoutingDocument:
    """Returns a document with a route whose streams may be resumed."""
    return routing_document.RoutingDocument(
        version=1,
        routes=(
            routing_document.Route(
                name="r",
                host="h",
                path_prefix="/",
                kind=routing_document.RequestKind.STREAMING,
                shares=(routing_document.Share(service=SERVICE, weight=1.0),),
                timeout_s=10.0,
                resumable=True,
            ),
        ),
        services={SERVICE: routing_document.Service(name=SERVICE)},
        limits=routing_document.Limits(),
    )


def make_entry(software: str) -> upstream_entries.UpstreamEntry:
    """Returns the entry of an upstream of a version."""
    return upstream_entries.UpstreamEntry(
        upstream=f"e-{software}",
        service=SERVICE,
        address="127.0.0.1:1",
        zone="z1",
        batch_limit=8,
        software=software,
    )


def make_own(process: str, now: float) -> version_statements.OwnVersions:
    """Returns the versions of a process that has just started."""
    own = version_statements.OwnVersions(process, now)
    own.apply_document(make_document())
    return own


@dataclasses.dataclass(slots=True)
class Process:
    """A process of an instance.

    Attributes:
        own: Versions that it may begin streams at.
        known: Versions of the streams that it knows of.
        begun: Streams that it began itself.
        others: What the others have stated, as last read.
        has_read: Whether it has read the record of the process before.
        is_cut: Whether it reaches neither the store nor the others.
        unanswered: A write that the store has applied and not answered yet.
    """

    own: version_statements.OwnVersions
    known: dict[str, str] = dataclasses.field(default_factory=dict)
    begun: dict[str, str] = dataclasses.field(default_factory=dict)
    others: version_statements.Statements = dataclasses.field(
        default_factory=version_statements.Statements
    )
    has_read: bool = False
    is_cut: bool = False
    unanswered: version_statements.Statement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The record of an instance in the store."""

    statement: version_statements.Statement
    streams: dict[str, str]
    revision: int


class Releases:
    """Instances, a store and streams that may be taken up anywhere.

    Attributes:
        concluded: Number of streams whose version followed from statements.
    """

    def __init__(self) -> None:
        """Starts the instances, none of which has begun a stream."""
        self.now = 0.0
        self.count = 0
        self.concluded = 0
        self.records: dict[str, Record] = {}
        self.streams: dict[str, str] = {}
        self.begun_at: dict[str, float] = {}
        self.used_at: dict[str, float] = {}
        self.processes: dict[str, Process] = {}
        for name in NAMES:
            self._start(name)
            self._list(self.processes[name], "v1")
            self.write(name)

    def _start(self, name: str) -> None:
        self.count += 1
        own = make_own(f"p{self.count}", self.now)
        self.processes[name] = Process(own)

    def _list(self, process: Process, software: str) -> None:
        process.own.apply_upstreams((make_entry(software),), (), self.now)

    def _list_reached(self, name: str) -> dict[str, Process]:
        if self.processes[name].is_cut:
            return {}
        return {
            other: process
            for other, process in self.processes.items()
            if other != name and not process.is_cut
        }

    def _choose_witness(self, name: str) -> version_statements.Witness:
        for other, process in sorted(self._list_reached(name).items()):
            return version_statements.Witness(other, process.own.process)
        return version_statements.Witness()

    def _make_statement(self, name: str) -> version_statements.Statement:
        own = self.processes[name].own
        return own.make_statement(ERA, self._choose_witness(name), self.now)

    def list_version(self, name: str, software: str) -> None:
        """An instance observes a version."""
        self._list(self.processes[name], software)

    def end_version(self, name: str, software: str) -> None:
        """An instance observes that the last upstream of a version ends."""
        own = self.processes[name].own
        own.apply_upstreams((), (f"e-{software}",), self.now)

    def write(self, name: str) -> None:
        """An instance records its statement and its streams."""
        self.send_write(name)
        self.answer_write(name)

    def answer_write(self, name: str) -> None:
        """The answer of the store to a write arrives, unless it is lost."""
        process = self.processes[name]
        if process.unanswered is not None and not process.is_cut:
            process.own.record_held(process.unanswered)
            process.unanswered = None

    def send_write(self, name: str) -> None:
        """The store applies a write of an instance."""
        process = self.processes[name]
        if process.is_cut or process.unanswered is not None:
            return
        if not process.has_read:
            process.has_read = True
            before = self.records.get(name)
            statement = None if before is None else before.statement
            process.own.take_over(statement, self.now)
            if before is not None:
                process.begun.update(before.streams)
                process.known.update(before.streams)
        self.count += 1
        wanted = self._make_statement(name)
        self.records[name] = Record(wanted, dict(process.begun), self.count)
        process.unanswered = wanted
        process.own.record_sent(wanted)

    def cut(self, name: str) -> None:
        """A cut begins or ends."""
        process = self.processes[name]
        process.is_cut = not process.is_cut

    def kill(self, name: str) -> None:
        """A process is killed and starts again; a cut goes on."""
        is_cut = self.processes[name].is_cut
        self._start(name)
        self._list(self.processes[name], "v1")
        self.processes[name].is_cut = is_cut

    def wait(self, seconds: float) -> None:
        """Time passes; what began too long ago is not taken up."""
        self.now += seconds
        oldest = self.now - stream_origins.RETENTION_S
        for stream, begun_at in list(self.begun_at.items()):
            if begun_at <= oldest:
                del self.begun_at[stream], self.streams[stream]

    def begin(self, name: str, software: str, is_recorded: bool) -> None:
        """An instance begins a stream, and forwards its first event.

        It first states the version. Where it has to, it waits until its
        witnesses know the stream, or until it is recorded.
        """
        process = self.processes[name]
        if software not in process.own.list_recent(SERVICE, self.now):
            return
        if software not in process.own.list_held(SERVICE, ERA):
            self.write(name)
        if software not in process.own.list_held(SERVICE, ERA):
            return
        self.count += 1
        stream = f"r{self.count}"
        process.begun[stream] = process.known[stream] = software
        reached = self._list_reached(name)
        for other in reached.values():
            other.known[stream] = software
        wanted = self._make_statement(name).own
        witnesses = version_statements.list_witnesses(
            (wanted, *process.own.list_stated(ERA)), SERVICE, software
        )
        processes = {other.own.process for other in reached.values()}
        if is_recorded and not process.is_cut:
            self.answer_write(name)
            self.write(name)
        elif any(witness.process not in processes for witness in witnesses):
            return
        self.streams[stream] = software
        self.used_at[software] = self.begun_at[stream] = self.now

    def resume(self, name: str, chance: random.Random) -> None:
        """A stream is taken up at an instance, which reads the records."""
        process = self.processes[name]
        if process.is_cut or not self.streams:
            return
        if not process.has_read:
            self.write(name)
        stream = chance.choice(sorted(self.streams))
        begun_at = self.streams[stream]
        reached = self._list_reached(name) | {name: process}
        known = [p.known[stream] for p in reached.values() if stream in p.known]
        known += [
            record.streams[stream]
            for record in self.records.values()
            if stream in record.streams
        ]
        assert set(known) <= {begun_at}
        if known:
            return
        process.others.apply(
            {
                other: (record.statement, record.revision)
                for other, record in self.records.items()
                if other != name
            },
            self.now,
        )
        denials = {other: p.own.process for other, p in reached.items()}
        # An instance that reads the store has observed what others use.
        recent = frozenset(
            software
            for software, used_at in self.used_at.items()
            if self.now < used_at + stream_origins.RETENTION_S
        )
        earlier = process.own.find_earlier(SERVICE, denials, self.now)
        others = process.others.find_possible(
            SERVICE, recent, denials, ERA, self.now
        )
        if earlier is None or others is None:
            return
        assert begun_at in earlier | others
        self.concluded += len(earlier | others) == 1

    def step(self, chance: random.Random) -> None:
        """Has one thing happen."""
        name, software = chance.choice(NAMES), chance.choice(VERSIONS)
        actions: list[tuple[int, Callable[[], None]]] = [
            (4, lambda: self.list_version(name, software)),
            (2, lambda: self.end_version(name, software)),
            (3, lambda: self.write(name)),
            (2, lambda: self.send_write(name)),
            (3, lambda: self.answer_write(name)),
            (2, lambda: self.cut(name)),
            (2, lambda: self.kill(name)),
            (1, lambda: self.wait(chance.choice((1.0, 30.0, 61.0)))),
            (12, lambda: self.begin(name, software, chance.random() < 0.2)),
            (12, lambda: self.resume(name, chance)),
        ]
        weights = [weight for weight, _ in actions]
        chance.choices(actions, weights)[0][1]()


def test_no_conclusion_joins_two_versions() -> None:
    """Guards against a stream resumed at another software version (ORDER)."""
    concluded = 0
    for seed in range(SEEDS):
        chance, releases = random.Random(seed), Releases()
        for _ in range(STEPS_PER_SEED):
            releases.step(chance)
        concluded += releases.concluded
    assert concluded > SEEDS


def test_stream_of_a_lost_process_is_of_the_version_it_had_stated() -> None:
    """Guards against refusals of what an instance cut off began (LOST).

    It knew of one version, and the others know of two by now.
    """
    releases = Releases()
    releases.cut("n1")
    for name in ("n2", "n3"):
        releases.list_version(name, "v2")
        releases.write(name)
    releases.begin("n1", "v1", is_recorded=False)
    releases.kill("n1")
    releases.resume("n2", random.Random(0))
    assert releases.concluded == 1


def test_stream_that_no_witness_knows_is_of_the_default_version() -> None:
    """Guards against refusals of what an instance cut off began (LOST).

    It had stated both versions before, and only its default one begins streams
    that its witness does not know.
    """
    releases = Releases()
    for name in NAMES:
        releases.list_version(name, "v2")
        releases.write(name)
    releases.cut("n1")
    releases.begin("n1", "v2", is_recorded=False)
    assert not releases.streams
    releases.begin("n1", "v1", is_recorded=False)
    releases.kill("n1")
    releases.resume("n2", random.Random(0))
    assert releases.concluded == 1
