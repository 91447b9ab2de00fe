"""Tests that the ownership specification is safe and its steps necessary."""

import pytest

from tamaracktide.modelcheck import checker
from tamaracktide.modelcheck import ownership

DEPTH = 8


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_evictions_are_safe_in_traces_of_any_length(
    checks_fencing: bool,
) -> None:
    """The lemmas are inductive on engines with and without fencing."""
    system = ownership.build_system(checks_fencing)
    assert checker.find_proof_gap(system) is None


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_no_short_trace_violates_safety(checks_fencing: bool) -> None:
    """The search that finds the violations below finds none here."""
    system = ownership.build_system(checks_fencing)
    assert checker.find_violation(system, DEPTH) is None


@pytest.mark.parametrize(
    ("checks_fencing", "step"),
    [
        (False, ownership.SafetyStep.INTENT),
        (False, ownership.SafetyStep.WITHHOLD),
        (False, ownership.SafetyStep.CONFIRM),
        (False, ownership.SafetyStep.GATEWAY_EPOCH),
        (True, ownership.SafetyStep.FENCE_FIRST),
        (True, ownership.SafetyStep.CONFIRM),
        (True, ownership.SafetyStep.GATEWAY_EPOCH),
    ],
)
def test_each_safety_step_is_necessary(
    checks_fencing: bool, step: ownership.SafetyStep
) -> None:
    """Without any one of the steps, some trace evicts an adapter in use."""
    system = ownership.build_system(checks_fencing, frozenset({step}))
    violation = checker.find_violation(system, DEPTH)
    assert violation is not None
    assert violation.property_name == "an adapter in use is never evicted"
