"""An in-memory object store whose calls can be delayed and made to fail."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.object_api import objects


class CallOutcome(enum.Enum):
    """The outcome of a call."""

    DONE = "done"
    FAILED = "no effect, no response"
    RESPONSE_LOST = "takes effect, no response"
    STALE = "reads the previous value"


Gate = Callable[[str, str], Awaitable[CallOutcome]]


async def pass_call(_operation: str, _key: str) -> CallOutcome:
    """Lets every call succeed."""
    return CallOutcome.DONE


@dataclasses.dataclass(slots=True)
class FakeStore:
    """A versioned object store.

    Attributes:
        gate: Decides the outcome of each call.
        version: Increases by one with each change.
        object_versions: All versions of each object, oldest first; the value
            is None where the object was deleted.
        changed: Event that is set at the next change.
    """

    gate: Gate = pass_call
    version: int = 0
    object_versions: dict[str, list[tuple[int, bytes | None]]] = (
        dataclasses.field(default_factory=dict)
    )
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def peek(self, key: str) -> tuple[int, bytes | None]:
        """Returns the version and value of an object; None if missing."""
        return self.object_versions.get(key, [(0, None)])[-1]

    async def read(self, key: str) -> objects.StoredObject:
        """Returns an object."""
        outcome = await self._call_gate("read", key)
        values = self.object_versions.get(key, [(0, None)])
        stale = outcome is CallOutcome.STALE and len(values) > 1
        version, value = values[-2 if stale else -1]
        if value is None:
            raise errors.ObjectMissingError(
                result_codes.ResultCode.ROW_UNKNOWN, key
            )
        return objects.StoredObject(key, value, version)

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object."""
        return await self._write("create", key, value, None)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces an object at a version."""
        return await self._write("update", key, value, version)

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object."""
        expected_version = self.peek(key)[0] if version is None else version
        await self._write("delete", key, None, expected_version)

    async def list(self, prefix: str) -> objects.Listing:
        """Lists objects."""
        await self._call_gate("list", prefix)
        items = []
        for key in sorted(self.object_versions):
            version, value = self.peek(key)
            if key.startswith(prefix) and value is not None:
                items.append(objects.ListedObject(key, version, len(value)))
        return objects.Listing(self.version, tuple(items))

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> objects.WatchResult:
        """Waits for a change."""
        await self._call_gate("watch", prefix)
        with anyio.move_on_after(timeout_s):
            while not self._list_changes(prefix, since):
                await self.changed.wait()
        changes = self._list_changes(prefix, since)
        return objects.WatchResult(self.version, changes)

    def _list_changes(
        self, prefix: str, since: int
    ) -> tuple[objects.Change, ...]:
        return tuple(
            objects.Change(key, self.peek(key)[0], self.peek(key)[1] is None)
            for key in sorted(self.object_versions)
            if key.startswith(prefix) and self.peek(key)[0] > since
        )

    async def _write(
        self,
        operation: str,
        key: str,
        value: bytes | None,
        expected_version: int | None,
    ) -> int:
        outcome = await self._call_gate(operation, key)
        current, stored = self.peek(key)
        if (None if stored is None else current) != expected_version:
            raise errors.PreconditionFailedError(
                result_codes.ResultCode.EDIT_CONFLICT, key
            )
        self.version += 1
        self.object_versions.setdefault(key, []).append((self.version, value))
        self.changed.set()
        self.changed = anyio.Event()
        if outcome is CallOutcome.RESPONSE_LOST:
            raise _make_unavailable_error(key)
        return self.version

    async def _call_gate(self, operation: str, key: str) -> CallOutcome:
        outcome = await self.gate(operation, key)
        if outcome is CallOutcome.FAILED:
            raise _make_unavailable_error(key)
        return outcome


def _make_unavailable_error(key: str) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        result_codes.ResultCode.PLATFORM_UNAVAILABLE, key
    )
