"""Sign-offs of a requester whose library offers HTTP/2 run without their body."""

import asyncio
import hashlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import standins

REQUESTS = 20
BODY_BYTES = 600
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
}


class Tracker(standins.Server):
    """A server that keeps what it has been sent."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.bodies: dict[str, bytes] = {}

    async def run(
        self,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.bodies[request_id] = body
        self.record.write(
            f"server {self.name}: {request_id} runs with {len(body)} B, "
            f"sha256 {hashlib.sha256(body).hexdigest()[:12]}"
        )
        await super().run(request_id, headers, body, writer)


async def case(
    record: standins.Record, directory: pathlib.Path, trouble: bool
) -> list[str]:
    ports = standins.find_ports(6)
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    route = standins.make_route(
        "r1", "/sign/", "non_idempotent", "tracker", TimeoutMs=1200
    )
    manifest = standins.make_manifest([route], [standins.make_service("tracker")])
    store.put("config", "main", manifest)
    tasks = [asyncio.create_task(store.expire())]
    servers = []
    for number in (1, 2, 3):
        server = Tracker(store, record, f"i-{number}", "tracker")
        await server.listen("127.0.0.1")
        tasks.append(asyncio.create_task(server.beat()))
        servers.append(server)
    instance = standins.Instance(
        record, directory, "front-1", "127.0.0.2", ports, store.address
    )
    sent: dict[str, bytes] = {}
    answered: dict[str, int] = {}
    try:
        await instance.start()
        await asyncio.sleep(1.0)
        for number in range(REQUESTS):
            request_id = f"q{number}"
            sent[request_id] = f"sign-off {number} ".encode().ljust(BODY_BYTES, b".")
            headers = {
                "Host": "ficu95.example",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "2500",
            }
            if trouble:
                headers.update(OFFER)
            record.write(
                f"{request_id} sent with {BODY_BYTES} B, sha256 "
                f"{hashlib.sha256(sent[request_id]).hexdigest()[:12]}"
            )
            reply = await standins.send(
                instance.front, "POST", f"/sign/{number}", headers, sent[request_id]
            )
            answered[request_id] = reply.status
            record.write(f"{request_id} answered {reply.status} {reply.error}")
    finally:
        await instance.stop()
        for task in tasks:
            task.cancel()
    ran = {name: body for server in servers for name, body in server.bodies.items()}
    if not ran:
        raise standins.CannotRunError("no request has run")
    changed = [name for name, body in ran.items() if body != sent[name]]
    successes = sum(answered[name] == 200 for name in changed)
    if not changed:
        return []
    return [
        f"UNASKED: {len(changed)} of {len(sent)} requests ran with their body "
        f"changed: {sorted({len(ran[name]) for name in changed})} B instead of "
        f"{BODY_BYTES}; {successes} of them were answered with 200"
    ]


standins.main(case)
