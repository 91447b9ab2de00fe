"""Attests the processes of upstreams before their software version counts.

An upstream's entry names a software version and the start of the process that
has it. Another process may serve by now, under the same id and address. So a
stream is resumed only on a connection whose process has reported the start that
the entry names, and one that begins is recorded with the version of the entry
only if the process that writes it has done so.
"""

from collections.abc import Callable
import functools

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import connected_processes
from tamaracktide.core import upstream_entries
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

REPORT_TIMEOUT_S = 0.4
"""Time in which a report must have arrived, with its connection; a stream waits
no longer for it. A hundred times the latency between zones."""

RecordUnlisted = Callable[[str, str], None]
"""Records that a service has processes of a version that no entry names."""


class Attestor:
    """Requests reports of upstreams and compares them with their entries."""

    __slots__ = (
        "_adapter",
        "_awaited",
        "_client",
        "_metrics",
        "_record_unlisted",
        "_tasks",
    )

    def __init__(
        self,
        adapter: entry_adapter.PlatformAdapter,
        client: streams.StreamClient,
        record_unlisted: RecordUnlisted,
        metrics: metrics_module.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Starts without reports.

        Args:
            adapter: Translates reports.
            client: Requests them; sends all requests to the upstreams.
            record_unlisted: Called before a stream of a process that differs
                from its entry, or has not reported, is recorded.
            metrics: Counts the reports.
            tasks: Task group that requests the reports.
        """
        self._adapter = adapter
        self._client = client
        self._record_unlisted = record_unlisted
        self._metrics = metrics
        self._tasks = tasks
        self._awaited: dict[connected_processes.Process, anyio.Event] = {}

    def make_admit(
        self,
        request: requests.ClientRequest,
        entry: upstream_entries.UpstreamEntry,
        *,
        has_begun: bool,
    ) -> streams.Admit | None:
        """Returns what decides whether a request is sent on a connection.

        Args:
            request: The request.
            entry: The upstream.
            has_begun: Whether a software version has begun its stream.

        Returns:
            The decision; None if every process may run the request.
        """
        if not _must_attest(request, entry):
            return None
        if has_begun:
            return functools.partial(self._admit_resumption, request, entry)
        return functools.partial(self._admit_begin, entry)

    async def find_software(
        self,
        request: requests.ClientRequest,
        entry: upstream_entries.UpstreamEntry,
        process: connected_processes.Process,
    ) -> str:
        """Returns the software version of a process that begins a stream.

        Returns:
            The version that the entry names if it describes the process, else
            one that no upstream has.
        """
        if not _must_attest(request, entry):
            return entry.software
        if not process.has_failed:
            await self._wait_for_report(process)
        if process.judge(entry) is connected_processes.Verdict.ATTESTED:
            return entry.software
        software = connected_processes.name_unlisted(entry, process.started_ms)
        self._record_unlisted(entry.service, software)
        logs.bind(
            request_id=request.request_id,
            software=software,
            **_describe(entry, process),
        ).warning("stream begins at a process that its entry does not describe")
        return software

    async def _admit_begin(
        self,
        entry: upstream_entries.UpstreamEntry,
        process: connected_processes.Process,
    ) -> bool:
        """Admits a stream, and has its process report meanwhile."""
        self._request_if_needed(entry, process)
        return True

    async def _admit_resumption(
        self,
        request: requests.ClientRequest,
        entry: upstream_entries.UpstreamEntry,
        process: connected_processes.Process,
    ) -> bool:
        """Admits a stream only at the process that the entry describes."""
        self._request_if_needed(entry, process)
        await self._wait_for_report(process)
        verdict = process.judge(entry)
        if verdict is connected_processes.Verdict.ATTESTED:
            return True
        if verdict is connected_processes.Verdict.DIFFERS:
            self._record_unlisted(
                entry.service,
                connected_processes.name_unlisted(entry, process.started_ms),
            )
        logs.bind(
            request_id=request.request_id,
            verdict=verdict.value,
            **_describe(entry, process),
        ).info("stream not resumed: its process is not attested")
        return False

    async def _wait_for_report(
        self, process: connected_processes.Process
    ) -> None:
        event = self._awaited.get(process)
        if event is not None:
            await event.wait()

    def _request_if_needed(
        self,
        entry: upstream_entries.UpstreamEntry,
        process: connected_processes.Process,
    ) -> None:
        """Requests one report for all streams that wait for it."""
        now = anyio.current_time()
        if process in self._awaited or not process.needs_report(now):
            return
        self._awaited[process] = anyio.Event()
        self._tasks.start_soon(self._request, entry, process)

    async def _request(
        self,
        entry: upstream_entries.UpstreamEntry,
        process: connected_processes.Process,
    ) -> None:
        requested_at = anyio.current_time()
        failure = f"no report within {REPORT_TIMEOUT_S:g} s"
        try:
            with anyio.move_on_after(REPORT_TIMEOUT_S):
                failure = await self._receive(entry)
        finally:
            now = anyio.current_time()
            if process.started_ms is None:
                process.record_failure(now)
            self._awaited.pop(process).set()
        verdict = process.judge(entry)
        labels = {"pool": entry.service, "result": verdict.value}
        self._metrics.process_reports.inc(labels)
        logs.bind(
            verdict=verdict.value,
            seconds=round(now - requested_at, 4),
            failure=failure,
            **_describe(entry, process),
        ).info("start of an upstream's process requested")

    async def _receive(self, entry: upstream_entries.UpstreamEntry) -> str:
        """Requests a report and records it; returns why there is none."""
        opened = await self._client.open(
            self._adapter.make_report_call(entry.address, REPORT_TIMEOUT_S)
        )
        if isinstance(opened, calls.Failure):
            return opened.detail
        response = await opened.read_and_close(opened.max_answer_bytes)
        if isinstance(response, calls.Failure):
            return response.detail
        if response.status != 200:
            return f"status {response.status}"
        try:
            report = self._adapter.decode_report(response.body)
        except errors.PlatformError as error:
            return error.detail
        # The connection may lead to another process than the one that is asked.
        opened.process.record_report(report.started_ms, anyio.current_time())
        return ""


def _must_attest(
    request: requests.ClientRequest, entry: upstream_entries.UpstreamEntry
) -> bool:
    """Whether the process that runs a request must be known.

    Only engines report, and only an entry that tells a start can be compared.
    """
    is_engine = request.service.engine is not None
    return request.route.resumable and is_engine and entry.started_ms > 0


def _describe(
    entry: upstream_entries.UpstreamEntry,
    process: connected_processes.Process,
) -> dict[str, object]:
    """Returns what logs tell of an upstream and its process."""
    return {
        "upstream": entry.upstream,
        "listed_software": entry.software,
        "listed_start_ms": entry.started_ms,
        "start_ms": process.started_ms,
        "ambiguous": process.is_ambiguous,
        "age_s": round(anyio.current_time() - process.reported_at, 3)
        if process.started_ms is not None
        else None,
    }
