"""Tests that the specification of eras is safe and its steps necessary."""

import pytest

from tamaracktide.modelcheck import checker
from tamaracktide.modelcheck import eras

DEPTH = 9

VIOLATIONS = {
    eras.SafetyStep.STOP: "nobody orders under a lease of an earlier era",
    eras.SafetyStep.READ: "one machine orders at a time",
    eras.SafetyStep.GRANT: "one machine orders at a time",
    eras.SafetyStep.WAIT: "one machine orders at a time",
    eras.SafetyStep.TOKEN: "fencing tokens increase with each acquisition",
}


def test_leases_are_safe_in_traces_of_any_length() -> None:
    """The lemmas are inductive for any number of restorations."""
    assert checker.find_proof_gap(eras.build_system()) is None


def test_no_short_trace_violates_safety() -> None:
    """The search that finds the violations below finds none here."""
    assert checker.find_violation(eras.build_system(), DEPTH) is None


@pytest.mark.parametrize("step", list(eras.SafetyStep))
def test_each_safety_step_is_necessary(step: eras.SafetyStep) -> None:
    """Without any one of the steps, some trace violates its property."""
    system = eras.build_system(frozenset({step}))
    violation = checker.find_violation(system, DEPTH)
    assert violation is not None
    assert violation.property_name == VIOLATIONS[step]
