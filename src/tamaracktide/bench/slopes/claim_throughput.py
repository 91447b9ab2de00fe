"""Throughput and latency of idempotency-key claims against the platform.

The committer of a shard commits the waiting claims in batches.
"""

import dataclasses
import random
import statistics

import anyio

from tamaracktide.bench.slopes import embedded_platform
from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import series
from tamaracktide.core import committer
from tamaracktide.observability import metrics
from tamaracktide.protocol import messages
from tamaracktide.scheduler import claims

GATEWAY_CLAIMS_PER_S = 4.0
DURATION_S = 4.0
COMMITTERS = 4
RESPONSE_BODY = b"x" * 256


@dataclasses.dataclass(slots=True)
class ClaimResults:
    """The results of the claims of all gateways.

    Attributes:
        latencies_s: Time from each claim to its reply.
        unavailable: Number of claims that were not committed.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    unavailable: int = 0


async def _claim_once(
    shards: claims.ClaimShards, attempt_id: str, results: ClaimResults
) -> None:
    request = messages.ClaimRequest(
        attempt_id=attempt_id,
        customer="customer-1",
        key=attempt_id,
        fingerprint=attempt_id,
        gateway="gateway-1",
        incarnation="1",
    )
    started_at = anyio.current_time()
    reply = await shards.claim(request)
    results.latencies_s.append(anyio.current_time() - started_at)
    if reply.state != "claimed":
        results.unavailable += 1
        return
    await shards.report(
        messages.OutcomeReport(
            attempt_id=attempt_id,
            customer="customer-1",
            key=attempt_id,
            outcome="completed",
            status=200,
            content_type="application/json",
            body=RESPONSE_BODY,
        )
    )


async def _send_claims(
    shard_sets: list[claims.ClaimShards],
    rng: random.Random,
    results: ClaimResults,
) -> None:
    """Sends the claims of one gateway as a Poisson process."""
    end = anyio.current_time() + DURATION_S
    async with anyio.create_task_group() as tasks:
        while True:
            await anyio.sleep(rng.expovariate(GATEWAY_CLAIMS_PER_S))
            if anyio.current_time() >= end:
                return
            attempt_id = f"{rng.getrandbits(128):032x}"
            shards = rng.choice(shard_sets)
            tasks.start_soon(_claim_once, shards, attempt_id, results)


async def _measure(
    gateways: int, seed: int, committers: int, name: str
) -> tuple[series.Reading, ...]:
    results = ClaimResults()
    async with (
        embedded_platform.run_platform() as platform,
        platform.open_clients(committers) as clients,
        anyio.create_task_group() as tasks,
    ):
        shard_sets = [
            claims.ClaimShards(
                client, committer.CommitterSettings(), metrics.Metrics(), tasks
            )
            for client in clients
        ]
        cpu_timer = meters.CpuTimer()
        async with anyio.create_task_group() as senders:
            for number in range(gateways):
                rng = random.Random(seed * 1000 + number)
                senders.start_soon(_send_claims, shard_sets, rng, results)
        cpu_s = cpu_timer.seconds
        counters = await platform.read_counters()
        tasks.cancel_scope.cancel()
    claim_count = max(len(results.latencies_s), 1)
    latency_quantiles_s = statistics.quantiles(
        results.latencies_s or [0.0, 0.0], n=20
    )
    return (
        series.Reading(f"{name}: claims", "claims/s", claim_count / DURATION_S),
        series.Reading(
            f"{name}: writes", "calls/s", counters.writes / DURATION_S
        ),
        series.Reading(
            f"{name}: writes for a claim",
            "calls",
            counters.writes / claim_count,
        ),
        series.Reading(
            f"{name}: conflicts", "calls/s", counters.conflicts / DURATION_S
        ),
        series.Reading(f"{name}: latency, median", "s", latency_quantiles_s[9]),
        series.Reading(
            f"{name}: latency, 95 in 100", "s", latency_quantiles_s[18]
        ),
        series.Reading(f"{name}: not committed", "claims", results.unavailable),
        series.Reading(
            f"{name}: processor time for a claim",
            "us",
            cpu_s / claim_count * 1e6,
        ),
    )


async def measure_claims(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Measures claims with one committer for each shard."""
    return await _measure(size, seed, 1, "claims, one committer a shard")


async def measure_contention(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Measures claims with several committers for each shard."""
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
