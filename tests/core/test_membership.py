"""Tests of membership by list, direct evidence and reported departures."""

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
    """Returns the membership tracked by `s1`, with two peers and engines."""
    members = membership.Membership(SETTINGS, "s1", "z1")
    listed = (
        make_member("s1", "z1"),
        make_member("s2", "z1"),
        make_member("s3", "z2"),
        make_member("e1", "z1", "engine"),
        make_member("e2", "z2", "engine"),
    )
    members.handle(membership.ListRead(listed), 0.0)
    return members


def test_schedulers_of_the_zone_come_first() -> None:
    """Schedulers of other zones come last."""
    owners = make_membership().list_owners(CELL, 0.0)
    assert set(owners[:2]) == {"s1", "s2"}
    assert owners[2] == "s3"


def test_unresponsive_scheduler_is_skipped_until_the_evidence_expires() -> None:
    """Unresponsiveness expires after a time or with the next contact."""
    members = make_membership()
    first = "s2"
    members.handle(membership.Unresponsive(first), 1.0)
    assert first not in members.list_owners(CELL, 1.0)
    assert first in members.list_owners(CELL, 1.0 + SETTINGS.silent_s)
    members.handle(membership.Unresponsive(first), 10.0)
    members.handle(membership.Responded(first), 10.5)
    assert members.is_reachable(first, 10.6) is True
    assert first in members.list_owners(CELL, 10.6)
    assert members.is_reachable(first, 10.5 + SETTINGS.heard_s) is None


def test_failed_attempt_is_older_than_a_later_contact() -> None:
    """A restarted instance may respond while its old address is dialled."""
    members = make_membership()
    first = "s2"
    members.handle(membership.Responded(first), 10.5)
    members.handle(membership.Unresponsive(first, attempted_at=10.4), 11.0)
    assert first in members.list_owners(CELL, 11.0)
    members.handle(membership.Unresponsive(first, attempted_at=10.6), 11.0)
    assert first not in members.list_owners(CELL, 11.0)


def test_reported_departure_takes_precedence_over_the_list() -> None:
    """A leaving instance gets no work while the list shows it as live."""
    members = make_membership()
    members.handle(membership.DeparturesReported(("e1", "s2")), 1.0)
    members.handle(membership.ListRead(tuple(members.list_role("engine"))), 2.0)
    assert members.is_leaving("e1")
    assert "s2" not in members.list_owners(CELL, 2.0)


def test_departures_expire_although_peers_repeat_them() -> None:
    """Two peers cannot keep a departure alive by reporting it in turn."""
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
    """Upstreams that are not listed yet do not form a cell."""
    pool = rows.Pool(
        name="p",
        kind=rows.UpstreamKind.ENGINE,
        upstreams=("e2", "e1", "e9"),
    )
    members = make_membership()
    assert members.list_cells(pool) == [CELL, rows.CellId("p", "z2")]
    assert [
        member.instance for member in members.list_upstreams(pool, "z2")
    ] == ["e2"]


def test_a_scheduler_counts_itself_before_it_is_listed() -> None:
    """A new scheduler can own a cell although the list lags."""
    members = membership.Membership(SETTINGS, "s9", "z1")
    assert members.find_owner(CELL, 0.0) == "s9"
    members.handle(membership.Left("s9"), 0.0)
    assert members.find_owner(CELL, 0.0) == ""


def test_announced_return_takes_precedence_over_peers() -> None:
    """A returned instance serves again although peers still report it."""
    members = make_membership()
    members.handle(membership.Left("s2"), 0.0)
    members.handle(membership.Returned("s2"), 1.0)
    members.handle(membership.DeparturesReported(("s2",)), 2.0)
    assert "s2" in members.list_owners(CELL, 2.0)
    members.handle(membership.Left("s2"), 3.0)
    assert "s2" not in members.list_owners(CELL, 3.0)


def test_scheduler_ignores_reports_of_its_own_departure() -> None:
    """A restarted scheduler ignores reports of its previous incarnation."""
    members = make_membership()
    members.handle(membership.DeparturesReported(("s1",)), 1.0)
    assert "s1" in members.list_owners(CELL, 1.0)


EVENTS = strategies.one_of(
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
            EVENTS, strategies.sampled_from((0.0, 0.5, 1.0, 3.0, 5.0, 600.0))
        ),
        max_size=20,
    )
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_cached_owners_match_the_current_evidence(
    timed_events: list[tuple[membership.MembershipEvent, float]],
) -> None:
    """The cached owners are invalidated whenever the evidence changes."""
    members = membership.Membership(SETTINGS, NAMES[0], "z1")
    now = 0.0
    for event, wait_s in timed_events:
        members.handle(event, now)
        for _ in range(2):
            owners = members.list_owners(CELL, now)
            names = {
                member.instance for member in members.list_role("scheduler")
            }
            usable = [
                (name, "z1")
                for name in names | {NAMES[0]}
                if not members.is_leaving(name)
                and (
                    name == NAMES[0]
                    or members.is_reachable(name, now) is not False
                )
            ]
            assert owners == rendezvous.order_owners(CELL.text, usable, "z1")
            now += wait_s
