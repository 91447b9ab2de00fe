"""Finds the requests that crash upstreams from those that were lost with them.

A cause is quarantined once it was present in enough crashes since it last
survived. Parts that prompts share are judged by `part_evidence`.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import math

from tamaracktide.core import quarantine

SURVIVAL_MEMORY_S = 10.0
"""Time for which a survival clears a cause of later crashes as well: sound
requests also run while upstreams crash for other reasons."""

MAX_SURVIVALS = 4096

CLEAR_MEMORY_S = 1.0
"""Time for which a cause that survived elsewhere stays cleared: the notices of
upstreams that ended together arrive one after the other."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceSettings:
    """What suffices to quarantine a cause.

    Attributes:
        crashes: Number of crashes.
        requests: Number of different requests that were lost in them.
        suspect_s: Time for which a cause stays a suspect after a crash.
        max_suspects: Maximum number of tracked suspects.
    """

    crashes: int
    requests: int = 1
    suspect_s: float = 600.0
    max_suspects: int = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Quarantined:
    """What instances refuse.

    Attributes:
        requests: Fingerprints of requests.
        groups: Parts of prompts that are refused together.
    """

    requests: tuple[str, ...] = ()
    groups: tuple[tuple[str, ...], ...] = ()

    @property
    def parts(self) -> tuple[str, ...]:
        """Parts that are refused by themselves."""
        return tuple(group[0] for group in self.groups if len(group) == 1)


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes in which a cause was present.

    Attributes:
        crashes: The crashes.
        requests: The requests with the cause that were lost in them.
        lost_at: Time of the last crash, seconds.
    """

    crashes: set[Hashable]
    requests: set[str]
    lost_at: float


class Survivals:
    """What requests have recently run with, without crashing an upstream."""

    __slots__ = ("_at", "_elsewhere_at")

    def __init__(self) -> None:
        """Starts without survivals."""
        self._at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._elsewhere_at: dict[str, float] = {}

    def record(self, cause: str, now: float) -> None:
        """Records that a request with a cause did not crash its upstream."""
        self._at.pop(cause, None)
        self._at[cause] = now
        if len(self._at) > MAX_SURVIVALS:
            self._at.popitem(last=False)

    def record_elsewhere(self, cause: str, now: float) -> None:
        """Records that a cause survived at another instance."""
        self._elsewhere_at = {
            name: at
            for name, at in self._elsewhere_at.items()
            if now < at + CLEAR_MEMORY_S
        }
        self._elsewhere_at[cause] = now

    def has(self, cause: str, now: float) -> bool:
        """Returns whether a request with a cause has survived here recently."""
        survived_at = self._at.get(cause)
        return survived_at is not None and now < survived_at + SURVIVAL_MEMORY_S

    def clears(self, cause: str, now: float) -> bool:
        """Returns whether a crash now says nothing of a cause."""
        told_at = self._elsewhere_at.get(cause, -math.inf)
        return now < told_at + CLEAR_MEMORY_S or self.has(cause, now)


class CrashEvidence:
    """Suspected and quarantined causes of one kind."""

    __slots__ = (
        "_quarantine",
        "_settings",
        "_survivals",
        "_suspects",
    )

    def __init__(self, settings: EvidenceSettings) -> None:
        """Starts without suspects."""
        self._settings = settings
        self._quarantine = quarantine.Quarantine(
            quarantine.QuarantineSettings()
        )
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._survivals = Survivals()

    def record_crash(
        self,
        cause: str,
        crash: Hashable,
        request: str,
        now: float,
    ) -> None:
        """Records that a request with a cause was lost in a crash.

        Args:
            cause: The cause.
            crash: Identifies the crash, which counts once for each cause.
            request: The request.
            now: Current time, seconds.
        """
        if self.has_survived(cause, now) or self.is_quarantined(cause, now):
            return
        self._drop_expired(now)
        suspect = self._suspects.pop(cause, None) or _Suspect(set(), set(), now)
        suspect.crashes.add(crash)
        suspect.requests.add(request)
        suspect.lost_at = now
        settings = self._settings
        if (
            len(suspect.crashes) >= settings.crashes
            and len(suspect.requests) >= settings.requests
        ):
            self._quarantine.apply_quarantined((cause,), now)
            return
        self._suspects[cause] = suspect
        if len(self._suspects) > settings.max_suspects:
            self._suspects.popitem(last=False)

    def record_survival(self, cause: str, now: float) -> None:
        """Records that a request with a cause did not crash its upstream."""
        self._suspects.pop(cause, None)
        self._survivals.record(cause, now)

    def apply_quarantined(self, causes: Iterable[str], now: float) -> None:
        """Applies causes that another instance has quarantined.

        Those that have survived here are ignored.
        """
        accepted = [
            cause for cause in causes if not self.has_survived(cause, now)
        ]
        for cause in accepted:
            self._suspects.pop(cause, None)
        self._quarantine.apply_quarantined(accepted, now)

    def is_quarantined(self, cause: str, now: float) -> bool:
        """Returns whether requests with a cause must be refused."""
        return self._quarantine.is_quarantined(cause, now)

    def list_announced(self, now: float) -> tuple[str, ...]:
        """Returns the quarantined causes to announce to peers, sorted."""
        return self._quarantine.list_announced(now)

    def has_survived(self, cause: str, now: float) -> bool:
        """Returns whether a request with a cause has survived recently."""
        return self._survivals.has(cause, now)

    def _drop_expired(self, now: float) -> None:
        while self._suspects:
            cause, suspect = next(iter(self._suspects.items()))
            if now < suspect.lost_at + self._settings.suspect_s:
                return
            del self._suspects[cause]
