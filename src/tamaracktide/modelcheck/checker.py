"""Checks transition systems: bounded search and proof by induction.

A system is a set of variables, a predicate over the first state, guarded
steps, safety properties and lemmas. `find_violation` unrolls the steps and
asks z3 for a run that breaks a property. `find_unproved` asks whether the
lemmas hold at first and are kept by every step, which proves the properties
for runs of any length.
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
    """A guarded assignment; variables not named keep their values.

    Attributes:
        name: What happens.
        guard: When it may happen.
        updates: New values as functions of the old state.
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
        variables: First value of each variable.
        steps: What may happen.
        safety: Must hold in every reachable state.
        lemmas: Together with the safety properties inductive.
    """

    variables: Mapping[str, int]
    steps: tuple[Step, ...]
    safety: tuple[Property, ...]
    lemmas: tuple[Property, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A run that breaks a property.

    Attributes:
        broken: The property's name.
        run: Names of the steps from the first state.
    """

    broken: str
    run: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unproved:
    """A gap in a proof: what a step may break or the first state lacks.

    Attributes:
        step: The step's name, empty for the first state.
        lemma: The lemma's or property's name.
        state: Values before the step.
    """

    step: str
    lemma: str
    state: tuple[tuple[str, int], ...]


def find_violation(system: System, depth: int) -> Violation | None:
    """Returns a shortest run, up to `depth` steps, that breaks a property."""
    solver = z3.Solver()
    state = _make_state(system, 0)
    solver.add(_describe_first(system, state))
    choices: list[z3.ArithRef] = []
    for index in range(depth + 1):
        broken = _find_broken(solver, system, state)
        if broken is not None:
            model, name = broken
            run = [
                system.steps[model.eval(choice).as_long()].name
                for choice in choices
            ]
            return Violation(name, tuple(run))
        following = _make_state(system, index + 1)
        choice = z3.Int(f"step:{index}")
        choices.append(choice)
        solver.add(_relate(system, state, following, choice))
        state = following
    return None


def find_unproved(system: System) -> Unproved | None:
    """Returns a gap in the proof by induction, or None if it is complete."""
    known = (*system.lemmas, *system.safety)
    before = _make_state(system, 0)
    after = _make_state(system, 1)
    first = z3.Solver()
    first.add(_describe_first(system, before))
    for lemma in known:
        if _is_satisfiable(first, z3.Not(lemma.holds(before))):
            return Unproved("", lemma.name, ())
    solver = z3.Solver()
    solver.add(*[lemma.holds(before) for lemma in known])
    for step in system.steps:
        solver.push()
        solver.add(_apply(system, step, before, after))
        for lemma in known:
            gap = _find_gap(solver, lemma, before, after)
            if gap is not None:
                return Unproved(step.name, lemma.name, gap)
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


def _describe_first(system: System, state: State) -> z3.BoolRef:
    return z3.And(
        [state[name] == value for name, value in system.variables.items()]
    )


def _apply(
    system: System, step: Step, state: State, following: State
) -> z3.BoolRef:
    clauses = [step.guard(state)]
    for name in system.variables:
        update = step.updates.get(name)
        value = state[name] if update is None else update(state)
        clauses.append(following[name] == value)
    return z3.And(clauses)


def _relate(
    system: System, state: State, following: State, choice: z3.ArithRef
) -> z3.BoolRef:
    return z3.Or(
        [
            z3.And(choice == number, _apply(system, step, state, following))
            for number, step in enumerate(system.steps)
        ]
    )


def _find_broken(
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


def _is_satisfiable(solver: z3.Solver, clause: z3.BoolRef) -> bool:
    solver.push()
    solver.add(clause)
    satisfiable = solver.check() == z3.sat
    solver.pop()
    return bool(satisfiable)
