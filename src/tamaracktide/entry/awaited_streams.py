"""Keeps adapters loaded for streams that broke off at the last stop."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import anyio
import anyio.abc

from tamaracktide.core import awaited_streams
from tamaracktide.core import upstream_entries
from tamaracktide.entry import timers
from tamaracktide.observability import logs


class AwaitedStreams:
    """Suspends evictions on engines while streams are awaited there."""

    def __init__(
        self,
        list_upstreams: Callable[[], Iterable[upstream_entries.UpstreamEntry]],
        list_mixed: Callable[[], frozenset[str]],
        suspend: Callable[[frozenset[str], bool], None],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Awaits nothing.

        Args:
            list_upstreams: Returns the upstreams of all services.
            list_mixed: Returns the services with several software versions.
            suspend: Suspends the evictions of engines, or resumes them.
            tasks: Task group that runs the timer.
        """
        self._streams = awaited_streams.AwaitedStreams(anyio.current_time())
        self._list_upstreams = list_upstreams
        self._list_mixed = list_mixed
        self._suspend = suspend
        self._suspended: frozenset[str] = frozenset()
        self._timer = timers.Timer(self._end, tasks)

    def begin(self, broken: Mapping[str, int]) -> None:
        """Awaits the streams that this instance ran at its last stop.

        Args:
            broken: Their number, by software version.
        """
        now = anyio.current_time()
        engines: dict[str, list[str]] = {}
        mixed = self._list_mixed()
        for entry in self._list_upstreams():
            if entry.service not in mixed:
                continue
            engines.setdefault(entry.software, []).append(entry.upstream)
        begun = self._streams.begin(broken, engines, now)
        if not begun:
            return
        self._suspended = begun
        until = self._streams.find_until(now)
        logs.bind(
            streams=dict(broken),
            upstreams=sorted(self._suspended),
            seconds=round(until - now, 3),
        ).info("evictions suspended: streams that broke off are awaited")
        self._suspend(self._suspended, True)
        self._timer.schedule(until)

    def record_return(self, request_id: str) -> None:
        """Records that a client has taken up a stream."""
        self._streams.record_return(request_id)
        if self._suspended:
            self._end()

    def is_suspended(self, upstream: str) -> bool:
        """Whether the adapters of an engine must stay loaded."""
        return upstream in self._suspended

    def _end(self) -> None:
        now = anyio.current_time()
        if not self._suspended or self._streams.list_engines(now):
            return
        ended, self._suspended = self._suspended, frozenset()
        logs.bind(upstreams=sorted(ended)).info("evictions resumed")
        self._suspend(ended, False)
