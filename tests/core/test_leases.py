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


def _make_era(
    number: int, seen_at: float, has_earlier: bool = True
) -> leases.StoreEra:
    return leases.StoreEra(
        number=number, seen_at=seen_at, has_earlier=has_earlier
    )


def _hold_in_first_era(holder: str, revision: int) -> leases.Lease:
    """Returns a lease that was acquired at 100 s, in a store of era 1."""
    lease = _make_lease(holder)
    lease.record_era(_make_era(1, 90.0, has_earlier=False), 90.0)
    lease.record_read(None, 0, 90.0)
    _acquire(lease, revision, 100.0)
    return lease


def test_holder_stops_when_it_learns_that_the_store_was_restored() -> None:
    """It goes on once it has written its lease anew, with a higher epoch."""
    lease = _hold_in_first_era("a", 50)
    before = lease.epoch
    lease.record_era(_make_era(2, 101.0), 101.0)
    assert not lease.is_held(101.0)
    assert lease.propose("w", 101.0) is None
    restored = leases.LeaseRecord(holder="x", epoch=9, renewal="r", era=1)
    lease.record_read(restored, 30, 101.0)
    write = _acquire(lease, 31, 101.0)
    assert lease.is_held(101.0)
    assert (write.revision, write.record.era) == (30, 2)
    assert write.record.epoch > max(before, restored.epoch)


def test_restored_record_starts_a_new_wait_at_a_known_revision() -> None:
    """Guards against a takeover whose wait ended before the restoration."""
    peer = _make_lease("c")
    peer.record_era(_make_era(1, 90.0, has_earlier=False), 90.0)
    lost = leases.LeaseRecord(holder="a", epoch=1, renewal="r", era=1)
    peer.record_read(lost, 30, 90.0)
    assert peer.propose("w", 103.0) is not None
    peer.record_era(_make_era(2, 103.0), 103.0)
    peer.record_read(lost, 30, 103.1)
    peer.record_notice(30, 1.0, 103.1, era=1)
    assert peer.propose("w", 115.2) is None
    assert peer.propose("w", 115.4) is not None


def test_two_machines_take_over_a_restored_record_with_other_epochs() -> None:
    """Guards against one fencing token for two holders.

    The second one sees a record that a late call of the earlier era has put in
    the place of the first one's.
    """
    lost = leases.LeaseRecord(holder="a", epoch=1, renewal="r", era=1)
    tokens = []
    for name, revision in (("b", 30), ("c", 32)):
        lease = _make_lease(name)
        lease.record_era(_make_era(2, 100.0), 100.0)
        lease.record_read(lost, revision, 100.0)
        tokens.append(_acquire(lease, revision + 1, 120.0).record.epoch)
    assert tokens[1] > tokens[0] > lost.epoch


def test_record_missing_from_a_restored_store_is_not_free() -> None:
    """A holder of the earlier era may order until its term has ended."""
    running, started = _make_lease("b"), _make_lease("c")
    for lease in (running, started):
        lease.record_era(_make_era(2, 100.0), 100.0)
        lease.record_read(None, 0, 105.0)
        assert lease.propose("w", 112.0) is None
        assert lease.propose("w", 112.3) is not None


def test_record_missing_from_a_store_never_restored_is_free() -> None:
    """The first holder of a cell waits for nobody."""
    lease = _make_lease("a")
    lease.record_era(_make_era(1, 90.0, has_earlier=False), 90.0)
    lease.record_read(None, 0, 90.1)
    write = lease.propose("w", 90.1)
    assert write is not None
    assert write.revision == 0


def test_restored_record_does_not_prove_its_holder_was_the_last() -> None:
    """A process that restarts there waits, as others may have taken over."""
    restarted = _make_lease("a")
    restarted.record_era(_make_era(2, 100.0), 100.0)
    own = leases.LeaseRecord(holder="a", epoch=3, renewal="r", era=1)
    restarted.record_read(own, 30, 100.0)
    assert restarted.propose("w", 112.0) is None
    current = dataclasses.replace(own, era=2)
    restarted.record_read(current, 31, 112.0)
    assert restarted.propose("w", 112.0) is not None


def test_former_holder_does_not_replace_a_lease_of_the_new_era() -> None:
    """Another machine may have written its lease before this one has read."""
    lease = _hold_in_first_era("a", 50)
    lease.record_era(_make_era(2, 101.0), 101.0)
    other = leases.LeaseRecord(holder="b", epoch=5, renewal="r", era=2)
    lease.record_read(other, 31, 101.0)
    assert lease.propose("w", 101.0) is None


def test_write_of_an_earlier_era_grants_nothing() -> None:
    """A revision that was given out again may let its condition hold."""
    lease = _hold_in_first_era("a", 50)
    write = lease.propose("w", 103.0)
    assert write is not None
    lease.record_era(_make_era(2, 103.1), 103.1)
    lease.record_write(write, 51, 103.0)
    assert not lease.is_held(103.2)


class RestoredLeaseMachine(LeaseMachine):
    """The same with a store that comes back from copies.

    Instances learn of an era with the response to a call, or from a peer.
    """

    def __init__(self) -> None:
        """Starts in the first era."""
        super().__init__()
        self.era = 1
        self.copy: tuple[leases.LeaseRecord | None, int] = (None, 0)
        self.known: dict[str, int] = {}

    @stateful.rule()
    def make_copy(self) -> None:
        """The store is copied."""
        self.copy = (self.record, self.revision)

    @stateful.rule()
    def restore(self) -> None:
        """The store comes back from the copy; later changes are lost."""
        self.record, self.revision = self.copy
        self.era += 1

    @stateful.rule(name=LeaseMachine.names, peer=LeaseMachine.names)
    def learn_from_peer(self, name: str, peer: str) -> None:
        """An instance learns of the era that a peer knows."""
        self._learn(name, self.known.get(peer, 0))

    @stateful.rule(name=LeaseMachine.names)
    def read(self, name: str) -> None:
        """An instance reads the object."""
        self._learn(name, self.era)
        super().read(name)

    @stateful.rule(name=LeaseMachine.names, answered=strategies.booleans())
    def write(self, name: str, answered: bool) -> None:
        """An instance writes; the reply may be lost."""
        write = self.leases[name].propose("w", self.now)
        if write is None:
            return
        is_applied = self._apply(write)
        if not answered:
            return
        self._learn(name, self.era)
        if is_applied:
            self.leases[name].record_write(write, self.revision, self.now)

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule()
    def deliver_delayed(self) -> None:
        """The oldest delayed write is applied and answered."""
        name, write, started_at = self.delayed.pop(0)
        is_applied = self._apply(write)
        self._learn(name, self.era)
        if is_applied:
            self.leases[name].record_write(write, self.revision, started_at)

    @stateful.rule(name=LeaseMachine.names)
    def restart(self, name: str) -> None:
        """An instance restarts without its state."""
        super().restart(name)
        self.known.pop(name, None)

    @stateful.rule(name=LeaseMachine.names)
    def report(self, name: str) -> None:
        """A holder reports the rest of its lease term to the others."""
        lease = self.leases[name]
        left_s = lease.find_remaining_term_s(self.now)
        for peer in self.leases.values():
            if peer is not lease:
                peer.record_notice(
                    lease.revision, left_s, self.now, lease.era, lease.epoch
                )

    def _learn(self, name: str, number: int) -> None:
        known = self.known.get(name, 0)
        if number <= known:
            return
        self.known[name] = number
        has_earlier = known > 0 or number > leases.FIRST_ERA
        era = _make_era(number, self.now, has_earlier)
        self.leases[name].record_era(era, self.now)


TestRestoredLeases = RestoredLeaseMachine.TestCase
TestRestoredLeases.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=60, deadline=None
)
