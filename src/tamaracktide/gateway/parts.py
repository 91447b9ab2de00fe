"""The components of a gateway that all its requests share."""

import dataclasses
import random

import anyio.abc

from tamaracktide.core import quarantine
from tamaracktide.core import retry_budget
from tamaracktide.gateway import admission
from tamaracktide.gateway import claims
from tamaracktide.gateway import decisions
from tamaracktide.gateway import membership
from tamaracktide.gateway import schedulers
from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.gateway import sources
from tamaracktide.gateway import streams
from tamaracktide.observability import metrics
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine
from tamaracktide.upstreams import service
from tamaracktide.upstreams import streams as upstream_streams

ROLE = "gateway"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The components that serve requests.

    Attributes:
        settings: Settings of the gateway.
        incarnation: Id that changes at each start of the gateway.
        tables: Source of the current tables.
        members: Listed instances.
        schedulers: Links to schedulers.
        admission: Requests grants.
        claims: Claims idempotency keys.
        quarantine: Tracks requests that may crash upstreams.
        upstream_client: HTTP client of upstreams.
        stream_client: HTTP client for streamed responses of upstreams.
        read_pacer: Limits the rate of reads of streams.
        engines: Client of engines.
        services: Client of plain services.
        records: Decision records.
        metrics: Metric instruments.
        budget: Retry budget.
        rng: Random source for jitter.
        tasks: Task group for work that outlives a request.
    """

    settings: gateway_settings.GatewaySettings
    incarnation: str
    tables: sources.TablesSource
    members: membership.Membership
    schedulers: schedulers.SchedulerPool
    admission: admission.Admission
    claims: claims.ClaimClient
    quarantine: quarantine.Quarantine
    upstream_client: calls.UpstreamClient
    stream_client: upstream_streams.StreamClient
    read_pacer: streams.ReadPacer
    engines: engine.EngineClient
    services: service.ServiceClient
    records: decisions.DecisionLog
    metrics: metrics.Metrics
    budget: retry_budget.RetryBudget
    rng: random.Random
    tasks: anyio.abc.TaskGroup

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether requests with this fingerprint are quarantined."""
        self.quarantine.apply_quarantined(self.schedulers.quarantined, now)
        return self.quarantine.is_quarantined(fingerprint, now)


def make_hello(
    settings: gateway_settings.GatewaySettings, incarnation: str
) -> messages.Hello:
    """Returns the handshake message of this gateway."""
    return messages.Hello(
        version=messages.PROTOCOL_VERSION,
        instance=settings.instance,
        incarnation=incarnation,
        role=ROLE,
        zone=settings.zone,
    )


def make_parts(
    settings: gateway_settings.GatewaySettings,
    tables: sources.TablesSource,
    members: membership.Membership,
    upstream_client: calls.UpstreamClient,
    stream_client: upstream_streams.StreamClient,
    incarnation: str,
    rng: random.Random,
    tasks: anyio.abc.TaskGroup,
) -> Parts:
    """Creates the components of a gateway; none of them runs yet.

    Args:
        settings: Settings of the gateway.
        tables: Source of the current tables.
        members: Listed instances.
        upstream_client: HTTP client of upstreams.
        stream_client: HTTP client for streamed responses of upstreams.
        incarnation: Id that changes at each start of the gateway.
        rng: Random source for jitter.
        tasks: Task group for work that outlives a request.
    """
    hello = make_hello(settings, incarnation)

    async def open_connection(address: str) -> connection.Connection:
        return await client.open_connection(address, hello, settings.inner)

    records = decisions.DecisionLog(settings.decision_records)
    instruments = metrics.Metrics()
    pool = schedulers.SchedulerPool(
        members, tables, open_connection, settings.inner, rng
    )
    return Parts(
        settings=settings,
        incarnation=incarnation,
        tables=tables,
        members=members,
        schedulers=pool,
        admission=admission.Admission(members, pool, records, settings.zone),
        claims=claims.ClaimClient(settings, pool, incarnation, instruments),
        quarantine=quarantine.Quarantine(settings.quarantine),
        upstream_client=upstream_client,
        stream_client=stream_client,
        read_pacer=streams.ReadPacer(),
        engines=engine.EngineClient(
            settings.upstreams, upstream_client, stream_client
        ),
        services=service.ServiceClient(settings.upstreams, upstream_client),
        records=records,
        metrics=instruments,
        budget=retry_budget.RetryBudget(settings.retries.budget),
        rng=rng,
        tasks=tasks,
    )
