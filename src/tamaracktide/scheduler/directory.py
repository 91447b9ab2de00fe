"""Maintains the instance list from the platform and from peers."""

from collections.abc import Awaitable
from collections.abc import Callable
import uuid

import anyio

from tamaracktide import errors
from tamaracktide.core import membership
from tamaracktide.core import randomness
from tamaracktide.object_api import instances as instances_module
from tamaracktide.observability import logs
from tamaracktide.peering import bootstrap
from tamaracktide.peering import instance_list
from tamaracktide.protocol import messages
from tamaracktide.protocol import peer_messages
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.tables import follower as tables_follower

MIN_POLL_FRACTION = 0.2
"""Minimum time between two polls, as a fraction of the poll period."""
SEED_RETRY_S = 0.5
SEED_SPREAD_S = 1.0

ListReader = Callable[[], Awaitable[instances_module.InstanceListing]]
Installer = Callable[[tuple[membership.Member, ...]], None]


class Directory:
    """Maintains the newest version of the instance list.

    Attributes:
        listing: The list.
        listed_at: When the list last changed, or None before the first one.
    """

    def __init__(
        self,
        settings: scheduler_settings.SchedulerSettings,
        hello: messages.Hello,
        read_list: ListReader,
        follower: tables_follower.Follower,
        rng: randomness.Random,
        install: Installer,
    ) -> None:
        """Initializes the directory without a list.

        Args:
            settings: The scheduler's settings.
            hello: First message to seed peers.
            read_list: Reads the list from the platform.
            follower: Tables, which are also fetched from a seed peer.
            rng: Source of jitter.
            install: Called with the members of each new list.
        """
        self.listing = instance_list.InstanceList()
        self.listed_at: float | None = None
        self._settings = settings
        self._hello = hello
        self._read_list = read_list
        self._follower = follower
        self._rng = rng
        self._install = install
        self._installed = -1
        self._polled_at = 0.0
        self._platform_reachable = False
        self._refresh_requested = anyio.Event()

    async def start(self) -> None:
        """Fetches the list and the tables from a seed peer, if there is one.

        If no seed peer replies within a random time, the platform is read
        instead. This spreads the reads of many schedulers that start at once,
        so that they stay within the platform's rate limits.
        """
        seeds = self._settings.seed_peers
        deadline = anyio.current_time() + self._find_seed_wait_s()
        while seeds and not await bootstrap.fetch_from_peers(
            seeds,
            self._hello,
            self._settings.inner,
            self.listing,
            self._follower,
            self._rng,
        ):
            if anyio.current_time() >= deadline:
                break
            await anyio.sleep(SEED_RETRY_S)
        self._install_list()

    async def refresh(self) -> bool:
        """Polls the platform for the instance list once.

        Returns:
            Whether the platform responded; otherwise the list is unchanged.
        """
        self._polled_at = anyio.current_time()
        try:
            listing = await self._read_list()
        except errors.PlatformError as error:
            self._platform_reachable = False
            logs.bind(code=error.code.value).warning(
                "cannot read the instance list: {}", error.detail
            )
            return False
        self._platform_reachable = True
        self.listing.offer_listing(listing, anyio.current_time())
        self._install_list()
        return True

    def is_platform_reachable(self) -> bool:
        """Returns whether the last poll of the platform succeeded."""
        return self._platform_reachable

    def request_refresh(self) -> None:
        """Requests an early poll because the list may have changed."""
        self._refresh_requested.set()

    async def run(self) -> None:
        """Polls the list periodically and on request until cancelled."""
        while True:
            await self.refresh()
            period_s = instance_list.find_poll_period_s(
                self._settings.periods.instances_s, len(self.listing.instances)
            )
            self._refresh_requested = anyio.Event()
            with anyio.move_on_after(period_s / 2 + self._jitter(period_s)):
                await self._refresh_requested.wait()
            earliest_poll_at = self._polled_at + period_s * MIN_POLL_FRACTION
            await anyio.sleep(max(0.0, earliest_poll_at - anyio.current_time()))

    def apply_reply(self, reply: peer_messages.InstancesReply) -> None:
        """Applies a peer's reply to a fetch."""
        self.listing.offer_reply(reply, anyio.current_time())
        self._install_list()

    def make_reply(
        self, fetch: peer_messages.InstancesFetch
    ) -> peer_messages.InstancesReply:
        """Returns the reply to a peer's fetch."""
        return self.listing.make_reply(fetch, anyio.current_time())

    def make_fetch(self) -> peer_messages.InstancesFetch:
        """Returns a fetch for a newer version of the list."""
        return peer_messages.InstancesFetch(
            fetch_id=uuid.uuid4().hex, version=self.listing.version
        )

    def _find_seed_wait_s(self) -> float:
        """Returns how long to wait for seed peers before polling the platform.

        Seeds wait a shorter time than the others, which then fetch from them.
        """
        seeds = self._settings.seed_peers
        inner = self._settings.inner
        if not seeds or seeds == (f"{inner.host}:{inner.port}",):
            return 0.0
        if f"{inner.host}:{inner.port}" in seeds:
            return self._jitter(SEED_SPREAD_S)
        spread_s = self._settings.periods.start_spread_s
        return spread_s / 2 + self._jitter(spread_s / 2)

    def _jitter(self, max_s: float) -> float:
        return max_s * self._rng.getrandbits(32) / (1 << 32)

    def _install_list(self) -> None:
        """Installs the list if its version changed since the last call."""
        if self.listing.version in (-1, self._installed):
            return
        self._installed = self.listing.version
        self.listed_at = anyio.current_time()
        members = tuple(
            membership.Member(
                instance=instance.id,
                role=instance.role,
                zone=instance.zone,
                address=instance.address,
                inner_address=instance.inner_address,
                leaving=instance.leaving,
            )
            for instance in self.listing.instances
        )
        self._install(members)
