"""Quarantine of requests that crash their upstreams.

A request that was running when its upstream was lost becomes a suspect and
runs alone from then on. If it completes alone, it is cleared. If another
upstream is lost while it runs alone, it is quarantined for a limited time. A
request runs alone only after an earlier loss, so a loss alone is at least the
second one, even if another scheduler observed the first.

Requests are identified by a fingerprint of their content.
"""

from collections.abc import Iterable
import dataclasses

from tamaracktide import invariants

LOSSES_TO_QUARANTINE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """Durations and limits of suspects and quarantine.

    Attributes:
        suspect_s: Time for which a request stays a suspect after a loss.
        quarantine_s: Time for which a quarantined request is refused.
        told_s: Time for which a quarantine is announced to peers; less than
            `quarantine_s`, so that peers cannot extend it indefinitely by
            announcing it to each other.
        losses_beside_others: Number of upstreams lost while other requests
            also ran, after which a request is quarantined; 0 quarantines a
            request only if it ran alone.
        max_suspects: Maximum number of tracked suspects.
        max_quarantined: Maximum number of quarantined requests that are
            tracked and announced.
    """

    suspect_s: float = 600.0
    quarantine_s: float = 600.0
    told_s: float = 60.0
    losses_beside_others: int = 0
    max_suspects: int = 4096
    max_quarantined: int = 256


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Losses that are attributed to a request.

    Attributes:
        losses: Number of upstreams lost while the request ran.
        lost_at: Time of the last loss, or of a peer's announcement.
        from_peer: Whether only a peer reported the request. Such a suspect is
            not announced again, so that peers cannot extend it indefinitely.
    """

    losses: int
    lost_at: float
    from_peer: bool = False


class Quarantine:
    """Suspects and quarantined requests as tracked by one instance."""

    __slots__ = ("_quarantined", "_settings", "_suspects")

    def __init__(self, settings: QuarantineSettings) -> None:
        """Starts without suspects."""
        invariants.check(
            settings.told_s < settings.quarantine_s,
            f"told_s is {settings.told_s}, "
            f"must be less than quarantine_s, {settings.quarantine_s}",
        )
        self._settings = settings
        self._suspects: dict[str, _Suspect] = {}
        self._quarantined: dict[str, float] = {}

    def record_loss(self, fingerprint: str, alone: bool, now: float) -> None:
        """Records that a request was running when its upstream was lost.

        Args:
            fingerprint: Fingerprint of the request.
            alone: Whether no other request ran on the upstream.
            now: Current time, seconds.
        """
        self._drop_expired(now)
        if fingerprint in self._quarantined:
            # The request was still running elsewhere when it was quarantined.
            return
        previous = self._suspects.pop(fingerprint, None)
        losses = previous.losses + 1 if previous is not None else 1
        max_losses = self._settings.losses_beside_others
        if not alone and not (max_losses and losses >= max_losses):
            self._suspects[fingerprint] = _Suspect(losses, now)
            _keep_newest(self._suspects, self._settings.max_suspects)
            return
        losses = max(losses, LOSSES_TO_QUARANTINE)
        invariants.check(
            losses >= LOSSES_TO_QUARANTINE,
            f"request {fingerprint} quarantined after only {losses} losses",
        )
        self._quarantine(fingerprint, now)

    def record_completion(
        self, fingerprint: str, alone: bool, now: float
    ) -> None:
        """Records that a request completed without losing its upstream."""
        self._drop_expired(now)
        if alone:
            self._suspects.pop(fingerprint, None)

    def apply_quarantined(
        self, fingerprints: Iterable[str], now: float
    ) -> None:
        """Applies the quarantined requests that a peer announced."""
        self._drop_expired(now)
        for fingerprint in fingerprints:
            if fingerprint and fingerprint not in self._quarantined:
                self._quarantine(fingerprint, now)

    def apply_suspects(self, fingerprints: Iterable[str], now: float) -> None:
        """Applies the suspects that a peer announced."""
        self._drop_expired(now)
        for fingerprint in fingerprints:
            is_suspect = fingerprint in self._suspects
            if (
                fingerprint
                and not is_suspect
                and fingerprint not in (self._quarantined)
            ):
                self._suspects[fingerprint] = _Suspect(1, now, from_peer=True)
        _keep_newest(self._suspects, self._settings.max_suspects)

    def list_suspects(self, now: float) -> tuple[str, ...]:
        """Returns recent local suspects to announce to peers, sorted."""
        self._drop_expired(now)
        limit = now - self._settings.told_s
        own = sorted(
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.lost_at > limit and not suspect.from_peer
        )
        return tuple(own[: self._settings.max_quarantined])

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must be refused."""
        self._drop_expired(now)
        return fingerprint in self._quarantined

    def must_run_alone(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must run alone on its upstream."""
        self._drop_expired(now)
        return fingerprint in self._suspects

    def list_announced(self, now: float) -> tuple[str, ...]:
        """Returns the quarantined fingerprints to announce to peers, sorted."""
        self._drop_expired(now)
        limit = now - self._settings.told_s
        return tuple(
            sorted(
                fingerprint
                for fingerprint, at in self._quarantined.items()
                if at > limit
            )
        )

    def count_quarantined(self, now: float) -> int:
        """Returns the number of quarantined requests."""
        self._drop_expired(now)
        return len(self._quarantined)

    def _quarantine(self, fingerprint: str, now: float) -> None:
        self._suspects.pop(fingerprint, None)
        self._quarantined.pop(fingerprint, None)
        self._quarantined[fingerprint] = now
        _keep_newest(self._quarantined, self._settings.max_quarantined)

    def _drop_expired(self, now: float) -> None:
        """Drops expired entries; both dictionaries are ordered by time."""
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if now - suspect.lost_at < self._settings.suspect_s:
                break
            del self._suspects[fingerprint]
        while self._quarantined:
            fingerprint, at = next(iter(self._quarantined.items()))
            if now - at < self._settings.quarantine_s:
                break
            del self._quarantined[fingerprint]
        invariants.check(
            self._suspects.keys().isdisjoint(self._quarantined),
            "request is both quarantined and a suspect",
        )


def _keep_newest(
    entries: dict[str, _Suspect] | dict[str, float], max_entries: int
) -> None:
    while len(entries) > max_entries:
        del entries[next(iter(entries))]
