"""Settings of the gateway benchmark."""

import dataclasses

SHORT_TOKENS = 4
"""Number of tokens in the response to a short request."""

SATURATION_FRACTION = 0.1
"""Fraction of the saturation rate at which the first token is timed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewayBenchSettings:
    """Settings of one run.

    Attributes:
        target: `HOST:PORT` of the gateway.
        engines: `HOST:PORT` of the stand-in engines.
        key_secret: Secret from which API keys are derived.
        engine_token: Bearer token of the engines.
        gateway_pid: Process id of the gateway, for its CPU time; 0 for none.
        seconds: Duration of each of the five measured phases.
        requests: Concurrent short requests at saturation.
        streams: Concurrent streams at saturation.
        stream_tokens: Number of tokens per stream.
        timeout_s: Maximum time without data in a response.
    """

    target: str
    engines: tuple[str, ...]
    key_secret: str = dataclasses.field(repr=False)
    engine_token: str = dataclasses.field(repr=False)
    gateway_pid: int
    seconds: float
    requests: int
    streams: int
    stream_tokens: int
    timeout_s: float = 10.0
