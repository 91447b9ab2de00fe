"""Aggregates the results of a run."""

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from tamaracktide import result_codes
from tamaracktide.load import checks
from tamaracktide.load import sender


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRuns:
    """Attempts that the engines ran, as their records state.

    Attributes:
        names: Ids of the attempts.
        unread: Number of engines whose record could not be read.
    """

    names: frozenset[str]
    unread: int


NO_ENGINE_RUNS = EngineRuns(frozenset(), 0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Summary of a run, printed as its last line.

    Attributes:
        sent: Requests sent, including resends.
        completed: Correct and complete responses.
        refused: Refusals that state `not run`.
        unknown: Errors that state `outcome unknown`.
        broken: Responses that ended in an error event or a closed connection.
        unreachable: Requests that no gateway accepted.
        wrong: Responses of another adapter, version or client.
        truncated: Incomplete responses that ended as if they were complete.
        effects_doubled: Effects of a key beyond the first.
        retried: Retries after a refusal or a refused connection.
        effects_missing: Keys with a completed response but without an effect.
        refusals_untrue: Keys that have an effect although every response said
            `not run`, and requests that an engine ran although a response
            said `not run`.
        refused_in_progress: Refusals with `CLAIM_IN_PROGRESS` of a key whose
            other request completed; such a refusal is due while the first
            request is in progress.
        engines_unread: Engines whose record could not be read.
        codes: Count of each result code.
        first_token_p50_s: Median time to first token of streams.
        first_token_p95_s: 95th percentile of the time to first token.
        small_first_token_p95_s: 95th percentile of the time to first token of
            all customers except the largest.
        duration_s: Duration of the run.
        seed: Random seed of the mix.
    """

    sent: int
    completed: int
    refused: int
    unknown: int
    broken: int
    unreachable: int
    wrong: int
    truncated: int
    retried: int
    effects_doubled: int
    effects_missing: int
    refusals_untrue: int
    refused_in_progress: int
    engines_unread: int
    codes: dict[str, int]
    first_token_p50_s: float
    first_token_p95_s: float
    small_first_token_p95_s: float
    duration_s: float
    seed: int

    @property
    def clean(self) -> bool:
        """Whether the run shows no violation of a guarantee."""
        return not (
            self.wrong
            or self.truncated
            or self.effects_doubled
            or self.effects_missing
            or self.refusals_untrue
        )


def make_report(
    results: Sequence[sender.Result],
    effects: Mapping[str, int] | None,
    duration_s: float,
    seed: int,
    runs: EngineRuns = NO_ENGINE_RUNS,
) -> Report:
    """Returns the report of a run.

    Args:
        results: Results of all requests.
        effects: Effects by key from the services; None if not requested.
        duration_s: Duration of the run.
        seed: Random seed of the mix.
        runs: Attempts that the engines ran.
    """
    counts = collections.Counter(result.verdict for result in results)
    codes = collections.Counter(
        str(result.code) for result in results if result.code
    )
    first_token_times_s = _sort_first_token_times(results)
    small_results = _exclude_largest_customer(results)
    keyed = _group_service_keys(results)
    effect_counts = effects or {}
    return Report(
        sent=len(results),
        completed=counts[checks.Verdict.COMPLETED],
        refused=counts[checks.Verdict.REFUSED],
        unknown=counts[checks.Verdict.UNKNOWN],
        broken=counts[checks.Verdict.BROKEN],
        unreachable=counts[checks.Verdict.UNREACHABLE],
        wrong=counts[checks.Verdict.WRONG],
        truncated=counts[checks.Verdict.TRUNCATED],
        retried=sum(result.retried for result in results),
        effects_doubled=sum(
            max(0, effect_counts.get(key, 0) - 1) for key in keyed
        ),
        effects_missing=sum(
            checks.Verdict.COMPLETED in verdicts
            and not effect_counts.get(key, 0)
            for key, verdicts in keyed.items()
            if effects is not None
        ),
        refusals_untrue=sum(
            verdicts == {checks.Verdict.REFUSED}
            and effect_counts.get(key, 0) > 0
            for key, verdicts in keyed.items()
        )
        + _count_refused_runs(results, runs.names),
        refused_in_progress=_count_refused_in_progress(results),
        engines_unread=runs.unread,
        codes=dict(sorted(codes.items())),
        first_token_p50_s=_compute_quantile(first_token_times_s, 0.5),
        first_token_p95_s=_compute_quantile(first_token_times_s, 0.95),
        small_first_token_p95_s=_compute_quantile(
            _sort_first_token_times(small_results), 0.95
        ),
        duration_s=round(duration_s, 3),
        seed=seed,
    )


def _sort_first_token_times(results: Sequence[sender.Result]) -> list[float]:
    return sorted(
        result.first_token_s for result in results if result.first_token_s
    )


def _exclude_largest_customer(
    results: Sequence[sender.Result],
) -> list[sender.Result]:
    """Returns the results of all but the customer with the most requests."""
    counts = collections.Counter(
        result.call.route.customer for result in results
    )
    largest = [customer for customer, _ in counts.most_common(1)]
    return [
        result
        for result in results
        if result.call.route.customer not in largest
    ]


def _count_refused_runs(
    results: Sequence[sender.Result], runs: Collection[str]
) -> int:
    """Counts requests that ran although a response said `not run`.

    Gateways send engines attempt ids of the form `REQUEST_ID.NUMBER`.
    """
    executed_ids = {name.partition(".")[0] for name in runs}
    refused = [name for result in results for name in result.earlier_ids]
    refused += [
        result.request_id
        for result in results
        if result.verdict is checks.Verdict.REFUSED
    ]
    return sum(name in executed_ids for name in refused)


def _count_refused_in_progress(results: Sequence[sender.Result]) -> int:
    completed_keys = {
        result.call.key
        for result in results
        if result.verdict is checks.Verdict.COMPLETED
    }
    return sum(
        result.verdict is checks.Verdict.REFUSED
        and result.code == result_codes.ResultCode.CLAIM_IN_PROGRESS
        and bool(result.call.key)
        and result.call.key in completed_keys
        for result in results
    )


def _group_service_keys(
    results: Sequence[sender.Result],
) -> dict[str, set[checks.Verdict]]:
    keyed: dict[str, set[checks.Verdict]] = collections.defaultdict(set)
    for result in results:
        if result.call.key and not result.call.route.adapter:
            keyed[result.call.key].add(result.verdict)
    return keyed


def _compute_quantile(values: Sequence[float], fraction: float) -> float:
    if not values:
        return 0.0
    return round(values[min(len(values) - 1, int(fraction * len(values)))], 4)
