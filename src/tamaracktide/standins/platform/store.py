"""A versioned object store in memory, without I/O."""

import collections
import dataclasses

import sortedcontainers

MAX_VALUE_BYTES = 1_000_000
HISTORY_LIMIT = 100_000
_LAST_CHARACTER = "\U0010ffff"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the version of its last change."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListedObject:
    """An object in a listing; `size` in bytes."""

    key: str
    version: int
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The objects under a prefix and the store's version."""

    version: int
    items: tuple[ListedObject, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of an object."""

    key: str
    version: int
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Always:
    """No condition."""


@dataclasses.dataclass(frozen=True, slots=True)
class IfAbsent:
    """The object must not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class IfVersion:
    """The object must exist at this version."""

    version: int


Condition = Always | IfAbsent | IfVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A write took effect; `created` if the object did not exist before."""

    version: int
    created: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Deleted:
    """A deletion took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The condition did not hold; nothing changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """There is no such object; nothing changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The value exceeds `MAX_VALUE_BYTES`; nothing changed."""


Outcome = Written | Deleted | Conflict | Missing | TooLarge


class VersionedStore:
    """Objects under one store-wide version counter.

    Attributes:
        version: The counter; it grows by one with each change.
    """

    def __init__(self, history_limit: int = HISTORY_LIMIT) -> None:
        """Builds an empty store that remembers so many changes."""
        self.version = 0
        self._objects: sortedcontainers.SortedDict[str, StoredValue] = (
            sortedcontainers.SortedDict()
        )
        self._history: collections.deque[Change] = collections.deque(
            maxlen=history_limit
        )
        self._frozen: VersionedStore | None = None

    def set_stale(self, stale: bool) -> None:
        """Makes reads and listings serve the present state from now on."""
        if not stale:
            self._frozen = None
        elif self._frozen is None:
            self._frozen = VersionedStore()
            self._frozen.version = self.version
            self._frozen._objects = self._objects.copy()

    def read(self, key: str) -> StoredValue | None:
        """Returns an object, None if missing."""
        source = self._frozen or self
        return source._objects.get(key)

    def list_objects(self, prefix: str) -> Listing:
        """Returns the version and the objects under a prefix, by key."""
        source = self._frozen or self
        objects = source._objects
        keys = objects.irange(prefix, prefix + _LAST_CHARACTER)
        return Listing(
            source.version,
            tuple(
                ListedObject(key, objects[key].version, len(objects[key].value))
                for key in keys
            ),
        )

    def put(self, key: str, value: bytes, condition: Condition) -> Outcome:
        """Writes an object if its condition holds."""
        if len(value) > MAX_VALUE_BYTES:
            return TooLarge()
        present = self._objects.get(key)
        if not _check_condition(condition, present):
            return Conflict()
        self._record(key, deleted=False)
        self._objects[key] = StoredValue(value, self.version)
        return Written(self.version, created=present is None)

    def delete(self, key: str, condition: Condition) -> Outcome:
        """Deletes an object if its condition holds."""
        present = self._objects.get(key)
        if present is None:
            return Missing()
        if not _check_condition(condition, present):
            return Conflict()
        self._record(key, deleted=True)
        del self._objects[key]
        return Deleted(self.version)

    def list_changes(self, prefix: str, since: int) -> list[Change] | None:
        """Returns the last change of each key under a prefix after a version.

        Returns:
            The changes by version; None if the history does not reach back
            to `since` or `since` lies ahead of the store.
        """
        if not self._oldest_since <= since <= self.version:
            return None
        latest: dict[str, Change] = {}
        for change in reversed(self._history):
            if change.version <= since:
                break
            if change.key.startswith(prefix):
                latest.setdefault(change.key, change)
        return list(reversed(latest.values()))

    @property
    def _oldest_since(self) -> int:
        """The lowest version that changes can be told after."""
        return self.version - len(self._history)

    def _record(self, key: str, *, deleted: bool) -> None:
        self.version += 1
        self._history.append(Change(key, self.version, deleted))


def _check_condition(condition: Condition, present: StoredValue | None) -> bool:
    match condition:
        case Always():
            return True
        case IfAbsent():
            return present is None
        case IfVersion(version):
            return present is not None and present.version == version
