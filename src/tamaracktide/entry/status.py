"""ASGI applications for readiness probes and metrics."""

from collections.abc import Awaitable
from collections.abc import Callable

from tamaracktide.entry import peer_forwarding
from tamaracktide.entry import requests
from tamaracktide.gateway import asgi
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module

ServeRelayed = Callable[
    [asgi.Scope, asgi.Receive, asgi.Send, requests.Relayed], Awaitable[None]
]


class ReadinessApp:
    """Responds with 200 while the instance is ready, otherwise 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Builds the application."""
        self._is_ready = is_ready

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Responds to one request at any path."""
        if scope["type"] != "http":
            return
        await _respond(send, 200 if self._is_ready() else 503, b"", b"")


class MetricsApp:
    """Serves the metrics as text at any path."""

    def __init__(
        self, metrics: metrics_module.Metrics, update: Callable[[], None]
    ) -> None:
        """Builds the application; `update` refreshes the gauges."""
        self._metrics = metrics
        self._update = update

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Responds to one request."""
        if scope["type"] != "http":
            return
        self._update()
        accept = asgi.find_header(tuple(scope["headers"]), b"accept")
        body, content_type = self._metrics.render([accept])
        await _respond(send, 200, content_type.encode(), body)


class RelayedApp:
    """Accepts the requests that other instances sent on."""

    def __init__(self, serve: ServeRelayed, token: str) -> None:
        """Builds the application.

        Args:
            serve: Serves a request within what the other instance allows.
            token: Token that other instances send.
        """
        self._serve = serve
        self._token = token

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request, if its token is right."""
        if scope["type"] != "http":
            return
        headers = tuple(scope["headers"])
        token = asgi.find_header(headers, peer_forwarding.TOKEN_HEADER)
        attempts = asgi.find_header(headers, peer_forwarding.ATTEMPTS_HEADER)
        if token != self._token or not attempts.isdecimal():
            logs.bind(attempts=attempts).warning("relayed request refused")
            await _respond(send, 503, b"", b"")
            return
        kept = [
            pair
            for pair in headers
            if pair[0] not in peer_forwarding.RELAY_HEADERS
        ]
        scope = {**scope, "headers": kept}
        workspace = None
        if any(name == peer_forwarding.WORKSPACE_HEADER for name, _ in headers):
            workspace = asgi.find_header(
                headers, peer_forwarding.WORKSPACE_HEADER
            )
        relayed = requests.Relayed(attempts=int(attempts), workspace=workspace)
        await self._serve(scope, receive, send, relayed)


async def _respond(
    send: asgi.Send, status: int, content_type: bytes, body: bytes
) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    if content_type:
        headers.append((b"content-type", content_type))
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
