"""Settings and faults of the stand-in service."""

import dataclasses

from tamaracktide.standins.service import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFaults:
    """Faults that can be switched on.

    Attributes:
        fail_before: How many next requests get 503 before their effect.
        lose_reply: How many next requests take effect without a reply.
        delay_s: Time before the effect of each request.
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
        token: Credential that callers must present; none if empty.
        stop_timeout_s: How long requests may take to finish at a stop.
        faults: Faults at start.
    """

    instance: str
    address: fields.Address
    token: str = ""
    stop_timeout_s: fields.Count = 10
    faults: ServiceFaults = dataclasses.field(default_factory=ServiceFaults)
