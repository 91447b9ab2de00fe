"""A server that sends a head without end ends the entry instances.

One of three servers of a plain service is in trouble: it answers with bytes
that are no answer, without end, in a head, until the caller closes. Requests
for another, sound service are in progress on kept connections meanwhile. The
script kills and restarts an instance whose memory exceeds `MemoryMb`, as the
platform does.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402
from standins import web  # noqa: E402

MEMORY_MB = 560
"""The largest of a machine of the small sites (430 to 560 MB)."""

RATE_BYTES_PER_S = 40e6
"""At most 320 Mbit/s from the server in trouble, over all its connections; the
links of the small sites carry 1,500 to 2,000 Mbit/s."""

TROUBLE_S = 20.0
KEPT_CONNECTIONS = 8
WORK_S = 0.6
"""Work of the sound service for a request."""


class Trouble:
    """Sends a head without end, until the caller closes."""

    def __init__(self, record: d.Record) -> None:
        self._record = record
        self.is_on = False
        self.open = 0
        self.sent = 0
        self.lines = b"".join(
            b"X-Note-%04d: %s\r\n" % (n, b"n" * 16) for n in range(1600)
        )

    async def send(self, request: web.Request, writer) -> None:
        if not self.is_on:
            return
        request_id = request.headers["x-request-id"]
        self._record(f"head without end begins for {request_id}")
        sent = 0
        self.open += 1
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n")
            while True:
                writer.write(self.lines)
                await writer.drain()
                sent += len(self.lines)
                self.sent += len(self.lines)
                pause_s = self.open * len(self.lines) / RATE_BYTES_PER_S
                await asyncio.sleep(pause_s)
        except ConnectionError:
            raise web.Abort from None
        finally:
            self.open -= 1
            self._record(f"head for {request_id} ended after {sent >> 20} MB")


def read_rss_mb(pid: int) -> float:
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def enforce_memory(deployment, record, instance, ends, peaks) -> None:
    """Kills an instance over its memory, and starts it again."""
    while True:
        await asyncio.sleep(0.02)
        rss_mb = read_rss_mb(instance.process.pid)
        peaks[instance.name] = max(peaks.get(instance.name, 0), rss_mb)
        if rss_mb > MEMORY_MB:
            record(f"{instance.name} uses {rss_mb:.0f} MB: killed")
            ends.append((time.monotonic(), instance.name))
            deployment.kill(instance)
            await asyncio.sleep(0.5)
            deployment.start(instance)


async def keep_requesting(record, instance, index, stop, tally) -> None:
    """Sends requests for the sound service on a connection that is kept."""
    host, _, port = instance.front.rpartition(":")
    number = 0
    while not stop.is_set():
        try:
            connection = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.2)
            continue
        on_this = 0
        while not stop.is_set():
            number += 1
            request_id = f"kept-{instance.name}-{index}-{number}"
            answer = await web.call(
                instance.front,
                "POST",
                "/book/2f",
                d.make_headers(request_id, 8000),
                b"body",
                timeout_s=9.0,
                connection=connection,
            )
            tally.append((request_id, on_this, answer))
            record.quiet(f"{request_id}: {answer.status} {answer.error}")
            if not answer.complete:
                break
            on_this += 1
            await asyncio.sleep(0.05)
        connection[1].transport.abort()


async def ask_troubled(record, instance, stop) -> None:
    """Sends requests for the service with the server in trouble."""
    number = 0
    tasks = []
    while not stop.is_set():
        number += 1
        request_id = f"look-{instance.name}-{number}"

        async def send(request_id: str) -> None:
            answer = await web.call(
                instance.front,
                "POST",
                "/look/1",
                d.make_headers(request_id, 8000),
                b"body",
                timeout_s=9.0,
            )
            record.quiet(
                f"{request_id}: {answer.status} {answer.error} "
                f"after {answer.seconds:.2f} s"
            )

        tasks.append(asyncio.create_task(send(request_id)))
        await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()


async def case(deployment: d.Deployment, record: d.Record) -> bool:
    store = deployment.store
    for name, zone in (("front-1", "a"), ("front-2", "b")):
        deployment.add_instance(name, zone)
    deployment.set_seeds()
    await deployment.start_store()
    routes = [
        d.make_route("look", "list", "idempotent"),
        d.make_route("book", "desk", "non_idempotent"),
    ]
    store.put("config", "main", d.make_manifest(3, routes))
    for name, zone in (("desk-1", "a"), ("desk-2", "b")):
        await deployment.add_server(name, "desk", zone, work_s=WORK_S)
    for name, zone in (("list-1", "a"), ("list-2", "b"), ("list-3", "c")):
        await deployment.add_server(name, "list", zone)
    trouble = Trouble(record)
    deployment.servers["list-2"].before_answer = trouble.send
    instances = list(deployment.instances.values())
    ends: list = []
    peaks: dict[str, float] = {}
    tally: list = []
    stop = asyncio.Event()
    for instance in instances:
        deployment.start(instance)
    for instance in instances:
        await deployment.wait_ready(instance)
    await asyncio.sleep(4.0)
    tasks = []
    for instance in instances:
        tasks.append(
            enforce_memory(deployment, record, instance, ends, peaks)
        )
        tasks.append(ask_troubled(record, instance, stop))
        for index in range(KEPT_CONNECTIONS // 2):
            tasks.append(keep_requesting(record, instance, index, stop, tally))
    running = [asyncio.create_task(task) for task in tasks]
    await asyncio.sleep(4.0)
    if d.is_troubled():
        record("list-2 is in trouble from now on")
        trouble.is_on = True
    await asyncio.sleep(TROUBLE_S)
    trouble.is_on = False
    stop.set()
    await asyncio.sleep(1.0)
    for task in running:
        task.cancel()
    ran = {i for s in ("desk-1", "desk-2") for _, i, _ in deployment.servers[s].runs}
    lost = [
        request_id
        for request_id, on_this, answer in tally
        if request_id in ran and on_this and not answer.status
        and answer.error != "TimeoutError"
    ]
    for request_id in lost:
        record(f"lost: {request_id} was run by a sound server, no answer")
    record(
        f"{len(tally)} requests on kept connections, {len(lost)} passed on and "
        f"closed without an answer; instances ended {len(ends)} times; "
        f"peak memory {({n: round(m) for n, m in peaks.items()})} MB; "
        f"{trouble.sent >> 20} MB sent in heads"
    )
    if len(tally) < 50:
        raise d.NotRunnable("too few requests")
    return len(lost) <= 3


if __name__ == "__main__":
    d.run_case(FOLDER, case)
