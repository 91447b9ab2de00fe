"""Wakes watches when a key under their prefix changes."""

import anyio


class Signals:
    """Events by watched prefix, so that a change wakes few watches."""

    def __init__(self) -> None:
        """Builds signals that nothing waits for."""
        self._events: dict[str, anyio.Event] = {}

    def subscribe(self, prefix: str) -> anyio.Event:
        """Returns the event of the next change under a prefix."""
        return self._events.setdefault(prefix, anyio.Event())

    def notify(self, key: str) -> None:
        """Wakes the watches whose prefix the key is under."""
        for prefix in [p for p in self._events if key.startswith(p)]:
            self._events.pop(prefix).set()

    def notify_all(self) -> None:
        """Wakes every watch."""
        events, self._events = self._events, {}
        for event in events.values():
            event.set()
