"""Tests of the order of cells and owners, and of epochs."""

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


def make_use(running: int, capacity: int = 10) -> routing.CellUse:
    """Returns the use of a cell without waiting requests."""
    return routing.CellUse(running=running, capacity=capacity, waiting=0)


def find_home() -> rows.CellId:
    """Returns the first cell of the key when nothing is loaded."""
    return routing.order_cells(KEY, CELLS, {}, "z9")[0]


def test_order_does_not_depend_on_the_gateway() -> None:
    """All zones ask the same cell first for an adapter."""
    firsts = {routing.order_cells(KEY, CELLS, {}, f"z{i}")[0] for i in range(3)}
    assert len(firsts) == 1


def test_cell_above_the_bound_gives_its_surplus_on() -> None:
    """A cell well above the mean use is asked last."""
    home = find_home()
    uses = {cell: make_use(9 if cell == home else 2) for cell in CELLS}
    order = routing.order_cells(KEY, CELLS, uses, "z9")
    assert order[-1] == home


def test_surplus_goes_to_the_own_zone_if_it_is_as_idle() -> None:
    """Between equally used cells the gateway's own zone takes the surplus."""
    home = find_home()
    uses = {cell: make_use(9 if cell == home else 2) for cell in CELLS}
    for cell in CELLS:
        if cell != home:
            order = routing.order_cells(KEY, CELLS, uses, cell.zone)
            assert order[0] == cell


def test_surplus_avoids_an_own_zone_that_is_busier() -> None:
    """The own zone is no reason to ask a cell that is more used."""
    home = find_home()
    near, far = (cell for cell in CELLS if cell != home)
    for busy, idle in ((near, far), (far, near)):
        uses = {home: make_use(10), busy: make_use(6), idle: make_use(4)}
        order = routing.order_cells(KEY, CELLS, uses, busy.zone)
        assert order == routing.order_cells(KEY, CELLS, uses, "z9")


def test_cell_without_places_is_asked_last() -> None:
    """An owner that reports no places is asked only after the others."""
    home = find_home()
    uses = {cell: make_use(1, 0 if cell == home else 10) for cell in CELLS}
    assert routing.order_cells(KEY, CELLS, uses, home.zone)[-1] == home


@given(
    strategies.lists(strategies.integers(0, 30), min_size=3, max_size=3),
    strategies.sampled_from(["z0", "z1", "z2", "z9"]),
)
@settings(derandomize=True, deadline=None)
def test_every_cell_is_asked_once(running: list[int], zone: str) -> None:
    """Whatever the load, no reachable cell is left out."""
    uses = {
        cell: make_use(use) for cell, use in zip(CELLS, running, strict=True)
    }
    order = routing.order_cells(KEY, CELLS, uses, zone)
    assert sorted(order) == sorted(CELLS)


def test_owner_is_of_the_cells_zone() -> None:
    """The schedulers of the cell's zone come before all others."""
    owners = routing.list_owners(CELLS[1], MEMBERS)
    assert {owner.instance for owner in owners[:2]} == {"d1", "d4"}


def test_unreachable_owner_is_named_as_suspect() -> None:
    """The next owner is told whom the gateway cannot reach."""
    first = routing.list_owners(CELLS[1], MEMBERS)[0].instance
    members = [
        routing.Member(one.instance, one.zone, one.instance != first)
        for one in MEMBERS
    ]
    owners = routing.list_owners(CELLS[1], members)
    assert first not in {owner.instance for owner in owners}
    assert all(owner.suspects == (first,) for owner in owners)


def test_cells_are_the_zones_of_the_pools_upstreams() -> None:
    """An upstream of unknown zone belongs to no cell yet."""
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
def test_epoch_never_falls(epoch: int, accepted: bool) -> None:
    """An epoch below the highest one seen is refused and not kept."""
    record = epochs.EpochTracker()
    assert record.observe("e0", 5)
    assert record.observe("e0", epoch) is accepted
    assert record.find("e0") == max(5, epoch)
    assert record.find("e1") == 0
