"""Settings of `tamaracktide-entry`."""

import dataclasses
from typing import Annotated

import msgspec

from tamaracktide.observability import settings as observability_settings

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=600_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Guarantees of the deployment, and limits of its parts.

    Attributes:
        lease_ms: Time in which orders to an upstream may come from only one
            instance; the quiet period between two lease holders is 0.2 s
            longer.
        grace_s: Time from the stop signal until the process is killed.
        retry_fraction: Retries for each first attempt at a service.
        retry_window_s: Window of the retry budget.
        retry_extra: Retries in a window beyond the fraction, all instances.
        usage_window_s: Window of the usage caps of workspaces.
        usage_fraction: Fraction by which a cap may be exceeded in a window.
        usage_slack: Units by which it may be exceeded beyond that.
        max_answer_bytes: Maximum size of a response that is read completely.
        max_pending_bytes: Maximum number of bytes in a response that wait for
            the end of the headers, of an event, or of chunk extensions or
            trailers. Each header counts for 144 bytes more.
        max_total_answer_bytes: Maximum size of all responses that are being
            read completely, together; beyond it, those that are larger than
            `max_pending_bytes` are given up.
    """

    lease_ms: Milliseconds = 3000
    grace_s: Seconds = 8.0
    retry_fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    retry_window_s: Seconds = 10.0
    retry_extra: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    usage_window_s: Seconds = 10.0
    usage_fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    usage_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 8 << 20
    max_pending_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 1 << 20
    max_total_answer_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 64 << 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry instance.

    Attributes:
        instance: Instance id.
        availability_zone: Availability zone of the instance.
        ip: IP address on the deployment's network.
        caller_address: Listen address for clients.
        readiness_address: Listen address for the load balancer's probes.
        peer_port: Port of the inner protocol, the same on all instances.
        metrics_port: Port of the metrics, at path `/metrics`.
        forward_port: Port for requests that other instances send on, the same
            on all instances; the one after `peer_port` by default.
        seeds: Addresses of instances used to discover the others.
        platform_address: Address of the platform's store.
        slow_start_min_instances: Number of instances from which on requests to
            upstreams that have started begin slowly.
        is_first_start: Whether the deployment starts for the first time, so
            that no stream has begun before.
        inner_token: Secret that all instances share; empty for none.
        bounds: Guarantees of the deployment, and limits of its parts.
        observability: Logs and traces.
    """

    instance: str
    availability_zone: str
    ip: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+$")]
    caller_address: Address
    readiness_address: Address
    peer_port: Port
    metrics_port: Port
    platform_address: Address
    forward_port: Port | None = None
    seeds: tuple[Address, ...] = ()
    slow_start_min_instances: Annotated[int, msgspec.Meta(ge=1)] = 13
    is_first_start: bool = False
    inner_token: str = dataclasses.field(default="", repr=False)
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    observability: observability_settings.ObservabilitySettings = (
        dataclasses.field(
            default_factory=observability_settings.ObservabilitySettings
        )
    )

    @property
    def effective_forward_port(self) -> int:
        """Port for requests that other instances send on."""
        return self.forward_port or self.peer_port + 1

    @property
    def holder(self) -> str:
        """Lease holder id; a process restarted on the machine keeps it."""
        return f"{self.instance}@{self.ip}"
