"""A scheduler's share of the weight store's load rate, and loans between peers.

Each cell has a base share, which its owner uses without coordination, so that
it remains available during a network partition. The base shares of all cells
add up to the store's limit. An owner lends unneeded rate for a short time. The
same rate is never used twice:

- A lender counts a loan as used for its duration and a margin.
- A borrower uses a loan for its duration from the time of its request, on its
  own clock. The lender starts counting later, so a loan expires in time even
  if the offer was delayed in the network or by a paused process.
- A new owner of a cell, also after a restart, has no record of the loans of
  the previous owner. It leaves the lendable fraction unused until any such
  loan has expired.

Amounts are loads per second; loads in flight are shared in the same
proportion.
"""

from collections.abc import Mapping
import dataclasses

from tamaracktide import invariants

_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareSettings:
    """Settings of loans of the weight store's load rate.

    Attributes:
        duration_s: Time after its request that a borrower may use a loan.
        margin_s: Additional time that a lender counts a loan as used.
        lendable: Fraction of a base share that may be lent.
        floor: Fraction of its base share that an idle cell retains.
        smallest: Minimum amount of a loan, loads per second.
    """

    duration_s: float = 3.0
    margin_s: float = 2.0
    lendable: float = 0.5
    floor: float = 0.25
    smallest: float = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """An offered loan.

    Attributes:
        ask_id: Id of the loan request that it responds to.
        amount: Lent rate, loads per second.
        duration_s: Time after the request that it may be used.
    """

    ask_id: str
    amount: float
    duration_s: float


@dataclasses.dataclass(slots=True)
class _Base:
    """The base share of one owned cell.

    Attributes:
        amount: Loads per second.
        lendable_at: When the lendable fraction becomes available, as loans of
            the previous owner have expired by then.
    """

    amount: float
    lendable_at: float


class Shares:
    """Base shares and loans, lent and borrowed, of one scheduler."""

    __slots__ = (
        "_active_requests",
        "_bases",
        "_borrowed",
        "_lent",
        "_settings",
    )

    def __init__(self, settings: ShareSettings) -> None:
        """Creates shares without cells."""
        self._settings = settings
        self._bases: dict[str, _Base] = {}
        self._lent: list[tuple[float, float]] = []
        self._borrowed: list[tuple[float, float]] = []
        self._active_requests: dict[str, float] = {}

    @property
    def kept(self) -> float:
        """Fraction of a base share that is never lent."""
        return 1.0 - self._settings.lendable

    def set_bases(self, bases: Mapping[str, float], now: float) -> None:
        """Sets the owned cells and their base shares."""
        hold_s = self._settings.duration_s + self._settings.margin_s
        for cell in self._bases.keys() - bases.keys():
            del self._bases[cell]
        for cell, amount in bases.items():
            base_share = self._bases.get(cell)
            if base_share is None:
                self._bases[cell] = _Base(amount, now + hold_s)
            else:
                base_share.amount = amount

    def record_request(self, ask_id: str, now: float) -> None:
        """Records a loan request to a peer."""
        self._drop_expired(now)
        self._active_requests[ask_id] = now + self._settings.duration_s

    def lend(self, ask_id: str, requested: float, now: float) -> Offer | None:
        """Returns a loan for a peer's request, or None."""
        self._drop_expired(now)
        amount = min(requested, self.find_lendable(now))
        if amount < self._settings.smallest:
            return None
        duration_s = self._settings.duration_s
        until = now + duration_s + self._settings.margin_s
        self._lent.append((until, amount))
        invariants.check(
            self._sum_lent() <= self._sum_lendable(now) + _TOLERANCE,
            f"{self._sum_lent():g} loads/s lent, but only"
            f" {self._sum_lendable(now):g} are lendable",
        )
        return Offer(ask_id, amount, duration_s)

    def accept_offer(self, offer: Offer, now: float) -> bool:
        """Applies a loan; returns whether it can still be used.

        A duplicate or unrequested offer is ignored.
        """
        self._drop_expired(now)
        expires_at = self._active_requests.pop(offer.ask_id, None)
        if expires_at is None or not 0.0 < offer.amount < float("inf"):
            return False
        requested_at = expires_at - self._settings.duration_s
        expires_at = min(expires_at, requested_at + offer.duration_s)
        if expires_at <= now:
            return False
        self._borrowed.append((expires_at, offer.amount))
        return True

    def find_usable(self, now: float) -> float:
        """Returns the loads per second that all owned cells may start."""
        self._drop_expired(now)
        own = sum(
            base.amount * (self.kept if now < base.lendable_at else 1.0)
            for base in self._bases.values()
        )
        borrowed = sum(amount for _, amount in self._borrowed)
        return max(0.0, own - self._sum_lent()) + borrowed

    def find_lendable(self, now: float) -> float:
        """Returns the loads per second that may be lent now."""
        self._drop_expired(now)
        return max(0.0, self._sum_lendable(now) - self._sum_lent())

    def divide(
        self, needs: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Returns each cell's allotment of the usable rate, by need.

        Args:
            needs: Relative need for loads of each owned cell.
            now: Current time, seconds.
        """
        usable = self.find_usable(now)
        total = sum(base.amount for base in self._bases.values())
        total_need = sum(needs.get(cell, 0.0) for cell in self._bases)
        floor = self._settings.floor if total_need else 1.0
        allotments = {}
        for cell, base in self._bases.items():
            allotment = floor * base.amount / total
            if total_need:
                allotment += (1.0 - floor) * needs.get(cell, 0.0) / total_need
            allotments[cell] = usable * allotment
        invariants.check(
            sum(allotments.values()) <= usable + _TOLERANCE,
            f"allotments {allotments} exceed {usable:g} loads/s",
        )
        return allotments

    def _sum_lendable(self, now: float) -> float:
        """Returns the lendable rate, lent or not, without newly owned cells."""
        return self._settings.lendable * sum(
            base.amount
            for base in self._bases.values()
            if now >= base.lendable_at
        )

    def _sum_lent(self) -> float:
        return sum(amount for _, amount in self._lent)

    def _drop_expired(self, now: float) -> None:
        self._lent = [loan for loan in self._lent if now < loan[0]]
        self._borrowed = [loan for loan in self._borrowed if now < loan[0]]
        self._active_requests = {
            k: at for k, at in self._active_requests.items() if now < at
        }
