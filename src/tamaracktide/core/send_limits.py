"""Bounds the rate at which all instances together send to an upstream.

Every instance counts what it sends itself and what the others tell it that they
send, so that the rate goes to whoever needs it. Two instances can use the same
token while their messages cross; the bucket is overdrawn then and the next
token comes later.
"""

import math

from tamaracktide.core import randomness

SAFETY_FRACTION = 0.9
"""Fraction of a limit that is used; the rest covers requests that are on their
way when the limit falls."""

MIN_RATE_PER_S = 0.25
"""Rate that is used at least: only a response shows that a limit has ended."""

BURST_S = 0.25
"""Time for which unused tokens are kept, beside one whole token."""

PACE_PER_REJECTION = 16.0
"""Requests per second to a brittle upstream, for each rejection in a second
that it survives. They are spaced so that few are on their way when it rejects
the first one."""

SLOW_FRACTION = 0.5
"""Fraction of the rejections that a brittle upstream survives at which it gets
requests after it has rejected one."""

DOUBLING_S = 1.0
"""Time in which the rate doubles after that."""

MAX_DOUBLINGS = 60.0
"""Doublings after which a reduced rate no longer matters."""

MAX_JITTER_S = 0.1
"""Maximum delay after which an awaited token is used. It is many times the
latency between instances, which so rarely use the same token."""


class SendLimit:
    """Token bucket of an upstream, as one instance knows it."""

    __slots__ = (
        "_burst_s",
        "_jitter_s",
        "_own_fraction",
        "_rate",
        "_rng",
        "_slow_at",
        "_slow_rate",
        "_tokens",
        "_updated_at",
    )

    def __init__(
        self, rng: randomness.Random, now: float, *, burst_s: float = BURST_S
    ) -> None:
        """Starts without tokens at the least rate; see `set_rate`.

        Args:
            rng: Draws the delays.
            now: Current time, seconds.
            burst_s: Time for which unused tokens are kept.
        """
        self._rng = rng
        self._burst_s = burst_s
        self._tokens = 0.0
        self._updated_at = now
        self._slow_rate = float("inf")
        self._slow_at = now
        self._rate = MIN_RATE_PER_S
        self._own_fraction = 1.0
        self._jitter_s = self._draw_jitter_s(now)

    def set_rate(self, rate: float, own_fraction: float) -> None:
        """Sets the limit.

        Args:
            rate: Requests per second that the upstream takes from all
                instances together.
            own_fraction: Fraction of them that this instance can count on.
        """
        self._rate = max(MIN_RATE_PER_S, rate * SAFETY_FRACTION)
        self._own_fraction = own_fraction

    def slow_down(self, rate: float, now: float) -> None:
        """Reduces the rate, which then doubles each `DOUBLING_S` again."""
        self._tokens = min(0.0, self.count_tokens(now))
        self._updated_at = now
        self._slow_rate = max(MIN_RATE_PER_S, rate)
        self._slow_at = now

    def _find_rate(self, now: float) -> float:
        doublings = (now - self._slow_at) / DOUBLING_S
        if doublings > MAX_DOUBLINGS:
            return self._rate
        return min(self._rate, self._slow_rate * math.pow(2.0, doublings))

    def record(self, count: int, now: float) -> None:
        """Counts requests that this or another instance sends."""
        self._tokens = self.count_tokens(now) - count
        self._updated_at = now
        self._jitter_s = self._draw_jitter_s(now)

    def _draw_jitter_s(self, now: float) -> float:
        max_jitter_s = min(MAX_JITTER_S, 1.0 / self._find_rate(now))
        return self._rng.uniform(0.0, max_jitter_s)

    def count_tokens(self, now: float) -> float:
        """Returns the number of tokens; negative if it is overdrawn."""
        rate = self._find_rate(now)
        added = (now - self._updated_at) * rate
        return min(1.0 + rate * self._burst_s, self._tokens + added)

    def find_next(self, now: float) -> float:
        """Returns the time from which this instance may send a request."""
        tokens = self.count_tokens(now)
        full_at = now + (1.0 - tokens) / self._find_rate(now)
        return max(now, full_at + self._jitter_s)

    def find_own_rate(self, now: float) -> float:
        """Returns the requests per second that this instance can count on."""
        return self._find_rate(now) * self._own_fraction
