"""Settings and faults of the stand-in platform."""

import dataclasses

from tamaracktide.standins.platform import directory
from tamaracktide.standins.service import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformFaults:
    """Faults that can be injected.

    Attributes:
        outage: Whether the object API and the instance list return 503.
        slow_s: Delay added to each call except weight fetches.
        lose_replies: Number of subsequent writes that take effect but get no
            response.
        stale_reads: Whether reads and listings return the state from when
            this fault was enabled.
        cut_zones: Availability zones whose clients get no response.
    """

    outage: bool = False
    slow_s: fields.Seconds = 0.0
    lose_replies: fields.Count = 0
    stale_reads: bool = False
    cut_zones: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Settings of the stand-in platform.

    Attributes:
        address: `IP:PORT` to listen on.
        token: Bearer token required of clients; none if empty.
        writes_per_s: Rate limit of writes.
        reads_per_s: Rate limit of reads, listings and watches.
        history_limit: Number of changes retained for watches.
        lag_s: Delay before a change of the instance list is visible.
        load_s: Duration of a weight load at full speed.
        full_speed_loads: Number of loads in flight above which all slow down.
        missing_adapters: Adapters that the weight store reports as not found.
        instances: The instance list at startup, by instance id.
        stop_timeout_s: Time allowed for requests in progress at shutdown.
        faults: Faults that are active at startup.
    """

    address: fields.Address
    token: str = ""
    writes_per_s: fields.Rate = 400.0
    reads_per_s: fields.Rate = 2000.0
    history_limit: fields.Positive = 100_000
    lag_s: fields.Seconds = 0.0
    load_s: fields.Seconds = 0.25
    full_speed_loads: fields.Positive = 16
    missing_adapters: tuple[str, ...] = ()
    instances: dict[str, directory.InstanceEntry] = dataclasses.field(
        default_factory=dict
    )
    stop_timeout_s: fields.Count = 1
    faults: PlatformFaults = dataclasses.field(default_factory=PlatformFaults)
