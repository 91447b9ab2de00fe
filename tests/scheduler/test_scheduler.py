"""Tests of schedulers against stand-ins: grants, takeover, handover."""

from collections.abc import AsyncIterator
import itertools

import anyio
import anyio.abc
import pytest
import scheduler_fixtures as fixtures

from tamaracktide import result_codes
from tamaracktide.core import ownership_events
from tamaracktide.core import rendezvous
from tamaracktide.core import rows
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client
from tamaracktide.upstreams import settings as upstream_settings

pytestmark = pytest.mark.anyio
Codes = result_codes.ResultCode


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


@pytest.fixture
async def bench(anyio_backend: str) -> AsyncIterator[fixtures.Bench]:
    """A platform with one engine of two slots and the tables."""
    async with fixtures.run_bench() as bench:
        await bench.start_engine("e1")
        await bench.apply_pool()
        yield bench


def hold(grant: messages.GrantReply) -> messages.OutstandingGrant:
    """Returns the grant as a gateway announces it."""
    return messages.OutstandingGrant(
        request_id=grant.request_id,
        grant_id=grant.grant_id,
        upstream=grant.upstream,
        lora_name=grant.lora_name,
        customer="c",
    )


async def read_record(
    bench: fixtures.Bench,
) -> ownership_events.OwnershipRecord:
    """Returns the engine's ownership record."""
    stored = await bench.objects.read("ownership/e1")
    return ownership_events.decode_record(stored.value)


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


def find_preferred(*names: str) -> list[str]:
    """Returns schedulers in the order in which they should own the cell."""
    return rendezvous.order_owners(
        f"p@{fixtures.ZONE}",
        [(name, fixtures.ZONE) for name in names],
        fixtures.ZONE,
    )


async def ask_until_owned(
    gateway: connection.Connection, prefix: str, epoch: int
) -> messages.GrantReply:
    """Asks until a scheduler grants under at least this epoch."""
    with anyio.fail_after(fixtures.WAIT_S):
        for number in itertools.count():
            request = fixtures.make_request(f"{prefix}-{number}")
            reply = await fixtures.ask_until_granted(gateway, request)
            await end(gateway, reply)
            if reply.epoch >= epoch:
                return reply
    raise AssertionError


async def test_second_scheduler_names_the_owner(bench: fixtures.Bench) -> None:
    """The preferred one owns the cell; the other always names it."""
    owner, other = find_preferred("s1", "s2")
    running = {name: await bench.start_scheduler(name) for name in ("s1", "s2")}
    gateways = {
        name: await bench.connect_gateway(one) for name, one in running.items()
    }
    await fixtures.ask_until_granted(
        gateways[owner], fixtures.make_request("r")
    )
    for number in range(5):
        refusal = await fixtures.ask(
            gateways[other], fixtures.make_request(f"r-{number}")
        )
        assert isinstance(refusal, messages.RefusalReply)
        assert (refusal.code, refusal.owner) == (Codes.NOT_OWNER, owner)


async def test_cell_is_handed_back_to_the_preferred_owner(
    bench: fixtures.Bench,
) -> None:
    """It goes over at a planned stop and comes back, with its adapters."""
    owner, other = find_preferred("s1", "s2")
    second = await bench.start_scheduler(other)
    first_gateway = await bench.connect_gateway(second)
    grant = await ask_until_owned(first_gateway, "a", 1)
    preferred = await bench.start_scheduler(owner)
    gateway = await bench.connect_gateway(preferred)
    taken = await ask_until_owned(gateway, "b", 2)
    refusal = await fixtures.ask(first_gateway, fixtures.make_request("c"))
    assert isinstance(refusal, messages.RefusalReply)
    assert (refusal.code, refusal.owner) == (Codes.NOT_OWNER, owner)
    await preferred.program.service.stop()
    preferred.scope.cancel()
    back = await ask_until_owned(first_gateway, "d", 3)
    again = await bench.start_scheduler(owner)
    gateway = await bench.connect_gateway(again)
    last = await ask_until_owned(gateway, "e", 4)
    assert [taken.epoch, back.epoch, last.epoch] == [2, 3, 4]
    names = {one.lora_name for one in (grant, taken, back, last)}
    assert names == {grant.lora_name}


async def kill_owner(
    bench: fixtures.Bench,
) -> tuple[fixtures.Running, str, messages.GrantReply]:
    """Starts two schedulers, grants, and kills the one that granted.

    Returns:
        The survivor, the dead scheduler's id and the grant.
    """
    running = {name: await bench.start_scheduler(name) for name in ("s1", "s2")}
    gateways = {
        name: await bench.connect_gateway(one) for name, one in running.items()
    }
    name = "s1"
    with anyio.fail_after(fixtures.WAIT_S):
        while True:
            reply = await fixtures.ask(
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
    bench: fixtures.Bench,
) -> None:
    """The next owner has a new epoch and evicts no granted adapter."""
    survivor, dead, grant = await kill_owner(bench)
    gateway = await bench.connect_gateway(survivor, "g1")
    held = (hold(grant),)
    request = fixtures.make_request("r2", "b", suspects=(dead,))
    reply = await fixtures.ask_until_granted(gateway, request, held)
    assert reply.epoch > grant.epoch
    third = fixtures.make_request("r3", "c", time_left_s=0.5)
    refusal = await fixtures.ask(gateway, third, held)
    assert isinstance(refusal, messages.RefusalReply)
    release = messages.GrantRelease(
        request_id=grant.request_id, grant_id=grant.grant_id, upstream="e1"
    )
    await gateway.send(release)
    fourth = fixtures.make_request("r4", "c")
    assert await fixtures.ask_until_granted(gateway, fourth)


async def list_gateway(bench: fixtures.Bench, name: str) -> None:
    """Puts a gateway into the instance list that listens nowhere."""
    await bench.list_instance(
        name, role="gateway", address="127.0.0.1:1", inner_address=""
    )


async def test_new_owner_evicts_nothing_until_every_gateway_has_answered() -> (
    None
):
    """A gateway that is listed, but not connected, may hold a grant."""
    async with fixtures.run_bench() as bench:
        await bench.start_engine("e1", slots=1)
        await bench.apply_pool()
        await list_gateway(bench, "g1")
        await list_gateway(bench, "g2")
        survivor, dead, grant = await kill_owner(bench)
        gateway = await bench.connect_gateway(survivor, "g2")
        for number in range(3):
            other = fixtures.make_request(
                f"r2-{number}", "b", suspects=(dead,), time_left_s=0.7
            )
            assert isinstance(
                await fixtures.ask(gateway, other), messages.RefusalReply
            )
        same = fixtures.make_request("r3", suspects=(dead,))
        again = await fixtures.ask_until_granted(gateway, same)
        assert again.lora_name == grant.lora_name
        await end(gateway, again)
        async with anyio.create_task_group() as tasks:
            late = await bench.connect_gateway(survivor, "g1")
            tasks.start_soon(answer_queries, late, (hold(grant),))
            held = fixtures.make_request("r4", "b", time_left_s=1.5)
            assert isinstance(
                await fixtures.ask(gateway, held), messages.RefusalReply
            )
            await end(late, grant)
            freed = fixtures.make_request("r5", "b")
            assert await fixtures.ask_until_granted(gateway, freed)
            tasks.cancel_scope.cancel()


async def test_gateway_that_left_the_list_need_not_answer() -> None:
    """It counts as answered, so evictions go on."""
    async with fixtures.run_bench() as bench:
        await bench.start_engine("e1", slots=1)
        await bench.apply_pool()
        await list_gateway(bench, "g1")
        survivor, dead, _ = await kill_owner(bench)
        gateway = await bench.connect_gateway(survivor, "g2")
        for number in range(3):
            other = fixtures.make_request(
                f"r2-{number}", "b", suspects=(dead,), time_left_s=0.7
            )
            assert isinstance(
                await fixtures.ask(gateway, other), messages.RefusalReply
            )
        await bench.remove_instance("g1")
        freed = fixtures.make_request("r3", "b")
        assert await fixtures.ask_until_granted(gateway, freed)


async def answer_queries(
    opened: connection.Connection,
    held: tuple[messages.OutstandingGrant, ...],
) -> None:
    """Goes on answering a scheduler's queries with the held grants."""
    while True:
        message = await opened.receive()
        if isinstance(message, messages.Heartbeat):
            await opened.send(messages.Heartbeat(sequence=0))
        elif isinstance(message, messages.OutstandingQuery):
            await opened.send(
                messages.OutstandingReply(
                    query_id=message.query_id,
                    pool=message.pool,
                    zone=message.zone,
                    grants=held,
                )
            )


async def end(
    opened: connection.Connection, grant: messages.GrantReply
) -> None:
    """Gives a grant back."""
    await opened.send(
        messages.GrantRelease(
            request_id=grant.request_id,
            grant_id=grant.grant_id,
            upstream=grant.upstream,
        )
    )


async def test_dead_owner_is_not_replaced_while_the_platform_is_out(
    bench: fixtures.Bench,
) -> None:
    """The survivor refuses until it can write the record, then takes over."""
    survivor, dead, grant = await kill_owner(bench)
    gateway = await bench.connect_gateway(survivor)
    await bench.set_platform_faults(outage=True)
    request = fixtures.make_request("r2", suspects=(dead,))
    refusal = await fixtures.ask(gateway, request)
    assert isinstance(refusal, messages.RefusalReply)
    assert refusal.code == Codes.OWNER_UNREACHABLE
    await bench.set_platform_faults(outage=False)
    later = fixtures.make_request("r3", suspects=(dead,))
    taken = await fixtures.ask_until_granted(gateway, later)
    assert taken.epoch > grant.epoch


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


async def test_planned_stop_hands_over_without_a_probe_timeout(
    bench: fixtures.Bench,
) -> None:
    """After a stop the record is free and requests are refused with a hint."""
    running = await bench.start_scheduler("s1")
    gateway = await bench.connect_gateway(running)
    await fixtures.ask_until_granted(gateway, fixtures.make_request("r1"))
    await running.program.service.stop()
    record = await read_record(bench)
    assert (record.owner, record.epoch) == ("", 1)
    reply = await fixtures.ask(gateway, fixtures.make_request("r2"))
    assert isinstance(reply, messages.RefusalReply)
    assert reply.code == Codes.NOT_OWNER


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
        record = await read_record(bench)
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
    held = (hold(grant),)
    await gateway.send(
        messages.OutstandingReply(
            query_id="", pool="p", zone=fixtures.ZONE, grants=held
        )
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(answer_queries, gateway, held)
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
            await end(gateway, answer)
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


async def serve_held_grants(
    held: tuple[messages.OutstandingGrant, ...],
    *,
    task_status: anyio.abc.TaskStatus[str],
) -> None:
    """Listens as a gateway that no scheduler has a link to."""
    hello = messages.Hello(
        version=1,
        instance="g1",
        incarnation="i",
        role="gateway",
        zone=fixtures.ZONE,
    )

    async def answer(opened: connection.Connection) -> None:
        await answer_queries(opened, held)

    await server.serve(
        "127.0.0.1:0",
        hello,
        answer,
        fixtures.INNER,
        task_status=task_status,
    )


async def test_gateway_without_a_link_is_asked_at_its_inner_address() -> None:
    """Its grants are kept, and evictions of others go on."""
    async with (
        fixtures.run_bench() as bench,
        anyio.create_task_group() as tasks,
    ):
        await bench.start_engine("e1", slots=2)
        await bench.apply_pool()
        await list_gateway(bench, "g1")
        survivor, dead, grant = await kill_owner(bench)
        gateway = await bench.connect_gateway(survivor, "g2")
        for request_id, adapter in (("r2", "b"), ("r3", "c")):
            request = fixtures.make_request(
                request_id, adapter, suspects=(dead,), time_left_s=1.5
            )
            reply = await fixtures.ask(gateway, request)
            if isinstance(reply, messages.GrantReply):
                await end(gateway, reply)
        assert isinstance(reply, messages.RefusalReply)
        address = await tasks.start(serve_held_grants, (hold(grant),))
        await bench.list_instance(
            "g1", role="gateway", address="127.0.0.1:1", inner_address=address
        )
        other = fixtures.make_request("r4", "c")
        assert await fixtures.ask_until_granted(gateway, other)
        same = await fixtures.ask_until_granted(
            gateway, fixtures.make_request("r5")
        )
        assert same.lora_name == grant.lora_name
        tasks.cancel_scope.cancel()


class HeldUnloads:
    """Keeps a scheduler's unload orders, as a frozen owner does."""

    def __init__(self) -> None:
        """Starts without orders."""
        self.orders: list[engine_client.Order] = []

    async def unload_adapter(
        self, order: engine_client.Order
    ) -> engine_client.OrderResult:
        """Keeps an order that is about to be sent."""
        self.orders.append(order)
        await anyio.sleep_forever()
        raise AssertionError


async def test_frozen_owner_that_wakes_unloads_nothing_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On an unfenced engine its late order finds a name that nobody uses."""
    async with (
        fixtures.run_bench() as bench,
        calls.Caller(upstream_settings.UpstreamSettings()) as caller,
        anyio.create_task_group() as tasks,
    ):
        await bench.start_engine("e1", checks_fencing=False, slots=1)
        await bench.apply_pool()
        old = await bench.start_scheduler("s1")
        gateway = await bench.connect_gateway(old)
        held = HeldUnloads()
        client = old.program.service.engine_client
        monkeypatch.setattr(client, "unload_adapter", held.unload_adapter)
        first = await ask_until_owned(gateway, "a", 1)
        await gateway.send(fixtures.make_request("b", "b"))
        with anyio.fail_after(fixtures.WAIT_S):
            while not held.orders:
                await anyio.sleep(0.02)
        (late,) = held.orders
        assert late.lora_name == first.lora_name
        cell = rows.CellId("p", fixtures.ZONE)
        keeper = old.program.service.cells[cell].engines["e1"].keeper
        old.scope.cancel()
        new = await bench.start_scheduler("s2")
        gateway = await bench.connect_gateway(new)
        request = fixtures.make_request("c", suspects=("s1",))
        taken = await fixtures.ask_until_granted(gateway, request)
        assert taken.epoch == 2
        assert taken.lora_name != first.lora_name
        engine = engine_client.EngineClient(
            upstream_settings.UpstreamSettings(), caller
        )
        await engine.unload_adapter(late)
        assert keeper.epoch == 1
        tasks.start_soon(keeper.run)
        with anyio.fail_after(fixtures.WAIT_S):
            assert not await keeper.ask_unload(taken.lora_name)
        assert keeper.epoch == 0
        state = await engine.read_state(bench.engines["e1"])
        assert isinstance(state, engine_client.EngineState)
        assert [one.lora_name for one in state.loaded] == [taken.lora_name]
        tasks.cancel_scope.cancel()
