"""Two holders never have the right to order within the quiet time."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import leases

RIGHT_S = 9.0
QUIET_S = 3.2


def _make(holder: str) -> leases.Lease:
    return leases.Lease(
        leases.LeaseSettings(holder=holder, right_s=RIGHT_S, quiet_s=QUIET_S)
    )


def _take(lease: leases.Lease, revision: int, now: float) -> leases.Write:
    write = lease.propose("w", now)
    assert write is not None
    lease.record_write(write, revision, now)
    return write


def test_right_ends_by_itself() -> None:
    """Without a renewal no order may begin after the right, less an order."""
    lease = _make("a")
    _take(lease, 1, 100.0)
    assert lease.is_held(108.0)
    assert not lease.is_held(108.6)
    assert lease.needs_renewal(103.0)


def test_right_counts_from_the_start_of_the_call() -> None:
    """A renewal that is answered late gives no more than one sent early."""
    lease = _make("a")
    write = lease.propose("w", 100.0)
    assert write is not None
    lease.record_write(write, 1, 100.0)
    assert not lease.is_held(109.0)


def test_another_waits_out_the_right_and_the_quiet_time() -> None:
    """A takeover is proposed only after the right and the quiet time."""
    holder, other = _make("a"), _make("b")
    write = _take(holder, 1, 100.0)
    other.record_read(write.record, 1, 100.1)
    assert other.propose("w", 112.0) is None
    taken = other.propose("w", 112.4)
    assert taken is not None
    assert taken.record.epoch == 2
    assert taken.revision == 1


def test_holder_that_is_heard_shortens_the_wait_only_for_its_revision() -> None:
    """What the holder says of an older record does not bound a newer one."""
    other = _make("b")
    record = leases.LeaseRecord(holder="a", epoch=1, renewal="r")
    other.record_read(record, 7, 100.0)
    other.record_notice(6, 1.0, 100.0)
    assert other.propose("w", 106.0) is None
    other.record_notice(7, 1.0, 100.0)
    assert other.propose("w", 104.3) is not None


def test_same_machine_takes_its_lease_back_at_once() -> None:
    """A process that starts again on the holder's machine need not wait."""
    again = _make("a")
    record = leases.LeaseRecord(holder="a", epoch=3, renewal="r")
    again.record_read(record, 5, 100.0)
    write = again.propose("w", 100.0)
    assert write is not None
    assert write.record.epoch == 4


@dataclasses.dataclass
class _Order:
    holder: str
    at: float
    epoch: int


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three instances, late writes, lost answers and suspensions."""

    def __init__(self) -> None:
        """Starts with an empty store."""
        super().__init__()
        self.now = 0.0
        self.record: leases.LeaseRecord | None = None
        self.revision = 0
        self.leases = {name: _make(name) for name in "abc"}
        self.late: list[tuple[str, leases.Write, float]] = []
        self.orders: list[_Order] = []
        self.epochs: dict[int, str] = {}

    names = strategies.sampled_from("abc")

    @stateful.rule(seconds=strategies.floats(0.1, 8.0))
    def wait(self, seconds: float) -> None:
        """Lets time pass, for suspended processes too."""
        self.now += seconds

    @stateful.rule(name=names)
    def read(self, name: str) -> None:
        """An instance reads the object."""
        self.leases[name].record_read(self.record, self.revision, self.now)

    @stateful.rule(name=names, answered=strategies.booleans())
    def write(self, name: str, answered: bool) -> None:
        """An instance writes; the answer may be lost."""
        write = self.leases[name].propose("w", self.now)
        if write is None:
            return
        if self._apply(write) and answered:
            lease = self.leases[name]
            lease.record_write(write, self.revision, self.now)

    @stateful.rule(name=names)
    def write_late(self, name: str) -> None:
        """A write is on its way for a while."""
        write = self.leases[name].propose("w", self.now)
        if write is not None:
            self.late.append((name, write, self.now))

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def deliver(self) -> None:
        """The oldest late write is carried out and answered."""
        name, write, started_at = self.late.pop(0)
        if self._apply(write):
            self.leases[name].record_write(write, self.revision, started_at)

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        """An instance forgets everything."""
        self.leases[name] = _make(name)
        self.late = [one for one in self.late if one[0] != name]

    @stateful.rule(name=names)
    def tell(self, name: str) -> None:
        """A holder tells the others what is left of its right."""
        lease = self.leases[name]
        left_s = lease.find_remaining_term_s(self.now)
        for other in self.leases.values():
            if other is not lease:
                other.record_notice(lease.revision, left_s, self.now)

    @stateful.rule(name=names)
    def order(self, name: str) -> None:
        """An instance orders if it may."""
        lease = self.leases[name]
        if lease.is_held(self.now):
            self.orders.append(_Order(name, self.now, lease.epoch))

    def _apply(self, write: leases.Write) -> bool:
        if write.revision != self.revision:
            return False
        self.record, self.revision = write.record, self.revision + 1
        return True

    @stateful.invariant()
    def holders_keep_their_distance(self) -> None:
        """Orders of two holders lie at least the quiet time apart."""
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            if before.holder != after.holder:
                assert after.at - before.at >= QUIET_S - 0.01
                assert after.epoch > before.epoch


TestLeases = LeaseMachine.TestCase
TestLeases.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
