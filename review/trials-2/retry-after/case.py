"""A server that asks for a pause gets each request first.

BUDGET (the users' words, "New on the pages"): "More than two requests reach a server
from a machine between half a second after it has answered that machine 503 with
`Retry-After` and the end of that time." Not a case of the review: nothing is lost or
runs twice.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standins-2"))

import standins

PAUSE_S = 5
REQUESTS = 300
PER_S = 50.0
SETTLED_S = 0.5
MAX_LATE = 2


class Full(standins.Server):
    """A server that turns all requests away and asks for a pause."""

    async def answer(
        self, head: standins.Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.values.get("x-request-id", "")
        self.arrived.append((standins.clock(), request_id))
        headers = self.describe(request_id)
        headers.update({"X-Not-Executed": "1", "Retry-After": str(PAUSE_S)})
        writer.write(standins.make_answer(503, headers))


async def case(
    record: standins.Record, directory: pathlib.Path, trouble: bool
) -> list[str]:
    ports = standins.find_ports(6)
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    route = standins.make_route("r1", "/sign/", "non_idempotent", "tracker")
    manifest = standins.make_manifest([route], [standins.make_service("tracker")])
    store.put("config", "main", manifest)
    tasks = [asyncio.create_task(store.expire())]
    first = Full if trouble else standins.Server
    servers = [
        kind(store, record, f"i-{number}", "tracker")
        for number, kind in enumerate((first, standins.Server, standins.Server), 1)
    ]
    for server in servers:
        await server.listen("127.0.0.1")
        tasks.append(asyncio.create_task(server.beat()))
    instance = standins.Instance(
        record, directory, "front-1", "127.0.0.2", ports, store.address
    )
    statuses: list[int] = []

    async def send(number: int) -> None:
        headers = {
            "Host": "ficu95.example",
            "X-Request-Id": f"q{number}",
            "X-Deadline-Ms": "2500",
        }
        reply = await standins.send(
            instance.front, "POST", f"/sign/{number}", headers, b"sign-off"
        )
        statuses.append(reply.status)

    try:
        await instance.start()
        await asyncio.sleep(1.0)
        jobs = []
        for number in range(REQUESTS):
            jobs.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*jobs)
    finally:
        await instance.stop()
        for task in tasks:
            task.cancel()
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.write(f"answered: {counts}")
    arrived = servers[0].arrived if trouble else []
    if trouble and not arrived:
        raise standins.CannotRunError("no request reached the server")
    late = [
        at for at, _ in arrived if SETTLED_S < at - arrived[0][0] < PAUSE_S
    ]
    if len(late) <= MAX_LATE:
        return []
    return [
        f"BUDGET: {len(late)} requests reached the server from {SETTLED_S} to "
        f"{PAUSE_S} s after its first 503 with Retry-After (bound {MAX_LATE}); of "
        f"{REQUESTS} requests, with two servers free, the answers were {counts}"
    ]


standins.main(case)
