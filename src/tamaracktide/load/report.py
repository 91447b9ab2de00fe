"""Adds up the results of a run."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from tamaracktide.load import checks
from tamaracktide.load import sender


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
        effects_missing: Keys answered as completed without an effect.
        refusals_untrue: Keys of which each answer said `not run` and which
            have an effect.
        codes: Count of each result code.
        first_token_p50_s: Median time to the first token of streams.
        first_token_p95_s: 95th percentile of it.
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
    effects_doubled: int
    effects_missing: int
    refusals_untrue: int
    codes: dict[str, int]
    first_token_p50_s: float
    first_token_p95_s: float
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
) -> Report:
    """Returns the sums.

    Args:
        results: All results.
        effects: Effects by key from the services; None if not asked for.
        duration_s: Duration of the run.
        seed: Seed of the mix.
    """
    counts = collections.Counter(result.verdict for result in results)
    codes = collections.Counter(
        str(result.code) for result in results if result.code
    )
    waits = sorted(
        result.first_token_s for result in results if result.first_token_s
    )
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
        effects_doubled=sum(max(0, known.get(key, 0) - 1) for key in keyed),
        effects_missing=sum(
            checks.Verdict.COMPLETED in verdicts and not known.get(key, 0)
            for key, verdicts in keyed.items()
            if effects is not None
        ),
        refusals_untrue=sum(
            verdicts == {checks.Verdict.REFUSED} and known.get(key, 0) > 0
            for key, verdicts in keyed.items()
        ),
        codes=dict(sorted(codes.items())),
        first_token_p50_s=_find_quantile(waits, 0.5),
        first_token_p95_s=_find_quantile(waits, 0.95),
        duration_s=round(duration_s, 3),
        seed=seed,
    )


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
