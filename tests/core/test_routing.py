"""Tests of the order of cells and owners, and of epoch tracking."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tamaracktide.core import epochs
from tamaracktide.core import routing
from tamaracktide.core import rows

KEY = rows.AdapterKey("a", "1")
CELLS = [rows.CellId("p", f"z{i}") for i in range(3)]
MEMBERS = [routing.Member(f"d{i}", f"z{i % 3}") for i in range(6)]


def make_utilization(
    running: int, capacity: int = 10
) -> routing.CellUtilization:
    """Returns the utilization of a cell without waiting requests."""
    return routing.CellUtilization(
        running=running, capacity=capacity, waiting=0
    )


def find_preferred_cell() -> rows.CellId:
    """Returns the preferred cell of the key when all cells are idle."""
    return routing.order_cells(KEY, CELLS, {}, "z9")[0]


def test_order_does_not_depend_on_the_gateway() -> None:
    """Gateways of all zones prefer the same cell for an adapter."""
    firsts = {routing.order_cells(KEY, CELLS, {}, f"z{i}")[0] for i in range(3)}
    assert len(firsts) == 1


def test_overloaded_cell_is_last() -> None:
    """A cell well above the mean utilization comes last."""
    preferred = find_preferred_cell()
    utilizations = {
        cell: make_utilization(9 if cell == preferred else 2) for cell in CELLS
    }
    order = routing.order_cells(KEY, CELLS, utilizations, "z9")
    assert order[-1] == preferred


def test_requests_spill_over_to_the_gateways_zone() -> None:
    """Among equally utilized cells the gateway's zone is preferred."""
    preferred = find_preferred_cell()
    utilizations = {
        cell: make_utilization(9 if cell == preferred else 2) for cell in CELLS
    }
    for cell in CELLS:
        if cell != preferred:
            order = routing.order_cells(KEY, CELLS, utilizations, cell.zone)
            assert order[0] == cell


def test_busier_cell_in_the_gateways_zone_is_not_preferred() -> None:
    """The gateway's zone gives no preference to a busier cell."""
    preferred = find_preferred_cell()
    near, far = (cell for cell in CELLS if cell != preferred)
    for busy, idle in ((near, far), (far, near)):
        utilizations = {
            preferred: make_utilization(10),
            busy: make_utilization(6),
            idle: make_utilization(4),
        }
        order = routing.order_cells(KEY, CELLS, utilizations, busy.zone)
        assert order == routing.order_cells(KEY, CELLS, utilizations, "z9")


def test_cell_without_batch_slots_is_last() -> None:
    """A cell whose owner reports no batch slots comes last."""
    preferred = find_preferred_cell()
    utilizations = {
        cell: make_utilization(1, 0 if cell == preferred else 10)
        for cell in CELLS
    }
    assert (
        routing.order_cells(KEY, CELLS, utilizations, preferred.zone)[-1]
        == preferred
    )


@given(
    strategies.lists(strategies.integers(0, 30), min_size=3, max_size=3),
    strategies.sampled_from(["z0", "z1", "z2", "z9"]),
)
@settings(derandomize=True, deadline=None)
def test_every_cell_is_listed_once(running: list[int], zone: str) -> None:
    """The order contains every reachable cell once, at any load."""
    utilizations = {
        cell: make_utilization(count)
        for cell, count in zip(CELLS, running, strict=True)
    }
    order = routing.order_cells(KEY, CELLS, utilizations, zone)
    assert sorted(order) == sorted(CELLS)


def test_owners_in_the_cells_zone_are_first() -> None:
    """The schedulers in the cell's zone come before all others."""
    owners = routing.list_owners(CELLS[1], MEMBERS)
    assert {owner.instance for owner in owners[:2]} == {"d1", "d4"}


def test_unreachable_owner_is_listed_as_suspect() -> None:
    """Each remaining owner lists the one that the gateway cannot reach."""
    first = routing.list_owners(CELLS[1], MEMBERS)[0].instance
    members = [
        routing.Member(member.instance, member.zone, member.instance != first)
        for member in MEMBERS
    ]
    owners = routing.list_owners(CELLS[1], members)
    assert first not in {owner.instance for owner in owners}
    assert all(owner.suspects == (first,) for owner in owners)


def test_cells_are_the_zones_of_the_pools_upstreams() -> None:
    """An upstream in an unknown zone belongs to no cell."""
    pool = rows.Pool(
        name="p",
        kind=rows.UpstreamKind.ENGINE,
        upstreams=("e0", "e1", "e2", "e9"),
    )
    zones = {"e0": "z1", "e1": "z0", "e2": "z1", "other": "z5"}
    assert routing.list_cells(pool, zones) == (CELLS[0], CELLS[1])


@pytest.mark.parametrize(
    ("epoch", "accepted"), [(4, False), (5, True), (6, True)]
)
def test_epoch_never_decreases(epoch: int, accepted: bool) -> None:
    """An epoch below the highest one observed is rejected."""
    epoch_tracker = epochs.EpochTracker()
    assert epoch_tracker.observe("e0", 5)
    assert epoch_tracker.observe("e0", epoch) is accepted
    assert epoch_tracker.find("e0") == max(5, epoch)
    assert epoch_tracker.find("e1") == 0
