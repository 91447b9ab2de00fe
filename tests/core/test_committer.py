"""Tests that a key runs at most once, whatever faults the store has."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tamaracktide.core import claim_archive
from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr
from tamaracktide.core import committer

SETTINGS = committer.CommitterSettings(
    commit_period_s=0.0, outcome_delay_s=0.0, seal_bytes=1000, retry_s=0.1
)


Reply = (
    ce.Claimed
    | ce.Duplicate
    | ce.FingerprintMismatch
    | ce.Unavailable
    | ce.OutcomeRecorded
)


class Store:
    """In-memory object store with conditional writes."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.version = 0
        self.head = b""
        self.old: tuple[int, bytes] = (0, b"")
        self.segments: dict[str, tuple[bytes, bytes]] = {}
        self.writes = 0
        self.late_writes: list[ce.WriteHead] = []
        self.is_conditional = True

    def write(self, action: ce.WriteHead) -> bool:
        """Attempts a conditional write; returns whether it was applied."""
        expected = action.expected_version == self.version
        if self.is_conditional and not expected:
            return False
        self.old = (self.version, self.head)
        self.version += 1
        self.head = action.data
        self.writes += 1
        return True


class Node:
    """A committer with its calls in flight."""

    def __init__(
        self,
        store: Store,
        settings: committer.CommitterSettings = SETTINGS,
    ) -> None:
        """Starts a committer on the store."""
        self.store = store
        self.core = committer.Committer(settings)
        self.calls: list[ce.CommitterAction] = []
        self.replies: list[Reply] = []

    def feed(self, event: ce.CommitterEvent, now: float) -> None:
        """Feeds one event; separates the actions into calls and replies."""
        for action in self.core.handle(event, now, 1e9 + now):
            match action:
                case (
                    ce.Claimed()
                    | ce.Duplicate()
                    | ce.FingerprintMismatch()
                    | ce.Unavailable()
                    | ce.OutcomeRecorded()
                ):
                    self.replies.append(action)
                case ce.WakeAt():
                    pass
                case _:
                    self.calls.append(action)

    def execute(
        self, action: ce.CommitterAction, fault: str
    ) -> ce.CommitterEvent | None:
        """Executes one call against the store with a fault injected."""
        store = self.store
        match action:
            case ce.ReadHead():
                if fault == "lost":
                    return ce.StoreFailed()
                version, head = (
                    store.old
                    if fault == "stale"
                    else (store.version, store.head)
                )
                return ce.HeadRead(head, version)
            case ce.WriteHead():
                if fault == "late":
                    store.late_writes.append(action)
                    return ce.HeadWriteUncertain()
                applied = store.write(action)
                if fault == "lost":
                    return ce.HeadWriteUncertain()
                if applied:
                    return ce.HeadWritten(store.version)
                return ce.HeadWriteConflict()
            case _:
                return self.execute_segment_call(action)

    def execute_segment_call(
        self, action: ce.CommitterAction
    ) -> ce.CommitterEvent | None:
        """Executes a call on a segment without faults."""
        stored = self.store.segments
        match action:
            case ce.StoreSegment(segment_id, data, filter_data):
                stored[segment_id] = (data, filter_data)
                return ce.SegmentStored(segment_id)
            case ce.ReadFilter(segment_id) | ce.ReadSegment(segment_id):
                if segment_id not in stored:
                    return ce.SegmentMissing(segment_id)
                data, filter_data = stored[segment_id]
                if isinstance(action, ce.ReadFilter):
                    return ce.FilterRead(segment_id, filter_data)
                return ce.SegmentRead(segment_id, data)
            case ce.DeleteSegment(segment_id):
                stored.pop(segment_id, None)
        return None


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Gateways resend keys to two committers that share a faulty store."""

    def __init__(self) -> None:
        """Starts two committers on one store."""
        super().__init__()
        self.store = Store()
        self.nodes = [Node(self.store), Node(self.store)]
        self.now = 0.0
        self.attempts: dict[str, tuple[str, bytes]] = {}
        self.waiting: set[str] = set()
        self.ran: dict[bytes, str] = {}

    @stateful.rule(key=st.integers(0, 1), node=st.integers(0, 1))
    def claim(self, key: int, node: int) -> None:
        """A client sends a key to any gateway."""
        attempt_id = f"a{len(self.attempts)}"
        key_hash = cr.hash_key("customer", str(key))
        self.attempts[attempt_id] = ("waiting", key_hash)
        self.nodes[node].feed(
            ce.Claim(attempt_id=attempt_id, key_hash=key_hash, fingerprint="f"),
            self.now,
        )

    @stateful.rule(node=st.integers(0, 1), data=st.data())
    def resend(self, node: int, data: st.DataObject) -> None:
        """A gateway without a reply resends, perhaps to the other committer."""
        waiting = [a for a, (s, _) in self.attempts.items() if s == "waiting"]
        if not waiting:
            return
        attempt_id = data.draw(st.sampled_from(waiting))
        key_hash = self.attempts[attempt_id][1]
        claim = ce.Claim(
            attempt_id=attempt_id, key_hash=key_hash, fingerprint="f"
        )
        self.nodes[node].feed(claim, self.now)

    @stateful.rule(
        node=st.integers(0, 1),
        fault=st.sampled_from(["", "", "", "lost", "late", "stale"]),
    )
    def answer_calls(self, node: int, fault: str) -> None:
        """Completes the calls that a committer has in flight."""
        calls, self.nodes[node].calls = self.nodes[node].calls, []
        for action in calls:
            event = self.nodes[node].execute(action, fault)
            if event is not None:
                self.nodes[node].feed(event, self.now)

    @stateful.rule()
    def deliver_late_write(self) -> None:
        """A write that its sender has abandoned reaches the store."""
        if self.store.late_writes:
            self.store.write(self.store.late_writes.pop(0))

    @stateful.rule(node=st.integers(0, 1))
    def tick(self, node: int) -> None:
        """Advances the clock by one second."""
        self.now += 1.0
        self.nodes[node].feed(ce.Tick(), self.now)

    @stateful.rule(
        node=st.integers(0, 1),
        outcome=st.sampled_from(["completed", "unknown", "released"]),
    )
    def read_replies(self, node: int, outcome: str) -> None:
        """A gateway reads and handles its replies."""
        replies, self.nodes[node].replies = self.nodes[node].replies, []
        for reply in replies:
            self.handle_reply(reply, self.nodes[node], outcome)

    def handle_reply(self, reply: Reply, node: Node, outcome: str) -> None:
        """Runs a claimed request once, or abandons the attempt."""
        if isinstance(reply, ce.OutcomeRecorded):
            return
        state, key_hash = self.attempts[reply.attempt_id]
        if state != "waiting":
            return
        self.attempts[reply.attempt_id] = ("done", key_hash)
        if isinstance(reply, ce.Duplicate | ce.FingerprintMismatch):
            return
        final: cr.ClaimState | None = None
        if isinstance(reply, ce.Claimed) and outcome != "released":
            assert key_hash not in self.ran, "the key ran twice"
            self.ran[key_hash] = reply.attempt_id
            final = cr.ClaimState(outcome)
        finish = ce.ClaimOutcome(
            attempt_id=reply.attempt_id, key_hash=key_hash, state=final
        )
        node.feed(finish, self.now)


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


class UnconditionalMachine(ClaimMachine):
    """The same run over a store that ignores the condition."""

    def __init__(self) -> None:
        """Takes the condition away."""
        super().__init__()
        self.store.is_conditional = False


def test_claims_need_the_conditional_write() -> None:
    """Without the condition, the machine finds a key that runs twice."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            UnconditionalMachine,
            settings=hypothesis.settings(
                TestClaimMachine.settings,
                phases=[hypothesis.Phase.generate],
            ),
        )


def drain(node: Node, now: float) -> None:
    """Completes every call without faults."""
    while node.calls:
        event = node.execute(node.calls.pop(0), "")
        if event is not None:
            node.feed(event, now)


def make_claim(number: int) -> ce.Claim:
    """Returns a claim on a distinct key."""
    return ce.Claim(
        attempt_id=f"a{number}",
        key_hash=cr.hash_key("customer", str(number)),
        fingerprint="f",
    )


def complete_claim(node: Node, number: int) -> None:
    """Claims a distinct key and reports its outcome, without faults."""
    claim = make_claim(number)
    node.feed(claim, float(number))
    drain(node, float(number))
    finish = ce.ClaimOutcome(
        attempt_id=claim.attempt_id,
        key_hash=claim.key_hash,
        state=cr.ClaimState.COMPLETED,
        status=200,
        body=b"x" * 20,
    )
    node.feed(finish, float(number))
    drain(node, float(number))


@pytest.mark.parametrize(
    ("body", "is_complete", "kept"),
    [
        (b"", True, True),
        (b"", False, False),
        (b"x" * 4096, True, True),
        (b"x" * 4097, True, False),
    ],
)
def test_empty_body_is_distinguished_from_one_that_was_not_kept(
    body: bytes, is_complete: bool, kept: bool
) -> None:
    """A duplicate reports whether the stored body is complete."""
    node = Node(Store())
    claim = make_claim(0)
    node.feed(claim, 0.0)
    drain(node, 0.0)
    finish = ce.ClaimOutcome(
        attempt_id=claim.attempt_id,
        key_hash=claim.key_hash,
        state=cr.ClaimState.COMPLETED,
        status=200,
        body=body,
        body_kept=is_complete,
    )
    node.feed(finish, 1.0)
    drain(node, 1.0)
    node.feed(dataclasses.replace(claim, attempt_id="again"), 2.0)
    drain(node, 2.0)
    duplicate = node.replies[-1]
    assert isinstance(duplicate, ce.Duplicate)
    assert duplicate.record.body_kept is kept
    assert duplicate.record.body == (body if kept else b"")


def test_queued_claims_share_one_write() -> None:
    """A batch of claims needs at most two conditional writes."""
    node = Node(Store())
    for number in range(50):
        node.feed(make_claim(number), 0.0)
    drain(node, 0.0)
    claimed = [r for r in node.replies if isinstance(r, ce.Claimed)]
    assert len(claimed) == 50
    assert node.store.writes <= 2


def test_sealed_key_is_found_by_a_new_committer() -> None:
    """The reply to a duplicate of a sealed key contains its record."""
    store = Store()
    node = Node(store)
    for number in range(40):
        complete_claim(node, number)
    assert store.segments
    second = Node(store)
    second.feed(dataclasses.replace(make_claim(0), attempt_id="again"), 99.0)
    drain(second, 99.0)
    (reply,) = second.replies
    assert isinstance(reply, ce.Duplicate)
    assert reply.record.state is cr.ClaimState.COMPLETED


def test_merged_segments_keep_every_key() -> None:
    """The head stays small, and a new committer finds every old key."""
    settings = dataclasses.replace(
        SETTINGS,
        archive=claim_archive.ArchiveSettings(
            recent_limit=4, merge_count=3, max_archive_keys=60
        ),
    )
    store = Store()
    node = Node(store, settings)
    for number in range(200):
        complete_claim(node, number)
    listed = node.core.head.segments
    assert len(listed) < 4 + 200 // 30
    assert any(entry.is_archive for entry in listed)
    assert {entry.segment_id for entry in listed} == set(store.segments)
    second = Node(store, settings)
    for number in range(200):
        duplicate = dataclasses.replace(make_claim(number), attempt_id="again")
        second.feed(duplicate, 999.0)
        drain(second, 999.0)
    states = [
        r.record.state for r in second.replies if isinstance(r, ce.Duplicate)
    ]
    assert states == [cr.ClaimState.COMPLETED] * 200


def test_outage_refuses_queued_claims_at_once() -> None:
    """A failed read fails every queued claim as unavailable."""
    node = Node(Store())
    node.feed(make_claim(0), 0.0)
    node.feed(ce.StoreFailed(), 0.0)
    assert node.replies == [ce.Unavailable("a0")]


def test_other_request_under_the_same_key_is_rejected() -> None:
    """A request with another fingerprint than the key's is not run."""
    node = Node(Store())
    node.feed(make_claim(0), 0.0)
    drain(node, 0.0)
    other = dataclasses.replace(
        make_claim(0), attempt_id="b", fingerprint="other"
    )
    node.feed(other, 1.0)
    drain(node, 1.0)
    assert node.replies[-1] == ce.FingerprintMismatch("b")


def test_claim_of_a_failed_gateway_becomes_unknown() -> None:
    """A claim without an outcome is reported as unknown after the limit."""
    node = Node(Store())
    node.feed(make_claim(0), 0.0)
    drain(node, 0.0)
    after_limit = SETTINGS.pending_limit_s + 1.0
    node.feed(dataclasses.replace(make_claim(0), attempt_id="b"), after_limit)
    drain(node, after_limit)
    reply = node.replies[-1]
    assert isinstance(reply, ce.Duplicate)
    assert reply.record.state is cr.ClaimState.UNKNOWN
