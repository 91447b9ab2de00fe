"""Tests of schedulers against stand-ins: grants, drains, restarts."""

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
    """The first request loads, and the grant names epoch and address."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
    reply = await fixtures.ask_until_granted(
        gateway, fixtures.make_request("r1")
    )
    assert (reply.upstream, reply.epoch) == ("e1", 1)
    assert reply.address == bench.engines["e1"]
    assert reply.load_wait_s > 0
    again = await fixtures.ask(gateway, fixtures.make_request("r2"))
    assert isinstance(again, messages.GrantReply)
    assert again.lora_name == reply.lora_name
    assert again.load_wait_s == 0


async def test_unknown_pool_is_refused_as_not_run(
    bench: fixtures.Bench,
) -> None:
    """A cell that no table names has no upstream."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
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


async def test_owner_goes_on_while_the_platform_is_out(
    bench: fixtures.Bench,
) -> None:
    """Without the platform the owner keeps its epoch and grants."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
    first = await fixtures.ask_until_granted(
        gateway, fixtures.make_request("r1")
    )
    await bench.set_platform_faults(outage=True)
    again = await fixtures.ask(gateway, fixtures.make_request("r2"))
    assert isinstance(again, messages.GrantReply)
    assert again.epoch == first.epoch
    await bench.set_platform_faults(outage=False)


async def test_unload_of_an_unfenced_engine_is_written_as_an_intent() -> None:
    """The eviction's name is in the record before the order is sent."""
    async with fixtures.run_bench() as bench:
        await bench.start_engine("e1", checks_fencing=False, slots=1)
        await bench.apply_pool()
        running = await bench.start_scheduler("s1")
        gateway = await bench.connect_gateway(running)
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


async def test_restarted_engine_is_read_again_and_serves(
    bench: fixtures.Bench,
) -> None:
    """A new incarnation empties the slots; the adapter is loaded again."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
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


async def test_gateway_that_comes_back_keeps_its_grants(
    bench: fixtures.Bench,
) -> None:
    """A lost connection ends no grant that is announced again."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
    grant = await fixtures.ask_until_granted(
        gateway, fixtures.make_request("r1", "a")
    )
    await gateway.close()
    gateway = await bench.connect_gateway(running)
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
    service = running.program.service
    (known,) = (g for g in service.gateways.list_connected() if g.grants)
    assert set(known.grants) == {grant.grant_id}


async def test_drained_upstream_gets_no_new_work(
    bench: fixtures.Bench,
) -> None:
    """An operator's drain object keeps new requests away."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
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


async def test_request_that_loses_two_upstreams_is_refused_everywhere(
    bench: fixtures.Bench,
) -> None:
    """The second time it runs alone; then all schedulers refuse it."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
    for number in range(2):
        grant = await fixtures.ask_until_granted(
            gateway, fixtures.make_request(f"r-{number}", fingerprint="bad")
        )
        beside = fixtures.make_request(f"b-{number}", time_left_s=0.5)
        answer = await fixtures.ask(gateway, beside)
        assert isinstance(answer, messages.GrantReply) == (number == 0)
        if isinstance(answer, messages.GrantReply):
            await fixtures.end(gateway, answer)
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
    other = await bench.start_scheduler("s2")
    gateway = await bench.connect_gateway(other)
    with anyio.fail_after(fixtures.WAIT_S):
        for number in range(3, 1000):
            again = fixtures.make_request(f"r-{number}", fingerprint="bad")
            told = await fixtures.ask(gateway, again)
            assert isinstance(told, messages.RefusalReply)
            if told.code == Codes.QUARANTINED:
                return
            await anyio.sleep(0.05)


async def test_scheduler_started_while_the_platform_is_out_learns_from_a_peer(
    bench: fixtures.Bench,
) -> None:
    """It knows the instances and the tables, and names the owner."""
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
