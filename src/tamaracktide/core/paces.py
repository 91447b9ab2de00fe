"""How fast the engines of a service are, from the streams that they wrote."""

from collections.abc import Mapping
import dataclasses
import statistics

MIN_SAMPLES = 3
"""Samples from which on an engine's pace is believed."""

SAMPLE_WEIGHT = 0.08
"""Weight of a sample in the moving mean of its engine."""

SAMPLE_TIMEOUT_S = 10.0
"""Time without a sample after which an engine counts as an average one."""

EVEN_FACTOR = 1.25
"""Ratio of two engines' times up to which they count as equally fast."""

MAX_FACTOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class PaceSum:
    """Samples of an engine's pace, as reported.

    Attributes:
        samples: Number of samples.
        event_ms: Sum of their times for an event, milliseconds.
    """

    samples: int = 0
    event_ms: float = 0.0

    def __add__(self, other: "PaceSum") -> "PaceSum":
        """Returns the sums."""
        return PaceSum(
            self.samples + other.samples, self.event_ms + other.event_ms
        )


def add_sums(totals: dict[str, PaceSum], added: Mapping[str, PaceSum]) -> None:
    """Adds the samples of engines to totals."""
    for upstream, pace in added.items():
        totals[upstream] = totals.get(upstream, PaceSum()) + pace


@dataclasses.dataclass(slots=True)
class _Pace:
    event_s: float
    sampled_at: float
    samples: int = 0

    def add(self, samples: int, event_s: float, now: float) -> None:
        kept = (1 - SAMPLE_WEIGHT) ** samples
        # The first samples count as much as each other.
        kept = min(kept, self.samples / (self.samples + samples))
        self.event_s = kept * self.event_s + (1 - kept) * event_s
        self.samples += samples
        self.sampled_at = now


class Paces:
    """Paces of the engines of one service, as one instance knows them."""

    __slots__ = ("_factors", "_paces", "_unreported")

    def __init__(self) -> None:
        """Starts without samples."""
        self._paces: dict[str, _Pace] = {}
        self._factors: dict[str, float] = {}
        self._unreported: dict[str, PaceSum] = {}

    def record(self, upstream: str, event_s: float, now: float) -> None:
        """Records a sample from a stream that this instance forwards."""
        self._add(upstream, 1, event_s, now)
        added = PaceSum(1, round(event_s * 1000, 2))
        add_sums(self._unreported, {upstream: added})

    def apply_report(self, upstream: str, pace: PaceSum, now: float) -> None:
        """Records the samples of other instances."""
        if pace.samples > 0:
            mean_s = pace.event_ms / pace.samples / 1000
            self._add(upstream, pace.samples, mean_s, now)

    def _add(
        self, upstream: str, samples: int, event_s: float, now: float
    ) -> None:
        if event_s <= 0.0:
            return
        pace = self._paces.get(upstream)
        if pace is None:
            pace = self._paces[upstream] = _Pace(event_s, now)
        pace.add(samples, event_s, now)

    def forget(self, upstream: str) -> None:
        """Drops the samples of an engine that has left or restarted."""
        self._paces.pop(upstream, None)
        self._factors.pop(upstream, None)

    def take_unreported(self) -> dict[str, PaceSum]:
        """Returns own samples since the last call, while engines are uneven."""
        taken, self._unreported = self._unreported, {}
        return taken if self._seems_uneven() else {}

    def _seems_uneven(self) -> bool:
        """Whether any samples differ; more of them show if engines do."""
        known = [pace.event_s for pace in self._paces.values()]
        return bool(known) and max(known) > EVEN_FACTOR * min(known)

    def find_changes(self, now: float) -> dict[str, float]:
        """Returns the time factors that have changed since the last call."""
        factors = self._find_factors(now)
        changed = {
            upstream: factors.get(upstream, 1.0)
            for upstream in factors.keys() | self._factors.keys()
            if not _is_close(
                factors.get(upstream, 1.0), self._factors.get(upstream, 1.0)
            )
        }
        self._factors.update(changed)
        return changed

    def _find_factors(self, now: float) -> dict[str, float]:
        """Returns the time factors of engines; the others have 1."""
        oldest = now - SAMPLE_TIMEOUT_S
        known = {
            upstream: pace.event_s
            for upstream, pace in self._paces.items()
            if pace.samples >= MIN_SAMPLES and pace.sampled_at >= oldest
        }
        if not known:
            return {}
        median = statistics.median(known.values())
        factors = {}
        for upstream, event_s in known.items():
            factor = event_s / median
            if not 1 / EVEN_FACTOR <= factor <= EVEN_FACTOR:
                factors[upstream] = min(MAX_FACTOR, max(1 / MAX_FACTOR, factor))
        return factors


def _is_close(factor: float, known: float) -> bool:
    """Whether a factor is within a fifth of the known one."""
    if 1.0 in (factor, known):
        return factor == known
    return 0.8 <= factor / known <= 1.25
