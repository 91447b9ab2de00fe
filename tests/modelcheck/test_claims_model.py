"""The claims specification holds, and each of its safety steps is needed."""

import pytest

from tamaracktide.modelcheck import checker
from tamaracktide.modelcheck import claims

SMALL = claims.Size(committers=2, writes=2)
ONE_BY_ONE = claims.Size(committers=1, writes=1)


def test_claims_are_safe_in_runs_of_any_length() -> None:
    """The lemmas are inductive and imply that a key runs at most once."""
    assert checker.find_unproved(claims.build_system()) is None


def test_no_short_run_breaks_the_promise() -> None:
    """The search that finds the broken runs below finds none here."""
    assert checker.find_violation(claims.build_system(size=SMALL), 7) is None
    system = claims.build_system(size=ONE_BY_ONE)
    assert checker.find_violation(system, 12) is None


@pytest.mark.parametrize(
    ("step", "size", "depth"),
    [
        (claims.SafetyStep.CONDITION, SMALL, 7),
        (claims.SafetyStep.COMMIT_FIRST, SMALL, 7),
        (claims.SafetyStep.OWN_RELEASE, ONE_BY_ONE, 12),
    ],
)
def test_each_safety_step_is_needed(
    step: claims.SafetyStep, size: claims.Size, depth: int
) -> None:
    """Without one of the steps there is a run in which a key runs twice."""
    system = claims.build_system(frozenset({step}), size)
    violation = checker.find_violation(system, depth)
    assert violation is not None
    assert violation.broken == "a key runs at most once"
