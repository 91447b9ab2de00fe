"""Whether upstreams can be connected to, tried beside the requests."""

from collections.abc import Callable
import random

import anyio
import anyio.abc

from tamaracktide.core import upstream_entries
from tamaracktide.core import upstream_health
from tamaracktide.observability import logs

RECONNECT_S = 0.6
"""Pause between two tries to connect to an upstream, and their time-out: a
hundred times the way between zones."""


class Reachability:
    """Tries connections to the upstreams of one service.

    Requests are answered by failures of many causes; whether an upstream is
    cut off is told apart by connecting to it, which costs no request.
    """

    __slots__ = ("_checked", "_health", "_is_known", "_refresh", "_tasks")

    def __init__(
        self,
        health: upstream_health.UpstreamHealth,
        is_known: Callable[[str], bool],
        refresh: Callable[[], None],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Starts without tries.

        Args:
            health: Is told the outcomes.
            is_known: Whether the service still has an upstream.
            refresh: Called when an outcome changes which ones are used.
            tasks: Runs the tries.
        """
        self._health = health
        self._is_known = is_known
        self._refresh = refresh
        self._tasks = tasks
        self._checked: set[str] = set()

    def record_unreachable(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Takes in that no connection to an upstream came about."""
        if not self._health.record_unreachable(entry.upstream):
            return
        logs.bind(upstream=entry.upstream, address=entry.address).info(
            "upstream cannot be reached"
        )
        self._tasks.start_soon(self._await_reachable, entry)
        self._refresh()

    def check_reachable(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Checks whether an upstream whose answer was lost can be reached."""
        if entry.upstream in self._checked:
            return
        self._checked.add(entry.upstream)
        self._tasks.start_soon(self._check, entry)

    async def _check(self, entry: upstream_entries.UpstreamEntry) -> None:
        try:
            reached = await _try_connect(entry.address)
        finally:
            self._checked.discard(entry.upstream)
        if not reached and self._is_known(entry.upstream):
            self.record_unreachable(entry)

    async def _await_reachable(
        self, entry: upstream_entries.UpstreamEntry
    ) -> None:
        """Connects until it works, so that no request has to try it."""
        while self._is_known(entry.upstream):
            await anyio.sleep(RECONNECT_S * random.uniform(0.8, 1.2))
            if await _try_connect(entry.address):
                break
        self._health.record_reachable(entry.upstream)
        logs.bind(upstream=entry.upstream).info("upstream can be reached again")
        self._refresh()


async def _try_connect(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(RECONNECT_S):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError):
        return False
    await stream.aclose()
    return True
