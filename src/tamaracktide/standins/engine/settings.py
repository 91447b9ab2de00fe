"""Settings and faults of the stand-in engine."""

import dataclasses

from tamaracktide.standins.service import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineFaults:
    """Faults that can be switched on.

    Attributes:
        fail_loads: How many next loads fail.
        freeze: Connections are accepted, but nothing makes progress.
        crash_prompt: A prompt that contains this text ends the process;
            none does if empty.
        silent: Once, the open connections stop moving bytes for good.
        restart: Once, everything is forgotten and connections break.
        delay_orders_s: Time before a load or unload order is looked at.
        draining: Completions are refused with 503.
    """

    fail_loads: fields.Count = 0
    freeze: bool = False
    crash_prompt: str = ""
    silent: bool = False
    restart: bool = False
    delay_orders_s: fields.Seconds = 0.0
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Settings of the stand-in engine.

    Attributes:
        instance: Instance id.
        address: `IP:PORT` to listen on.
        zone: Availability zone.
        weight_store: `IP:PORT` of the weight store.
        token: Credential that callers must present; none if empty.
        platform_token: Credential for the weight store.
        slots: Adapter slots.
        batch_limit: Requests that run at a time.
        token_s: Time between tokens.
        first_token_s: Time to the first token of a running request.
        cached_first_token_s: The same if the prompt's prefix is cached.
        load_timeout_s: Longest fetch from the weight store.
        checks_fencing: Whether orders with an old fencing token are refused.
        load_report_lag_s: Time between load reports.
        kv_tokens: Tokens that the KV cache holds.
        cache_prefixes: Prompt prefixes that the cache holds.
        cache_lag_s: Until a cache event is told.
        cache_gap: fields.Fraction of cache events that are never told.
        stream_kept_s: How long an ended stream can be resumed.
        seed: Seed of the random choices.
        stop_timeout_s: How long requests may take to finish at a stop.
        faults: Faults at start.
    """

    instance: str
    address: fields.Address
    zone: str
    weight_store: fields.Address
    token: str = ""
    platform_token: str = ""
    slots: fields.Positive = 4
    batch_limit: fields.Positive = 8
    token_s: fields.Duration = 0.02
    first_token_s: fields.Seconds = 0.05
    cached_first_token_s: fields.Seconds = 0.02
    load_timeout_s: fields.Duration = 60.0
    checks_fencing: bool = True
    load_report_lag_s: fields.Duration = 1.0
    kv_tokens: fields.Positive = 100_000
    cache_prefixes: fields.Positive = 1000
    cache_lag_s: fields.Seconds = 1.0
    cache_gap: fields.Fraction = 0.05
    stream_kept_s: fields.Seconds = 10.0
    seed: int = 0
    stop_timeout_s: fields.Count = 30
    faults: EngineFaults = dataclasses.field(default_factory=EngineFaults)
