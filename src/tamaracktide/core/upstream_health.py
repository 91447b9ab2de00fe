"""Passive health checks of upstreams, based on the results of requests.

An upstream that fails many requests receives no new ones for a back-off time.
Then one request at a time is sent to it until one succeeds. Results of other
instances in the same availability zone count too, with a lower weight. An
unreachable upstream receives none until a connection succeeds. The number of
upstreams avoided at once for failures is bounded, and none is avoided if all
are unreachable, so that a common fault does not leave the service without
upstreams.
"""

from collections.abc import Mapping
import dataclasses
import statistics

from tamaracktide.core import randomness

INITIAL_AVOID_S = 1.0
MAX_AVOID_S = 8.0
"""A trial request costs at most one retry, so trials may be frequent."""

TRIAL_SUCCESS_FACTOR = 0.5
"""Ratio by which a success on trial reduces the failure rate further, so that
one to two of them end the trial."""

AVOID_JITTER = 0.2
"""Relative spread of the back-off, so that instances try at different times."""

FAILURE_RATE_WEIGHT = 0.2
"""Weight of the latest result in the moving failure rate.

The rate adapts within about five requests.
"""

REMOTE_RESULT_WEIGHT = 0.1
"""Weight of a result of another instance. Of those there are several times as
many, so that a lower weight tells random failures from a broken upstream."""

AVOID_FAILURE_RATE = 0.35
"""Failure rate at which an upstream is avoided.

Plain services fail up to a seventh of their requests in normal operation.
"""

MIN_EXCESS_FAILURE_RATE = 0.2
"""Excess over the median failure rate at which avoiding an upstream helps.

If all upstreams fail alike, using fewer of them only lengthens the queues.
"""

MAX_AVOIDED_FRACTION = 0.5
"""Maximum fraction of a service's upstreams avoided at once for failures.

Unreachable upstreams count towards it but are avoided in any number.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Results of requests to an upstream.

    Attributes:
        completed: Number of successful requests.
        failed: Number of errors and lost responses.
    """

    completed: int = 0
    failed: int = 0

    def __add__(self, other: "Results") -> "Results":
        """Returns the sums."""
        return Results(
            self.completed + other.completed, self.failed + other.failed
        )


def add_results(
    totals: dict[str, Results], added: Mapping[str, Results]
) -> None:
    """Adds results by upstream to totals."""
    for upstream, results in added.items():
        totals[upstream] = totals.get(upstream, Results()) + results


@dataclasses.dataclass(slots=True)
class _Health:
    failure_rate: float = 0.0
    avoid_s: float = INITIAL_AVOID_S
    avoid_until: float = 0.0
    unreachable: bool = False
    results: Results = Results()

    def add_own(self, results: Results) -> None:
        """Adds own results, which are also to be reported."""
        self.results += results
        self.add(results, FAILURE_RATE_WEIGHT)

    def add(self, results: Results, weight: float) -> None:
        """Updates the failure rate; `weight` is that of each result."""
        count = results.completed + results.failed
        kept = (1 - weight) ** count
        self.failure_rate *= kept
        self.failure_rate += (1 - kept) * results.failed / count

    @property
    def needs_trial(self) -> bool:
        """Whether it must succeed once before it is used as others."""
        return self.failure_rate >= AVOID_FAILURE_RATE


class UpstreamHealth:
    """Health of the upstreams of one service as observed by one instance."""

    __slots__ = ("_records", "_rng")

    def __init__(self, rng: randomness.Random) -> None:
        """Starts with all upstreams healthy."""
        self._records: dict[str, _Health] = {}
        self._rng = rng

    def record_success(self, upstream: str) -> bool:
        """Records a successful request.

        Returns:
            Whether the upstream was on trial and no longer is.
        """
        record = self._records.get(upstream)
        if record is None:
            return False
        was_on_trial = record.needs_trial
        record.add_own(Results(completed=1))
        if was_on_trial:
            record.failure_rate *= TRIAL_SUCCESS_FACTOR
        return was_on_trial and not record.needs_trial

    def record_failure(self, upstream: str, now: float) -> bool:
        """Records an error or a lost response.

        Returns:
            Whether the upstream was not avoided before and now is.
        """
        record = self._records.setdefault(upstream, _Health())
        record.add_own(Results(failed=1))
        return record.needs_trial and self._avoid(record, now)

    def record_remote(
        self, upstream: str, results: Results, now: float
    ) -> bool:
        """Records what another instance observed.

        Returns:
            Whether the upstream was not avoided before and now is.
        """
        if not results.failed and upstream not in self._records:
            return False
        record = self._records.setdefault(upstream, _Health())
        record.add(results, REMOTE_RESULT_WEIGHT)
        if not results.failed or not record.needs_trial:
            return False
        return self._avoid(record, now)

    def take_results(self) -> dict[str, Results]:
        """Returns own results since the last call, of upstreams that fail.

        Drops the records of those that have recovered: nothing of them is left
        to report.
        """
        taken: dict[str, Results] = {}
        for name, record in list(self._records.items()):
            if record.results != Results():
                taken[name] = record.results
                record.results = Results()
            is_sound = record.failure_rate < FAILURE_RATE_WEIGHT / 2
            if is_sound and not record.unreachable:
                del self._records[name]
        return taken

    def find_failure_rate(self, upstream: str) -> float:
        """Returns the moving failure rate of an upstream."""
        record = self._records.get(upstream)
        return 0.0 if record is None else record.failure_rate

    def record_unreachable(self, upstream: str) -> bool:
        """Records a failed connection; returns whether the state changed."""
        record = self._records.setdefault(upstream, _Health())
        was_unreachable = record.unreachable
        record.unreachable = True
        return not was_unreachable

    def record_reachable(self, upstream: str) -> None:
        """Records a successful connection."""
        record = self._records.get(upstream)
        if record is not None:
            record.unreachable = False

    def list_avoided(self, upstreams: list[str], now: float) -> set[str]:
        """Returns the upstreams of a service that receive no new requests."""
        unreachable = self.list_unreachable(upstreams)
        if not upstreams or len(unreachable) == len(upstreams):
            return set()
        return unreachable | {
            name
            for name in self._list_failing(upstreams)
            if now < self._records[name].avoid_until
        }

    def list_trials(self, upstreams: list[str], now: float) -> set[str]:
        """Returns the upstreams that receive one request at a time."""
        return {
            name
            for name in self._list_failing(upstreams)
            if now >= self._records[name].avoid_until
        }

    def list_unreachable(self, upstreams: list[str]) -> set[str]:
        """Returns those of some upstreams that no connection reaches."""
        return {
            name
            for name in upstreams
            if name in self._records and self._records[name].unreachable
        }

    def _list_failing(self, upstreams: list[str]) -> list[str]:
        """Returns the reachable upstreams that fail more than the others."""
        is_failing = any(r.needs_trial for r in self._records.values())
        if not upstreams or not is_failing:
            return []
        unreachable = self.list_unreachable(upstreams)
        least_rate = max(
            AVOID_FAILURE_RATE,
            MIN_EXCESS_FAILURE_RATE
            + statistics.median(map(self.find_failure_rate, upstreams)),
        )
        failing = [
            name
            for name in upstreams
            if name not in unreachable
            and self.find_failure_rate(name) >= least_rate
        ]
        failing.sort(key=lambda name: -self.find_failure_rate(name))
        max_avoided = int(len(upstreams) * MAX_AVOIDED_FRACTION)
        return failing[: max(0, max_avoided - len(unreachable))]

    def find_next_trial(self, now: float) -> float:
        """Returns the time of the next trial of an upstream, or infinity."""
        return min(
            (
                record.avoid_until
                for record in self._records.values()
                if record.avoid_until > now
            ),
            default=float("inf"),
        )

    def _avoid(self, record: _Health, now: float) -> bool:
        if now < record.avoid_until:
            return False
        jitter = self._rng.uniform(1 - AVOID_JITTER, 1 + AVOID_JITTER)
        record.avoid_until = now + record.avoid_s * jitter
        record.avoid_s = min(MAX_AVOID_S, record.avoid_s * 2)
        return True
