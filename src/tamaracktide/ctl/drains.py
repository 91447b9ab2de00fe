"""Drain objects, which stop new work for an upstream or instance."""

import dataclasses

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import table_head
from tamaracktide.object_api import objects as platform_objects

DRAINS_PREFIX = "drains/"


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """The content of `drains/INSTANCE`.

    Attributes:
        author: Operator who started the drain.
        at_unix_s: Start of the drain.
    """

    author: str
    at_unix_s: float


async def list_drained(objects: platform_objects.ObjectClient) -> set[str]:
    """Returns the ids of all drained upstreams and instances."""
    listing = await objects.list(DRAINS_PREFIX)
    return {item.key.removeprefix(DRAINS_PREFIX) for item in listing.items}


async def start_drain(
    objects: platform_objects.ObjectClient, instance: str, drain: Drain
) -> bool:
    """Starts a drain; returns False if the instance is already drained."""
    data = table_head.encode_object(drain)
    try:
        await objects.create(DRAINS_PREFIX + instance, data)
    except errors.PreconditionFailedError:
        return False
    return True


async def stop_drain(
    objects: platform_objects.ObjectClient, instance: str
) -> None:
    """Ends a drain.

    Raises:
        errors.EditError: ROW_UNKNOWN if the instance is not drained.
    """
    try:
        await objects.delete(DRAINS_PREFIX + instance)
    except errors.ObjectMissingError as error:
        raise errors.EditError(
            result_codes.ResultCode.ROW_UNKNOWN,
            f'"{instance}" is not drained',
        ) from error
