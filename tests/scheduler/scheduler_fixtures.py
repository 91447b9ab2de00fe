"""Schedulers in one process with stand-ins and a gateway's connections."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

import anyio
import anyio.abc
import msgspec

import deployment
from tamaracktide import errors
from tamaracktide.core import ownership_events
from tamaracktide.core import rows
from tamaracktide.core import table_edits
from tamaracktide.object_api import calls as platform_calls
from tamaracktide.object_api import instances
from tamaracktide.object_api import objects
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings
from tamaracktide.scheduler import program
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.standins.engine import main as engine_main
from tamaracktide.standins.engine import settings as engine_settings
from tamaracktide.standins.platform import app as platform_app
from tamaracktide.standins.platform import settings as standin_settings
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web
from tamaracktide.tables import editor
from tamaracktide.tables import settings as tables_settings
from tamaracktide.upstreams import calls

ZONE = "z1"
WAIT_S = 20.0
INNER = protocol_settings.InnerSettings(
    token="inner", heartbeat_period_s=0.1, heartbeat_timeout_s=1.0
)
PERIODS = scheduler_settings.PeriodSettings(
    instances_s=0.1,
    reconcile_s=0.05,
    engine_state_s=0.1,
    engine_load_s=0.2,
    digest_s=0.2,
    ownership_retry_s=0.1,
    ownership_confirm_s=0.5,
    confirm_s=0.1,
)


@dataclasses.dataclass(slots=True)
class RunningScheduler:
    """A running scheduler.

    Attributes:
        program: The scheduler.
        inner_address: Its `HOST:PORT` for gateways.
        scope: Cancelling it stops the scheduler as a kill does.
    """

    program: program.Program
    inner_address: str
    scope: anyio.CancelScope


class SchedulerCluster:
    """A platform, engines and any number of schedulers.

    Attributes:
        settings: Access to the platform.
        objects: Client of the platform's object API.
        engines: Addresses of the engines, by instance id.
    """

    def __init__(self, address: str, tasks: anyio.abc.TaskGroup) -> None:
        """Uses a running stand-in platform."""
        self.settings = platform_settings.PlatformSettings(address=address)
        self.objects = objects.ObjectClient(self.settings)
        self.engines: dict[str, str] = {}
        self._calls = platform_calls.HttpClient(self.settings)
        self._tasks = tasks

    async def close(self) -> None:
        """Closes the connections to the platform."""
        await self.objects.close()
        await self._calls.close()

    async def list_instance(self, name: str, **fields: str) -> None:
        """Adds an instance to the platform's list."""
        entry = msgspec.json.encode({"zone": ZONE, **fields})
        await self._calls.call("PUT", f"/admin/instances/{name}", body=entry)

    async def remove_instance(self, name: str) -> None:
        """Removes an instance from the platform's list."""
        await self._calls.call("DELETE", f"/admin/instances/{name}")

    async def set_platform_faults(self, **faults: object) -> None:
        """Sets injected faults of the platform."""
        body = msgspec.json.encode(faults)
        await self._calls.call("POST", "/admin/faults", body=body)

    async def set_engine_faults(self, name: str, **faults: object) -> None:
        """Sets injected faults of an engine."""
        admin_settings = dataclasses.replace(
            self.settings, address=self.engines[name]
        )
        engine_admin = platform_calls.HttpClient(admin_settings)
        body = msgspec.json.encode(faults)
        await engine_admin.call("POST", "/admin/faults", body=body)
        await engine_admin.close()

    async def start_engine(
        self, name: str, *, checks_fencing: bool = True, slots: int = 2
    ) -> None:
        """Starts and lists an engine."""
        settings = engine_settings.EngineSettings(
            instance=name,
            address="127.0.0.1:1",
            zone=ZONE,
            weight_store=self.settings.address,
            slots=slots,
            checks_fencing=checks_fencing,
        )
        self.engines[name] = await self._tasks.start(self._run_engine, settings)
        await self.list_instance(
            name, role="engine", address=self.engines[name]
        )

    async def apply_pool(self) -> None:
        """Commits tables with one pool of all engines."""
        pool = rows.Pool(
            name="p",
            kind=rows.UpstreamKind.ENGINE,
            upstreams=tuple(self.engines),
        )
        table_editor = editor.Editor(
            self.objects, tables_settings.EditorSettings(), random.Random(1)
        )
        await table_editor.read_tables()
        edit = table_edits.Edit(
            edit_id="e1",
            author="test",
            at_unix_s=0.0,
            summary="first",
            changes=(table_edits.PutRow(pool, None),),
        )
        await table_editor.commit(edit)

    async def start_scheduler(
        self, name: str, seed_peers: tuple[str, ...] = ()
    ) -> RunningScheduler:
        """Starts and lists a scheduler; returns once it accepts connections."""
        inner = dataclasses.replace(INNER, port=deployment.find_port())
        settings = scheduler_settings.SchedulerSettings(
            instance=name,
            zone=ZONE,
            platform=self.settings,
            http=scheduler_settings.HttpSettings(port=deployment.find_port()),
            inner=inner,
            periods=PERIODS,
            seed_peers=seed_peers,
        )
        running: RunningScheduler = await self._tasks.start(
            self._run_scheduler, settings
        )
        await self.list_instance(
            name,
            role="scheduler",
            address=f"127.0.0.1:{settings.http.port}",
            inner_address=running.inner_address,
        )
        await (await self.connect_gateway(running, "starting")).close()
        return running

    async def connect_gateway(
        self, running: RunningScheduler, name: str = "g1"
    ) -> connection.Connection:
        """Opens a gateway's connection, waiting until the scheduler listens."""
        hello = messages.Hello(
            version=1, instance=name, incarnation="i", role="gateway", zone=ZONE
        )
        with anyio.fail_after(WAIT_S):
            while True:
                try:
                    return await client.open_connection(
                        running.inner_address, hello, INNER
                    )
                except errors.ProtocolError:
                    await anyio.sleep(0.02)

    async def _run_engine(
        self,
        settings: engine_settings.EngineSettings,
        *,
        task_status: anyio.abc.TaskStatus[str],
    ) -> None:
        async with (
            engine_main.open_engine(settings) as app,
            server.run_embedded(app) as address,
        ):
            task_status.started(address)
            await anyio.sleep_forever()

    async def _run_scheduler(
        self,
        settings: scheduler_settings.SchedulerSettings,
        *,
        task_status: anyio.abc.TaskStatus[RunningScheduler],
    ) -> None:
        instance_client = instances.InstanceClient(self.settings)
        try:
            with anyio.CancelScope() as scope:
                async with (
                    calls.UpstreamClient(settings.upstreams) as upstream_client,
                    anyio.create_task_group() as tasks,
                ):
                    running_program = program.Program(
                        settings,
                        self.objects,
                        instance_client,
                        upstream_client,
                        tasks,
                    )
                    inner = settings.inner
                    address = f"{inner.host}:{inner.port}"
                    task_status.started(
                        RunningScheduler(running_program, address, scope)
                    )
                    await running_program.run_parts()
        finally:
            with anyio.CancelScope(shield=True):
                await instance_client.close()


@contextlib.asynccontextmanager
async def run_cluster() -> AsyncIterator[SchedulerCluster]:
    """Yields a cluster with an empty platform and stops it afterwards."""
    settings = standin_settings.PlatformSettings(
        address="127.0.0.1:1", load_s=0.01
    )
    platform = platform_app.Platform(settings, anyio.current_time())
    app = web.make_app(platform.handle)
    async with (
        server.run_embedded(app) as address,
        anyio.create_task_group() as tasks,
    ):
        cluster = SchedulerCluster(address, tasks)
        yield cluster
        tasks.cancel_scope.cancel()
    await cluster.close()


def make_request(
    request_id: str,
    adapter: str = "a",
    suspects: tuple[str, ...] = (),
    time_left_s: float = 60.0,
    fingerprint: str = "",
) -> messages.GrantRequest:
    """Returns a grant request for one token."""
    return messages.GrantRequest(
        request_id=request_id,
        pool="p",
        zone=ZONE,
        adapter=adapter,
        version="1",
        customer="c",
        suspects=suspects,
        fingerprint=fingerprint,
        time_left_s=time_left_s,
        max_tokens=1,
    )


Reply = messages.GrantReply | messages.RefusalReply


async def receive_reply(
    gateway: connection.Connection,
    held: tuple[messages.OutstandingGrant, ...] = (),
) -> Reply:
    """Returns the next reply; replies to queries with the held grants."""
    with anyio.fail_after(WAIT_S):
        while True:
            message = await gateway.receive()
            match message:
                case messages.GrantReply() | messages.RefusalReply():
                    return message
                case messages.Heartbeat(sequence=sequence):
                    await gateway.send(messages.Heartbeat(sequence=sequence))
                case messages.OutstandingQuery():
                    await gateway.send(
                        messages.OutstandingReply(
                            query_id=message.query_id,
                            pool=message.pool,
                            zone=message.zone,
                            grants=held,
                        )
                    )


async def request_grant(
    gateway: connection.Connection,
    request: messages.GrantRequest,
    held: tuple[messages.OutstandingGrant, ...] = (),
) -> Reply:
    """Sends a request and returns the reply."""
    await gateway.send(request)
    return await receive_reply(gateway, held)


async def request_until_granted(
    gateway: connection.Connection,
    request: messages.GrantRequest,
    held: tuple[messages.OutstandingGrant, ...] = (),
) -> messages.GrantReply:
    """Repeats a refused request until it is granted."""
    with anyio.fail_after(WAIT_S):
        while True:
            reply = await request_grant(gateway, request, held)
            if isinstance(reply, messages.GrantReply):
                return reply
            await anyio.sleep(0.05)


def make_outstanding_grant(
    grant: messages.GrantReply,
) -> messages.OutstandingGrant:
    """Returns a grant as a gateway reports it to a new owner."""
    return messages.OutstandingGrant(
        request_id=grant.request_id,
        grant_id=grant.grant_id,
        upstream=grant.upstream,
        lora_name=grant.lora_name,
        customer="c",
    )


async def read_record(
    cluster: "SchedulerCluster",
) -> ownership_events.OwnershipRecord:
    """Returns the ownership record of engine `e1`."""
    stored = await cluster.objects.read("ownership/e1")
    return ownership_events.decode_record(stored.value)


async def release_grant(
    gateway: connection.Connection, grant: messages.GrantReply
) -> None:
    """Releases a grant."""
    await gateway.send(
        messages.GrantRelease(
            request_id=grant.request_id,
            grant_id=grant.grant_id,
            upstream=grant.upstream,
        )
    )


async def reply_to_queries(
    gateway: connection.Connection,
    held: tuple[messages.OutstandingGrant, ...],
) -> None:
    """Replies to a scheduler's queries with the held grants until cancelled."""
    while True:
        message = await gateway.receive()
        if isinstance(message, messages.Heartbeat):
            await gateway.send(messages.Heartbeat(sequence=0))
        elif isinstance(message, messages.OutstandingQuery):
            await gateway.send(
                messages.OutstandingReply(
                    query_id=message.query_id,
                    pool=message.pool,
                    zone=message.zone,
                    grants=held,
                )
            )
