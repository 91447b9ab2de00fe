"""Finds what crashes upstreams from the requests that were lost with them.

A cause is a request, or a part that several requests share. It is quarantined
once it was present in enough crashes, of enough different requests, since a
request with it last survived.
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
        parts: Parts of prompts.
    """

    requests: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()


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


class CrashEvidence:
    """Suspected and quarantined causes of one kind."""

    __slots__ = (
        "_cleared",
        "_due_at",
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
        self._survivals: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._cleared: dict[str, float] = {}
        self._due_at: dict[str, float] = {}

    def record_crash(
        self,
        cause: str,
        crash: Hashable,
        request: str,
        now: float,
        *,
        hold_s: float = 0.0,
    ) -> None:
        """Records that a request with a cause was lost in a crash.

        Args:
            cause: The cause.
            crash: Identifies the crash, which counts once for each cause.
            request: The request.
            now: Current time, seconds.
            hold_s: Time for other instances to say that the cause survived,
                before it is quarantined.
        """
        if self.has_survived(cause, now) or self.is_quarantined(cause, now):
            return
        if now < self._cleared.get(cause, -math.inf) + CLEAR_MEMORY_S:
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
            self._due_at.setdefault(cause, now + hold_s)
        self._suspects[cause] = suspect
        self._quarantine_due(now)
        if len(self._suspects) > settings.max_suspects:
            self._drop_suspect(next(iter(self._suspects)))

    def record_survival(self, cause: str, now: float) -> None:
        """Records that a request with a cause did not crash its upstream."""
        self._drop_suspect(cause)
        self._survivals.pop(cause, None)
        self._survivals[cause] = now
        if len(self._survivals) > MAX_SURVIVALS:
            self._survivals.popitem(last=False)

    def _quarantine_due(self, now: float) -> None:
        """Quarantines the causes whose time to survive is over."""
        due = [cause for cause, at in self._due_at.items() if at <= now]
        for cause in due:
            self._drop_suspect(cause)
        self._quarantine.apply_quarantined(due, now)

    def _drop_suspect(self, cause: str) -> None:
        self._suspects.pop(cause, None)
        self._due_at.pop(cause, None)

    def clear(self, cause: str, now: float) -> None:
        """Drops the crashes of a cause that survived at another instance.

        It is remembered for a moment only and not announced, so that instances
        cannot clear a cause forever by announcing it to each other.
        """
        self._drop_suspect(cause)
        self._cleared = {
            name: at
            for name, at in self._cleared.items()
            if now < at + CLEAR_MEMORY_S
        }
        self._cleared[cause] = now

    def apply_quarantined(self, causes: Iterable[str], now: float) -> None:
        """Applies causes that another instance has quarantined.

        Those that have survived here are ignored.
        """
        accepted = [
            cause for cause in causes if not self.has_survived(cause, now)
        ]
        for cause in accepted:
            self._drop_suspect(cause)
        self._quarantine.apply_quarantined(accepted, now)

    def is_quarantined(self, cause: str, now: float) -> bool:
        """Returns whether requests with a cause must be refused."""
        self._quarantine_due(now)
        return self._quarantine.is_quarantined(cause, now)

    def list_announced(self, now: float) -> tuple[str, ...]:
        """Returns the quarantined causes to announce to peers, sorted."""
        self._quarantine_due(now)
        return self._quarantine.list_announced(now)

    def has_survived(self, cause: str, now: float) -> bool:
        """Returns whether a request with a cause has survived recently."""
        survived_at = self._survivals.get(cause)
        return survived_at is not None and now < survived_at + SURVIVAL_MEMORY_S

    def _drop_expired(self, now: float) -> None:
        while self._suspects:
            cause, suspect = next(iter(self._suspects.items()))
            if now < suspect.lost_at + self._settings.suspect_s:
                return
            del self._suspects[cause]
