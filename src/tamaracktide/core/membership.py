"""Tracks live instances and selects the schedulers that should own a cell.

The instance list lags, so direct evidence takes precedence over it. After a
contact an instance counts as reachable; after a failed connection it counts
as unreachable for a limited time. An instance that has announced its departure
receives no new work, even while the list still shows it as live.
"""

from collections.abc import Iterable
import dataclasses

from tamaracktide.core import rendezvous
from tamaracktide.core import rows

ROLE_SCHEDULER = "scheduler"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """How long evidence stays valid.

    Attributes:
        silent_s: Time for which an unresponsive instance counts as
            unreachable; it is then probed again.
        heard_s: Time for which a contact counts as evidence of reachability.
        leaving_s: Time for which a reported departure is valid.
        told_s: Time for which a departure is reported to peers; less than
            `leaving_s`, so that peers cannot keep a departure alive by
            reporting it to each other in turn.
    """

    silent_s: float = 5.0
    heard_s: float = 2.0
    leaving_s: float = 600.0
    told_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One instance of the instance list.

    Attributes:
        instance: Instance id.
        role: `gateway`, `scheduler`, `engine` or `service`.
        zone: Availability zone.
        address: `IP:PORT` of the HTTP endpoint.
        inner_address: `IP:PORT` of the inner protocol, empty for none.
        leaving: Whether the list shows the instance as leaving.
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
    """An instance responded or sent a message."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unresponsive:
    """An instance did not respond over a new connection.

    Attributes:
        instance: The instance.
        attempted_at: When the attempt began, seconds; infinite for now.
    """

    instance: str
    attempted_at: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """An instance announced that it is stopping."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """The instance with this id announced that it is not leaving."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeparturesReported:
    """A peer reported the instances that it has recorded as leaving."""

    leaving: tuple[str, ...]


MembershipEvent = (
    ListRead | Responded | Unresponsive | Left | Returned | DeparturesReported
)


class Membership:
    """The instances as tracked by one scheduler."""

    def __init__(
        self, settings: MembershipSettings, instance: str, zone: str
    ) -> None:
        """Starts with this scheduler as the only instance."""
        self._settings = settings
        self._instance = instance
        self._zone = zone
        self._members: dict[str, Member] = {}
        self._last_contact: dict[str, float] = {}
        self._unresponsive: dict[str, float] = {}
        self._leaving: dict[str, float] = {}
        self._returned: dict[str, float] = {}
        self._candidates: tuple[tuple[str, str], ...] = ()
        self._candidates_valid_until = -float("inf")
        self._owners: dict[str, list[str]] = {}

    def handle(self, event: MembershipEvent, now: float) -> None:
        """Applies an event.

        Args:
            event: The event.
            now: Current time, seconds.
        """
        match event:
            case ListRead(members):
                self._members = {member.instance: member for member in members}
            case Responded(instance):
                self._last_contact[instance] = now
                if self._unresponsive.pop(instance, None) is None:
                    self._expire_evidence(now)
                    return
            case Unresponsive(instance, attempted_at):
                if attempted_at < self._last_contact.get(
                    instance, -float("inf")
                ):
                    # It responded later than that, from a new address perhaps.
                    return
                self._unresponsive[instance] = now
                self._last_contact.pop(instance, None)
            case Left(instance):
                self._returned.pop(instance, None)
                self._leaving.setdefault(instance, now)
            case Returned(instance):
                if self._leaving.pop(instance, None) is not None:
                    self._returned[instance] = now
            case DeparturesReported(leaving):
                self._apply_peer_departures(leaving, now)
        self._expire_evidence(now)
        self._candidates_valid_until = -float("inf")

    def find(self, instance: str) -> Member | None:
        """Returns a listed instance, whether or not it is leaving."""
        return self._members.get(instance)

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance must not receive new work."""
        member = self._members.get(instance)
        listed = member is not None and member.leaving
        return listed or instance in self._leaving

    def is_reachable(self, instance: str, now: float) -> bool | None:
        """Returns reachability by direct evidence, None if there is none."""
        unresponsive_at = self._unresponsive.get(instance, -float("inf"))
        if now - unresponsive_at < self._settings.silent_s:
            return False
        last_contact_at = self._last_contact.get(instance, -float("inf"))
        return True if now - last_contact_at < self._settings.heard_s else None

    def list_role(self, role: str) -> list[Member]:
        """Returns the listed instances of a role, including leaving ones."""
        return [
            member for member in self._members.values() if member.role == role
        ]

    def list_cells(self, pool: rows.Pool) -> list[rows.CellId]:
        """Returns the cells of a pool, one per zone with listed upstreams."""
        pool_members = (self._members.get(name) for name in pool.upstreams)
        zones = {member.zone for member in pool_members if member is not None}
        return [rows.CellId(pool.name, zone) for zone in sorted(zones)]

    def list_upstreams(self, pool: rows.Pool, zone: str) -> list[Member]:
        """Returns a cell's listed upstreams in the pool's order."""
        pool_members = (self._members.get(name) for name in pool.upstreams)
        return [
            member
            for member in pool_members
            if member is not None and member.zone == zone
        ]

    def list_owners(self, cell: rows.CellId, now: float) -> list[str]:
        """Returns the schedulers that should own a cell, in preference order.

        Leaving and unreachable schedulers are excluded. This scheduler is
        included even before the instance list shows it.
        """
        self._update_candidates(now)
        owners = self._owners.get(cell.text)
        if owners is None:
            owners = rendezvous.order_owners(
                cell.text, self._candidates, cell.zone
            )
            self._owners[cell.text] = owners
        return owners

    def find_owner(self, cell: rows.CellId, now: float) -> str:
        """Returns the preferred owner of a cell, empty if there is none."""
        return next(iter(self.list_owners(cell, now)), "")

    def list_leaving(self, now: float) -> tuple[str, ...]:
        """Returns the leaving instances to report to peers, sorted."""
        return tuple(
            sorted(
                instance
                for instance, reported_at in self._leaving.items()
                if instance == self._instance
                or now - reported_at < self._settings.told_s
            )
        )

    def list_possibly_reachable(
        self, instances: Iterable[str], now: float
    ) -> list[str]:
        """Returns the given instances that do not count as unreachable."""
        return [
            instance
            for instance in instances
            if instance != self._instance
            and self.is_reachable(instance, now) is not False
        ]

    def _apply_peer_departures(
        self, leaving: Iterable[str], now: float
    ) -> None:
        """Records reported departures.

        What an instance has announced about itself takes precedence.
        """
        for instance in leaving:
            if instance != self._instance and instance not in self._returned:
                self._leaving.setdefault(instance, now)

    def _update_candidates(self, now: float) -> None:
        """Recomputes the candidate owners if they may have changed."""
        if now < self._candidates_valid_until:
            return
        zones = {self._instance: self._zone}
        for member in self.list_role(ROLE_SCHEDULER):
            zones[member.instance] = member.zone
        candidates = tuple(
            (instance, zone)
            for instance, zone in zones.items()
            if self._is_candidate(instance, now)
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._owners.clear()
        silent_s = self._settings.silent_s
        self._candidates_valid_until = min(
            (
                at + silent_s
                for at in self._unresponsive.values()
                if at > now - silent_s
            ),
            default=float("inf"),
        )

    def _is_candidate(self, instance: str, now: float) -> bool:
        if self.is_leaving(instance):
            return False
        if instance == self._instance:
            return True
        return self.is_reachable(instance, now) is not False

    def _expire_evidence(self, now: float) -> None:
        max_ages = (
            (self._last_contact, self._settings.heard_s),
            (self._unresponsive, self._settings.silent_s),
            (self._leaving, self._settings.leaving_s),
            (self._returned, self._settings.leaving_s),
        )
        for times, max_age_s in max_ages:
            for instance in [
                k for k, at in times.items() if now - at >= max_age_s
            ]:
                del times[instance]
                if times is not self._last_contact:
                    self._candidates_valid_until = -float("inf")
