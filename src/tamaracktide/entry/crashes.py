"""Detects requests that crash the upstreams that run them.

A lost response has many possible causes. It counts against a request only once
the upstream that ran it is observed to have restarted or been removed.
"""

from collections.abc import Mapping
import dataclasses

import anyio

from tamaracktide.core import quarantine
from tamaracktide.core import upstream_entries

RESTART_DETECTION_S = 8.0
"""Time within which the restart of a crashed upstream becomes visible."""

LOSS_THRESHOLD = 3
"""Number of lost upstreams at which a request is refused. Two can be a
coincidence while upstreams crash for other reasons."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    fingerprint: str
    upstream: str
    started_ms: int
    at: float


class CrashTracker:
    """Correlates lost responses with restarts of upstreams."""

    def __init__(self) -> None:
        """Starts without suspects."""
        self._quarantine = quarantine.Quarantine(
            quarantine.QuarantineSettings(losses_beside_others=LOSS_THRESHOLD)
        )
        self._losses: list[_Loss] = []

    def record_loss(
        self, fingerprint: str, entry: upstream_entries.UpstreamEntry
    ) -> None:
        """Records that a response was interrupted."""
        self._losses.append(
            _Loss(
                fingerprint,
                entry.upstream,
                entry.started_ms,
                anyio.current_time(),
            )
        )

    def record_completion(self, fingerprint: str) -> None:
        """Records that a request completed and its upstream kept running."""
        now = anyio.current_time()
        self._quarantine.record_completion(fingerprint, True, now)

    def check(
        self, entries: Mapping[str, upstream_entries.UpstreamEntry]
    ) -> None:
        """Counts the losses whose upstream has restarted or been removed."""
        now = anyio.current_time()
        pending = []
        for loss in self._losses:
            entry = entries.get(loss.upstream)
            if entry is None or entry.started_ms != loss.started_ms:
                self._quarantine.record_loss(loss.fingerprint, False, now)
            elif now < loss.at + RESTART_DETECTION_S:
                pending.append(loss)
        self._losses = pending

    def apply_quarantined(self, quarantined: tuple[str, ...]) -> None:
        """Applies the fingerprints that another instance has quarantined."""
        if quarantined:
            self._quarantine.apply_quarantined(
                quarantined, anyio.current_time()
            )

    def list_announced(self) -> tuple[str, ...]:
        """Returns the fingerprints that other instances should refuse too."""
        return self._quarantine.list_announced(anyio.current_time())

    def is_refused(self, fingerprint: str) -> bool:
        """Whether a request is quarantined."""
        now = anyio.current_time()
        return self._quarantine.is_quarantined(fingerprint, now)
