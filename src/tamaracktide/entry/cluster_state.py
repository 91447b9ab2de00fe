"""Cluster state: the decoded objects of the store.

Objects arrive from the store or from peers. The higher version of the latest
era takes precedence, so the state of an instance never goes back to an older
one. What was known when the store's era changed stays in force until it has
been listed again. The routing document and announced adapter versions carry
versions of their own, which decide across eras.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Annotated

import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import catch_up
from tamaracktide.core import departures
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs

ENTRY_RESTORE_S = 2.2
"""Time after an outage in which upstreams rewrite their expired entries. The
platform's documentation states about two seconds."""

OUTAGE_GRACE_S = 3.0
"""Time after an outage in which a missing entry may merely have expired."""

Listener = Callable[[], None]
EraListener = Callable[[int], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """The record with which an entry instance registers itself.

    Attributes:
        ip: Its address on the deployment's network.
        zone: Its availability zone.
        states_versions: Whether its build states at which software versions it
            begins streams.
    """

    ip: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+$")]
    zone: str = ""
    states_versions: bool = False


def decode_instance(name: str, value: bytes) -> InstanceRecord:
    """Decodes the registration of an instance.

    Raises:
        errors.PlatformError: It is malformed.
    """
    try:
        return msgspec.json.decode(value, type=InstanceRecord)
    except msgspec.DecodeError as error:
        raise errors.PlatformError(
            result_codes.ResultCode.MALFORMED_MESSAGE,
            f"instance {name!r}: {error}",
        ) from error


class ClusterState:
    """Decoded objects of the store, with listeners for changes.

    Attributes:
        table: Routes in force, None before the first document.
        versions: Newest version by model and adapter.
        upstreams: Upstreams by instance id, including draining ones.
        instances: Records of the deployment's instances, by instance id.
        knows_upstreams: Whether the entries of upstreams were listed, or sent
            by a peer.
        listed: Era of the latest complete listing that was applied, by prefix.
        store_recovered_at: When the store last became reachable after an
            outage.
        era: Latest era of the store that this instance knows; 0 if the store
            names none.
        era_changes: Number of changes of the era since the start.
        relisted: Number of objects that were listed again after the latest
            change of the era, by prefix.
    """

    def __init__(
        self, adapter: entry_adapter.PlatformAdapter, now: Callable[[], float]
    ) -> None:
        """Starts without objects."""
        self.table: routing_document.RouteTable | None = None
        self.versions: dict[tuple[str, str], int] = {}
        self.upstreams: dict[str, upstream_entries.UpstreamEntry] = {}
        self.instances: dict[str, InstanceRecord] = {}
        self.knows_upstreams = False
        self.listed: dict[str, int] = {}
        self.store_recovered_at = float("-inf")
        self.era = 0
        self.era_changes = 0
        self.relisted: dict[str, int] = {}
        self._adapter = adapter
        self._now = now
        self._items: dict[str, object_store.Item] = {}
        self._in_force: dict[str, object_store.Item] = {}
        self._newest: dict[str, int] = {}
        self._knows_era = False
        self._drop_at: dict[str, float] = {}
        self._departures = departures.Departures()
        self._listeners: list[Listener] = []
        self._era_listeners: list[EraListener] = []
        self._changed = False
        self._changed_upstreams: set[str] = set()

    def listen(self, listener: Listener) -> None:
        """Registers a function that is called after each change."""
        self._listeners.append(listener)

    def listen_for_eras(self, listener: EraListener) -> None:
        """Registers a function that is called when the era has changed.

        It gets the new era. What this instance wrote to the store before may
        be lost, and must be written again. The first era that the instance
        learns of is no change.
        """
        self._era_listeners.append(listener)

    def observe_era(self, era: int) -> None:
        """Records the era of a response, or one that a peer knows.

        Args:
            era: The era; 0 for a response of a store that names none.
        """
        if era < self.era or (era == self.era and self._knows_era):
            return
        is_first, self._knows_era = not self._knows_era, True
        previous, self.era = self.era, era
        self._newest.clear()
        if is_first:
            return
        self.era_changes += 1
        self.relisted.clear()
        self.record_recovery(self._now())
        logs.bind(previous=previous, era=era, objects=len(self._items)).warning(
            "era of the store changed; its objects are listed again"
        )
        for listener in self._era_listeners:
            listener(era)

    def list_items(self) -> list[object_store.Item]:
        """Returns every known object, to be sent to a peer."""
        return list(self._items.values())

    def find_first_registered(self) -> str | None:
        """Returns the instance whose registration is the oldest, if any."""
        prefix = self._adapter.collections.instances
        found = [
            (item.era, item.version, key.removeprefix(prefix))
            for key, item in self._items.items()
            if key.startswith(prefix)
        ]
        return min(found)[2] if found else None

    @property
    def document_version(self) -> int:
        """Version that the routing document in force carries; 0 for none."""
        return self.table.document.version if self.table else 0

    def find_document(self) -> object_store.Item | None:
        """Returns the routing document in force."""
        return self._in_force.get(self._adapter.collections.document)

    def find_versions(self) -> catch_up.StoreVersions:
        """Returns the newest known version in each collection."""
        collections = self._adapter.collections
        return catch_up.StoreVersions(
            documents=self._newest.get(collections.documents, 0),
            upstreams=self._newest.get(collections.upstreams, 0),
            versions=self._newest.get(collections.versions, 0),
            instances=self._newest.get(collections.instances, 0),
            era=self.era,
            document_in_force=self.document_version,
        )

    def list_newer(
        self, known: catch_up.StoreVersions
    ) -> list[object_store.Item]:
        """Returns the objects that are newer than the known versions."""
        current = [i for i in self._items.values() if i.era == self.era]
        if known.era and known.era != self.era:
            return current if known.era < self.era else []
        collections = self._adapter.collections
        versions = {
            collections.documents: known.documents,
            collections.upstreams: known.upstreams,
            collections.versions: known.versions,
            collections.instances: known.instances,
        }
        return [
            item
            for item in current
            if item.version > versions.get(self._find_collection(item.key), 0)
        ]

    def list_lost(self) -> list[object_store.Item]:
        """Returns objects in force that the restored store does not have.

        They are of an earlier era. Whoever learns of the routing document from
        the store alone would go back to that of its copy.
        """
        return [
            item
            for item in self._in_force.values()
            if item.era < self.era
            and self.listed.get(self._find_collection(item.key)) == self.era
        ]

    def apply(
        self, items: Iterable[object_store.Item]
    ) -> list[object_store.Item]:
        """Applies objects; returns those that were new or changed."""
        changed = [item for item in items if self._apply_item(item)]
        self._notify_listeners()
        return changed

    def apply_listing(
        self, prefix: str, listing: object_store.Items
    ) -> list[object_store.Item]:
        """Applies a complete listing; objects missing from it are removed.

        A listing of an era before the latest known one is ignored.
        """
        era = listing.era or self.era
        self.observe_era(era)
        if era < self.era:
            return []
        self.listed[prefix] = era
        if prefix == self._adapter.collections.upstreams:
            self.knows_upstreams = True
        present = {item.key for item in listing.items}
        removed = [
            object_store.Item(key, listing.version, None, era)
            for key, item in self._items.items()
            if key.startswith(prefix)
            and key not in present
            and self._is_removed(item, listing.version)
        ]
        if self.era_changes and prefix not in self.relisted:
            self.relisted[prefix] = len(listing.items)
            logs.bind(
                prefix=prefix,
                era=era,
                listed=len(listing.items),
                removed=len(removed),
            ).info("objects listed again after a change of the store's era")
        return self.apply([*listing.items, *removed])

    def _is_removed(self, item: object_store.Item, version: int) -> bool:
        """Whether an object that a listing lacks at a version was removed.

        A restored store may lack the registrations of instances that are
        alive, and that register again.
        """
        if item.value is None:
            return False
        if item.era == self.era:
            return item.version <= version
        return not item.key.startswith(self._adapter.collections.instances)

    def take_changed_upstreams(self) -> set[str]:
        """Returns the upstreams that changed since the last call."""
        changed, self._changed_upstreams = self._changed_upstreams, set()
        return changed

    def record_recovery(self, recovered_at: float) -> None:
        """Records when the store became reachable again after an outage."""
        self.store_recovered_at = max(self.store_recovered_at, recovered_at)

    def find_recovered_s(self) -> float:
        """Returns the time since the store recovered, -1 for never."""
        if self.store_recovered_at == float("-inf"):
            return -1.0
        return self._now() - self.store_recovered_at

    def drop_lapsed(self) -> None:
        """Applies what only the passing of time brings into force.

        Drops upstreams whose entry was not restored after an outage, and ends
        the holds of departures that the store's restoration has undone.
        """
        now = self._now()
        for entry in self._departures.take_released(now):
            if entry.upstream in self.upstreams:
                self._set_upstream(entry)
                self._changed = True
        for key in [k for k, at in self._drop_at.items() if now >= at]:
            del self._drop_at[key]
            self._drop_upstream(key, "entry not restored after an outage")
        self._notify_listeners()

    def _apply_item(self, item: object_store.Item) -> bool:
        if item.era == 0 and self.era:
            # Builds that know no eras send objects without one.
            item = dataclasses.replace(item, era=self.era)
        if item.era:
            self.observe_era(item.era)
        known = self._items.get(item.key)
        if item.era < self.era:
            return self._apply_lost(item)
        if known is not None and known.era == item.era:
            if item.version <= known.version:
                return False
            known = None
        try:
            self._decode(item, is_restored=known is not None)
        except errors.PlatformError as error:
            logs.bind(key=item.key, version=item.version).warning(
                "object ignored: {}", error.detail
            )
            if item.key.startswith(self._adapter.collections.upstreams):
                self._drop_upstream(item.key, "entry cannot be decoded")
        self._items[item.key] = item
        collection = self._find_collection(item.key)
        newest = self._newest.get(collection, 0)
        self._newest[collection] = max(newest, item.version)
        self._changed = True
        return True

    def _apply_lost(self, item: object_store.Item) -> bool:
        """Applies an object of an earlier era that has a version of its own.

        Returns:
            Whether it is newer than what is in force.
        """
        collections = self._adapter.collections
        if item.value is None or self._find_collection(item.key) not in (
            collections.documents,
            collections.versions,
        ):
            return False
        try:
            is_newer = self._apply_versioned(item, item.value)
        except errors.PlatformError as error:
            logs.bind(key=item.key, era=item.era).warning(
                "lost object ignored: {}", error.detail
            )
            return False
        if is_newer:
            self._changed = True
            logs.bind(key=item.key, era=item.era, known=self.era).info(
                "object applied that the restored store does not have"
            )
        return is_newer

    def _find_collection(self, key: str) -> str:
        collections = self._adapter.collections
        for prefix in (
            collections.upstreams,
            collections.versions,
            collections.instances,
        ):
            if key.startswith(prefix):
                return prefix
        return collections.documents

    def _decode(self, item: object_store.Item, is_restored: bool) -> None:
        collections = self._adapter.collections
        key, value = item.key, item.value
        if key.startswith(collections.upstreams):
            self._apply_upstream(key, value, is_restored)
        elif key.startswith(collections.instances):
            name = key[len(collections.instances) :]
            if value is None:
                self.instances.pop(name, None)
            else:
                self._apply_instance(name, value)
        elif value is not None:
            self._apply_versioned(item, value)

    def _apply_versioned(self, item: object_store.Item, value: bytes) -> bool:
        """Applies the routing document or an announced adapter version.

        Returns:
            Whether it is newer than what was in force.
        """
        collections = self._adapter.collections
        if item.key == collections.document:
            ahead = self._apply_document(value)
        elif item.key.startswith(collections.versions):
            ahead = self._apply_version(value)
        else:
            return False
        known = self._in_force.get(item.key, item)
        if ahead > 0 or (ahead == 0 and item.era >= known.era):
            self._in_force[item.key] = item
        return ahead > 0

    def _apply_instance(self, name: str, value: bytes) -> None:
        self.instances[name] = decode_instance(name, value)

    def _apply_document(self, value: bytes) -> int:
        """Applies a document; returns how far its version is ahead."""
        document = self._adapter.decode_document(value)
        ahead = document.version - self.document_version
        if ahead <= 0:
            return ahead
        self.table = routing_document.RouteTable(document)
        logs.bind(version=document.version, routes=len(document.routes)).info(
            "routing document applied"
        )
        return ahead

    def _apply_upstream(
        self, key: str, value: bytes | None, is_restored: bool
    ) -> None:
        if value is None:
            self._remove_or_defer(key)
            return
        name = key[len(self._adapter.collections.upstreams) :]
        entry = self._adapter.decode_upstream(name, value)
        known = self.upstreams.get(name)
        if known is not None and entry.started_ms < known.started_ms:
            return
        self._drop_at.pop(key, None)
        self._set_upstream(
            self._departures.apply(entry, is_restored, self._now())
        )

    def _set_upstream(self, entry: upstream_entries.UpstreamEntry) -> None:
        name = entry.upstream
        known = self.upstreams.get(name)
        self.upstreams[name] = entry
        self._changed_upstreams.add(name)
        if known is None or known.leaving != entry.leaving:
            logs.bind(
                upstream=name,
                service=entry.service,
                zone=entry.zone,
                software=entry.software,
                leaving=entry.leaving,
            ).info("upstream added or changed")

    def _remove_or_defer(self, key: str) -> None:
        """Drops an upstream; shortly after an outage, waits for its return."""
        now = self._now()
        if now < self.store_recovered_at + OUTAGE_GRACE_S:
            self._drop_at.setdefault(
                key, self.store_recovered_at + ENTRY_RESTORE_S
            )
            return
        entry = self.upstreams.get(
            key[len(self._adapter.collections.upstreams) :]
        )
        if entry is not None:
            self._departures.record(entry)
        self._drop_upstream(key, "entry removed")

    def _drop_upstream(self, key: str, reason: str) -> None:
        name = key[len(self._adapter.collections.upstreams) :]
        self._departures.forget(name)
        if self.upstreams.pop(name, None) is not None:
            self._changed = True
            self._changed_upstreams.add(name)
            logs.bind(upstream=name).info("upstream removed: {}", reason)

    def _apply_version(self, value: bytes) -> int:
        """Applies an announcement; returns how far its version is ahead."""
        announced = self._adapter.decode_version(value)
        key = (announced.model, announced.adapter)
        ahead = announced.version - self.versions.get(key, 0)
        if ahead <= 0:
            return ahead
        self.versions[key] = announced.version
        logs.bind(
            model=announced.model,
            adapter=announced.adapter,
            version=announced.version,
        ).info("adapter version announced")
        return ahead

    def _notify_listeners(self) -> None:
        if not self._changed:
            return
        self._changed = False
        for listener in self._listeners:
            listener()
