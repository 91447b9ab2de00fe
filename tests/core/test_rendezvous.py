"""Tests of the rendezvous order."""

from tamaracktide.core import rendezvous


def test_order_of_two_members_ignores_the_others() -> None:
    """Removing a member does not change the order of the others."""
    members = [f"m{i}" for i in range(9)]
    all_members = rendezvous.sort_members("key", members)
    remaining = rendezvous.sort_members("key", members[1:])
    assert [member for member in all_members if member != "m0"] == remaining


def test_owners_of_the_zone_come_first() -> None:
    """Members of the cell's zone precede all others."""
    members = [("a", "z1"), ("b", "z2"), ("c", "z1")]
    assert set(rendezvous.order_owners("key", members, "z1")[:2]) == {"a", "c"}
