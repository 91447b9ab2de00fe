"""Passive health checks of upstreams, based on the results of requests.

An upstream that fails many requests receives no new ones for a back-off time,
after which it is tried again. An unreachable upstream receives none until a
connection succeeds. The number of upstreams avoided at once for failures is
bounded, and none is avoided if all are unreachable, so that a common fault
does not leave the service without upstreams.
"""

import dataclasses
import statistics

INITIAL_AVOID_S = 1.0
MAX_AVOID_S = 8.0
"""A trial request costs at most one retry, so trials may be frequent."""

FAILURE_RATE_WEIGHT = 0.2
"""Weight of the latest result in the moving failure rate.

The rate adapts within about five requests.
"""

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


@dataclasses.dataclass(slots=True)
class _Health:
    failure_rate: float = 0.0
    avoid_s: float = INITIAL_AVOID_S
    avoid_until: float = 0.0
    unreachable: bool = False


class UpstreamHealth:
    """Health of the upstreams of one service as observed by one instance."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        """Starts with all upstreams healthy."""
        self._records: dict[str, _Health] = {}

    def record_success(self, upstream: str) -> None:
        """Records a successful request."""
        record = self._records.get(upstream)
        if record is None:
            return
        record.failure_rate *= 1 - FAILURE_RATE_WEIGHT
        if (
            record.failure_rate < FAILURE_RATE_WEIGHT / 2
            and not record.unreachable
        ):
            del self._records[upstream]

    def record_failure(self, upstream: str, now: float) -> bool:
        """Records an error or a lost response.

        Returns:
            Whether the upstream was not avoided before and now is.
        """
        record = self._records.setdefault(upstream, _Health())
        record.failure_rate += FAILURE_RATE_WEIGHT * (1 - record.failure_rate)
        if record.failure_rate < AVOID_FAILURE_RATE:
            return False
        return _avoid(record, now)

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
        if not upstreams or not self._records:
            return set()
        unreachable = set()
        failing = []
        for name in upstreams:
            record = self._records.get(name)
            if record is None:
                continue
            if record.unreachable:
                unreachable.add(name)
            elif now < record.avoid_until:
                failing.append(name)
        median_failures = statistics.median(
            self._records[name].failure_rate if name in self._records else 0.0
            for name in upstreams
        )
        failing = [
            name
            for name in failing
            if self._records[name].failure_rate
            >= median_failures + MIN_EXCESS_FAILURE_RATE
        ]
        if len(unreachable) == len(upstreams):
            return set()
        max_avoided = int(len(upstreams) * MAX_AVOIDED_FRACTION)
        failing.sort(key=lambda name: -self._records[name].failure_rate)
        return unreachable | set(
            failing[: max(0, max_avoided - len(unreachable))]
        )

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


def _avoid(record: _Health, now: float) -> bool:
    if now < record.avoid_until:
        return False
    record.avoid_until = now + record.avoid_s
    record.avoid_s = min(MAX_AVOID_S, record.avoid_s * 2)
    return True
