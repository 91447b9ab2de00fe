"""The instances of the deployment, from the eventually consistent list."""

from collections.abc import Iterable
from collections.abc import Mapping

import anyio

from tamaracktide import errors
from tamaracktide.gateway import sources
from tamaracktide.observability import logs

ROLE_SCHEDULER = "scheduler"
STATE_LEAVING = "leaving"


class Membership:
    """Caches the instance list, also while the platform is unavailable.

    Attributes:
        loaded: Set once the first list has been applied.
        zones: Availability zone of each instance that was ever listed.
    """

    __slots__ = ("_instances", "_leaving", "_source", "loaded", "zones")

    def __init__(self, source: sources.InstanceSource) -> None:
        """Creates a cache without instances."""
        self._source = source
        self._instances: dict[str, sources.Instance] = {}
        self._leaving: frozenset[str] = frozenset()
        self.loaded = anyio.Event()
        self.zones: Mapping[str, str] = {}

    async def run(self, period_s: float) -> None:
        """Refreshes the list periodically until cancelled."""
        while True:
            await self.refresh()
            await anyio.sleep(period_s)

    async def refresh(self) -> None:
        """Reads the list once; a failed read leaves the cache unchanged."""
        try:
            listed = await self._source.list()
        except errors.PlatformError as error:
            logs.bind(code=error.code.value).warning(
                "failed to read the instance list: {}", error.detail
            )
            return
        self.update(listed)

    def update(self, listed: Iterable[sources.Instance]) -> None:
        """Applies a new list."""
        self._instances = {instance.id: instance for instance in listed}
        zones = dict(self.zones)
        zones.update((instance.id, instance.zone) for instance in listed)
        self.zones = zones
        self.loaded.set()

    def set_leaving(self, instances: Iterable[str]) -> None:
        """Sets the instances that peers report as leaving ahead of the list."""
        self._leaving = frozenset(instances)

    def find_live(self, instance: str) -> sources.Instance | None:
        """Returns an instance that accepts new work, or None."""
        found = self._instances.get(instance)
        if found is None or found.state == STATE_LEAVING:
            return None
        return None if instance in self._leaving else found

    def list_schedulers(self) -> list[sources.Instance]:
        """Returns all listed schedulers, including leaving ones."""
        return [
            instance
            for instance in self._instances.values()
            if instance.role == ROLE_SCHEDULER and instance.inner_address
        ]
