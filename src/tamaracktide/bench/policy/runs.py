"""Runs every policy under the same workload and compares the results."""

from collections.abc import Callable
import dataclasses

from tamaracktide.bench.policy import baselines
from tamaracktide.bench.policy import cells
from tamaracktide.bench.policy import clairvoyant
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import simulation
from tamaracktide.bench.policy import workload

PolicyFactory = Callable[[simulation.Simulation], simulation.Policy]

POLICIES: dict[str, PolicyFactory] = {
    "ours": cells.CellsPolicy,
    "round_robin_lru": baselines.make_round_robin,
    "least_loaded_lru": baselines.make_least_loaded,
    "clairvoyant": clairvoyant.ClairvoyantPolicy,
}


def run_simulation(
    workload_: workload.Workload, make_policy: PolicyFactory
) -> simulation.Simulation:
    """Runs a policy under a workload and returns the finished simulation."""
    simulation_ = simulation.Simulation(workload_)
    simulation_.run(make_policy(simulation_))
    return simulation_


def _list_measured(simulation_: simulation.Simulation) -> list[measures.Record]:
    warm_up_s = simulation_.workload.profile.warm_up_s
    return [
        record
        for record in simulation_.records
        if record.request.arrival >= warm_up_s
    ]


def _find_efficiency(simulation_: simulation.Simulation) -> float:
    steps = sum(engine.steps for engine in simulation_.engines.values())
    tokens = sum(engine.tokens for engine in simulation_.engines.values())
    return tokens / (steps * simulation_.workload.profile.batch_limit)


def _average_stall_s(records: list[measures.Record]) -> float:
    return sum(record.stall_s for record in records) / len(records)


def measure_policy(
    workload_: workload.Workload, make_policy: PolicyFactory
) -> measures.Measures:
    """Measures a policy with and without the large customer."""
    with_large = run_simulation(workload_, make_policy)
    without_large = run_simulation(
        workload.remove_large_customer(workload_), make_policy
    )
    records = _list_measured(with_large)
    records_without_large = _list_measured(without_large)
    small = [
        record
        for record in records
        if record.request.customer != workload.LARGE_CUSTOMER
    ]
    return measures.Measures(
        load_stalls=sum(record.stall_s > 0 for record in records),
        stall_s_per_request=_average_stall_s(records),
        stall_alone_s_per_request=_average_stall_s(records_without_large),
        batch_efficiency=_find_efficiency(with_large),
        batch_efficiency_alone=_find_efficiency(without_large),
        small_p99_wait_s=measures.find_small_p99_wait(records),
        small_p99_wait_alone_s=measures.find_small_p99_wait(
            records_without_large
        ),
        completed_weighted=measures.sum_completed_value(records),
        refused=sum(record.refused for record in records),
        small_refused=sum(record.refused for record in small),
        loads=with_large.store.loads,
        lost=sum(
            record.completed_at is None and not record.refused
            for record in records
        ),
    )


def compare_policies(
    profile: workload.Profile, seed: int
) -> dict[str, measures.Measures]:
    """Returns the measures of every policy under the same workload."""
    workload_ = workload.make_workload(profile, seed)
    return {
        name: measure_policy(workload_, make_policy)
        for name, make_policy in POLICIES.items()
    }


def make_json_object(
    compared: dict[str, measures.Measures],
) -> dict[str, dict[str, float]]:
    """Returns the comparison as an object that can be encoded as JSON."""
    return {
        name: {
            key: round(value, 4)
            for key, value in dataclasses.asdict(figures).items()
        }
        for name, figures in compared.items()
    }
