"""Computes the figures of a run of the gateway benchmark."""

from collections.abc import Sequence
import dataclasses

from tamaracktide.bench.gateway import phases
from tamaracktide.bench.gateway import sending


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """The printed result of a run.

    Fields with `direct` in their names measure calls sent directly to the
    engines.

    Attributes:
        added_first_token_p50_s: Median time to first token through the gateway
            minus the direct median, at a tenth of the saturation rate.
        added_first_token_p99_s: Same difference of the 99th percentiles.
        direct_first_token_p50_s: Direct median time to first token.
        direct_first_token_p99_s: Direct 99th percentile time to first token.
        paced_requests_per_s: Rate of paced requests to each kind of target.
        paced_requests: Number of paced requests timed through the gateway.
        short_requests_per_s: Rate of short requests through the gateway.
        direct_short_requests_per_s: Direct rate of short requests.
        short_ratio: `short_requests_per_s` / `direct_short_requests_per_s`.
        short_gateway_cores: CPU cores used by the gateway for short requests.
        short_client_cores: CPU cores used by this process for short requests.
        tokens_per_s: Rate of streamed tokens through the gateway.
        direct_tokens_per_s: Direct rate of streamed tokens.
        tokens_ratio: `tokens_per_s` / `direct_tokens_per_s`.
        stream_gateway_cores: CPU cores used by the gateway while streaming.
        stream_client_cores: CPU cores used by this process while streaming.
        gateway_s_per_token: CPU time of the gateway per streamed token.
        tokens_per_core_s: Streamed tokens per second of the gateway's CPU time.
        cost_ratio: CPU time per token of the gateway divided by that of the
            direct client, which reads the same streams.
        failed: Number of failed or incomplete responses from all targets.
        fault: Cause of the first of these failures.
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
class Measurements:
    """The measured phases of a run.

    Attributes:
        short: Short requests through the gateway.
        direct_short: Short requests sent directly to the engines.
        streams: Streams through the gateway.
        direct_streams: Streams directly from the engines.
        paced: Paced streams through the gateway.
        direct_paced: Paced streams directly from the engines.
        period_s: Time between the starts of two paced streams.
    """

    short: phases.PhaseResult
    direct_short: phases.PhaseResult
    streams: phases.PhaseResult
    direct_streams: phases.PhaseResult
    paced: Sequence[sending.Sample]
    direct_paced: Sequence[sending.Sample]
    period_s: float


def find_completed_per_s(phase: phases.PhaseResult) -> float:
    """Returns the rate of complete responses per second."""
    return sum(sample.complete for sample in phase.samples) / phase.duration_s


def make_figures(measurements: Measurements) -> Figures:
    """Computes the figures of a run."""
    gateway_times_s = _list_first_token_times(measurements.paced)
    direct_times_s = _list_first_token_times(measurements.direct_paced)
    added_s = [
        _find_quantile(gateway_times_s, quantile)
        - _find_quantile(direct_times_s, quantile)
        for quantile in (0.5, 0.99)
    ]
    short, streams = measurements.short, measurements.streams
    direct_short, direct_streams = (
        measurements.direct_short,
        measurements.direct_streams,
    )
    tokens_per_s = streams.tokens / streams.duration_s
    direct_tokens_per_s = direct_streams.tokens / direct_streams.duration_s
    cost_s = _divide(streams.gateway_processor_s, streams.tokens)
    client_cost_s = _divide(
        direct_streams.client_processor_s, direct_streams.tokens
    )
    faults = [
        sample.fault
        for sample in _list_samples(measurements)
        if not sample.complete
    ]
    return Figures(
        added_first_token_p50_s=round(added_s[0], 5),
        added_first_token_p99_s=round(added_s[1], 5),
        direct_first_token_p50_s=round(_find_quantile(direct_times_s, 0.5), 5),
        direct_first_token_p99_s=round(_find_quantile(direct_times_s, 0.99), 5),
        paced_requests_per_s=round(1 / measurements.period_s, 1),
        paced_requests=len(gateway_times_s),
        short_requests_per_s=round(find_completed_per_s(short), 1),
        direct_short_requests_per_s=round(
            find_completed_per_s(direct_short), 1
        ),
        short_ratio=round(
            _divide(
                find_completed_per_s(short), find_completed_per_s(direct_short)
            ),
            3,
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


def _list_samples(measurements: Measurements) -> list[sending.Sample]:
    return [
        *measurements.short.samples,
        *measurements.direct_short.samples,
        *measurements.streams.samples,
        *measurements.direct_streams.samples,
        *measurements.paced,
        *measurements.direct_paced,
    ]


def _list_first_token_times(samples: Sequence[sending.Sample]) -> list[float]:
    return sorted(sample.first_token_s for sample in samples if sample.complete)


def _find_quantile(values: Sequence[float], quantile: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(quantile * len(values)))]


def _count_cores(phase: phases.PhaseResult, processor_s: float) -> float:
    return round(processor_s / phase.duration_s, 3)


def _divide(dividend: float, divisor: float) -> float:
    return dividend / divisor if divisor else 0.0
