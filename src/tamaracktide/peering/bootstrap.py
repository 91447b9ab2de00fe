"""Reads the instance list and the tables from a peer."""

from collections.abc import Iterable
import contextlib
import dataclasses
import uuid

import anyio

from tamaracktide import errors
from tamaracktide.core import randomness
from tamaracktide.observability import logs
from tamaracktide.peering import instance_list as instance_list_module
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import peer_messages
from tamaracktide.protocol import settings as protocol_settings
from tamaracktide.tables import follower as tables_follower

ROLE_READER = "ctl"
PEER_TIMEOUT_S = 10.0


async def fetch_from_peers(
    addresses: Iterable[str],
    hello: messages.Hello,
    settings: protocol_settings.InnerSettings,
    known: instance_list_module.InstanceList,
    follower: tables_follower.Follower,
    rng: randomness.Random,
) -> bool:
    """Reads the list and the tables from the first peer that has both.

    Args:
        addresses: Inner addresses of peers, asked in random order.
        hello: This process's first message; it connects as a mere reader.
        settings: Limits, timeouts and the shared token.
        known: The list to fill.
        follower: The tables to fill.
        rng: Source of the order.

    Returns:
        Whether a list and a revision of the tables are known now.
    """
    reader = dataclasses.replace(hello, role=ROLE_READER)
    for address in sorted(addresses, key=lambda _: rng.getrandbits(32)):
        with (
            contextlib.suppress(errors.ProtocolError),
            anyio.move_on_after(PEER_TIMEOUT_S),
        ):
            opened = await client.open_connection(address, reader, settings)
            try:
                await _fetch_list(opened, known)
                await _fetch_tables(opened, follower)
            finally:
                with anyio.CancelScope(shield=True):
                    await opened.close()
        if known.version >= 0 and follower.is_ready:
            logs.bind(peer=address).info("list and tables read from a peer")
            return True
    return known.version >= 0 and follower.is_ready


async def _fetch_list(
    opened: connection.Connection, known: instance_list_module.InstanceList
) -> None:
    fetch = peer_messages.InstancesFetch(
        fetch_id=uuid.uuid4().hex, version=known.version
    )
    await opened.send(fetch)
    while True:
        reply = await opened.receive()
        if isinstance(reply, peer_messages.InstancesReply):
            known.offer_reply(reply, anyio.current_time())
            return


async def _fetch_tables(
    opened: connection.Connection, follower: tables_follower.Follower
) -> None:
    """Reads the head, then one shard a message until none is missing."""
    hashes: tuple[str, ...] = ()
    while True:
        await opened.send(
            messages.TableFetch(fetch_id=uuid.uuid4().hex, hashes=hashes)
        )
        reply = await _receive_tables(opened)
        if reply.head:
            follower.offer_head(reply.head)
        if reply.shards:
            follower.offer_shards(reply.shards)
        missing = follower.list_missing_shards()
        if not missing or not (reply.head or reply.shards):
            return
        hashes = (missing[0],)


async def _receive_tables(
    opened: connection.Connection,
) -> messages.TableReply:
    while True:
        reply = await opened.receive()
        if isinstance(reply, messages.TableReply):
            return reply
