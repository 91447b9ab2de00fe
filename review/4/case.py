"""Streams go on at another software version after all processes were killed.

A release replaces the servers of an engine service one after the other. The
last server of the old version leaves: its entry is removed, and it goes on
serving the streams that it has begun. All entry processes are killed at the
same moment and start again. Requesters resume their streams.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402
from standins import servers as server_standins  # noqa: E402
from standins import web  # noqa: E402

STREAMS = 6
BUDGET_S = 20.0
EVENTS = 50
EVENT_S = 0.2
DOWN_S = 1.0


async def follow_stream(record, deployment, index, results) -> None:
    """A requester: one attempt, and retries that resume the stream."""
    instances = list(deployment.instances.values())
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + BUDGET_S
    received: list[tuple[int, str]] = []
    begun_as = ""
    for attempt in range(4):
        left_s = ends_at - loop.time()
        if left_s < 1.0:
            break
        instance = instances[(index + attempt) % len(instances)]
        request_id = f"stream-{index}-try-{attempt}"
        headers = d.make_headers(
            request_id,
            int(left_s * 1000),
            X_Model=f"{server_standins.MODEL}/a1",
            X_Token_Count="500,150",
            X_Prompt_Prefix="5c1e07a2:200,%x:300" % (0x91BD3F00 + index),
        )
        if received:
            headers["Last-Event-Id"] = str(received[-1][0])
            headers["Resumes"] = begun_as
        pending = b""

        def take(part: bytes) -> None:
            nonlocal pending, begun_as
            *events, pending = (pending + part).split(b"\n\n")
            for event in events:
                number, _, data = event.decode().partition("\n")
                received.append((int(number[4:]), data.split(" ")[1]))
                begun_as = begun_as or request_id

        answer = await web.call(
            instance.front,
            "POST",
            "/plan/2f",
            headers,
            b"prompt",
            timeout_s=left_s,
            on_body=take,
        )
        record(
            f"{request_id} at {instance.name}: {answer.status} {answer.error} "
            f"complete={answer.complete}, {len(received)} events so far"
        )
        if answer.complete and answer.status == 200:
            break
        await asyncio.sleep(
            float(answer.headers.get("retry-after", "1.5"))
        )
    results[index] = received


async def case(deployment: d.Deployment, record: d.Record) -> bool:
    store = deployment.store
    for name, zone in (("front-1", "a"), ("front-2", "b"), ("front-3", "c")):
        deployment.add_instance(name, zone)
    deployment.set_seeds()
    await deployment.start_store()
    routes = [
        d.make_route(
            "plan", "llm", "streaming", Resumable=True, TimeoutMs=20000
        )
    ]
    store.put("config", "main", d.make_manifest(3, routes))
    options = {"adapter_slots": 20, "events": EVENTS, "event_s": EVENT_S}
    old = await deployment.add_server("llm-1", "llm", "a", **options)
    old.adapters["a1"] = 0.0
    deployment.write_entry("llm-1")
    instances = list(deployment.instances.values())
    for instance in instances:
        deployment.start(instance)
    for instance in instances:
        await deployment.wait_ready(instance)
    await asyncio.sleep(5.0)
    results: dict[int, list] = {}
    tasks = [
        asyncio.create_task(follow_stream(record, deployment, index, results))
        for index in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    for name, zone in (("llm-2", "a"), ("llm-3", "b")):
        new = await deployment.add_server(
            name, "llm", zone, version="v2", **options
        )
        new.adapters["a1"] = 0.0
        deployment.write_entry(name)
        record(f"{name} of version v2 registers")
    await asyncio.sleep(1.5)
    deployment.stop_beating("llm-1")
    store.remove("servers", "llm-1")
    record("entry of llm-1 (v1) removed; it goes on serving its streams")
    await asyncio.sleep(0.7)
    if d.is_troubled():
        record("all entry processes are killed")
        for instance in instances:
            deployment.kill(instance)
        await asyncio.sleep(DOWN_S)
        for instance in instances:
            deployment.start(instance)
    await asyncio.gather(*tasks)
    old.server.stop()
    record("llm-1 has left")
    mixed = 0
    complete = 0
    for index, received in sorted(results.items()):
        versions = [version for _, version in received]
        numbers = [number for number, _ in received]
        is_mixed = len(set(versions)) > 1
        mixed += is_mixed
        complete += numbers == list(range(1, EVENTS + 1))
        seen = ", ".join(f"{versions.count(v)} of {v}" for v in sorted(set(versions)))
        record(f"stream {index}: events {seen}{': MIXED' if is_mixed else ''}")
    record(
        f"{mixed} of {STREAMS} streams hold events of two software versions, "
        f"{complete} are complete"
    )
    if not any(results.values()):
        raise d.NotRunnable("no stream began")
    return mixed <= 2


if __name__ == "__main__":
    d.run_case(FOLDER, case)
