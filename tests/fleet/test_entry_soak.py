"""Rounds of the soak run on entry instances that are real processes."""

import pathlib

import anyio
import pytest
import soak_faults
import soak_rounds

SEED = 7
LOAD = soak_rounds.Settings(rate=10.0, load_s=9.0)
ROUNDS = (
    (
        soak_faults.Planned(1.0, soak_faults.Kill(("front-1",), 0.5)),
        soak_faults.Planned(
            2.0,
            soak_faults.Misbehave(
                "ledger",
                soak_faults.EVERY,
                4.0,
                (
                    ("refuses_until", True),
                    ("refuse_fraction", 0.4),
                    ("late_copy_s", 0.005),
                ),
            ),
        ),
        soak_faults.Planned(3.0, soak_faults.ChangeManifest()),
    ),
    (
        soak_faults.Planned(1.0, soak_faults.Terminate(("front-2",), 0.0)),
        soak_faults.Planned(
            2.0, soak_faults.KillServers("ledger", 1, 1.0, True)
        ),
        soak_faults.Planned(3.0, soak_faults.FreezeServer("llm", 1.0)),
    ),
)
ENDLESS_ROUNDS = tuple(
    tuple(
        soak_faults.Planned(
            1.0,
            soak_faults.Misbehave(
                service,
                1,
                6.0,
                (("endless_fraction", 0.5), ("endless_part", part)),
            ),
        )
        for service in ("llm", "ledger")
    )
    for part in ("head", "event")
)


SHARED_ROUNDS = (
    (soak_faults.misbehave(1.0, "llm", 7.0, pause_s=2.5, work_s=0.9),),
    (
        soak_faults.misbehave(
            1.0, "llm", 3.0, stray_fraction=0.4, stray="refusal"
        ),
        soak_faults.misbehave(
            1.0, "ledger", 3.0, stray_fraction=0.4, stray="refusal"
        ),
        soak_faults.misbehave(
            4.5, "llm", 3.0, stray_fraction=0.4, stray="unnamed"
        ),
        soak_faults.misbehave(
            4.5, "ledger", 3.0, stray_fraction=0.4, stray="success"
        ),
    ),
)


def check_rounds(
    folder: pathlib.Path, rounds: tuple[tuple[soak_faults.Planned, ...], ...]
) -> None:
    """Plays rounds, in which no rule may break and most jobs are served."""
    soak = soak_rounds.EntrySoak(
        folder / "soak", SEED, lambda report: None, LOAD
    )
    planned = iter(rounds)
    anyio.run(soak.run, lambda: next(planned), len(rounds), float("inf"))
    assert soak.failures == []
    assert soak.sums["served"] > soak.sums["sent"] / 2


def test_rules_hold_around_kills_and_refusals(tmp_path: pathlib.Path) -> None:
    """Requests run once, refusals are true, streams are whole.

    Guards against answers that hold only while all instances share a process:
    a kill closes connections, and an accept queue outlives its process.
    """
    check_rounds(tmp_path, ROUNDS)


def test_rules_hold_around_responses_without_end(
    tmp_path: pathlib.Path,
) -> None:
    """Instances keep within their memory, and serve at the other servers.

    Guards against a reader that collects all bytes before a boundary.
    """
    check_rounds(tmp_path, ENDLESS_ROUNDS)


def test_no_two_servers_work_on_one_stream(tmp_path: pathlib.Path) -> None:
    """Guards against streams that go on elsewhere too early (TWICE).

    Servers are silent for longer than the instances wait, and begin late; or
    write responses to earlier requests before their own.
    """
    check_rounds(tmp_path, SHARED_ROUNDS)


def rename_servers(at_s: float) -> soak_faults.Planned:
    """Returns a kill of all servers, whose addresses others have afterwards."""
    kill = soak_faults.KillServers("ledger", soak_faults.EVERY, 0.05, False)
    return soak_faults.Planned(at_s, kill)


def test_late_refusals_of_the_server_before_at_an_address_prove_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a refusal that passes for the next one's (REFUSED, TWICE).

    The next attempt is for the server that has the address now, on the same
    connection and with the same id.
    """
    soak = soak_rounds.EntrySoak(
        tmp_path / "soak",
        SEED,
        lambda report: None,
        soak_rounds.Settings(rate=60.0, load_s=10.0),
    )
    faults = (rename_servers(1.0), rename_servers(5.5))
    anyio.run(soak.run, lambda: faults, 1, float("inf"))
    assert soak.failures == []
    assert soak.sums["served"] > soak.sums["sent"] / 2


def make_release_and_kill(fraction: float) -> tuple[soak_faults.Planned, ...]:
    """Returns a release and a kill of all instances while old servers serve."""
    release = soak_faults.Release("llm", fraction, 0.4, 9.0, False)
    kill = soak_faults.Kill(soak_rounds.INSTANCES, 1.0)
    return soak_faults.Planned(1.0, release), soak_faults.Planned(5.2, kill)


@pytest.mark.parametrize("fraction", [1.0, 0.5])
def test_streams_keep_their_software_version_after_a_kill_of_all(
    tmp_path: pathlib.Path, fraction: float
) -> None:
    """Streams that are resumed go on, and at the version that began them.

    Guards against instances that know only what serves after their start.
    """
    soak = soak_rounds.EntrySoak(
        tmp_path / "soak",
        SEED,
        lambda report: None,
        soak_rounds.Settings(rate=45.0, load_s=12.0),
    )
    faults = make_release_and_kill(fraction)
    anyio.run(soak.run, lambda: faults, 1, float("inf"))
    assert soak.failures == []
    assert soak.sums["resumed"] > 0
    if fraction < 1.0:
        assert soak.sums["went_on"] > soak.sums["resumed"] / 2
