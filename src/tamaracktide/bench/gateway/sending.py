"""Sends calls and measures their responses."""

import dataclasses

import anyio

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_RESPONSE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The measured response to one call.

    Attributes:
        first_token_s: Time to the first bytes of the body of a stream, or to
            the end of any other response.
        tokens: Number of streamed tokens.
        complete: Whether the response was successful and complete.
        fault: Cause of the failure, empty if `complete`.
    """

    first_token_s: float
    tokens: int
    complete: bool
    fault: str = ""


class TokenCounter:
    """Counts streamed tokens as they arrive.

    Attributes:
        tokens: Number of tokens received so far.
    """

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        """Starts the count at zero."""
        self.tokens = 0


class Sender:
    """Sends calls over persistent connections."""

    def __init__(self, stream_client: streams.StreamClient) -> None:
        """Initializes the sender with its HTTP client."""
        self._stream_client = stream_client

    async def send_short(self, call: calls.Call) -> Sample:
        """Sends a call whose response is not a stream."""
        started_at = anyio.current_time()
        response = await self._stream_client.open(call)
        if isinstance(response, calls.Failure):
            return Sample(0.0, 0, complete=False, fault=response.detail)
        try:
            full_response = await response.read(MAX_RESPONSE_BYTES)
        finally:
            await response.close()
        seconds = anyio.current_time() - started_at
        if isinstance(full_response, calls.Failure):
            return Sample(
                seconds, 0, complete=False, fault=full_response.detail
            )
        if full_response.status != 200:
            return Sample(
                seconds, 0, complete=False, fault=_describe(full_response)
            )
        return Sample(seconds, 0, complete=True)

    async def send_stream(
        self, call: calls.Call, counter: TokenCounter, read_pause_s: float = 0.0
    ) -> Sample:
        """Sends a call whose response is a stream.

        Args:
            call: Call to send.
            counter: Counter to which the streamed tokens are added.
            read_pause_s: Pause after each read, which lowers the CPU time of
                this process when it reads many streams.
        """
        started_at = anyio.current_time()
        response = await self._stream_client.open(call)
        if isinstance(response, calls.Failure):
            return Sample(0.0, 0, complete=False, fault=response.detail)
        try:
            return await _read_stream(
                response, started_at, counter, read_pause_s
            )
        finally:
            await response.close()


async def _read_stream(
    response: streams.StreamedResponse,
    started_at: float,
    counter: TokenCounter,
    read_pause_s: float,
) -> Sample:
    first_token_s = 0.0
    tokens = 0
    recent_bytes = b""
    while not recent_bytes.endswith(DONE_EVENT):
        chunk = await response.receive()
        if isinstance(chunk, calls.Failure) or not chunk:
            fault = (
                chunk.detail if isinstance(chunk, calls.Failure) else "ended"
            )
            return Sample(first_token_s, tokens, complete=False, fault=fault)
        if not first_token_s:
            first_token_s = anyio.current_time() - started_at
        pending_newline = (
            recent_bytes[-1:] if recent_bytes.endswith(b"\n") else b""
        )
        new_tokens = (pending_newline + chunk).count(EVENT_END)
        counter.tokens += new_tokens
        tokens += new_tokens
        recent_bytes = (recent_bytes + chunk)[-len(DONE_EVENT) :]
        if response.status != 200:
            return Sample(
                first_token_s,
                0,
                complete=False,
                fault=f"{response.status} {chunk!r}",
            )
        if read_pause_s:
            await anyio.sleep(read_pause_s)
    return Sample(first_token_s, tokens - 1, complete=True)


def _describe(response: calls.Response) -> str:
    return f"{response.status} {response.body[:200]!r}"
