"""Requests that crash the upstreams that run them.

A lost answer alone says little. It counts against a request only once the
upstream that ran it is seen to have started again, or to be gone.
"""

from collections.abc import Mapping
import dataclasses

import anyio

from tamaracktide.core import quarantine
from tamaracktide.core import upstream_entries

SUSPECT_S = 8.0
"""Time in which an upstream that crashed shows that it started again."""

LOSSES_TO_REFUSE = 3
"""Upstreams lost after which a request is refused; two may be bad luck on a
day on which upstreams crash by themselves."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    fingerprint: str
    upstream: str
    started_ms: int
    at: float


class CrashTracker:
    """Joins lost answers with upstreams that started again."""

    def __init__(self) -> None:
        """Starts without suspects."""
        self._quarantine = quarantine.Quarantine(
            quarantine.QuarantineSettings(losses_beside_others=LOSSES_TO_REFUSE)
        )
        self._losses: list[_Loss] = []

    def record_loss(
        self, fingerprint: str, entry: upstream_entries.UpstreamEntry
    ) -> None:
        """Takes in that an answer broke off."""
        self._losses.append(
            _Loss(
                fingerprint,
                entry.upstream,
                entry.started_ms,
                anyio.current_time(),
            )
        )

    def record_completion(self, fingerprint: str) -> None:
        """Takes in that a request ran and its upstream went on."""
        now = anyio.current_time()
        self._quarantine.record_completion(fingerprint, True, now)

    def check(
        self, entries: Mapping[str, upstream_entries.UpstreamEntry]
    ) -> None:
        """Counts the losses whose upstream has started again or is gone."""
        now = anyio.current_time()
        kept = []
        for loss in self._losses:
            entry = entries.get(loss.upstream)
            if entry is None or entry.started_ms != loss.started_ms:
                self._quarantine.record_loss(loss.fingerprint, False, now)
            elif now < loss.at + SUSPECT_S:
                kept.append(loss)
        self._losses = kept

    def apply_quarantined(self, quarantined: tuple[str, ...]) -> None:
        """Takes in what another instance refuses."""
        if quarantined:
            self._quarantine.apply_quarantined(
                quarantined, anyio.current_time()
            )

    def list_announced(self) -> tuple[str, ...]:
        """Returns the requests that others should refuse as well."""
        return self._quarantine.list_announced(anyio.current_time())

    def is_refused(self, fingerprint: str) -> bool:
        """Whether a request is not to be run."""
        now = anyio.current_time()
        return self._quarantine.is_quarantined(fingerprint, now)
