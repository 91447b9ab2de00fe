"""Settings of `tamaracktide-gateway`."""

import dataclasses
from typing import Annotated

import msgspec

from tamaracktide.core import attempts
from tamaracktide.core import claim_records
from tamaracktide.core import quarantine as core_quarantine
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.observability import settings as observability_settings
from tamaracktide.protocol import settings as protocol_settings
from tamaracktide.tables import settings as tables_settings
from tamaracktide.upstreams import settings as upstream_settings

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Size = Annotated[int, msgspec.Meta(ge=1)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpSettings:
    """Where callers are served, and the limits of a request.

    Attributes:
        host: IP address to listen on.
        port: Port to listen on.
        max_body_bytes: Largest body of a request.
        max_header_bytes: Largest headers of a request.
        max_requests: Most requests in progress.
        keep_alive_s: How long an idle connection is kept.
        default_timeout_s: Deadline of a request without `X-Timeout-S`.
        max_timeout_s: Largest `X-Timeout-S`.
        admin_token: Bearer token for `/admin`; empty allows everyone.
    """

    host: str = "127.0.0.1"
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 8080
    max_body_bytes: Size = 4_000_000
    max_header_bytes: Size = 16_384
    max_requests: Size = 4_000
    keep_alive_s: Annotated[int, msgspec.Meta(ge=1, le=3600)] = 75
    default_timeout_s: Seconds = 60.0
    max_timeout_s: Seconds = 600.0
    admin_token: str = dataclasses.field(default="", repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """How idempotency keys are claimed.

    Attributes:
        timeout_s: Longest wait for one scheduler's reply.
        max_tries: Schedulers that are asked for one claim.
        max_key_bytes: Longest idempotency key.
        max_kept_bytes: Largest answer that is kept for repeats.
        report_tries: Tries to report an outcome.
        report_backoff_s: Wait between them.
    """

    timeout_s: Seconds = 3.0
    max_tries: Annotated[int, msgspec.Meta(ge=1, le=10)] = 2
    max_key_bytes: Size = 256
    max_kept_bytes: Size = claim_records.MAX_STORED_BODY_BYTES
    report_tries: Annotated[int, msgspec.Meta(ge=1, le=100)] = 10
    report_backoff_s: Seconds = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """All settings of a gateway.

    Attributes:
        instance: Instance id.
        zone: Availability zone.
        key_secret: Secret under which API keys are made.
        platform: How the platform is reached.
        http: Callers' side.
        inner: Inner protocol.
        upstreams: Upstreams' side.
        tables: How the tables are followed.
        retries: When requests are tried again.
        claims: How idempotency keys are claimed.
        quarantine: How long verdicts on crashing requests hold.
        observability: Logs and traces.
        instances_period_s: Time between two reads of the instance list.
        decision_records: Requests whose decisions are kept.
        stop_timeout_s: Longest time that a shutdown waits for requests.
        seed_peers: Inner addresses of schedulers that a starting gateway
            reads the instance list and tables from while the platform is out.
    """

    instance: Annotated[str, msgspec.Meta(min_length=1)]
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    key_secret: Annotated[str, msgspec.Meta(min_length=8)] = dataclasses.field(
        repr=False
    )
    platform: platform_settings.PlatformSettings
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
    retries: attempts.RetrySettings = dataclasses.field(
        default_factory=attempts.RetrySettings
    )
    claims: ClaimSettings = dataclasses.field(default_factory=ClaimSettings)
    quarantine: core_quarantine.QuarantineSettings = dataclasses.field(
        default_factory=core_quarantine.QuarantineSettings
    )
    observability: observability_settings.ObservabilitySettings = (
        dataclasses.field(
            default_factory=observability_settings.ObservabilitySettings
        )
    )
    instances_period_s: Seconds = 1.0
    decision_records: Size = 2_000
    stop_timeout_s: Seconds = 600.0
    seed_peers: tuple[str, ...] = ()
