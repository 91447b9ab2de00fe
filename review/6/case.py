"""A stream is taken up at an instance that a new software version can't reach."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import engines
import standins
import streams

MODEL = "daka510000"
STREAMS = 24
EVENTS = 120
MAX_MIXED = 2
CUT_S = 5.5
DOWN_S = 3.5
HEADERS = {
    "Host": "ficu95.example",
    "X-Deadline-Ms": "15000",
    "X-Model": MODEL,
    "X-Token-Count": "500,360",
    "X-Prompt-Prefix": "5c1e07a2:155,91bd3f06:345",
}


def make_manifest() -> dict:
    service = standins.make_service("drafter", Engine=engines.make_profile(MODEL))
    route = standins.make_route(
        "r1",
        "/draft/",
        "streaming",
        "drafter",
        TimeoutMs=15000,
        TargetLatencyMs=800,
        MaxAttempts=2,
        SessionAffinity=True,
        Resumable=True,
        GapAimMs=250,
    )
    return standins.make_manifest([route], [service])


async def case(
    record: standins.Record, directory: pathlib.Path, trouble: bool
) -> list[str]:
    mode = os.environ.get("TROUBLE", "1")
    is_cut, is_killed = mode in ("1", "cut"), mode in ("1", "kill")
    ports = standins.find_ports(6)
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    store.put("config", "main", make_manifest())
    tasks = [asyncio.create_task(store.expire())]
    # What lies between front-2 and the store, and between the two instances.
    to_store = standins.Proxy(store.address)
    await to_store.listen("127.0.0.1")
    to_first = standins.Proxy(f"127.0.0.2:{ports[3]}")
    await to_first.listen("127.0.0.12", ports[3])
    to_second = standins.Proxy(f"127.0.0.3:{ports[3]}")
    await to_second.listen("127.0.0.13", ports[3])
    between = (to_store, to_first, to_second)
    store.shown_ips = {"127.0.0.2": "127.0.0.12", "127.0.0.3": "127.0.0.13"}
    first = standins.Instance(
        record, directory, "front-1", "127.0.0.2", ports, store.address
    )
    second = standins.Instance(
        record, directory, "front-2", "127.0.0.3", ports, to_store.address
    )

    async def add_server(name: str, version: str) -> None:
        server = engines.Engine(store, record, name, "drafter", MODEL, events=EVENTS)
        server.version = version
        await server.listen("127.0.0.1")
        record.write(f"server {name} of software version {version} registers")
        tasks.append(asyncio.create_task(server.beat()))

    try:
        await add_server("i-1", "v1")
        await add_server("i-2", "v1")
        await asyncio.gather(first.start(), second.start())
        await asyncio.sleep(4.0)
        if is_cut:
            record.write("front-2 is partitioned from the store and from front-1")
            for proxy in between:
                proxy.cut()
        began_at = standins.clock()
        await asyncio.sleep(0.2)
        await add_server("i-3", "v2")
        await add_server("i-4", "v2")
        await asyncio.sleep(0.8)
        held = [streams.Stream(record, f"q{number}") for number in range(STREAMS)]
        tries = [
            asyncio.create_task(stream.attempt(first.front, "/draft/x", HEADERS, 14.0))
            for stream in held
        ]
        await asyncio.sleep(0.7)
        killed_at = standins.clock()
        if is_killed:
            first.signal(9)
        await asyncio.gather(*tries)
        for stream in held:
            record.write(
                f"{stream.request_id}: {stream.tries[-1][2:]}, holds "
                f"{len(stream.events)} events of {sorted(stream.versions)}"
            )
        newer = sum("v2" in stream.versions for stream in held)
        broken_off = [stream for stream in held if not stream.is_complete]
        if newer <= MAX_MIXED or (is_killed and len(broken_off) <= MAX_MIXED):
            raise standins.CannotRunError(f"only {newer} streams began at v2")
        tries = [
            asyncio.create_task(stream.attempt(second.front, "/draft/x", HEADERS, 14.0))
            for stream in broken_off
        ]
        if is_killed:
            await asyncio.sleep(max(0.0, killed_at + DOWN_S - standins.clock()))
            tasks.append(asyncio.create_task(first.start(first=False)))
        await asyncio.sleep(max(0.0, began_at + CUT_S - standins.clock()))
        if is_cut:
            record.write("the partition ends")
            for proxy in between:
                proxy.heal()
        await asyncio.gather(*tries)
    finally:
        await first.stop()
        await second.stop()
        for task in tasks:
            task.cancel()
    mixed = [stream for stream in held if len(stream.versions) > 1]
    for stream in held:
        record.write(
            f"{stream.request_id}: {[t[1:] for t in stream.tries]}, "
            f"{len(stream.events)} events of {sorted(stream.versions)}"
        )
    record.write(f"streams with events of two software versions: {len(mixed)}")
    if len(mixed) <= MAX_MIXED:
        return []
    return [
        f"ORDER: {len(mixed)} of {len(held)} streams hold events of servers of two "
        f"software versions of one service (bound {MAX_MIXED}), "
        f"{sum(stream.is_complete for stream in mixed)} of them ended as complete"
    ]


standins.main(case)
