"""HTTP client for upstreams.

Failures are classified by whether the upstream may have run the request.
"""

import abc
from collections.abc import AsyncGenerator
from collections.abc import Iterable
import dataclasses
import enum
from typing import cast
from typing import Self
from typing import TypeAlias

import anyio
import httpcore

from tamaracktide import http_status
from tamaracktide import sockets
from tamaracktide.core import pending_bytes
from tamaracktide.upstreams import bounded_heads
from tamaracktide.upstreams import settings as upstream_settings

Headers: TypeAlias = list[tuple[bytes, bytes]]

KEEPALIVE_EXPIRY_S = 30.0
BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
BODY_END_TIMEOUT_S = 0.05
REQUEST_ID_HEADER = b"x-request-id"


class FailureKind(enum.Enum):
    """Cause of a failure before the response was complete."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    TOO_LARGE = "too large"
    NOT_ADMITTED = "not admitted"
    FOREIGN = "response to another request"


NOT_SENT_KINDS = frozenset((FailureKind.UNREACHABLE, FailureKind.NOT_ADMITTED))
"""Failures before a request was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call without a complete response.

    Attributes:
        kind: Cause of the failure.
        detail: Description in one sentence.
    """

    kind: FailureKind
    detail: str

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have received the request."""
        return self.kind not in NOT_SENT_KINDS


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        headers: Pairs of lower-case header name and value.
        body: Complete response body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def find_header(self, name: bytes) -> str:
        """Returns the value of a header, or an empty string."""
        for header, value in self.headers:
            if header == name:
                return value.decode("latin-1")
        return ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One HTTP request to an upstream.

    Attributes:
        method: HTTP method.
        address: `host:port` of the upstream.
        target: Path and query.
        headers: Headers in addition to `Host`, `Content-Length` and the
            credentials.
        body: Request body.
        timeout_s: Maximum time without data before and within the response.
        request_id: Id that the response must name, empty if it must name none;
            None accepts any response.
    """

    method: str
    address: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    timeout_s: float
    request_id: str | None = None

    def explain_foreign(self, headers: Iterable[tuple[bytes, bytes]]) -> str:
        """Returns why a response belongs to another call, empty if it does not.

        Args:
            headers: Its headers, names in lower case.
        """
        if self.request_id is None:
            return ""
        named = {value for name, value in headers if name == REQUEST_ID_HEADER}
        if (named or {b""}) == {self.request_id.encode("latin-1")}:
            return ""
        texts = sorted(value.decode("latin-1") for value in named)
        return f"response belongs to another request: {', '.join(texts)!r}"


def classify_failure(error: Exception) -> Failure:
    """Converts an httpcore exception to a failure."""
    detail = f"{type(error).__name__} {error}".strip()
    match error:
        case (
            httpcore.ConnectError()
            | httpcore.ConnectTimeout()
            | httpcore.PoolTimeout()
        ):
            return Failure(FailureKind.UNREACHABLE, detail)
        case httpcore.TimeoutException():
            return Failure(FailureKind.TIMEOUT, detail)
        case bounded_heads.HeadTooLargeError():
            return Failure(FailureKind.TOO_LARGE, str(error))
        case _:
            return Failure(FailureKind.BROKEN, detail)


def make_total(
    settings: upstream_settings.UpstreamSettings,
) -> pending_bytes.TotalBytes:
    """Returns the count of all bodies that a client is reading."""
    return pending_bytes.TotalBytes(
        settings.max_total_answer_bytes, settings.max_pending_bytes
    )


def make_headers(
    settings: upstream_settings.UpstreamSettings, call: Call
) -> Headers:
    """Returns all headers of a call, including the credentials."""
    named = {name.lower() for name, _ in call.headers}
    headers: Headers = []
    if b"host" not in named:
        headers.append((b"Host", call.address.encode()))
    if settings.token:
        credentials = f"Bearer {settings.token}".encode()
        headers.append((b"Authorization", credentials))
    if settings.zone:
        headers.append((b"X-Zone", settings.zone.encode()))
    if call.body or call.method not in BODILESS_METHODS:
        headers.append((b"Content-Length", str(len(call.body)).encode()))
    headers.extend(call.headers)
    return headers


class PartialResponse(abc.ABC):
    """A response whose body is still arriving; it must be closed after use.

    Attributes:
        status: HTTP status code.
        headers: Pairs of lower-case header name and value.
        total: Counts the bytes of all bodies that are being read.
    """

    __slots__ = ("headers", "status", "total")

    status: int
    total: pending_bytes.TotalBytes
    headers: tuple[tuple[bytes, bytes], ...]

    @abc.abstractmethod
    async def receive(self) -> bytes | Failure:
        """Returns the next body bytes, empty at the end, or the failure."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Makes the connection available, or closes it if data is unread."""

    async def read(self, max_bytes: int) -> Response | Failure:
        """Reads the body; returns the complete response or the failure."""
        pending = pending_bytes.PendingBytes(
            max_bytes, "the end of the body", self.total
        )
        try:
            return await self._read(pending)
        finally:
            pending.clear()

    async def _read(
        self, pending: pending_bytes.PendingBytes
    ) -> Response | Failure:
        parts: list[bytes] = []
        while True:
            part = await self.receive()
            if isinstance(part, Failure):
                return part
            if not part:
                return Response(self.status, self.headers, b"".join(parts))
            pending.add(len(part))
            if pending.excess is not None:
                return Failure(FailureKind.TOO_LARGE, pending.excess)
            parts.append(part)

    async def read_and_close(self, max_bytes: int) -> Response | Failure:
        """Reads the body as `read` and closes the response."""
        try:
            return await self.read(max_bytes)
        finally:
            await self.close()


class OpenResponse(PartialResponse):
    """A response that httpcore receives."""

    __slots__ = ("_body", "_own_pool", "_response")

    def __init__(
        self,
        response: httpcore.Response,
        total: pending_bytes.TotalBytes,
        own_pool: httpcore.AsyncConnectionPool | None = None,
    ) -> None:
        """Wraps a response whose headers have arrived.

        Args:
            response: Response with an unread body.
            total: Counts the bytes of all bodies that are being read.
            own_pool: Connection pool to close together with the response.
        """
        self._own_pool = own_pool
        self.total = total
        self.status = response.status
        self.headers = tuple(
            (name.lower(), value) for name, value in response.headers
        )
        self._response = response
        # httpcore annotates this generator as a plain iterator.
        self._body = cast(AsyncGenerator[bytes], response.aiter_stream())

    async def receive(self) -> bytes | Failure:
        """Returns the next body bytes, empty at the end, or the failure."""
        try:
            return await anext(self._body, b"")
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            return classify_failure(error)

    async def close(self) -> None:
        """Returns the connection to its pool; closes it if data is unread."""
        with anyio.CancelScope(shield=True):
            await self._body.aclose()
            await self._response.aclose()
            if self._own_pool is not None:
                await self._own_pool.aclose()


class UpstreamClient:
    """Sends requests to upstreams, with one connection pool per address."""

    def __init__(self, settings: upstream_settings.UpstreamSettings) -> None:
        """Creates a client without opening connections."""
        self._settings = settings
        self._total = make_total(settings)
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def __aenter__(self) -> Self:
        """Returns the client itself."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Closes all connections."""
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.aclose()

    async def open(
        self, call: Call, *, fresh: bool = False
    ) -> OpenResponse | Failure:
        """Sends a call and returns when the response headers have arrived.

        Args:
            call: The request.
            fresh: Whether to use a new connection, which is needed when
                pooled connections may be unresponsive.
        """
        pool = self._make_pool() if fresh else self._find_pool(call.address)
        try:
            response = await pool.handle_async_request(self._make_request(call))
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            return classify_failure(error)
        stream = response.extensions["network_stream"]
        assert isinstance(stream, bounded_heads.Stream)
        stream.end_head()
        if response.status not in http_status.FINAL:
            await response.aclose()
            return Failure(FailureKind.BROKEN, f"status {response.status:03}")
        return OpenResponse(response, self._total, pool if fresh else None)

    async def send(
        self, call: Call, *, fresh: bool = False
    ) -> Response | Failure:
        """Sends a call and returns the complete response."""
        response = await self.open(call, fresh=fresh)
        if isinstance(response, Failure):
            return response
        return await response.read_and_close(self._settings.max_answer_bytes)

    async def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address; they may be unresponsive.

        Responses in progress are not interrupted.
        """
        pool = self._pools.get(address)
        if pool is None:
            return
        for connection in pool.connections:
            if connection.is_idle():
                await connection.aclose()

    def _find_pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._make_pool()
            self._pools[address] = pool
        return pool

    def _make_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=self._settings.max_connections,
            max_keepalive_connections=self._settings.max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            socket_options=sockets.KEEPALIVE_OPTIONS,
            network_backend=bounded_heads.Backend(
                self._settings.max_pending_bytes
            ),
        )

    def _make_request(self, call: Call) -> httpcore.Request:
        timeout = {
            "connect": self._settings.connect_timeout_s,
            "pool": self._settings.connect_timeout_s,
            "read": call.timeout_s,
            "write": call.timeout_s,
        }
        return httpcore.Request(
            call.method,
            f"http://{call.address}{call.target}",
            headers=make_headers(self._settings, call),
            content=call.body,
            extensions={"timeout": timeout},
        )
