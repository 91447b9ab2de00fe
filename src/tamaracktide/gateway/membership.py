"""The instances that the gateway knows, from the lagging instance list."""

from collections.abc import Iterable
from collections.abc import Mapping

import anyio

from tamaracktide import errors
from tamaracktide.gateway import sources
from tamaracktide.observability import logs

ROLE_SCHEDULER = "scheduler"
STATE_LEAVING = "leaving"


class Membership:
    """Keeps the last known instances while the platform is out.

    Attributes:
        zones: Availability zone of each upstream ever listed.
    """

    __slots__ = ("_instances", "_leaving", "_source", "loaded", "zones")

    def __init__(self, source: sources.InstanceSource) -> None:
        """Starts without instances."""
        self._source = source
        self._instances: dict[str, sources.Instance] = {}
        self._leaving: frozenset[str] = frozenset()
        self.loaded = anyio.Event()
        self.zones: Mapping[str, str] = {}

    async def run(self, period_s: float) -> None:
        """Reads the list again and again until cancelled."""
        while True:
            await self.refresh()
            await anyio.sleep(period_s)

    async def refresh(self) -> None:
        """Reads the list once; a failed read changes nothing."""
        try:
            listed = await self._source.list()
        except errors.PlatformError as error:
            logs.bind(code=error.code.value).warning(
                "instance list not read: {}", error.detail
            )
            return
        self.update(listed)

    def update(self, listed: Iterable[sources.Instance]) -> None:
        """Takes in a new list."""
        self._instances = {one.id: one for one in listed}
        zones = dict(self.zones)
        zones.update((one.id, one.zone) for one in listed)
        self.zones = zones
        self.loaded.set()

    def mark_leaving(self, instances: Iterable[str]) -> None:
        """Takes in what a peer knows to be leaving before the list does."""
        self._leaving = frozenset(instances)

    def find_live(self, instance: str) -> sources.Instance | None:
        """Returns an instance that may get new work."""
        found = self._instances.get(instance)
        if found is None or found.state == STATE_LEAVING:
            return None
        return None if instance in self._leaving else found

    def list_schedulers(self) -> list[sources.Instance]:
        """Returns all listed schedulers, leaving ones too."""
        return [
            one
            for one in self._instances.values()
            if one.role == ROLE_SCHEDULER and one.inner_address
        ]
