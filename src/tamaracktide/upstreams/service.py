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
    """A client's request as it is forwarded to a plain service.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers sent by the client.
        body: Complete request body.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def filter_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the end-to-end headers, without credentials."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _DROPPED_HEADERS
    )


class ServiceClient:
    """Sends requests to plain services."""

    def __init__(
        self,
        settings: upstream_settings.UpstreamSettings,
        upstream_client: calls.UpstreamClient,
    ) -> None:
        """Creates a client that uses the connections of `upstream_client`."""
        self._settings = settings
        self._upstream_client = upstream_client

    async def send(
        self,
        address: str,
        request: ServiceRequest,
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> calls.Response | calls.Failure:
        """Sends a request and returns the complete response.

        A response of any status comes from the service itself and is
        forwarded; after a failure with `may_have_run` the outcome is unknown.
        """
        return await self._upstream_client.send(
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
