"""Keeps the usage cap of a workspace over all instances together.

Every instance has a token bucket of the whole workspace. It counts what it
admits itself and what the others report, and admits a fraction of what it is
offered, the same at all instances, such that their sum is the cap's rate. An
instance that hears only some of the others uses that share of the cap.
"""

import dataclasses
import math

from tamaracktide.core import randomness
from tamaracktide.core import workspaces

RATE_TAU_S = 0.5
"""Time constant of the rates of what is offered and admitted."""

DRAIN_S = 1.5
"""Time in which saved tokens are admitted beyond the rate. It is longer than
the age of reports, so that all instances together do not overshoot."""

SOURCE_TIMEOUT_S = 1.2
"""Time without a report after which the others are no longer heard."""

MAX_REPORT_AGE_S = 1.0
"""Age of what is known of instances in other groups."""

MIN_REPORT_PERIOD_S = 0.1
"""Least time that a report counts for; two may arrive at once."""

BURST_TOLERANCE_FRACTION = 0.2
"""Fraction of the tolerance that is added to the burst."""

DEBT_TOLERANCE_FRACTION = 0.2
"""Fraction of the tolerance by which the bucket may be overdrawn; what remains
covers usage that no report shows yet."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 8.0
RETRY_JITTER_FRACTION = 0.5
"""Spread of the return of refused clients, as a fraction of the delay."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tolerance:
    """By how much caps may be exceeded in a window.

    Attributes:
        window_s: Length of the sliding window, seconds.
        fraction: Fraction of what the cap allows in a window.
        slack: Units beyond that.
    """

    window_s: float = 10.0
    fraction: float = 0.0
    slack: float = 0.0

    def measure(self, cap: workspaces.Cap) -> float:
        """Returns the units by which a cap may be exceeded in a window."""
        allowed = cap.rate_per_s * self.window_s + cap.burst
        return self.fraction * allowed + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Usage of a workspace since the last report, in the unit of its cap.

    Attributes:
        admitted: Usage of the requests that were admitted.
        offered: Usage of all its requests.
    """

    admitted: float = 0.0
    offered: float = 0.0

    def __add__(self, other: "Usage") -> "Usage":
        """Returns the sum of two usages."""
        return Usage(
            self.admitted + other.admitted, self.offered + other.offered
        )

    def __sub__(self, other: "Usage") -> "Usage":
        """Returns the difference of two usages."""
        return Usage(
            self.admitted - other.admitted, self.offered - other.offered
        )


class _Rate:
    """Exponentially weighted rate of what is offered here."""

    __slots__ = ("_at", "_value")

    def __init__(self, now: float) -> None:
        self._value = 0.0
        self._at = now

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at a time."""
        self._value = self.find(now) + amount / RATE_TAU_S
        self._at = now

    def find(self, now: float) -> float:
        """Returns the rate at a time."""
        return self._value * math.exp((self._at - now) / RATE_TAU_S)


class _Source:
    """What the reports of another instance, or of several, say.

    Attributes:
        admitted_rate: Usage per second that it admits.
        offered_rate: Usage per second that it is offered.
        reported_at: When its last report arrived.
    """

    __slots__ = ("admitted_rate", "offered_rate", "reported_at")

    def __init__(self, now: float) -> None:
        self.admitted_rate = 0.0
        self.offered_rate = 0.0
        self.reported_at = now - MIN_REPORT_PERIOD_S

    def add(self, usage: Usage, now: float) -> None:
        """Adds a report of the time since the one before."""
        period_s = max(MIN_REPORT_PERIOD_S, now - self.reported_at)
        weight = 1.0 - math.exp(-period_s / RATE_TAU_S)
        self.admitted_rate += weight * (
            usage.admitted / period_s - self.admitted_rate
        )
        self.offered_rate += weight * (
            usage.offered / period_s - self.offered_rate
        )
        self.reported_at = now

    def is_heard(self, now: float) -> bool:
        """Whether its last report is recent."""
        return now - self.reported_at <= SOURCE_TIMEOUT_S

    def predict_admitted(self, now: float) -> float:
        """Returns what it has probably admitted since its last report."""
        age_s = min(now - self.reported_at, SOURCE_TIMEOUT_S)
        return max(0.0, self.admitted_rate) * age_s


class UsageCap:
    """The usage cap of one workspace, as one instance knows it."""

    __slots__ = (
        "_cap",
        "_credit",
        "_heard_fraction",
        "_offered",
        "_rng",
        "_sources",
        "_tokens",
        "_tolerance",
        "_unreported",
        "_updated_at",
    )

    def __init__(
        self,
        cap: workspaces.Cap,
        tolerance: Tolerance,
        rng: randomness.Random,
        now: float,
    ) -> None:
        """Starts without tokens: another process may have used them."""
        self._cap = cap
        self._tolerance = tolerance
        self._rng = rng
        self._tokens = 0.0
        self._updated_at = now
        self._credit = rng.uniform(0.0, 1.0)
        self._heard_fraction = 1.0
        self._offered = _Rate(now)
        self._sources: dict[str, _Source] = {}
        self._unreported = Usage()

    def set_cap(self, cap: workspaces.Cap, now: float) -> None:
        """Changes the cap; tokens beyond the new burst are dropped."""
        self._refill(now)
        self._cap = cap
        self._tokens = min(self._tokens, self._find_capacity())

    def set_heard_fraction(self, fraction: float, now: float) -> None:
        """Sets the fraction of all instances whose usage is known here."""
        self._refill(now)
        self._heard_fraction = min(1.0, fraction)
        self._tokens = min(self._tokens, self._find_capacity())

    def admit(self, amount: float, now: float) -> bool:
        """Counts a request that is offered; returns whether to admit it."""
        # Of all rates, only that before an arrival is unbiased.
        fraction = 1.0
        if not self._is_covered(amount, now):
            fraction = self.find_fraction(now)
        self._offered.add(amount, now)
        self._unreported += Usage(0.0, amount)
        self._credit = min(1.0, self._credit + min(1.0, fraction))
        if fraction <= 0.0 or self._credit < 1.0:
            return False
        self._credit -= 1.0
        self._use(amount, now)
        return True

    def _is_covered(self, amount: float, now: float) -> bool:
        """Whether there are tokens even if all others admit all requests."""
        elsewhere = self._find_offered_elsewhere(now) * MAX_REPORT_AGE_S
        return self.find_tokens(now) - elsewhere >= amount

    def give_back(self, amount: float, now: float) -> None:
        """Returns the tokens of a request that has not run."""
        self._use(-amount, now)

    def _use(self, amount: float, now: float) -> None:
        self._refill(now)
        self._tokens = min(self._tokens - amount, self._find_capacity())
        self._unreported += Usage(amount, 0.0)

    def take_unreported(self) -> Usage:
        """Returns the usage of this instance since the last call."""
        usage, self._unreported = self._unreported, Usage()
        return usage

    def apply_report(self, source: str, usage: Usage, now: float) -> None:
        """Applies what others have used since their last report.

        Args:
            source: Who reports.
            usage: Usage since its last report.
            now: Current time, seconds.
        """
        self._refill(now)
        self._tokens = min(self._tokens - usage.admitted, self._find_capacity())
        known = self._sources.get(source)
        if known is None:
            known = self._sources[source] = _Source(now)
        known.add(usage, now)

    def drop_silent(self, now: float) -> None:
        """Forgets sources that no longer report."""
        self._sources = {
            name: source
            for name, source in self._sources.items()
            if source.is_heard(now)
        }

    def find_fraction(self, now: float) -> float:
        """Returns the fraction of the offered requests to admit; 1 for all."""
        self._refill(now)
        tokens = self.find_tokens(now)
        if tokens <= -self._find_max_debt():
            return 0.0
        usable = self._find_rate() + tokens / DRAIN_S
        offered = self.find_offered_rate(now)
        if offered <= 0.0:
            return 1.0
        return min(1.0, max(0.0, usable / offered))

    def find_offered_rate(self, now: float) -> float:
        """Returns the usage per second that all instances are offered."""
        return self._offered.find(now) + self._find_offered_elsewhere(now)

    def _find_offered_elsewhere(self, now: float) -> float:
        return sum(
            source.offered_rate
            for source in self._sources.values()
            if source.is_heard(now)
        )

    def find_tokens(self, now: float) -> float:
        """Returns the tokens that are left; negative if it is overdrawn."""
        self._refill(now)
        return self._tokens - sum(
            source.predict_admitted(now) for source in self._sources.values()
        )

    def find_retry_after_s(self, now: float) -> float:
        """Returns when tokens come for a client refused now, with jitter.

        That is after the debt and after what was refused in the last second.
        """
        rate = max(self._find_rate(), 1e-9)
        debt = max(0.0, -self.find_tokens(now))
        excess = max(0.0, self.find_offered_rate(now) - rate) * RATE_TAU_S
        wait_s = min(MAX_RETRY_AFTER_S, (debt + excess) / rate)
        jitter = self._rng.uniform(1.0, 1.0 + RETRY_JITTER_FRACTION)
        return max(MIN_RETRY_AFTER_S, wait_s) * jitter

    def find_report_age_s(self, now: float) -> float:
        """Returns the age of the oldest report in use; 0 if there is none."""
        return max(
            (now - source.reported_at for source in self._sources.values()),
            default=0.0,
        )

    def _find_rate(self) -> float:
        return self._cap.rate_per_s * self._heard_fraction

    def _find_capacity(self) -> float:
        added = BURST_TOLERANCE_FRACTION * self._tolerance.measure(self._cap)
        return (self._cap.burst + added) * self._heard_fraction

    def _find_max_debt(self) -> float:
        tolerated = self._tolerance.measure(self._cap)
        return DEBT_TOLERANCE_FRACTION * tolerated * self._heard_fraction

    def _refill(self, now: float) -> None:
        added = (now - self._updated_at) * self._find_rate()
        self._tokens = min(self._tokens + added, self._find_capacity())
        self._updated_at = now
