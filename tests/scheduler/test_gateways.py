"""Tests of gateways' requests and grants across lost connections."""

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
    """Returns the backend that the daemons use."""
    return "asyncio"


class RecordingListener:
    """Records the ends of requests and grants."""

    def __init__(self) -> None:
        """Initializes the listener with no ends."""
        self.withdrawn: list[str] = []
        self.ended: list[str] = []

    def withdraw(self, cell: rows.CellId, request_id: str) -> None:
        """Records a withdrawn request."""
        self.withdrawn.append(request_id)

    def end_grant(
        self, cell: rows.CellId, release: messages.GrantRelease
    ) -> None:
        """Records an ended grant."""
        self.ended.append(release.grant_id)


class RecordingOutbox(outbox.Outbox):
    """Records messages instead of sending them."""

    def __init__(self) -> None:
        """Initializes the outbox with no messages."""
        self.sent: list[messages.Message] = []

    def put(self, message: messages.Message | bytes) -> bool:
        """Records a message."""
        assert not isinstance(message, bytes)
        self.sent.append(message)
        return True


class GatewayHarness:
    """One gateway with a waiting request and a grant from time 0."""

    def __init__(self) -> None:
        """Connects the gateway."""
        self.listener = RecordingListener()
        self.gateways = gateways.Gateways(LIMITS, self.listener)
        self.outbox = RecordingOutbox()
        self.gateway = self.connect("i1", 0.0)
        self.gateway.waiting["r1"] = gateways.TrackedRequest(CELL, 0.0)
        self.gateway.grants["x1"] = gateways.TrackedRequest(CELL, 0.0)

    def connect(self, incarnation: str, now: float) -> gateways.Gateway:
        """Connects or reconnects the gateway."""
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
    """Grants of a disconnected gateway are kept longer than its requests."""
    harness = GatewayHarness()
    harness.gateways.disconnect(harness.gateway, harness.outbox, 10.0)
    harness.gateways.end_abandoned(10.9)
    assert harness.listener.withdrawn == []
    harness.gateways.end_abandoned(11.0)
    assert harness.listener.withdrawn == ["r1"]
    assert harness.listener.ended == []
    harness.gateways.end_abandoned(40.0)
    assert harness.listener.ended == ["x1"]


def test_grants_announced_after_a_reconnection_are_kept() -> None:
    """Grants that the gateway does not announce are ended."""
    harness = GatewayHarness()
    harness.gateway.grants["x2"] = gateways.TrackedRequest(CELL, 0.0)
    harness.gateways.disconnect(harness.gateway, harness.outbox, 10.0)
    assert harness.connect("i1", 10.5) is harness.gateway
    harness.gateways.apply_reply(harness.gateway, make_reply("", "x2"), 10.6)
    harness.gateways.end_abandoned(11.6)
    assert harness.listener.ended == ["x1"]
    assert list(harness.gateway.grants) == ["x2"]


def test_new_incarnation_ends_everything_of_the_old_one() -> None:
    """A restarted gateway has no requests or grants."""
    harness = GatewayHarness()
    new_gateway = harness.connect("i2", 1.0)
    assert (harness.listener.withdrawn, harness.listener.ended) == (
        ["r1"],
        ["x1"],
    )
    assert new_gateway.grants == {}


def test_late_end_of_a_replaced_connection_is_ignored() -> None:
    """Only the end of the newest connection disconnects the gateway."""
    harness = GatewayHarness()
    old_outbox, harness.outbox = harness.outbox, RecordingOutbox()
    harness.connect("i1", 1.0)
    harness.gateways.disconnect(harness.gateway, old_outbox, 2.0)
    assert harness.gateways.list_connected() == [harness.gateway]


async def test_query_collects_grants_and_ends_unlisted_ones() -> None:
    """Older grants that a reply does not list are ended."""
    harness = GatewayHarness()
    now = anyio.current_time()
    harness.gateway.grants["x1"] = gateways.TrackedRequest(CELL, now - 100.0)
    harness.gateway.grants["x2"] = gateways.TrackedRequest(CELL, now)
    collected_grants: list[messages.OutstandingGrant] = []

    async def collect() -> None:
        collected_grants.extend(await harness.gateways.collect(CELL, {"e1": 3}))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(collect)
        await anyio.wait_all_tasks_blocked()
        (query,) = harness.outbox.sent
        assert isinstance(query, messages.OutstandingQuery)
        reply = make_reply(query.query_id, "x3")
        harness.gateways.apply_reply(harness.gateway, reply, now)
    assert [grant.grant_id for grant in collected_grants] == ["x3"]
    assert harness.listener.ended == ["x1"]
    assert set(harness.gateway.grants) == {"x2", "x3"}
