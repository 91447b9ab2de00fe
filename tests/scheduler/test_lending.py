"""Tests of dividing and lending the weight store's load rate."""

from tamaracktide.core import rows
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.scheduler import lending
from tamaracktide.scheduler import settings as scheduler_settings

CELLS = [
    rows.CellId("p", "z1"),
    rows.CellId("q", "z1"),
    rows.CellId("p", "z2"),
]
LOANS_EXPIRED_S = 100.0


def make_lending() -> lending.Lending:
    """Returns a scheduler's lending under a limit of 16 loads per second."""
    return lending.Lending(
        scheduler_settings.SchedulerSettings(
            instance="s",
            zone="z1",
            platform=platform_settings.PlatformSettings(address="127.0.0.1:1"),
        )
    )


def test_zones_have_equal_shares_that_their_cells_divide() -> None:
    """Without need a cell gets its base share of the zone's rate.

    A new owner first gets only the part that is never lent, then the rest.
    """
    owner_lending = make_lending()
    needs = {CELLS[0]: 0.0, CELLS[2]: 0.0}
    first = owner_lending.update(CELLS, needs, 0.0)
    assert first[CELLS[0]].loads_per_s == 2.0
    later = owner_lending.update(CELLS, needs, LOANS_EXPIRED_S)
    assert later[CELLS[0]].loads_per_s == 4.0
    assert later[CELLS[2]].loads_per_s == 8.0
    assert later[CELLS[2]].in_flight == 8.0


def test_idle_scheduler_lends_to_a_scheduler_in_need() -> None:
    """A loan moves rate between schedulers without adding any.

    A scheduler in need lends none.
    """
    lender, borrower = make_lending(), make_lending()
    for now in (0.0, LOANS_EXPIRED_S):
        lender.update(CELLS, {CELLS[2]: 0.0}, now)
        borrower.update(CELLS, {CELLS[0]: 3.0}, now)
    request = borrower.make_request(LOANS_EXPIRED_S)
    assert request is not None
    assert borrower.make_request(LOANS_EXPIRED_S) is None
    assert borrower.make_offer(request, LOANS_EXPIRED_S) is None
    offer = lender.make_offer(request, LOANS_EXPIRED_S)
    assert offer is not None
    borrower.accept_offer(offer, LOANS_EXPIRED_S)
    remaining_shares = lender.update(CELLS, {CELLS[2]: 0.0}, LOANS_EXPIRED_S)
    borrower_shares = borrower.update(CELLS, {CELLS[0]: 3.0}, LOANS_EXPIRED_S)
    assert remaining_shares[CELLS[2]].loads_per_s == 4.0
    assert borrower_shares[CELLS[0]].loads_per_s == 8.0
    shares_after_expiry = borrower.update(
        CELLS, {CELLS[0]: 3.0}, LOANS_EXPIRED_S + 60.0
    )
    assert shares_after_expiry[CELLS[0]].loads_per_s == 4.0
