"""Sound requests are refused for their first part after others crashed servers."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import engines
import standins

MODEL = "daka510000"
FIRST = "5c1e07a2"
DEADLY = "deadbeef"
CONTACT_S = 3.0
DOWN_S = 3.0
LULL_S = float(os.environ.get("LULL", "12"))
SOUND_PER_S = 4.0
BEFORE_S = 10.0
AFTER_S = 10.0
MIN_REQUESTS = 20


def make_manifest() -> dict:
    service = standins.make_service("drafter", Engine=engines.make_profile(MODEL))
    route = standins.make_route(
        "r1",
        "/draft/",
        "streaming",
        "drafter",
        TimeoutMs=8000,
        TargetLatencyMs=800,
        MaxAttempts=2,
        SessionAffinity=True,
        Resumable=True,
        GapAimMs=250,
    )
    return standins.make_manifest([route], [service])


class Fleet:
    """Servers that a part of a prompt crashes; each is back after a while."""

    def __init__(self, store: standins.Store, record: standins.Record) -> None:
        self.store, self.record = store, record
        self.crashes: list[float] = []
        self.begun: set[str] = set()
        self.tasks: list[asyncio.Task] = []

    async def start(self, name: str, port: int = 0) -> None:
        server = DeadlyEngine(self, name)
        await server.listen("127.0.0.1", port)
        self.record.write(f"server {name} registers")
        server.beating = asyncio.create_task(server.beat())
        self.tasks.append(server.beating)

    def crash(self, server: "DeadlyEngine", request_id: str) -> None:
        self.record.write(f"server {server.name}: {request_id} crashes it")
        self.crashes.append(standins.clock())
        server.beating.cancel()
        server.stop()
        self.tasks.append(asyncio.create_task(self._restart(server)))

    async def _restart(self, server: "DeadlyEngine") -> None:
        await asyncio.sleep(DOWN_S)
        name, _, start = server.name.partition(".")
        port = int(server.address.rpartition(":")[2])
        await self.start(f"{name}.{int(start or 0) + 1}", port)


class DeadlyEngine(engines.Engine):
    """A model server that crashes as it begins an answer on one part."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        super().__init__(fleet.store, fleet.record, name, "drafter", MODEL, events=8)
        self.fleet = fleet
        self.beating: asyncio.Task

    async def answer(
        self, head: standins.Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if DEADLY in head.values.get("x-prompt-prefix", ""):
            self.fleet.crash(self, head.values["x-request-id"])
            return
        self.fleet.begun.add(head.values.get("x-request-id", ""))
        await super().answer(head, body, writer)


async def case(
    record: standins.Record, directory: pathlib.Path, trouble: bool
) -> list[str]:
    ports = standins.find_ports(6)
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    store.put("config", "main", make_manifest())
    fleet = Fleet(store, record)
    fleet.tasks.append(asyncio.create_task(store.expire()))
    instances = [
        standins.Instance(record, directory, name, host, ports, store.address)
        for name, host in (("front-1", "127.0.0.2"), ("front-2", "127.0.0.3"))
    ]
    jobs: list[asyncio.Task] = []
    statuses: dict[str, int] = {}

    async def send(request_id: str, number: int, part: str) -> None:
        instance = instances[number % 2]
        headers = {
            "Host": "ficu95.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "8000",
            "X-Model": MODEL,
            "X-Token-Count": "500,24",
            "X-Prompt-Prefix": f"{FIRST}:155,{part}:200,{number:x}a:145",
        }
        body = f"{request_id}".encode()
        record.write(f"{request_id} sent to {instance.name}")
        reply = await standins.send(
            instance.front, "POST", "/draft/x", headers, body
        )
        statuses[request_id] = reply.status
        record.write(
            f"{instance.name}: {request_id} answered {reply.status} "
            f"{reply.headers.get('x-result-code', '')}"
        )

    async def send_sound(prefix: str, for_s: float) -> list[str]:
        until = standins.clock() + for_s
        sent = []
        while standins.clock() < until:
            sent.append(f"{prefix}{len(sent)}")
            job = send(sent[-1], len(sent), "91bd3f06")
            jobs.append(asyncio.create_task(job))
            await asyncio.sleep(1 / SOUND_PER_S)
        return sent

    async def send_deadly() -> None:
        number = 0
        while True:
            jobs.append(asyncio.create_task(send(f"deadly{number}", number, DEADLY)))
            number += 1
            await asyncio.sleep(1.0)

    try:
        for number in range(1, 7):
            await fleet.start(f"i-{number}")
        await asyncio.gather(*(instance.start() for instance in instances))
        await asyncio.sleep(3.0)
        before = await send_sound("before", BEFORE_S)
        record.write("the caller is quiet")
        await asyncio.sleep(LULL_S)
        if trouble:
            fleet.tasks.append(asyncio.create_task(send_deadly()))
        await asyncio.sleep(8.0)
        crashes = sorted(fleet.crashes)
        if trouble and not crashes:
            raise standins.CannotRunError("no server has crashed")
        counted_from = (crashes[:5] or [0.0])[-1] + 2 * CONTACT_S
        await asyncio.sleep(max(0.0, counted_from - standins.clock()))
        after = await send_sound("after", AFTER_S)
        await asyncio.sleep(3.0)
    finally:
        for task in [*fleet.tasks, *jobs]:
            task.cancel()
        for instance in instances:
            await instance.stop()
    shares = []
    for sent in (before, after):
        if len(sent) < MIN_REQUESTS:
            raise standins.CannotRunError("too few sound requests")
        shares.append(sum(name in fleet.begun for name in sent) / len(sent))
    record.write(
        f"{len(fleet.crashes)} crashes at "
        f"{[round(at, 2) for at in sorted(fleet.crashes)]}; sound requests that "
        f"began: {shares[0]:.2f} of {len(before)} before, {shares[1]:.2f} of "
        f"{len(after)} from {counted_from:.2f} s"
    )
    if shares[1] >= shares[0] / 2:
        return []
    refused = sum(statuses.get(name) == 503 for name in after)
    return [
        f"LOST: {shares[1]:.2f} of {len(after)} sound requests with the same first "
        f"part began from 2 x ContactMs after the last counted crash, "
        f"{shares[0]:.2f} of {len(before)} before; {refused} were refused with 503"
    ]


standins.main(case)
