"""What a load run does."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadSettings:
    """One run of the load tool.

    Attributes:
        targets: `HOST:PORT` of the gateways, used in turn.
        key_secret: Secret under which API keys are made.
        seed: Seed of the mix.
        requests: Requests to send, resends not counted.
        concurrency: Requests in progress at most.
        max_tokens: Most tokens that a completion asks for.
        stream_share: Share of completions that stream.
        chat_share: Share of completions that are chats.
        write_share: Share of service calls that are not idempotent.
        resend_share: Share of keyed calls that are sent to another gateway
            again.
        skew: Exponent of the popularity of routes by rank.
        timeout_s: Deadline of each request.
        effects: `HOST:PORT` of the services whose effects are counted.
        engine_records: `HOST:PORT` of the engines whose runs are compared
            with the refusals.
        pace_s: Time between two starts, 0 to start when one ends.
        retries: Times that a call refused unrun is sent again.
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
