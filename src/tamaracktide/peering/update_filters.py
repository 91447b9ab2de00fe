"""Limits digests and loads on a connection to what has changed."""

from collections.abc import Iterable
import dataclasses
import math

from tamaracktide.protocol import messages


class LoadFilter:
    """Selects the cells' loads to send over one connection.

    A load is sent again once it differs by a tenth of the cell's capacity, the
    capacity changes, its queue becomes empty or non-empty, or the refresh time
    has passed.
    """

    __slots__ = ("_refresh_s", "_sent")

    def __init__(self, refresh_s: float) -> None:
        """Initializes the filter with no load sent."""
        self._refresh_s = refresh_s
        self._sent: dict[tuple[str, str], tuple[messages.CellLoad, float]] = {}

    def next(
        self, loads: Iterable[messages.CellLoad], now: float
    ) -> tuple[messages.CellLoad, ...]:
        """Returns the subset of the current loads to send."""
        due = [load for load in loads if self._is_due(load, now)]
        for load in due:
            self._sent[load.pool, load.zone] = (load, now)
        return tuple(due)

    def _is_due(self, load: messages.CellLoad, now: float) -> bool:
        sent = self._sent.get((load.pool, load.zone))
        if sent is None or now - sent[1] >= self._refresh_s:
            return True
        return _is_significant_change(load, sent[0])


class DigestFilter:
    """Reduces digests to the changes since the last one on a connection."""

    __slots__ = ("_refresh_s", "_sent", "_sent_at")

    def __init__(self, refresh_s: float) -> None:
        """Initializes the filter with no digest sent.

        Args:
            refresh_s: Time after which the complete digest is sent again.
        """
        self._refresh_s = refresh_s
        self._sent: messages.Digest | None = None
        self._sent_at = -math.inf

    def next(
        self, digest: messages.Digest, now: float
    ) -> messages.Digest | None:
        """Returns the part of the current digest to send, or None.

        Between refreshes, `epochs` holds only the changed ones.
        """
        sent = self._sent
        if sent is None or now - self._sent_at >= self._refresh_s:
            self._sent = digest
            self._sent_at = now
            return digest
        if digest == sent:
            return None
        self._sent = digest
        previous_epochs = sent.epochs
        changed = {
            upstream: epoch
            for upstream, epoch in digest.epochs.items()
            if previous_epochs.get(upstream) != epoch
        }
        return dataclasses.replace(digest, epochs=changed)


def _is_significant_change(
    load: messages.CellLoad, sent: messages.CellLoad
) -> bool:
    if load.capacity != sent.capacity:
        return True
    if bool(load.waiting) != bool(sent.waiting):
        return True
    step = max(1.0, load.capacity / 10)
    delta = abs(load.running - sent.running) + abs(load.waiting - sent.waiting)
    return delta >= step
