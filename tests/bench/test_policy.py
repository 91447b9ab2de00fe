"""Tests of the policy benchmark on short workloads."""

import dataclasses

import pytest

from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import runs
from tamaracktide.bench.policy import workload

SHORT = dataclasses.replace(
    workload.VIILUKODA, duration_s=60.0, warm_up_s=5.0, restarts=1
)


def test_same_seed_gives_the_same_workload() -> None:
    """A workload depends on its profile and seed only."""
    first = workload.make_workload(SHORT, 1)
    assert first == workload.make_workload(SHORT, 1)
    assert first != workload.make_workload(SHORT, 2)


def test_small_customers_ask_the_same_without_the_large_one() -> None:
    """The comparison run leaves out the large customer only."""
    made = workload.make_workload(SHORT, 1)
    alone = workload.remove_large_customer(made)
    large = workload.LARGE_CUSTOMER
    small = [r for r in made.requests if r.customer != large]
    assert list(alone.requests) == small


def test_object_names_every_policy_and_measure() -> None:
    """The printed object has the agreed keys."""
    compared = runs.make_object(runs.compare_policies(SHORT, 1))
    names = {field.name for field in dataclasses.fields(measures.Measures)}
    assert set(compared) == set(runs.POLICIES)
    assert all(set(figures) == names for figures in compared.values())


def test_every_request_completes_or_is_refused() -> None:
    """No request is forgotten by the product's decisions."""
    made = workload.make_workload(SHORT, 1)
    ended = runs.run_world(made, runs.POLICIES["ours"])
    assert len(ended.records) == len(made.requests)
    assert all(r.refused or r.completed_at for r in ended.records)


def _make_stop_after_failed_load() -> workload.Workload:
    """Returns a workload whose first load fails just before a stop."""
    profile = dataclasses.replace(
        workload.VIILUKODA,
        engines=2,
        zones=1,
        duration_s=5.0,
        warm_up_s=0.0,
        load_failure_rate=0.0,
    )
    request = dataclasses.replace(
        workload.make_workload(SHORT, 1).requests[0], arrival=1.0, deadline=4.0
    )
    return workload.Workload(
        profile,
        1,
        (request,),
        (workload.Restart(1.4, 0, 8.0),),
        workload.FaultyLoads(0.0, 5.0, 0),
    )


def test_clairvoyant_loads_once_after_a_failed_load_and_a_stop() -> None:
    """The retry of a stopped engine's load does not repeat the next load."""
    made = _make_stop_after_failed_load()
    ended = runs.run_world(made, runs.POLICIES["clairvoyant"])
    assert ended.records[0].completed_at is not None
    assert ended.store.loads == 2


@pytest.mark.parametrize("seed", [213974, 224207])
def test_clairvoyant_keeps_to_an_engines_slots(seed: int) -> None:
    """Seeds at which a retry once made it load into too few slots."""
    made = workload.make_workload(workload.VIILUKODA, seed)
    runs.run_world(made, runs.POLICIES["clairvoyant"])
