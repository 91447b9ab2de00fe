"""Settings of a load run."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadSettings:
    """Settings of one run of the load generator.

    Attributes:
        targets: `HOST:PORT` of the gateways, used round-robin.
        key_secret: Secret from which API keys are derived.
        seed: Random seed of the mix.
        requests: Number of requests, not counting resends.
        concurrency: Maximum number of requests in progress.
        max_tokens: Maximum number of tokens that a completion requests.
        stream_share: Fraction of completions that stream.
        chat_share: Fraction of completions that are chat completions.
        write_share: Fraction of service calls that are not idempotent.
        resend_share: Fraction of calls with an idempotency key that are resent
            to another gateway.
        skew: Exponent of the popularity of routes by rank.
        timeout_s: Deadline of each request.
        effects: `HOST:PORT` of the services whose effects are counted.
        engine_records: `HOST:PORT` of the engines whose executed attempts are
            compared with the refusals.
        pace_s: Time between the starts of two calls; 0 starts a call when
            another ends.
        retries: Maximum number of retries of a call that was refused before
            it ran.
    """

    targets: tuple[str, ...]
    key_secret: str = dataclasses.field(repr=False)
    seed: int = 0
    requests: int = 200
    concurrency: int = 16
    max_tokens: int = 24
    stream_share: float = 0.5
    chat_share: float = 0.3
    write_share: float = 0.5
    resend_share: float = 0.3
    skew: float = 0.8
    timeout_s: float = 30.0
    effects: tuple[str, ...] = ()
    engine_records: tuple[str, ...] = ()
    pace_s: float = 0.0
    retries: int = 0
