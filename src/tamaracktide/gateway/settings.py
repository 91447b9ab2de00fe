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
    """HTTP server for clients, and limits of a request.

    Attributes:
        host: IP address to listen on.
        port: Port to listen on.
        max_body_bytes: Maximum size of a request body.
        max_header_bytes: Maximum total size of the headers of a request.
        max_requests: Maximum number of requests in progress.
        keep_alive_s: Time after which an idle connection is closed.
        default_timeout_s: Deadline of a request without `X-Timeout-S`.
        max_timeout_s: Maximum value of `X-Timeout-S`.
        admin_token: Bearer token for `/admin`; empty disables the check.
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
    """Claims of idempotency keys.

    Attributes:
        timeout_s: Time limit for one scheduler's reply.
        max_tries: Maximum number of schedulers that are tried for one claim.
        max_key_bytes: Maximum length of an idempotency key.
        max_kept_bytes: Maximum size of a response body that is stored for
            retries.
        report_tries: Maximum number of attempts to report an outcome.
        report_backoff_s: Time between these attempts.
    """

    timeout_s: Seconds = 3.0
    max_tries: Annotated[int, msgspec.Meta(ge=1, le=10)] = 2
    max_key_bytes: Size = 256
    max_kept_bytes: Size = claim_records.MAX_STORED_BODY_BYTES
    report_tries: Annotated[int, msgspec.Meta(ge=1, le=100)] = 10
    report_backoff_s: Seconds = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway.

    Attributes:
        instance: Instance id.
        zone: Availability zone.
        key_secret: Secret from which API keys are derived.
        platform: Client of the platform.
        http: HTTP server for clients.
        inner: Inner protocol between gateways and schedulers.
        upstreams: Client of upstreams.
        tables: Watch on the tables.
        retries: Retries of requests.
        claims: Claims of idempotency keys.
        quarantine: Quarantine of requests that crash upstreams.
        observability: Logs and traces.
        instances_period_s: Time between reads of the instance list.
        decision_records: Number of requests whose decisions are retained.
        stop_timeout_s: Maximum time that a shutdown waits for requests.
        seed_peers: Inner addresses of schedulers from which a starting gateway
            reads the instance list and the tables while the platform is
            unavailable.
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
