"""Tests of the TCP streams that read ahead.

Load pattern: many streams of short events, and peers that close, reset or go
silent in the middle.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import errno
import os
import socket
import struct
import time

import anyio
import anyio.abc
import httpcore
import pytest

from tamaracktide.upstreams import network

pytestmark = pytest.mark.anyio

READ_TIMEOUT_S = 0.1

Peer = Callable[[anyio.abc.SocketStream], Awaitable[None]]


@pytest.fixture
def anyio_backend() -> str:
    """The streams use asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def connect(peer: Peer) -> AsyncIterator[network.Stream]:
    """Opens a stream to a peer that runs `peer` and then closes."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await peer(stream)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        stream = await network.Backend().connect_tcp(
            "127.0.0.1",
            port,
            1.0,
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )
        yield stream
        await stream.aclose()
        tasks.cancel_scope.cancel()


async def read_all(stream: network.Stream) -> bytes:
    """Returns everything up to the end of a stream."""
    parts: list[bytes] = []
    while part := await stream.read(1000, 1.0):
        parts.append(part)
    return b"".join(parts)


async def test_bytes_arrive_in_order_up_to_the_end() -> None:
    """More than the read-ahead limit is transferred, and nothing is lost."""
    sent = bytes(range(256)) * 4 * 1024

    async def send(stream: anyio.abc.SocketStream) -> None:
        await stream.send(sent)

    async with connect(send) as stream:
        await anyio.sleep(0.05)
        assert await read_all(stream) == sent
        assert await stream.read(10, 1.0) == b""


async def test_reader_that_stops_slows_down_its_peer() -> None:
    """At most the limit and the socket buffers are held for a slow reader."""
    sent = collections.Counter[str]()

    async def send(stream: anyio.abc.SocketStream) -> None:
        for _ in range(1000):
            await stream.send(b"x" * 64 * 1024)
            sent["chunks"] += 1

    async with connect(send) as stream:
        await anyio.sleep(0.2)
        assert 0 < sent["chunks"] < 500
        received = sum([len(await stream.read(1 << 20, 1.0)) for _ in range(9)])
        assert received > 0


async def test_silence_ends_with_a_timeout_and_loses_nothing() -> None:
    """Bytes that arrive after a timeout are read by the next call."""

    async def send_late(stream: anyio.abc.SocketStream) -> None:
        await anyio.sleep(0.15)
        await stream.send(b"late")
        await anyio.sleep(1.0)

    async with connect(send_late) as stream:
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(10, 0.05)
        assert await stream.read(10, 1.0) == b"late"


async def test_reset_is_an_error_and_not_the_end() -> None:
    """A response that is reset on the way must not look complete."""

    async def reset(stream: anyio.abc.SocketStream) -> None:
        await stream.send(b"part")
        await anyio.sleep(0.05)
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async with connect(reset) as stream:
        assert await stream.read(10, 1.0) == b"part"
        with pytest.raises(httpcore.ReadError):
            await stream.read(10, 1.0)
        with pytest.raises(httpcore.WriteError):
            await stream.write(b"x", 1.0)


async def test_idle_connection_with_unrequested_bytes_is_unusable() -> None:
    """So is one that its peer has closed; a quiet one is usable."""

    async def send_late(stream: anyio.abc.SocketStream) -> None:
        await anyio.sleep(0.05)
        await stream.send(b"unrequested")
        await anyio.sleep(0.05)

    async with connect(send_late) as stream:
        assert not stream.get_extra_info("is_readable")
        await anyio.sleep(0.08)
        assert stream.get_extra_info("is_readable")
        assert await stream.read(100, 1.0) == b"unrequested"
        await anyio.sleep(0.1)
        assert stream.get_extra_info("is_readable")


async def test_write_to_a_peer_that_does_not_read_times_out() -> None:
    """A blocked write does not hold a request beyond its time."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        # Never accepted: streams that anyio accepts read without being asked.
        port = listener.getsockname()[1]
        stream = await network.Backend().connect_tcp("127.0.0.1", port, 1.0)
        with pytest.raises(httpcore.WriteTimeout), anyio.fail_after(1.0):
            await stream.write(b"x" * (32 << 20), 0.1)
        await stream.aclose()


async def test_refused_connection_is_an_error() -> None:
    """The upstream certainly did not run the request."""
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        port = closed.getsockname()[1]
        with pytest.raises(httpcore.ConnectError):
            await network.Backend().connect_tcp("127.0.0.1", port, 1.0)


async def test_each_read_has_its_own_timeout() -> None:
    """A timer that was started for an earlier read does not end a later one."""

    async def send_twice(stream: anyio.abc.SocketStream) -> None:
        for part in (b"first", b"second", b"third"):
            await anyio.sleep(0.1)
            await stream.send(part)
        await anyio.sleep(1.0)

    async with connect(send_twice) as stream:
        assert await stream.read(10, 0.15) == b"first"
        assert await stream.read(10, 0.15) == b"second"
        assert await stream.read(10, 5.0) == b"third"
        started_at = anyio.current_time()
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(10, 0.05)
        assert 0.05 <= anyio.current_time() - started_at < 0.5


async def test_cancelled_read_leaves_the_stream_usable() -> None:
    """Its time-out does not end the next read, which gets the bytes."""

    async def send_late(stream: anyio.abc.SocketStream) -> None:
        await anyio.sleep(0.2)
        await stream.send(b"late")
        await anyio.sleep(1.0)

    async with connect(send_late) as stream:
        with anyio.move_on_after(0.05):
            await stream.read(10, 0.1)
        assert await stream.read(10, None) == b"late"


async def test_connection_that_timed_out_is_broken_and_not_silent() -> None:
    """Guards against a request that spins on a dead connection (incident LOST).

    The kernel reports a peer that acknowledges nothing as ETIMEDOUT, which is
    a `TimeoutError` as well.
    """

    async def wait(stream: anyio.abc.SocketStream) -> None:
        await anyio.sleep_forever()

    async with connect(wait) as stream:
        stream._receiver.connection_lost(
            TimeoutError(errno.ETIMEDOUT, "timed out")
        )
        for _ in range(2):
            with pytest.raises(httpcore.ReadError):
                await stream.read(1000, 1.0)
        with pytest.raises(httpcore.WriteError):
            await stream.write(b"late", 1.0)


async def test_end_is_seen_before_the_loop_reads_it() -> None:
    """Guards against a stream resumed after a restart in place (ORDER).

    The end of a process counts before the next connection, also behind data
    that was not read yet.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        stream = await network.Backend().connect_tcp("127.0.0.1", port, 1.0)
        peer, _ = listener.accept()
        assert not stream.has_ended()
        peer.sendall(b"data")
        assert not stream.has_ended()
        peer.close()
        assert stream.has_ended()
        assert not stream.get_extra_info("is_readable")
        await stream.aclose()


async def test_closed_stream_has_ended() -> None:
    """Its descriptor may belong to another connection by then."""
    async with connect(lambda _: anyio.sleep_forever()) as stream:
        await stream.aclose()
        await anyio.sleep(0)
        assert stream.has_ended()


async def test_bytes_that_arrive_during_a_pause_are_no_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a sound upstream that is given up as silent (TWICE).

    A process that goes on after a pause runs its timers before it reads what
    has arrived: its selector returns without events once.
    """
    selector = asyncio.get_running_loop()._selector  # type: ignore[attr-defined]

    async def send_in_a_pause(stream: anyio.abc.SocketStream) -> None:
        await anyio.sleep(READ_TIMEOUT_S / 2)
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with socket.socket(fileno=os.dup(raw.fileno())) as copy:
            copy.send(b"late")
        time.sleep(READ_TIMEOUT_S)
        real_select = selector.select

        def select_nothing(timeout: float | None) -> list[object]:
            monkeypatch.setattr(selector, "select", real_select)
            return []

        monkeypatch.setattr(selector, "select", select_nothing)
        await stream.receive()

    async with connect(send_in_a_pause) as stream:
        assert await stream.read(10, READ_TIMEOUT_S) == b"late"
