"""Polls an engine's load report and cache events for its cell."""

from typing import Protocol

import anyio

from tamaracktide.core import cell_events
from tamaracktide.core import membership
from tamaracktide.scheduler import engine_parts
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client


class Reporter(Protocol):
    """The shell of an engine.

    Attributes:
        member: The engine's entry in the instance list.
        phase: What this scheduler can do with it.
    """

    member: membership.Member
    phase: engine_parts.Phase

    @property
    def state(self) -> engine_client.EngineState | None:
        """Its state as last read, or None."""

    def kick(self) -> None:
        """Reads the engine's state soon."""


async def poll_reports(
    engine: Reporter, parts: engine_parts.EngineParts
) -> None:
    """Feeds the reports of a live engine to the cell until cancelled."""
    since = 0
    incarnation = ""
    while True:
        await anyio.sleep(parts.settings.periods.engine_load_s)
        if engine.phase is not engine_parts.Phase.LIVE:
            continue
        await _read_load(engine, parts)
        state = engine.state
        if state is None:
            continue
        if state.incarnation != incarnation:
            since, incarnation = 0, state.incarnation
        since = await _read_cache_events(engine, parts, since)


async def _read_load(engine: Reporter, parts: engine_parts.EngineParts) -> None:
    asked_at = anyio.current_time()
    report = await parts.client.read_load(engine.member.address)
    if isinstance(report, calls.Failure):
        engine.kick()
    elif engine.phase is engine_parts.Phase.LIVE:
        parts.feed(
            cell_events.LoadReported(
                upstream=engine.member.instance,
                running=report.running,
                waiting=report.waiting,
                reported_at=asked_at - report.age_s,
            )
        )


async def _read_cache_events(
    engine: Reporter, parts: engine_parts.EngineParts, since: int
) -> int:
    """Returns the sequence number to ask from next; hints may be lost."""
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
