"""Simulated prefix cache whose events are delayed and may be dropped."""

import collections
import dataclasses
import random

import xxhash

PREFIX_CHARACTERS = 64
MAX_EVENTS = 10_000


def hash_prefix(prompt: str) -> str:
    """Returns the hash that identifies a prompt's prefix."""
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was added to the cache or evicted from it.

    Attributes:
        sequence: Sequence number; dropped events are counted too.
        prefix: Hash of the prefix.
        cached: Whether it was added.
    """

    sequence: int
    prefix: str
    cached: bool


class PrefixCache:
    """LRU cache of prompt prefixes."""

    def __init__(
        self,
        capacity: int,
        lag_s: float,
        drop_probability: float,
        rng: random.Random,
    ) -> None:
        """Builds an empty cache."""
        self._capacity = capacity
        self._lag_s = lag_s
        self._drop_probability = drop_probability
        self._rng = rng
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def use(self, prefix: str, now: float) -> bool:
        """Caches a prefix; returns whether it was already cached."""
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return True
        self._prefixes[prefix] = None
        self._add_event(prefix, now, cached=True)
        if len(self._prefixes) > self._capacity:
            oldest, _ = self._prefixes.popitem(last=False)
            self._add_event(oldest, now, cached=False)
        return False

    def list_events(self, since: int, now: float) -> list[CacheEvent]:
        """Returns the visible events after a sequence number."""
        return [
            event
            for visible_at, event in self._events
            if event.sequence > since and visible_at <= now
        ]

    def _add_event(self, prefix: str, now: float, *, cached: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self._drop_probability:
            return
        event = CacheEvent(self._sequence, prefix, cached)
        self._events.append((now + self._lag_s, event))
