"""Reads the missing shards of an assembly from the platform."""

import anyio

from tamaracktide import errors
from tamaracktide.core import table_assembly
from tamaracktide.core import table_head
from tamaracktide.object_api import object_store


async def read_missing_shards(
    objects: object_store.ObjectStore,
    assembly: table_assembly.Assembly,
    concurrency: int,
) -> None:
    """Reads every missing shard with bounded concurrency.

    Shards that were read before a failure remain in the assembly.

    Raises:
        errors.PlatformError: The first failed read.
        errors.ProtocolError: A shard's content does not match its hash.
    """
    digests = iter(assembly.list_missing())
    failures: list[errors.TamaracktideError] = []

    async def read_shards() -> None:
        for digest in digests:
            if failures:
                return
            try:
                stored = await objects.read(table_head.make_shard_key(digest))
                assembly.accept_shards({digest: stored.value})
            except errors.TamaracktideError as error:
                failures.append(error)

    async with anyio.create_task_group() as group:
        for _ in range(concurrency):
            group.start_soon(read_shards)
    if failures:
        raise failures[0]
