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
    """A workload depends only on its profile and seed."""
    first = workload.make_workload(SHORT, 1)
    assert first == workload.make_workload(SHORT, 1)
    assert first != workload.make_workload(SHORT, 2)


def test_removal_of_large_customer_keeps_other_requests() -> None:
    """The run without the large customer has the same other requests."""
    generated = workload.make_workload(SHORT, 1)
    without_large = workload.remove_large_customer(generated)
    large = workload.LARGE_CUSTOMER
    small = [
        request for request in generated.requests if request.customer != large
    ]
    assert list(without_large.requests) == small


def test_json_object_has_every_policy_and_measure() -> None:
    """The printed object has a key for each policy and measure."""
    compared = runs.make_json_object(runs.compare_policies(SHORT, 1))
    names = {field.name for field in dataclasses.fields(measures.Measures)}
    assert set(compared) == set(runs.POLICIES)
    assert all(set(figures) == names for figures in compared.values())


def test_every_request_completes_or_is_refused() -> None:
    """The project's own policy completes or refuses every request."""
    generated = workload.make_workload(SHORT, 1)
    simulation = runs.run_simulation(generated, runs.POLICIES["ours"])
    assert len(simulation.records) == len(generated.requests)
    assert all(
        record.refused or record.completed_at for record in simulation.records
    )


def _make_stop_after_failed_load() -> workload.Workload:
    """Returns a workload whose first load fails just before an engine stops."""
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


def test_clairvoyant_loads_once_after_failed_load_and_engine_stop() -> None:
    """The retry of a stopped engine's load does not duplicate the next load."""
    generated = _make_stop_after_failed_load()
    simulation = runs.run_simulation(generated, runs.POLICIES["clairvoyant"])
    assert simulation.records[0].completed_at is not None
    assert simulation.store.loads == 2


@pytest.mark.parametrize("seed", [213974, 224207])
def test_clairvoyant_does_not_exceed_engine_slots(seed: int) -> None:
    """A retry of a load does not start more loads than there are slots.

    At these seeds, a retry used to exceed the slots of an engine.
    """
    generated = workload.make_workload(workload.VIILUKODA, seed)
    runs.run_simulation(generated, runs.POLICIES["clairvoyant"])
