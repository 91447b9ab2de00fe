"""Follows the platform's store by watches with few calls."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Protocol

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.entry import cluster_state
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs

MAX_WATCH_WAIT_S = 2.0
"""Maximum wait of a watch. The store may have received it and never respond,
which only the end of the wait shows. Together with the time-out of a call, it
stays below the time after an outage in which changes may be late."""

MAX_VERSION_WATCH_WAIT_S = 4.0
"""The same for adapter versions, which may be in force later than routes."""

MAX_INSTANCE_WATCH_WAIT_S = 10.0
"""The same for instances, which also learn of each other by their links."""

MIN_WATCH_PAUSE_S = 0.3
"""Pause before the next watch of upstreams, so that one call returns several
changes. A draining upstream must be observed well within two seconds."""

MAX_WATCH_PAUSE_S = 1.0
"""Maximum of this pause in a large cluster: half of the two seconds allowed for
the detection of a drain."""

SMALL_CLUSTER_INSTANCES = 4
"""Number of instances up to which the pause is minimal. Above it the pause
grows with the number of instances, so that the total rate of calls stays the
same."""

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 0.8
"""Refused calls are charged, so failures are followed by a back-off. A
recovered store must be noticed within a second, which limits the back-off."""

MIN_OUTAGE_S = 0.5
"""Minimum duration of failures that count as an outage."""


class Health(Protocol):
    """How the calls of a follower fare, and when the next one is due."""

    @property
    def failing_since(self) -> float | None:
        """Time of the first failed call, None while calls succeed."""

    async def wait(self) -> None:
        """Waits until the next call is due."""

    def record_response(self) -> None:
        """Records that the store responded to a call."""

    def record_failure(self, error: errors.TamaracktideError) -> None:
        """Records that a call failed."""


class StoreHealth:
    """Tracks whether the store is reachable; shared by all of its clients.

    Attributes:
        failing_since: Time of the first failed call, None while calls succeed.
    """

    __slots__ = ("_backoff_s", "_cluster_state", "_retry_at", "failing_since")

    def __init__(self, state: cluster_state.ClusterState) -> None:
        """Starts with the store reachable."""
        self.failing_since: float | None = None
        self._cluster_state = state
        self._backoff_s = MIN_BACKOFF_S
        self._retry_at = 0.0

    @property
    def unreachable_s(self) -> float:
        """Time for which all calls have failed, seconds."""
        if self.failing_since is None:
            return 0.0
        return anyio.current_time() - self.failing_since

    @property
    def allows_calls(self) -> bool:
        """Whether the back-off allows a call now."""
        if self.failing_since is None:
            return True
        return anyio.current_time() >= self._retry_at

    async def wait(self) -> None:
        """Waits until the back-off allows the next call."""
        delay_s = self._retry_at - anyio.current_time()
        if self.failing_since is not None and delay_s > 0:
            await anyio.sleep(delay_s)

    def record_response(self) -> None:
        """Records that the store responded to a call."""
        if self.failing_since is None:
            return
        unreachable_s = self.unreachable_s
        self.failing_since = None
        self._backoff_s = MIN_BACKOFF_S
        if unreachable_s >= MIN_OUTAGE_S:
            self._cluster_state.record_recovery(anyio.current_time())
        logs.bind(silent_s=round(unreachable_s, 2)).info(
            "store reachable again"
        )

    def record_failure(self, error: errors.TamaracktideError) -> None:
        """Records that a call failed."""
        now = anyio.current_time()
        if self.failing_since is None:
            self.failing_since = now
            logs.bind(code=error.code.value).warning(
                "store unreachable: {}", error.detail
            )
        if now >= self._retry_at:
            self._retry_at = now + self._backoff_s * random.uniform(0.7, 1.3)
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)


class StoreUse:
    """Whether this instance follows the store itself.

    Attributes:
        is_needed: Whether it does.
    """

    __slots__ = ("_needed", "is_needed")

    def __init__(self) -> None:
        """Starts without following the store."""
        self.is_needed = False
        self._needed = anyio.Event()

    def update(self, is_needed: bool) -> None:
        """Starts or stops the followers; a call in progress still ends."""
        if is_needed == self.is_needed:
            return
        self.is_needed = is_needed
        if is_needed:
            self._needed.set()
        else:
            self._needed = anyio.Event()

    async def wait(self) -> None:
        """Waits until the store must be followed."""
        await self._needed.wait()


def find_watch_pause_s(instances: int) -> float:
    """Returns the pause between two watches of upstreams, seconds."""
    factor = max(1.0, instances / SMALL_CLUSTER_INSTANCES)
    return min(MAX_WATCH_PAUSE_S, MIN_WATCH_PAUSE_S * factor)


class Follower:
    """Keeps the cluster state of one prefix up to date."""

    def __init__(
        self,
        prefix: str,
        store: object_store.ValueStore,
        state: cluster_state.ClusterState,
        store_health: Health,
        on_change: Callable[[list[object_store.Item]], None],
        wait_until_needed: Callable[[], Awaitable[None]],
        find_watch_pause_s: Callable[[], float] | None = None,
        find_max_wait_s: Callable[[], float] = lambda: MAX_WATCH_WAIT_S,
        on_bytes: object_store.ByteListener | None = None,
    ) -> None:
        """Builds a follower; `run` must be running.

        Args:
            prefix: Prefix of the followed keys.
            store: The store.
            state: The cluster state, which applies the objects.
            store_health: Tracks whether the store is reachable.
            on_change: Called with the objects that were new or changed.
            wait_until_needed: Waits while this instance gets the objects from
                its relay.
            find_watch_pause_s: Returns the pause before the next watch;
                None for no pauses.
            find_max_wait_s: Returns the maximum wait of a watch.
            on_bytes: Called with the size of each part of a response.
        """
        self._prefix = prefix
        self._store = store
        self._cluster_state = state
        self._store_health = store_health
        self._on_change = on_change
        self._wait_until_needed = wait_until_needed
        self._find_watch_pause_s = find_watch_pause_s
        self._find_max_wait_s = find_max_wait_s
        self._on_bytes = on_bytes
        self._listed_era = 0
        self._call_scope = anyio.CancelScope()
        state.listen_for_eras(self._cancel_call)

    async def run(self) -> None:
        """Lists and watches until cancelled."""
        since: int | None = None
        while True:
            await self._wait_until_needed()
            await self._store_health.wait()
            try:
                since = await self._follow_once(since)
            except errors.PlatformUnavailableError as error:
                self._store_health.record_failure(error)
                await anyio.sleep(MIN_BACKOFF_S * random.uniform(0.5, 1.0))
                continue
            except errors.PlatformError as error:
                logs.bind(prefix=self._prefix, code=error.code.value).error(
                    "store rejected a call: {}", error.detail
                )
                since = None
                await anyio.sleep(MAX_BACKOFF_S)
                continue
            if self._find_watch_pause_s is not None:
                await anyio.sleep(self._find_watch_pause_s())

    def restart_call(self) -> None:
        """Ends the call in progress; another one follows at once."""
        self._call_scope.cancel()

    def _cancel_call(self, era: int) -> None:
        """Ends a call of an earlier era, so that the objects are listed."""
        del era
        self.restart_call()

    async def _follow_once(self, since: int | None) -> int | None:
        """Lists or watches once; returns the version to watch from next.

        Returns:
            The version; None if the objects must be listed again.
        """
        version = since
        with anyio.CancelScope() as self._call_scope:
            if since is None or self._listed_era != self._cluster_state.era:
                version = await self._list()
            else:
                version = await self._watch(since)
        return version

    async def _list(self) -> int:
        listing = await self._store.list_values(self._prefix, self._on_bytes)
        self._check_era(listing)
        self._listed_era = self._cluster_state.era
        self._store_health.record_response()
        self._on_change(
            self._cluster_state.apply_listing(self._prefix, listing)
        )
        return listing.version

    async def _watch(self, since: int) -> int | None:
        wait_s = (
            self._find_max_wait_s()
            if self._store_health.failing_since is None
            else 0.2
        )
        changes = await self._store.watch_values(
            self._prefix, since, wait_s, self._on_bytes
        )
        if self._cluster_state.era != self._listed_era:
            return None
        self._check_era(changes)
        self._store_health.record_response()
        if changes.reset:
            logs.bind(prefix=self._prefix).info(
                "watch version expired; listing again"
            )
            return None
        self._on_change(self._cluster_state.apply(changes.items))
        return changes.version

    def _check_era(self, found: object_store.Items) -> None:
        """Rejects what was read in an era before the latest known one."""
        era = self._cluster_state.era
        if found.era and found.era < era:
            raise errors.PlatformUnavailableError(
                result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                f"response of era {found.era} after era {era}",
            )
