"""A scheduler's part of the weight store's rate, and what it lends of it.

Each cell has a base share that is its owner's without asking anybody, so it
holds under a partition; the base shares of all cells are the limit. An owner
lends what it does not need for a short time. Nothing is ever used twice:

- A lender counts a loan as used for its duration and a margin.
- A borrower uses a loan for its duration counted from when it asked, on its
  own clock. The lender counted later, so an offer that was under way for long,
  or read late by a process that was paused, is over in time.
- An owner that has just got a cell, after a restart too, does not know what
  the one before has lent. It leaves the part that may be lent unused until
  any such loan is over.

Amounts are loads a second; loads in flight are shared in the same proportion.
"""

from collections.abc import Mapping
import dataclasses

from tamaracktide import invariants

_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareSettings:
    """How the rate is lent.

    Attributes:
        duration_s: Time that a borrower may use a loan after it asked.
        margin_s: Additional time that a lender counts a loan as used.
        lendable: Fraction of a base share that may be lent.
        floor: Fraction of its base share that an idle cell keeps.
        smallest: Least amount that is lent, loads a second.
    """

    duration_s: float = 3.0
    margin_s: float = 2.0
    lendable: float = 0.5
    floor: float = 0.25
    smallest: float = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A loan.

    Attributes:
        ask_id: The question that it answers.
        amount: Lent loads a second.
        duration_s: How long it may be used after the question was asked.
    """

    ask_id: str
    amount: float
    duration_s: float


@dataclasses.dataclass(slots=True)
class _Base:
    """The base share of one owned cell."""

    amount: float
    held_until: float


class Shares:
    """The base shares, loans and debts of one scheduler."""

    __slots__ = ("_asked", "_bases", "_borrowed", "_lent", "_settings")

    def __init__(self, settings: ShareSettings) -> None:
        """Starts without cells."""
        self._settings = settings
        self._bases: dict[str, _Base] = {}
        self._lent: list[tuple[float, float]] = []
        self._borrowed: list[tuple[float, float]] = []
        self._asked: dict[str, float] = {}

    @property
    def kept(self) -> float:
        """Fraction of a base share that is never lent."""
        return 1.0 - self._settings.lendable

    def set_bases(self, bases: Mapping[str, float], now: float) -> None:
        """Takes in the owned cells and their base shares."""
        hold_s = self._settings.duration_s + self._settings.margin_s
        for cell in self._bases.keys() - bases.keys():
            del self._bases[cell]
        for cell, amount in bases.items():
            known = self._bases.get(cell)
            if known is None:
                self._bases[cell] = _Base(amount, now + hold_s)
            else:
                known.amount = amount

    def ask(self, ask_id: str, now: float) -> None:
        """Notes that a peer is asked for a loan."""
        self._forget_old(now)
        self._asked[ask_id] = now + self._settings.duration_s

    def lend(self, ask_id: str, wanted: float, now: float) -> Offer | None:
        """Returns a loan for a peer that asked, or None."""
        self._forget_old(now)
        amount = min(wanted, self.find_lendable(now))
        if amount < self._settings.smallest:
            return None
        duration_s = self._settings.duration_s
        until = now + duration_s + self._settings.margin_s
        self._lent.append((until, amount))
        invariants.check(
            self._sum_lent() <= self._sum_free(now) + _TOLERANCE,
            f"{self._sum_lent():g} of {self._sum_free(now):g} loads/s lent",
        )
        return Offer(ask_id, amount, duration_s)

    def take(self, offer: Offer, now: float) -> bool:
        """Takes a loan in; returns whether it can still be used.

        An offer that comes twice, or that nobody asked for, is not used.
        """
        self._forget_old(now)
        expires_at = self._asked.pop(offer.ask_id, None)
        if expires_at is None or not 0.0 < offer.amount < float("inf"):
            return False
        asked_at = expires_at - self._settings.duration_s
        expires_at = min(expires_at, asked_at + offer.duration_s)
        if expires_at <= now:
            return False
        self._borrowed.append((expires_at, offer.amount))
        return True

    def find_usable(self, now: float) -> float:
        """Returns the loads a second that all owned cells may start."""
        self._forget_old(now)
        own = sum(
            base.amount * (self.kept if now < base.held_until else 1.0)
            for base in self._bases.values()
        )
        borrowed = sum(amount for _, amount in self._borrowed)
        return max(0.0, own - self._sum_lent()) + borrowed

    def find_lendable(self, now: float) -> float:
        """Returns the loads a second that may be lent now."""
        self._forget_old(now)
        return max(0.0, self._sum_free(now) - self._sum_lent())

    def divide(
        self, needs: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Returns each cell's part of what is usable, by need.

        Args:
            needs: How much each owned cell has to load, relative.
            now: Present time, seconds.
        """
        usable = self.find_usable(now)
        total = sum(base.amount for base in self._bases.values())
        wanted = sum(needs.get(cell, 0.0) for cell in self._bases)
        floor = self._settings.floor if wanted else 1.0
        parts = {}
        for cell, base in self._bases.items():
            part = floor * base.amount / total
            if wanted:
                part += (1.0 - floor) * needs.get(cell, 0.0) / wanted
            parts[cell] = usable * part
        invariants.check(
            sum(parts.values()) <= usable + _TOLERANCE,
            f"parts {parts} of {usable:g} loads/s",
        )
        return parts

    def _sum_free(self, now: float) -> float:
        """Returns what may be lent in all, without the cells just got."""
        return self._settings.lendable * sum(
            base.amount
            for base in self._bases.values()
            if now >= base.held_until
        )

    def _sum_lent(self) -> float:
        return sum(amount for _, amount in self._lent)

    def _forget_old(self, now: float) -> None:
        self._lent = [one for one in self._lent if now < one[0]]
        self._borrowed = [one for one in self._borrowed if now < one[0]]
        self._asked = {k: at for k, at in self._asked.items() if now < at}
