"""Tests of the event loop with fewer system calls.

Load pattern: many streams, each of which pauses and resumes reading around
every event that it forwards.
"""

import os
import selectors
import socket

import anyio
import anyio.abc
import pytest

from tamaracktide import event_loop

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE


def poll(selector: event_loop.LazySelector) -> list[tuple[object, int]]:
    """Returns the data and events of what is ready now."""
    return [
        (key.data, events)
        for _ in range(event_loop.MAX_SKIPPED_POLLS + 1)
        for key, events in selector.select(0)
    ]


def test_poll_is_skipped_a_bounded_number_of_times() -> None:
    """Input waits for at most this many turns of ready callbacks."""
    selector = event_loop.LazySelector()
    near, far = socket.socketpair()
    selector.register(near.fileno(), READ, "near")
    far.send(b"x")
    for _ in range(event_loop.MAX_SKIPPED_POLLS):
        assert selector.select(0) == []
    (ready,) = selector.select(0)
    assert ready[0].data == "near"
    selector.close()
    near.close()
    far.close()


def test_unregistered_descriptor_reports_nothing_and_can_return() -> None:
    """Reading that is paused and resumed loses no input."""
    selector = event_loop.LazySelector()
    near, far = socket.socketpair()
    selector.register(near, READ, 1)
    selector.unregister(near)
    selector.register(near, READ, 2)
    far.send(b"x")
    assert poll(selector) == [(2, READ)]
    selector.unregister(near)
    assert poll(selector) == []
    selector.register(near, READ, 3)
    assert poll(selector) == [(3, READ)]
    selector.close()
    near.close()
    far.close()


def test_number_of_a_closed_descriptor_can_be_used_again() -> None:
    """The kernel forgets a closed descriptor without being told."""
    selector = event_loop.LazySelector()
    near, far = socket.socketpair()
    number = near.fileno()
    selector.register(number, READ, "old")
    selector.unregister(number)
    near.close()
    far.close()
    near, far = socket.socketpair()
    moved = near.fileno()
    if moved != number:
        os.dup2(moved, number)
    selector.register(number, READ, "new")
    far.send(b"x")
    assert poll(selector) == [("new", READ)]
    selector.close()
    if moved != number:
        os.close(number)
    near.close()
    far.close()


def test_events_and_data_can_be_changed() -> None:
    """A descriptor that waits to write as well reports both."""
    selector = event_loop.LazySelector()
    near, far = socket.socketpair()
    selector.register(near, READ, 1)
    selector.modify(near, READ | WRITE, 2)
    far.send(b"x")
    assert poll(selector) == [(2, READ | WRITE)]
    selector.modify(near, READ, 3)
    assert poll(selector) == [(3, READ)]
    with pytest.raises(KeyError):
        selector.register(near, READ, 4)
    selector.unregister(near)
    with pytest.raises(KeyError):
        selector.unregister(near)
    selector.close()
    near.close()
    far.close()


def test_streams_on_the_loop_transfer_everything() -> None:
    """Many concurrent streams with small chunks lose and mix nothing."""
    chunks = 200

    async def send(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            for number in range(chunks):
                await stream.send(b"%04d" % number)
                if number % 10 == 0:
                    await anyio.sleep(0.001)

    async def receive(port: int) -> None:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            received = b"".join([chunk async for chunk in stream])
        assert received == b"".join(b"%04d" % n for n in range(chunks))

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, send)
            async with anyio.create_task_group() as receivers:
                for _ in range(20):
                    receivers.start_soon(receive, port)
            tasks.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(
        run,
        backend="asyncio",
        backend_options={"loop_factory": event_loop.make_loop},
    )
