"""ASGI applications for readiness probes and metrics."""

from collections.abc import Callable

from tamaracktide.entry import peer_forwarding
from tamaracktide.gateway import asgi
from tamaracktide.observability import metrics as metrics_module


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
    """Passes on the requests that other instances sent on."""

    def __init__(self, app: asgi.App, token: str) -> None:
        """Builds the application.

        Args:
            app: Serves the requests.
            token: Token that other instances send.
        """
        self._app = app
        self._token = token

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request, if its token is right."""
        if scope["type"] != "http":
            return
        header = peer_forwarding.TOKEN_HEADER
        if asgi.find_header(tuple(scope["headers"]), header) != self._token:
            await _respond(send, 503, b"", b"")
            return
        await self._app(scope, receive, send)


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
