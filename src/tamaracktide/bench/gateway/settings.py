"""What a run of the gateway benchmark does."""

import dataclasses

SHORT_TOKENS = 4
"""Tokens of a short request's answer."""

SATURATION_SHARE = 0.1
"""Share of saturation at which the first token is timed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewayBenchSettings:
    """One run.

    Attributes:
        target: `HOST:PORT` of the gateway.
        engines: `HOST:PORT` of the stand-in engines.
        key_secret: Secret under which API keys are made.
        engine_token: Bearer token of the engines.
        gateway_pid: Process whose processor time is read, 0 for none.
        seconds: Duration of each of the five measured phases.
        requests: Short requests in progress at saturation.
        streams: Streams in progress at saturation.
        stream_tokens: Tokens of one stream.
        timeout_s: Longest silence within an answer.
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
