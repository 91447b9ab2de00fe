"""Finds which parts of prompts crash upstreams.

Parts that have only been lost together are one suspect: a request is refused
if it holds every part that a crash can be explained by. One that holds some of
them only tells them apart. If it survives, what it holds is cleared, also of a
quarantine; if it does not, its crash has fewer explanations.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import itertools
import math

from tamaracktide.core import crash_evidence

MIN_SHARED_CRASHES = 2
"""Crashes in which a part was present before it explains one of them. What only
one request holds explains none."""

MIN_UNEXPLAINED = 2
"""Crashes without another explanation after which parts are refused. One may be
the first crash of another part."""

PROBATION_S = 5.0
"""Time after the last crash in which parts are also refused that explain more
crashes than others do. Afterwards a request may show that it was not they; if
it crashes an upstream as well, they stay refused."""

MAX_CRASHES = 256
MAX_TOLD = 256

QUARANTINE_S = 600.0
ANNOUNCED_S = 60.0
"""Time for which groups are announced; less than `QUARANTINE_S`, so that
instances cannot extend it forever by telling each other."""

NOT_ANNOUNCED = -math.inf
"""Time of a group that is refused here only."""

Group = frozenset[str]
"""Parts that are refused together."""


@dataclasses.dataclass(slots=True)
class _Crash:
    """A crash, and the requests of each part that were lost in it."""

    at: float
    requests: dict[str, set[str]] = dataclasses.field(default_factory=dict)


class PartEvidence:
    """Suspected parts, and the groups of parts that are refused."""

    __slots__ = (
        "_crashes",
        "_due_at",
        "_groups",
        "_is_changed",
        "_settings",
        "_survivals",
        "_told",
        "_valid_until",
    )

    def __init__(self, settings: crash_evidence.EvidenceSettings) -> None:
        """Starts without suspects."""
        self._settings = settings
        self._survivals = crash_evidence.Survivals()
        self._crashes: collections.OrderedDict[Hashable, _Crash] = (
            collections.OrderedDict()
        )
        self._due_at: dict[str, float] = {}
        self._told: dict[Group, float] = {}
        self._groups: dict[Group, float] = {}
        self._is_changed = False
        self._valid_until = math.inf

    def record_crash(
        self,
        crash: Hashable,
        parts_by_request: Mapping[str, Iterable[str]],
        now: float,
        *,
        hold_s: float = 0.0,
    ) -> None:
        """Records requests that were lost in a crash.

        Args:
            crash: Identifies the crash.
            parts_by_request: Parts of the requests' prompts, by request.
            now: Current time, seconds.
            hold_s: Time for other instances to say that a part survived, before
                it is quarantined.
        """
        recorded = self._crashes.setdefault(crash, _Crash(now))
        for request, parts in parts_by_request.items():
            for part in parts:
                if not self._survivals.clears(part, now):
                    recorded.requests.setdefault(part, set()).add(request)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        for part in self._list_convicted():
            self._due_at.setdefault(part, now + hold_s)
        self._is_changed = True

    def record_survival(self, part: str, now: float) -> None:
        """Records that a request with a part did not crash its upstream."""
        self._survivals.record(part, now)
        self._acquit(part)

    def clear(self, part: str, now: float) -> None:
        """Drops a part that survived at another instance.

        It is remembered for a moment only and not announced, so that instances
        cannot clear a part forever by announcing it to each other.
        """
        self._survivals.record_elsewhere(part, now)
        self._acquit(part)

    def has_survived(self, part: str, now: float) -> bool:
        """Returns whether a request with a part has survived recently."""
        return self._survivals.has(part, now)

    def apply_told(self, groups: Iterable[Iterable[str]], now: float) -> None:
        """Applies groups that another instance refuses.

        Parts that have survived here are left out.
        """
        for parts in groups:
            group = frozenset(p for p in parts if not self.has_survived(p, now))
            if group and group not in self._told and len(self._told) < MAX_TOLD:
                self._told[group] = now
                self._is_changed = True

    def is_refused(self, parts: Iterable[str], now: float) -> bool:
        """Returns whether a request with parts must be refused."""
        held = frozenset(parts)
        return any(group <= held for group in self._list_groups(now))

    def list_announced(self, now: float) -> tuple[tuple[str, ...], ...]:
        """Returns the groups to announce to other instances, sorted."""
        return tuple(
            sorted(
                tuple(sorted(group))
                for group, at in self._list_groups(now).items()
                if now < at + ANNOUNCED_S
            )
        )

    def _acquit(self, part: str) -> None:
        """Drops a part, so that what it was lost with explains the crashes."""
        for crash in self._crashes.values():
            if crash.requests.pop(part, None) is not None:
                self._is_changed = True
        self._due_at.pop(part, None)
        for group in [group for group in self._told if part in group]:
            at = self._told.pop(group)
            if len(group) > 1:
                self._told.setdefault(group - {part}, at)
            self._is_changed = True

    def _list_groups(self, now: float) -> dict[Group, float]:
        """Returns the groups that are refused, and the time of each one."""
        if self._is_changed or now >= self._valid_until:
            self._drop_expired(now)
            self._groups = self._find_groups(now) | self._told
            self._is_changed = False
            self._valid_until = self._find_valid_until(now)
        return self._groups

    def _find_groups(self, now: float) -> dict[Group, float]:
        """Returns the groups that follow from the crashes."""
        by_part = self._list_crashes_by_part()
        convicted = {
            part
            for part in self._list_convicted()
            if self._due_at.get(part, now) <= now
        }
        suspects = {
            part
            for part, lost_in in by_part.items()
            if len(lost_in) >= MIN_SHARED_CRASHES
            and self._count_requests(part) >= self._settings.requests
        }
        likely = {
            part
            for part in suspects
            if not _is_explained(part, convicted, by_part)
        }
        found: dict[Group, float] = {}
        for group, times in self._explain(likely).items():
            is_on_probation = now < times[-1] + PROBATION_S
            if not group & convicted:
                continue
            if _has_failed(times):
                found[group] = times[-1]
            elif is_on_probation:
                # Others would refuse what they are told for much longer.
                found[group] = NOT_ANNOUNCED
        for group, times in self._explain(suspects).items():
            is_certain = len(times) >= MIN_UNEXPLAINED
            if group & convicted and is_certain:
                found[group] = times[-1]
        return found

    def _explain(self, suspects: set[str]) -> dict[Group, list[float]]:
        """Returns when crashes happened that each group alone explains."""
        explanations = [
            (frozenset(suspects.intersection(crash.requests)), crash.at)
            for crash in self._crashes.values()
        ]
        return {
            group: [
                at for other, at in explanations if other and other <= group
            ]
            for group in {group for group, _ in explanations if group}
        }

    def _list_crashes_by_part(self) -> dict[str, set[Hashable]]:
        by_part: dict[str, set[Hashable]] = {}
        for name, crash in self._crashes.items():
            for part in crash.requests:
                by_part.setdefault(part, set()).add(name)
        return by_part

    def _list_convicted(self) -> list[str]:
        """Returns the parts of enough crashes, and of several requests."""
        settings = self._settings
        return [
            part
            for part, lost_in in self._list_crashes_by_part().items()
            if len(lost_in) >= settings.crashes
            and self._count_requests(part) >= settings.requests
        ]

    def _count_requests(self, part: str) -> int:
        return len(
            frozenset().union(
                *(
                    crash.requests.get(part, ())
                    for crash in self._crashes.values()
                )
            )
        )

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._settings.suspect_s
        while self._crashes and next(iter(self._crashes.values())).at <= oldest:
            self._crashes.popitem(last=False)
        self._told = {
            group: at
            for group, at in self._told.items()
            if now < at + QUARANTINE_S
        }

    def _find_valid_until(self, now: float) -> float:
        """Returns when the groups may change by the passing of time."""
        times = list(self._due_at.values())
        times.extend(at + QUARANTINE_S for at in self._told.values())
        for crash in self._crashes.values():
            times.append(crash.at + PROBATION_S)
            times.append(crash.at + self._settings.suspect_s)
        return min((at for at in times if at > now), default=math.inf)


def _has_failed(times: list[float]) -> bool:
    """Whether an upstream crashed although others had time to recover."""
    return any(
        later - earlier >= PROBATION_S
        for earlier, later in itertools.pairwise(times)
    )


def _is_explained(
    part: str, convicted: set[str], by_part: dict[str, set[Hashable]]
) -> bool:
    """Whether another part was in all crashes of a part, and in others."""
    lost_in = by_part[part]
    return any(
        lost_in < by_part[other]
        and len(by_part[other]) - len(lost_in) >= MIN_UNEXPLAINED
        for other in convicted
    )
