"""Checks by connection attempts whether upstreams are reachable."""

from collections.abc import Callable
import enum
import random

import anyio
import anyio.abc
import httpcore

from tamaracktide.core import upstream_entries
from tamaracktide.core import upstream_health
from tamaracktide.observability import logs
from tamaracktide.upstreams import network

CONNECT_PERIOD_S = 0.6
"""Pause between two connection attempts to an upstream, and their timeout: a
hundred times the network latency between zones."""


class Contact(enum.Enum):
    """Outcome of a connection attempt."""

    REACHED = "reached"
    REFUSED = "refused"
    SILENT = "silent"


class Reachability:
    """Checks the reachability of the upstreams of one service.

    Requests fail for many reasons. A connection attempt distinguishes an
    unreachable upstream from a reachable one without the cost of a request.
    """

    __slots__ = (
        "_backend",
        "_checking",
        "_health",
        "_is_known",
        "_record_exit",
        "_refresh",
        "_tasks",
    )

    def __init__(
        self,
        health: upstream_health.UpstreamHealth,
        is_known: Callable[[str], bool],
        refresh: Callable[[], None],
        record_exit: Callable[[upstream_entries.UpstreamEntry], None],
        backend: network.Backend,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Starts without connection attempts.

        Args:
            health: Records the outcomes.
            is_known: Returns whether the service still has an upstream.
            refresh: Called when an outcome changes the set of used upstreams.
            record_exit: Called when an upstream refuses connections.
            backend: Opens the connections.
            tasks: Task group that runs the connection attempts.
        """
        self._backend = backend
        self._health = health
        self._is_known = is_known
        self._refresh = refresh
        self._record_exit = record_exit
        self._tasks = tasks
        self._checking: set[str] = set()

    def record_unreachable(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Records that a connection to an upstream failed."""
        if not self._health.record_unreachable(entry.upstream):
            return
        logs.bind(upstream=entry.upstream, address=entry.address).info(
            "upstream unreachable"
        )
        self._tasks.start_soon(self._wait_until_reachable, entry)
        self._refresh()

    def check_reachable(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Checks whether an upstream is reachable after a response was lost."""
        if entry.upstream in self._checking:
            return
        self._checking.add(entry.upstream)
        self._tasks.start_soon(self._check, entry)

    async def _check(self, entry: upstream_entries.UpstreamEntry) -> None:
        try:
            contact = await self._try_connect(entry)
        finally:
            self._checking.discard(entry.upstream)
        if contact is not Contact.REACHED and self._is_known(entry.upstream):
            self.record_unreachable(entry)

    async def _wait_until_reachable(
        self, entry: upstream_entries.UpstreamEntry
    ) -> None:
        """Retries until a connection succeeds, so that no request has to."""
        while self._is_known(entry.upstream):
            await anyio.sleep(CONNECT_PERIOD_S * random.uniform(0.8, 1.2))
            if await self._try_connect(entry) is Contact.REACHED:
                break
        self._health.record_reachable(entry.upstream)
        logs.bind(upstream=entry.upstream).info("upstream reachable again")
        self._refresh()

    async def _try_connect(
        self, entry: upstream_entries.UpstreamEntry
    ) -> Contact:
        contact = await _connect(self._backend, entry.address)
        if contact is Contact.REFUSED:
            self._record_exit(entry)
        return contact


async def _connect(backend: network.Backend, address: str) -> Contact:
    host, _, port = address.rpartition(":")
    try:
        stream = await backend.connect_tcp(host, int(port), CONNECT_PERIOD_S)
    except httpcore.ConnectTimeout:
        return Contact.SILENT
    except httpcore.ConnectError as error:
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Contact.REFUSED if is_refused else Contact.SILENT
    await stream.aclose()
    return Contact.REACHED
