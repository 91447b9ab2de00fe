"""Acquires batch slots for requests that may be sent."""

from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import runs
from tamaracktide.entry import service_cell


async def acquire(
    run: runs.Run,
    crashes: entry_crashes.CrashTracker,
    avoid: tuple[str, ...],
    *,
    is_hedge: bool = False,
) -> service_cell.Placement:
    """Waits until a request is granted a batch slot.

    Args:
        run: The request.
        crashes: Refuses requests that crash upstreams, also while they wait.
        avoid: Upstreams that must not run it.
        is_hedge: Whether it keeps a batch slot that it already has.

    Raises:
        errors.RefusalError: No batch slot becomes free in time, or the request
            is quarantined.
    """
    with crashes.refuse_once_quarantined(run.request):
        placement = await run.cell.acquire_placement(
            run.request,
            avoid,
            software=run.progress.software,
            resume_after=run.progress.last_id,
            is_hedge=is_hedge,
        )
    if crashes.is_refused(run.request):
        run.cell.release(placement, missing=False)
        crashes.check_allowed(run.request)
    return placement
