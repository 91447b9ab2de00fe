"""Handles completion requests."""

import anyio
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import attempts
from tamaracktide.core import rows
from tamaracktide.gateway import asgi
from tamaracktide.gateway import claimed_runs
from tamaracktide.gateway import engine_runs
from tamaracktide.gateway import parts as gateway_parts
from tamaracktide.gateway import prompts
from tamaracktide.gateway import response_sinks
from tamaracktide.gateway import targets
from tamaracktide.upstreams import results

Codes = result_codes.ResultCode


class Completions:
    """Handles `/v1/completions` and `/v1/chat/completions`."""

    def __init__(self, parts: gateway_parts.Parts) -> None:
        """Builds the handler."""
        self._parts = parts

    async def handle(
        self, request: asgi.Request, customer: str, responder: asgi.Responder
    ) -> None:
        """Handles one request.

        Raises:
            errors.TamaracktideError: The request failed, and the error has
                not been sent to the client yet.
        """
        prompt = prompts.parse_prompt(request)
        request.log_context.route = prompt.route
        target = targets.find_target(
            self._parts.tables.tables,
            prompt.route,
            customer,
            rows.UpstreamKind.ENGINE,
        )
        now = anyio.current_time()
        if self._parts.is_quarantined(prompt.fingerprint, now):
            raise asgi.make_error(Codes.QUARANTINED)
        job = engine_runs.Job(request=request, prompt=prompt, target=target)
        key = request.find_header(b"idempotency-key")
        if target.route.idempotent or not key:
            await self._respond(job, responder, 0)
            return
        await claimed_runs.run_claimed(
            self._parts.claims,
            claimed_runs.KeyedRequest(customer, key, prompt.fingerprint),
            responder,
            lambda: self._respond(
                job, responder, self._parts.settings.claims.max_kept_bytes
            ),
        )

    async def _respond(
        self,
        job: engine_runs.Job,
        responder: asgi.Responder,
        max_kept_bytes: int,
    ) -> asgi.Response:
        """Responds to the client and returns the response, kept for retries."""
        sink: response_sinks.StreamSink | response_sinks.BufferedSink = (
            response_sinks.StreamSink(responder, max_kept_bytes)
            if job.prompt.stream
            else response_sinks.BufferedSink(job.prompt.chat)
        )
        run = engine_runs.EngineRun(self._parts, job, sink)
        match await run.run():
            case engine_runs.Aborted(action, detail):
                raise asgi.make_error(action.code, detail, action.retry_after_s)
            case results.Rejected(engine_response):
                response = asgi.Response(
                    status=engine_response.status,
                    body=engine_response.body,
                    content_type=engine_response.find_header(b"content-type"),
                    code=Codes.BAD_REQUEST,
                )
                await responder.respond(response)
                return response
            case attempts.Completed():
                return await _finish(sink, responder)


async def _finish(
    sink: response_sinks.StreamSink | response_sinks.BufferedSink,
    responder: asgi.Responder,
) -> asgi.Response:
    if isinstance(sink, response_sinks.StreamSink):
        await responder.finish()
        return asgi.Response(
            status=200,
            body=bytes(sink.kept or b""),
            complete=sink.kept is not None,
            content_type=asgi.EVENT_STREAM_TYPE,
        )
    try:
        response = asgi.Response(status=200, body=sink.assemble())
    except msgspec.MsgspecError as error:
        raise errors.OutcomeUnknownError(
            Codes.STREAM_BROKEN, f"engine sent a malformed event: {error}"
        ) from error
    await responder.respond(response)
    return response
