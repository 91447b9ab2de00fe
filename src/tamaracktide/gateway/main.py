"""The program `tamaracktide-gateway`."""

import gc
import random
import uuid

import anyio
import fire
import uvicorn

from tamaracktide import http_server
from tamaracktide.gateway import app as gateway_app
from tamaracktide.gateway import membership
from tamaracktide.gateway import parts as gateway_parts
from tamaracktide.gateway import recovery
from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.object_api import instances
from tamaracktide.object_api import objects
from tamaracktide.observability import logs
from tamaracktide.observability import traces
from tamaracktide.settings import flags
from tamaracktide.tables import follower as tables_follower
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

DRAIN_POLL_INTERVAL_S = 0.05
REPORT_TIMEOUT_S = 10.0
GC_THRESHOLDS = (20_000, 20, 20)


async def serve(settings: gateway_settings.GatewaySettings) -> None:
    """Serves until SIGTERM or SIGINT, then completes all requests."""
    rng = random.Random()
    incarnation = uuid.uuid4().hex[:12]
    object_client = objects.ObjectClient(settings.platform)
    instance_client = instances.InstanceClient(settings.platform)
    follower = tables_follower.Follower(object_client, settings.tables, rng)
    members = membership.Membership(instance_client)
    async with (
        calls.UpstreamClient(settings.upstreams) as upstream_client,
        streams.StreamClient(settings.upstreams) as stream_client,
        anyio.create_task_group() as tasks,
    ):
        parts = gateway_parts.make_parts(
            settings,
            follower,
            members,
            upstream_client,
            stream_client,
            incarnation,
            rng,
            tasks,
        )
        tasks.start_soon(follower.run)
        tasks.start_soon(members.run, settings.instances_period_s)
        tasks.start_soon(
            recovery.recover_from_peers,
            settings,
            gateway_parts.make_hello(settings, incarnation),
            members,
            follower,
            rng,
        )
        tasks.start_soon(parts.schedulers.run)
        tasks.start_soon(parts.claims.run)
        await _serve_http(parts)
        tasks.cancel_scope.cancel()
    await object_client.close()
    await instance_client.close()


async def _serve_http(parts: gateway_parts.Parts) -> None:
    """Serves clients until a signal arrives and all requests have ended."""
    http = parts.settings.http
    app = gateway_app.App(parts)
    server = http_server.make_server(
        app, http.host, http.port, http.keep_alive_s
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, parts, app, server)
        await server.serve()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(
    parts: gateway_parts.Parts, app: gateway_app.App, server: uvicorn.Server
) -> None:
    await http_server.wait_for_stop()
    app.draining = True
    with anyio.move_on_after(parts.settings.stop_timeout_s):
        while app.in_progress:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
    with anyio.move_on_after(REPORT_TIMEOUT_S):
        while parts.claims.unreported:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
    server.should_exit = True


def run(
    settings: str = "", check_settings: bool = False, print_schema: bool = False
) -> None:
    """Runs the gateway.

    Args:
        settings: Path to the settings file.
        check_settings: Checks the settings file and exits.
        print_schema: Prints the JSON schema of the settings and exits.
    """
    loaded_settings = flags.run_settings_flags(
        gateway_settings.GatewaySettings, settings, check_settings, print_schema
    )
    logs.configure_logs(
        loaded_settings.observability,
        gateway_parts.ROLE,
        loaded_settings.instance,
    )
    traces.configure_traces(
        loaded_settings.observability,
        gateway_parts.ROLE,
        loaded_settings.instance,
    )
    # A garbage collection pauses all streams. Imported modules are never
    # collected, so they are excluded from it.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        anyio.run(serve, loaded_settings, backend="asyncio")
    finally:
        traces.close_traces()


def main() -> None:
    """Runs the command line."""
    fire.Fire(run)
