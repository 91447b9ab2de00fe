"""Keeps digests small: sent on a change, epochs only if they changed."""

from collections.abc import Iterable
import dataclasses
import math

from tamaracktide.protocol import messages


class OutgoingLoads:
    """Which loads of cells to send over one connection.

    A load is sent again once it differs by a tenth of the cell's capacity,
    begins or ceases to be waited for, or is older than the refresh time.
    """

    __slots__ = ("_refresh_s", "_sent")

    def __init__(self, refresh_s: float) -> None:
        """Starts without loads sent."""
        self._refresh_s = refresh_s
        self._sent: dict[tuple[str, str], tuple[messages.CellLoad, float]] = {}

    def next(
        self, loads: Iterable[messages.CellLoad], now: float
    ) -> tuple[messages.CellLoad, ...]:
        """Returns those of the present loads to send."""
        chosen = [load for load in loads if self._is_due(load, now)]
        for load in chosen:
            self._sent[load.pool, load.zone] = (load, now)
        return tuple(chosen)

    def _is_due(self, load: messages.CellLoad, now: float) -> bool:
        sent = self._sent.get((load.pool, load.zone))
        if sent is None or now - sent[1] >= self._refresh_s:
            return True
        return _differ(load, sent[0])


class Outgoing:
    """What was last told over one connection."""

    __slots__ = ("_refresh_s", "_sent", "_sent_at")

    def __init__(self, refresh_s: float) -> None:
        """Starts without a digest sent.

        Args:
            refresh_s: Time after which the whole digest is sent again.
        """
        self._refresh_s = refresh_s
        self._sent: messages.Digest | None = None
        self._sent_at = -math.inf

    def next(
        self, digest: messages.Digest, now: float
    ) -> messages.Digest | None:
        """Returns what to send of the present digest, or None."""
        sent = self._sent
        if sent is None or now - self._sent_at >= self._refresh_s:
            self._sent = digest
            self._sent_at = now
            return digest
        if digest == sent:
            return None
        self._sent = digest
        known = sent.epochs
        changed = {
            upstream: epoch
            for upstream, epoch in digest.epochs.items()
            if known.get(upstream) != epoch
        }
        return dataclasses.replace(digest, epochs=changed)


def _differ(load: messages.CellLoad, sent: messages.CellLoad) -> bool:
    if load.capacity != sent.capacity:
        return True
    if bool(load.waiting) != bool(sent.waiting):
        return True
    step = max(1.0, load.capacity / 10)
    moved = abs(load.running - sent.running) + abs(load.waiting - sent.waiting)
    return moved >= step
