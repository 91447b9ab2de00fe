"""Specification of claims: an idempotency key runs at most once.

The model has one key, two attempts (a client that sends its request to two
gateways), two committers, and writes that may be delayed, be refused or lose
their reply. A stale read is equivalent to an earlier read, so it needs no step
of its own.

Values of `record`: 0 none, A pending by attempt A, 10 + A completed by attempt
A.
Values of an attempt: 0 waiting, 1 running or completed, 2 aborted without
running.
Values of a write: 0 free, 1 in flight, 2 took effect and the reply may arrive.

The code that implements each step is listed in docs/PROMISES.md.
"""

import dataclasses
import enum

import z3

from tamaracktide.modelcheck import checker

_ATTEMPTS = (1, 2)
_DONE = 10


class SafetyStep(enum.Enum):
    """Steps that make claims safe; a test removes each of them in turn."""

    CONDITION = (
        "the head is written only if its version is the one that was read"
    )
    COMMIT_FIRST = "a claim is granted only after its write took effect"
    OWN_RELEASE = "only an attempt that never ran releases its claim"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Number of committers and of concurrent writes in the specification."""

    committers: int = 2
    writes: int = 3


def build_system(
    removed: frozenset[SafetyStep] = frozenset(), size: Size | None = None
) -> checker.System:
    """Returns the specification without the removed safety steps."""
    size = size or Size()
    committers = range(1, size.committers + 1)
    writes = range(1, size.writes + 1)
    variables = {"version": 0, "record": 0, "runs": 0}
    for c in committers:
        variables |= {f"read_version{c}": 0, f"read_record{c}": 0}
    for a in _ATTEMPTS:
        variables[f"attempt{a}"] = 0
    for w in writes:
        variables |= {f"write{w}": 0, f"base_version{w}": 0, f"value{w}": 0}
        variables[f"write_attempt{w}"] = 0
    steps: list[checker.Step] = []
    steps += [_read_head(c) for c in committers]
    steps += [_deliver_write(w, removed) for w in writes]
    steps += [_lose_reply(w) for w in writes]
    steps += [_abort_attempt(a) for a in _ATTEMPTS]
    for a in _ATTEMPTS:
        steps += [_run_on_reply(w, a, removed) for w in writes]
        for c in committers:
            steps.append(_run_on_read_claim(c, a))
            for w in writes:
                steps += _send_writes(c, a, w, removed)
    at_most_once = checker.Property(
        "a key runs at most once", lambda s: s["runs"] <= 1
    )
    return checker.System(
        variables=variables,
        steps=tuple(steps),
        safety=(at_most_once,),
        lemmas=tuple(_list_lemmas(size)),
    )


def _read_head(c: int) -> checker.Step:
    return checker.Step(
        f"committer {c} reads the head",
        lambda s: z3.BoolVal(True),
        {
            f"read_version{c}": lambda s: s["version"],
            f"read_record{c}": lambda s: s["record"],
        },
    )


def _send_writes(
    c: int, a: int, w: int, removed: frozenset[SafetyStep]
) -> list[checker.Step]:
    """Returns the writes that a committer can send for an attempt."""

    def make_step(
        name: str, guard: checker.Predicate, value: int
    ) -> checker.Step:
        return checker.Step(
            f"committer {c} sends a write that {name} attempt {a}",
            lambda s: z3.And(s[f"write{w}"] == 0, guard(s)),
            {
                f"write{w}": lambda s: z3.IntVal(1),
                f"base_version{w}": lambda s: s[f"read_version{c}"],
                f"value{w}": lambda s: z3.IntVal(value),
                f"write_attempt{w}": lambda s: z3.IntVal(a),
            },
        )

    def can_release(s: checker.State) -> z3.BoolRef:
        has_claim = s[f"read_record{c}"] == a
        if SafetyStep.OWN_RELEASE in removed:
            return has_claim
        return z3.And(has_claim, s[f"attempt{a}"] == 2)

    return [
        make_step("claims for", lambda s: s[f"read_record{c}"] == 0, a),
        make_step("releases", can_release, 0),
        make_step("completes", lambda s: s[f"read_record{c}"] == a, _DONE + a),
    ]


def _deliver_write(w: int, removed: frozenset[SafetyStep]) -> checker.Step:
    def matches(s: checker.State) -> z3.BoolRef:
        if SafetyStep.CONDITION in removed:
            return z3.BoolVal(True)
        return s[f"base_version{w}"] == s["version"]

    return checker.Step(
        f"write {w} reaches the store",
        lambda s: s[f"write{w}"] == 1,
        {
            "record": lambda s: z3.If(matches(s), s[f"value{w}"], s["record"]),
            "version": lambda s: z3.If(
                matches(s), s["version"] + 1, s["version"]
            ),
            f"write{w}": lambda s: z3.If(
                matches(s), z3.IntVal(2), z3.IntVal(0)
            ),
        },
    )


def _lose_reply(w: int) -> checker.Step:
    return checker.Step(
        f"the reply to write {w} is lost",
        lambda s: s[f"write{w}"] == 2,
        {f"write{w}": lambda s: z3.IntVal(0)},
    )


def _run_on_reply(
    w: int, a: int, removed: frozenset[SafetyStep]
) -> checker.Step:
    min_write_state = 1 if SafetyStep.COMMIT_FIRST in removed else 2
    return checker.Step(
        f"attempt {a} runs after the reply to write {w}",
        lambda s: z3.And(
            s[f"write{w}"] >= min_write_state,
            s[f"value{w}"] == a,
            s[f"attempt{a}"] == 0,
        ),
        {
            f"attempt{a}": lambda s: z3.IntVal(1),
            "runs": lambda s: s["runs"] + 1,
        },
    )


def _run_on_read_claim(c: int, a: int) -> checker.Step:
    return checker.Step(
        f"attempt {a} runs after committer {c} has read its claim",
        lambda s: z3.And(s[f"read_record{c}"] == a, s[f"attempt{a}"] == 0),
        {
            f"attempt{a}": lambda s: z3.IntVal(1),
            "runs": lambda s: s["runs"] + 1,
        },
    )


def _abort_attempt(a: int) -> checker.Step:
    return checker.Step(
        f"attempt {a} aborts without running",
        lambda s: s[f"attempt{a}"] == 0,
        {f"attempt{a}": lambda s: z3.IntVal(2)},
    )


def _has_key(s: checker.State, a: int) -> z3.BoolRef:
    return z3.Or(s["record"] == a, s["record"] == _DONE + a)


def _list_lemmas(size: Size) -> list[checker.Property]:
    attempts = [f"attempt{a}" for a in _ATTEMPTS]
    lemmas = [
        checker.Property(
            "runs counts the attempts that have run",
            lambda s: (
                s["runs"]
                == z3.Sum([z3.If(s[name] == 1, 1, 0) for name in attempts])
            ),
        )
    ]
    for a in _ATTEMPTS:
        lemmas += _list_attempt_lemmas(a)
        for c in range(1, size.committers + 1):
            lemmas.append(_make_read_claim_lemma(c, a))
        for w in range(1, size.writes + 1):
            lemmas += _list_claim_lemmas(w, a)
            lemmas += _list_change_lemmas(w, a)
    for c in range(1, size.committers + 1):
        lemmas.append(_make_read_version_lemma(c))
    for w in range(1, size.writes + 1):
        lemmas += _list_write_lemmas(w)
    return lemmas


def _list_attempt_lemmas(a: int) -> list[checker.Property]:
    return [
        checker.Property(
            f"attempt {a} runs only while the record names it",
            lambda s: z3.Implies(s[f"attempt{a}"] == 1, _has_key(s, a)),
        ),
        checker.Property(
            f"attempt {a} has a valid state",
            lambda s: z3.And(s[f"attempt{a}"] >= 0, s[f"attempt{a}"] <= 2),
        ),
    ]


def _make_read_version_lemma(c: int) -> checker.Property:
    return checker.Property(
        f"committer {c} has read a version that existed",
        lambda s: z3.And(
            s[f"read_version{c}"] <= s["version"],
            z3.Implies(
                s[f"read_version{c}"] == s["version"],
                s[f"read_record{c}"] == s["record"],
            ),
        ),
    )


def _make_read_claim_lemma(c: int, a: int) -> checker.Property:
    return checker.Property(
        f"the claim of attempt {a} read by committer {c} is still stored",
        lambda s: z3.Implies(
            z3.And(s[f"read_record{c}"] == a, s[f"attempt{a}"] != 2),
            _has_key(s, a),
        ),
    )


def _list_claim_lemmas(w: int, a: int) -> list[checker.Property]:
    return [
        checker.Property(
            f"write {w} claims the key for attempt {a} only if it is free",
            lambda s: z3.Implies(
                z3.And(_is_current(s, w), s[f"value{w}"] == a),
                s["record"] == 0,
            ),
        ),
        checker.Property(
            f"the claim of attempt {a} by write {w} is still stored",
            lambda s: z3.Implies(
                z3.And(
                    s[f"write{w}"] == 2,
                    s[f"value{w}"] == a,
                    s[f"attempt{a}"] != 2,
                ),
                _has_key(s, a),
            ),
        ),
    ]


def _list_change_lemmas(w: int, a: int) -> list[checker.Property]:
    return [
        checker.Property(
            f"write {w} changes only the claim of attempt {a}",
            lambda s: z3.Implies(
                z3.And(
                    _is_current(s, w),
                    s[f"write_attempt{w}"] == a,
                    s[f"value{w}"] != a,
                ),
                s["record"] == a,
            ),
        ),
        checker.Property(
            f"write {w} releases a claim only if attempt {a} aborted",
            lambda s: z3.Implies(
                z3.And(
                    s[f"write{w}"] == 1,
                    s[f"write_attempt{w}"] == a,
                    s[f"value{w}"] == 0,
                ),
                s[f"attempt{a}"] == 2,
            ),
        ),
    ]


def _list_write_lemmas(w: int) -> list[checker.Property]:
    return [
        checker.Property(
            f"write {w} is based on a version that existed",
            lambda s: z3.And(
                s[f"base_version{w}"] <= s["version"],
                s[f"write{w}"] >= 0,
                s[f"write{w}"] <= 2,
            ),
        ),
        checker.Property(
            f"write {w} has a valid value for its attempt",
            lambda s: z3.Or(
                s[f"write{w}"] == 0,
                *[_has_value_of(s, w, a) for a in _ATTEMPTS],
            ),
        ),
    ]


def _is_current(s: checker.State, w: int) -> z3.BoolRef:
    return z3.And(s[f"write{w}"] == 1, s[f"base_version{w}"] == s["version"])


def _has_value_of(s: checker.State, w: int, a: int) -> z3.BoolRef:
    value = s[f"value{w}"]
    values = z3.Or(value == a, value == 0, value == _DONE + a)
    return z3.And(s[f"write_attempt{w}"] == a, values)
