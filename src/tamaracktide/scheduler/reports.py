"""Polls an engine's load report and cache events for its cell."""

from typing import Protocol

import anyio

from tamaracktide.core import cell_events
from tamaracktide.core import membership
from tamaracktide.scheduler import engine_parts
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client


class PolledEngine(Protocol):
    """An engine whose reports are polled.

    Attributes:
        member: The engine's entry in the instance list.
        phase: What this scheduler can do with the engine.
    """

    member: membership.Member
    phase: engine_parts.Phase

    @property
    def state(self) -> engine_client.EngineState | None:
        """The engine's state at the last poll, or None."""

    def request_poll(self) -> None:
        """Requests a poll of the engine's state ahead of the next period."""


async def poll_reports(
    engine: PolledEngine, parts: engine_parts.EngineParts
) -> None:
    """Polls reports while the engine is live and feeds them to the cell."""
    since = 0
    incarnation = ""
    while True:
        await anyio.sleep(parts.settings.periods.engine_load_s)
        if engine.phase is not engine_parts.Phase.LIVE:
            continue
        await _poll_load(engine, parts)
        state = engine.state
        if state is None:
            continue
        if state.incarnation != incarnation:
            since, incarnation = 0, state.incarnation
        since = await _poll_cache_events(engine, parts, since)


async def _poll_load(
    engine: PolledEngine, parts: engine_parts.EngineParts
) -> None:
    requested_at = anyio.current_time()
    report = await parts.client.read_load(engine.member.address)
    if isinstance(report, calls.Failure):
        engine.request_poll()
    elif engine.phase is engine_parts.Phase.LIVE:
        parts.feed(
            cell_events.LoadReported(
                upstream=engine.member.instance,
                running=report.running,
                waiting=report.waiting,
                reported_at=requested_at - report.age_s,
            )
        )


async def _poll_cache_events(
    engine: PolledEngine, parts: engine_parts.EngineParts, since: int
) -> int:
    """Feeds cache events to the cell.

    Events may be lost, since they are only hints.

    Returns:
        The sequence number from which to poll next.
    """
    report = await parts.client.read_cache_events(engine.member.address, since)
    if isinstance(report, calls.Failure):
        return since
    if engine.phase is engine_parts.Phase.LIVE:
        upstream = engine.member.instance
        for event in report.events:
            parts.feed(
                cell_events.PrefixReported(upstream, event.prefix, event.cached)
            )
    return report.next
