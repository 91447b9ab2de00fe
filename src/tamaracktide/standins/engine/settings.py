"""Settings and faults of the stand-in engine."""

import dataclasses

from tamaracktide.standins.service import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineFaults:
    """Faults that can be injected.

    Attributes:
        fail_loads: Number of subsequent adapter loads that fail.
        freeze: Whether the engine accepts connections but makes no progress.
        crash_prompt: A prompt that contains this text terminates the process;
            disabled if empty.
        silent: One-shot: all connections open at this time stop transferring
            bytes permanently.
        restart: One-shot: the engine loses its state, begins a new
            incarnation and aborts its connections.
        delay_orders_s: Delay before a load or unload order is processed.
        draining: Whether completions are refused with 503.
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
        token: Bearer token required of clients; none if empty.
        platform_token: Bearer token sent to the weight store; none if empty.
        slots: Number of adapter slots.
        batch_limit: Maximum number of requests in the batch.
        token_s: Time per generated token.
        first_token_s: Time from the start of a request to its first token.
        cached_first_token_s: Time to the first token if the prompt's prefix
            is cached.
        load_timeout_s: Timeout of a fetch from the weight store.
        checks_fencing: Whether orders with a stale fencing token are refused.
        load_report_lag_s: Interval between updates of the load report.
        kv_tokens: Capacity of the KV cache in tokens.
        cache_prefixes: Capacity of the prefix cache in prefixes.
        cache_lag_s: Delay before a cache event becomes visible.
        cache_gap: Fraction of cache events that are dropped.
        stream_kept_s: How long a finished stream can be resumed.
        seed: Seed of the random number generator.
        stop_timeout_s: Time allowed for requests in progress at shutdown.
        faults: Faults that are active at startup.
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
