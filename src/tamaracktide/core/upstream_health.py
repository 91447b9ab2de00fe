"""Judges upstreams by what requests to them show, not by what they claim.

An upstream that fails many requests gets no new ones for a while; then it is
tried again. One that cannot be reached gets none until it can. A bound on how
many are avoided at once keeps a fault that all share from leaving none.
"""

import dataclasses
import statistics

FIRST_AVOID_S = 1.0
LONGEST_AVOID_S = 8.0
"""A trial request costs at most one repeat, so trials may come often."""

GAIN = 0.2
"""Weight of the newest result in the share of failures; five requests tell."""

AVOID_SHARE = 0.35
"""Share of failures from which an upstream is avoided; plain services fail
up to a seventh of their requests by themselves."""

ABOVE_USUAL = 0.2
"""Share of failures above the median from which avoiding helps: where all
fail alike, fewer upstreams only mean longer queues."""

MOST_AVOIDED_PART = 0.5
"""Part of a service's upstreams that may be avoided at once."""


@dataclasses.dataclass(slots=True)
class _Record:
    failures: float = 0.0
    avoid_s: float = FIRST_AVOID_S
    avoid_until: float = 0.0
    unreachable: bool = False


class UpstreamHealth:
    """Health of the upstreams of one service, as one instance sees it."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        """Starts with every upstream healthy."""
        self._records: dict[str, _Record] = {}

    def record_success(self, upstream: str) -> None:
        """Takes in an answer."""
        record = self._records.get(upstream)
        if record is None:
            return
        record.failures *= 1 - GAIN
        if record.failures < GAIN / 2 and not record.unreachable:
            del self._records[upstream]

    def record_failure(self, upstream: str, now: float) -> bool:
        """Takes in an error, or a lost answer; returns whether to avoid it."""
        record = self._records.setdefault(upstream, _Record())
        record.failures += GAIN * (1 - record.failures)
        if record.failures < AVOID_SHARE:
            return False
        return _avoid(record, now)

    def record_unreachable(self, upstream: str) -> bool:
        """Takes in that no connection came about; returns if it is news."""
        record = self._records.setdefault(upstream, _Record())
        known = record.unreachable
        record.unreachable = True
        return not known

    def record_reachable(self, upstream: str) -> None:
        """Takes in that a connection came about again."""
        record = self._records.get(upstream)
        if record is not None:
            record.unreachable = False

    def list_avoided(self, upstreams: list[str], now: float) -> set[str]:
        """Returns which of a service's upstreams get no new requests."""
        if not upstreams:
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
        usual = statistics.median(
            self._records[name].failures if name in self._records else 0.0
            for name in upstreams
        )
        failing = [
            name
            for name in failing
            if self._records[name].failures >= usual + ABOVE_USUAL
        ]
        if len(unreachable) == len(upstreams):
            return set()
        most = int(len(upstreams) * MOST_AVOIDED_PART)
        failing.sort(key=lambda name: -self._records[name].failures)
        return unreachable | set(failing[: max(0, most - len(unreachable))])

    def find_next_trial(self, now: float) -> float:
        """Returns when an avoided upstream is next tried, or infinity."""
        return min(
            (
                record.avoid_until
                for record in self._records.values()
                if record.avoid_until > now
            ),
            default=float("inf"),
        )


def _avoid(record: _Record, now: float) -> bool:
    if now < record.avoid_until:
        return False
    record.avoid_until = now + record.avoid_s
    record.avoid_s = min(LONGEST_AVOID_S, record.avoid_s * 2)
    return True
