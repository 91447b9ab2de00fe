"""Client of the object API: versioned objects, preconditions and watches."""

import dataclasses
import urllib.parse

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.object_api import calls
from tamaracktide.object_api import object_store
from tamaracktide.object_api import settings as platform_settings

HISTORY_GONE_STATUS = 410


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its value.

    Attributes:
        key: Key of the object.
        value: Value of the object, at most 1 MB.
        version: Version of the store at the last change of the object.
    """

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListedObject:
    """An object in a listing, without its value.

    Attributes:
        key: Key of the object.
        version: Version of the store at the last change of the object.
        size: Size of the value in bytes.
    """

    key: str
    version: int
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The objects under a prefix.

    Attributes:
        version: Version of the store at the time of the listing.
        items: Objects, ordered by key.
    """

    version: int
    items: tuple[ListedObject, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The last change of an object.

    Attributes:
        key: Key of the object.
        version: Version of the store at the change.
        deleted: Whether the object was deleted.
    """

    key: str
    version: int
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """Result of a watch.

    Attributes:
        version: Version from which to continue the watch.
        changes: Changes of objects; empty after a timeout.
        reset: Whether the history no longer contains the start version, so
            that the caller must list the objects again.
    """

    version: int
    changes: tuple[Change, ...]
    reset: bool = False


class ObjectClient:
    """Reads, writes and watches objects.

    Every call raises `errors.PlatformUnavailableError` if it receives no
    conclusive response; a write may then have taken effect.
    """

    def __init__(self, settings: platform_settings.PlatformSettings) -> None:
        """Creates a client without opening connections."""
        self._http_client = calls.HttpClient(settings)

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    async def read(self, key: str) -> StoredObject:
        """Returns an object.

        Raises:
            errors.ObjectMissingError: The object does not exist.
        """
        response = await self._http_client.call("GET", _make_path(key))
        return StoredObject(key, response.body, _read_version(response))

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object and returns its version.

        Raises:
            errors.PreconditionFailedError: The object already exists.
        """
        response = await self._http_client.call(
            "PUT", _make_path(key), headers={"If-None-Match": "*"}, body=value
        )
        return _read_version(response)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces the value of an object and returns its new version.

        Raises:
            errors.PreconditionFailedError: The object is at another version.
        """
        response = await self._http_client.call(
            "PUT", _make_path(key), headers=_make_if_match(version), body=value
        )
        return _read_version(response)

    async def delete(self, key: str, version: int | None = None) -> None:
        """Deletes an object; if a version is given, only at that version.

        Raises:
            errors.ObjectMissingError: The object does not exist.
            errors.PreconditionFailedError: The object is at another version.
        """
        headers = {} if version is None else _make_if_match(version)
        await self._http_client.call("DELETE", _make_path(key), headers=headers)

    async def list(self, prefix: str) -> Listing:
        """Lists the objects whose keys start with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        response = await self._http_client.call("GET", f"/objects?{query}")
        return calls.decode_body(response, Listing)

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Waits until an object under a prefix changes after a version.

        Returns:
            The changes; empty after a timeout. If `reset` is set, the caller
            must list the objects again and watch from the version of that
            listing.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "since": since, "timeout_s": timeout_s}
        )
        response = await self._http_client.call(
            "GET", f"/watch?{query}", wait_s=timeout_s
        )
        if response.status == HISTORY_GONE_STATUS:
            return WatchResult(since, (), reset=True)
        return calls.decode_body(response, WatchResult)

    async def list_values(
        self, prefix: str, on_bytes: object_store.ByteListener | None = None
    ) -> object_store.Items:
        """Returns the objects under a prefix with their values."""
        del on_bytes
        listing = await self.list(prefix)
        items = [await self._read_item(listed.key) for listed in listing.items]
        return object_store.Items(listing.version, tuple(items))

    async def watch_values(
        self,
        prefix: str,
        since: int,
        timeout_s: float,
        on_bytes: object_store.ByteListener | None = None,
    ) -> object_store.Items:
        """Waits for changes under a prefix; returns them with their values."""
        del on_bytes
        result = await self.watch(prefix, since, timeout_s)
        keys = dict.fromkeys(change.key for change in result.changes)
        items = [await self._read_item(key) for key in keys]
        return object_store.Items(result.version, tuple(items), result.reset)

    async def _read_item(self, key: str) -> object_store.Item:
        try:
            stored = await self.read(key)
        except errors.ObjectMissingError:
            return object_store.Item(key, 0, None)
        return object_store.Item(key, stored.version, stored.value)


def _make_path(key: str) -> str:
    return f"/objects/{urllib.parse.quote(key)}"


def _make_if_match(version: int) -> dict[str, str]:
    return {"If-Match": f'"{version}"'}


def _read_version(response: calls.Response) -> int:
    """Parses the version from the `ETag` of a response."""
    etag = response.headers.get("etag", "")
    try:
        return int(etag.strip('"'))
    except ValueError as error:
        raise errors.PlatformUnavailableError(
            result_codes.ResultCode.PLATFORM_UNAVAILABLE,
            f"cannot parse ETag {etag!r}",
        ) from error
