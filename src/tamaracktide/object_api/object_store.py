"""Interface of a store of versioned objects.

`objects.ObjectClient` and the platform adapters implement it; tests use fakes.

A store that is restored from a copy loses its latest changes and gives their
versions out again. Its era counts the restorations: versions are ordered within
an era, and every version of a later era is newer. Era 0 stands for a store, or
a writer, that names none.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Protocol

ByteListener = Callable[[int], None]
"""Called with the size of each part of a response's body as it arrives."""


class StoredObject(Protocol):
    """Value and version of an object."""

    @property
    def value(self) -> bytes:
        """Value of the object."""

    @property
    def version(self) -> int:
        """Version of the object, for conditional updates."""


class ListedObject(Protocol):
    """Key and version of an object."""

    @property
    def key(self) -> str:
        """Key of the object."""

    @property
    def version(self) -> int:
        """Version of the store at the last change of the object."""


class Listing(Protocol):
    """Objects under a prefix."""

    @property
    def version(self) -> int:
        """Version of the store at the time of the listing."""

    @property
    def items(self) -> Sequence[ListedObject]:
        """Objects under the prefix, without values."""


class Change(ListedObject, Protocol):
    """A change of an object, reported by a watch."""

    @property
    def deleted(self) -> bool:
        """Whether the object was deleted."""


class WatchResult(Protocol):
    """Result of a watch."""

    @property
    def version(self) -> int:
        """Version from which to continue the watch."""

    @property
    def changes(self) -> Sequence[Change]:
        """Changes of objects; empty after a timeout."""

    @property
    def reset(self) -> bool:
        """Whether the start version was too old, so a listing is required."""


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Every call raises `errors.PlatformUnavailableError` if it receives no
    conclusive response; a write may then have taken effect.
    """

    async def read(self, key: str) -> StoredObject:
        """Returns an object, or raises `errors.ObjectMissingError`."""

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object, or raises `errors.PreconditionFailedError`."""

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces a version, or raises `errors.PreconditionFailedError`."""

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object; if a version is given, only at that version."""

    async def list(self, prefix: str) -> Listing:
        """Lists the objects under a prefix."""

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Waits until an object under a prefix changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """An object with its value, or the deletion of an object.

    Attributes:
        key: Key of the object.
        version: Version of the store at the last change of the object.
        value: Value of the object; None if it was deleted.
        era: Era of the store in which it was read.
    """

    key: str
    version: int
    value: bytes | None
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """Objects, or changes of objects, with their values.

    Attributes:
        version: Version from which to continue the watch.
        items: Objects or changes, in the order of the store.
        reset: Whether the history no longer contains the start version, so
            that the caller must list the objects again.
        era: Era of the store in which they were read.
    """

    version: int
    items: tuple[Item, ...] = ()
    reset: bool = False
    era: int = 0


class ValueStore(ObjectStore, Protocol):
    """A store that also lists and watches objects with their values."""

    async def list_values(
        self, prefix: str, on_bytes: ByteListener | None = None
    ) -> Items:
        """Returns the objects under a prefix."""

    async def watch_values(
        self,
        prefix: str,
        since: int,
        timeout_s: float,
        on_bytes: ByteListener | None = None,
    ) -> Items:
        """Waits until an object under a prefix changes after a version."""

    def listen_for_eras(self, listener: Callable[[int], None]) -> None:
        """Registers a function that is called with the era of each response.

        It is called before the call returns or raises, with 0 if the store
        names no era.
        """

    async def close(self) -> None:
        """Closes all connections."""
