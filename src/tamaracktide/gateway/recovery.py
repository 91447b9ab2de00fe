"""Starts a gateway from its peers while the platform is unreachable."""

import anyio

from tamaracktide.core import randomness
from tamaracktide.gateway import membership
from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.object_api import instances
from tamaracktide.peering import bootstrap
from tamaracktide.peering import instance_list
from tamaracktide.protocol import messages
from tamaracktide.protocol import peer_messages
from tamaracktide.tables import follower as tables_follower

PEER_FALLBACK_DELAY_S = 1.0
RETRY_INTERVAL_S = 1.0


async def recover_from_peers(
    settings: gateway_settings.GatewaySettings,
    hello: messages.Hello,
    members: membership.Membership,
    follower: tables_follower.Follower,
    rng: randomness.Random,
) -> None:
    """Fetches the instance list and the tables from a seed peer.

    Returns once both are loaded, from a peer or from the platform. A list
    that the platform returns later replaces the list of the peer.
    """
    listing = instance_list.InstanceList()
    await anyio.sleep(PEER_FALLBACK_DELAY_S)
    while not (members.loaded.is_set() and follower.is_ready):
        fetched = await bootstrap.fetch_from_peers(
            settings.seed_peers,
            hello,
            settings.inner,
            listing,
            follower,
            rng,
        )
        if fetched and not members.loaded.is_set():
            members.update([_describe(listed) for listed in listing.instances])
        await anyio.sleep(RETRY_INTERVAL_S)


def _describe(listed: peer_messages.ListedInstance) -> instances.Instance:
    return instances.Instance(
        id=listed.id,
        role=listed.role,
        zone=listed.zone,
        address=listed.address,
        inner_address=listed.inner_address,
        state="leaving" if listed.leaving else "live",
    )
