"""HTTP client for the platform; raises typed errors on failures."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math
from typing import TypeVar

import anyio
import httpcore
import msgspec

from tamaracktide import errors
from tamaracktide import http_status
from tamaracktide import result_codes
from tamaracktide import sockets
from tamaracktide.core import pending_bytes
from tamaracktide.object_api import settings as platform_settings

KEEPALIVE_EXPIRY_S = 30.0

MIN_BYTES_PER_S = 125_000
"""Minimum average rate of a body that takes longer than the timeout."""

_CODES_BY_STATUS = {
    400: result_codes.ResultCode.BAD_REQUEST,
    401: result_codes.ResultCode.UNAUTHENTICATED,
    403: result_codes.ResultCode.UNAUTHENTICATED,
    413: result_codes.ResultCode.REQUEST_TOO_LARGE,
}

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response of the platform.

    Attributes:
        status: HTTP status code.
        headers: Header values by lower-case name.
        body: Complete response body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpClient:
    """Sends requests to the platform over a connection pool."""

    def __init__(
        self,
        settings: platform_settings.PlatformSettings,
        on_response: Callable[[Response], None] | None = None,
    ) -> None:
        """Creates a client without opening connections.

        Args:
            settings: Address, credentials, timeout and limits.
            on_response: Called with each response, whatever its status, before
                the call returns or raises.
        """
        self._settings = settings
        self._on_response = on_response
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=settings.max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            socket_options=sockets.KEEPALIVE_OPTIONS,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def call(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        wait_s: float = 0.0,
        on_bytes: Callable[[int], None] | None = None,
    ) -> Response:
        """Sends a request and returns the platform's response.

        A body may take longer than the timeout while its parts keep arriving.

        Args:
            method: HTTP method.
            path: Path and query, quoted.
            headers: Headers in addition to the credentials and the zone.
            body: Request body.
            wait_s: Time that the platform is allowed to wait before it
                responds, in addition to the timeout.
            on_bytes: Called with the size of each part of the body.

        Raises:
            errors.PlatformUnavailableError: No conclusive response was
                received.
            errors.AnswerTooLargeError: The response exceeds the bound.
            errors.PreconditionFailedError: A precondition failed.
            errors.ObjectMissingError: The object does not exist.
            errors.PlatformError: The platform rejected the request for
                another reason.
        """
        operation = f"{method} {path}"
        body_parts: list[bytes] = []
        try:
            with anyio.fail_after(
                self._settings.timeout_s + wait_s
            ) as time_limit:
                async with self._pool.stream(
                    method,
                    f"http://{self._settings.address}{path}",
                    headers=self._make_headers(headers or {}),
                    content=body,
                ) as raw_response:
                    async for part in self._read(operation, raw_response):
                        body_parts.append(part)
                        self._extend(time_limit, len(part))
                        if on_bytes is not None:
                            on_bytes(len(part))
        except (
            TimeoutError,
            OSError,
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise errors.PlatformUnavailableError(
                result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                f"{operation}: {error!r} after "
                f"{sum(map(len, body_parts))} bytes of the body",
            ) from error
        response = Response(
            raw_response.status,
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in raw_response.headers
            },
            b"".join(body_parts),
        )
        if response.status not in http_status.FINAL:
            raise errors.PlatformUnavailableError(
                result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                f"{operation}: status {response.status:03}",
            )
        if self._on_response is not None:
            self._on_response(response)
        _check_status(operation, response)
        return response

    def _extend(self, time_limit: anyio.CancelScope, size: int) -> None:
        """Allows time for the next part of a body."""
        time_limit.deadline = min(
            time_limit.deadline + size / MIN_BYTES_PER_S,
            anyio.current_time() + self._settings.timeout_s,
        )

    async def _read(
        self, operation: str, response: httpcore.Response
    ) -> AsyncIterator[bytes]:
        """Yields the parts of a body; leaves one that is too large."""
        pending = pending_bytes.PendingBytes(
            self._settings.max_answer_bytes, "the end of the body"
        )
        async for part in response.aiter_stream():
            pending.add(len(part))
            if pending.excess is not None:
                raise errors.AnswerTooLargeError(
                    result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                    f"{operation}: {pending.excess}",
                )
            yield part

    def _make_headers(
        self, headers: Mapping[str, str]
    ) -> list[tuple[bytes | str, bytes | str]]:
        fields: list[tuple[bytes | str, bytes | str]] = [
            ("Host", self._settings.address),
            ("X-Zone", self._settings.zone),
        ]
        if self._settings.token:
            fields.append(("Authorization", f"Bearer {self._settings.token}"))
        fields.extend(headers.items())
        return fields


def decode_body(response: Response, kind: type[_T]) -> _T:
    """Decodes the JSON body of a response to a data class.

    Raises:
        errors.PlatformUnavailableError: The body cannot be decoded.
    """
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise errors.PlatformUnavailableError(
            result_codes.ResultCode.PLATFORM_UNAVAILABLE,
            f"cannot decode response: {error}",
        ) from error


def _check_status(operation: str, response: Response) -> None:
    """Raises the error that corresponds to the status of a response."""
    status = response.status
    if status < 300 or status == 410:
        return
    detail = f"{operation}: status {status}"
    if status >= 500 or status == 429:
        raise errors.PlatformUnavailableError(
            result_codes.ResultCode.PLATFORM_UNAVAILABLE,
            detail,
            _read_retry_after(response),
        )
    if status in (409, 412):
        raise errors.PreconditionFailedError(
            result_codes.ResultCode.EDIT_CONFLICT, detail
        )
    if status == 404:
        raise errors.ObjectMissingError(
            result_codes.ResultCode.ROW_UNKNOWN, detail
        )
    code = _CODES_BY_STATUS.get(status, result_codes.ResultCode.BAD_REQUEST)
    raise errors.PlatformError(code, detail)


def _read_retry_after(response: Response) -> float | None:
    """Returns the value of `Retry-After`, or None if not in seconds."""
    try:
        seconds = float(response.headers.get("retry-after", ""))
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None
