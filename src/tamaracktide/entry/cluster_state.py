"""What an instance believes: objects of the store, and what they say.

Objects come from the store or from peers. The one with the higher version
wins, so what an instance believes never goes back.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Annotated

import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.object_api import port
from tamaracktide.observability import logs

ENTRY_RESTORE_S = 2.2
"""Time in which entries that lapsed in an outage are written again; the
platform's pages say about two seconds."""

OUTAGE_MEMORY_S = 3.0
"""Time after an outage in which a missing entry may only have lapsed."""

Listener = Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """An entry instance as it registers itself.

    Attributes:
        ip: Its address on the deployment's network.
    """

    ip: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+$")]


class ClusterState:
    """Decoded objects, and listeners that are told of changes.

    Attributes:
        table: Routes in force, None before the first document.
        versions: Newest version by model and adapter.
        upstreams: Upstreams by instance id, leaving ones too.
        instances: Addresses of the deployment's instances, by instance id.
        store_recovered_at: When the store was last heard after an outage.
    """

    def __init__(
        self, adapter: entry_adapter.PlatformAdapter, now: Callable[[], float]
    ) -> None:
        """Starts without knowing anything."""
        self.table: routing_document.RouteTable | None = None
        self.versions: dict[tuple[str, str], int] = {}
        self.upstreams: dict[str, upstream_entries.UpstreamEntry] = {}
        self.instances: dict[str, str] = {}
        self.store_recovered_at = float("-inf")
        self._adapter = adapter
        self._now = now
        self._items: dict[str, port.Item] = {}
        self._doubted: dict[str, float] = {}
        self._listeners: list[Listener] = []
        self._changed = False

    def listen(self, listener: Listener) -> None:
        """Has a function called after each change."""
        self._listeners.append(listener)

    def list_items(self) -> list[port.Item]:
        """Returns every object that is known, to be told to a peer."""
        return list(self._items.values())

    def take(self, items: Iterable[port.Item]) -> list[port.Item]:
        """Takes objects in; returns those that were news."""
        news = [item for item in items if self._take_one(item)]
        self._tell()
        return news

    def apply_listing(
        self, prefix: str, listing: port.Items
    ) -> list[port.Item]:
        """Takes a whole listing in; what is missing from it is gone."""
        present = {item.key for item in listing.items}
        gone = [
            port.Item(key, listing.version, None)
            for key, item in self._items.items()
            if key.startswith(prefix)
            and key not in present
            and item.value is not None
            and item.version <= listing.version
        ]
        return self.take([*listing.items, *gone])

    def drop_lapsed(self) -> None:
        """Drops upstreams whose entry did not come back after an outage."""
        now = self._now()
        for key in [k for k, at in self._doubted.items() if now >= at]:
            del self._doubted[key]
            self._drop_upstream(key, "did not come back after an outage")
        self._tell()

    def _take_one(self, item: port.Item) -> bool:
        known = self._items.get(item.key)
        if known is not None and item.version <= known.version:
            return False
        try:
            self._decode(item)
        except errors.PlatformError as error:
            logs.bind(key=item.key, version=item.version).warning(
                "object ignored: {}", error.detail
            )
            if item.key.startswith(self._adapter.collections.upstreams):
                self._drop_upstream(item.key, "entry cannot be read")
        self._items[item.key] = item
        self._changed = True
        return True

    def _decode(self, item: port.Item) -> None:
        collections = self._adapter.collections
        key, value = item.key, item.value
        if key == collections.document:
            if value is not None:
                self._take_document(value)
        elif key.startswith(collections.upstreams):
            self._take_upstream(key, value)
        elif key.startswith(collections.versions):
            if value is not None:
                self._take_version(value)
        elif key.startswith(collections.instances):
            name = key[len(collections.instances) :]
            if value is None:
                self.instances.pop(name, None)
            else:
                self._take_instance(name, value)

    def _take_instance(self, name: str, value: bytes) -> None:
        try:
            record = msgspec.json.decode(value, type=InstanceRecord)
        except msgspec.DecodeError as error:
            raise errors.PlatformError(
                result_codes.ResultCode.MALFORMED_MESSAGE,
                f"instance {name!r}: {error}",
            ) from error
        self.instances[name] = record.ip

    def _take_document(self, value: bytes) -> None:
        document = self._adapter.decode_document(value)
        known = self.table.document.version if self.table else 0
        if document.version <= known:
            return
        self.table = routing_document.RouteTable(document)
        logs.bind(version=document.version, routes=len(document.routes)).info(
            "routing document in force"
        )

    def _take_upstream(self, key: str, value: bytes | None) -> None:
        if value is None:
            self._doubt(key)
            return
        name = key[len(self._adapter.collections.upstreams) :]
        entry = self._adapter.decode_upstream(name, value)
        known = self.upstreams.get(name)
        if known is not None and entry.started_ms < known.started_ms:
            return
        self._doubted.pop(key, None)
        self.upstreams[name] = entry
        if known is None or known.leaving != entry.leaving:
            logs.bind(
                upstream=name,
                service=entry.service,
                zone=entry.zone,
                leaving=entry.leaving,
            ).info("upstream known")

    def _doubt(self, key: str) -> None:
        """Drops an upstream; after an outage only if it stays away."""
        now = self._now()
        if now < self.store_recovered_at + OUTAGE_MEMORY_S:
            self._doubted.setdefault(
                key, self.store_recovered_at + ENTRY_RESTORE_S
            )
            return
        self._drop_upstream(key, "entry removed")

    def _drop_upstream(self, key: str, reason: str) -> None:
        name = key[len(self._adapter.collections.upstreams) :]
        if self.upstreams.pop(name, None) is not None:
            self._changed = True
            logs.bind(upstream=name).info("upstream gone: {}", reason)

    def _take_version(self, value: bytes) -> None:
        announced = self._adapter.decode_version(value)
        key = (announced.model, announced.adapter)
        if announced.version <= self.versions.get(key, 0):
            return
        self.versions[key] = announced.version
        logs.bind(
            model=announced.model,
            adapter=announced.adapter,
            version=announced.version,
        ).info("adapter version announced")

    def _tell(self) -> None:
        if not self._changed:
            return
        self._changed = False
        for listener in self._listeners:
            listener()
