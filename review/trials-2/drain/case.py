"""A server says in its answers that it leaves, and still gets new streams."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "standins-2"))

import engines
import standins

MODEL = "daka510000"
DRAIN_S = 2.0
OUTAGE_S = 8.0
NOTICE_S = 2.5
STREAMS_PER_S = 60.0
EVENTS = 60


def make_manifest() -> dict:
    service = standins.make_service("drafter", Engine=engines.make_profile(MODEL))
    route = standins.make_route(
        "r1",
        "/roles/",
        "streaming",
        "drafter",
        TimeoutMs=25000,
        TargetLatencyMs=1000,
        Priority=1,
        SessionAffinity=True,
        Resumable=False,
        GapAimMs=250,
    )
    return standins.make_manifest([route], [service])


class Sent:
    """A stream that a requester has asked for.

    Attributes:
        named_at: When the head of its answer arrived, if it says that the
            server leaves.
    """

    def __init__(self, number: int) -> None:
        self.request_id = f"q{number}"
        self.sent_at = standins.clock()
        self.named_at: float | None = None
        self.status = 0
        self.is_whole = False

    async def run(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(20.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                self.sent_at = standins.clock()
                lines = [
                    "POST /roles/x HTTP/1.1",
                    "Host: ficu95.example",
                    f"X-Request-Id: {self.request_id}",
                    "X-Deadline-Ms: 25000",
                    f"X-Model: {MODEL}",
                    "X-Token-Count: 500,240",
                    "X-Prompt-Prefix: 5c1e07a2:155,91bd3f06:345",
                    "Content-Length: 4",
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\nbody")
                head = await standins.read_head(reader)
                if head is None:
                    return
                self.status = int(head.line.split(" ")[1])
                if head.values.get("server-leaving") == "1":
                    self.named_at = standins.clock()
                await standins.read_body(reader, head)
                self.is_whole = True
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()


async def case(
    record: standins.Record, directory: pathlib.Path, trouble: bool
) -> list[str]:
    ports = standins.find_ports(6)
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    store.put("config", "main", make_manifest())
    tasks = [asyncio.create_task(store.expire())]
    instance = standins.Instance(
        record, directory, "front-1", "127.0.0.2", ports, store.address
    )
    servers = []
    for number in range(1, 5):
        server = engines.Engine(
            store, record, f"i-{number}", "drafter", MODEL, events=EVENTS
        )
        await server.listen("127.0.0.1")
        tasks.append(asyncio.create_task(server.beat()))
        servers.append(server)
    leaving = servers[0]
    streams: list[Sent] = []
    jobs: list[asyncio.Task] = []

    async def send_all() -> None:
        while True:
            stream = Sent(len(streams))
            streams.append(stream)
            jobs.append(asyncio.create_task(stream.run(instance.front)))
            await asyncio.sleep(1 / STREAMS_PER_S)

    try:
        await instance.start()
        await asyncio.sleep(2.0)
        sender = asyncio.create_task(send_all())
        await asyncio.sleep(2.0)
        if trouble:
            store.set_refusing(True)
        outage_at = standins.clock()
        await asyncio.sleep(0.5)
        leaving.state, leaving.remaining_ms = "draining", int(NOTICE_S * 1000)
        leaving.extra_headers["Server-Leaving"] = "1"
        accepted = leaving.beat_now()
        record.write(
            f"server {leaving.name}: to be taken away in {NOTICE_S} s, report "
            f"{'accepted' if accepted else 'refused'} by the store"
        )
        await asyncio.sleep(NOTICE_S)
        leaving.is_beating = False
        leaving.stop()
        gone_at = standins.clock()
        record.write(f"server {leaving.name}: gone")
        await asyncio.sleep(max(0.0, outage_at + OUTAGE_S - standins.clock()))
        if trouble:
            store.set_refusing(False)
        await asyncio.sleep(1.0)
        sender.cancel()
        await asyncio.gather(*jobs)
    finally:
        await instance.stop()
        for task in tasks:
            task.cancel()
    named = [s.named_at for s in streams if s.named_at is not None]
    if not named:
        if trouble:
            raise standins.CannotRunError("no answer says that its server leaves")
        record.write("no stream reached the server after its report")
        return []
    named_at = min(named)
    record.write(f"first answer with Server-Leaving passed on at {named_at:.3f} s")
    arrived = {request_id for _, request_id in leaving.arrived}
    late = [
        s
        for s in streams
        if s.sent_at > named_at + DRAIN_S and s.request_id in arrived
    ]
    lost = [s for s in late if not s.is_whole]
    for stream in late:
        record.write(
            f"{stream.request_id}: sent at {stream.sent_at:.3f} s, "
            f"{stream.sent_at - named_at:.3f} s after that answer, reaches "
            f"{leaving.name}; status {stream.status}, whole: {stream.is_whole}"
        )
    record.write(
        f"{len(streams)} streams sent, {len(arrived)} reached {leaving.name}, "
        f"{len(late)} late, {len(lost)} of them lost; gone at {gone_at:.3f} s"
    )
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} streams that requesters sent later than {DRAIN_S} s "
        f"after front-1 had passed on an answer with Server-Leaving reached that "
        f"server from front-1; {len(lost)} of them were lost as it went"
    ]


standins.main(case)
