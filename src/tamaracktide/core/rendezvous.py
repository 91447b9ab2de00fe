"""Rendezvous hashing (highest random weight) over named members."""

from collections.abc import Iterable

import xxhash


def sort_members(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in order of preference for a key.

    The relative order of two members does not depend on the other members.
    """
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh64_intdigest(f"{key}\x00{member}".encode()),
            member,
        ),
        reverse=True,
    )


def order_owners(
    key: str, members: Iterable[tuple[str, str]], zone: str
) -> list[str]:
    """Returns the candidate owners, those in the given zone first.

    Args:
        key: Name of the owned object.
        members: Pairs of instance id and availability zone.
        zone: Availability zone whose members come first.
    """
    pairs = list(members)
    in_zone = [member for member, member_zone in pairs if member_zone == zone]
    elsewhere = [member for member, member_zone in pairs if member_zone != zone]
    return sort_members(key, in_zone) + sort_members(key, elsewhere)
