"""Tests of the gateways' requests and grants over lost connections."""

import anyio
import pytest

from tamaracktide.core import rows
from tamaracktide.protocol import messages
from tamaracktide.protocol import outbox
from tamaracktide.scheduler import gateways
from tamaracktide.scheduler import settings as scheduler_settings

pytestmark = pytest.mark.anyio
CELL = rows.CellId("p", "z1")
LIMITS = scheduler_settings.LimitSettings(
    withdraw_grace_s=1.0, grant_grace_s=30.0, outstanding_wait_s=0.05
)


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


class Owner:
    """Remembers what ended."""

    def __init__(self) -> None:
        """Starts without endings."""
        self.withdrawn: list[str] = []
        self.ended: list[str] = []

    def withdraw(self, cell: rows.CellId, request_id: str) -> None:
        """Notes a withdrawn request."""
        self.withdrawn.append(request_id)

    def end_grant(
        self, cell: rows.CellId, release: messages.GrantRelease
    ) -> None:
        """Notes an ended grant."""
        self.ended.append(release.grant_id)


class Outbox(outbox.Outbox):
    """Keeps messages instead of sending them."""

    def __init__(self) -> None:
        """Starts empty."""
        self.sent: list[messages.Message] = []

    def put(self, message: messages.Message) -> bool:
        """Keeps a message."""
        self.sent.append(message)
        return True


class Bench:
    """One gateway with a waiting request and a grant from time 0."""

    def __init__(self) -> None:
        """Connects the gateway."""
        self.owner = Owner()
        self.gateways = gateways.Gateways(LIMITS, self.owner)
        self.outbox = Outbox()
        self.gateway = self.connect("i1", 0.0)
        self.gateway.waiting["r1"] = gateways.Held(CELL, 0.0)
        self.gateway.grants["x1"] = gateways.Held(CELL, 0.0)

    def connect(self, incarnation: str, now: float) -> gateways.Gateway:
        """Connects the gateway, perhaps again."""
        hello = messages.Hello(
            version=1,
            instance="g1",
            incarnation=incarnation,
            role="gateway",
            zone="z1",
        )
        return self.gateways.connect(hello, self.outbox, now)


def make_reply(query_id: str, *grant_ids: str) -> messages.OutstandingReply:
    """Returns a gateway's list of its grants in use."""
    return messages.OutstandingReply(
        query_id=query_id,
        pool=CELL.pool,
        zone=CELL.zone,
        grants=tuple(
            messages.OutstandingGrant(
                request_id="r",
                grant_id=grant_id,
                upstream="e1",
                lora_name="a",
                customer="c",
            )
            for grant_id in grant_ids
        ),
    )


def test_lost_connection_withdraws_waiting_requests_first() -> None:
    """Grants of a gateway that is gone outlive its requests."""
    bench = Bench()
    bench.gateways.disconnect(bench.gateway, bench.outbox, 10.0)
    bench.gateways.end_abandoned(10.9)
    assert bench.owner.withdrawn == []
    bench.gateways.end_abandoned(11.0)
    assert bench.owner.withdrawn == ["r1"]
    assert bench.owner.ended == []
    bench.gateways.end_abandoned(40.0)
    assert bench.owner.ended == ["x1"]


def test_grants_announced_after_a_reconnection_go_on() -> None:
    """What the gateway no longer knows ends; the rest survives."""
    bench = Bench()
    bench.gateway.grants["x2"] = gateways.Held(CELL, 0.0)
    bench.gateways.disconnect(bench.gateway, bench.outbox, 10.0)
    assert bench.connect("i1", 10.5) is bench.gateway
    bench.gateways.apply_reply(bench.gateway, make_reply("", "x2"), 10.6)
    bench.gateways.end_abandoned(11.6)
    assert bench.owner.ended == ["x1"]
    assert list(bench.gateway.grants) == ["x2"]


def test_new_incarnation_ends_everything_of_the_old_one() -> None:
    """A restarted gateway holds nothing."""
    bench = Bench()
    fresh = bench.connect("i2", 1.0)
    assert (bench.owner.withdrawn, bench.owner.ended) == (["r1"], ["x1"])
    assert fresh.grants == {}


def test_late_end_of_an_old_connection_changes_nothing() -> None:
    """Only the newest connection's end counts."""
    bench = Bench()
    old, bench.outbox = bench.outbox, Outbox()
    bench.connect("i1", 1.0)
    bench.gateways.disconnect(bench.gateway, old, 2.0)
    assert bench.gateways.list_connected() == [bench.gateway]


async def test_query_collects_grants_and_ends_forgotten_ones() -> None:
    """Older grants that a reply does not name are given back."""
    bench = Bench()
    now = anyio.current_time()
    bench.gateway.grants["x1"] = gateways.Held(CELL, now - 100.0)
    bench.gateway.grants["x2"] = gateways.Held(CELL, now)
    found: list[messages.OutstandingGrant] = []

    async def collect() -> None:
        found.extend(await bench.gateways.collect(CELL, {"e1": 3}))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(collect)
        await anyio.wait_all_tasks_blocked()
        (query,) = bench.outbox.sent
        assert isinstance(query, messages.OutstandingQuery)
        reply = make_reply(query.query_id, "x3")
        bench.gateways.apply_reply(bench.gateway, reply, now)
    assert [grant.grant_id for grant in found] == ["x3"]
    assert bench.owner.ended == ["x1"]
    assert set(bench.gateway.grants) == {"x2", "x3"}
