"""Tests of the weight store's shares and loans."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import shares

LIMITS = shares.ShareSettings(duration_s=4.0, margin_s=2.0, lendable=0.75)
LIMIT = 16.0
CELLS = {f"c{number}": LIMIT / 4 for number in range(4)}
NODES = ("s1", "s2", "s3")
CLOCKS = {"s1": 0.0, "s2": 1000.0, "s3": -50.0}


def test_late_or_duplicate_offer_is_ignored() -> None:
    """A loan is used once, and never after its duration since the request."""
    borrower = shares.Shares(LIMITS)
    borrower.record_request("a", 0.0)
    borrower.record_request("b", 0.0)
    offer = shares.Offer("a", 2.0, 4.0)
    assert borrower.accept_offer(offer, 1.0)
    assert not borrower.accept_offer(offer, 1.0)
    assert borrower.find_usable(3.9) == 2.0
    assert not borrower.accept_offer(shares.Offer("b", 2.0, 4.0), 4.0)
    assert borrower.find_usable(4.0) == 0.0


def test_lender_counts_a_loan_for_longer_than_the_borrower() -> None:
    """The lender regains a loan after its duration and the margin."""
    lender = shares.Shares(LIMITS)
    lender.set_bases({"c0": 4.0}, 0.0)
    assert lender.find_usable(0.0) == 1.0
    assert lender.lend("a", 9.0, 5.9) is None
    offer = lender.lend("a", 9.0, 6.0)
    assert offer == shares.Offer("a", 3.0, 4.0)
    assert lender.find_usable(11.9) == 1.0
    assert lender.find_usable(12.0) == 4.0


def test_cells_with_need_get_the_unused_share_of_idle_cells() -> None:
    """An idle cell retains its floor; without need, base shares apply."""
    owner = shares.Shares(LIMITS)
    owner.set_bases({"c0": 4.0, "c1": 4.0}, 0.0)
    assert owner.divide({}, 10.0) == {"c0": 4.0, "c1": 4.0}
    assert owner.divide({"c0": 3.0}, 10.0) == {"c0": 7.0, "c1": 1.0}


class ShareMachine(stateful.RuleBasedStateMachine):
    """Three schedulers that restart, on an unreliable network.

    The network drops, delays and duplicates messages.
    """

    def __init__(self) -> None:
        """Assigns all cells to the first scheduler."""
        super().__init__()
        self.now = 0.0
        self.request_count = 0
        self.nodes = {name: shares.Shares(LIMITS) for name in NODES}
        self.owners = dict.fromkeys(CELLS, "s1")
        self.loan_requests: list[tuple[str, str, str]] = []
        self.offers: list[tuple[str, shares.Offer]] = []
        self._set_bases()
        self.now = 100.0

    def _clock(self, name: str) -> float:
        return self.now + CLOCKS[name]

    def _set_bases(self) -> None:
        for name, node in self.nodes.items():
            owned = {c: CELLS[c] for c, o in self.owners.items() if o == name}
            node.set_bases(owned, self._clock(name))

    @stateful.rule(seconds=strategies.sampled_from((0.5, 2.0, 3.5, 6.0)))
    def wait(self, seconds: float) -> None:
        """Time advances."""
        self.now += seconds

    @stateful.rule(
        borrower=strategies.sampled_from(NODES),
        lender=strategies.sampled_from(NODES),
    )
    def request_loan(self, borrower: str, lender: str) -> None:
        """A scheduler requests a loan; delivery is left to other rules."""
        if borrower != lender:
            self.request_count += 1
            ask_id = str(self.request_count)
            self.nodes[borrower].record_request(ask_id, self._clock(borrower))
            self.loan_requests.append((borrower, lender, ask_id))

    @stateful.rule(
        borrower=strategies.sampled_from(NODES),
        lender=strategies.sampled_from(NODES),
        delay_s=strategies.sampled_from((0.0, 0.0, 0.0, 3.0)),
        arrives=strategies.booleans(),
    )
    def lend(
        self, borrower: str, lender: str, delay_s: float, arrives: bool
    ) -> None:
        """A request is answered immediately; its offer arrives or is lost."""
        if borrower == lender:
            return
        self.request_loan(borrower, lender)
        _, _, ask_id = self.loan_requests[-1]
        offer = self.nodes[lender].lend(ask_id, LIMIT, self._clock(lender))
        self.now += delay_s
        if offer is not None and arrives:
            self.offers.append((borrower, offer))
            self.nodes[borrower].accept_offer(offer, self._clock(borrower))

    @stateful.precondition(lambda self: self.loan_requests)
    @stateful.rule(data=strategies.data(), wanted=strategies.floats(0.1, 20.0))
    def answer(self, data: strategies.DataObject, wanted: float) -> None:
        """A request arrives, possibly late or duplicated."""
        loan_request = data.draw(strategies.sampled_from(self.loan_requests))
        borrower, lender, ask_id = loan_request
        now = self._clock(lender)
        offer = self.nodes[lender].lend(ask_id, wanted, now)
        if offer is not None:
            self.offers.append((borrower, offer))

    @stateful.precondition(lambda self: self.offers)
    @stateful.rule(data=strategies.data())
    def take(self, data: strategies.DataObject) -> None:
        """An offer arrives, possibly late or duplicated."""
        borrower, offer = data.draw(strategies.sampled_from(self.offers))
        self.nodes[borrower].accept_offer(offer, self._clock(borrower))

    @stateful.rule(name=strategies.sampled_from(NODES))
    def restart(self, name: str) -> None:
        """A scheduler restarts without state and owns its cells again."""
        self.nodes[name] = shares.Shares(LIMITS)
        self._set_bases()

    @stateful.rule(
        cell=strategies.sampled_from(sorted(CELLS)),
        owner=strategies.sampled_from(NODES),
    )
    def move(self, cell: str, owner: str) -> None:
        """The owner of a cell changes."""
        self.owners[cell] = owner
        self._set_bases()

    @stateful.invariant()
    def stays_within_the_limit(self) -> None:
        """The usable rates of all schedulers add up to at most the limit."""
        used = sum(
            node.find_usable(self._clock(name))
            for name, node in self.nodes.items()
        )
        assert used <= LIMIT + 1e-6


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
