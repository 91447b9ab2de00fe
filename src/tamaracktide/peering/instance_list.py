"""The newest instance list, from the platform or from a peer."""

import math

from tamaracktide.object_api import instances as instances_module
from tamaracktide.protocol import peer_messages

STATE_LEAVING = "leaving"
ENTRY_BYTES = 160
LIST_BYTES_PER_S = 1024
"""Average rate at which a process reads the list from the platform."""


def find_poll_period_s(min_period_s: float, entries: int) -> float:
    """Returns the time between a process's polls of the platform's list.

    A long list has many readers, which poll it seldom and at different times
    and forward newer versions to each other, so a change still spreads soon.
    """
    return max(min_period_s, entries * ENTRY_BYTES / LIST_BYTES_PER_S)


class InstanceList:
    """Keeps the list of the highest version seen.

    Attributes:
        version: Version of the list, -1 for none.
        instances: Entries of the list.
        confirmed_at: When the platform last confirmed the version to any
            process, on this process's clock; minus infinity for never.
    """

    __slots__ = ("confirmed_at", "instances", "version")

    def __init__(self) -> None:
        """Initializes the state without a list."""
        self.version = -1
        self.instances: tuple[peer_messages.ListedInstance, ...] = ()
        self.confirmed_at = -math.inf

    def offer_listing(
        self, listing: instances_module.InstanceListing, now: float
    ) -> bool:
        """Applies the platform's response; returns whether it is newer."""
        entries = tuple(
            peer_messages.ListedInstance(
                id=instance.id,
                role=instance.role,
                zone=instance.zone,
                address=instance.address,
                inner_address=instance.inner_address,
                leaving=instance.state == STATE_LEAVING,
            )
            for instance in listing.instances
        )
        return self._offer(listing.version, entries, now)

    def offer_reply(
        self, reply: peer_messages.InstancesReply, now: float
    ) -> bool:
        """Applies a peer's reply; returns whether its list is newer.

        An older list never replaces a newer one.
        """
        confirmed_at = now - max(0.0, reply.age_s)
        if reply.version > self.version and not reply.instances:
            # The reply is to a fetch that named a still newer version.
            return False
        return self._offer(reply.version, reply.instances, confirmed_at)

    def make_reply(
        self, fetch: peer_messages.InstancesFetch, now: float
    ) -> peer_messages.InstancesReply:
        """Returns the reply to a fetch, without entries if none is newer."""
        if self.version < 0:
            return peer_messages.InstancesReply(fetch_id=fetch.fetch_id)
        is_newer = self.version > fetch.version
        return peer_messages.InstancesReply(
            fetch_id=fetch.fetch_id,
            version=self.version,
            age_s=max(0.0, now - self.confirmed_at),
            instances=self.instances if is_newer else (),
        )

    def _offer(
        self,
        version: int,
        entries: tuple[peer_messages.ListedInstance, ...],
        confirmed_at: float,
    ) -> bool:
        if version < 0 or version < self.version:
            return False
        if version == self.version:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            return False
        self.version = version
        self.instances = entries
        self.confirmed_at = confirmed_at
        return True
