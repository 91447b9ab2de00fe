"""Prompt prefixes in limited memory, and their late and gappy events."""

import collections
import dataclasses
import random

import xxhash

PREFIX_CHARACTERS = 64
EVENT_LIMIT = 10_000


def hash_prefix(prompt: str) -> str:
    """Returns the name of a prompt's prefix."""
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix came into the cache or left it.

    Attributes:
        sequence: Counts all events, also those that are never told.
        prefix: The prefix.
        cached: Whether it came.
    """

    sequence: int
    prefix: str
    cached: bool


class PrefixCache:
    """The most recently used prefixes."""

    def __init__(
        self, capacity: int, lag_s: float, gap: float, rng: random.Random
    ) -> None:
        """Builds an empty cache."""
        self._capacity = capacity
        self._lag_s = lag_s
        self._gap = gap
        self._rng = rng
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=EVENT_LIMIT)
        )

    def use(self, prefix: str, now: float) -> bool:
        """Caches a prefix; returns whether it was cached before."""
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return True
        self._prefixes[prefix] = None
        self._emit(prefix, now, cached=True)
        if len(self._prefixes) > self._capacity:
            oldest, _ = self._prefixes.popitem(last=False)
            self._emit(oldest, now, cached=False)
        return False

    def list_events(self, since: int, now: float) -> list[CacheEvent]:
        """Returns the events after a sequence number that are told by now."""
        return [
            event
            for told_at, event in self._events
            if event.sequence > since and told_at <= now
        ]

    def _emit(self, prefix: str, now: float, *, cached: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self._gap:
            return
        event = CacheEvent(self._sequence, prefix, cached)
        self._events.append((now + self._lag_s, event))
