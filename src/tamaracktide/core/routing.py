"""Which cell a gateway asks for a grant, and which scheduler of it."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from tamaracktide.core import rendezvous
from tamaracktide.core import rows

LOAD_BOUND = 1.25
"""A cell above this multiple of the mean utilisation gives its surplus on."""

IDLE_UTILISATION = 0.5
"""Up to this utilisation a cell is never above its bound."""

EQUAL_UTILISATION = 0.1
"""Utilisations that differ by no more count as equal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live scheduler.

    Attributes:
        instance: Instance id.
        zone: Its availability zone.
        reachable: Whether this gateway can talk to it.
    """

    instance: str
    zone: str
    reachable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """A scheduler to ask for a grant of a cell.

    Attributes:
        instance: Instance id.
        suspects: Owners before it that cannot be reached.
    """

    instance: str
    suspects: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CellUse:
    """How busy a cell's owner reported it to be.

    Attributes:
        running: Granted requests.
        capacity: Places in the batches.
        waiting: Requests without a grant.
        wait_s: Wait to be expected by a new request.
    """

    running: int
    capacity: int
    waiting: int
    wait_s: float = 0.0

    @property
    def utilisation(self) -> float:
        """Requests for each place; infinite without places."""
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
    present = {zones[one] for one in pool.upstreams if one in zones}
    return tuple(rows.CellId(pool.name, zone) for zone in sorted(present))


def list_owners(
    cell: rows.CellId, members: Iterable[Member]
) -> tuple[Owner, ...]:
    """Returns the reachable schedulers of a cell, the owner first."""
    known = list(members)
    reachable = {one.instance for one in known if one.reachable}
    order = rendezvous.order_owners(
        cell.text, [(one.instance, one.zone) for one in known], cell.zone
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
    uses: Mapping[rows.CellId, CellUse],
    own_zone: str,
) -> tuple[rows.CellId, ...]:
    """Returns the cells in the order in which to ask them.

    The first cell of the adapter's rendezvous order comes first unless its
    utilisation is above the bound; a surplus goes to the own zone if that is
    about as little used as the least used cell, else along the order.

    Args:
        key: The adapter.
        cells: Cells that can be reached.
        uses: Reported use; cells without a report count as the mean.
        own_zone: The gateway's availability zone.
    """
    by_zone = {cell.zone: cell for cell in cells}
    order = [
        by_zone[zone] for zone in rendezvous.sort_members(key.text, by_zone)
    ]
    if len(order) < 2:
        return tuple(order)
    levels = _measure_levels(order, uses)
    bound = max(IDLE_UTILISATION, LOAD_BOUND * _average(levels.values()))
    home = order[0]
    least = min(levels.values())

    def rank(cell: rows.CellId) -> tuple[bool, bool, bool]:
        level = levels[cell]
        near = cell.zone == own_zone and level <= least + EQUAL_UTILISATION
        return level > bound, cell != home, not near

    return tuple(sorted(order, key=rank))


def _measure_levels(
    cells: Iterable[rows.CellId], uses: Mapping[rows.CellId, CellUse]
) -> dict[rows.CellId, float]:
    known = {cell: uses[cell].utilisation for cell in cells if cell in uses}
    usual = _average(known.values())
    return {cell: known.get(cell, usual) for cell in cells}


def _average(levels: Collection[float]) -> float:
    finite = [level for level in levels if level != float("inf")]
    return sum(finite) / len(finite) if finite else 0.0
