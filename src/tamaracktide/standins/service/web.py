"""Minimal ASGI requests and responses for the stand-ins."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import MutableMapping
import dataclasses
import json
from typing import Any
from typing import ClassVar
from typing import Protocol
from typing import TypeVar
import urllib.parse

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.settings import files
from tamaracktide.standins.service import server

MAX_BODY_BYTES = 8_000_000

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Message, Receive, Send], Awaitable[None]]

_T = TypeVar("_T")


class _DataClass(Protocol):
    """Protocol that any data class satisfies."""

    __dataclass_fields__: ClassVar[dict[str, Any]]


_Fields = TypeVar("_Fields", bound=_DataClass)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        body: Response body.
        headers: Header fields other than Content-Length.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


def make_json_response(
    status: int, value: object, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a response with a JSON body."""
    return Response(
        status,
        json.dumps(value).encode(),
        {"Content-Type": "application/json", **(headers or {})},
    )


def make_error_response(status: int, message: str) -> Response:
    """Returns a response with an OpenAI-compatible error body."""
    return make_json_response(
        status, {"error": {"code": status, "message": message}}
    )


class Request:
    """An HTTP request and the methods to respond to it.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        headers: Header fields by lower-case name.
        query: Query parameters; the last value of a repeated name is used.
        connection: The connection of the request.
    """

    __slots__ = (
        "_body",
        "_receive",
        "_send",
        "connection",
        "headers",
        "method",
        "path",
        "query",
    )

    def __init__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Builds the request from the ASGI arguments."""
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers: dict[str, str] = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.query = dict(
            urllib.parse.parse_qsl(
                scope["query_string"].decode("latin-1"), keep_blank_values=True
            )
        )
        self.connection: server.Connection = scope["state"]["connection"]
        self._body: bytes | None = None
        self._receive = receive
        self._send = send

    @property
    def path_segments(self) -> list[str]:
        """The path split at slashes."""
        return self.path.split("/")[1:]

    def read_number(self, name: str, default: float) -> float:
        """Returns a query parameter as a number.

        Raises:
            errors.RefusalError: The value is not a number.
        """
        text = self.query.get(name, str(default))
        try:
            return float(text)
        except ValueError as error:
            raise errors.RefusalError(
                result_codes.ResultCode.BAD_REQUEST,
                f"query parameter {name} is not a number: {text}",
            ) from error

    @property
    def zone(self) -> str:
        """The client's availability zone; empty if not sent."""
        return self.headers.get("x-zone", "")

    def check_token(self, token: str) -> bool:
        """Whether the bearer token matches; always true if `token` is empty."""
        presented = self.headers.get("authorization", "")
        return not token or presented == f"Bearer {token}"

    async def read_body(self) -> bytes:
        """Returns the complete body; may be called repeatedly.

        Raises:
            errors.RefusalError: The body exceeds `MAX_BODY_BYTES`, or the
                client disconnected before it was complete.
        """
        if self._body is None:
            self._body = await self._receive_body()
        return self._body

    async def _receive_body(self) -> bytes:
        body = bytearray()
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise errors.RefusalError(
                    result_codes.ResultCode.BAD_REQUEST,
                    f"client disconnected after {len(body)} bytes of the body",
                )
            body += message.get("body", b"")
            if len(body) > MAX_BODY_BYTES:
                raise errors.RefusalError(
                    result_codes.ResultCode.REQUEST_TOO_LARGE,
                    f"request body exceeds {MAX_BODY_BYTES} bytes",
                )
            if not message.get("more_body", False):
                return bytes(body)

    async def send_response(self, response: Response) -> None:
        """Sends a complete response."""
        headers = dict(response.headers)
        if response.status != 204:
            headers["Content-Length"] = str(len(response.body))
        await self.start(response.status, headers)
        await self.send(response.body, more=False)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends the status and headers."""
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers.items()
                ],
            }
        )

    async def send(self, body: bytes, *, more: bool) -> None:
        """Sends a chunk of the body."""
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    async def wait_disconnect(self) -> None:
        """Waits until the client disconnects."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def drop_connection(self) -> None:
        """Closes the connection without a response."""
        self.connection.abort()
        await self.wait_disconnect()


Handler = Callable[[Request], Awaitable[Response | None]]


def make_app(handler: Handler) -> App:
    """Returns an ASGI application.

    The handler returns the response, or None if it has sent one or dropped
    the connection itself.
    """

    async def app(scope: Message, receive: Receive, send: Send) -> None:
        request = Request(scope, receive, send)
        try:
            response = await handler(request)
        except errors.TamaracktideError as error:
            meaning = result_codes.MEANINGS[error.code]
            response = make_error_response(meaning.http_status, error.detail)
        if response is not None:
            await request.send_response(response)

    return app


async def run_connected(
    request: Request, work: Callable[[], Awaitable[_T]]
) -> _T | None:
    """Returns the result of `work`; None if the client disconnects first."""
    results: list[_T] = []
    async with anyio.create_task_group() as tasks:

        async def cancel_on_disconnect() -> None:
            await request.wait_disconnect()
            tasks.cancel_scope.cancel()

        tasks.start_soon(cancel_on_disconnect)
        results.append(await work())
        tasks.cancel_scope.cancel()
    return results[0] if results else None


def parse_fields(target_type: type[_T], body: bytes) -> _T:
    """Returns a value of a type, decoded from a JSON object.

    Raises:
        errors.RefusalError: The body is not valid JSON for the type.
    """
    try:
        return files.parse_settings(body.decode(), target_type)
    except (ValueError, errors.SettingsError) as error:
        raise errors.RefusalError(
            result_codes.ResultCode.BAD_REQUEST, str(error)
        ) from error


def merge_fields(current: _Fields, body: bytes) -> _Fields:
    """Returns a copy of a data class updated from a JSON object.

    Raises:
        errors.RefusalError: The body is no JSON object or has invalid fields.
    """
    updates = parse_fields(dict, body)
    merged = dataclasses.asdict(current) | updates
    return parse_fields(type(current), json.dumps(merged).encode())
