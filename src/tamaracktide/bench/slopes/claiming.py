"""Claims of idempotency keys against the platform, grouped by shard."""

import dataclasses
import random
import statistics

import anyio

from tamaracktide.bench.slopes import clocks
from tamaracktide.bench.slopes import embedded
from tamaracktide.bench.slopes import series
from tamaracktide.core import committer
from tamaracktide.observability import metrics
from tamaracktide.protocol import messages
from tamaracktide.scheduler import claims

CLAIMS_PER_S = 4.0
DURATION_S = 4.0
COMMITTERS = 4
BODY = b"x" * 256


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the claims.

    Attributes:
        latencies_s: Time until each claim was answered.
        unavailable: Claims that were not committed.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    unavailable: int = 0


async def _claim_once(
    shards: claims.ClaimShards, attempt_id: str, tally: Tally
) -> None:
    request = messages.ClaimRequest(
        attempt_id=attempt_id,
        customer="customer-1",
        key=attempt_id,
        fingerprint=attempt_id,
        gateway="gateway-1",
        incarnation="1",
    )
    began = anyio.current_time()
    reply = await shards.claim(request)
    tally.latencies_s.append(anyio.current_time() - began)
    if reply.state != "claimed":
        tally.unavailable += 1
        return
    await shards.report(
        messages.OutcomeReport(
            attempt_id=attempt_id,
            customer="customer-1",
            key=attempt_id,
            outcome="completed",
            status=200,
            content_type="application/json",
            body=BODY,
        )
    )


async def _claim_often(
    places: list[claims.ClaimShards], rng: random.Random, tally: Tally
) -> None:
    """Claims as one gateway does, at random moments."""
    end = anyio.current_time() + DURATION_S
    async with anyio.create_task_group() as tasks:
        while True:
            await anyio.sleep(rng.expovariate(CLAIMS_PER_S))
            if anyio.current_time() >= end:
                return
            attempt_id = f"{rng.getrandbits(128):032x}"
            shards = rng.choice(places)
            tasks.start_soon(_claim_once, shards, attempt_id, tally)


async def _measure(
    gateways: int, seed: int, committers: int, name: str
) -> tuple[series.Reading, ...]:
    tally = Tally()
    async with (
        embedded.run_platform() as platform,
        platform.open_clients(committers) as clients,
        anyio.create_task_group() as tasks,
    ):
        places = [
            claims.ClaimShards(
                client, committer.CommitterSettings(), metrics.Metrics(), tasks
            )
            for client in clients
        ]
        spent = clocks.ProcessorTime()
        async with anyio.create_task_group() as senders:
            for number in range(gateways):
                rng = random.Random(seed * 1000 + number)
                senders.start_soon(_claim_often, places, rng, tally)
        used = spent.seconds
        after = await platform.read_counters()
        tasks.cancel_scope.cancel()
    made = max(len(tally.latencies_s), 1)
    spread = statistics.quantiles(tally.latencies_s or [0.0, 0.0], n=20)
    return (
        series.Reading(f"{name}: claims", "claims/s", made / DURATION_S),
        series.Reading(f"{name}: writes", "calls/s", after.writes / DURATION_S),
        series.Reading(
            f"{name}: writes for a claim", "calls", after.writes / made
        ),
        series.Reading(
            f"{name}: conflicts", "calls/s", after.conflicts / DURATION_S
        ),
        series.Reading(f"{name}: latency, median", "s", spread[9]),
        series.Reading(f"{name}: latency, 95 in 100", "s", spread[18]),
        series.Reading(f"{name}: not committed", "claims", tally.unavailable),
        series.Reading(
            f"{name}: processor time for a claim", "us", used / made * 1e6
        ),
    )


async def measure_claims(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Claims with one committer for each shard."""
    return await _measure(size, seed, 1, "claims, one committer a shard")


async def measure_contention(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Claims with several committers for each shard."""
    name = f"claims, {COMMITTERS} committers a shard"
    return await _measure(size, seed, COMMITTERS, name)


TRIALS = (
    series.Trial(
        name="claims",
        size_label="gateways of 4 claims/s",
        sizes=(1, 4, 40, 80),
        run=measure_claims,
    ),
    series.Trial(
        name="claim_contention",
        size_label="gateways of 4 claims/s",
        sizes=(1, 4, 40),
        run=measure_contention,
    ),
)
