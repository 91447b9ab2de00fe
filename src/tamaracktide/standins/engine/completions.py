"""HTTP interface of completions and their streams."""

import dataclasses
import os
from typing import Annotated
import uuid

import anyio
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.standins.engine import cache
from tamaracktide.standins.engine import host as engine_host
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
    """The fields of a request that the stand-in heeds."""

    model: str
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 16
    stream: bool = False
    priority: int = 0

    @property
    def text(self) -> str:
        """The prompt, or a chat's messages joined by line feeds."""
        if self.messages:
            return "\n".join(message.content for message in self.messages)
        return self.prompt


class Completions:
    """Starts, follows, resumes and cancels streams."""

    def __init__(self, host: engine_host.Host) -> None:
        """Builds the interface of an engine."""
        self._host = host

    async def complete(self, request: web.Request) -> web.Reply | None:
        """Runs a completion and answers it as a whole or as a stream."""
        body = await request.read_body()
        await self._host.wait_thawed()
        asked = _decode(body)
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        refusal = self._check(request, request_id, asked)
        if refusal:
            return refusal
        stream = self._submit(request, request_id, asked)
        if asked.stream:
            await _send_events(request, stream, 0)
            return None
        return await _wait_answer(request, stream)

    async def resume(
        self, request: web.Request, request_id: str
    ) -> web.Reply | None:
        """Sends a stream's events again from an offset on."""
        await self._host.wait_thawed()
        stream = self._host.runtime.find_stream(request_id)
        if stream is None:
            return web.make_error_reply(404, f"no such stream: {request_id}")
        offset = int(request.read_number("offset", 0))
        if offset < 0:
            return web.make_error_reply(400, f"negative offset: {offset}")
        await _send_events(request, stream, offset)
        return None

    async def cancel(self, request_id: str) -> web.Reply:
        """Cancels a stream."""
        await self._host.wait_thawed()
        runtime = self._host.runtime
        stream = runtime.find_stream(request_id)
        if stream is None:
            return web.make_error_reply(404, f"no such stream: {request_id}")
        runtime.cancel(stream, anyio.current_time())
        return web.Reply(204)

    def _check(
        self, request: web.Request, request_id: str, asked: CompletionRequest
    ) -> web.Reply | None:
        """Returns the refusal of a request that must not run."""
        refusal = self._host.check_incarnation(request)
        if refusal:
            return refusal
        if self._host.faults.draining:
            return web.make_error_reply(503, "draining")
        runtime = self._host.runtime
        if runtime.slots.find(asked.model) is None:
            return web.make_error_reply(404, f"not loaded: {asked.model}")
        if runtime.find_stream(request_id) is not None:
            return web.make_error_reply(409, f"request exists: {request_id}")
        return None

    def _submit(
        self, request: web.Request, request_id: str, asked: CompletionRequest
    ) -> streams.Stream:
        """Accepts a request; ends the process if its prompt is to do so."""
        faults = self._host.faults
        if faults.crash_prompt and faults.crash_prompt in asked.text:
            os._exit(CRASH_EXIT_CODE)
        runtime = self._host.runtime
        adapter = runtime.slots.find(asked.model)
        assert adapter is not None
        now = anyio.current_time()
        cached = runtime.cache.use(cache.hash_prefix(asked.text), now)
        settings = self._host.settings
        stream = streams.Stream(
            request_id=request_id,
            incarnation=runtime.incarnation,
            lora_name=asked.model,
            key=adapter.key,
            prompt_hash=streams.hash_prompt(asked.text),
            prompt_tokens=1 + len(asked.text) // CHARACTERS_PER_TOKEN,
            max_tokens=asked.max_tokens,
            priority=asked.priority,
            chat=request.path == CHAT_PATH,
            first_token_s=(
                settings.cached_first_token_s
                if cached
                else settings.first_token_s
            ),
        )
        runtime.submit(stream, now)
        self._host.records.add(stream)
        self._host.wake()
        return stream


def _decode(body: bytes) -> CompletionRequest:
    try:
        return msgspec.json.decode(body, type=CompletionRequest)
    except (msgspec.DecodeError, ValueError) as error:
        raise errors.RefusalError(
            result_codes.ResultCode.BAD_REQUEST, str(error)
        ) from error


async def _wait_answer(
    request: web.Request, stream: streams.Stream
) -> web.Reply | None:
    """Returns the whole answer; breaks off if the stream ends early."""
    while not stream.finish_reason:
        await stream.changed.wait()
    if stream.finish_reason != streams.FinishReason.LENGTH:
        await request.drop()
        return None
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": stream.request_id,
    }
    return web.Reply(200, stream.render_answer(), headers)


async def _send_events(
    request: web.Request, stream: streams.Stream, offset: int
) -> None:
    """Follows a stream from an offset on; breaks off if it ends early."""
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
        await request.drop()
        return
    await request.send(b"data: [DONE]\n\n", more=False)
