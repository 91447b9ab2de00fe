"""Settings and faults of the stand-in platform."""

import dataclasses

from tamaracktide.standins.platform import directory
from tamaracktide.standins.service import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformFaults:
    """Faults that can be switched on.

    Attributes:
        outage: The object API and the instance list answer 503.
        slow_s: Added to each call but weight fetches.
        lose_replies: How many next writes take effect without a reply.
        stale_reads: Reads and listings serve the state of when this was
            switched on.
        cut_zones: Availability zones whose callers get no answer.
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
        token: Credential that callers must present; none if empty.
        writes_per_s: fields.Rate of writes.
        reads_per_s: fields.Rate of reads, listings and watches.
        history_limit: Changes remembered for watches.
        lag_s: Until a change of the instance list is visible.
        load_s: fields.Duration of a load at full speed.
        full_speed_loads: Loads in flight before all slow down.
        missing_adapters: Adapters that the weight store does not have.
        instances: The instance list at start, by instance id.
        stop_timeout_s: How long requests may take to finish at a stop.
        faults: Faults at start.
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
    instances: dict[str, directory.Entry] = dataclasses.field(
        default_factory=dict
    )
    stop_timeout_s: fields.Count = 1
    faults: PlatformFaults = dataclasses.field(default_factory=PlatformFaults)
