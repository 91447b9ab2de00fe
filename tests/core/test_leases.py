"""Tests that orders of two lease holders are a quiet period apart."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import leases

TERM_S = 9.0
QUIET_S = 3.2


def _make_lease(holder: str) -> leases.Lease:
    return leases.Lease(
        leases.LeaseSettings(holder=holder, term_s=TERM_S, quiet_s=QUIET_S)
    )


def _acquire(lease: leases.Lease, revision: int, now: float) -> leases.Write:
    write = lease.propose("w", now)
    assert write is not None
    lease.record_write(write, revision, now)
    return write


def test_lease_term_expires() -> None:
    """Without a renewal, no order starts that could outlast the term.

    The term ends for new orders early by the time that an order takes.
    """
    lease = _make_lease("a")
    _acquire(lease, 1, 100.0)
    assert lease.is_held(108.0)
    assert not lease.is_held(108.6)
    assert lease.needs_renewal(103.0)


def test_lease_term_starts_with_the_renewal_call() -> None:
    """A late response to a renewal does not extend the lease term."""
    lease = _make_lease("a")
    write = lease.propose("w", 100.0)
    assert write is not None
    lease.record_write(write, 1, 100.0)
    assert not lease.is_held(109.0)


def test_takeover_waits_for_the_term_and_the_quiet_period() -> None:
    """A takeover is proposed only after the term and the quiet period."""
    holder, peer = _make_lease("a"), _make_lease("b")
    write = _acquire(holder, 1, 100.0)
    peer.record_read(write.record, 1, 100.1)
    assert peer.propose("w", 112.0) is None
    takeover = peer.propose("w", 112.4)
    assert takeover is not None
    assert takeover.record.epoch == 2
    assert takeover.revision == 1


def test_notice_shortens_the_wait_only_for_its_revision() -> None:
    """A notice about an older revision does not bound a newer term."""
    peer = _make_lease("b")
    record = leases.LeaseRecord(holder="a", epoch=1, renewal="r")
    peer.record_read(record, 7, 100.0)
    peer.record_notice(6, 1.0, 100.0)
    assert peer.propose("w", 106.0) is None
    peer.record_notice(7, 1.0, 100.0)
    assert peer.propose("w", 104.3) is not None


def test_same_machine_reacquires_its_lease_immediately() -> None:
    """A process that restarts on the holder's machine does not wait."""
    restarted = _make_lease("a")
    record = leases.LeaseRecord(holder="a", epoch=3, renewal="r")
    restarted.record_read(record, 5, 100.0)
    write = restarted.propose("w", 100.0)
    assert write is not None
    assert write.record.epoch == 4


@dataclasses.dataclass
class _Order:
    holder: str
    at: float
    epoch: int


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three instances with delayed writes, lost replies and suspensions."""

    def __init__(self) -> None:
        """Starts with an empty store."""
        super().__init__()
        self.now = 0.0
        self.record: leases.LeaseRecord | None = None
        self.revision = 0
        self.leases = {name: _make_lease(name) for name in "abc"}
        self.delayed: list[tuple[str, leases.Write, float]] = []
        self.orders: list[_Order] = []
        self.epochs: dict[int, str] = {}

    names = strategies.sampled_from("abc")

    @stateful.rule(seconds=strategies.floats(0.1, 8.0))
    def wait(self, seconds: float) -> None:
        """Advances the clock, including that of suspended processes."""
        self.now += seconds

    @stateful.rule(name=names)
    def read(self, name: str) -> None:
        """An instance reads the object."""
        self.leases[name].record_read(self.record, self.revision, self.now)

    @stateful.rule(name=names, answered=strategies.booleans())
    def write(self, name: str, answered: bool) -> None:
        """An instance writes; the reply may be lost."""
        write = self.leases[name].propose("w", self.now)
        if write is None:
            return
        if self._apply(write) and answered:
            lease = self.leases[name]
            lease.record_write(write, self.revision, self.now)

    @stateful.rule(name=names)
    def delay_write(self, name: str) -> None:
        """An instance writes; the write is delayed."""
        write = self.leases[name].propose("w", self.now)
        if write is not None:
            self.delayed.append((name, write, self.now))

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule()
    def deliver_delayed(self) -> None:
        """The oldest delayed write is applied and answered."""
        name, write, started_at = self.delayed.pop(0)
        if self._apply(write):
            self.leases[name].record_write(write, self.revision, started_at)

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        """An instance restarts without its state."""
        self.leases[name] = _make_lease(name)
        self.delayed = [entry for entry in self.delayed if entry[0] != name]

    @stateful.rule(name=names)
    def report(self, name: str) -> None:
        """A holder reports the rest of its lease term to the others."""
        lease = self.leases[name]
        left_s = lease.find_remaining_term_s(self.now)
        for peer in self.leases.values():
            if peer is not lease:
                peer.record_notice(lease.revision, left_s, self.now)

    @stateful.rule(name=names)
    def order(self, name: str) -> None:
        """An instance sends an order if it holds the lease."""
        lease = self.leases[name]
        if lease.is_held(self.now):
            self.orders.append(_Order(name, self.now, lease.epoch))

    def _apply(self, write: leases.Write) -> bool:
        if write.revision != self.revision:
            return False
        self.record, self.revision = write.record, self.revision + 1
        return True

    @stateful.invariant()
    def orders_of_two_holders_are_separated(self) -> None:
        """Orders of two holders are at least the quiet period apart."""
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            if before.holder != after.holder:
                assert after.at - before.at >= QUIET_S - 0.01
                assert after.epoch > before.epoch


TestLeases = LeaseMachine.TestCase
TestLeases.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
