"""Checks by connection attempts whether upstreams are reachable.

An upstream that refuses connections has ended, unless this instance reaches no
upstream at all. So a refusal counts only once another upstream was reached
after it.
"""

from collections.abc import Callable
from collections.abc import Mapping
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

UPSTREAMS_PER_PERIOD = 32
"""Unreachable upstreams above which the pause grows."""

RECENT_CONTACT_S = 1.0
"""Time after its last response in which an upstream needs no check because
another one is unreachable."""

MAX_CHECKED_OTHERS = 8
"""Upstreams that are checked because another one is unreachable."""

CONFIRMATION_DELAY_S = 0.05
"""Time for which a response of another upstream is awaited before one is
checked, to confirm that an upstream has ended."""

END_DELAY_S = 0.05
"""Time within which the kernel closes all sockets of a killed process."""

MAX_CONFIRMATIONS = 3
"""Upstreams that are checked to confirm that another one has ended."""


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
        "_contact_at",
        "_entries",
        "_health",
        "_record_exit",
        "_refresh",
        "_refused",
        "_tasks",
        "_was_held_up",
    )

    def __init__(
        self,
        health: upstream_health.UpstreamHealth,
        entries: Callable[[], Mapping[str, upstream_entries.UpstreamEntry]],
        refresh: Callable[[], None],
        record_exit: Callable[[upstream_entries.UpstreamEntry], None],
        was_held_up: Callable[[], bool],
        backend: network.Backend,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Starts without connection attempts.

        Args:
            health: Records the outcomes.
            entries: Returns the upstreams of the service.
            refresh: Called when an outcome changes the set of used upstreams.
            record_exit: Called when an upstream has ended.
            was_held_up: Returns whether a pause of this process has just ended.
            backend: Opens the connections.
            tasks: Task group that runs the connection attempts.
        """
        self._backend = backend
        self._health = health
        self._entries = entries
        self._refresh = refresh
        self._record_exit = record_exit
        self._tasks = tasks
        self._was_held_up = was_held_up
        self._checking: set[str] = set()
        self._contact_at: dict[str, float] = {}
        self._refused: dict[str, upstream_entries.UpstreamEntry] = {}

    @property
    def is_cut_off(self) -> bool:
        """Whether no upstream that takes new requests is reachable."""
        listed = self._list_usable()
        return bool(listed) and not self._list_reachable()

    def _list_usable(self) -> list[str]:
        return [
            name for name, entry in self._entries().items() if not entry.leaving
        ]

    def _list_reachable(self) -> list[str]:
        listed = self._list_usable()
        unreachable = self._health.list_unreachable(listed)
        return [name for name in listed if name not in unreachable]

    def record_contact(self, upstream: str) -> None:
        """Records that an upstream responded or accepted a connection."""
        self._contact_at[upstream] = anyio.current_time()
        self._refused.pop(upstream, None)
        refused, self._refused = self._refused, {}
        for entry in refused.values():
            self._record_exit(entry)

    def record_unreachable(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Records that a connection to an upstream failed."""
        if not self._health.record_unreachable(entry.upstream):
            return
        logs.bind(upstream=entry.upstream, address=entry.address).info(
            "upstream unreachable"
        )
        self._tasks.start_soon(self._wait_until_reachable, entry)
        self._check_others()
        if self.is_cut_off:
            self._refused.clear()
            logs.bind(
                service=entry.service, upstreams=len(self._list_usable())
            ).warning("no upstream of the service reachable")
        self._refresh()

    def _check_others(self) -> None:
        """Checks some upstreams that have not responded recently.

        Those of them that are unreachable have more checked. If this instance
        is cut off, it so finds out at once, and not by one failed request for
        each upstream.
        """
        recent = anyio.current_time() - RECENT_CONTACT_S
        entries = self._entries()
        self._contact_at = {
            name: at for name, at in self._contact_at.items() if name in entries
        }
        unchecked = [
            name
            for name in self._list_reachable()
            if name not in self._checking
            and self._contact_at.get(name, 0.0) < recent
        ]
        random.shuffle(unchecked)
        for name in unchecked[:MAX_CHECKED_OTHERS]:
            self.check_reachable(entries[name])

    def check_reachable(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Checks whether an upstream is reachable after a response was lost."""
        if entry.upstream in self._checking:
            return
        self._checking.add(entry.upstream)
        self._tasks.start_soon(self._check, entry)

    async def has_ended(self, entry: upstream_entries.UpstreamEntry) -> bool:
        """Returns whether an upstream may have ended a moment ago.

        It refuses connections, or nobody answers: its machine may have ended
        with it. After a pause of this process it may have started again
        meanwhile. Also if this instance is cut off from all upstreams, or the
        upstream leaves: to take a complete response for a part is the lesser
        harm.
        """
        # A killed process may lose its connections before its listener.
        await anyio.sleep(END_DELAY_S)
        contact = await self._try_connect(entry)
        held_up = self._was_held_up()
        if contact is Contact.REACHED and not held_up:
            return False
        logs.bind(
            upstream=entry.upstream, contact=contact.value, held_up=held_up
        ).info("upstream may have ended within a response")
        return True

    async def _check(self, entry: upstream_entries.UpstreamEntry) -> None:
        try:
            contact = await self._try_connect(entry)
        finally:
            self._checking.discard(entry.upstream)
        is_known = entry.upstream in self._entries()
        if contact is not Contact.REACHED and is_known:
            self.record_unreachable(entry)

    async def _wait_until_reachable(
        self, entry: upstream_entries.UpstreamEntry
    ) -> None:
        """Retries until a connection succeeds, so that no request has to."""
        while entry.upstream in self._entries():
            unreachable = self._health.list_unreachable(self._list_usable())
            factor = max(1.0, len(unreachable) / UPSTREAMS_PER_PERIOD)
            period_s = CONNECT_PERIOD_S * factor
            await anyio.sleep(period_s * random.uniform(0.8, 1.2))
            if await self._try_connect(entry) is Contact.REACHED:
                break
        was_cut_off = self.is_cut_off
        self._health.record_reachable(entry.upstream)
        logs.bind(upstream=entry.upstream, was_cut_off=was_cut_off).info(
            "upstream reachable again"
        )
        self._refresh()

    async def _try_connect(
        self, entry: upstream_entries.UpstreamEntry
    ) -> Contact:
        contact = await _connect(self._backend, entry.address)
        match contact:
            case Contact.REACHED:
                self.record_contact(entry.upstream)
            case Contact.REFUSED:
                self._confirm_exit(entry)
            case Contact.SILENT:
                pass
        return contact

    def _confirm_exit(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Has an exit recorded once another upstream is reached."""
        if len(self._entries()) == 1:
            self._record_exit(entry)
        elif not self.is_cut_off:
            self._refused[entry.upstream] = entry
            self._tasks.start_soon(self._reach_another, entry)

    async def _reach_another(
        self, entry: upstream_entries.UpstreamEntry
    ) -> None:
        """Checks a few other upstreams, unless one of them responds."""
        await anyio.sleep(CONFIRMATION_DELAY_S)
        names = [n for n in self._list_reachable() if n != entry.upstream]
        random.shuffle(names)
        for name in names[:MAX_CONFIRMATIONS]:
            if entry.upstream not in self._refused:
                return
            other = self._entries().get(name)
            if other is not None:
                await self._check(other)


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
