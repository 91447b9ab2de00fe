"""Follows the platform's store by watches, with few calls."""

from collections.abc import Callable
import random

import anyio

from tamaracktide import errors
from tamaracktide.entry import cluster_state
from tamaracktide.object_api import port
from tamaracktide.observability import logs

WATCH_WAIT_S = 10.0
"""Longest wait of a watch. A silent connection is found out by keep-alive
probes; the wait bounds what they miss."""

GATHER_S = 0.3
"""Pause before the next watch of upstreams, so that one call brings several
changes; a draining upstream must be known well within two seconds."""

LONGEST_GATHER_S = 1.0
"""The same among many instances: half of the time that a drain may take."""

FEW_INSTANCES = 4
"""Instances up to which each watches at the shortest pause; beyond them the
pause grows with their number, so that all together call as often."""

FIRST_BACKOFF_S = 0.25
LONGEST_BACKOFF_S = 0.8
"""Refused calls are priced; the store must be heard again within a second."""

OUTAGE_AFTER_S = 0.5
"""Failures that last longer count as an outage."""


class StoreHealth:
    """Whether the store answers; shared by all who call it.

    Attributes:
        failing_since: When calls began to fail, None while they succeed.
    """

    __slots__ = ("_backoff_s", "_knowledge", "_retry_at", "failing_since")

    def __init__(self, known: cluster_state.ClusterState) -> None:
        """Starts as if the store had just answered."""
        self.failing_since: float | None = None
        self._knowledge = known
        self._backoff_s = FIRST_BACKOFF_S
        self._retry_at = 0.0

    @property
    def silent_s(self) -> float:
        """How long every call has failed."""
        if self.failing_since is None:
            return 0.0
        return anyio.current_time() - self.failing_since

    @property
    def allows_calls(self) -> bool:
        """Whether a call makes sense now."""
        if self.failing_since is None:
            return True
        return anyio.current_time() >= self._retry_at

    async def wait(self) -> None:
        """Waits until the next call may be tried."""
        delay_s = self._retry_at - anyio.current_time()
        if self.failing_since is not None and delay_s > 0:
            await anyio.sleep(delay_s)

    def record_answer(self) -> None:
        """Takes in that the store answered."""
        if self.failing_since is None:
            return
        silent_s = self.silent_s
        self.failing_since = None
        self._backoff_s = FIRST_BACKOFF_S
        if silent_s >= OUTAGE_AFTER_S:
            self._knowledge.store_recovered_at = anyio.current_time()
        logs.bind(silent_s=round(silent_s, 2)).info("store answers again")

    def record_failure(self, error: errors.TamaracktideError) -> None:
        """Takes in that a call failed."""
        now = anyio.current_time()
        if self.failing_since is None:
            self.failing_since = now
            logs.bind(code=error.code.value).warning(
                "store does not answer: {}", error.detail
            )
        if now >= self._retry_at:
            self._retry_at = now + self._backoff_s * random.uniform(0.7, 1.3)
            self._backoff_s = min(LONGEST_BACKOFF_S, self._backoff_s * 2)


def find_watch_pause_s(instances: int) -> float:
    """Returns the pause between two watches of upstreams, seconds."""
    share = max(1.0, instances / FEW_INSTANCES)
    return min(LONGEST_GATHER_S, GATHER_S * share)


class Follower:
    """Keeps the knowledge of one prefix up to date."""

    def __init__(
        self,
        prefix: str,
        store: port.ValueStore,
        known: cluster_state.ClusterState,
        contact: StoreHealth,
        tell: Callable[[list[port.Item]], None],
        find_watch_pause_s: Callable[[], float] | None = None,
    ) -> None:
        """Builds a follower; `run` must be running.

        Args:
            prefix: Prefix of the followed keys.
            store: The store.
            known: Takes the objects in.
            contact: Whether the store answers.
            tell: Called with objects that were news.
            find_watch_pause_s: Returns the pause before the next watch, None for
                no pauses.
        """
        self._prefix = prefix
        self._store = store
        self._known = known
        self._contact = contact
        self._tell = tell
        self._find_gather_s = find_watch_pause_s

    async def run(self) -> None:
        """Lists and watches until cancelled."""
        since: int | None = None
        while True:
            await self._contact.wait()
            try:
                since = await self._follow_once(since)
            except errors.PlatformUnavailableError as error:
                self._contact.record_failure(error)
                await anyio.sleep(FIRST_BACKOFF_S * random.uniform(0.5, 1.0))
                continue
            except errors.PlatformError as error:
                logs.bind(prefix=self._prefix, code=error.code.value).error(
                    "store refuses a call: {}", error.detail
                )
                since = None
                await anyio.sleep(LONGEST_BACKOFF_S)
                continue
            self._contact.record_answer()
            if self._find_gather_s is not None:
                await anyio.sleep(self._find_gather_s())

    async def _follow_once(self, since: int | None) -> int | None:
        """Lists, or watches once; returns the version to watch on from."""
        if since is None:
            listing = await self._store.list_values(self._prefix)
            self._contact.record_answer()
            self._tell(self._known.apply_listing(self._prefix, listing))
            return listing.version
        wait_s = WATCH_WAIT_S if self._contact.failing_since is None else 0.2
        changes = await self._store.watch_values(self._prefix, since, wait_s)
        if changes.reset:
            logs.bind(prefix=self._prefix).info("store's history is gone")
            return None
        self._contact.record_answer()
        self._tell(self._known.take(changes.items))
        return changes.version
