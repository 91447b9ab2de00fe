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
    bench: fixtures.Bench,
) -> None:
    """The first request loads the adapter; its grant has epoch and address."""
    scheduler = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(scheduler)
    reply = await fixtures.ask_until_granted(
        gateway, fixtures.make_request("r1")
    )
    assert (reply.upstream, reply.epoch) == ("e1", 1)
    assert reply.address == bench.engines["e1"]
    assert reply.load_wait_s > 0
    next_reply = await fixtures.ask(gateway, fixtures.make_request("r2"))
    assert isinstance(next_reply, messages.GrantReply)
    assert next_reply.lora_name == reply.lora_name
    assert next_reply.load_wait_s == 0


async def test_unknown_pool_is_refused_as_not_run(
    bench: fixtures.Bench,
) -> None:
    """A cell that is not in the tables has no upstream."""
    scheduler = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(scheduler)
    request = messages.GrantRequest(
        request_id="r",
        pool="x",
        zone="z1",
        adapter="a",
        version="1",
        customer="c",
    )
    reply = await fixtures.ask(gateway, request)
    assert isinstance(reply, messages.RefusalReply)
    assert reply.code == Codes.NO_UPSTREAM


async def test_owner_keeps_granting_during_a_platform_outage(
    bench: fixtures.Bench,
) -> None:
    """An owner keeps its epoch and its grants without the platform."""
    scheduler = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(scheduler)
    first = await fixtures.ask_until_granted(
        gateway, fixtures.make_request("r1")
    )
    await bench.set_platform_faults(outage=True)
    next_reply = await fixtures.ask(gateway, fixtures.make_request("r2"))
    assert isinstance(next_reply, messages.GrantReply)
    assert next_reply.epoch == first.epoch
    await bench.set_platform_faults(outage=False)


async def test_unload_of_an_unfenced_engine_is_written_as_an_intent() -> None:
    """The evicted lora name is recorded before the order is sent."""
    async with fixtures.run_bench() as bench:
        await bench.start_engine("e1", checks_fencing=False, slots=1)
        await bench.apply_pool()
        scheduler = await bench.start_scheduler("s1")
        gateway = await bench.connect_gateway(scheduler)
        first = await fixtures.ask_until_granted(
            gateway, fixtures.make_request("r1", "a")
        )
        release = messages.GrantRelease(
            request_id="r1", grant_id=first.grant_id, upstream="e1"
        )
        await gateway.send(release)
        await fixtures.ask_until_granted(
            gateway, fixtures.make_request("r2", "b")
        )
        record = await fixtures.read_record(bench)
        names = [intent.lora_name for intent in record.intents]
        assert names == [first.lora_name]


async def test_restarted_engine_is_polled_again_and_serves(
    bench: fixtures.Bench,
) -> None:
    """A new incarnation has empty slots; the adapter is loaded again."""
    scheduler = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(scheduler)
    first = await fixtures.ask_until_granted(
        gateway, fixtures.make_request("r1")
    )
    await bench.set_engine_faults("e1", restart=True)
    with anyio.fail_after(fixtures.WAIT_S):
        for number in range(1000):
            request = fixtures.make_request(f"r2-{number}")
            reply = await fixtures.ask_until_granted(gateway, request)
            if reply.incarnation != first.incarnation:
                return
            await anyio.sleep(0.05)


async def test_reconnected_gateway_keeps_its_grants(
    bench: fixtures.Bench,
) -> None:
    """Grants announced again after a lost connection are not ended."""
    scheduler = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(scheduler)
    grant = await fixtures.ask_until_granted(
        gateway, fixtures.make_request("r1", "a")
    )
    await gateway.close()
    gateway = await bench.connect_gateway(scheduler)
    held = (fixtures.hold(grant),)
    await gateway.send(
        messages.OutstandingReply(
            query_id="", pool="p", zone=fixtures.ZONE, grants=held
        )
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fixtures.answer_queries, gateway, held)
        await anyio.sleep(1.5)
        tasks.cancel_scope.cancel()
    service = scheduler.program.service
    (known,) = (g for g in service.gateways.list_connected() if g.grants)
    assert set(known.grants) == {grant.grant_id}


async def test_drained_upstream_gets_no_new_work(
    bench: fixtures.Bench,
) -> None:
    """An operator's drain object excludes the upstream from new requests."""
    scheduler = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(scheduler)
    await fixtures.ask_until_granted(gateway, fixtures.make_request("r1"))
    await bench.objects.create("drains/e1", b"x")
    with anyio.fail_after(fixtures.WAIT_S):
        for number in range(1000):
            request = fixtures.make_request(f"r2-{number}")
            reply = await fixtures.ask(gateway, request)
            if isinstance(reply, messages.RefusalReply):
                assert reply.code == Codes.NO_UPSTREAM
                return
            await anyio.sleep(0.05)


async def test_request_that_crashed_two_upstreams_is_refused_everywhere(
    bench: fixtures.Bench,
) -> None:
    """It runs exclusively the second time; then every scheduler refuses it."""
    scheduler = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(scheduler)
    for number in range(2):
        grant = await fixtures.ask_until_granted(
            gateway, fixtures.make_request(f"r-{number}", fingerprint="bad")
        )
        concurrent = fixtures.make_request(f"b-{number}", time_left_s=0.5)
        concurrent_reply = await fixtures.ask(gateway, concurrent)
        assert isinstance(concurrent_reply, messages.GrantReply) == (
            number == 0
        )
        if isinstance(concurrent_reply, messages.GrantReply):
            await fixtures.end(gateway, concurrent_reply)
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
    refusal = await fixtures.ask(gateway, third)
    assert isinstance(refusal, messages.RefusalReply)
    assert refusal.code == Codes.QUARANTINED
    second_scheduler = await bench.start_scheduler("s2")
    gateway = await bench.connect_gateway(second_scheduler)
    with anyio.fail_after(fixtures.WAIT_S):
        for number in range(3, 1000):
            request = fixtures.make_request(f"r-{number}", fingerprint="bad")
            later_refusal = await fixtures.ask(gateway, request)
            assert isinstance(later_refusal, messages.RefusalReply)
            if later_refusal.code == Codes.QUARANTINED:
                return
            await anyio.sleep(0.05)


async def test_scheduler_bootstraps_from_a_peer_during_a_platform_outage(
    bench: fixtures.Bench,
) -> None:
    """It fetches instances and tables, and names the owner in refusals."""
    first = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(first)
    await fixtures.ask_until_granted(gateway, fixtures.make_request("r1"))
    await bench.set_platform_faults(outage=True)
    with anyio.fail_after(fixtures.WAIT_S):
        second = await bench.start_scheduler("s2", (first.inner_address,))
    gateway = await bench.connect_gateway(second)
    refusal = await fixtures.ask(gateway, fixtures.make_request("r2"))
    assert isinstance(refusal, messages.RefusalReply)
    assert (refusal.code, refusal.owner) == (Codes.NOT_OWNER, "s1")
    await bench.set_platform_faults(outage=False)
