"""Tests of upstreams that send bytes without end.

Load pattern: an engine or a server in trouble answers, and then sends the same
bytes again and again until its caller closes the connection.
"""

from collections.abc import Sequence
import contextlib
import dataclasses

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest

from tamaracktide.gateway import asgi

pytestmark = pytest.mark.anyio

EVENTS = 10
MAX_SENT_BYTES = 64 << 20
"""Bytes after which an upstream stops by itself."""

MAX_HELD_BYTES = 4 << 20
"""What the instance may hold of them, with the buffers of the sockets."""

PIECES = {
    "event": b"data: x",
    "comments": b": x\n" * 1024,
    "fields": b"data: x\n" * 1024,
}
COMMENT_EVENTS = b": x\n\n" * 1024


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class EndlessServer(fleet_cluster.Server):
    """Sends `body` repeatedly instead of the events after `silent_after`.

    Attributes:
        sent: Bytes of `body` that were sent.
    """

    sent: int = 0

    async def _send_stream(
        self,
        head: dict[str, str],
        headers: tuple[tuple[bytes, bytes], ...],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        if not self.body:
            await fleet_cluster.Server._send_stream(
                self, head, headers, receive, send
            )
            return
        kind = (b"content-type", b"text/event-stream")
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": [*headers, kind]})
        for number in range(1, (self.silent_after or 0) + 1):
            await _write(send, b"id: %d\ndata: t%d\n\n" % (number, number))
        await self._send_endlessly(head["x-request-id"], receive, send)

    async def _send_endlessly(
        self, request_id: str, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        closed = anyio.Event()

        async def watch() -> None:
            await receive()
            self.abandoned.append(request_id)
            closed.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            piece = self.body * (8192 // len(self.body))
            for _ in range(MAX_SENT_BYTES // len(piece)):
                if closed.is_set():
                    break
                with contextlib.suppress(ConnectionError):
                    await _write(send, piece)
                self.sent += len(piece)
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()


async def _write(send: asgi.Send, body: bytes) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": True})


async def add_engine(
    cluster: fleet_cluster.Cluster, name: str, piece: bytes, silent_after: int
) -> EndlessServer:
    """Adds an engine in trouble that has the adapter."""
    engine = EndlessServer(
        name,
        slots=3,
        adapters={"a1": 1},
        silent_after=silent_after,
        body=piece,
    )
    await cluster.add_server(engine)
    return engine


def check_complete(response: httpcore.Response) -> None:
    """Checks that a response has every event once."""
    lines = response.content.decode().splitlines()
    ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
    assert response.status == 200
    assert ids == list(range(1, EVENTS + 1))


async def _stop_elsewhere(engines: Sequence[EndlessServer]) -> None:
    """Has the engine that does not run the request write its events."""
    while not any(engine.runs for engine in engines):
        await anyio.sleep(0.001)
    for engine in engines:
        if not engine.runs:
            engine.body = b""


@pytest.mark.parametrize("name", list(PIECES))
@pytest.mark.parametrize("silent_after", [0, 3])
async def test_stream_without_event_ends_goes_on_elsewhere(
    name: str, silent_after: int
) -> None:
    """Guards against a process that ends over its memory (review, case 5).

    The client gets all events once, and the first engine is left.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = [
            await add_engine(cluster, engine_name, PIECES[name], silent_after)
            for engine_name in ("e1", "e2")
        ]
        async with (
            entry_instances.run_instance(cluster) as instance,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(_stop_elsewhere, engines)
            check_complete(await instance.generate("r1"))
        assert [engine.runs for engine in engines] == [["r1"], ["r1"]]
        assert sum(engine.sent for engine in engines) < MAX_HELD_BYTES
        assert sorted(engine.abandoned for engine in engines) == [[], ["r1"]]


async def test_stream_without_event_ends_is_cut_if_it_must_run_once() -> None:
    """Guards against a process that ends over its memory (review, case 5).

    The events that arrived are forwarded, and the response has no end.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engine = await add_engine(cluster, "e1", PIECES["comments"], 3)
        async with entry_instances.run_instance(cluster) as instance:
            with pytest.raises(httpcore.RemoteProtocolError):
                await instance.generate("r1", path="/once-stream/x")
        assert engine.runs == ["r1"]
        assert engine.abandoned == ["r1"]
        assert engine.sent < MAX_HELD_BYTES


class WaitingServer(EndlessServer):
    """Goes on only once the other engine is left, if it has none of `body`.

    Attributes:
        other: The other engine.
    """

    __slots__ = ("other",)

    other: EndlessServer

    async def _send_stream(
        self,
        head: dict[str, str],
        headers: tuple[tuple[bytes, bytes], ...],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        if not self.body:
            self.silent_after, self.silence_s = 1, 1.0
        await EndlessServer._send_stream(self, head, headers, receive, send)

    async def _pause(self, request_id: str, receive: asgi.Receive) -> None:
        with anyio.fail_after(self.silence_s):
            while request_id not in self.other.abandoned:
                await anyio.sleep(0.005)


async def test_engine_is_left_before_its_stream_goes_on_elsewhere() -> None:
    """Guards against two engines that work on one stream (rule TWICE).

    Bytes, but no events of the first engine arrive without end. The second one
    goes on after its first event only if the first one is left by then.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = [
            WaitingServer(
                name,
                slots=3,
                adapters={"a1": 1},
                silent_after=3,
                body=COMMENT_EVENTS,
            )
            for name in ("e1", "e2")
        ]
        for engine, other in zip(engines, reversed(engines), strict=True):
            engine.other = other
            await cluster.add_server(engine)
        async with (
            entry_instances.run_instance(cluster) as instance,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(_stop_elsewhere, engines)
            check_complete(await instance.generate("r1"))
        assert sorted(engine.abandoned for engine in engines) == [[], ["r1"]]
