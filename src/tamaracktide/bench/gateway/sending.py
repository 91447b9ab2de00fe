"""Sends one call and times its answer."""

import dataclasses

import anyio

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_ANSWER_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The answer to one call.

    Attributes:
        first_token_s: Time to the first bytes of the body.
        tokens: Tokens that were streamed.
        whole: Whether the answer was a success and whole.
        fault: What was wrong, empty if whole.
    """

    first_token_s: float
    tokens: int
    whole: bool
    fault: str = ""


class Counter:
    """Counts streamed tokens as they arrive.

    Attributes:
        tokens: Tokens so far.
    """

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        """Starts at zero."""
        self.tokens = 0


class Sender:
    """Sends calls over kept connections."""

    def __init__(self, caller: streams.StreamCaller) -> None:
        """Builds a sender."""
        self._caller = caller

    async def send_short(self, call: calls.Call) -> Sample:
        """Sends a call whose answer is no stream."""
        started_at = anyio.current_time()
        answer = await self._caller.open(call)
        if isinstance(answer, calls.Failure):
            return Sample(0.0, 0, whole=False, fault=answer.detail)
        try:
            whole = await answer.read(MAX_ANSWER_BYTES)
        finally:
            await answer.close()
        seconds = anyio.current_time() - started_at
        if isinstance(whole, calls.Failure):
            return Sample(seconds, 0, whole=False, fault=whole.detail)
        if whole.status != 200:
            return Sample(seconds, 0, whole=False, fault=_describe(whole))
        return Sample(seconds, 0, whole=True)

    async def send_stream(
        self, call: calls.Call, counter: Counter, read_wait_s: float = 0.0
    ) -> Sample:
        """Sends a call whose answer is a stream.

        Args:
            call: The call.
            counter: Counts the tokens.
            read_wait_s: Pause after each read, so that reading many streams
                costs this process little.
        """
        started_at = anyio.current_time()
        answer = await self._caller.open(call)
        if isinstance(answer, calls.Failure):
            return Sample(0.0, 0, whole=False, fault=answer.detail)
        try:
            return await _read_stream(answer, started_at, counter, read_wait_s)
        finally:
            await answer.close()


async def _read_stream(
    answer: streams.StreamedAnswer,
    started_at: float,
    counter: Counter,
    read_wait_s: float,
) -> Sample:
    first_token_s = 0.0
    tokens = 0
    tail = b""
    while not tail.endswith(DONE_EVENT):
        part = await answer.receive()
        if isinstance(part, calls.Failure) or not part:
            fault = part.detail if isinstance(part, calls.Failure) else "ended"
            return Sample(first_token_s, tokens, whole=False, fault=fault)
        if not first_token_s:
            first_token_s = anyio.current_time() - started_at
        before = tail[-1:] if tail.endswith(b"\n") else b""
        added = (before + part).count(EVENT_END)
        counter.tokens += added
        tokens += added
        tail = (tail + part)[-len(DONE_EVENT) :]
        if answer.status != 200:
            return Sample(
                first_token_s, 0, whole=False, fault=f"{answer.status} {part!r}"
            )
        if read_wait_s:
            await anyio.sleep(read_wait_s)
    return Sample(first_token_s, tokens - 1, whole=True)


def _describe(answer: calls.Answer) -> str:
    return f"{answer.status} {answer.body[:200]!r}"
