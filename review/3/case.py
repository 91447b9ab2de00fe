"""Two machines order at an engine with one generation number.

The machine that holds the lease of a cell is removed for good; another one
takes the lease over, with the next generation number. Then the store is away
for a second and comes back from a copy of some seconds before, in which the
removed machine has the lease. A third machine takes the lease over at once,
with the same generation number.
"""

import asyncio
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402
from standins import servers as server_standins  # noqa: E402
from standins import web  # noqa: E402

LEASE_S = 3.0
"""`LeaseMs`."""

AWAY_S = 1.0
KIND = "tamaracktide-leases"
DRILL = os.environ.get("DRILL", "1") != "0"
"""Whether the store's drill takes place beside the removal of a machine."""


def find_lease(store) -> dict:
    """The record of the cell's lease, as the store has it."""
    found = store.objects.get(KIND, {}).get("llm.a")
    return {} if found is None else dict(found["Spec"])


async def generate(record, deployment, stop) -> None:
    """Requests for changing adapters, so that some are loaded all the time."""
    number = 0

    async def send(instance, number: int) -> None:
        request_id = f"gen-{number}"
        answer = await web.call(
            instance.front,
            "POST",
            "/plan/2f",
            d.make_headers(
                request_id,
                8000,
                X_Model=f"{server_standins.MODEL}/a{number % 60 + 1}",
                X_Token_Count="500,60",
                X_Prompt_Prefix="5c1e07a2:200,%x:300" % (0x91BD0000 + number),
            ),
            b"prompt",
            timeout_s=9.0,
        )
        record.quiet(f"{request_id}: {answer.status} {answer.error}")

    tasks = set()
    while not stop.is_set():
        for instance in list(deployment.instances.values()):
            if instance.process is None or instance.process.poll() is not None:
                continue
            number += 1
            task = asyncio.create_task(send(instance, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()


async def wait_for_holder(store, other_than: str, timeout_s: float) -> str:
    for _ in range(int(timeout_s / 0.05)):
        holder = find_lease(store).get("holder", "")
        if holder and holder != other_than:
            return holder
        await asyncio.sleep(0.05)
    raise d.NotRunnable("no lease holder")


def judge(record, orders) -> bool:
    """Whether ONE held for the orders of a server, by their arrival."""
    holders: dict[int, set[str]] = {}
    turns = lower = 0
    previous = None
    highest = 0
    for order in orders:
        holders.setdefault(order.token, set()).add(order.holder)
        if previous is not None and previous.holder != order.holder:
            gap_s = order.at - previous.at
            record(
                f"orders of {order.holder} with number {order.token} follow "
                f"those of {previous.holder} with {previous.token} after "
                f"{gap_s:.2f} s"
            )
            turns += gap_s < LEASE_S
        lower += order.token < highest
        highest = max(highest, order.token)
        previous = order
    shared = {n: sorted(h) for n, h in holders.items() if len(h) > 1}
    record(
        f"{len(orders)} orders; numbers with two holders: {json.dumps(shared)}; "
        f"turns within LeaseMs: {turns}; lower numbers after higher: {lower}"
    )
    return not shared and not turns and not lower


async def case(deployment: d.Deployment, record: d.Record) -> bool:
    store = deployment.store
    for name, zone in (
        ("front-1", "a"),
        ("front-2", "a"),
        ("front-3", "b"),
        ("front-4", "c"),
    ):
        deployment.add_instance(name, zone)
    deployment.set_seeds()
    await deployment.start_store()
    route = d.make_route("plan", "llm", "streaming", Resumable=True)
    store.put("config", "main", d.make_manifest(3, [route]))
    engine = await deployment.add_server(
        "llm-1", "llm", "a", adapter_slots=20, events=10
    )
    for instance in deployment.instances.values():
        deployment.start(instance)
    for instance in list(deployment.instances.values()):
        await deployment.wait_ready(instance)
    first = await wait_for_holder(store, "", 15.0)
    record(f"lease: {find_lease(store)}")
    stop = asyncio.Event()
    traffic = asyncio.create_task(generate(record, deployment, stop))
    await asyncio.sleep(6.0)
    if d.is_troubled():
        removed = deployment.instances[first.partition("@")[0]]
        record(f"{removed.name}, which holds the lease, is removed for good")
        deployment.kill(removed)
        await asyncio.sleep(2.0)
        new = deployment.add_instance("front-5", removed.zone)
        new.settings["seeds"] = removed.settings["seeds"]
        deployment.start(new)
        copies = []

        async def keep_copies() -> None:
            while True:
                copies.append((record.now(), store.make_copy()))
                await asyncio.sleep(0.5)

        copying = asyncio.create_task(keep_copies())
        await wait_for_holder(store, first, 30.0)
        taken_at = record.now()
        record(f"lease taken over: {find_lease(store)}")
        copying.cancel()
        await asyncio.sleep(3.0)
        if DRILL:
            made_at, saved = [c for c in copies if c[0] < taken_at - 0.3][-1]
            store.go_away()
            record("store away")
            await asyncio.sleep(AWAY_S)
            await store.restore(saved)
            record(
                f"store back from a copy {record.now() - made_at:.1f} s old, "
                f"era {store.era}; lease: {find_lease(store)}"
            )
            store.put("config", "main", d.make_manifest(3, [route]))
    await asyncio.sleep(12.0)
    stop.set()
    await traffic
    for written_at, kind, name, revision in store.writes:
        if kind == KIND:
            record.quiet(
                f"lease written at {record.at(written_at):.3f}, {revision}"
            )
    for order in engine.orders:
        record.quiet(
            f"order at {record.at(order.at):.3f}: {order.holder} "
            f"{order.token} {order.operation} {order.adapter} {order.status}"
        )
    record(f"lease at the end: {find_lease(store)}")
    if len(engine.orders) < 20:
        raise d.NotRunnable("too few orders")
    return judge(record, engine.orders)


if __name__ == "__main__":
    d.run_case(FOLDER, case)
