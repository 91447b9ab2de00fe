"""Machines that kill a process over its memory, and callers of a sound service.

Cases in which a server sends bytes without end use them.
"""

import asyncio
import contextlib
import pathlib
import time

from standins import deployment as d
from standins import web

MEMORY_MB = 430
"""`MemoryMb` as in the settings that DEPLOY.md shows; the small sites have 430 to
560 MB."""

RATE_BYTES_PER_S = 40e6
"""At most 320 Mbit/s from the server in trouble, over all its connections; the
links of the small sites carry 1,500 to 2,000 Mbit/s."""


class EndlessSender:
    """Sends a piece of bytes again and again, until the caller closes."""

    def __init__(self, record: d.Record, piece: bytes) -> None:
        self._record = record
        self._piece = piece
        self._open = 0
        self.is_on = False
        self.sent = 0

    async def send(self, head: bytes, request_id: str, writer) -> None:
        """Sends a head and the piece without end."""
        self._record(f"bytes without end begin for {request_id}")
        sent = 0
        self._open += 1
        try:
            writer.write(head)
            while True:
                writer.write(self._piece)
                await writer.drain()
                sent += len(self._piece)
                self.sent += len(self._piece)
                pause_s = self._open * len(self._piece) / RATE_BYTES_PER_S
                await asyncio.sleep(pause_s)
        except ConnectionError:
            raise web.Abort from None
        finally:
            self._open -= 1
            self._record(f"caller closed {request_id} after {sent >> 20} MB")


def read_rss_mb(pid: int) -> float:
    with contextlib.suppress(OSError):
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Machines:
    """Kills instances over their memory, and starts them again."""

    def __init__(self, deployment: d.Deployment, record: d.Record) -> None:
        self._deployment = deployment
        self._record = record
        self.ends: list[tuple[float, str]] = []
        self.peaks: dict[str, float] = {}

    async def watch(self, instance: d.Instance) -> None:
        while True:
            await asyncio.sleep(0.02)
            rss_mb = read_rss_mb(instance.process.pid)
            name = instance.name
            self.peaks[name] = max(self.peaks.get(name, 0), rss_mb)
            if rss_mb <= MEMORY_MB:
                continue
            self._record(f"{name} uses {rss_mb:.0f} MB: killed")
            self.ends.append((time.monotonic(), name))
            self._deployment.kill(instance)
            await asyncio.sleep(0.5)
            self._deployment.start(instance)


class Callers:
    """Requesters of a sound service, on connections that they keep."""

    def __init__(self, record: d.Record, path: str) -> None:
        self._record = record
        self._path = path
        self.stop = asyncio.Event()
        self.tally: list[tuple[str, int, web.Answer]] = []

    async def keep_requesting(self, instance: d.Instance, index: int) -> None:
        host, _, port = instance.front.rpartition(":")
        number = 0
        # Callers are not in step with each other.
        await asyncio.sleep(0.13 * index)
        while not self.stop.is_set():
            try:
                connection = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            number = await self._use(connection, instance, index, number)
            connection[1].transport.abort()

    async def _use(self, connection, instance, index, number) -> int:
        on_this = 0
        while not self.stop.is_set():
            number += 1
            request_id = f"kept-{instance.name}-{index}-{number}"
            answer = await web.call(
                instance.front,
                "POST",
                self._path,
                d.make_headers(request_id, 8000),
                b"body",
                timeout_s=9.0,
                connection=connection,
            )
            self.tally.append((request_id, on_this, answer))
            self._record.quiet(f"{request_id}: {answer.status} {answer.error}")
            if not answer.complete:
                break
            on_this += 1
            await asyncio.sleep(0.05)
        return number

    def list_lost(self, servers) -> list[str]:
        """Requests that kept connections brought and sound servers ran, whose

        connection was closed without an answer.
        """
        ran = {i for server in servers for _, i, _ in server.runs}
        return [
            request_id
            for request_id, on_this, answer in self.tally
            if request_id in ran
            and on_this
            and not answer.status
            and answer.error != "TimeoutError"
        ]


async def send_often(record, instance, path, name, stop, period_s, **extra):
    """Sends requests, each on a new connection, without waiting for answers."""
    number = 0
    tasks = []

    async def send(request_id: str) -> None:
        answer = await web.call(
            instance.front,
            "POST",
            path,
            d.make_headers(request_id, **extra),
            b"body",
            timeout_s=30.0,
        )
        record.quiet(
            f"{request_id}: {answer.status} {answer.error} "
            f"after {answer.seconds:.2f} s"
        )

    while not stop.is_set():
        number += 1
        request_id = f"{name}-{instance.name}-{number}"
        tasks.append(asyncio.create_task(send(request_id)))
        await asyncio.sleep(period_s)
    for task in tasks:
        task.cancel()


async def judge(deployment, record, machines, callers, sender, services):
    """Returns whether LOST held; writes what was seen to the record."""
    servers = [
        s for s in deployment.servers.values() if s.service in services
    ]
    lost = callers.list_lost(servers)
    for request_id in lost:
        record(f"lost: {request_id} was run by a sound server, no answer")
    peaks = {name: round(mb) for name, mb in machines.peaks.items()}
    record(
        f"{len(callers.tally)} requests on kept connections, {len(lost)} "
        f"passed on and closed without an answer; instances ended "
        f"{len(machines.ends)} times; peak memory {peaks} MB; "
        f"{sender.sent >> 20} MB sent without end"
    )
    if len(callers.tally) < 50:
        raise d.NotRunnable("too few requests")
    return len(lost) <= 3
