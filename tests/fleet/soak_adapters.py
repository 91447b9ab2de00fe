"""Adapters of a stand-in of a model engine, and the orders that change them."""

import collections
import time
from typing import Any

LOAD_S = 0.25
HELD_LOAD_S = 0.025
"""Time to load an adapter that the engine has held before."""


class Adapters:
    """Adapters of an engine.

    Attributes:
        sequence: Number of accepted orders.
    """

    def __init__(self, slots: int) -> None:
        """Starts without adapters."""
        self.sequence = 0
        self._slots = slots
        self._ready_at: dict[str, float] = {}
        self._using: collections.Counter[str] = collections.Counter()
        self._unloading: set[str] = set()
        self._held: set[str] = set()

    def list_ready(self) -> list[str]:
        """Returns the adapters that are loaded."""
        now = time.monotonic()
        return [name for name, at in self._ready_at.items() if at <= now]

    def list_coming(self) -> list[str]:
        """Returns the adapters that are being loaded."""
        now = time.monotonic()
        return [name for name, at in self._ready_at.items() if at > now]

    def is_ready(self, name: str) -> bool:
        """Whether an adapter is loaded."""
        return (
            name in self._ready_at and self._ready_at[name] <= time.monotonic()
        )

    def is_unloading(self, name: str) -> bool:
        """Whether an adapter waits for its runs to be unloaded."""
        return name in self._unloading

    def apply(self, order: dict[str, Any]) -> int:
        """Carries an order out and returns the status of the response."""
        if not order.get("Holder") or not order.get("FencingToken"):
            return 400
        if order.get("Precondition", self.sequence) != self.sequence:
            return 409
        name = order.get("Adapter", "")
        if not name:
            return 200
        if name in self._unloading:
            return 409
        if order["Operation"] == "unload":
            return self._unload(name)
        if name in self._ready_at:
            return 200
        self.sequence += 1
        load_s = HELD_LOAD_S if name in self._held else LOAD_S
        self._ready_at[name] = time.monotonic() + load_s
        self._held.add(name)
        return 202

    @property
    def is_overloaded(self) -> bool:
        """Whether it was ordered to load more than it holds."""
        return len(self._ready_at) > self._slots

    def _unload(self, name: str) -> int:
        self.sequence += 1
        if self._using[name]:
            self._unloading.add(name)
            return 202
        self._ready_at.pop(name, None)
        return 200

    def acquire(self, name: str) -> None:
        """Begins a run."""
        self._using[name] += 1

    def release(self, name: str) -> None:
        """Ends a run."""
        self._using[name] -= 1
        if not self._using[name] and name in self._unloading:
            self._unloading.discard(name)
            self._ready_at.pop(name, None)
