"""Highest ownership epochs seen; grants of an older owner are refused."""

from collections.abc import Mapping


class EpochTracker:
    """The highest epoch seen of each upstream; it never falls."""

    __slots__ = ("_epochs",)

    def __init__(self) -> None:
        """Starts without knowledge."""
        self._epochs: dict[str, int] = {}

    def observe(self, upstream: str, epoch: int) -> bool:
        """Returns whether an epoch is current, and keeps it if it is.

        Args:
            upstream: Instance id of the engine.
            epoch: Epoch that a grant or a peer names.
        """
        if epoch < self._epochs.get(upstream, 0):
            return False
        self._epochs[upstream] = epoch
        return True

    def observe_all(self, epochs: Mapping[str, int]) -> None:
        """Takes in the epochs that a peer has seen."""
        for upstream, epoch in epochs.items():
            self.observe(upstream, epoch)

    def find(self, upstream: str) -> int:
        """Returns the highest epoch seen, 0 for none."""
        return self._epochs.get(upstream, 0)
