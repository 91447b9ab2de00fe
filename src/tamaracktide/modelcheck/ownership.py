"""Specification of ownership: an adapter in use is never evicted.

The model has one engine, an old owner that may pause and resume at any time, a
new owner that takes over, two gateways, and orders and grants that may be in
flight for any time. The engine itself does not refuse to unload an adapter in
use.

`first` is the name under which the adapter is loaded in the initial state,
`own` the name under which the new owner may load it again. The values of a
gateway's `holds` and `runs` are 0 none, 1 `first` granted by the old owner, 2
`first` granted by the new owner, 3 `own` granted by the new owner.

The code that implements each step is listed in docs/PROMISES.md.
"""

from collections.abc import Sequence
import enum

import z3

from tamaracktide.modelcheck import checker

_GATEWAYS = (1, 2)
_OLD_FIRST = 1
_NEW_FIRST = 2
_NEW_OWN = 3

_GRANTING = 0
_EVICTING = 1
_INTENDED = 2
_ORDERED = 3


class SafetyStep(enum.Enum):
    """Steps that make evictions safe; a test removes each of them in turn."""

    INTENT = "an owner writes an intent in its epoch before it sends an unload"
    WITHHOLD = "a new owner grants no name for which there is an intent"
    CONFIRM = "a new owner evicts only after all gateways reported their grants"
    GATEWAY_EPOCH = "a gateway refuses grants of an older epoch"
    FENCE_FIRST = "a new owner sends its epoch to the engine before it grants"


def build_system(
    checks_fencing: bool, removed: frozenset[SafetyStep] = frozenset()
) -> checker.System:
    """Returns the specification without the removed safety steps.

    Args:
        checks_fencing: Whether the engine refuses orders of an older epoch.
        removed: Safety steps to omit.
    """
    variables = {
        "store_epoch": 1,
        "intent": 0,
        "old_phase": _GRANTING,
        "old_order": 0,
        "engine_epoch": 1,
        "loaded_first": 1,
        "loaded_own": 0,
        "started": 0,
        "withheld": 0,
        "evicts_first": 0,
        "order_first": 0,
        "evicts_own": 0,
        "order_own": 0,
        "evicted_in_use": 0,
    }
    for g in _GATEWAYS:
        for name in ("old_pin", "message", "holds", "runs", "confirmed"):
            variables[f"{name}{g}"] = 0
        variables |= {f"pin_first{g}": 0, f"pin_own{g}": 0, f"seen_epoch{g}": 1}
    steps = _list_old_owner_steps(checks_fencing, removed)
    steps += _list_new_owner_steps(checks_fencing, removed)
    for g in _GATEWAYS:
        steps += _list_gateway_steps(g, removed)
    no_eviction_in_use = checker.Property(
        "an adapter in use is never evicted",
        lambda s: s["evicted_in_use"] == 0,
    )
    return checker.System(
        variables=variables,
        steps=tuple(steps),
        safety=(no_eviction_in_use,),
        lemmas=tuple(_list_lemmas(checks_fencing)),
    )


def _set(value: int) -> checker.Update:
    return lambda s: z3.IntVal(value)


def _is_any(s: checker.State, name: str, codes: Sequence[int]) -> z3.BoolRef:
    return z3.Or([s[f"{name}{g}"] == code for g in _GATEWAYS for code in codes])


def _is_none_set(s: checker.State, name: str) -> z3.BoolRef:
    return z3.And([s[f"{name}{g}"] == 0 for g in _GATEWAYS])


def _is_idle(s: checker.State, g: int) -> z3.BoolRef:
    return z3.And(s[f"holds{g}"] == 0, s[f"runs{g}"] == 0)


def _list_old_owner_steps(
    checks_fencing: bool, removed: frozenset[SafetyStep]
) -> list[checker.Step]:
    needs_intent = not checks_fencing and SafetyStep.INTENT not in removed
    send_phase = _INTENDED if needs_intent else _EVICTING

    def is_rejected(s: checker.State) -> z3.BoolRef:
        if not checks_fencing:
            return z3.BoolVal(False)
        return s["engine_epoch"] > 1

    steps = [_grant_by_old_owner(g) for g in _GATEWAYS]
    steps += [
        checker.Step(
            "the old owner starts an eviction",
            lambda s: z3.And(
                s["old_phase"] == _GRANTING, _is_none_set(s, "old_pin")
            ),
            {"old_phase": _set(_EVICTING)},
        ),
        checker.Step(
            "the old owner writes the intent",
            lambda s: z3.And(
                s["old_phase"] == _EVICTING, s["store_epoch"] == 1
            ),
            {"old_phase": _set(_INTENDED), "intent": _set(1)},
        ),
        checker.Step(
            "the old owner sends the unload",
            lambda s: s["old_phase"] == send_phase,
            {"old_phase": _set(_ORDERED), "old_order": _set(1)},
        ),
        checker.Step(
            "the old owner's unload reaches the engine",
            lambda s: s["old_order"] == 1,
            {
                "old_order": _set(0),
                "loaded_first": lambda s: z3.If(
                    is_rejected(s), s["loaded_first"], z3.IntVal(0)
                ),
                "evicted_in_use": lambda s: z3.If(
                    z3.And(
                        z3.Not(is_rejected(s)),
                        _is_any(s, "runs", (_OLD_FIRST, _NEW_FIRST)),
                    ),
                    z3.IntVal(1),
                    s["evicted_in_use"],
                ),
            },
        ),
    ]
    return steps


def _grant_by_old_owner(g: int) -> checker.Step:
    return checker.Step(
        f"the old owner grants to gateway {g}",
        lambda s: z3.And(
            s["old_phase"] == _GRANTING,
            s["loaded_first"] == 1,
            s[f"old_pin{g}"] == 0,
        ),
        {f"old_pin{g}": _set(1), f"message{g}": _set(1)},
    )


def _list_new_owner_steps(
    checks_fencing: bool, removed: frozenset[SafetyStep]
) -> list[checker.Step]:
    steps = [
        checker.Step(
            "the new owner takes over",
            lambda s: s["started"] == 0,
            {
                "started": _set(1),
                "store_epoch": _set(2),
                "withheld": lambda s: s["intent"],
            },
        ),
        checker.Step(
            "the new owner sends its epoch to the engine",
            lambda s: s["started"] == 1,
            {"engine_epoch": _set(2)},
        ),
        checker.Step(
            "the new owner loads under its own name",
            lambda s: z3.And(s["started"] == 1, s["evicts_own"] == 0),
            {"loaded_own": _set(1)},
        ),
        _evict_first(removed),
        _deliver_unload("first", (_OLD_FIRST, _NEW_FIRST)),
        checker.Step(
            "the new owner evicts its own name",
            lambda s: z3.And(s["started"] == 1, _is_none_set(s, "pin_own")),
            {"evicts_own": _set(1), "order_own": _set(1)},
        ),
        _deliver_unload("own", (_NEW_OWN,)),
    ]
    for g in _GATEWAYS:
        steps += [
            _confirm_gateway(g),
            _grant_first(g, checks_fencing, removed),
            _grant_own(g),
        ]
    return steps


def _evict_first(removed: frozenset[SafetyStep]) -> checker.Step:
    def can_evict(s: checker.State) -> z3.BoolRef:
        clauses = [s["started"] == 1, _is_none_set(s, "pin_first")]
        if SafetyStep.CONFIRM not in removed:
            clauses += [s[f"confirmed{g}"] == 1 for g in _GATEWAYS]
        return z3.And(clauses)

    return checker.Step(
        "the new owner evicts the first name",
        can_evict,
        {"evicts_first": _set(1), "order_first": _set(1)},
    )


def _deliver_unload(name: str, codes: Sequence[int]) -> checker.Step:
    return checker.Step(
        f"the new owner's unload of the {name} name reaches the engine",
        lambda s: s[f"order_{name}"] == 1,
        {
            f"order_{name}": _set(0),
            f"loaded_{name}": _set(0),
            "evicted_in_use": lambda s: z3.If(
                _is_any(s, "runs", codes), z3.IntVal(1), s["evicted_in_use"]
            ),
        },
    )


def _confirm_gateway(g: int) -> checker.Step:
    def uses_first(s: checker.State) -> z3.BoolRef:
        return z3.Or(s[f"holds{g}"] == _OLD_FIRST, s[f"runs{g}"] == _OLD_FIRST)

    return checker.Step(
        f"gateway {g} reports its grants to the new owner",
        lambda s: s["started"] == 1,
        {
            f"confirmed{g}": _set(1),
            f"seen_epoch{g}": _set(2),
            f"pin_first{g}": lambda s: z3.If(
                uses_first(s), z3.IntVal(1), s[f"pin_first{g}"]
            ),
        },
    )


def _grant_first(
    g: int, checks_fencing: bool, removed: frozenset[SafetyStep]
) -> checker.Step:
    def can_grant(s: checker.State) -> z3.BoolRef:
        clauses = [
            s["started"] == 1,
            s["loaded_first"] == 1,
            s["evicts_first"] == 0,
            _is_idle(s, g),
        ]
        if SafetyStep.WITHHOLD not in removed:
            clauses.append(s["withheld"] == 0)
        if checks_fencing and SafetyStep.FENCE_FIRST not in removed:
            clauses.append(s["engine_epoch"] == 2)
        return z3.And(clauses)

    return checker.Step(
        f"the new owner grants the first name to gateway {g}",
        can_grant,
        {
            f"holds{g}": _set(_NEW_FIRST),
            f"seen_epoch{g}": _set(2),
            f"pin_first{g}": _set(1),
        },
    )


def _grant_own(g: int) -> checker.Step:
    return checker.Step(
        f"the new owner grants its own name to gateway {g}",
        lambda s: z3.And(
            s["loaded_own"] == 1, s["evicts_own"] == 0, _is_idle(s, g)
        ),
        {
            f"holds{g}": _set(_NEW_OWN),
            f"seen_epoch{g}": _set(2),
            f"pin_own{g}": _set(1),
        },
    )


def _list_gateway_steps(
    g: int, removed: frozenset[SafetyStep]
) -> list[checker.Step]:
    def accepts(s: checker.State) -> z3.BoolRef:
        if SafetyStep.GATEWAY_EPOCH in removed:
            return z3.BoolVal(True)
        return s[f"seen_epoch{g}"] == 1

    def is_loaded(s: checker.State) -> z3.BoolRef:
        own = s[f"holds{g}"] == _NEW_OWN
        return z3.If(own, s["loaded_own"] == 1, s["loaded_first"] == 1)

    def release(name: str, codes: Sequence[int]) -> checker.Update:
        def update(s: checker.State) -> z3.ArithRef:
            ends = z3.Or([s[f"runs{g}"] == code for code in codes])
            drops = z3.And(
                z3.Or([s[f"holds{g}"] == code for code in codes]),
                z3.Not(is_loaded(s)),
            )
            return z3.If(z3.Or(ends, drops), z3.IntVal(0), s[f"{name}{g}"])

        return update

    pin_updates = {
        f"old_pin{g}": release("old_pin", (_OLD_FIRST,)),
        f"pin_first{g}": release("pin_first", (_OLD_FIRST, _NEW_FIRST)),
        f"pin_own{g}": release("pin_own", (_NEW_OWN,)),
    }
    return [
        checker.Step(
            f"gateway {g} receives the old owner's grant",
            lambda s: z3.And(s[f"message{g}"] == 1, _is_idle(s, g)),
            {
                f"message{g}": _set(0),
                f"holds{g}": lambda s: z3.If(
                    accepts(s), z3.IntVal(_OLD_FIRST), z3.IntVal(0)
                ),
                f"old_pin{g}": lambda s: z3.If(
                    accepts(s), s[f"old_pin{g}"], z3.IntVal(0)
                ),
            },
        ),
        checker.Step(
            f"gateway {g} dispatches its request",
            lambda s: s[f"holds{g}"] != 0,
            {
                f"runs{g}": lambda s: z3.If(
                    is_loaded(s), s[f"holds{g}"], z3.IntVal(0)
                ),
                f"holds{g}": _set(0),
                **pin_updates,
            },
        ),
        checker.Step(
            f"the request of gateway {g} ends",
            lambda s: s[f"runs{g}"] != 0,
            {f"runs{g}": _set(0), **pin_updates},
        ),
    ]


def _list_lemmas(checks_fencing: bool) -> list[checker.Property]:
    lemmas = [
        checker.Property(
            "an evicting owner has no pinned grants",
            lambda s: z3.And(
                z3.Implies(
                    s["old_phase"] != _GRANTING, _is_none_set(s, "old_pin")
                ),
                z3.Implies(
                    s["evicts_first"] == 1,
                    z3.And(
                        _is_none_set(s, "pin_first"),
                        *[s[f"confirmed{g}"] == 1 for g in _GATEWAYS],
                    ),
                ),
                z3.Implies(s["evicts_own"] == 1, _is_none_set(s, "pin_own")),
            ),
        ),
        checker.Property(
            "an order is in flight only after its owner started an eviction",
            lambda s: z3.And(
                z3.Implies(s["old_order"] == 1, s["old_phase"] == _ORDERED),
                z3.Implies(s["order_first"] == 1, s["evicts_first"] == 1),
                z3.Implies(s["order_own"] == 1, s["evicts_own"] == 1),
            ),
        ),
        checker.Property(
            "the new owner starts with the write of its epoch",
            lambda s: z3.And(
                (s["started"] == 1) == (s["store_epoch"] == 2),
                z3.Implies(s["started"] == 0, s["engine_epoch"] == 1),
                z3.Implies(s["evicts_first"] == 1, s["started"] == 1),
                z3.Implies(s["loaded_own"] == 1, s["started"] == 1),
            ),
        ),
        checker.Property(
            "the new owner withholds every name with an intent",
            lambda s: z3.Implies(
                s["started"] == 1, s["withheld"] == s["intent"]
            ),
        ),
        _make_order_lemma(checks_fencing),
    ]
    for g in _GATEWAYS:
        lemmas += _list_gateway_lemmas(g, checks_fencing)
    return lemmas


def _make_order_lemma(checks_fencing: bool) -> checker.Property:
    if checks_fencing:
        return checker.Property(
            "the engine has seen the old or the new epoch",
            lambda s: z3.Or(s["engine_epoch"] == 1, s["engine_epoch"] == 2),
        )
    return checker.Property(
        "an order that may still arrive has an intent in the record",
        lambda s: z3.Implies(s["old_phase"] >= _INTENDED, s["intent"] == 1),
    )


def _list_gateway_lemmas(
    g: int, checks_fencing: bool
) -> list[checker.Property]:
    def uses(s: checker.State, code: int) -> z3.BoolRef:
        return z3.Or(s[f"holds{g}"] == code, s[f"runs{g}"] == code)

    def is_safe(s: checker.State) -> z3.BoolRef:
        if checks_fencing:
            return s["engine_epoch"] == 2
        return s["withheld"] == 0

    return [
        checker.Property(
            f"grants of gateway {g} are pinned",
            lambda s: z3.And(
                z3.Implies(s[f"message{g}"] == 1, s[f"old_pin{g}"] == 1),
                z3.Implies(uses(s, _OLD_FIRST), s[f"old_pin{g}"] == 1),
                z3.Implies(
                    z3.And(uses(s, _OLD_FIRST), s[f"confirmed{g}"] == 1),
                    s[f"pin_first{g}"] == 1,
                ),
                z3.Implies(uses(s, _NEW_FIRST), s[f"pin_first{g}"] == 1),
                z3.Implies(uses(s, _NEW_OWN), s[f"pin_own{g}"] == 1),
            ),
        ),
        checker.Property(
            f"gateway {g} uses one grant at a time",
            lambda s: z3.And(
                z3.Or(s[f"holds{g}"] == 0, s[f"runs{g}"] == 0),
                z3.Implies(s[f"message{g}"] == 1, z3.Not(uses(s, _OLD_FIRST))),
            ),
        ),
        checker.Property(
            f"gateway {g} has grants of the new owner only after its start",
            lambda s: z3.And(
                z3.Or(s[f"seen_epoch{g}"] == 1, s[f"seen_epoch{g}"] == 2),
                z3.Implies(s[f"confirmed{g}"] == 1, s[f"seen_epoch{g}"] == 2),
                z3.Implies(s[f"seen_epoch{g}"] == 2, s["started"] == 1),
                z3.Implies(
                    z3.Or(uses(s, _NEW_FIRST), uses(s, _NEW_OWN)),
                    s["started"] == 1,
                ),
            ),
        ),
        checker.Property(
            f"the new owner grants gateway {g} only safe names",
            lambda s: z3.Implies(uses(s, _NEW_FIRST), is_safe(s)),
        ),
    ]
