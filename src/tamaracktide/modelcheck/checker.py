"""Checks transition systems by bounded model checking and induction.

A system consists of variables with initial values, guarded steps, safety
properties and lemmas. `find_violation` unrolls the steps and searches with z3
for a trace that violates a property. `find_proof_gap` checks that the lemmas
and properties hold in the initial state and are preserved by every step, which
proves the properties for traces of any length.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import z3

State = Mapping[str, z3.ArithRef]
Predicate = Callable[[State], z3.BoolRef]
Update = Callable[[State], z3.ArithRef]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A guarded assignment; all other variables keep their values.

    Attributes:
        name: Description of the step.
        guard: Condition under which the step is enabled.
        updates: New values as functions of the state before the step.
    """

    name: str
    guard: Predicate
    updates: Mapping[str, Update]


@dataclasses.dataclass(frozen=True, slots=True)
class Property:
    """A named predicate over states."""

    name: str
    holds: Predicate


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class System:
    """A transition system over integer variables.

    Attributes:
        variables: Initial value of each variable.
        steps: Possible transitions.
        safety: Properties that must hold in every reachable state.
        lemmas: Properties that make the safety properties inductive.
    """

    variables: Mapping[str, int]
    steps: tuple[Step, ...]
    safety: tuple[Property, ...]
    lemmas: tuple[Property, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A trace that violates a property.

    Attributes:
        property_name: Name of the violated property.
        trace: Names of the steps from the initial state.
    """

    property_name: str
    trace: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProofGap:
    """A lemma or property that the proof by induction cannot establish.

    Attributes:
        step: Name of the step that may violate it, empty for the initial state.
        lemma: Name of the lemma or property.
        state: Values of the variables before the step.
    """

    step: str
    lemma: str
    state: tuple[tuple[str, int], ...]


def find_violation(system: System, depth: int) -> Violation | None:
    """Returns a shortest trace of up to `depth` steps that violates safety."""
    solver = z3.Solver()
    state = _make_state(system, 0)
    solver.add(_constrain_initial(system, state))
    step_choices: list[z3.ArithRef] = []
    for index in range(depth + 1):
        violated = _find_violated_property(solver, system, state)
        if violated is not None:
            model, name = violated
            trace = [
                system.steps[model.eval(step_choice).as_long()].name
                for step_choice in step_choices
            ]
            return Violation(name, tuple(trace))
        next_state = _make_state(system, index + 1)
        step_choice = z3.Int(f"step:{index}")
        step_choices.append(step_choice)
        solver.add(
            _constrain_transition(system, state, next_state, step_choice)
        )
        state = next_state
    return None


def find_proof_gap(system: System) -> ProofGap | None:
    """Returns a gap in the proof by induction, None if it is complete."""
    properties = (*system.lemmas, *system.safety)
    before = _make_state(system, 0)
    after = _make_state(system, 1)
    initial_solver = z3.Solver()
    initial_solver.add(_constrain_initial(system, before))
    for lemma in properties:
        if _is_satisfiable(initial_solver, z3.Not(lemma.holds(before))):
            return ProofGap("", lemma.name, ())
    solver = z3.Solver()
    solver.add(*[lemma.holds(before) for lemma in properties])
    for step in system.steps:
        solver.push()
        solver.add(_apply(system, step, before, after))
        for lemma in properties:
            gap = _find_gap(solver, lemma, before, after)
            if gap is not None:
                return ProofGap(step.name, lemma.name, gap)
        solver.pop()
    return None


def _find_gap(
    solver: z3.Solver, lemma: Property, before: State, after: State
) -> tuple[tuple[str, int], ...] | None:
    solver.push()
    solver.add(z3.Not(lemma.holds(after)))
    gap = None
    if solver.check() == z3.sat:
        model = solver.model()
        gap = tuple(
            (name, model.eval(value, model_completion=True).as_long())
            for name, value in before.items()
        )
    solver.pop()
    return gap


def _make_state(system: System, index: int) -> State:
    return {name: z3.Int(f"{name}:{index}") for name in system.variables}


def _constrain_initial(system: System, state: State) -> z3.BoolRef:
    return z3.And(
        [state[name] == value for name, value in system.variables.items()]
    )


def _apply(
    system: System, step: Step, state: State, next_state: State
) -> z3.BoolRef:
    constraints = [step.guard(state)]
    for name in system.variables:
        update = step.updates.get(name)
        value = state[name] if update is None else update(state)
        constraints.append(next_state[name] == value)
    return z3.And(constraints)


def _constrain_transition(
    system: System, state: State, next_state: State, step_choice: z3.ArithRef
) -> z3.BoolRef:
    return z3.Or(
        [
            z3.And(
                step_choice == step_index,
                _apply(system, step, state, next_state),
            )
            for step_index, step in enumerate(system.steps)
        ]
    )


def _find_violated_property(
    solver: z3.Solver, system: System, state: State
) -> tuple[z3.ModelRef, str] | None:
    solver.push()
    try:
        for prop in system.safety:
            solver.push()
            solver.add(z3.Not(prop.holds(state)))
            if solver.check() == z3.sat:
                return solver.model(), prop.name
            solver.pop()
    finally:
        solver.pop()
    return None


def _is_satisfiable(solver: z3.Solver, constraint: z3.BoolRef) -> bool:
    solver.push()
    solver.add(constraint)
    satisfiable = solver.check() == z3.sat
    solver.pop()
    return bool(satisfiable)
