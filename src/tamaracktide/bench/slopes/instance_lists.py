"""Bytes and CPU time of reading the instance list."""

import json

import anyio

from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import relay
from tamaracktide.bench.slopes import series
from tamaracktide.gateway import membership
from tamaracktide.object_api import instances
from tamaracktide.object_api import settings as client_settings
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web

READS = 20


def _make_body(size: int) -> bytes:
    entries = [
        {
            "id": f"instance-{number:04d}",
            "role": "scheduler" if number % 4 == 0 else "engine",
            "zone": f"region-{number % 3}-{number % 2}",
            "address": "10.123.12.123:8080",
            "inner_address": "10.123.12.123:8090",
            "state": "live",
        }
        for number in range(size)
    ]
    return json.dumps({"version": 1, "instances": entries}).encode()


async def measure_list(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Reads a list of `size` instances `READS` times."""
    body = _make_body(size)

    async def respond(request: web.Request) -> web.Response:
        await request.read_body()
        return web.Response(200, body)

    async with (
        server.run_embedded(web.make_app(respond)) as address,
        relay.run_relay(address) as (relay_address, meter),
    ):
        cpu_s = await _read_lists(address)
        await _read_lists(relay_address)
        relayed_bytes = meter.up_bytes + meter.down_bytes
    return (
        series.Reading("instance list: a read", "bytes", relayed_bytes / READS),
        series.Reading(
            "instance list: processor time of a read", "us", cpu_s / READS * 1e6
        ),
    )


async def _read_lists(address: str) -> float:
    """Reads the list `READS` times and returns the CPU time.

    The server runs in this process, so its small share is included.
    """
    settings = client_settings.PlatformSettings(address=address)
    instance_client = instances.InstanceClient(settings)
    members = membership.Membership(instance_client)
    cpu_timer = meters.CpuTimer()
    for _ in range(READS):
        await members.refresh()
    cpu_s = cpu_timer.seconds
    with anyio.CancelScope(shield=True):
        await instance_client.close()
    return cpu_s


TRIALS = (
    series.Trial(
        name="instance_list",
        size_label="instances",
        sizes=(100, 400, 1260),
        run=measure_list,
    ),
)
