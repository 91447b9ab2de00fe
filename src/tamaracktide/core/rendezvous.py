"""Rendezvous hashing (highest random weight) over named members."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

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


def sort_weighted(key: str, weights: Mapping[str, float]) -> list[str]:
    """Returns members in order of preference, by weighted rendezvous hashing.

    A member comes first for a share of the keys in proportion to its weight.
    """

    def find_score(member: str) -> float:
        digest = xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())
        return -math.log((digest + 1) / (1 << 64)) / weights[member]

    return sorted(weights, key=lambda member: (find_score(member), member))


def find_rank(key: str, member: str) -> float:
    """Returns the position of a member among all for a key, from 0 to 1."""
    digest = xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())
    return digest / (1 << 64)


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
