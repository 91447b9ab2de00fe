"""Tests of the slopes: lines, bends, the report and every trial's reach."""

import pathlib

import anyio
import pytest

from tamaracktide.bench.slopes import claiming
from tamaracktide.bench.slopes import following
from tamaracktide.bench.slopes import links
from tamaracktide.bench.slopes import memory
from tamaracktide.bench.slopes import plots
from tamaracktide.bench.slopes import processor
from tamaracktide.bench.slopes import runs
from tamaracktide.bench.slopes import series


def make_series(*values: float) -> series.Series:
    """Returns a series at the sizes 1, 2, 4 and so on."""
    points = tuple(
        series.Point(2**power, (value,)) for power, value in enumerate(values)
    )
    return series.Series(
        name="Calls: a read", unit="calls", size_label="nodes", points=points
    )


def test_line_is_found() -> None:
    """A straight line gives its slope and intercept and does not bend."""
    fit = series.fit_line(make_series(5, 7, 11, 19))
    assert fit.slope == pytest.approx(2)
    assert fit.intercept == pytest.approx(3)
    assert fit.slope_error == pytest.approx(0, abs=1e-9)
    assert not fit.bends


def test_bend_is_told() -> None:
    """A square bends."""
    fit = series.fit_line(make_series(1, 4, 16, 64))
    assert fit.bends
    assert fit.first_slope < fit.last_slope


def test_two_sizes_are_refused() -> None:
    """A line needs three sizes."""
    with pytest.raises(ValueError, match="2 sizes, need 3"):
        series.fit_line(make_series(1, 2))


def test_every_trial_has_three_growing_sizes() -> None:
    """Names are unique, sizes at least three."""
    names = [trial.name for trial in runs.TRIALS]
    assert len(set(names)) == len(names)
    for trial in runs.TRIALS:
        assert len(trial.sizes) >= 3, trial.name
        assert list(trial.sizes) == sorted(set(trial.sizes)), trial.name


def test_unknown_trial_is_named() -> None:
    """A wrong name is told."""
    with pytest.raises(ValueError, match="nothing"):
        runs.choose_trials(("routes", "nothing"))


def test_report_is_kept_and_drawn(tmp_path: pathlib.Path) -> None:
    """A report read back is the same, and each series has a plot."""
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
        links.measure_grant_exchanges,
        links.measure_claim_exchanges,
    ],
)
def test_trial_measures(run: series.Run) -> None:
    """A trial reads positive values at a small size."""
    readings = anyio.run(run, 8, 0)
    assert readings
    assert all(one.value > 0 for one in readings)


def test_edit_reaches_all_followers() -> None:
    """Each follower reads the head and one shard, and watches again."""
    readings = anyio.run(following.measure_edit, 3, 0)
    values = {one.name: one.value for one in readings}
    assert values["edit: writes"] == 3
    assert values["edit: watches"] == 3
    assert values["edit: reads"] >= 2 * 3


def test_restart_reads_every_object() -> None:
    """A follower lists once and reads head, pools and shards."""
    readings = anyio.run(following.measure_restart, 2, 0)
    values = {one.name: one.value for one in readings}
    objects = following.RESTART_SHARDS + 2
    assert values["restart: reads"] == 2 * (1 + objects)


def test_claims_are_committed() -> None:
    """One committer a shard meets no conflict."""
    readings = anyio.run(claiming.measure_claims, 2, 0)
    values = {one.name.partition(": ")[2]: one.value for one in readings}
    assert values["conflicts"] == 0
    assert values["not committed"] == 0
    assert values["writes"] > 0
