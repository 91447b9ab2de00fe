"""Fetches the instance list and the tables from a peer."""

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
    listing: instance_list_module.InstanceList,
    follower: tables_follower.Follower,
    rng: randomness.Random,
) -> bool:
    """Fetches the list and the tables from the first peer that has both.

    Args:
        addresses: Inner addresses of peers, tried in random order.
        hello: This process's first message, sent with a read-only role.
        settings: Limits, timeouts and the shared token.
        listing: The list to fill.
        follower: The tables to fill.
        rng: Source of the random order.

    Returns:
        Whether a list and the tables are present now.
    """
    reader = dataclasses.replace(hello, role=ROLE_READER)
    for address in sorted(addresses, key=lambda _: rng.getrandbits(32)):
        with (
            contextlib.suppress(errors.ProtocolError),
            anyio.move_on_after(PEER_TIMEOUT_S),
        ):
            peer_connection = await client.open_connection(
                address, reader, settings
            )
            try:
                await _fetch_list(peer_connection, listing)
                await _fetch_tables(peer_connection, follower)
            finally:
                with anyio.CancelScope(shield=True):
                    await peer_connection.close()
        if listing.version >= 0 and follower.is_ready:
            logs.bind(peer=address).info(
                "fetched the instance list and the tables from a peer"
            )
            return True
    return listing.version >= 0 and follower.is_ready


async def _fetch_list(
    peer_connection: connection.Connection,
    listing: instance_list_module.InstanceList,
) -> None:
    fetch = peer_messages.InstancesFetch(
        fetch_id=uuid.uuid4().hex, version=listing.version
    )
    await peer_connection.send(fetch)
    while True:
        reply = await peer_connection.receive()
        if isinstance(reply, peer_messages.InstancesReply):
            listing.offer_reply(reply, anyio.current_time())
            return


async def _fetch_tables(
    peer_connection: connection.Connection, follower: tables_follower.Follower
) -> None:
    """Fetches the head, then one shard per message until none is missing."""
    hashes: tuple[str, ...] = ()
    while True:
        await peer_connection.send(
            messages.TableFetch(fetch_id=uuid.uuid4().hex, hashes=hashes)
        )
        reply = await _receive_tables(peer_connection)
        if reply.head:
            follower.offer_head(reply.head)
        if reply.shards:
            follower.offer_shards(reply.shards)
        missing = follower.list_missing_shards()
        if not missing or not (reply.head or reply.shards):
            return
        hashes = (missing[0],)


async def _receive_tables(
    peer_connection: connection.Connection,
) -> messages.TableReply:
    while True:
        reply = await peer_connection.receive()
        if isinstance(reply, messages.TableReply):
            return reply
