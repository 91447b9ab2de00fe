"""Tests grants, drains and restarts of schedulers against stand-ins."""

import anyio
import anyio.abc
import pytest
import scheduler_fixtures as fixtures

from tamaracktide import result_codes
from tamaracktide.protocol import messages

pytestmark = pytest.mark.anyio
Codes = result_codes.ResultCode


async def test_request_is_granted_once_its_adapter_is_loaded(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """The first request loads the adapter; its grant has epoch and address."""
    scheduler = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(scheduler)
    reply = await fixtures.request_until_granted(
        gateway, fixtures.make_request("r1")
    )
    assert (reply.upstream, reply.epoch) == ("e1", 1)
    assert reply.address == cluster.engines["e1"]
    assert reply.load_wait_s > 0
    next_reply = await fixtures.request_grant(
        gateway, fixtures.make_request("r2")
    )
    assert isinstance(next_reply, messages.GrantReply)
    assert next_reply.lora_name == reply.lora_name
    assert next_reply.load_wait_s == 0


async def test_unknown_pool_is_refused_as_not_run(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """A cell that is not in the tables has no upstream."""
    scheduler = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(scheduler)
    request = messages.GrantRequest(
        request_id="r",
        pool="x",
        zone="z1",
        adapter="a",
        version="1",
        customer="c",
    )
    reply = await fixtures.request_grant(gateway, request)
    assert isinstance(reply, messages.RefusalReply)
    assert reply.code == Codes.NO_UPSTREAM


async def test_owner_keeps_granting_during_a_platform_outage(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """An owner keeps its epoch and its grants without the platform."""
    scheduler = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(scheduler)
    first = await fixtures.request_until_granted(
        gateway, fixtures.make_request("r1")
    )
    await cluster.set_platform_faults(outage=True)
    next_reply = await fixtures.request_grant(
        gateway, fixtures.make_request("r2")
    )
    assert isinstance(next_reply, messages.GrantReply)
    assert next_reply.epoch == first.epoch
    await cluster.set_platform_faults(outage=False)


async def test_unload_of_an_unfenced_engine_is_written_as_an_intent() -> None:
    """The evicted lora name is recorded before the order is sent."""
    async with fixtures.run_cluster() as cluster:
        await cluster.start_engine("e1", checks_fencing=False, slots=1)
        await cluster.apply_pool()
        scheduler = await cluster.start_scheduler("s1")
        gateway = await cluster.connect_gateway(scheduler)
        first = await fixtures.request_until_granted(
            gateway, fixtures.make_request("r1", "a")
        )
        release = messages.GrantRelease(
            request_id="r1", grant_id=first.grant_id, upstream="e1"
        )
        await gateway.send(release)
        await fixtures.request_until_granted(
            gateway, fixtures.make_request("r2", "b")
        )
        record = await fixtures.read_record(cluster)
        names = [intent.lora_name for intent in record.intents]
        assert names == [first.lora_name]


async def test_restarted_engine_is_polled_again_and_serves(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """A new incarnation has empty slots; the adapter is loaded again."""
    scheduler = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(scheduler)
    first = await fixtures.request_until_granted(
        gateway, fixtures.make_request("r1")
    )
    await cluster.set_engine_faults("e1", restart=True)
    with anyio.fail_after(fixtures.WAIT_S):
        for number in range(1000):
            request = fixtures.make_request(f"r2-{number}")
            reply = await fixtures.request_until_granted(gateway, request)
            if reply.incarnation != first.incarnation:
                return
            await anyio.sleep(0.05)


async def test_reconnected_gateway_keeps_its_grants(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """Grants announced again after a lost connection are not ended."""
    scheduler = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(scheduler)
    grant = await fixtures.request_until_granted(
        gateway, fixtures.make_request("r1", "a")
    )
    await gateway.close()
    gateway = await cluster.connect_gateway(scheduler)
    held = (fixtures.make_outstanding_grant(grant),)
    await gateway.send(
        messages.OutstandingReply(
            query_id="", pool="p", zone=fixtures.ZONE, grants=held
        )
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fixtures.reply_to_queries, gateway, held)
        await anyio.sleep(1.5)
        tasks.cancel_scope.cancel()
    service = scheduler.program.service
    (tracked_gateway,) = (
        g for g in service.gateways.list_connected() if g.grants
    )
    assert set(tracked_gateway.grants) == {grant.grant_id}


async def test_drained_upstream_gets_no_new_work(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """An operator's drain object excludes the upstream from new requests."""
    scheduler = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(scheduler)
    await fixtures.request_until_granted(gateway, fixtures.make_request("r1"))
    await cluster.objects.create("drains/e1", b"x")
    with anyio.fail_after(fixtures.WAIT_S):
        for number in range(1000):
            request = fixtures.make_request(f"r2-{number}")
            reply = await fixtures.request_grant(gateway, request)
            if isinstance(reply, messages.RefusalReply):
                assert reply.code == Codes.NO_UPSTREAM
                return
            await anyio.sleep(0.05)


async def test_request_that_crashed_two_upstreams_is_refused_everywhere(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """It runs exclusively the second time; then every scheduler refuses it."""
    scheduler = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(scheduler)
    for number in range(2):
        grant = await fixtures.request_until_granted(
            gateway, fixtures.make_request(f"r-{number}", fingerprint="bad")
        )
        concurrent = fixtures.make_request(f"b-{number}", time_left_s=0.5)
        concurrent_reply = await fixtures.request_grant(gateway, concurrent)
        assert isinstance(concurrent_reply, messages.GrantReply) == (
            number == 0
        )
        if isinstance(concurrent_reply, messages.GrantReply):
            await fixtures.release_grant(gateway, concurrent_reply)
        await gateway.send(
            messages.GrantRelease(
                request_id=grant.request_id,
                grant_id=grant.grant_id,
                upstream="e1",
                lost=True,
                suspect="bad",
            )
        )
    third = fixtures.make_request("r-2", fingerprint="bad")
    refusal = await fixtures.request_grant(gateway, third)
    assert isinstance(refusal, messages.RefusalReply)
    assert refusal.code == Codes.QUARANTINED
    second_scheduler = await cluster.start_scheduler("s2")
    gateway = await cluster.connect_gateway(second_scheduler)
    with anyio.fail_after(fixtures.WAIT_S):
        for number in range(3, 1000):
            request = fixtures.make_request(f"r-{number}", fingerprint="bad")
            later_refusal = await fixtures.request_grant(gateway, request)
            assert isinstance(later_refusal, messages.RefusalReply)
            if later_refusal.code == Codes.QUARANTINED:
                return
            await anyio.sleep(0.05)


async def test_scheduler_bootstraps_from_a_peer_during_a_platform_outage(
    cluster: fixtures.SchedulerCluster,
) -> None:
    """It fetches instances and tables, and names the owner in refusals."""
    first = await cluster.start_scheduler("s1")
    gateway = await cluster.connect_gateway(first)
    await fixtures.request_until_granted(gateway, fixtures.make_request("r1"))
    await cluster.set_platform_faults(outage=True)
    with anyio.fail_after(fixtures.WAIT_S):
        second = await cluster.start_scheduler("s2", (first.inner_address,))
    gateway = await cluster.connect_gateway(second)
    refusal = await fixtures.request_grant(gateway, fixtures.make_request("r2"))
    assert isinstance(refusal, messages.RefusalReply)
    assert (refusal.code, refusal.owner) == (Codes.NOT_OWNER, "s1")
    await cluster.set_platform_faults(outage=False)
