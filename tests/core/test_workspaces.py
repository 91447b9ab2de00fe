"""Tests of workspaces: keys, units of caps and weights."""

import pytest

from tamaracktide.core import workspaces


def _make(name: str, *keys: bytes, **cap: float) -> workspaces.Workspace:
    return workspaces.Workspace(
        name=name,
        keys=frozenset(workspaces.digest_key(key) for key in keys),
        cap=workspaces.Cap(unit=workspaces.Unit.TOKENS, **cap),
    )


def test_keys_are_indexed_by_digest() -> None:
    """Each key leads to its workspace; the key itself is kept nowhere."""
    known = [_make("a", b"k1", b"k2"), _make("b", b"k3")]
    index = workspaces.index_keys(known)
    assert index[workspaces.digest_key(b"k2")].name == "a"
    assert "k1" not in repr(index) + str(sorted(index))


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        ([_make("a", b"k"), _make("b", b"k")], "'a' and 'b'"),
        ([_make("a"), _make("a")], "'a'"),
        ([_make("")], "''"),
        ([_make("a", rate_per_s=-1.0)], "-1"),
        ([_make("a", burst=float("nan"))], "nan"),
    ],
)
def test_problem_names_the_value_but_no_key(
    known: list[workspaces.Workspace], expected: str
) -> None:
    """A shared key, an empty or repeated name, or a negative cap is a fault."""
    problem = workspaces.find_problem(known)
    assert expected in problem
    assert workspaces.digest_key(b"k") not in problem


def test_tokens_are_counted_in_the_unit_of_the_cap() -> None:
    """A request that states no tokens counts as the plain number."""
    cap = workspaces.Cap(
        rate_per_s=1.0, unit=workspaces.Unit.TOKENS, plain_tokens=200.0
    )
    assert cap.measure(1540) == 1540.0
    assert cap.measure(None) == 200.0
    assert workspaces.Cap(rate_per_s=1.0).measure(1540) == 1.0


def test_weights_follow_the_caps() -> None:
    """A tenfold cap weighs more; a tiny one keeps the least weight."""
    known = [
        _make("large", rate_per_s=20.0),
        _make("small", rate_per_s=10.0),
        _make("tiny", rate_per_s=0.3),
        _make("free"),
    ]
    weights = workspaces.find_weights(known)
    assert weights["large"] == 2.0 * weights["small"]
    assert weights["tiny"] == workspaces.MIN_WEIGHT
    assert weights["free"] == 1.0
