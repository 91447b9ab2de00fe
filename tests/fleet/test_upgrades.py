"""Upgrades from the build in production, with real processes of both."""

import pathlib

import anyio
import pytest
import soak_faults
import soak_rounds

import builds

SEED = 53
LOAD_S = 20.0
UPGRADE = soak_faults.Planned(
    2.0, soak_faults.Terminate(soak_rounds.INSTANCES, 1.0, builds.ROOT)
)
STRAY_RESPONSES = tuple(
    soak_faults.misbehave(
        0.5, service, LOAD_S, stray_fraction=0.2, stray="unnamed"
    )
    for service in ("ledger", "llm")
)


@pytest.fixture
def production(tmp_path: pathlib.Path) -> pathlib.Path:
    """Returns the sources of the build in production."""
    return builds.extract(builds.read_production(), tmp_path / "production")


def test_promises_hold_while_production_is_upgraded(
    tmp_path: pathlib.Path, production: pathlib.Path
) -> None:
    """Guards against a build in production that lacks fixes (TWICE, REFUSED).

    Servers precede responses by a refusal that names no request.
    """
    soak = soak_rounds.EntrySoak(
        tmp_path / "soak",
        SEED,
        lambda report: None,
        soak_rounds.Settings(rate=40.0, load_s=LOAD_S, tree=production),
    )
    anyio.run(soak.run, lambda: (*STRAY_RESPONSES, UPGRADE), 1, float("inf"))
    assert soak.failures == []
    assert soak.sums["served"] > soak.sums["sent"] / 2
