"""Settings and faults of the stand-in service."""

import dataclasses

from tamaracktide.standins.service import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFaults:
    """Faults that can be injected.

    Attributes:
        fail_before: Number of subsequent requests that fail with 503 before
            their effect.
        lose_reply: Number of subsequent requests that take effect but get no
            response.
        delay_s: Delay before the effect of each request.
    """

    fail_before: fields.Count = 0
    lose_reply: fields.Count = 0
    delay_s: fields.Seconds = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """Settings of the stand-in service.

    Attributes:
        instance: Instance id.
        address: `IP:PORT` to listen on.
        token: Bearer token required of clients; none if empty.
        stop_timeout_s: Time allowed for requests in progress at shutdown.
        faults: Faults that are active at startup.
    """

    instance: str
    address: fields.Address
    token: str = ""
    stop_timeout_s: fields.Count = 10
    faults: ServiceFaults = dataclasses.field(default_factory=ServiceFaults)
