"""Requests that crash their upstreams: suspects and quarantine.

A request that ran when its upstream was lost is a suspect and runs alone from
then on. One that completes alone is innocent. One that loses a further
upstream alone is quarantined for a time. A request runs alone only after an
earlier loss, so a loss alone is the second at least, also if another
scheduler saw the first.

Requests are known by a fingerprint of their content.
"""

from collections.abc import Iterable
import dataclasses

from tamaracktide import invariants

LOSSES_TO_QUARANTINE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """How long verdicts hold and how many are kept.

    Attributes:
        suspect_s: Time that a request stays a suspect after a loss.
        quarantine_s: Time that a quarantined request is refused.
        told_s: Time that a quarantine is told to others; less than
            `quarantine_s`, so that peers can't keep it alive by turns.
        losses_beside_others: Upstreams lost beside other requests after which
            a request is quarantined as well; 0 quarantines only alone.
        max_suspects: Suspects that are remembered.
        max_quarantined: Quarantined requests that are remembered and told.
    """

    suspect_s: float = 600.0
    quarantine_s: float = 600.0
    told_s: float = 60.0
    losses_beside_others: int = 0
    max_suspects: int = 4096
    max_quarantined: int = 256


@dataclasses.dataclass(slots=True)
class _Suspect:
    """What speaks against a request.

    Attributes:
        losses: Upstreams lost while it ran.
        lost_at: When the last one was lost, or a peer told so.
        is_told: Whether only a peer's word speaks against it, which is not
            passed on, so that peers can't keep it alive by turns.
    """

    losses: int
    lost_at: float
    is_told: bool = False


class Quarantine:
    """What one scheduler knows of requests that crash upstreams."""

    __slots__ = ("_quarantined", "_settings", "_suspects")

    def __init__(self, settings: QuarantineSettings) -> None:
        """Starts without suspects."""
        invariants.check(
            settings.told_s < settings.quarantine_s,
            f"told for {settings.told_s} s, held {settings.quarantine_s} s",
        )
        self._settings = settings
        self._suspects: dict[str, _Suspect] = {}
        self._quarantined: dict[str, float] = {}

    def record_loss(self, fingerprint: str, alone: bool, now: float) -> None:
        """Takes in that a request ran when its upstream was lost.

        Args:
            fingerprint: The request's.
            alone: Whether nothing else ran on the upstream.
            now: Present time, seconds.
        """
        self._forget_old(now)
        if fingerprint in self._quarantined:
            # It was still running elsewhere when it was quarantined.
            return
        known = self._suspects.pop(fingerprint, None)
        losses = known.losses + 1 if known is not None else 1
        most = self._settings.losses_beside_others
        if not alone and not (most and losses >= most):
            self._suspects[fingerprint] = _Suspect(losses, now)
            _keep_newest(self._suspects, self._settings.max_suspects)
            return
        losses = max(losses, LOSSES_TO_QUARANTINE)
        invariants.check(
            losses >= LOSSES_TO_QUARANTINE,
            f"{fingerprint} quarantined after {losses} losses",
        )
        self._quarantine(fingerprint, now)

    def record_completion(
        self, fingerprint: str, alone: bool, now: float
    ) -> None:
        """Takes in that a request ended and its upstream went on."""
        self._forget_old(now)
        if alone:
            self._suspects.pop(fingerprint, None)

    def apply_quarantined(
        self, fingerprints: Iterable[str], now: float
    ) -> None:
        """Takes in what a peer has quarantined."""
        self._forget_old(now)
        for fingerprint in fingerprints:
            if fingerprint and fingerprint not in self._quarantined:
                self._quarantine(fingerprint, now)

    def apply_suspects(self, fingerprints: Iterable[str], now: float) -> None:
        """Takes in which requests a peer saw run when an upstream was lost."""
        self._forget_old(now)
        for fingerprint in fingerprints:
            known = fingerprint in self._suspects
            if (
                fingerprint
                and not known
                and fingerprint not in (self._quarantined)
            ):
                self._suspects[fingerprint] = _Suspect(1, now, is_told=True)
        _keep_newest(self._suspects, self._settings.max_suspects)

    def list_suspects(self, now: float) -> tuple[str, ...]:
        """Returns the suspects to tell peers, sorted: own and recent ones."""
        self._forget_old(now)
        limit = now - self._settings.told_s
        own = sorted(
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.lost_at > limit and not suspect.is_told
        )
        return tuple(own[: self._settings.max_quarantined])

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether a request must be refused."""
        self._forget_old(now)
        return fingerprint in self._quarantined

    def must_run_alone(self, fingerprint: str, now: float) -> bool:
        """Whether no other request may run beside a request."""
        self._forget_old(now)
        return fingerprint in self._suspects

    def list_announced(self, now: float) -> tuple[str, ...]:
        """Returns the quarantined fingerprints to tell others, sorted."""
        self._forget_old(now)
        limit = now - self._settings.told_s
        return tuple(
            sorted(one for one, at in self._quarantined.items() if at > limit)
        )

    def count_quarantined(self, now: float) -> int:
        """Returns how many requests are refused."""
        self._forget_old(now)
        return len(self._quarantined)

    def _quarantine(self, fingerprint: str, now: float) -> None:
        self._suspects.pop(fingerprint, None)
        self._quarantined.pop(fingerprint, None)
        self._quarantined[fingerprint] = now
        _keep_newest(self._quarantined, self._settings.max_quarantined)

    def _forget_old(self, now: float) -> None:
        """Drops aged facts; both dictionaries are in order of time."""
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
            "a quarantined request is a suspect as well",
        )


def _keep_newest(
    facts: dict[str, _Suspect] | dict[str, float], most: int
) -> None:
    while len(facts) > most:
        del facts[next(iter(facts))]
