"""The instance list, whose changes become visible after a lag; no I/O."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneAddress:
    """How one availability zone reaches an instance.

    Attributes:
        address: `IP:PORT` of its HTTP.
        inner_address: `IP:PORT` of its inner protocol, empty for none.
    """

    address: str
    inner_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """What the list says of one instance.

    Attributes:
        role: What the instance runs.
        zone: Its availability zone.
        address: `IP:PORT` of its HTTP.
        inner_address: `IP:PORT` of its inner protocol, empty for none.
        state: Whether it is leaving.
        zone_addresses: Addresses for callers of other zones, by zone, where
            they differ; links between zones can so be made to fail.
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
        """Returns the listed fields as a caller of the zone sees them."""
        seen = self.zone_addresses.get(zone)
        return {
            "role": self.role,
            "zone": self.zone,
            "address": seen.address if seen else self.address,
            "inner_address": seen.inner_address if seen else self.inner_address,
            "state": self.state,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries by instance id at a version of the list."""

    version: int
    entries: Mapping[str, Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A change that becomes visible later; no entry means removal."""

    visible_at: float
    instance: str
    entry: Entry | None


class Directory:
    """Entries by instance id, as callers see them after the lag."""

    def __init__(self, entries: Mapping[str, Entry], lag_s: float) -> None:
        """Builds a list whose first entries are visible at once."""
        self._visible = dict(entries)
        self._lag_s = lag_s
        self._pending: collections.deque[_Pending] = collections.deque()
        self._version = 1

    def put(self, instance: str, entry: Entry, now: float) -> None:
        """Adds or replaces an entry."""
        self._pending.append(_Pending(now + self._lag_s, instance, entry))

    def remove(self, instance: str, now: float) -> None:
        """Removes an entry, if there is one."""
        self._pending.append(_Pending(now + self._lag_s, instance, None))

    def read(self, now: float) -> Snapshot:
        """Returns the list as it is visible now."""
        while self._pending and self._pending[0].visible_at <= now:
            self._apply(self._pending.popleft())
        return Snapshot(self._version, dict(self._visible))

    def _apply(self, pending: _Pending) -> None:
        if self._visible.get(pending.instance) == pending.entry:
            return
        self._version += 1
        if pending.entry is None:
            del self._visible[pending.instance]
        else:
            self._visible[pending.instance] = pending.entry
