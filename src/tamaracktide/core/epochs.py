"""Tracks the highest ownership epochs to reject grants of earlier owners."""

from collections.abc import Mapping


class EpochTracker:
    """The highest observed epoch of each upstream; it never decreases."""

    __slots__ = ("_epochs",)

    def __init__(self) -> None:
        """Starts with no epochs."""
        self._epochs: dict[str, int] = {}

    def observe(self, upstream: str, epoch: int) -> bool:
        """Records an epoch unless it is stale; returns whether it is current.

        Args:
            upstream: Instance id of the engine.
            epoch: Epoch in a grant or in a peer's report.
        """
        if epoch < self._epochs.get(upstream, 0):
            return False
        self._epochs[upstream] = epoch
        return True

    def observe_all(self, epochs: Mapping[str, int]) -> None:
        """Records the epochs that a peer has observed."""
        for upstream, epoch in epochs.items():
            self.observe(upstream, epoch)

    def find(self, upstream: str) -> int:
        """Returns the highest observed epoch, 0 if there is none."""
        return self._epochs.get(upstream, 0)
