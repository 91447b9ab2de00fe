"""When a cell may start a load: the store's share and failed loads."""

import dataclasses
import math

from tamaracktide.core import rows

FIRST_BACKOFF_S = 0.25
LONGEST_BACKOFF_S = 30.0
MOST_FAILURES = 4
"""Failures in a row after which an adapter's requests are refused."""

ENGINE_FAILURES = 3
"""Failures in a row after which an engine gets no loads for a while."""


class LoadBudget:
    """The cell's share of the store: a rate and a number in flight."""

    __slots__ = ("_tokens", "_updated_at", "in_flight", "loads_per_s")

    def __init__(self, loads_per_s: float, in_flight: float) -> None:
        """Starts with a full bucket."""
        self.loads_per_s = loads_per_s
        self.in_flight = in_flight
        self._tokens = self.burst
        self._updated_at = -math.inf

    @property
    def most_in_flight(self) -> int:
        """Loads that may be under way at once."""
        return max(1, math.floor(self.in_flight))

    @property
    def burst(self) -> float:
        """Loads that may start at once after a pause."""
        return max(1.0, self.in_flight)

    def set_share(
        self, loads_per_s: float, in_flight: float, now: float
    ) -> None:
        """Changes the share from now on."""
        self._refill(now)
        self.loads_per_s = loads_per_s
        self.in_flight = in_flight

    def allows(self, under_way: int, now: float) -> bool:
        """Returns whether a load may start now."""
        self._refill(now)
        return under_way < self.most_in_flight and self._tokens >= 1.0

    def take(self) -> None:
        """Counts a load that starts."""
        self._tokens -= 1.0

    def give_back(self) -> None:
        """Takes back a load that was not tried."""
        self._tokens = min(self.burst, self._tokens + 1.0)

    def find_next(self, now: float) -> float:
        """Returns when the rate allows the next load."""
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
    until: float = 0.0


class Backoff:
    """Which adapters and engines are not to be tried again yet."""

    __slots__ = ("_adapters", "_engines", "_pairs")

    def __init__(self) -> None:
        """Starts without failures."""
        self._adapters: dict[rows.AdapterKey, _Failures] = {}
        self._engines: dict[str, _Failures] = {}
        self._pairs: dict[tuple[rows.AdapterKey, str], _Failures] = {}

    def add_failure(
        self, key: rows.AdapterKey, upstream: str, now: float
    ) -> int:
        """Counts a failed load; returns the adapter's failures in a row."""
        adapter = self._adapters.setdefault(key, _Failures())
        adapter.count += 1
        if adapter.count > 1:
            adapter.until = now + _find_backoff_s(adapter.count - 1)
        pair = self._pairs.setdefault((key, upstream), _Failures())
        pair.count += 1
        pair.until = now + _find_backoff_s(pair.count)
        engine = self._engines.setdefault(upstream, _Failures())
        engine.count += 1
        if engine.count >= ENGINE_FAILURES:
            engine.until = now + _find_backoff_s(engine.count)
        self._drop_old(now)
        return adapter.count

    def add_pause(
        self, key: rows.AdapterKey, upstream: str, now: float
    ) -> None:
        """Has an adapter loaded elsewhere for a while; no failure counts."""
        pair = self._pairs.setdefault((key, upstream), _Failures())
        pair.until = max(pair.until, now + FIRST_BACKOFF_S)
        self._drop_old(now)

    def add_success(self, key: rows.AdapterKey, upstream: str) -> None:
        """Forgets the failures of an adapter and of an engine."""
        self._adapters.pop(key, None)
        self._engines.pop(upstream, None)
        self._pairs.pop((key, upstream), None)

    def find_retry(self, key: rows.AdapterKey) -> float:
        """Returns when an adapter may be loaded again anywhere."""
        failures = self._adapters.get(key)
        return 0.0 if failures is None else failures.until

    def blocks(self, key: rows.AdapterKey, upstream: str, now: float) -> bool:
        """Returns whether an adapter may not be loaded on an engine yet."""
        engine = self._engines.get(upstream)
        if engine is not None and now < engine.until:
            return True
        pair = self._pairs.get((key, upstream))
        return pair is not None and now < pair.until

    def find_engine_retry(self, upstream: str) -> float:
        """Returns when an engine that fails all loads is tried again."""
        failures = self._engines.get(upstream)
        return 0.0 if failures is None else failures.until

    def forget_engine(self, upstream: str) -> None:
        """Forgets the failures of an engine that has restarted."""
        self._engines.pop(upstream, None)
        self._pairs = {
            pair: failures
            for pair, failures in self._pairs.items()
            if pair[1] != upstream
        }

    def _drop_old(self, now: float) -> None:
        self._pairs = {
            pair: failures
            for pair, failures in self._pairs.items()
            if now < failures.until + LONGEST_BACKOFF_S
        }
        self._adapters = {
            key: failures
            for key, failures in self._adapters.items()
            if now < failures.until + LONGEST_BACKOFF_S
        }


def _find_backoff_s(failures: int) -> float:
    return min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** (failures - 1))
