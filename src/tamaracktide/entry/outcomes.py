"""Records how attempts ended: health, crashes, batch slots and logs."""

import anyio

from tamaracktide.core import cell_events
from tamaracktide.core import ramps
from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import results
from tamaracktide.entry import runs
from tamaracktide.observability import logs


class OutcomeRecorder:
    """Records the outcomes of attempts."""

    __slots__ = ("_crashes",)

    def __init__(self, crashes: entry_crashes.CrashTracker) -> None:
        """Records lost responses in a crash tracker."""
        self._crashes = crashes

    def finish(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        result: results.Result | None,
    ) -> None:
        """Releases the batch slot of an attempt and records its result.

        Args:
            run: The request.
            attempt: The attempt that ended.
            result: Its result, None if it was abandoned.
        """
        upstream, cell = attempt.upstream, run.cell
        _log_failure(run, attempt, result)
        _record_timing(run, attempt)
        if attempt.is_relayed:
            return
        missing = isinstance(result, results.NotRun) and result.missing
        unsent = isinstance(result, results.NotRun) and result.unsent
        if result is not None and not (missing or unsent):
            cell.record_answer(upstream, is_good=_is_good(run, attempt, result))
        tokens = 0
        match result:
            case results.Completed(is_success=is_success):
                if cell.health.record_success(upstream):
                    cell.refresh_health()
                if is_success:
                    self._crashes.record_survival(run.request)
                tokens = 1
                engine = run.request.service.engine
                if engine is not None:
                    tokens = run.progress.events * engine.event_tokens
            case results.NotRun(unreachable=True):
                cell.reachability.record_unreachable(attempt.placement.entry)
            case results.LostResponse():
                self._record_loss(run, attempt, result)
        cell.release(
            attempt.placement,
            tokens,
            missing=missing,
            decode=_measure_decode(run, attempt),
        )

    def record_silence(self, run: runs.Run, attempt: runs.Attempt) -> None:
        """Records once that the upstream of an attempt is silent."""
        if attempt.is_silent:
            return
        attempt.is_silent = True
        logs.bind(
            request_id=run.request.request_id,
            upstream=attempt.upstream,
            events=run.progress.events,
            time_left_s=round(run.request.expires_at - anyio.current_time(), 3),
        ).info("upstream silent")
        self._record_failure(run, attempt)
        run.cell.reachability.check_reachable(attempt.placement.entry)

    def _record_loss(
        self, run: runs.Run, attempt: runs.Attempt, lost: results.LostResponse
    ) -> None:
        if attempt.successor is not None:
            # `record_silence` has recorded it.
            return
        self._record_failure(run, attempt)
        if lost.response is not None:
            return
        run.cell.reachability.check_reachable(attempt.placement.entry)
        if attempt.is_established:
            self._crashes.record_survival(run.request)
        elif not lost.timed_out:
            self._crashes.record_loss(run.request, attempt.placement.entry)

    def _record_failure(self, run: runs.Run, attempt: runs.Attempt) -> None:
        now = anyio.current_time()
        if run.cell.health.record_failure(attempt.upstream, now):
            run.cell.refresh_health()


def _measure_decode(
    run: runs.Run, attempt: runs.Attempt
) -> cell_events.Decode | None:
    """Returns what an engine generated after the first event, if anything."""
    timing, engine = attempt.timing, run.request.service.engine
    if timing is None or engine is None or not timing.later_events:
        return None
    return cell_events.Decode(
        timing.later_events * engine.event_tokens, timing.later_s
    )


def _log_failure(
    run: runs.Run, attempt: runs.Attempt, result: results.Result | None
) -> None:
    if result is None or isinstance(result, results.Completed):
        return
    logs.bind(
        request_id=run.request.request_id,
        upstream=attempt.upstream,
        address=attempt.placement.entry.address,
        adapter=attempt.placement.key.text,
        waited_s=round(attempt.placement.waited_s, 4),
        is_relayed=attempt.is_relayed,
        is_not_run=isinstance(result, results.NotRun),
        attempt=len(run.progress.upstreams),
        sent_s=_measure_sent_s(attempt),
    ).info("attempt failed: {}", result.detail)


def _measure_sent_s(attempt: runs.Attempt) -> float | None:
    """Returns for how long an attempt has been sent; None if it was not."""
    if attempt.timing is None:
        return None
    return round(anyio.current_time() - attempt.timing.sent_at, 4)


def _is_good(
    run: runs.Run, attempt: runs.Attempt, result: results.Result
) -> bool:
    """Whether an upstream answered with success and in time."""
    if not isinstance(result, results.Completed) or not result.is_success:
        return False
    timing = attempt.timing
    if timing is None:
        return True
    first_s = timing.first_s or anyio.current_time() - timing.sent_at
    return first_s <= ramps.LATE_FACTOR * run.request.route.target_latency_s


def record_pace(run: runs.Run, attempt: runs.Attempt, event_s: float) -> None:
    """Records a sample of the pace of an attempt's engine, if it is known."""
    if not attempt.is_relayed:
        now = anyio.current_time()
        run.cell.paces.record(attempt.upstream, event_s, now)


def _record_timing(run: runs.Run, attempt: runs.Attempt) -> None:
    """Records how fast a stream was, and whether a pause made it late."""
    timing, progress = attempt.timing, run.progress
    if timing is None or timing.first_s is None:
        return
    event_s = timing.finish()
    if event_s is not None:
        record_pace(run, attempt, event_s)
    if progress.first_s is None:
        progress.first_s = attempt.placement.waited_s + timing.first_s
    progress.longest_gap_s = max(progress.longest_gap_s, timing.longest_gap_s)
    progress.event_s = timing.event_s
