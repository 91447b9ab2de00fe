"""Instance list with delayed visibility of changes, without I/O."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneAddress:
    """Addresses at which an availability zone reaches an instance.

    Attributes:
        address: `IP:PORT` of its HTTP server.
        inner_address: `IP:PORT` of its inner protocol, empty for none.
    """

    address: str
    inner_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceEntry:
    """Entry of an instance.

    Attributes:
        role: Role of the instance.
        zone: Its availability zone.
        address: `IP:PORT` of its HTTP server.
        inner_address: `IP:PORT` of its inner protocol, empty for none.
        state: Whether the instance is live or leaving.
        zone_addresses: Differing addresses for clients in other zones, by zone;
            tests use them to break links between zones.
    """

    role: Literal["gateway", "scheduler", "engine", "service"]
    zone: str
    address: str
    inner_address: str = ""
    state: Literal["live", "leaving"] = "live"
    zone_addresses: dict[str, ZoneAddress] = dataclasses.field(
        default_factory=dict
    )

    def describe_for(self, zone: str) -> dict[str, str]:
        """Returns the fields as listed for clients in a zone."""
        override = self.zone_addresses.get(zone)
        return {
            "role": self.role,
            "zone": self.zone,
            "address": override.address if override else self.address,
            "inner_address": override.inner_address
            if override
            else self.inner_address,
            "state": self.state,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries by instance id at one version of the list."""

    version: int
    entries: Mapping[str, InstanceEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingChange:
    """A change that is not yet visible; no entry means removal."""

    visible_at: float
    instance: str
    entry: InstanceEntry | None


class Directory:
    """Entries by instance id; changes become visible after the lag."""

    def __init__(
        self, entries: Mapping[str, InstanceEntry], lag_s: float
    ) -> None:
        """Builds a list whose initial entries are visible immediately."""
        self._visible = dict(entries)
        self._lag_s = lag_s
        self._pending: collections.deque[_PendingChange] = collections.deque()
        self._version = 1

    def put(self, instance: str, entry: InstanceEntry, now: float) -> None:
        """Adds or replaces an entry."""
        self._pending.append(_PendingChange(now + self._lag_s, instance, entry))

    def remove(self, instance: str, now: float) -> None:
        """Removes an entry if it exists."""
        self._pending.append(_PendingChange(now + self._lag_s, instance, None))

    def read(self, now: float) -> Snapshot:
        """Applies the due changes and returns the visible list."""
        while self._pending and self._pending[0].visible_at <= now:
            self._apply(self._pending.popleft())
        return Snapshot(self._version, dict(self._visible))

    def _apply(self, pending: _PendingChange) -> None:
        if self._visible.get(pending.instance) == pending.entry:
            return
        self._version += 1
        if pending.entry is None:
            del self._visible[pending.instance]
        else:
            self._visible[pending.instance] = pending.entry
