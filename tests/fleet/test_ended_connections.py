"""Tests of connections to upstreams that end, on real sockets.

Load pattern: processes of upstreams are killed, and clients leave, while
responses are under way.
"""

import asyncio
import socket
import time

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest
import raw_servers

from tamaracktide.entry import pauses

pytestmark = pytest.mark.anyio

STREAM_HEAD = "Content-Type: text/event-stream"
EXIT_S = 0.005
"""Time in which the kernel ends a process."""

READ_S = 0.1
"""Time in which an instance forwards the events that have arrived."""

PAUSE_S = pauses.MIN_PAUSE_S + pauses.TICK_S
"""Pause of a process that counts as held up."""

LEAVING_S = 1.0
"""Time after which an instance knows that an upstream is leaving."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def make_events(*numbers: int) -> bytes:
    """Returns events with ids."""
    return b"".join(b"id: %d\ndata: t\n\n" % number for number in numbers)


async def write_two_events(
    request_id: str, writer: asyncio.StreamWriter
) -> None:
    """Writes the beginning of a stream with neither a length nor chunks."""
    writer.write(raw_servers.make_head(request_id, STREAM_HEAD))
    writer.write(make_events(1, 2))
    await writer.drain()


async def test_stream_of_a_killed_upstream_is_not_complete() -> None:
    """Guards against a stream that ends before its last event (ORDER).

    Without length or chunks, the end of a process ends it like a complete one.
    """

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await write_two_events(request_id, writer)
        server.stop_listening()
        raise ConnectionError("killed")

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(
            cluster, "e1", respond, is_engine=True
        ) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        with pytest.raises(httpcore.RemoteProtocolError):
            await instance.generate("r1")


async def test_killed_upstream_may_still_listen_when_its_stream_ends() -> None:
    """Guards against a stream that ends before its last event (ORDER).

    The kernel may close the connections of a process before its listener.
    """

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await write_two_events(request_id, writer)
        server.kill_after(EXIT_S)
        raise ConnectionError("killed")

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(
            cluster, "e1", respond, is_engine=True
        ) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        with pytest.raises(httpcore.RemoteProtocolError):
            await instance.generate("r1")


async def test_stream_of_a_killed_upstream_that_leaves_is_not_complete() -> (
    None
):
    """Guards against a stream that ends before its last event (ORDER).

    An upstream that is removed at short notice ends whatever it is running.
    """

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await write_two_events(request_id, writer)
        cluster.register(cluster.servers["e1"], state="draining")
        await anyio.sleep(LEAVING_S)
        server.stop_listening()
        raise ConnectionError("killed")

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(
            cluster, "e1", respond, is_engine=True
        ) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        with pytest.raises(httpcore.RemoteProtocolError):
            await instance.generate("r1")


async def test_stream_of_an_upstream_that_vanished_is_not_complete() -> None:
    """Guards against a stream that ends before its last event (ORDER).

    The machine goes with its process: nobody refuses a connection.
    """

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await write_two_events(request_id, writer)
        opened.extend(server.stop_answering())
        raise ConnectionError("gone")

    opened: list[socket.socket] = []
    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(
            cluster, "e1", respond, is_engine=True
        ) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        try:
            with pytest.raises(httpcore.RemoteProtocolError):
                await instance.generate("r1")
        finally:
            for left in opened:
                left.close()


async def test_upstream_may_have_started_again_during_a_pause() -> None:
    """Guards against a stream that ends before its last event (ORDER).

    The process that checks whether the upstream has ended was held up.
    """

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await write_two_events(request_id, writer)
        await anyio.sleep(READ_S)
        writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        started.append(server.start_again())
        # Nothing else runs meanwhile, as in a stopped process.
        time.sleep(PAUSE_S)
        raise ConnectionError("killed")

    started: list[socket.socket] = []
    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(
            cluster, "e1", respond, is_engine=True
        ) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        try:
            with pytest.raises(httpcore.RemoteProtocolError):
                await instance.generate("r1")
        finally:
            for left in started:
                left.close()


async def test_body_of_a_killed_upstream_is_not_complete() -> None:
    """Guards against a part of a body that passes for all of it (MIXED)."""

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(raw_servers.make_head(request_id) + b"par")
        await writer.drain()
        server.stop_listening()
        raise ConnectionError("killed")

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(cluster, "p1", respond) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        response = await instance.send("/once/x", "r1")
        assert response.status == 502


async def test_response_is_of_one_upstream() -> None:
    """Guards against the head of one upstream with another one's body (MIXED).

    A request that may be repeated is answered with events, which no upstream
    can continue; the first upstream ends after the head.
    """

    def make_respond(name: str) -> raw_servers.Respond:
        async def respond(
            request_id: str,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            event = f"id: 1\ndata: {name}\n\n"
            lines = (
                STREAM_HEAD,
                f"Content-Length: {len(event)}",
                f"X-By: {name}",
            )
            writer.write(raw_servers.make_head(request_id, *lines))
            asked.append(name)
            if len(asked) == 1:
                await writer.drain()
                await anyio.sleep(READ_S)
                raise ConnectionError("killed")
            writer.write(event.encode())

        return respond

    asked: list[str] = []
    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(cluster, "p1", make_respond("p1")),
        raw_servers.run_server(cluster, "p2", make_respond("p2")),
        entry_instances.run_instance(cluster) as instance,
    ):
        response = await instance.send("/safe/x", "r1")
    assert response.status == 200
    name = dict(response.headers)[b"x-by"]
    assert response.content == b"id: 1\ndata: %s\n\n" % name


async def test_stream_that_ends_with_its_connection_is_complete() -> None:
    """An upstream that goes on may end a stream in this way."""

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await write_two_events(request_id, writer)
        raise ConnectionError("complete")

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(cluster, "e1", respond, is_engine=True),
        entry_instances.run_instance(cluster) as instance,
    ):
        response = await instance.generate("r1")
        assert response.content == make_events(1, 2)


async def test_upstream_at_its_connection_limit_has_not_ended() -> None:
    """Guards against a complete stream that passes for a part (LOST)."""

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await write_two_events(request_id, writer)
        server.max_accepted = 0
        raise ConnectionError("complete")

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(
            cluster, "e1", respond, is_engine=True
        ) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        response = await instance.generate("r1")
        assert response.content == make_events(1, 2)


async def test_upstream_notices_at_once_that_a_client_has_left() -> None:
    """Guards against work that goes on beside its continuation (TWICE, GONE).

    An upstream that only writes does not notice the end of its peer's side.
    """
    ends: list[str] = []
    begun = anyio.Event()

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(raw_servers.make_head(request_id, STREAM_HEAD))
        writer.write(make_events(1))
        await writer.drain()
        begun.set()
        try:
            await reader.read()
            ends.append("closed")
        except ConnectionResetError:
            ends.append("reset")

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(cluster, "e1", respond, is_engine=True),
        entry_instances.run_instance(cluster) as instance,
    ):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(instance.generate, "r1")
            await begun.wait()
            tasks.cancel_scope.cancel()

        async def has_ended() -> bool:
            return bool(ends)

        await entry_instances.wait_until(has_ended)
        assert ends == ["reset"]


async def test_trailer_is_no_header() -> None:
    """Guards against a run response that a trailer declares not run (TWICE)."""

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = raw_servers.make_head(
            request_id, "Transfer-Encoding: chunked", status="500 Failed"
        )
        writer.write(head + b"2\r\nno\r\n0\r\nX-Not-Executed: 1\r\n\r\n")
        await writer.drain()

    async with (
        fleet_cluster.run_cluster() as cluster,
        raw_servers.run_server(cluster, "p1", respond) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        response = await instance.send("/once/x", "r1")
        assert server.runs == ["r1"]
        assert response.status == 500
