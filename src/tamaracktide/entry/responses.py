"""Writes responses to clients over ASGI."""

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.entry import requests
from tamaracktide.gateway import asgi

STATUS_OVERRIDES = {
    result_codes.ResultCode.QUARANTINED: 503,
    result_codes.ResultCode.UPSTREAM_REFUSED: 503,
}
"""Statuses that differ from `result_codes.MEANINGS`: clients of an entry
instance treat a 4xx as final, and a 503 as proof that nothing ran."""

NOT_RUN_HEADER = b"x-tamaracktide-not-run"
"""Names the request that a refusal between instances states has not run. Its
status proves nothing: older builds infer it from what upstreams write."""


class Responder:
    """Writes one response.

    Attributes:
        started: Whether the status and headers have been sent.
        finished: Whether the last chunk of the body has been sent.
    """

    __slots__ = ("_close", "_send", "_to_peer", "finished", "started")

    def __init__(
        self, send: asgi.Send, *, close: bool, to_peer: bool = False
    ) -> None:
        """Builds the responder of one request.

        Args:
            send: The ASGI send callable.
            close: Whether the connection is closed after the response.
            to_peer: Whether another instance has sent the request on.
        """
        self._send = send
        self._close = close
        self._to_peer = to_peer
        self.started = False
        self.finished = False

    @property
    def state(self) -> str:
        """How much was sent: `none`, `partial` or `complete`."""
        if not self.started:
            return "none"
        return "complete" if self.finished else "partial"

    async def start(self, status: int, headers: requests.Headers) -> None:
        """Sends the status and headers."""
        self.started = True
        if self._close:
            headers = (*headers, (b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": list(headers),
            }
        )

    async def write(self, part: bytes) -> None:
        """Sends a chunk of the body."""
        await self._send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )

    async def finish(self, part: bytes = b"") -> None:
        """Sends the last chunk of the body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": part})

    async def respond(
        self, status: int, headers: requests.Headers, body: bytes
    ) -> None:
        """Sends a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, (*headers, length))
        await self.finish(body)

    async def respond_error(
        self, request_id: str, error: errors.TamaracktideError
    ) -> None:
        """Sends an error response."""
        meaning = result_codes.MEANINGS[error.code]
        headers: list[tuple[bytes, bytes]] = [
            (b"content-type", asgi.JSON_TYPE.encode()),
            (b"x-result-code", str(error.code.value).encode()),
        ]
        if request_id:
            name = request_id.encode("latin-1")
            headers.append((b"x-request-id", name))
            if self._to_peer and isinstance(error, errors.RefusalError):
                headers.append((NOT_RUN_HEADER, name))
        if meaning.retryable and error.retry_after_s is not None:
            text = f"{error.retry_after_s:.2f}"
            headers.append((b"retry-after", text.encode()))
        status = STATUS_OVERRIDES.get(error.code, meaning.http_status)
        await self.respond(status, tuple(headers), asgi.encode_error(error))
