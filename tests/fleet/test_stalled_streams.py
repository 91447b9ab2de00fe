"""Tests of streams that stall while bytes arrive, and of late second copies.

Load pattern: an engine in trouble sends comments instead of events, or repeats
a refusal after the next request on its connection.
"""

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest

from tamaracktide.gateway import asgi
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

pytestmark = pytest.mark.anyio

TRICKLE_PERIOD_S = 0.2
EVENTS = 10


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


class TricklingServer(fleet_cluster.Server):
    """Sends comments instead of the events after `silent_after`."""

    __slots__ = ()

    async def _send_stream(
        self,
        head: dict[str, str],
        headers: tuple[tuple[bytes, bytes], ...],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        if not self.silence_s:
            await super()._send_stream(head, headers, receive, send)
            return
        kind = (b"content-type", b"text/event-stream")
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": [*headers, kind]})
        for number in range(1, (self.silent_after or 0) + 1):
            await self._write(send, b"id: %d\ndata: t%d\n\n" % (number, number))
        with anyio.move_on_after(self.silence_s):
            while True:
                await self._write(send, b": wait\n\n")
                await anyio.sleep(TRICKLE_PERIOD_S)

    async def _write(self, send: asgi.Send, body: bytes) -> None:
        await send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )


async def _stop_trickle_elsewhere(
    engines: list[fleet_cluster.Server],
) -> None:
    """Has the engine that does not run the request write its events."""
    while not any(engine.runs for engine in engines):
        await anyio.sleep(0.01)
    for engine in engines:
        if not engine.runs:
            engine.silence_s = 0.0


async def test_stream_of_comments_goes_on_elsewhere() -> None:
    """The client gets all events once, within the patience of clients."""
    async with fleet_cluster.run_cluster() as cluster:
        engines = [
            await cluster.add_server(
                TricklingServer(
                    name,
                    slots=3,
                    adapters={"a1": 1},
                    silent_after=3,
                    silence_s=30.0,
                )
            )
            for name in ("e1", "e2")
        ]
        async with (
            entry_instances.run_instance(cluster) as instance,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(_stop_trickle_elsewhere, engines)
            response = await instance.generate("r1")
    lines = response.content.decode().splitlines()
    ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
    assert response.status == 200
    assert ids == list(range(1, EVENTS + 1))


class LateAdapterServer(fleet_cluster.Server):
    """Lacks an adapter once more than it says."""

    __slots__ = ()

    async def _handle_request(
        self, head: dict[str, str], receive: asgi.Receive, send: asgi.Send
    ) -> None:
        self.refuses = not self.arrivals
        await super()._handle_request(head, receive, send)


async def test_retry_at_the_same_engine_uses_a_new_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late copy of the refusal would say "not run" of a request that runs."""
    opened: list[tuple[str, bool]] = []
    real_open = streams.StreamClient.open

    async def record_open(
        client: streams.StreamClient,
        call: calls.Call,
        *,
        fresh: bool = False,
        on_silence: streams.OnSilence | None = None,
        admit: streams.Admit | None = None,
        on_send: streams.OnSend | None = None,
    ) -> streams.StreamedResponse | calls.Failure:
        opened.append((call.target, fresh))
        return await real_open(
            client,
            call,
            fresh=fresh,
            on_silence=on_silence,
            admit=admit,
            on_send=on_send,
        )

    monkeypatch.setattr(streams.StreamClient, "open", record_open)
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(LateAdapterServer("e1", slots=3))
        async with entry_instances.run_instance(cluster) as instance:
            response: httpcore.Response = await instance.generate("r1")
    assert response.status == 200
    sent = [fresh for target, fresh in opened if target == "/stream/x"]
    assert sent == [False, True]
