"""Interface of the random number generator that is passed to the core."""

import typing


class Random(typing.Protocol):
    """Subset of `random.Random` that the decision core uses."""

    def uniform(self, a: float, b: float) -> float:
        """Returns a random float between two bounds."""

    def getrandbits(self, k: int, /) -> int:
        """Returns an integer of `k` random bits."""
