"""Plain upstreams that misbehave at random, but never lie about a request.

What says that a request has not run, names it, and is true of the attempt that
it answers. A refusal may be repeated where a later response is due.
"""

import collections
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import random
import time

import anyio
import anyio.abc
import fleet_cluster
import raw_upstreams

CLOSED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
NOT_RUN = "X-Not-Executed: 1"
REFUSE_FRACTION = 0.25
REPEAT_FRACTION = 0.5
WORK_TIMES_S = (0.0, 0.0, 0.005, 0.03, 0.2)
LISTED_TIMES_S = (0.0, 0.3, 1.0, 3.0)
"""Times for which the entry of the server before at an address is listed."""

make = raw_upstreams.make_response


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Bytes that answer a request that has run.

    Attributes:
        data: What is sent.
        ends: Whether the connection is closed then.
    """

    data: bytes
    ends: bool = False


def cut(data: bytes, rng: random.Random) -> Answer:
    """Returns an answer that breaks off."""
    return Answer(data[: rng.randrange(len(data))], ends=True)


ANSWERS: tuple[Callable[[str, bytes, random.Random], Answer], ...] = (
    lambda name, whole, rng: Answer(whole),
    lambda name, whole, rng: Answer(make(503, NOT_RUN) + whole),
    lambda name, whole, rng: Answer(make(421) + whole),
    lambda name, whole, rng: Answer(make(408, name) + whole),
    lambda name, whole, rng: Answer(make(503, name)),
    lambda name, whole, rng: Answer(make(500, name)),
    lambda name, whole, rng: Answer(b"", ends=True),
    lambda name, whole, rng: cut(whole, rng),
    lambda name, whole, rng: Answer(
        f"HTTP/1.1 103 X\r\n{NOT_RUN}\r\n{name}\r\n\r\n".encode() + whole
    ),
)
"""What may answer a request that has run, by its header with its id."""


class RandomUpstream:
    """An upstream that starts again in place, under another id each time."""

    def __init__(
        self,
        cluster: fleet_cluster.Cluster,
        name: str,
        rng: random.Random,
        runs: collections.Counter[str],
    ) -> None:
        """Starts nothing.

        Args:
            cluster: Where it registers.
            name: First part of its instance ids.
            rng: Makes its choices.
            runs: Counts the runs of each request.
        """
        self._cluster = cluster
        self._rng = rng
        self._runs = runs
        self._names = (f"{name}-{number}" for number in itertools.count())
        self._name = ""
        self._port = 0
        self._open: set[anyio.abc.SocketStream] = set()

    async def start(self) -> None:
        """Listens until the cluster ends, and registers."""
        self._port = await raw_upstreams.serve(self._cluster, self)
        self._register()

    async def restart(self) -> None:
        """Takes another id; most of its connections end."""
        before = self._name
        for stream in list(self._open):
            if self._rng.random() < 0.5:
                await anyio.aclose_forcefully(stream)
        self._register()
        self._cluster.tasks.start_soon(self._lapse, before)

    def _register(self) -> None:
        self._name = next(self._names)
        born = int(time.time() * 1000)
        server = fleet_cluster.Server(self._name, port=self._port, born=born)
        self._cluster.servers[self._name] = server
        self._cluster.register(server)

    async def _lapse(self, name: str) -> None:
        await anyio.sleep(self._rng.choice(LISTED_TIMES_S))
        self._cluster.store.remove("servers", name)

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves the requests of one connection."""
        self._open.add(stream)
        repeated: list[bytes] = []
        async with stream:
            with contextlib.suppress(*CLOSED):
                while await self._respond(stream, repeated):
                    pass
        self._open.discard(stream)

    async def _respond(
        self, stream: anyio.abc.SocketStream, repeated: list[bytes]
    ) -> bool:
        """Answers a request; returns whether the connection goes on."""
        headers = await raw_upstreams.receive_request(stream)
        request_id = headers["x-request-id"]
        earlier = repeated.pop() if repeated else b""
        name = f"X-Request-Id: {request_id}"
        refusal = self._find_refusal(headers["x-expect-instance"], name)
        if refusal:
            await stream.send(earlier + refusal)
            if self._rng.random() < REPEAT_FRACTION:
                repeated.append(refusal)
            return True
        self._runs[request_id] += 1
        await anyio.sleep(self._rng.choice(WORK_TIMES_S))
        whole = raw_upstreams.make_success(request_id)
        answer = self._rng.choice(ANSWERS)(name, whole, self._rng)
        await stream.send(earlier + answer.data)
        return not answer.ends

    def _find_refusal(self, expected: str, name: str) -> bytes:
        if expected != self._name:
            return make(421, name)
        if self._rng.random() < REFUSE_FRACTION:
            return make(self._rng.choice((400, 429, 503)), name, NOT_RUN)
        return b""
