"""Tests of ownership changes between schedulers, run against stand-ins."""

import itertools

import anyio
import anyio.abc
import pytest
import scheduler_fixtures as fixtures

from tamaracktide import result_codes
from tamaracktide.core import rendezvous
from tamaracktide.core import rows
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.scheduler import peers
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client
from tamaracktide.upstreams import settings as upstream_settings

pytestmark = pytest.mark.anyio
Codes = result_codes.ResultCode


def order_by_preference(*names: str) -> list[str]:
    """Returns schedulers in the order of preference as owners of the cell."""
    return rendezvous.order_owners(
        f"p@{fixtures.ZONE}",
        [(name, fixtures.ZONE) for name in names],
        fixtures.ZONE,
    )


async def request_until_epoch(
    gateway: connection.Connection, prefix: str, epoch: int
) -> messages.GrantReply:
    """Sends requests until a grant has at least this epoch."""
    with anyio.fail_after(fixtures.WAIT_S):
        for number in itertools.count():
            request = fixtures.make_request(f"{prefix}-{number}")
            reply = await fixtures.request_until_granted(gateway, request)
            await fixtures.release_grant(gateway, reply)
            if reply.epoch >= epoch:
                return reply
    raise AssertionError


async def test_refusal_of_another_scheduler_names_the_owner(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """The preferred scheduler owns the cell; the other names it in refusals."""
    owner, other = order_by_preference("s1", "s2")
    running = {
        name: await cluster.start_scheduler(name) for name in ("s1", "s2")
    }
    gateways = {
        name: await cluster.connect_gateway(scheduler)
        for name, scheduler in running.items()
    }
    await fixtures.request_until_granted(
        gateways[owner], fixtures.make_request("r")
    )
    for number in range(5):
        refusal = await fixtures.request_grant(
            gateways[other], fixtures.make_request(f"r-{number}")
        )
        assert isinstance(refusal, messages.RefusalReply)
        assert (refusal.code, refusal.owner) == (Codes.NOT_OWNER, owner)


async def test_cell_is_handed_back_to_the_preferred_owner(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """A planned stop hands it over, a restart takes it back; adapters stay."""
    owner, other = order_by_preference("s1", "s2")
    second = await cluster.start_scheduler(other)
    first_gateway = await cluster.connect_gateway(second)
    grant = await request_until_epoch(first_gateway, "a", 1)
    preferred = await cluster.start_scheduler(owner)
    gateway = await cluster.connect_gateway(preferred)
    takeover_grant = await request_until_epoch(gateway, "b", 2)
    refusal = await fixtures.request_grant(
        first_gateway, fixtures.make_request("c")
    )
    assert isinstance(refusal, messages.RefusalReply)
    assert (refusal.code, refusal.owner) == (Codes.NOT_OWNER, owner)
    await preferred.program.service.stop()
    preferred.scope.cancel()
    handed_back_grant = await request_until_epoch(first_gateway, "d", 3)
    restarted = await cluster.start_scheduler(owner)
    gateway = await cluster.connect_gateway(restarted)
    last = await request_until_epoch(gateway, "e", 4)
    assert [takeover_grant.epoch, handed_back_grant.epoch, last.epoch] == [
        2,
        3,
        4,
    ]
    names = {
        reply.lora_name
        for reply in (grant, takeover_grant, handed_back_grant, last)
    }
    assert names == {grant.lora_name}


async def test_restart_at_another_address_moves_the_cell_once(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """The links of the other scheduler do not dial the old address."""
    owner, other = order_by_preference("s1", "s2")
    second = await cluster.start_scheduler(other)
    preferred = await cluster.start_scheduler(owner)
    gateway = await cluster.connect_gateway(preferred)
    await request_until_epoch(gateway, "a", 1)
    await preferred.program.service.stop()
    preferred.scope.cancel()
    restarted = await cluster.start_scheduler(owner)
    gateway = await cluster.connect_gateway(restarted)
    with anyio.fail_after(fixtures.WAIT_S):
        while second.program.service.cells:
            await anyio.sleep(0.05)
    epochs = set()
    ends_at = anyio.current_time() + 2 * peers.LINK_RETRY_S
    for number in itertools.count():
        grant = await request_until_epoch(gateway, f"b-{number}", 1)
        epochs.add(grant.epoch)
        if anyio.current_time() > ends_at:
            break
        await anyio.sleep(0.05)
    assert len(epochs) == 1


async def kill_owner(
    cluster: fixtures.SchedulerCluster,
) -> tuple[fixtures.RunningScheduler, str, messages.GrantReply]:
    """Starts two schedulers, gets a grant and kills the granting scheduler.

    Returns:
        The survivor, the killed scheduler's id and the grant.
    """
    running = {
        name: await cluster.start_scheduler(name) for name in ("s1", "s2")
    }
    gateways = {
        name: await cluster.connect_gateway(scheduler)
        for name, scheduler in running.items()
    }
    name = "s1"
    with anyio.fail_after(fixtures.WAIT_S):
        while True:
            reply = await fixtures.request_grant(
                gateways[name], fixtures.make_request("r1")
            )
            if isinstance(reply, messages.GrantReply):
                break
            name = reply.owner or name
            await anyio.sleep(0.05)
    running.pop(name).scope.cancel()
    (survivor,) = running.values()
    return survivor, name, reply


async def test_takeover_of_a_killed_owner_keeps_adapters_in_use(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """The new owner has a higher epoch and evicts no granted adapter."""
    survivor, killed_owner, grant = await kill_owner(cluster)
    gateway = await cluster.connect_gateway(survivor, "g1")
    held = (fixtures.make_outstanding_grant(grant),)
    request = fixtures.make_request("r2", "b", suspects=(killed_owner,))
    reply = await fixtures.request_until_granted(gateway, request, held)
    assert reply.epoch > grant.epoch
    third = fixtures.make_request("r3", "c", time_left_s=0.5)
    refusal = await fixtures.request_grant(gateway, third, held)
    assert isinstance(refusal, messages.RefusalReply)
    release = messages.GrantRelease(
        request_id=grant.request_id, grant_id=grant.grant_id, upstream="e1"
    )
    await gateway.send(release)
    fourth = fixtures.make_request("r4", "c")
    assert await fixtures.request_until_granted(gateway, fourth)


async def list_gateway(cluster: fixtures.SchedulerCluster, name: str) -> None:
    """Adds a gateway without an open port to the instance list."""
    await cluster.list_instance(
        name, role="gateway", address="127.0.0.1:1", inner_address=""
    )


async def test_new_owner_evicts_nothing_until_every_gateway_has_replied() -> (
    None
):
    """A listed gateway may hold a grant although it is not connected."""
    async with fixtures.run_cluster() as cluster:
        await cluster.start_engine("e1", slots=1)
        await cluster.apply_pool()
        await list_gateway(cluster, "g1")
        await list_gateway(cluster, "g2")
        survivor, killed_owner, grant = await kill_owner(cluster)
        gateway = await cluster.connect_gateway(survivor, "g2")
        for number in range(3):
            other = fixtures.make_request(
                f"r2-{number}", "b", suspects=(killed_owner,), time_left_s=0.7
            )
            assert isinstance(
                await fixtures.request_grant(gateway, other),
                messages.RefusalReply,
            )
        same_request = fixtures.make_request("r3", suspects=(killed_owner,))
        retried_grant = await fixtures.request_until_granted(
            gateway, same_request
        )
        assert retried_grant.lora_name == grant.lora_name
        await fixtures.release_grant(gateway, retried_grant)
        async with anyio.create_task_group() as tasks:
            late = await cluster.connect_gateway(survivor, "g1")
            tasks.start_soon(
                fixtures.reply_to_queries,
                late,
                (fixtures.make_outstanding_grant(grant),),
            )
            held = fixtures.make_request("r4", "b", time_left_s=1.5)
            assert isinstance(
                await fixtures.request_grant(gateway, held),
                messages.RefusalReply,
            )
            await fixtures.release_grant(late, grant)
            freed = fixtures.make_request("r5", "b")
            assert await fixtures.request_until_granted(gateway, freed)
            tasks.cancel_scope.cancel()


async def test_gateway_removed_from_the_list_need_not_reply() -> None:
    """Evictions resume once the missing gateway is no longer listed."""
    async with fixtures.run_cluster() as cluster:
        await cluster.start_engine("e1", slots=1)
        await cluster.apply_pool()
        await list_gateway(cluster, "g1")
        survivor, killed_owner, _ = await kill_owner(cluster)
        gateway = await cluster.connect_gateway(survivor, "g2")
        for number in range(3):
            other = fixtures.make_request(
                f"r2-{number}", "b", suspects=(killed_owner,), time_left_s=0.7
            )
            assert isinstance(
                await fixtures.request_grant(gateway, other),
                messages.RefusalReply,
            )
        await cluster.remove_instance("g1")
        freed = fixtures.make_request("r3", "b")
        assert await fixtures.request_until_granted(gateway, freed)


async def test_killed_owner_is_not_replaced_while_the_platform_is_unavailable(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """The survivor refuses until it can write the record, and then owns."""
    survivor, killed_owner, grant = await kill_owner(cluster)
    gateway = await cluster.connect_gateway(survivor)
    await cluster.set_platform_faults(outage=True)
    request = fixtures.make_request("r2", suspects=(killed_owner,))
    refusal = await fixtures.request_grant(gateway, request)
    assert isinstance(refusal, messages.RefusalReply)
    assert refusal.code == Codes.OWNER_UNREACHABLE
    await cluster.set_platform_faults(outage=False)
    later = fixtures.make_request("r3", suspects=(killed_owner,))
    takeover_grant = await fixtures.request_until_granted(gateway, later)
    assert takeover_grant.epoch > grant.epoch


async def serve_held_grants(
    held: tuple[messages.OutstandingGrant, ...],
    *,
    task_status: anyio.abc.TaskStatus[str],
) -> None:
    """Serves as a gateway that is not connected to a scheduler."""
    hello = messages.Hello(
        version=1,
        instance="g1",
        incarnation="i",
        role="gateway",
        zone=fixtures.ZONE,
    )

    async def reply_with_grants(peer: connection.Connection) -> None:
        await fixtures.reply_to_queries(peer, held)

    await server.serve(
        "127.0.0.1:0",
        hello,
        reply_with_grants,
        fixtures.INNER,
        task_status=task_status,
    )


async def test_unconnected_gateway_is_queried_at_its_inner_address() -> None:
    """Its grants stay valid, and other adapters can be evicted."""
    async with (
        fixtures.run_cluster() as cluster,
        anyio.create_task_group() as tasks,
    ):
        await cluster.start_engine("e1", slots=2)
        await cluster.apply_pool()
        await list_gateway(cluster, "g1")
        survivor, killed_owner, grant = await kill_owner(cluster)
        gateway = await cluster.connect_gateway(survivor, "g2")
        for request_id, adapter in (("r2", "b"), ("r3", "c")):
            request = fixtures.make_request(
                request_id, adapter, suspects=(killed_owner,), time_left_s=1.5
            )
            reply = await fixtures.request_grant(gateway, request)
            if isinstance(reply, messages.GrantReply):
                await fixtures.release_grant(gateway, reply)
        assert isinstance(reply, messages.RefusalReply)
        address = await tasks.start(
            serve_held_grants, (fixtures.make_outstanding_grant(grant),)
        )
        await cluster.list_instance(
            "g1", role="gateway", address="127.0.0.1:1", inner_address=address
        )
        other = fixtures.make_request("r4", "c")
        assert await fixtures.request_until_granted(gateway, other)
        same = await fixtures.request_until_granted(
            gateway, fixtures.make_request("r5")
        )
        assert same.lora_name == grant.lora_name
        tasks.cancel_scope.cancel()


class CapturedUnloads:
    """Captures unload orders before they are sent, as in a frozen owner."""

    def __init__(self) -> None:
        """Creates an instance without orders."""
        self.orders: list[engine_client.Order] = []

    async def unload_adapter(
        self, order: engine_client.Order
    ) -> engine_client.OrderResult:
        """Records an order and never returns."""
        self.orders.append(order)
        await anyio.sleep_forever()
        raise AssertionError


async def test_resumed_owner_unloads_no_adapter_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late unload order of a former owner affects no adapter in use.

    The engine checks no fencing token. The owner freezes before it sends an
    unload order, and a new owner takes over. The lora name of the late order
    is not used again, and further unloads of the former owner are refused.
    """
    async with (
        fixtures.run_cluster() as cluster,
        calls.UpstreamClient(
            upstream_settings.UpstreamSettings()
        ) as upstream_client,
        anyio.create_task_group() as tasks,
    ):
        await cluster.start_engine("e1", checks_fencing=False, slots=1)
        await cluster.apply_pool()
        old = await cluster.start_scheduler("s1")
        gateway = await cluster.connect_gateway(old)
        captured = CapturedUnloads()
        client = old.program.service.engine_client
        monkeypatch.setattr(client, "unload_adapter", captured.unload_adapter)
        first = await request_until_epoch(gateway, "a", 1)
        await gateway.send(fixtures.make_request("b", "b"))
        with anyio.fail_after(fixtures.WAIT_S):
            while not captured.orders:
                await anyio.sleep(0.02)
        (late,) = captured.orders
        assert late.lora_name == first.lora_name
        cell = rows.CellId("p", fixtures.ZONE)
        ownership = old.program.service.cells[cell].engines["e1"].ownership
        old.scope.cancel()
        new = await cluster.start_scheduler("s2")
        gateway = await cluster.connect_gateway(new)
        request = fixtures.make_request("c", suspects=("s1",))
        takeover_grant = await fixtures.request_until_granted(gateway, request)
        assert takeover_grant.epoch == 2
        assert takeover_grant.lora_name != first.lora_name
        engine = engine_client.EngineClient(
            upstream_settings.UpstreamSettings(), upstream_client
        )
        await engine.unload_adapter(late)
        assert ownership.epoch == 1
        tasks.start_soon(ownership.run)
        with anyio.fail_after(fixtures.WAIT_S):
            assert not await ownership.request_unload(takeover_grant.lora_name)
        assert ownership.epoch == 0
        state = await engine.read_state(cluster.engines["e1"])
        assert isinstance(state, engine_client.EngineState)
        assert [adapter.lora_name for adapter in state.loaded] == [
            takeover_grant.lora_name
        ]
        tasks.cancel_scope.cancel()


async def test_planned_stop_releases_the_record_without_a_probe_timeout(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """After a stop the record has no owner; requests get `NOT_OWNER`."""
    running = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(running)
    await fixtures.request_until_granted(gateway, fixtures.make_request("r1"))
    await running.program.service.stop()
    record = await fixtures.read_record(cluster)
    assert (record.owner, record.epoch) == ("", 1)
    reply = await fixtures.request_grant(gateway, fixtures.make_request("r2"))
    assert isinstance(reply, messages.RefusalReply)
    assert reply.code == Codes.NOT_OWNER
