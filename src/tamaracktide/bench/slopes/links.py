"""Bytes and CPU time of connections of the inner protocol.

Both ends run in this process, so the CPU time is the sum of both.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import relay
from tamaracktide.bench.slopes import series
from tamaracktide.gateway import links
from tamaracktide.peering import update_filters
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.protocol import settings as protocol_settings
from tamaracktide.scheduler import settings as scheduler_settings

SETTINGS = protocol_settings.InnerSettings(
    token="bench", handshake_timeout_s=30.0, heartbeat_timeout_s=30.0
)
PERIODS = scheduler_settings.PeriodSettings()
MEASURE_S = 3.0
SETTLE_S = 1.6
MS_PER_S = 1e3
US_PER_S = 1e6
OWNED_UPSTREAMS = 20
CELL_LOADS = (
    messages.CellLoad(
        pool="base-1",
        zone="region-1-a",
        running=900,
        capacity=1280,
        waiting=3,
        wait_s=0.25,
    ),
)


def make_hello(role: str, number: int = 0) -> messages.Hello:
    """Returns the first message that a process sends on a connection."""
    return messages.Hello(
        version=messages.PROTOCOL_VERSION,
        instance=f"{role}-{number}",
        incarnation=uuid.uuid4().hex[:12],
        role=role,
        zone="region-1-a",
    )


class SchedulerStub:
    """Sends gateways fixed replies in place of a scheduler's decisions."""

    def __init__(self, owned: int) -> None:
        """Creates a stub that owns `owned` upstreams of one cell."""
        self._loads = CELL_LOADS if owned else ()
        self._digest = messages.Digest(
            revision=1000,
            epochs={f"engine-{number}": 12 for number in range(owned)},
        )

    async def handle(self, gateway_connection: connection.Connection) -> None:
        """Serves one gateway until the connection closes."""
        with contextlib.suppress(errors.ProtocolError):
            await self._serve(gateway_connection)

    async def _serve(self, gateway_connection: connection.Connection) -> None:
        with contextlib.suppress(BaseExceptionGroup):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    heartbeats.keep_alive,
                    gateway_connection,
                    SETTINGS,
                    self._read_loads,
                )
                tasks.start_soon(self._send_digests, gateway_connection)
                while True:
                    reply = _make_reply(await gateway_connection.receive())
                    if reply is not None:
                        await gateway_connection.send(reply)

    def _read_loads(self) -> tuple[messages.CellLoad, ...]:
        return self._loads

    async def _send_digests(
        self, gateway_connection: connection.Connection
    ) -> None:
        digest_filter = update_filters.DigestFilter(PERIODS.digest_refresh_s)
        while True:
            digest = digest_filter.next(self._digest, anyio.current_time())
            if digest is not None:
                await gateway_connection.send(digest)
            await anyio.sleep(PERIODS.digest_s)


def _make_reply(message: messages.Message) -> messages.Message | None:
    match message:
        case messages.GrantRequest(request_id=request_id):
            return messages.GrantReply(
                request_id=request_id,
                grant_id=request_id,
                upstream="engine-100",
                address="10.0.0.1:8000",
                incarnation="0123456789ab",
                lora_name="adapter-10000@1",
                epoch=12,
            )
        case messages.ClaimRequest(attempt_id=attempt_id):
            return messages.ClaimReply(attempt_id=attempt_id, state="claimed")
        case messages.OutcomeReport(attempt_id=attempt_id):
            return messages.OutcomeReply(attempt_id=attempt_id, kept=True)
        case _:
            return None


@contextlib.asynccontextmanager
async def open_links(
    count: int, owned: int, seed: int, *, metered: bool
) -> AsyncIterator[tuple[list[links.Link], relay.Relay | None]]:
    """Opens links from gateways to one scheduler.

    Args:
        count: Number of links.
        owned: Number of upstreams that the scheduler owns.
        seed: Seed for the jitter of the links.
        metered: Whether the links go through a relay that counts bytes.

    Yields:
        The connected links and the relay, if there is one.
    """
    hello = make_hello("scheduler")
    async with (
        anyio.create_task_group() as tasks,
        contextlib.AsyncExitStack() as stack,
    ):
        address = await tasks.start(
            server.serve,
            "127.0.0.1:0",
            hello,
            SchedulerStub(owned).handle,
            SETTINGS,
        )
        meter = None
        if metered:
            address, meter = await stack.enter_async_context(
                relay.run_relay(address)
            )
        gateway_links = [_make_link(address, n, seed) for n in range(count)]
        for link in gateway_links:
            tasks.start_soon(link.run, _ignore_open, _ignore_message)
        while not all(link.connected for link in gateway_links):
            await anyio.sleep(0.01)
        yield gateway_links, meter
        for link in gateway_links:
            link.stopped.cancel()
        tasks.cancel_scope.cancel()


def _make_link(address: str, number: int, seed: int) -> links.Link:
    hello = make_hello("gateway", number)

    async def open_connection(peer: str) -> connection.Connection:
        return await client.open_connection(peer, hello, SETTINGS)

    return links.Link(
        hello.instance,
        address,
        hello.zone,
        open_connection,
        SETTINGS,
        random.Random(seed + number),
    )


async def _ignore_open(_link: links.Link) -> None:
    return


async def _ignore_message(_link: links.Link, _message: object) -> None:
    return


async def _measure_idle(
    size: int, seed: int, owned: int, peer_name: str
) -> tuple[series.Reading, ...]:
    async with open_links(size, owned, seed, metered=False):
        await anyio.sleep(SETTLE_S)
        cpu_timer = meters.CpuTimer()
        await anyio.sleep(MEASURE_S)
        used = cpu_timer.seconds / MEASURE_S * MS_PER_S
    async with open_links(size, owned, seed, metered=True) as (_, meter):
        if meter is None:
            raise AssertionError("the links are not metered")
        await anyio.sleep(SETTLE_S)
        up, down = meter.up_bytes, meter.down_bytes
        await anyio.sleep(MEASURE_S)
        up_rate = (meter.up_bytes - up) / MEASURE_S
        down_rate = (meter.down_bytes - down) / MEASURE_S
    return (
        series.Reading(f"links to {peer_name}: processor time", "ms/s", used),
        series.Reading(f"links to {peer_name}: gateways send", "B/s", up_rate),
        series.Reading(
            f"links to {peer_name}: scheduler sends", "B/s", down_rate
        ),
    )


async def measure_idle_links(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Measures idle links to a scheduler that owns no upstreams."""
    return await _measure_idle(size, seed, 0, "an idle scheduler")


async def measure_owner_links(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Measures idle links to the owner of a cell."""
    return await _measure_idle(size, seed, OWNED_UPSTREAMS, "an owner")


async def measure_link_memory(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Measures the memory of open links; each end holds half of it."""
    async with open_links(1, 0, seed, metered=False):
        memory = meters.MemoryTracer()
        async with open_links(size, 0, seed, metered=False):
            await anyio.sleep(SETTLE_S)
            held_bytes = memory.stop()
    return (
        series.Reading("memory of links, one end", "bytes", held_bytes / 2),
    )


MessageFactory = Callable[
    [links.Link, int], tuple[tuple[str, messages.Message], ...]
]


async def _measure_exchanges(
    size: int, seed: int, exchange: str, make_messages: MessageFactory
) -> tuple[series.Reading, ...]:
    """Exchanges the messages of `size` requests, one request at a time."""
    async with open_links(1, 0, seed, metered=False) as (gateway_links, _):
        cpu_timer = meters.CpuTimer()
        await _exchange_all(gateway_links[0], size, make_messages)
        used = cpu_timer.seconds * US_PER_S
    async with open_links(1, 0, seed, metered=True) as (gateway_links, meter):
        if meter is None:
            raise AssertionError("the link is not metered")
        before = meter.up_bytes + meter.down_bytes
        await _exchange_all(gateway_links[0], size, make_messages)
        relayed_bytes = meter.up_bytes + meter.down_bytes - before
    return (
        series.Reading(f"{exchange}: processor time", "us", used),
        series.Reading(f"{exchange}: both ways", "bytes", relayed_bytes),
    )


async def _exchange_all(
    link: links.Link, size: int, make_messages: MessageFactory
) -> None:
    for number in range(size):
        for reply_id, message in make_messages(link, number):
            if reply_id:
                await link.send_request(reply_id, message)
            else:
                await link.send(message)


def _make_grant(
    _link: links.Link, number: int
) -> tuple[tuple[str, messages.Message], ...]:
    request_id = f"{number:032x}"
    request = messages.GrantRequest(
        request_id=request_id,
        pool="base-1",
        zone="region-1-a",
        adapter="adapter-10000",
        version="1",
        customer="customer-10000",
        prompt_tokens=300,
        prefix=f"{number:016x}",
        traceparent=f"00-{number:032x}-{number:016x}-01",
    )
    release = messages.GrantRelease(
        request_id=request_id,
        grant_id=request_id,
        upstream="engine-100",
        prompt_tokens=300,
        generated_tokens=256,
    )
    return (request_id, request), ("", release)


def _make_claim(
    link: links.Link, number: int
) -> tuple[tuple[str, messages.Message], ...]:
    attempt_id = f"{number:032x}"
    claim = messages.ClaimRequest(
        attempt_id=attempt_id,
        customer="customer-10000",
        key=attempt_id,
        fingerprint=attempt_id,
        gateway=link.instance,
        incarnation="0123456789ab",
    )
    report = messages.OutcomeReport(
        attempt_id=attempt_id,
        customer="customer-10000",
        key=attempt_id,
        outcome="completed",
        status=200,
        content_type="application/json",
        body=b"x" * 256,
    )
    return (
        ("claim:" + attempt_id, claim),
        ("outcome:" + attempt_id, report),
    )


async def measure_grant_exchanges(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Requests and releases grants."""
    return await _measure_exchanges(size, seed, "grants", _make_grant)


async def measure_claim_exchanges(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Claims keys and reports outcomes with response bodies of 256 bytes."""
    return await _measure_exchanges(size, seed, "claims", _make_claim)


TRIALS = (
    series.Trial(
        name="idle_links",
        size_label="links",
        sizes=(8, 32, 128),
        run=measure_idle_links,
    ),
    series.Trial(
        name="owner_links",
        size_label="links",
        sizes=(8, 32, 128),
        run=measure_owner_links,
    ),
    series.Trial(
        name="link_memory",
        size_label="links",
        sizes=(16, 64, 256),
        run=measure_link_memory,
    ),
    series.Trial(
        name="grant_exchanges",
        size_label="grants",
        sizes=(200, 400, 800),
        run=measure_grant_exchanges,
    ),
    series.Trial(
        name="claim_exchanges",
        size_label="claims",
        sizes=(200, 400, 800),
        run=measure_claim_exchanges,
    ),
)
