"""Rendezvous (highest random weight) order over named members."""

from collections.abc import Iterable

import xxhash


def sort_members(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in the order of preference for a key.

    The order of two members never depends on which others are present.
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
    """Returns candidate owners, those of the given zone first.

    Args:
        key: What is owned.
        members: Pairs of instance id and availability zone.
        zone: Availability zone whose members come first.
    """
    pairs = list(members)
    near = [member for member, place in pairs if place == zone]
    far = [member for member, place in pairs if place != zone]
    return sort_members(key, near) + sort_members(key, far)
