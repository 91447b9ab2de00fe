"""Adds up the results of a run."""

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from tamaracktide.load import checks
from tamaracktide.load import sender


@dataclasses.dataclass(frozen=True, slots=True)
class Runs:
    """What the engines' records tell.

    Attributes:
        names: Ids of the attempts that engines ran.
        unread: Engines whose record could not be read.
    """

    names: frozenset[str]
    unread: int


NO_RUNS = Runs(frozenset(), 0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The last line of a run.

    Attributes:
        sent: Requests sent, resends among them.
        completed: Right and whole answers.
        refused: Refusals that state `not run`.
        unknown: Errors that state `outcome unknown`.
        broken: Answers that ended in an error event or a closed connection.
        unreachable: Requests that no gateway accepted.
        wrong: Answers of another adapter, version or caller.
        truncated: Answers passed as whole that are not.
        effects_doubled: Effects beyond the first of a key.
        retried: Sendings again after a refusal or a refused connection.
        effects_missing: Keys answered as completed without an effect.
        refusals_untrue: Keys of which each answer said `not run` and which
            have an effect, and requests of which an answer said `not run`
            and which an engine ran.
        engines_unread: Engines whose record could not be read.
        codes: Count of each result code.
        first_token_p50_s: Median time to the first token of streams.
        first_token_p95_s: 95th percentile of it.
        small_first_token_p95_s: The same of all customers but the largest.
        duration_s: Duration of the run.
        seed: Seed of the mix.
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
    engines_unread: int
    codes: dict[str, int]
    first_token_p50_s: float
    first_token_p95_s: float
    small_first_token_p95_s: float
    duration_s: float
    seed: int

    @property
    def clean(self) -> bool:
        """Whether nothing went wrong that must never happen."""
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
    runs: Runs = NO_RUNS,
) -> Report:
    """Returns the sums.

    Args:
        results: All results.
        effects: Effects by key from the services; None if not asked for.
        duration_s: Duration of the run.
        seed: Seed of the mix.
        runs: What the engines' records tell.
    """
    counts = collections.Counter(result.verdict for result in results)
    codes = collections.Counter(
        str(result.code) for result in results if result.code
    )
    waits = _sort_waits(results)
    small = _select_small(results)
    keyed = _group_service_keys(results)
    known = effects or {}
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
        effects_doubled=sum(max(0, known.get(key, 0) - 1) for key in keyed),
        effects_missing=sum(
            checks.Verdict.COMPLETED in verdicts and not known.get(key, 0)
            for key, verdicts in keyed.items()
            if effects is not None
        ),
        refusals_untrue=sum(
            verdicts == {checks.Verdict.REFUSED} and known.get(key, 0) > 0
            for key, verdicts in keyed.items()
        )
        + _count_refused_runs(results, runs.names),
        engines_unread=runs.unread,
        codes=dict(sorted(codes.items())),
        first_token_p50_s=_find_quantile(waits, 0.5),
        first_token_p95_s=_find_quantile(waits, 0.95),
        small_first_token_p95_s=_find_quantile(_sort_waits(small), 0.95),
        duration_s=round(duration_s, 3),
        seed=seed,
    )


def _sort_waits(results: Sequence[sender.Result]) -> list[float]:
    return sorted(one.first_token_s for one in results if one.first_token_s)


def _select_small(results: Sequence[sender.Result]) -> list[sender.Result]:
    """Returns the results of all customers but the one that sent most."""
    counts = collections.Counter(one.call.route.customer for one in results)
    largest = [customer for customer, _ in counts.most_common(1)]
    return [one for one in results if one.call.route.customer not in largest]


def _count_refused_runs(
    results: Sequence[sender.Result], runs: Collection[str]
) -> int:
    """Counts requests that ran though an answer said `not run`.

    A gateway names each attempt `REQUEST_ID.NUMBER` to the engine.
    """
    ran = {name.partition(".")[0] for name in runs}
    refused = [name for one in results for name in one.earlier_ids]
    refused += [
        one.request_id
        for one in results
        if one.verdict is checks.Verdict.REFUSED
    ]
    return sum(name in ran for name in refused)


def _group_service_keys(
    results: Sequence[sender.Result],
) -> dict[str, set[checks.Verdict]]:
    keyed: dict[str, set[checks.Verdict]] = collections.defaultdict(set)
    for result in results:
        if result.call.key and not result.call.route.adapter:
            keyed[result.call.key].add(result.verdict)
    return keyed


def _find_quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return 0.0
    return round(values[min(len(values) - 1, int(share * len(values)))], 4)
