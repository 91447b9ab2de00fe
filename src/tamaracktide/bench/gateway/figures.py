"""Figures of a run of the gateway benchmark."""

from collections.abc import Sequence
import dataclasses

from tamaracktide.bench.gateway import phases
from tamaracktide.bench.gateway import sending


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """The last line of a run; `direct` is the way without the gateway.

    Attributes:
        added_first_token_p50_s: Median time to the first token through the
            gateway minus the direct one, at a tenth of saturation.
        added_first_token_p99_s: The same of the 99th percentiles.
        direct_first_token_p50_s: Direct median.
        direct_first_token_p99_s: Direct 99th percentile.
        paced_requests_per_s: Rate on each way meanwhile.
        paced_requests: Requests timed on each way.
        short_requests_per_s: Short requests a second through the gateway.
        direct_short_requests_per_s: The same, direct.
        short_ratio: The former over the latter.
        short_gateway_cores: Cores that the gateway used meanwhile.
        short_client_cores: Cores that this process used meanwhile.
        tokens_per_s: Streamed tokens a second through the gateway.
        direct_tokens_per_s: The same, direct.
        tokens_ratio: The former over the latter.
        stream_gateway_cores: Cores that the gateway used meanwhile.
        stream_client_cores: Cores that this process used meanwhile.
        gateway_s_per_token: Gateway's processor time per streamed token.
        tokens_per_core_s: Tokens per second of the gateway's processor time.
        cost_ratio: Gateway's processor time per token over the direct
            client's, which reads the same streams.
        failed: Answers that were no whole success, of both ways.
        fault: One of their faults.
    """

    added_first_token_p50_s: float
    added_first_token_p99_s: float
    direct_first_token_p50_s: float
    direct_first_token_p99_s: float
    paced_requests_per_s: float
    paced_requests: int
    short_requests_per_s: float
    direct_short_requests_per_s: float
    short_ratio: float
    short_gateway_cores: float
    short_client_cores: float
    tokens_per_s: float
    direct_tokens_per_s: float
    tokens_ratio: float
    stream_gateway_cores: float
    stream_client_cores: float
    gateway_s_per_token: float
    tokens_per_core_s: float
    cost_ratio: float
    failed: int
    fault: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measured:
    """All phases of a run.

    Attributes:
        short: Short requests through the gateway.
        direct_short: Short requests, direct.
        streams: Streams through the gateway.
        direct_streams: Streams, direct.
        paced: Paced streams through the gateway.
        direct_paced: Paced streams, direct.
        period_s: Time between two paced starts.
    """

    short: phases.Phase
    direct_short: phases.Phase
    streams: phases.Phase
    direct_streams: phases.Phase
    paced: Sequence[sending.Sample]
    direct_paced: Sequence[sending.Sample]
    period_s: float


def find_rate(phase: phases.Phase) -> float:
    """Returns whole answers a second."""
    return sum(one.whole for one in phase.samples) / phase.duration_s


def make_figures(measured: Measured) -> Figures:
    """Returns the figures of a run."""
    through = _list_waits(measured.paced)
    direct = _list_waits(measured.direct_paced)
    added = [
        _find_quantile(through, share) - _find_quantile(direct, share)
        for share in (0.5, 0.99)
    ]
    short, streams = measured.short, measured.streams
    direct_short, direct_streams = (
        measured.direct_short,
        measured.direct_streams,
    )
    tokens_per_s = streams.tokens / streams.duration_s
    direct_tokens_per_s = direct_streams.tokens / direct_streams.duration_s
    cost_s = _divide(streams.gateway_processor_s, streams.tokens)
    client_cost_s = _divide(
        direct_streams.client_processor_s, direct_streams.tokens
    )
    faults = [one.fault for one in _list_samples(measured) if not one.whole]
    return Figures(
        added_first_token_p50_s=round(added[0], 5),
        added_first_token_p99_s=round(added[1], 5),
        direct_first_token_p50_s=round(_find_quantile(direct, 0.5), 5),
        direct_first_token_p99_s=round(_find_quantile(direct, 0.99), 5),
        paced_requests_per_s=round(1 / measured.period_s, 1),
        paced_requests=len(through),
        short_requests_per_s=round(find_rate(short), 1),
        direct_short_requests_per_s=round(find_rate(direct_short), 1),
        short_ratio=round(
            _divide(find_rate(short), find_rate(direct_short)), 3
        ),
        short_gateway_cores=_count_cores(short, short.gateway_processor_s),
        short_client_cores=_count_cores(short, short.client_processor_s),
        tokens_per_s=round(tokens_per_s),
        direct_tokens_per_s=round(direct_tokens_per_s),
        tokens_ratio=round(_divide(tokens_per_s, direct_tokens_per_s), 3),
        stream_gateway_cores=_count_cores(streams, streams.gateway_processor_s),
        stream_client_cores=_count_cores(streams, streams.client_processor_s),
        gateway_s_per_token=round(cost_s, 8),
        tokens_per_core_s=round(_divide(1, cost_s)),
        cost_ratio=round(_divide(cost_s, client_cost_s), 2),
        failed=len(faults),
        fault=next(iter(faults), ""),
    )


def _list_samples(measured: Measured) -> list[sending.Sample]:
    return [
        *measured.short.samples,
        *measured.direct_short.samples,
        *measured.streams.samples,
        *measured.direct_streams.samples,
        *measured.paced,
        *measured.direct_paced,
    ]


def _list_waits(samples: Sequence[sending.Sample]) -> list[float]:
    return sorted(one.first_token_s for one in samples if one.whole)


def _find_quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def _count_cores(phase: phases.Phase, processor_s: float) -> float:
    return round(processor_s / phase.duration_s, 3)


def _divide(dividend: float, divisor: float) -> float:
    return dividend / divisor if divisor else 0.0
