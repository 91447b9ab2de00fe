"""Selection of the cell and scheduler that a grant request is sent to."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from tamaracktide.core import rendezvous
from tamaracktide.core import rows

OVERLOAD_RATIO = 1.25
"""Ratio to the mean utilization above which requests go to other cells."""

MIN_OVERLOAD_UTILIZATION = 0.5
"""A cell at or below this utilization is never treated as overloaded."""

UTILIZATION_TOLERANCE = 0.1
"""Largest difference between utilizations that are treated as equal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live scheduler.

    Attributes:
        instance: Instance id.
        zone: Its availability zone.
        reachable: Whether this gateway has a connection to it.
    """

    instance: str
    zone: str
    reachable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """A scheduler to which a grant request for a cell is sent.

    Attributes:
        instance: Instance id.
        suspects: Preferred owners that the gateway cannot reach.
    """

    instance: str
    suspects: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CellUtilization:
    """The load of a cell as reported by its owner.

    Attributes:
        running: Number of requests with a grant.
        capacity: Number of batch slots.
        waiting: Number of requests that wait for a grant.
        wait_s: Expected queueing time of a new request.
    """

    running: int
    capacity: int
    waiting: int
    wait_s: float = 0.0

    @property
    def utilization(self) -> float:
        """Requests per batch slot; infinite if there are no batch slots."""
        if self.capacity <= 0:
            return float("inf")
        return (self.running + self.waiting) / self.capacity


def list_cells(
    pool: rows.Pool, zones: Mapping[str, str]
) -> tuple[rows.CellId, ...]:
    """Returns the cells of a pool.

    Args:
        pool: The pool.
        zones: Availability zone of each known upstream.
    """
    known_zones = {
        zones[upstream] for upstream in pool.upstreams if upstream in zones
    }
    return tuple(rows.CellId(pool.name, zone) for zone in sorted(known_zones))


def list_owners(
    cell: rows.CellId, members: Iterable[Member]
) -> tuple[Owner, ...]:
    """Returns the reachable schedulers of a cell, the owner first."""
    schedulers = list(members)
    reachable = {member.instance for member in schedulers if member.reachable}
    order = rendezvous.order_owners(
        cell.text,
        [(member.instance, member.zone) for member in schedulers],
        cell.zone,
    )
    owners = []
    suspects: list[str] = []
    for instance in order:
        if instance in reachable:
            owners.append(Owner(instance, tuple(suspects)))
        else:
            suspects.append(instance)
    return tuple(owners)


def order_cells(
    key: rows.AdapterKey,
    cells: Collection[rows.CellId],
    reported: Mapping[rows.CellId, CellUtilization],
    local_zone: str,
) -> tuple[rows.CellId, ...]:
    """Returns the cells in the order in which to request a grant.

    The preferred cell is the first in the adapter's rendezvous order. If its
    utilization is above the overload threshold, the requests go to the cell
    of the local zone, provided that its utilization is within the tolerance
    of the lowest one, and otherwise to the next cell in rendezvous order.

    Args:
        key: The adapter.
        cells: Cells that can be reached.
        reported: Last reported utilization of each cell; a cell without a
            report is taken to have the mean utilization.
        local_zone: The gateway's availability zone.
    """
    by_zone = {cell.zone: cell for cell in cells}
    order = [
        by_zone[zone] for zone in rendezvous.sort_members(key.text, by_zone)
    ]
    if len(order) < 2:
        return tuple(order)
    utilizations = _fill_utilizations(order, reported)
    threshold = max(
        MIN_OVERLOAD_UTILIZATION,
        OVERLOAD_RATIO * _compute_mean(utilizations.values()),
    )
    preferred = order[0]
    lowest = min(utilizations.values())

    def rank(cell: rows.CellId) -> tuple[bool, bool, bool]:
        cell_utilization = utilizations[cell]
        prefer_local = (
            cell.zone == local_zone
            and cell_utilization <= lowest + UTILIZATION_TOLERANCE
        )
        return cell_utilization > threshold, cell != preferred, not prefer_local

    return tuple(sorted(order, key=rank))


def _fill_utilizations(
    cells: Iterable[rows.CellId],
    reported: Mapping[rows.CellId, CellUtilization],
) -> dict[rows.CellId, float]:
    measured = {
        cell: reported[cell].utilization for cell in cells if cell in reported
    }
    mean = _compute_mean(measured.values())
    return {cell: measured.get(cell, mean) for cell in cells}


def _compute_mean(utilizations: Collection[float]) -> float:
    finite = [value for value in utilizations if value != float("inf")]
    return sum(finite) / len(finite) if finite else 0.0
