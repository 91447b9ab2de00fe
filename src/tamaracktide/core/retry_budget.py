"""Retry budget that limits retries to a small fraction of requests."""

import dataclasses
from typing import Annotated
from typing import Protocol

import msgspec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetSettings:
    """Limits of the retry budget.

    Attributes:
        fraction: Retries that each request adds to the budget.
        burst: Maximum number of accumulated retries.
    """

    fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    burst: Annotated[float, msgspec.Meta(ge=1)] = 50.0


class Budget(Protocol):
    """Interface of a retry budget."""

    def add_request(self) -> None:
        """Counts a request."""

    def take(self) -> bool:
        """Consumes one retry; returns whether the budget allowed it."""


class RetryBudget:
    """Token bucket that requests refill and retries drain."""

    __slots__ = ("_settings", "_tokens")

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Starts with a full bucket."""
        self._settings = settings
        self._tokens = settings.burst

    @property
    def tokens(self) -> float:
        """Number of retries that are currently allowed."""
        return self._tokens

    def add_request(self) -> None:
        """Counts a request."""
        self._tokens = min(
            self._settings.burst, self._tokens + self._settings.fraction
        )

    def take(self) -> bool:
        """Consumes one retry; returns whether the budget allowed it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
