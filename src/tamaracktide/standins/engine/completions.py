"""HTTP endpoints of completions and their streams."""

import dataclasses
import os
from typing import Annotated
import uuid

import anyio
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.standins.engine import cache
from tamaracktide.standins.engine import process as engine_process
from tamaracktide.standins.engine import streams
from tamaracktide.standins.service import web

CRASH_EXIT_CODE = 70
CHARACTERS_PER_TOKEN = 4
CHAT_PATH = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompletionRequest:
    """The request fields that the stand-in supports."""

    model: str
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 16
    stream: bool = False
    priority: int = 0

    @property
    def text(self) -> str:
        """The prompt, or the chat messages joined by line feeds."""
        if self.messages:
            return "\n".join(message.content for message in self.messages)
        return self.prompt


class Completions:
    """Starts, sends, resumes and cancels completion streams."""

    def __init__(self, process: engine_process.EngineProcess) -> None:
        """Builds the endpoints of an engine."""
        self._process = process

    async def complete(self, request: web.Request) -> web.Response | None:
        """Runs a completion; responds with one body or an event stream."""
        body = await request.read_body()
        await self._process.wait_until_unfrozen()
        completion = _decode(body)
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        refusal = self._find_refusal(request, request_id, completion)
        if refusal:
            return refusal
        stream = self._submit(request, request_id, completion)
        if completion.stream:
            await _send_events(request, stream, 0)
            return None
        return await _wait_for_completion(request, stream)

    async def resume(
        self, request: web.Request, request_id: str
    ) -> web.Response | None:
        """Sends a stream's events from an offset on, until it finishes."""
        await self._process.wait_until_unfrozen()
        stream = self._process.runtime.find_stream(request_id)
        if stream is None:
            return web.make_error_response(404, f"no such stream: {request_id}")
        offset = int(request.read_number("offset", 0))
        if offset < 0:
            return web.make_error_response(400, f"negative offset: {offset}")
        await _send_events(request, stream, offset)
        return None

    async def cancel(self, request_id: str) -> web.Response:
        """Cancels a stream and ends its response early."""
        await self._process.wait_until_unfrozen()
        runtime = self._process.runtime
        stream = runtime.find_stream(request_id)
        if stream is None:
            return web.make_error_response(404, f"no such stream: {request_id}")
        runtime.cancel(stream, anyio.current_time())
        return web.Response(204)

    def _find_refusal(
        self,
        request: web.Request,
        request_id: str,
        completion: CompletionRequest,
    ) -> web.Response | None:
        """Returns an error if the request must not run."""
        refusal = self._process.check_incarnation(request)
        if refusal:
            return refusal
        if self._process.faults.draining:
            return web.make_error_response(503, "engine is draining")
        runtime = self._process.runtime
        if runtime.slots.find(completion.model) is None:
            return web.make_error_response(
                404, f"adapter not loaded: {completion.model}"
            )
        if runtime.find_stream(request_id) is not None:
            return web.make_error_response(
                409, f"request id already exists: {request_id}"
            )
        return None

    def _submit(
        self,
        request: web.Request,
        request_id: str,
        completion: CompletionRequest,
    ) -> streams.Stream:
        """Accepts a request; exits if its prompt matches `crash_prompt`."""
        faults = self._process.faults
        if faults.crash_prompt and faults.crash_prompt in completion.text:
            os._exit(CRASH_EXIT_CODE)
        runtime = self._process.runtime
        adapter = runtime.slots.find(completion.model)
        assert adapter is not None
        now = anyio.current_time()
        cached = runtime.cache.use(cache.hash_prefix(completion.text), now)
        settings = self._process.settings
        stream = streams.Stream(
            request_id=request_id,
            incarnation=runtime.incarnation,
            lora_name=completion.model,
            key=adapter.key,
            prompt_hash=streams.hash_prompt(completion.text),
            prompt_tokens=1 + len(completion.text) // CHARACTERS_PER_TOKEN,
            max_tokens=completion.max_tokens,
            priority=completion.priority,
            chat=request.path == CHAT_PATH,
            first_token_s=(
                settings.cached_first_token_s
                if cached
                else settings.first_token_s
            ),
        )
        runtime.submit(stream, now)
        self._process.records.add(stream)
        self._process.notify_tasks()
        return stream


def _decode(body: bytes) -> CompletionRequest:
    try:
        return msgspec.json.decode(body, type=CompletionRequest)
    except (msgspec.DecodeError, ValueError) as error:
        raise errors.RefusalError(
            result_codes.ResultCode.BAD_REQUEST, str(error)
        ) from error


async def _wait_for_completion(
    request: web.Request, stream: streams.Stream
) -> web.Response | None:
    """Returns the complete response; disconnects if the stream is cut short."""
    while not stream.finish_reason:
        await stream.changed.wait()
    if stream.finish_reason != streams.FinishReason.LENGTH:
        await request.drop_connection()
        return None
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": stream.request_id,
    }
    return web.Response(200, stream.render_response(), headers)


async def _send_events(
    request: web.Request, stream: streams.Stream, offset: int
) -> None:
    """Sends events from an offset; disconnects if the stream is cut short."""
    headers = {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-cache",
        "X-Request-Id": stream.request_id,
    }
    await request.start(200, headers)
    while True:
        changed = stream.changed
        if offset < stream.generated:
            indices = range(offset, stream.generated)
            offset = stream.generated
            events = b"".join(stream.render_chunk(i) for i in indices)
            await request.send(events, more=True)
            continue
        if stream.finish_reason:
            break
        await changed.wait()
    if stream.finish_reason != streams.FinishReason.LENGTH:
        await request.drop_connection()
        return
    await request.send(b"data: [DONE]\n\n", more=False)
