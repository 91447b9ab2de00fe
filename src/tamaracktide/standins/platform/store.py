"""In-memory versioned object store, without I/O."""

import collections
import dataclasses

import sortedcontainers

MAX_VALUE_BYTES = 1_000_000
HISTORY_LIMIT = 100_000
_MAX_CHARACTER = "\U0010ffff"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the store version of its last change."""

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
    """The objects under a prefix and the store version."""

    version: int
    items: tuple[ListedObject, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of an object."""

    key: str
    version: int
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Always:
    """The write is unconditional."""


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
    """The write was applied; `created` if the object did not exist."""

    version: int
    created: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Deleted:
    """The deletion was applied."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The condition failed; nothing changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """The object does not exist; nothing changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The value exceeds `MAX_VALUE_BYTES`; nothing changed."""


Outcome = Written | Deleted | Conflict | Missing | TooLarge


class VersionedStore:
    """Objects versioned by one store-wide counter.

    Attributes:
        version: The counter, incremented by each change.
    """

    def __init__(self, history_limit: int = HISTORY_LIMIT) -> None:
        """Builds an empty store that retains `history_limit` changes."""
        self.version = 0
        self._objects: sortedcontainers.SortedDict[str, StoredValue] = (
            sortedcontainers.SortedDict()
        )
        self._history: collections.deque[Change] = collections.deque(
            maxlen=history_limit
        )
        self._stale_snapshot: VersionedStore | None = None

    def set_stale(self, stale: bool) -> None:
        """Pins reads and listings to the current state, or unpins them."""
        if not stale:
            self._stale_snapshot = None
        elif self._stale_snapshot is None:
            self._stale_snapshot = VersionedStore()
            self._stale_snapshot.version = self.version
            self._stale_snapshot._objects = self._objects.copy()

    def read(self, key: str) -> StoredValue | None:
        """Returns an object; None if missing."""
        source = self._stale_snapshot or self
        return source._objects.get(key)

    def list_objects(self, prefix: str) -> Listing:
        """Returns the store version and the objects under a prefix, by key."""
        source = self._stale_snapshot or self
        objects = source._objects
        keys = objects.irange(prefix, prefix + _MAX_CHARACTER)
        return Listing(
            source.version,
            tuple(
                ListedObject(key, objects[key].version, len(objects[key].value))
                for key in keys
            ),
        )

    def put(self, key: str, value: bytes, condition: Condition) -> Outcome:
        """Writes an object if the condition holds."""
        if len(value) > MAX_VALUE_BYTES:
            return TooLarge()
        current = self._objects.get(key)
        if not _check_condition(condition, current):
            return Conflict()
        self._record(key, deleted=False)
        self._objects[key] = StoredValue(value, self.version)
        return Written(self.version, created=current is None)

    def delete(self, key: str, condition: Condition) -> Outcome:
        """Deletes an object if the condition holds."""
        current = self._objects.get(key)
        if current is None:
            return Missing()
        if not _check_condition(condition, current):
            return Conflict()
        self._record(key, deleted=True)
        del self._objects[key]
        return Deleted(self.version)

    def list_changes(self, prefix: str, since: int) -> list[Change] | None:
        """Returns the latest change after a version of each key under a prefix.

        Returns:
            The changes ordered by version; None if the history does not reach
            back to `since` or `since` is ahead of the store.
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
        """The lowest `since` that the retained history covers."""
        return self.version - len(self._history)

    def _record(self, key: str, *, deleted: bool) -> None:
        self.version += 1
        self._history.append(Change(key, self.version, deleted))


def _check_condition(condition: Condition, current: StoredValue | None) -> bool:
    match condition:
        case Always():
            return True
        case IfAbsent():
            return current is None
        case IfVersion(version):
            return current is not None and current.version == version
