"""Prediction of adapters' request rates from frequency and recency."""

import dataclasses
import heapq
import math

from tamaracktide.core import rows

FREQUENCY_TAU_S = 600.0
"""Time constant of the decayed request count for frequency."""

RECENCY_TAU_S = 15.0
"""Time constant of the decayed request count for recency."""

RECENCY_WEIGHT = 0.5
"""Fraction of the recent rate that is expected to continue."""

_MIN_FREQUENCY = 0.02
_PRUNE_PERIOD_S = 60.0


@dataclasses.dataclass(slots=True)
class _Count:
    customer: str
    frequency: float
    recency: float
    updated_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted demand for an adapter.

    Attributes:
        rate: Expected requests per second.
        key: Adapter and version.
        customer: Customer that requested it last.
    """

    rate: float
    key: rows.AdapterKey
    customer: str


class Popularity:
    """Exponentially decayed request counts by adapter."""

    __slots__ = ("_counts", "_prune_at", "_recency_tau_s", "_recency_weight")

    def __init__(
        self,
        recency_tau_s: float = RECENCY_TAU_S,
        recency_weight: float = RECENCY_WEIGHT,
    ) -> None:
        """Creates empty counts.

        Args:
            recency_tau_s: Time constant of the recent rate, seconds.
            recency_weight: Fraction of the recent rate that is expected to
                continue.
        """
        self._recency_tau_s = recency_tau_s
        self._recency_weight = recency_weight
        self._counts: dict[rows.AdapterKey, _Count] = {}
        self._prune_at = 0.0

    def add_request(
        self, key: rows.AdapterKey, customer: str, now: float
    ) -> None:
        """Counts a request."""
        count = self._counts.get(key)
        if count is None:
            self._counts[key] = _Count(customer, 1.0, 1.0, now)
            return
        elapsed_s = max(0.0, now - count.updated_at)
        count.frequency = 1.0 + count.frequency * math.exp(
            -elapsed_s / FREQUENCY_TAU_S
        )
        count.recency = 1.0 + count.recency * math.exp(
            -elapsed_s / self._recency_tau_s
        )
        count.customer = customer
        count.updated_at = now

    def predict(self, key: rows.AdapterKey, now: float) -> float:
        """Returns the expected requests per second for an adapter."""
        count = self._counts.get(key)
        return 0.0 if count is None else self._predict(count, now)

    def list_frequent(self, now: float, min_rate: float) -> list[Prediction]:
        """Returns the adapters of at least a rate in descending order.

        Most adapters are rarely requested; their undecayed counts show that
        without a prediction.
        """
        self._prune(now)
        frequent = [
            Prediction(self._predict(count, now), key, count.customer)
            for key, count in self._counts.items()
            if self._predict_undecayed(count) >= min_rate
        ]
        return sorted(
            (likely for likely in frequent if likely.rate >= min_rate),
            key=lambda likely: (-likely.rate, likely.key.text),
        )

    def list_likely(self, now: float, limit: int) -> list[Prediction]:
        """Returns the adapters with the highest rates in descending order."""
        self._prune(now)
        likely = heapq.nlargest(
            limit,
            (
                (self._predict(count, now), key.text, key)
                for key, count in self._counts.items()
            ),
        )
        return [
            Prediction(rate, key, self._counts[key].customer)
            for rate, _, key in likely
        ]

    def _prune(self, now: float) -> None:
        if now < self._prune_at:
            return
        self._prune_at = now + _PRUNE_PERIOD_S
        self._counts = {
            key: count
            for key, count in self._counts.items()
            if count.frequency
            * math.exp(-(now - count.updated_at) / FREQUENCY_TAU_S)
            >= _MIN_FREQUENCY
        }

    def _predict(self, count: _Count, now: float) -> float:
        elapsed_s = max(0.0, now - count.updated_at)
        tau_s = self._recency_tau_s
        frequency = count.frequency * math.exp(-elapsed_s / FREQUENCY_TAU_S)
        recency = count.recency * math.exp(-elapsed_s / tau_s)
        recent = self._recency_weight * recency / tau_s
        return frequency / FREQUENCY_TAU_S + recent

    def _predict_undecayed(self, count: _Count) -> float:
        """Returns an upper bound of the predicted rate."""
        recent = self._recency_weight * count.recency / self._recency_tau_s
        return count.frequency / FREQUENCY_TAU_S + recent
