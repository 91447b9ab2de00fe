"""Departures of upstreams that a restored store no longer contains.

A store that comes back from a copy shows upstreams as they were before they
began to leave or were removed. The upstreams that are alive write their entries
again; until then, what was observed before the restoration holds.
"""

import dataclasses

from tamaracktide.core import upstream_entries

HOLD_S = 6.0
"""Time for which a departure outweighs a restored entry. An upstream that has
left sends no heartbeats, so that the store removes its entry within it."""


class Departures:
    """Tracks which incarnations of upstreams left, and for how long it counts.

    Attributes:
        held: Entries that are in force as leaving, by upstream, as they are in
            the store.
    """

    __slots__ = ("_release_at", "_started_ms", "held")

    def __init__(self) -> None:
        """Starts without departures."""
        self.held: dict[str, upstream_entries.UpstreamEntry] = {}
        self._release_at: dict[str, float] = {}
        self._started_ms: dict[str, int] = {}

    def record(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Records that an upstream is leaving, or was removed."""
        self._started_ms[entry.upstream] = entry.started_ms

    def apply(
        self,
        entry: upstream_entries.UpstreamEntry,
        is_restored: bool,
        now: float,
    ) -> upstream_entries.UpstreamEntry:
        """Returns the entry that is in force.

        Args:
            entry: The entry as the store has it.
            is_restored: Whether it is the first one since the store's era
                changed, and may thus be older than what was observed.
            now: Current time, seconds.
        """
        name = entry.upstream
        self.held.pop(name, None)
        self._release_at.pop(name, None)
        if entry.leaving:
            self.record(entry)
            return entry
        started_ms = self._started_ms.get(name)
        if not is_restored or started_ms != entry.started_ms:
            self._started_ms.pop(name, None)
            return entry
        self.held[name] = entry
        self._release_at[name] = now + HOLD_S
        return dataclasses.replace(entry, leaving=True)

    def forget(self, name: str) -> None:
        """Ends the hold of an upstream without an entry."""
        self.held.pop(name, None)
        self._release_at.pop(name, None)

    def take_released(self, now: float) -> list[upstream_entries.UpstreamEntry]:
        """Returns the entries whose hold has ended, which are in force now."""
        names = [name for name, at in self._release_at.items() if now >= at]
        released = [self.held[name] for name in names]
        for name in names:
            self.forget(name)
            self._started_ms.pop(name, None)
        return released
