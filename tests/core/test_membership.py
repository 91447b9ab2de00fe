"""Tests of membership: the list, direct evidence and told departures."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tamaracktide.core import membership
from tamaracktide.core import rendezvous
from tamaracktide.core import rows

CELL = rows.CellId("p", "z1")
SETTINGS = membership.MembershipSettings()
NAMES = ("s1", "s2", "s3")


def make_member(
    instance: str, zone: str, role: str = "scheduler"
) -> membership.Member:
    """Returns a listed instance."""
    return membership.Member(
        instance=instance, role=role, zone=zone, address="127.0.0.1:1"
    )


def make_membership() -> membership.Membership:
    """Returns the view of `s1`, with two peers and two engines."""
    view = membership.Membership(SETTINGS, "s1", "z1")
    listed = (
        make_member("s1", "z1"),
        make_member("s2", "z1"),
        make_member("s3", "z2"),
        make_member("e1", "z1", "engine"),
        make_member("e2", "z2", "engine"),
    )
    view.handle(membership.ListRead(listed), 0.0)
    return view


def test_schedulers_of_the_zone_come_first() -> None:
    """A scheduler of another zone is the last resort."""
    owners = make_membership().list_owners(CELL, 0.0)
    assert set(owners[:2]) == {"s1", "s2"}
    assert owners[2] == "s3"


def test_silent_scheduler_is_passed_over_until_the_fact_is_old() -> None:
    """Silence ends as evidence after its time or at a sign of life."""
    view = make_membership()
    first = "s2"
    view.handle(membership.Unresponsive(first), 1.0)
    assert first not in view.list_owners(CELL, 1.0)
    assert first in view.list_owners(CELL, 1.0 + SETTINGS.silent_s)
    view.handle(membership.Unresponsive(first), 10.0)
    view.handle(membership.Responded(first), 10.5)
    assert view.is_reachable(first, 10.6) is True
    assert first in view.list_owners(CELL, 10.6)
    assert view.is_reachable(first, 10.5 + SETTINGS.heard_s) is None


def test_told_departure_goes_before_the_list() -> None:
    """A leaving instance gets nothing while the list shows it as live."""
    view = make_membership()
    view.handle(membership.DeparturesReported(("e1", "s2")), 1.0)
    view.handle(membership.ListRead(tuple(view.list_role("engine"))), 2.0)
    assert view.is_leaving("e1")
    assert "s2" not in view.list_owners(CELL, 2.0)


def test_departures_age_out_although_peers_repeat_them() -> None:
    """Two peers that tell each other the same fact can't keep it alive."""
    first, second = make_membership(), make_membership()
    first.handle(membership.Left("e1"), 0.0)
    now = 0.0
    while now < SETTINGS.leaving_s * 2:
        second.handle(
            membership.DeparturesReported(first.list_leaving(now)), now
        )
        first.handle(
            membership.DeparturesReported(second.list_leaving(now)), now
        )
        now += 10.0
    assert not first.is_leaving("e1")
    assert not second.is_leaving("e1")


def test_cells_are_the_zones_of_a_pool() -> None:
    """Upstreams that are not listed yet form no cell."""
    pool = rows.Pool(
        name="p",
        kind=rows.UpstreamKind.ENGINE,
        upstreams=("e2", "e1", "e9"),
    )
    view = make_membership()
    assert view.list_cells(pool) == [CELL, rows.CellId("p", "z2")]
    assert [one.instance for one in view.list_upstreams(pool, "z2")] == ["e2"]


def test_a_scheduler_counts_itself_before_it_is_listed() -> None:
    """A new scheduler can own although the list lags."""
    view = membership.Membership(SETTINGS, "s9", "z1")
    assert view.find_owner(CELL, 0.0) == "s9"
    view.handle(membership.Left("s9"), 0.0)
    assert view.find_owner(CELL, 0.0) == ""


def test_restarted_instance_is_believed_over_its_peers() -> None:
    """An id that came back serves again, whatever peers still repeat."""
    view = make_membership()
    view.handle(membership.Left("s2"), 0.0)
    view.handle(membership.Returned("s2"), 1.0)
    view.handle(membership.DeparturesReported(("s2",)), 2.0)
    assert "s2" in view.list_owners(CELL, 2.0)
    view.handle(membership.Left("s2"), 3.0)
    assert "s2" not in view.list_owners(CELL, 3.0)


def test_peers_cannot_make_a_scheduler_think_that_it_leaves() -> None:
    """A restarted scheduler ignores what is told of its former self."""
    view = make_membership()
    view.handle(membership.DeparturesReported(("s1",)), 1.0)
    assert "s1" in view.list_owners(CELL, 1.0)


FACTS = strategies.one_of(
    strategies.builds(membership.Responded, strategies.sampled_from(NAMES)),
    strategies.builds(membership.Unresponsive, strategies.sampled_from(NAMES)),
    strategies.builds(membership.Left, strategies.sampled_from(NAMES)),
    strategies.builds(membership.Returned, strategies.sampled_from(NAMES)),
    strategies.builds(
        membership.DeparturesReported,
        strategies.tuples(strategies.sampled_from(NAMES)),
    ),
    strategies.builds(
        membership.ListRead,
        strategies.sets(strategies.sampled_from(NAMES)).map(
            lambda names: tuple(make_member(name, "z1") for name in names)
        ),
    ),
)


@given(
    strategies.lists(
        strategies.tuples(
            FACTS, strategies.sampled_from((0.0, 0.5, 1.0, 3.0, 5.0, 600.0))
        ),
        max_size=20,
    )
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_remembered_owners_are_those_of_the_present_facts(
    facts: list[tuple[membership.MembershipEvent, float]],
) -> None:
    """What was found before holds only as long as nothing changed."""
    view = membership.Membership(SETTINGS, NAMES[0], "z1")
    now = 0.0
    for fact, wait_s in facts:
        view.handle(fact, now)
        for _ in range(2):
            found = view.list_owners(CELL, now)
            names = {one.instance for one in view.list_role("scheduler")}
            usable = [
                (name, "z1")
                for name in names | {NAMES[0]}
                if not view.is_leaving(name)
                and (
                    name == NAMES[0]
                    or view.is_reachable(name, now) is not False
                )
            ]
            assert found == rendezvous.order_owners(CELL.text, usable, "z1")
            now += wait_s
