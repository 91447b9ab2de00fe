"""Which instances are live, and which scheduler should own a cell.

The instance list lags, so direct evidence goes before it: an instance that
was heard is reachable, one that fell silent is not for a while, and one that
said that it leaves gets no new work even while the list shows it as live.
"""

from collections.abc import Iterable
import dataclasses

from tamaracktide.core import rendezvous
from tamaracktide.core import rows

ROLE_SCHEDULER = "scheduler"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """How long facts hold.

    Attributes:
        silent_s: Time that a silent instance counts as unreachable; it is
            then asked again.
        heard_s: Time that a sign of life counts.
        leaving_s: Time that a told departure is believed.
        told_s: Time that a told departure is passed on to peers; less than
            `leaving_s`, so that peers can't keep a fact alive by turns.
    """

    silent_s: float = 5.0
    heard_s: float = 2.0
    leaving_s: float = 600.0
    told_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One instance of the list.

    Attributes:
        instance: Instance id.
        role: `gateway`, `scheduler`, `engine` or `service`.
        zone: Availability zone.
        address: `IP:PORT` of its HTTP.
        inner_address: `IP:PORT` of its inner protocol, empty for none.
        leaving: Whether the list shows it as leaving.
    """

    instance: str
    role: str
    zone: str
    address: str
    inner_address: str = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ListRead:
    """The instance list was read."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Responded:
    """An instance gave a sign of life."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unresponsive:
    """An instance did not answer over a new connection."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """An instance said that it stops."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """An instance of this id says itself that it does not leave."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeparturesReported:
    """A peer passed on which instances it knows to be leaving."""

    leaving: tuple[str, ...]


MembershipEvent = (
    ListRead | Responded | Unresponsive | Left | Returned | DeparturesReported
)


class Membership:
    """One scheduler's view of the instances."""

    def __init__(
        self, settings: MembershipSettings, instance: str, zone: str
    ) -> None:
        """Starts knowing only this scheduler itself."""
        self._settings = settings
        self._instance = instance
        self._zone = zone
        self._members: dict[str, Member] = {}
        self._heard: dict[str, float] = {}
        self._silent: dict[str, float] = {}
        self._leaving: dict[str, float] = {}
        self._returned: dict[str, float] = {}
        self._usable: tuple[tuple[str, str], ...] = ()
        self._usable_until = -float("inf")
        self._owners: dict[str, list[str]] = {}

    def handle(self, event: MembershipEvent, now: float) -> None:
        """Takes in a fact.

        Args:
            event: The fact.
            now: Present time, seconds.
        """
        match event:
            case ListRead(members):
                self._members = {one.instance: one for one in members}
            case Responded(instance):
                self._heard[instance] = now
                if self._silent.pop(instance, None) is None:
                    self._forget_old_facts(now)
                    return
            case Unresponsive(instance):
                self._silent[instance] = now
                self._heard.pop(instance, None)
            case Left(instance):
                self._returned.pop(instance, None)
                self._leaving.setdefault(instance, now)
            case Returned(instance):
                if self._leaving.pop(instance, None) is not None:
                    self._returned[instance] = now
            case DeparturesReported(leaving):
                self._believe_peers(leaving, now)
        self._forget_old_facts(now)
        self._usable_until = -float("inf")

    def find(self, instance: str) -> Member | None:
        """Returns an instance of the list, leaving or not."""
        return self._members.get(instance)

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance may get no new work."""
        member = self._members.get(instance)
        listed = member is not None and member.leaving
        return listed or instance in self._leaving

    def is_reachable(self, instance: str, now: float) -> bool | None:
        """Returns what direct evidence says, None if there is none."""
        silent_at = self._silent.get(instance, -float("inf"))
        if now - silent_at < self._settings.silent_s:
            return False
        last_contact_at = self._heard.get(instance, -float("inf"))
        return True if now - last_contact_at < self._settings.heard_s else None

    def list_role(self, role: str) -> list[Member]:
        """Returns the listed instances of a role, leaving ones too."""
        return [one for one in self._members.values() if one.role == role]

    def list_cells(self, pool: rows.Pool) -> list[rows.CellId]:
        """Returns the cells of a pool: its zones with listed upstreams."""
        found = (self._members.get(name) for name in pool.upstreams)
        zones = {one.zone for one in found if one is not None}
        return [rows.CellId(pool.name, zone) for zone in sorted(zones)]

    def list_upstreams(self, pool: rows.Pool, zone: str) -> list[Member]:
        """Returns a cell's listed upstreams in the pool's order."""
        found = (self._members.get(name) for name in pool.upstreams)
        return [one for one in found if one is not None and one.zone == zone]

    def list_owners(self, cell: rows.CellId, now: float) -> list[str]:
        """Returns who should own a cell, the first first.

        Schedulers that leave or are known to be silent are left out; this
        scheduler itself counts also before the list shows it.
        """
        self._update_usable(now)
        known = self._owners.get(cell.text)
        if known is None:
            known = rendezvous.order_owners(cell.text, self._usable, cell.zone)
            self._owners[cell.text] = known
        return known

    def find_owner(self, cell: rows.CellId, now: float) -> str:
        """Returns who should own a cell, empty if nobody can."""
        return next(iter(self.list_owners(cell, now)), "")

    def list_leaving(self, now: float) -> tuple[str, ...]:
        """Returns the leaving instances to pass on to peers, sorted."""
        return tuple(
            sorted(
                instance
                for instance, told_at in self._leaving.items()
                if instance == self._instance
                or now - told_at < self._settings.told_s
            )
        )

    def list_possibly_reachable(
        self, instances: Iterable[str], now: float
    ) -> list[str]:
        """Returns those of the instances that are not known to be silent."""
        return [
            one
            for one in instances
            if one != self._instance
            and self.is_reachable(one, now) is not False
        ]

    def _believe_peers(self, leaving: Iterable[str], now: float) -> None:
        """Takes in departures; what instances say of themselves goes first."""
        for instance in leaving:
            if instance != self._instance and instance not in self._returned:
                self._leaving.setdefault(instance, now)

    def _update_usable(self, now: float) -> None:
        """Finds the usable schedulers again once that may have changed."""
        if now < self._usable_until:
            return
        zones = {self._instance: self._zone}
        for one in self.list_role(ROLE_SCHEDULER):
            zones[one.instance] = one.zone
        usable = tuple(
            (instance, zone)
            for instance, zone in zones.items()
            if self._is_usable(instance, now)
        )
        if usable != self._usable:
            self._usable = usable
            self._owners.clear()
        silent_s = self._settings.silent_s
        self._usable_until = min(
            (
                at + silent_s
                for at in self._silent.values()
                if at > now - silent_s
            ),
            default=float("inf"),
        )

    def _is_usable(self, instance: str, now: float) -> bool:
        if self.is_leaving(instance):
            return False
        if instance == self._instance:
            return True
        return self.is_reachable(instance, now) is not False

    def _forget_old_facts(self, now: float) -> None:
        limits = (
            (self._heard, self._settings.heard_s),
            (self._silent, self._settings.silent_s),
            (self._leaving, self._settings.leaving_s),
            (self._returned, self._settings.leaving_s),
        )
        for facts, limit_s in limits:
            for instance in [
                k for k, at in facts.items() if now - at >= limit_s
            ]:
                del facts[instance]
                if facts is not self._heard:
                    self._usable_until = -float("inf")
