"""Hedges requests whose upstream is silent.

A sound upstream may pause and go on, and another one may be unable to take
over. So a silent stream is given up only once it was sent to another upstream,
which has not refused it at once. A call that may run twice is awaited from
both.
"""

import functools

import anyio

from tamaracktide import errors
from tamaracktide.core import attempts
from tamaracktide.core import routing_document
from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import outcomes as entry_outcomes
from tamaracktide.entry import peer_forwarding
from tamaracktide.entry import placements
from tamaracktide.entry import results
from tamaracktide.entry import runs
from tamaracktide.entry import sending
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.upstreams import connections
from tamaracktide.upstreams import streams

HEDGE_RETRY_S = 0.5
"""Pause after a hedged request was refused."""

MAX_SHARED_S = 0.2
"""Time in which another upstream can refuse a stream before the silent one is
reset: half of that for which the platform lets two work on it."""


class Hedger:
    """Finds other upstreams for requests whose upstream is silent."""

    __slots__ = (
        "_crashes",
        "_metrics",
        "_outcomes",
        "_peer_forwarder",
        "_sender",
    )

    def __init__(
        self,
        sender: sending.Sender,
        peer_forwarder: peer_forwarding.PeerForwarder,
        outcomes: entry_outcomes.OutcomeRecorder,
        crashes: entry_crashes.CrashTracker,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Builds a hedger.

        Args:
            sender: Sends the hedged requests.
            peer_forwarder: Sends them while no upstream is reachable.
            outcomes: Records silent upstreams and failed hedged requests.
            crashes: Refuses requests that crash upstreams.
            metrics: Counts the hedged requests.
        """
        self._sender = sender
        self._peer_forwarder = peer_forwarder
        self._outcomes = outcomes
        self._crashes = crashes
        self._metrics = metrics

    def watch(
        self, run: runs.Run, attempt: runs.Attempt
    ) -> streams.OnSilence | None:
        """Returns what to call when the upstream of an attempt is silent.

        None if the request must run only once, or another instance watches its
        upstream. If another upstream takes over, the attempt has a `successor`.
        """
        if attempt.is_relayed or not run.request.route.safe_to_retry:
            return None
        return functools.partial(self._handle_silence, run, attempt)

    async def _handle_silence(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        connection: connections.Connection,
    ) -> bool:
        """Hedges a request until its upstream goes on.

        If the connection to that upstream ends, a hedged request that was sent
        may still be answered. A stream that was sent to another upstream goes
        on at the silent one only if the other one refuses it or fails at once.

        Returns:
            Whether to go on waiting for that upstream.
        """
        self._outcomes.record_silence(run, attempt)
        if attempt.has_delivered:
            run.tries.handle(attempts.Progressed(run.progress.events))
        if not run.tries.allows_hedge:
            return True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._hedge_until_answered,
                run,
                attempt,
                connection,
                tasks.cancel_scope,
            )
            is_lost = not await connection.wait_readable()
            if not (attempt.is_hedged if is_lost else attempt.is_shared):
                tasks.cancel_scope.cancel()
        return attempt.successor is None and not attempt.is_given_up

    async def _hedge_until_answered(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        connection: connections.Connection,
        scope: anyio.CancelScope,
    ) -> None:
        while run.tries.allows_hedge:
            try:
                await self._hedge(run, attempt, connection)
            except Exception as error:
                # The response of the silent upstream must not end with it.
                logs.bind(request_id=run.request.request_id).opt(
                    exception=True
                ).error("hedged request failed: {!r}", error)
                return
            if attempt.successor is not None:
                scope.cancel()
                return
            if connection.is_readable():
                return
            await anyio.sleep(HEDGE_RETRY_S)

    async def _hedge(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        connection: connections.Connection,
    ) -> None:
        """Sends a hedged request, if a batch slot is granted to it."""
        hedge = self._peer_forwarder.find_attempt(run)
        if hedge is None:
            avoid = (*run.tries.avoid, attempt.upstream)
            try:
                placement = await placements.acquire(
                    run, self._crashes, avoid, is_hedge=True
                )
            except errors.RefusalError as error:
                _log(run, attempt, "hedged request refused: {}", error)
                return
            hedge = runs.Attempt(placement)
        result: results.Result | None = None
        try:
            result = await self._send(run, attempt, hedge, connection)
        finally:
            if attempt.successor is None:
                self._outcomes.finish(run, hedge, result)

    async def _send(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        hedge: runs.Attempt,
        connection: connections.Connection,
    ) -> results.Result | None:
        """Sends a hedged request; it takes over when it is answered."""
        action = run.tries.handle(attempts.HedgeGranted(hedge.upstream))
        if isinstance(action, attempts.Wait):
            limit = action.limit.value
            _log(run, attempt, "hedged request not sent: limit of {}", limit)
            return None
        self._metrics.retries.inc(
            {"pool": run.request.service.name, "cause": "SILENT"}
        )
        result: results.Result | None = None
        attempt.is_hedged = True
        try:
            opened = await self._open_beside(run, attempt, hedge, connection)
            if isinstance(opened, streams.StreamedResponse):
                result = await self._check(run, opened)
            else:
                result = opened
            if result is None and isinstance(opened, streams.StreamedResponse):
                self._take_over(run, attempt, hedge, opened)
        finally:
            attempt.is_hedged = attempt.is_shared = False
            if attempt.successor is None:
                ran = not isinstance(result, results.NotRun)
                run.tries.handle(attempts.HedgeEnded(ran))
        return result

    async def _open_beside(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        hedge: runs.Attempt,
        connection: connections.Connection,
    ) -> sending.OpenResult:
        """Sends a hedged request; ends a silent stream if that takes long."""
        sent = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._end_sharing, run, attempt, hedge, connection, sent
            )
            opened = await self._open(run, attempt, hedge, sent.set)
            tasks.cancel_scope.cancel()
        return opened

    async def _open(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        hedge: runs.Attempt,
        on_send: streams.OnSend,
    ) -> sending.OpenResult:
        """Sends a hedged request and returns its response."""
        if hedge.is_relayed:
            return await self._peer_forwarder.open(run, hedge, on_send)
        on_silence = None
        if _is_stream(run):
            on_silence = functools.partial(
                self._handle_silent_hedge, run, attempt, hedge
            )
        return await self._sender.open(
            run.request,
            run.progress,
            hedge.placement,
            on_silence,
            on_send=on_send,
        )

    async def _handle_silent_hedge(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        hedge: runs.Attempt,
        connection: connections.Connection,
    ) -> bool:
        """Returns whether to go on waiting for the answer to a hedged request.

        Not if the request has no other upstream left, and may go on elsewhere.
        """
        self._outcomes.record_silence(run, hedge)
        return not (attempt.is_given_up and run.tries.allows_hedge)

    async def _end_sharing(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        hedge: runs.Attempt,
        connection: connections.Connection,
        sent: anyio.Event,
    ) -> None:
        """Ends a silent stream before two upstreams can work on it for long."""
        await sent.wait()
        _log(run, attempt, "hedged request sent to {}", hedge.upstream)
        if not _is_stream(run):
            return
        attempt.is_shared = True
        sent_at = anyio.current_time()
        try:
            await anyio.sleep(MAX_SHARED_S)
            if not connection.has_ended():
                attempt.is_given_up = True
                await connection.abort()
        finally:
            shared_s = anyio.current_time() - sent_at
            self._metrics.shared_seconds.observe(
                {"pool": run.request.service.name}, shared_s
            )
            _log(
                run,
                attempt,
                "two upstreams had the stream for {:.3f} s, given up: {}",
                shared_s,
                attempt.is_given_up,
            )

    async def _check(
        self, run: runs.Run, opened: streams.StreamedResponse
    ) -> results.LostResponse | None:
        """Returns why a response cannot take over, or None."""
        is_success = 200 <= opened.status < 300
        if is_success or (opened.status < 500 and not run.responder.started):
            return None
        await opened.close()
        return results.LostResponse(f"status {opened.status}")

    def _take_over(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        hedge: runs.Attempt,
        opened: streams.StreamedResponse,
    ) -> None:
        run.tries.handle(attempts.HedgeAnswered())
        timeout_s = run.request.expires_at - anyio.current_time()
        if not hedge.is_relayed:
            timeout_s = sending.find_idle_timeout_s(run.request, timeout_s)
        opened.set_timeout(timeout_s, self.watch(run, hedge))
        hedge.response = opened
        attempt.successor = hedge
        _log(run, attempt, "{} takes over", hedge.upstream)


def _is_stream(run: runs.Run) -> bool:
    return run.request.route.kind is routing_document.RequestKind.STREAMING


def _log(
    run: runs.Run, attempt: runs.Attempt, message: str, *values: object
) -> None:
    logs.bind(
        request_id=run.request.request_id, upstream=attempt.upstream
    ).info(message, *values)
