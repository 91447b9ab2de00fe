"""Tests that the claims specification is safe and its steps necessary."""

import pytest

from tamaracktide.modelcheck import checker
from tamaracktide.modelcheck import claims

SMALL = claims.Size(committers=2, writes=2)
SINGLE_WRITER = claims.Size(committers=1, writes=1)


def test_claims_are_safe_in_traces_of_any_length() -> None:
    """The lemmas are inductive and imply that a key runs at most once."""
    assert checker.find_proof_gap(claims.build_system()) is None


def test_no_short_trace_violates_safety() -> None:
    """The search that finds the violations below finds none here."""
    assert checker.find_violation(claims.build_system(size=SMALL), 7) is None
    system = claims.build_system(size=SINGLE_WRITER)
    assert checker.find_violation(system, 12) is None


@pytest.mark.parametrize(
    ("step", "size", "depth"),
    [
        (claims.SafetyStep.CONDITION, SMALL, 7),
        (claims.SafetyStep.COMMIT_FIRST, SMALL, 7),
        (claims.SafetyStep.OWN_RELEASE, SINGLE_WRITER, 12),
    ],
)
def test_each_safety_step_is_necessary(
    step: claims.SafetyStep, size: claims.Size, depth: int
) -> None:
    """Without any one of the steps, a key runs twice in some trace."""
    system = claims.build_system(frozenset({step}), size)
    violation = checker.find_violation(system, depth)
    assert violation is not None
    assert violation.property_name == "a key runs at most once"
