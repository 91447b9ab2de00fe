"""The random numbers that the decision core asks of its caller."""

import typing


class Random(typing.Protocol):
    """What the core needs of a generator; `random.Random` has it."""

    def uniform(self, a: float, b: float) -> float:
        """Returns a number between two bounds."""

    def getrandbits(self, k: int, /) -> int:
        """Returns a number of so many random bits."""
