"""Runs one completion on engines, from admission to the last event."""

import dataclasses

import anyio

from tamaracktide import result_codes
from tamaracktide.core import attempts
from tamaracktide.gateway import admission
from tamaracktide.gateway import asgi
from tamaracktide.gateway import grants
from tamaracktide.gateway import parts as gateway_parts
from tamaracktide.gateway import prompts
from tamaracktide.gateway import streams
from tamaracktide.gateway import targets
from tamaracktide.observability import traces
from tamaracktide.protocol import messages
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import results
from tamaracktide.upstreams import streams as upstream_streams


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """One completion.

    Attributes:
        request: The client's request.
        prompt: The parsed body.
        target: The route and pool of the request.
    """

    request: asgi.Request
    prompt: prompts.Prompt
    target: targets.Target


@dataclasses.dataclass(frozen=True, slots=True)
class Aborted:
    """The job was aborted.

    Attributes:
        action: The decision to abort.
        detail: Cause of the last failure.
    """

    action: attempts.Abort
    detail: str


Codes = result_codes.ResultCode
RunResult = attempts.Completed | results.Rejected | Aborted
_Step = attempts.Action | results.Rejected


class EngineRun:
    """Runs the attempts of one job."""

    def __init__(
        self, parts: gateway_parts.Parts, job: Job, sink: streams.Sink
    ) -> None:
        """Builds the run without starting an attempt."""
        self._parts = parts
        self._job = job
        self._sink = sink
        self._attempts = attempts.Attempts(
            parts.settings.retries,
            parts.budget,
            parts.rng,
            idempotent=job.target.route.idempotent,
        )
        self._detail = ""
        self._started_at = anyio.current_time()

    async def run(self) -> RunResult:
        """Runs until the response is complete or the job is aborted."""
        step: _Step | None = None
        with anyio.CancelScope(deadline=self._job.request.deadline):
            step = await self._try_all()
        if step is None:
            self._detail = "deadline exceeded"
            step = self._attempts.handle(attempts.Expired())
        if isinstance(step, attempts.Abort):
            self._record("give up", self._detail, step.code.value)
            return Aborted(step, self._detail)
        if isinstance(step, results.Rejected):
            return step
        return attempts.Completed()

    async def _try_all(self) -> _Step:
        avoid: tuple[str, ...] = ()
        fingerprint = self._job.prompt.fingerprint
        exclusive = self._parts.quarantine.must_run_alone(
            fingerprint, anyio.current_time()
        )
        while True:
            now = anyio.current_time()
            if self._parts.is_quarantined(fingerprint, now):
                return self._attempts.handle(
                    attempts.GrantRefused(Codes.QUARANTINED, 0.0)
                )
            step = await self._try_once(avoid, exclusive)
            if not isinstance(step, attempts.Retry):
                return step
            self._record("retry", self._detail)
            pool = self._job.target.pool.name
            self._parts.metrics.retries.inc(
                {"pool": pool, "cause": self._attempts.last_cause}
            )
            self._sink.clear()
            await anyio.sleep(step.wait_s)
            avoid, exclusive = step.avoid, exclusive or step.alone

    async def _try_once(self, avoid: tuple[str, ...], exclusive: bool) -> _Step:
        with traces.start_span("gateway.ask") as span:
            result = await self._parts.admission.acquire_grant(
                self._make_admission_request(
                    avoid, exclusive, traces.make_traceparent(span)
                )
            )
        if isinstance(result, admission.Refusal):
            self._detail = result.detail
            return self._attempts.handle(
                attempts.GrantRefused(result.code, result.retry_after_s)
            )
        reply = result.reply
        pool = self._job.target.pool.name
        self._parts.metrics.grants.inc({"pool": pool})
        self._parts.metrics.queue_wait_seconds.observe(
            {"pool": pool}, reply.queued_s
        )
        self._job.request.log_context.upstream = reply.upstream
        active_grant = _ActiveGrant(
            self._parts, self._job, result, exclusive=exclusive
        )
        try:
            self._attempts.handle(attempts.Granted(reply.upstream))
            with traces.start_span(
                "gateway.engine", attributes={"upstream": reply.upstream}
            ) as span:
                return await self._dispatch(
                    active_grant, traces.make_traceparent(span)
                )
        finally:
            await active_grant.end()

    def _make_admission_request(
        self, avoid: tuple[str, ...], exclusive: bool, traceparent: str
    ) -> admission.AdmissionRequest:
        job = self._job
        return admission.AdmissionRequest(
            request_id=job.request.request_id,
            route=job.target.route,
            pool=job.target.pool,
            prompt_tokens=job.prompt.prompt_tokens,
            max_tokens=job.prompt.max_tokens,
            deadline=job.request.deadline,
            prefix=job.prompt.prefix,
            avoid=avoid,
            exclusive=exclusive,
            fingerprint=job.prompt.fingerprint,
            traceparent=traceparent,
        )

    async def _dispatch(
        self, active_grant: "_ActiveGrant", traceparent: str
    ) -> _Step:
        """Sends the request and resumes its stream up to the resume limit."""
        reply = active_grant.grant.reply
        relay = streams.Relay(
            self._sink,
            streams.ExpectedStream(
                reply.lora_name, reply.incarnation, self._job.prompt.route
            ),
            self._parts.read_pacer,
        )
        body = prompts.make_engine_body(
            self._job.prompt, reply.lora_name, reply.priority
        )
        self._attempts.handle(attempts.Dispatched())
        active_grant.dispatched = True
        result: (
            results.Stream | results.Resumption
        ) = await self._parts.engines.stream(
            results.Dispatch(
                address=reply.address,
                path=self._job.request.path,
                request_id=reply.request_id,
                incarnation=reply.incarnation,
                body=body,
                traceparent=traceparent,
            )
        )
        while True:
            step = await self._handle_result(result, relay, active_grant)
            active_grant.generated_tokens = relay.offset
            if not isinstance(step, attempts.Resume):
                if not active_grant.finished:
                    active_grant.record_loss(crashed=self._is_crash(result))
                return step
            self._record("resume", f"at {step.offset}: {self._detail}")
            self._parts.metrics.stream_resumes.inc(
                {"pool": self._job.target.pool.name}
            )
            await self._parts.stream_client.close_idle(reply.address)
            await anyio.sleep(step.wait_s)
            result = await self._parts.engines.resume(
                reply.address, reply.request_id, step.offset
            )

    async def _handle_result(
        self,
        result: results.Stream | results.Resumption,
        relay: streams.Relay,
        active_grant: "_ActiveGrant",
    ) -> _Step:
        match result:
            case results.Started(response):
                return await self._relay(response, relay, active_grant)
            case results.NotRun(reason, detail):
                self._detail = f"{reason.value}: {detail}"
                active_grant.record_not_run(reason)
                return self._attempts.handle(attempts.NotRun())
            case results.Rejected():
                active_grant.finished = True
                self._attempts.handle(attempts.Completed())
                return result
            case results.LostResponse(failure):
                return self._interrupt(failure)
            case results.StreamUnknown():
                self._detail = "the engine has no stream of this id"
                step = self._attempts.handle(attempts.ResumeFailed(gone=True))
            case calls.Failure():
                self._detail = result.detail
                step = self._attempts.handle(attempts.ResumeFailed(gone=False))
        return step

    def _is_crash(self, result: results.Stream | results.Resumption) -> bool:
        """Whether the engine crashed and did not merely stop responding."""
        stream_unknown = isinstance(result, results.StreamUnknown)
        return stream_unknown or not self._attempts.silent

    async def _relay(
        self,
        response: upstream_streams.StreamedResponse,
        relay: streams.Relay,
        active_grant: "_ActiveGrant",
    ) -> _Step:
        try:
            relayed = await relay.run(response)
        finally:
            active_grant.generated_tokens = relay.offset
            await response.close()
        if relay.first_event_at is not None:
            self._parts.metrics.first_token_seconds.observe(
                {"pool": self._job.target.pool.name},
                relay.first_event_at - self._started_at,
            )
            relay.first_event_at = None
        if relay.offset:
            self._attempts.handle(
                attempts.Progressed(
                    relay.offset, self._sink.delivers_immediately
                )
            )
        match relayed:
            case streams.Completed():
                active_grant.finished = True
                return self._attempts.handle(attempts.Completed())
            case streams.Mismatched(detail):
                return self._interrupt(
                    calls.Failure(calls.FailureKind.BROKEN, detail)
                )
            case calls.Failure():
                return self._interrupt(relayed)

    def _interrupt(self, failure: calls.Failure) -> attempts.Action:
        self._detail = failure.detail
        timed_out = failure.kind is calls.FailureKind.TIMEOUT
        return self._attempts.handle(attempts.Interrupted(silent=timed_out))

    def _record(self, step: str, detail: str, code: int = 0) -> None:
        self._parts.records.add(
            self._job.request.request_id,
            step,
            detail,
            upstream=self._job.request.log_context.upstream,
            code=code,
        )


class _ActiveGrant:
    """A grant in use, which is released in every case."""

    def __init__(
        self,
        parts: gateway_parts.Parts,
        job: Job,
        grant: grants.Grant,
        *,
        exclusive: bool,
    ) -> None:
        self._parts = parts
        self._exclusive = exclusive
        self._job = job
        self._lost = False
        self._adapter_missing = False
        self._suspect = ""
        self.grant = grant
        self.dispatched = False
        self.finished = False
        self.generated_tokens = 0

    def record_not_run(self, reason: results.NotRunReason) -> None:
        self.finished = True
        self._adapter_missing = reason is results.NotRunReason.ADAPTER_MISSING
        self._lost = reason in (
            results.NotRunReason.UNREACHABLE,
            results.NotRunReason.OTHER_INCARNATION,
        )

    def record_loss(self, *, crashed: bool) -> None:
        self._lost = True
        if not crashed:
            return
        fingerprint = self._job.prompt.fingerprint
        self._suspect = fingerprint
        self._parts.quarantine.record_loss(
            fingerprint, self._exclusive, anyio.current_time()
        )

    async def end(self) -> None:
        """Cancels the request if it may still run and releases the grant."""
        reply = self.grant.reply
        if self.finished and self.generated_tokens:
            self._parts.quarantine.record_completion(
                self._job.prompt.fingerprint,
                self._exclusive,
                anyio.current_time(),
            )
        if self.dispatched and not self.finished:
            self._parts.tasks.start_soon(
                self._parts.engines.cancel, reply.address, reply.request_id
            )
        pool = {"pool": self._job.target.pool.name}
        self._parts.metrics.tokens.add(pool, self.generated_tokens)
        with anyio.CancelScope(shield=True):
            await self._parts.schedulers.release(
                self.grant,
                messages.GrantRelease(
                    request_id=reply.request_id,
                    grant_id=reply.grant_id,
                    upstream=reply.upstream,
                    prompt_tokens=self._job.prompt.prompt_tokens,
                    generated_tokens=self.generated_tokens,
                    adapter_missing=self._adapter_missing,
                    lost=self._lost,
                    suspect=self._suspect,
                ),
            )
