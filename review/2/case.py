"""A manifest that is accepted after a drill of the store never comes into force.

The store is away for a second and comes back from a copy of 6 s before
(`Store-Era` rises). What the operator and the servers wrote is written again.
A later manifest moves one route and adds another.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment as d  # noqa: E402
from standins import web  # noqa: E402

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
COPY_AGE_S = 6.0
AWAY_S = 1.0
WATCHED_S = 12.0
"""Time after `ConfigApplyMs` in which requests are judged."""


def make_manifests() -> dict[int, dict]:
    first = [
        d.make_route("book", "desk", "non_idempotent"),
        d.make_route("look", "desk", "idempotent"),
        d.make_route("plan", "llm", "streaming", Resumable=True),
    ]
    second = [*first, d.make_route("list", "desk", "idempotent")]
    third = [
        d.make_route("book", "till", "non_idempotent"),
        *second[1:],
        d.make_route("fees", "desk", "idempotent"),
    ]
    # Both plain services are known from the start.
    spare = d.make_route("spare", "till", "idempotent")
    return {
        version: d.make_manifest(version, [*routes, spare])
        for version, routes in ((3, first), (7, second), (12, third))
    }


async def send(deployment, record, tally, instance, path, number) -> None:
    request_id = f"{instance.name}-{path.strip('/').replace('/', '-')}-{number}"
    answer = await web.call(
        instance.front,
        "POST",
        path,
        d.make_headers(request_id, 3000),
        b"body",
        timeout_s=4.0,
    )
    ran_by = answer.body.decode("latin-1")[:40].strip()
    record(f"{request_id}: {answer.status} {ran_by} {answer.error}")
    tally.append((path, answer.status, ran_by))


async def case(deployment: d.Deployment, record: d.Record) -> bool:
    manifests = make_manifests()
    store = deployment.store
    for name, zone in (("front-1", "a"), ("front-2", "b"), ("front-3", "c")):
        deployment.add_instance(name, zone)
    deployment.set_seeds()
    await deployment.start_store()
    store.put("config", "main", manifests[3])
    for name, service, zone in (
        ("desk-1", "desk", "a"),
        ("desk-2", "desk", "b"),
        ("till-1", "till", "a"),
        ("till-2", "till", "c"),
    ):
        await deployment.add_server(name, service, zone)
    await deployment.add_server("llm-1", "llm", "a", adapter_slots=20)
    instances = list(deployment.instances.values())
    for instance in instances:
        deployment.start(instance)
    for instance in instances:
        await deployment.wait_ready(instance)
    await asyncio.sleep(6.0)
    saved = store.make_copy()
    record(f"copy of the store at revision {saved[0]}")
    await asyncio.sleep(COPY_AGE_S - 0.5)
    revision = store.put("config", "main", manifests[7])
    record(f"manifest 7 acknowledged at revision {revision}")
    await asyncio.sleep(0.5)
    if d.is_troubled():
        record(f"store away at revision {store.revision}")
        store.go_away()
        await asyncio.sleep(AWAY_S)
        await store.restore(saved)
        record(f"store back at revision {store.revision}, era {store.era}")
        revision = store.put("config", "main", manifests[7])
        record(f"manifest 7 written again, revision {revision}")
        # The servers write their entries again with their next heartbeat.
    # The core is stable again, and the machines are in touch.
    await asyncio.sleep(CONTACT_S + 0.2)
    revision = store.put("config", "main", manifests[12])
    record(f"manifest 12 acknowledged at revision {revision}")
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    tally: list = []
    rounds = int(WATCHED_S)
    for number in range(rounds):
        for instance in instances:
            for path in ("/book/2f", "/fees/1", "/look/1"):
                await send(deployment, record, tally, instance, path, number)
        await asyncio.sleep(1.0)
    old_runs = sum(p == "/book/2f" and " desk " in by for p, _, by in tally)
    refused = sum(p == "/fees/1" and s == 404 for p, s, _ in tally)
    served = sum(p == "/look/1" and s == 200 for p, s, _ in tally)
    record(
        f"of {rounds * 3} requests each: {old_runs} on the moved route run by "
        f"the old service, {refused} on the added route refused with 404, "
        f"{served} on the unchanged route served"
    )
    if served < rounds:
        raise d.NotRunnable("the unchanged route isn't served")
    return old_runs == 0 and refused == 0


if __name__ == "__main__":
    d.run_case(FOLDER, case)
