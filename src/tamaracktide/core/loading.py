"""Rate limits of loads, and back-off after failed loads."""

import dataclasses
import math

from tamaracktide.core import rows

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 30.0
MAX_FAILURES = 4
"""Consecutive failures after which an adapter's requests are refused."""

MAX_ENGINE_FAILURES = 3
"""Consecutive failures after which an engine backs off from all loads."""


class LoadBudget:
    """Token bucket of a cell's loads, with a limit of loads in flight."""

    __slots__ = ("_tokens", "_updated_at", "in_flight", "loads_per_s")

    def __init__(self, loads_per_s: float, in_flight: float) -> None:
        """Creates a full bucket."""
        self.loads_per_s = loads_per_s
        self.in_flight = in_flight
        self._tokens = self.burst
        self._updated_at = -math.inf

    @property
    def max_in_flight(self) -> int:
        """Limit of the loads in flight."""
        return max(1, math.floor(self.in_flight))

    @property
    def burst(self) -> float:
        """Capacity of the bucket: loads that may start together when idle."""
        return max(1.0, self.in_flight)

    def set_share(
        self, loads_per_s: float, in_flight: float, now: float
    ) -> None:
        """Sets the rate and the limit of loads in flight."""
        self._refill(now)
        self.loads_per_s = loads_per_s
        self.in_flight = in_flight

    def allows(self, active_loads: int, now: float) -> bool:
        """Returns whether a load may start now."""
        self._refill(now)
        return active_loads < self.max_in_flight and self._tokens >= 1.0

    def acquire(self) -> None:
        """Consumes a token for a load that starts."""
        self._tokens -= 1.0

    def refund(self) -> None:
        """Returns the token of a load that was not attempted."""
        self._tokens = min(self.burst, self._tokens + 1.0)

    def find_next_token(self, now: float) -> float:
        """Returns when the next token is available."""
        missing = 1.0 - self._tokens
        if missing <= 0 or self.loads_per_s <= 0:
            return now
        return now + missing / self.loads_per_s

    def _refill(self, now: float) -> None:
        if now <= self._updated_at:
            return
        gained = (now - self._updated_at) * self.loads_per_s
        self._tokens = min(self.burst, self._tokens + gained)
        self._updated_at = now


@dataclasses.dataclass(slots=True)
class _Failures:
    count: int = 0
    blocked_until: float = 0.0


class Backoff:
    """Exponential back-off of adapters, engines, and pairs of both."""

    __slots__ = ("_adapters", "_engines", "_pairs")

    def __init__(self) -> None:
        """Creates a back-off state without failures."""
        self._adapters: dict[rows.AdapterKey, _Failures] = {}
        self._engines: dict[str, _Failures] = {}
        self._pairs: dict[tuple[rows.AdapterKey, str], _Failures] = {}

    def add_failure(
        self, key: rows.AdapterKey, upstream: str, now: float
    ) -> int:
        """Records a failed load; returns the adapter's consecutive failures."""
        adapter = self._adapters.setdefault(key, _Failures())
        adapter.count += 1
        if adapter.count > 1:
            adapter.blocked_until = now + _find_backoff_s(adapter.count - 1)
        pair = self._pairs.setdefault((key, upstream), _Failures())
        pair.count += 1
        pair.blocked_until = now + _find_backoff_s(pair.count)
        engine = self._engines.setdefault(upstream, _Failures())
        engine.count += 1
        if engine.count >= MAX_ENGINE_FAILURES:
            engine.blocked_until = now + _find_backoff_s(engine.count)
        self._drop_expired(now)
        return adapter.count

    def add_pause(
        self, key: rows.AdapterKey, upstream: str, now: float
    ) -> None:
        """Blocks an adapter on an engine briefly without counting a failure."""
        pair = self._pairs.setdefault((key, upstream), _Failures())
        pair.blocked_until = max(pair.blocked_until, now + INITIAL_BACKOFF_S)
        self._drop_expired(now)

    def add_success(self, key: rows.AdapterKey, upstream: str) -> None:
        """Resets the failures of an adapter and of an engine."""
        self._adapters.pop(key, None)
        self._engines.pop(upstream, None)
        self._pairs.pop((key, upstream), None)

    def find_retry(self, key: rows.AdapterKey) -> float:
        """Returns when an adapter may be loaded again on any engine."""
        failures = self._adapters.get(key)
        return 0.0 if failures is None else failures.blocked_until

    def blocks(self, key: rows.AdapterKey, upstream: str, now: float) -> bool:
        """Returns whether an adapter may not yet be loaded on an engine."""
        engine = self._engines.get(upstream)
        if engine is not None and now < engine.blocked_until:
            return True
        pair = self._pairs.get((key, upstream))
        return pair is not None and now < pair.blocked_until

    def find_engine_retry(self, upstream: str) -> float:
        """Returns when an engine's back-off from all loads ends."""
        failures = self._engines.get(upstream)
        return 0.0 if failures is None else failures.blocked_until

    def remove_engine(self, upstream: str) -> None:
        """Drops the failures of an engine that has restarted."""
        self._engines.pop(upstream, None)
        self._pairs = {
            pair: failures
            for pair, failures in self._pairs.items()
            if pair[1] != upstream
        }

    def _drop_expired(self, now: float) -> None:
        self._pairs = {
            pair: failures
            for pair, failures in self._pairs.items()
            if now < failures.blocked_until + MAX_BACKOFF_S
        }
        self._adapters = {
            key: failures
            for key, failures in self._adapters.items()
            if now < failures.blocked_until + MAX_BACKOFF_S
        }


def _find_backoff_s(failures: int) -> float:
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (failures - 1))
