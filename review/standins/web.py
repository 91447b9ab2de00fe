"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import time


@dataclasses.dataclass
class Request:
    """A request that a stand-in has read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Abort(Exception):
    """The connection is reset or closed without a (further) answer."""


class Server:
    """Serves requests one after the other on each connection."""

    def __init__(
        self,
        handle: Callable[[Request, asyncio.StreamWriter], Awaitable[None]],
        host: str,
        port: int,
    ) -> None:
        self.host, self.port = host, port
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )

    def stop(self) -> None:
        """Closes the listener and all connections, as a killed process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self._handle(request, writer)
        except (Abort, ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = _parse_headers(lines[1:])
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return headers


async def reply(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Sends a whole answer with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    await writer.drain()


@dataclasses.dataclass
class Answer:
    """What a requester has seen of an answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    first_s: float | None = None
    seconds: float = 0.0


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
    on_body: Callable[[bytes], None] | None = None,
    connection: tuple | None = None,
) -> Answer:
    """Sends a request on a new connection, or on one that was kept."""
    answer = Answer()
    started_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            if connection is None:
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
            else:
                reader, writer = connection
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
            writer.write(head + body)
            await writer.drain()
            await _read_answer(reader, answer, started_at, on_body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        answer.error = type(error).__name__
    finally:
        answer.seconds = time.monotonic() - started_at
        if writer is not None and connection is None:
            writer.transport.abort()
    return answer


async def _read_answer(reader, answer, started_at, on_body) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    answer.headers = _parse_headers(lines[1:])

    def take(part: bytes) -> None:
        if answer.first_s is None:
            answer.first_s = time.monotonic() - started_at
        answer.body += part
        if on_body is not None:
            on_body(part)

    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            take(part[:-2])
    elif "content-length" in answer.headers:
        take(await reader.readexactly(int(answer.headers["content-length"])))
    else:
        while part := await reader.read(65536):
            take(part)
    answer.complete = True
