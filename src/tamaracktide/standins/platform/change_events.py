"""Notifications that wake watches when a key under their prefix changes."""

import anyio


class ChangeEvents:
    """Events by watched prefix, so that a change wakes only its watches."""

    def __init__(self) -> None:
        """Builds a notifier without watches."""
        self._events: dict[str, anyio.Event] = {}

    def subscribe(self, prefix: str) -> anyio.Event:
        """Returns an event that is set by the next change under a prefix."""
        return self._events.setdefault(prefix, anyio.Event())

    def notify(self, key: str) -> None:
        """Wakes the watches whose prefix matches the key."""
        for prefix in [p for p in self._events if key.startswith(p)]:
            self._events.pop(prefix).set()

    def notify_all(self) -> None:
        """Wakes all watches."""
        events, self._events = self._events, {}
        for event in events.values():
            event.set()
