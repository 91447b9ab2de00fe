"""Bounds the rate at which all instances together send to an upstream.

Every instance counts what it sends itself and what the others tell it that they
send, so that the rate goes to whoever needs it. Two instances can use the same
token while their messages cross; the bucket is overdrawn then and the next
token comes later.
"""

from tamaracktide.core import randomness

SAFETY_FRACTION = 0.9
"""Fraction of a limit that is used; the rest covers requests that are on their
way when the limit falls."""

MIN_RATE_PER_S = 0.25
"""Rate that is used at least: only a response shows that a limit has ended."""

BURST_S = 0.25
"""Time for which unused tokens are kept, beside one whole token."""

MAX_JITTER_S = 0.1
"""Maximum delay after which an awaited token is used. It is many times the
latency between instances, which so rarely use the same token."""


class SendLimit:
    """Token bucket of an upstream, as one instance knows it."""

    __slots__ = (
        "_jitter_s",
        "_own_fraction",
        "_rate",
        "_rng",
        "_tokens",
        "_updated_at",
    )

    def __init__(
        self,
        rate: float,
        own_fraction: float,
        rng: randomness.Random,
        now: float,
    ) -> None:
        """Starts without tokens; see `set_rate`."""
        self._rng = rng
        self._tokens = 0.0
        self._updated_at = now
        self._rate = 0.0
        self._own_fraction = 1.0
        self.set_rate(rate, own_fraction)
        self._jitter_s = self._draw_jitter_s()

    def set_rate(self, rate: float, own_fraction: float) -> None:
        """Sets the limit.

        Args:
            rate: Requests per second that the upstream takes from all
                instances together.
            own_fraction: Fraction of them that this instance can count on.
        """
        self._rate = max(MIN_RATE_PER_S, rate * SAFETY_FRACTION)
        self._own_fraction = own_fraction

    def record(self, count: int, now: float) -> None:
        """Counts requests that this or another instance sends."""
        self._tokens = self.count_tokens(now) - count
        self._updated_at = now
        self._jitter_s = self._draw_jitter_s()

    def _draw_jitter_s(self) -> float:
        return self._rng.uniform(0.0, min(MAX_JITTER_S, 1.0 / self._rate))

    def count_tokens(self, now: float) -> float:
        """Returns the number of tokens; negative if it is overdrawn."""
        added = (now - self._updated_at) * self._rate
        return min(1.0 + self._rate * BURST_S, self._tokens + added)

    def find_next(self, now: float) -> float:
        """Returns the time from which this instance may send a request."""
        tokens = self.count_tokens(now)
        full_at = now + (1.0 - tokens) / self._rate
        return max(now, full_at + self._jitter_s)

    @property
    def own_rate(self) -> float:
        """Requests per second that this instance can count on."""
        return self._rate * self._own_fraction
