"""Specification of leases in a store that may be restored from a copy.

The model has one lease, two machines, and a store whose revision goes back when
it is restored, which starts its next era. A write that is sent may take effect
at any later time at which its condition holds, without a response.

Time is abstract: a machine's wait may end only once every term has ended that
began before the wait. `held` is a term in which the machine may order, and
`resumable` the rest of a term of an earlier era. `later{n}{m}` tells whether
the term of machine n began after the wait of machine m did.

`core.leases` implements each step.
"""

import enum

import z3

from tamaracktide.modelcheck import checker

_MACHINES = (1, 2)


class SafetyStep(enum.Enum):
    """Steps that make leases safe; a test removes each of them in turn."""

    STOP = "a holder that learns of a later era stops"
    READ = "a machine that learns of a later era reads and waits anew"
    GRANT = "a write whose response names a later era grants nothing"
    WAIT = "a takeover waits until all earlier terms have ended"
    TOKEN = "a token consists of the era and the replaced revision"


def build_system(
    removed: frozenset[SafetyStep] = frozenset(),
) -> checker.System:
    """Returns the specification without the removed safety steps."""
    variables = {
        "era": 1,
        "revision": 1,
        "token": 1,
        "copy_revision": 1,
        "copy_token": 1,
        "used_era": 1,
        "used_token": 0,
        "reused": 0,
    }
    for m in _MACHINES:
        variables |= {
            f"known{m}": 1,
            f"is_read{m}": 0,
            f"read{m}": 0,
            f"waited{m}": 0,
            f"held{m}": 0,
            f"term_era{m}": 1,
            f"resumable{m}": 0,
            f"later{m}": 0,
            f"sent{m}": 0,
            f"sent_revision{m}": 0,
        }
    steps = _list_store_steps()
    for m in _MACHINES:
        steps += _list_machine_steps(m, removed)
    return checker.System(
        variables=variables,
        steps=tuple(steps),
        safety=(
            checker.Property(
                "one machine orders at a time",
                lambda s: z3.Not(z3.And(_is_alive(s, 1), _is_alive(s, 2))),
            ),
            checker.Property(
                "nobody orders under a lease of an earlier era",
                lambda s: z3.And(
                    [
                        z3.Implies(
                            s[f"held{m}"] == 1,
                            s[f"term_era{m}"] == s[f"known{m}"],
                        )
                        for m in _MACHINES
                    ]
                ),
            ),
            checker.Property(
                "fencing tokens increase with each acquisition",
                lambda s: s["reused"] == 0,
            ),
        ),
        lemmas=tuple(_list_lemmas()),
    )


def _set(value: int) -> checker.Update:
    return lambda s: z3.IntVal(value)


def _is_alive(s: checker.State, m: int) -> z3.BoolRef:
    return z3.Or(s[f"held{m}"] == 1, s[f"resumable{m}"] == 1)


def _list_store_steps() -> list[checker.Step]:
    return [
        checker.Step(
            "the store is copied",
            lambda s: z3.BoolVal(True),
            {
                "copy_revision": lambda s: s["revision"],
                "copy_token": lambda s: s["token"],
            },
        ),
        checker.Step(
            "the store is restored",
            lambda s: z3.BoolVal(True),
            {
                "era": lambda s: s["era"] + 1,
                "revision": lambda s: s["copy_revision"],
                "token": lambda s: s["copy_token"],
            },
        ),
    ]


def _list_machine_steps(
    m: int, removed: frozenset[SafetyStep]
) -> list[checker.Step]:
    other = 3 - m
    return [
        checker.Step(
            f"machine {m} learns of the era",
            lambda s: s[f"known{m}"] < s["era"],
            _learn(m, removed),
        ),
        checker.Step(
            f"machine {m} reads the record",
            lambda s: s[f"known{m}"] == s["era"],
            {
                f"is_read{m}": _set(1),
                f"read{m}": lambda s: s["revision"],
                f"waited{m}": lambda s: z3.If(
                    _is_unchanged(s, m), s[f"waited{m}"], z3.IntVal(0)
                ),
                f"later{other}": lambda s: z3.If(
                    _is_unchanged(s, m), s[f"later{other}"], z3.IntVal(0)
                ),
            },
        ),
        checker.Step(
            f"the wait of machine {m} ends",
            lambda s: z3.And(
                s[f"is_read{m}"] == 1,
                z3.Or(
                    z3.Not(_is_alive(s, other)),
                    s[f"later{other}"] == 1,
                ),
            ),
            {f"waited{m}": _set(1)},
        ),
        checker.Step(
            f"the term of machine {m} ends",
            lambda s: _is_alive(s, m),
            {f"held{m}": _set(0), f"resumable{m}": _set(0)},
        ),
        _acquire(m, removed),
        _renew(m),
        *_list_late_steps(m),
    ]


def _is_unchanged(s: checker.State, m: int) -> z3.BoolRef:
    return z3.And(s[f"is_read{m}"] == 1, s[f"read{m}"] == s["revision"])


def _learn(m: int, removed: frozenset[SafetyStep]) -> dict[str, checker.Update]:
    updates: dict[str, checker.Update] = {f"known{m}": lambda s: s["era"]}
    if SafetyStep.READ not in removed:
        updates |= {f"is_read{m}": _set(0), f"waited{m}": _set(0)}
    if SafetyStep.STOP not in removed:
        updates |= {
            f"held{m}": _set(0),
            f"resumable{m}": lambda s: z3.If(
                _is_alive(s, m), z3.IntVal(1), z3.IntVal(0)
            ),
        }
    return updates


def _acquire(m: int, removed: frozenset[SafetyStep]) -> checker.Step:
    """Returns an acquisition; its response names the era of the store."""

    def can_acquire(s: checker.State) -> z3.BoolRef:
        clauses = [_is_unchanged(s, m), s[f"held{m}"] == 0]
        if SafetyStep.WAIT not in removed:
            clauses.append(z3.Or(s[f"waited{m}"] == 1, s[f"resumable{m}"] == 1))
        if SafetyStep.GRANT not in removed:
            clauses.append(s[f"known{m}"] == s["era"])
        return z3.And(clauses)

    def find_token_era(s: checker.State) -> z3.ArithRef:
        if SafetyStep.TOKEN in removed:
            return z3.IntVal(1)
        return s["era"]

    def find_token(s: checker.State) -> z3.ArithRef:
        return s["token"] + 1 if SafetyStep.TOKEN in removed else s["revision"]

    def is_higher(s: checker.State) -> z3.BoolRef:
        era, token = find_token_era(s), find_token(s)
        return z3.Or(
            era > s["used_era"],
            z3.And(era == s["used_era"], token > s["used_token"]),
        )

    return checker.Step(
        f"machine {m} acquires the lease",
        can_acquire,
        {
            **_write(m),
            "token": find_token,
            "used_era": find_token_era,
            "used_token": find_token,
            "reused": lambda s: z3.If(is_higher(s), s["reused"], z3.IntVal(1)),
            f"held{m}": _set(1),
            f"term_era{m}": lambda s: s[f"known{m}"],
            f"resumable{m}": _set(0),
        },
    )


def _renew(m: int) -> checker.Step:
    return checker.Step(
        f"machine {m} renews the lease",
        lambda s: z3.And(
            s[f"held{m}"] == 1,
            _is_unchanged(s, m),
            s[f"known{m}"] == s["era"],
        ),
        _write(m),
    )


def _write(m: int) -> dict[str, checker.Update]:
    return {
        "revision": lambda s: s["revision"] + 1,
        f"read{m}": lambda s: s["revision"] + 1,
        f"waited{m}": _set(0),
        f"later{m}": _set(1),
    }


def _list_late_steps(m: int) -> list[checker.Step]:
    """Returns the steps of a write without a response."""
    return [
        checker.Step(
            f"machine {m} sends a write",
            lambda s: z3.And(s[f"sent{m}"] == 0, s[f"is_read{m}"] == 1),
            {
                f"sent{m}": _set(1),
                f"sent_revision{m}": lambda s: s[f"read{m}"],
            },
        ),
        checker.Step(
            f"the write of machine {m} takes effect late",
            lambda s: z3.And(
                s[f"sent{m}"] == 1, s[f"sent_revision{m}"] == s["revision"]
            ),
            {
                f"sent{m}": _set(0),
                "revision": lambda s: s["revision"] + 1,
                "token": _set(1),
            },
        ),
    ]


def _list_lemmas() -> list[checker.Property]:
    lemmas = [
        checker.Property(
            "used tokens are below the era and revision of the store",
            lambda s: z3.Or(
                s["used_era"] < s["era"],
                z3.And(
                    s["used_era"] == s["era"], s["used_token"] < s["revision"]
                ),
            ),
        )
    ]
    for m in _MACHINES:
        lemmas += [_make_read_lemma(m), _make_wait_lemma(m)]
    return lemmas


def _make_read_lemma(m: int) -> checker.Property:
    other = 3 - m
    return checker.Property(
        f"machine {m} has read no revision above that of the store",
        lambda s: z3.And(
            s[f"known{m}"] <= s["era"],
            z3.Implies(
                z3.And(s[f"is_read{m}"] == 1, s[f"known{m}"] == s["era"]),
                z3.And(
                    s[f"read{m}"] <= s["revision"],
                    z3.Implies(
                        s[f"later{other}"] == 1,
                        s[f"read{m}"] < s["revision"],
                    ),
                ),
            ),
        ),
    )


def _make_wait_lemma(m: int) -> checker.Property:
    return checker.Property(
        f"nobody holds the lease that machine {m} has waited for",
        lambda s: z3.Implies(
            z3.And(
                s[f"waited{m}"] == 1,
                _is_unchanged(s, m),
                s[f"known{m}"] == s["era"],
            ),
            z3.Not(_is_alive(s, 3 - m)),
        ),
    )
