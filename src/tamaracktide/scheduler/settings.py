"""Settings of `tamaracktide-scheduler`."""

import dataclasses
from typing import Annotated

import msgspec

from tamaracktide.core import membership as core_membership
from tamaracktide.core import quarantine as core_quarantine
from tamaracktide.core import shares as core_shares
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.observability import settings as observability_settings
from tamaracktide.protocol import settings as protocol_settings
from tamaracktide.tables import settings as tables_settings
from tamaracktide.upstreams import settings as upstream_settings

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Count = Annotated[int, msgspec.Meta(ge=0, le=100)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpSettings:
    """Settings of the HTTP server for health, metrics and status.

    Attributes:
        host: IP address to listen on.
        port: Port to listen on.
        admin_token: Bearer token for `/admin`; empty disables the check.
    """

    host: str = "127.0.0.1"
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 8081
    admin_token: str = dataclasses.field(default="", repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """The weight store's limits for the whole deployment.

    Attributes:
        loads_per_s: Maximum rate at which loads start.
        in_flight: Maximum number of loads that run at once at full speed.
    """

    loads_per_s: Annotated[float, msgspec.Meta(gt=0)] = 16.0
    in_flight: Annotated[float, msgspec.Meta(gt=0)] = 16.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeriodSettings:
    """Periods of polls, checks and messages.

    Attributes:
        instances_s: Minimum time between polls of the platform's instance
            list. A long list is polled less often; peers forward newer
            versions in the meantime.
        reconcile_s: Time between reconciliations of the owned cells.
        engine_state_s: Time between polls of an engine's state.
        engine_load_s: Time between polls of an engine's load report.
        digest_s: Time between checks whether the digest has changed.
        digest_refresh_s: Time after which an unchanged digest is sent again.
        start_spread_s: Maximum time that a starting scheduler waits for a
            seed peer before it reads the platform.
        ownership_retry_s: Time between attempts to acquire an upstream that
            another scheduler owns.
        ownership_confirm_s: Time between reads of the ownership record of an
            owned upstream.
        confirm_s: Time between queries to gateways that have not reported
            their grants to a new owner.
        audit_s: Time between comparisons of grants with the gateways.
        drains_watch_s: Maximum duration of one watch of the drains.
    """

    instances_s: Seconds = 5.0
    reconcile_s: Seconds = 0.25
    engine_state_s: Seconds = 2.0
    engine_load_s: Seconds = 1.0
    digest_s: Seconds = 0.5
    digest_refresh_s: Seconds = 20.0
    start_spread_s: Seconds = 30.0
    ownership_retry_s: Seconds = 0.3
    ownership_confirm_s: Seconds = 10.0
    confirm_s: Seconds = 1.0
    audit_s: Seconds = 15.0
    drains_watch_s: Seconds = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Bounds of waits and queues.

    Attributes:
        max_waiting: Maximum number of queued requests per cell.
        start_wait_s: Maximum time that a request waits for ownership.
        outstanding_wait_s: Maximum time to wait for the gateways' reports of
            grants in use.
        engine_lost_s: Time without contact after which an engine is
            considered lost.
        withdraw_grace_s: Time after the loss of a gateway's connection until
            its waiting requests are withdrawn.
        grant_grace_s: Time after the loss of a gateway's connection until its
            grants are ended, unless it reconnects.
        stop_timeout_s: Maximum time that a shutdown waits for orders and
            claims.
        release_wait_s: Maximum time to wait for the platform when ownership
            is released. After a time-out, the next owner must first find this
            scheduler unreachable.
        peers: Number of other schedulers to keep a link to.
        max_replies: Maximum number of messages queued for one gateway.
    """

    max_waiting: Annotated[int, msgspec.Meta(ge=1)] = 1024
    start_wait_s: Seconds = 2.0
    outstanding_wait_s: Seconds = 0.5
    engine_lost_s: Seconds = 3.0
    withdraw_grace_s: Seconds = 1.0
    grant_grace_s: Seconds = 30.0
    stop_timeout_s: Seconds = 60.0
    release_wait_s: Seconds = 5.0
    peers: Count = 3
    max_replies: Annotated[int, msgspec.Meta(ge=1)] = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerSettings:
    """All settings of a scheduler.

    Attributes:
        instance: Instance id.
        zone: Availability zone.
        platform: Client of the platform.
        seed_peers: Inner addresses of schedulers from which a starting one
            fetches the instance list and the tables.
        http: HTTP server for health, metrics and status.
        inner: Inner protocol.
        upstreams: Client of the upstreams.
        tables: Follower of the tables.
        store: Limits of the weight store.
        shares: Lending of the weight store's load rate.
        membership: How long evidence about instances stays valid.
        quarantine: Quarantine of requests that crash upstreams.
        periods: Periods of polls, checks and messages.
        limits: Bounds of waits and queues.
        observability: Logs and traces.
    """

    instance: Annotated[str, msgspec.Meta(min_length=1)]
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    platform: platform_settings.PlatformSettings
    seed_peers: tuple[str, ...] = ()
    http: HttpSettings = dataclasses.field(default_factory=HttpSettings)
    inner: protocol_settings.InnerSettings = dataclasses.field(
        default_factory=protocol_settings.InnerSettings
    )
    upstreams: upstream_settings.UpstreamSettings = dataclasses.field(
        default_factory=upstream_settings.UpstreamSettings
    )
    tables: tables_settings.FollowerSettings = dataclasses.field(
        default_factory=tables_settings.FollowerSettings
    )
    store: StoreSettings = dataclasses.field(default_factory=StoreSettings)
    shares: core_shares.ShareSettings = dataclasses.field(
        default_factory=core_shares.ShareSettings
    )
    membership: core_membership.MembershipSettings = dataclasses.field(
        default_factory=core_membership.MembershipSettings
    )
    quarantine: core_quarantine.QuarantineSettings = dataclasses.field(
        default_factory=core_quarantine.QuarantineSettings
    )
    periods: PeriodSettings = dataclasses.field(default_factory=PeriodSettings)
    limits: LimitSettings = dataclasses.field(default_factory=LimitSettings)
    observability: observability_settings.ObservabilitySettings = (
        dataclasses.field(
            default_factory=observability_settings.ObservabilitySettings
        )
    )
