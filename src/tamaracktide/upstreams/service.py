"""Client of plain services."""

import dataclasses

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings

_DROPPED_HEADERS = frozenset(
    (
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-zone",
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRequest:
    """A caller's request as it is passed on to a plain service.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: The caller's headers.
        body: The whole body.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def filter_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers that pass from end to end, without credentials."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _DROPPED_HEADERS
    )


class ServiceClient:
    """Calls plain services."""

    def __init__(
        self,
        settings: upstream_settings.UpstreamSettings,
        caller: calls.Caller,
    ) -> None:
        """Builds a client that shares the caller's connections."""
        self._settings = settings
        self._caller = caller

    async def send(
        self,
        address: str,
        request: ServiceRequest,
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> calls.Answer | calls.Failure:
        """Sends a request and returns its whole answer.

        A failure that `may_have_run` leaves the outcome unknown: any answer,
        whatever its status, is the service's own and is passed on.
        """
        return await self._caller.send(
            calls.Call(
                method=request.method,
                address=address,
                target=request.target,
                headers=filter_headers(request.headers),
                body=request.body,
                timeout_s=min(timeout_s, self._settings.service_timeout_s),
            ),
            fresh=fresh,
        )
