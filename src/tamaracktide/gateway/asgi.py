"""Reads requests of clients and writes responses over ASGI."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import MutableMapping
import dataclasses
from typing import Any
from typing import TypeAlias

import anyio
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes

Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send: TypeAlias = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


@dataclasses.dataclass(slots=True)
class LogContext:
    """Fields of a request's log line, set while the request is handled.

    Attributes:
        customer: Customer of the API key.
        route: Name of the route.
        upstream: Instance id of the upstream used last.
    """

    customer: str = ""
    route: str = ""
    upstream: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A client's request with its body.

    Attributes:
        request_id: Unique id assigned by the gateway.
        method: HTTP method.
        path: Decoded path.
        target: Path and query as the client sent them.
        headers: Header names in lower case, and values.
        body: The complete body.
        deadline: Time by which the response must be complete.
        log_context: Fields of the request's log line.
    """

    request_id: str
    method: str
    path: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    log_context: LogContext = dataclasses.field(default_factory=LogContext)

    def find_header(self, name: bytes) -> str:
        """Returns a header's value, or an empty string."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete response to a client.

    Attributes:
        status: HTTP status.
        body: Body of the response.
        content_type: Media type of the body.
        code: Result code in the response's headers.
        headers: Further headers.
        complete: Whether `body` is the full body, so that it can be kept and
            resent to retries.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    code: result_codes.ResultCode = result_codes.ResultCode.OK
    headers: Headers = ()
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _ErrorFields:
    code: int
    name: str
    execution: str
    message: str
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: _ErrorFields


def find_header(headers: Headers, name: bytes) -> str:
    """Returns the value of a lower-case header name, or an empty string."""
    for header, value in headers:
        if header == name:
            return value.decode("latin-1")
    return ""


def make_error(
    code: result_codes.ResultCode,
    detail: str = "",
    retry_after_s: float | None = None,
) -> errors.TamaracktideError:
    """Returns the error of the class that fits the code's execution state."""
    meaning = result_codes.MEANINGS[code]
    kind = (
        errors.RefusalError
        if meaning.execution is result_codes.Execution.NOT_RUN
        else errors.OutcomeUnknownError
    )
    return kind(code, detail or meaning.text, retry_after_s)


def encode_error(error: errors.TamaracktideError) -> bytes:
    """Returns the JSON body that reports an error to a client."""
    fields = _ErrorFields(
        error.code.value,
        error.code.name,
        error.execution.value,
        error.detail,
        _round_retry_after(error),
    )
    return msgspec.json.encode(_ErrorBody(fields))


def encode_error_event(error: errors.TamaracktideError) -> bytes:
    """Returns the server-sent event that reports an error in a stream."""
    return b"data: " + encode_error(error) + b"\n\n"


def make_error_response(error: errors.TamaracktideError) -> Response:
    """Returns the response that reports an error to a client."""
    retry_after_s = _round_retry_after(error)
    headers: Headers = ()
    if retry_after_s is not None:
        seconds = max(1, round(retry_after_s + 0.5))
        headers = ((b"retry-after", str(seconds).encode()),)
    return Response(
        status=result_codes.MEANINGS[error.code].http_status,
        body=encode_error(error),
        code=error.code,
        headers=headers,
    )


def _round_retry_after(error: errors.TamaracktideError) -> float | None:
    if not result_codes.MEANINGS[error.code].retryable:
        return None
    return round(error.retry_after_s or 1.0, 2)


class Responder:
    """Writes one response, at once or in parts.

    Attributes:
        started: Whether the status and headers have been sent.
        finished: Whether the last part of the body has been sent.
    """

    __slots__ = ("_request_id", "_send", "finished", "started")

    def __init__(self, send: Send, request_id: str) -> None:
        """Builds the responder of one request."""
        self._send = send
        self._request_id = request_id
        self.started = False
        self.finished = False

    async def start(
        self,
        status: int,
        content_type: str,
        code: result_codes.ResultCode,
        headers: Headers = (),
    ) -> None:
        """Sends the status and headers."""
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-type", content_type.encode()),
                    (b"x-request-id", self._request_id.encode()),
                    (b"x-result-code", str(code.value).encode()),
                    *headers,
                ],
            }
        )

    async def write(self, part: bytes) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )

    async def finish(self, part: bytes = b"") -> None:
        """Sends the last part of the body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": part})

    async def respond(self, response: Response) -> None:
        """Sends a complete response."""
        length = (b"content-length", str(len(response.body)).encode())
        await self.start(
            response.status,
            response.content_type,
            response.code,
            (*response.headers, length),
        )
        await self.finish(response.body)


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Returns the complete body of a request.

    Raises:
        errors.RefusalError: The body exceeds the limit, or the client
            disconnects before its end.
    """
    parts = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise make_error(
                result_codes.ResultCode.BAD_REQUEST,
                "client disconnected before the end of the body",
            )
        part = message.get("body", b"")
        size += len(part)
        if size > limit_bytes:
            raise make_error(
                result_codes.ResultCode.REQUEST_TOO_LARGE,
                f"request body exceeds {limit_bytes} bytes",
            )
        parts.append(part)
        more = message.get("more_body", False)
    return b"".join(parts)


def measure_headers(headers: Headers) -> int:
    """Returns the size of the headers in bytes."""
    return sum(len(name) + len(value) + 4 for name, value in headers)


def make_json_response(value: object) -> Response:
    """Returns a response with a value as JSON."""
    return Response(status=200, body=msgspec.json.encode(value))


def find_target(scope: Mapping[str, Any]) -> str:
    """Returns the path and query as the client sent them."""
    path = scope.get("raw_path") or scope["path"].encode()
    query = scope.get("query_string", b"")
    target = path + b"?" + query if query else path
    return str(target.decode("latin-1"))


async def cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    """Cancels a request when its client disconnects."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
