"""Upstreams that answer with scripted bytes."""

from collections.abc import Callable
import contextlib
import dataclasses
from typing import Protocol

import anyio
import anyio.abc
import fleet_cluster

MAX_READ_BYTES = 65536


def make_response(status: int, *headers: str, body: bytes = b"") -> bytes:
    """Returns a complete response with a length."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_success(request_id: str) -> bytes:
    """Returns a server's signed response to a request that has run."""
    return make_response(
        200,
        f"X-Request-Id: {request_id}",
        "X-Response-Signature: 1.2.3",
        body=b"done",
    )


@dataclasses.dataclass(slots=True)
class RawUpstream:
    """Runs every request that it receives and answers with scripted bytes.

    Attributes:
        respond: Returns the bytes that answer a request, by its id.
        runs: Ids of the requests that ran, in order.
    """

    respond: Callable[[str], bytes]
    runs: list[str] = dataclasses.field(default_factory=list)

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves the requests of one connection."""
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    headers = await receive_request(stream)
                    request_id = headers["x-request-id"]
                    self.runs.append(request_id)
                    await stream.send(self.respond(request_id))


async def receive_request(stream: anyio.abc.SocketStream) -> dict[str, str]:
    """Receives a whole request; returns its headers, in lower case."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += await stream.receive(MAX_READ_BYTES)
    head, _, body = received.partition(b"\r\n\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (
            line.partition(":") for line in head.decode().split("\r\n")[1:]
        )
    }
    while len(body) < int(headers.get("content-length", "0")):
        body += await stream.receive(MAX_READ_BYTES)
    return headers


class Upstream(Protocol):
    """Serves connections."""

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves the requests of one connection."""


async def serve(
    cluster: fleet_cluster.Cluster,
    upstream: Upstream,
    host: str = fleet_cluster.HOST,
    port: int = 0,
) -> int:
    """Listens until the cluster ends; returns the port, a free one for 0."""
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)

    async def run() -> None:
        async with listener:
            await listener.serve(upstream.handle)

    cluster.tasks.start_soon(run)
    return int(listener.extra(anyio.abc.SocketAttribute.local_port))


async def add_raw_upstream(
    cluster: fleet_cluster.Cluster,
    name: str,
    respond: Callable[[str], bytes],
) -> RawUpstream:
    """Starts an upstream of the plain service and registers it."""
    upstream = RawUpstream(respond)
    port = await serve(cluster, upstream)
    server = fleet_cluster.Server(name, port=port)
    cluster.servers[name] = server
    cluster.register(server)
    return upstream
