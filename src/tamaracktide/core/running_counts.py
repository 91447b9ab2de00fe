"""Counts of running requests by upstream and adapter, from several sources.

Sources send changes instead of complete counts: a change states the new count
of a name on an upstream, zero if none is left. A change that is applied twice
therefore has no further effect.
"""

from collections.abc import Mapping
from typing import TypeAlias

Counts: TypeAlias = dict[str, dict[str, int]]
"""Number of requests by upstream and adapter name."""


def find_changes(
    before: Mapping[str, Mapping[str, int]],
    after: Mapping[str, Mapping[str, int]],
) -> Counts:
    """Returns the changes that turn one table of counts into another."""
    changes: Counts = {}
    for upstream, counts in after.items():
        known = before.get(upstream, {})
        for name, count in counts.items():
            if known.get(name, 0) != count:
                changes.setdefault(upstream, {})[name] = count
    for upstream, counts in before.items():
        left = after.get(upstream, {})
        for name in counts:
            if name not in left:
                changes.setdefault(upstream, {})[name] = 0
    return changes


def apply_changes(
    counts: Counts, changes: Mapping[str, Mapping[str, int]]
) -> None:
    """Applies changes to a table of counts in place."""
    for upstream, changed in changes.items():
        known = counts.setdefault(upstream, {})
        for name, count in changed.items():
            if count:
                known[name] = count
            else:
                known.pop(name, None)
        if not known:
            del counts[upstream]


def add_counts(*tables: Mapping[str, Mapping[str, int]]) -> Counts:
    """Returns the sum of several tables of counts."""
    total: Counts = {}
    for table in tables:
        for upstream, counts in table.items():
            sums = total.setdefault(upstream, {})
            for name, count in counts.items():
                sums[name] = sums.get(name, 0) + count
    return total


def copy_counts(counts: Mapping[str, Mapping[str, int]]) -> Counts:
    """Returns an independent copy of a table of counts."""
    return {upstream: dict(names) for upstream, names in counts.items()}


class CountTable:
    """Counts of several sources, with sums that are kept up to date.

    Attributes:
        totals: Sums over all sources; may be negative while a subtracted
            source is ahead of the others.
    """

    __slots__ = ("_changed", "_sources", "totals")

    def __init__(self) -> None:
        """Starts without sources."""
        self.totals: Counts = {}
        self._sources: dict[str, Counts] = {}
        self._changed: set[tuple[str, str]] = set()

    def find_source(self, source: str) -> Counts:
        """Returns the counts of one source; they must not be modified."""
        return self._sources.get(source, {})

    def apply(
        self,
        source: str,
        changes: Mapping[str, Mapping[str, int]],
        *,
        is_full: bool = False,
    ) -> None:
        """Applies changes of a source.

        Args:
            source: Name of the source.
            changes: New counts.
            is_full: Whether they replace all earlier counts of the source.
        """
        known = self._sources.setdefault(source, {})
        if is_full:
            changes = find_changes(known, changes)
        for upstream, changed in changes.items():
            counts = known.get(upstream, {})
            for name, count in changed.items():
                self._add(upstream, name, count - counts.get(name, 0))
        apply_changes(known, changes)

    def remove(self, source: str) -> None:
        """Removes a source and its counts."""
        self.apply(source, {}, is_full=True)
        self._sources.pop(source, None)

    def take_changed(self) -> Counts:
        """Returns the sums that changed since the last call."""
        changed, self._changed = self._changed, set()
        counts: Counts = {}
        for upstream, name in changed:
            total = self.totals.get(upstream, {}).get(name, 0)
            counts.setdefault(upstream, {})[name] = max(0, total)
        return counts

    def _add(self, upstream: str, name: str, difference: int) -> None:
        if not difference:
            return
        self._changed.add((upstream, name))
        sums = self.totals.setdefault(upstream, {})
        total = sums.get(name, 0) + difference
        if total:
            sums[name] = total
            return
        sums.pop(name, None)
        if not sums:
            del self.totals[upstream]
