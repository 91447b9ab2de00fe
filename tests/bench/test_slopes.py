"""Tests of the line fits, the stored report and the trials."""

import pathlib

import anyio
import pytest

from tamaracktide.bench.slopes import claim_throughput
from tamaracktide.bench.slopes import entry_reports
from tamaracktide.bench.slopes import links
from tamaracktide.bench.slopes import memory
from tamaracktide.bench.slopes import plots
from tamaracktide.bench.slopes import processor
from tamaracktide.bench.slopes import runs
from tamaracktide.bench.slopes import series
from tamaracktide.bench.slopes import table_followers


def make_series(*values: float) -> series.Series:
    """Returns a series at the sizes 1, 2, 4 and so on."""
    points = tuple(
        series.Point(2**power, (value,)) for power, value in enumerate(values)
    )
    return series.Series(
        name="Calls: a read", unit="calls", size_label="nodes", points=points
    )


def test_straight_line_is_fitted_exactly() -> None:
    """The fit of a straight line has its slope and intercept and no bend."""
    fit = series.fit_line(make_series(5, 7, 11, 19))
    assert fit.slope == pytest.approx(2)
    assert fit.intercept == pytest.approx(3)
    assert fit.slope_error == pytest.approx(0, abs=1e-9)
    assert not fit.bends


def test_quadratic_series_bends() -> None:
    """A quadratic series is reported as bending, with a growing slope."""
    fit = series.fit_line(make_series(1, 4, 16, 64))
    assert fit.bends
    assert fit.first_slope < fit.last_slope


def test_series_of_two_sizes_is_rejected() -> None:
    """A fit needs at least three sizes."""
    with pytest.raises(ValueError, match="2 sizes, need 3"):
        series.fit_line(make_series(1, 2))


def test_trials_have_unique_names_and_three_ascending_sizes() -> None:
    """Names are unique; each trial has at least three ascending sizes."""
    names = [trial.name for trial in runs.TRIALS]
    assert len(set(names)) == len(names)
    for trial in runs.TRIALS:
        assert len(trial.sizes) >= 3, trial.name
        assert list(trial.sizes) == sorted(set(trial.sizes)), trial.name


def test_unknown_trial_name_is_reported() -> None:
    """The error message holds the name that matches no trial."""
    with pytest.raises(ValueError, match="nothing"):
        runs.choose_trials(("routes", "nothing"))


def test_report_is_stored_and_plotted(tmp_path: pathlib.Path) -> None:
    """A stored report reads back unchanged, and each series has a plot."""
    trial = series.Trial(
        name="owners", size_label="x", sizes=(1, 2, 3), run=_read_size
    )
    report = anyio.run(runs.measure_all, (trial,), 2, lambda *_: None)
    path = tmp_path / runs.DATA_FILE
    runs.write_report(report, path)
    assert runs.read_report(path) == report
    assert report.fits["size"].slope == pytest.approx(10)
    assert plots.draw_all(report.series, tmp_path) == [tmp_path / "size.png"]


async def _read_size(size: int, _seed: int) -> tuple[series.Reading, ...]:
    return (series.Reading("size", "x", 10.0 * size),)


@pytest.mark.parametrize(
    "run",
    [
        memory.measure_routes,
        memory.measure_upstreams,
        memory.measure_waiting,
        memory.measure_claim_keys,
        processor.measure_grants,
        processor.measure_waiting_grants,
        processor.measure_commits,
        processor.measure_segments,
        processor.measure_digests,
        processor.measure_heartbeats,
        processor.measure_owners,
        processor.measure_edits,
        entry_reports.measure_entry_reports,
        links.measure_grant_exchanges,
        links.measure_claim_exchanges,
    ],
)
def test_trial_yields_positive_readings(run: series.Run) -> None:
    """A trial measures positive values at a small size."""
    readings = anyio.run(run, 8, 0)
    assert readings
    assert all(reading.value > 0 for reading in readings)


def test_edit_reaches_all_followers() -> None:
    """Each follower reads the head and one shard and opens a new watch."""
    readings = anyio.run(table_followers.measure_edit, 3, 0)
    values = {reading.name: reading.value for reading in readings}
    assert values["edit: writes"] == 3
    assert values["edit: watches"] == 3
    assert values["edit: reads"] >= 2 * 3


def test_restarted_follower_reads_every_object_once() -> None:
    """A follower lists once and reads the head, the pools and each shard."""
    readings = anyio.run(table_followers.measure_restart, 2, 0)
    values = {reading.name: reading.value for reading in readings}
    objects = table_followers.RESTART_SHARDS + 2
    assert values["restart: reads"] == 2 * (1 + objects)


def test_single_committer_commits_claims_without_conflicts() -> None:
    """With one committer per shard all claims commit without conflicts."""
    readings = anyio.run(claim_throughput.measure_claims, 2, 0)
    values = {
        reading.name.partition(": ")[2]: reading.value for reading in readings
    }
    assert values["conflicts"] == 0
    assert values["not committed"] == 0
    assert values["writes"] > 0
