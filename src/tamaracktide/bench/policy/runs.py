"""Runs every policy under one workload and compares them."""

from collections.abc import Callable
import dataclasses

from tamaracktide.bench.policy import baselines
from tamaracktide.bench.policy import cells
from tamaracktide.bench.policy import clairvoyant
from tamaracktide.bench.policy import measures
from tamaracktide.bench.policy import workload
from tamaracktide.bench.policy import world

MakePolicy = Callable[[world.World], world.Policy]

POLICIES: dict[str, MakePolicy] = {
    "ours": cells.CellsPolicy,
    "round_robin_lru": baselines.make_round_robin,
    "least_loaded_lru": baselines.make_least_loaded,
    "clairvoyant": clairvoyant.ClairvoyantPolicy,
}


def run_world(workload_: workload.Workload, make: MakePolicy) -> world.World:
    """Runs one policy under one workload and returns the end state."""
    made = world.World(workload_)
    made.run(make(made))
    return made


def _list_measured(world_: world.World) -> list[measures.Record]:
    warm_up_s = world_.workload.profile.warm_up_s
    return [r for r in world_.records if r.request.arrival >= warm_up_s]


def _find_efficiency(world_: world.World) -> float:
    steps = sum(engine.steps for engine in world_.engines.values())
    tokens = sum(engine.tokens for engine in world_.engines.values())
    return tokens / (steps * world_.workload.profile.batch_limit)


def _average_stall_s(records: list[measures.Record]) -> float:
    return sum(record.stall_s for record in records) / len(records)


def measure_policy(
    workload_: workload.Workload, make: MakePolicy
) -> measures.Measures:
    """Runs a policy with and without the large customer."""
    mixed = run_world(workload_, make)
    alone = run_world(workload.remove_large_customer(workload_), make)
    records = _list_measured(mixed)
    records_alone = _list_measured(alone)
    small = [
        r for r in records if r.request.customer != workload.LARGE_CUSTOMER
    ]
    return measures.Measures(
        load_stalls=sum(record.stall_s > 0 for record in records),
        stall_s_per_request=_average_stall_s(records),
        stall_alone_s_per_request=_average_stall_s(records_alone),
        batch_efficiency=_find_efficiency(mixed),
        batch_efficiency_alone=_find_efficiency(alone),
        small_p99_wait_s=measures.find_small_p99_wait(records),
        small_p99_wait_alone_s=measures.find_small_p99_wait(records_alone),
        completed_weighted=measures.count_completed(records),
        refused=sum(record.refused for record in records),
        small_refused=sum(record.refused for record in small),
        loads=mixed.store.loads,
        lost=sum(r.completed_at is None and not r.refused for r in records),
    )


def compare_policies(
    profile: workload.Profile, seed: int
) -> dict[str, measures.Measures]:
    """Returns the figures of every policy under the same workload."""
    made = workload.make_workload(profile, seed)
    return {name: measure_policy(made, make) for name, make in POLICIES.items()}


def make_object(
    compared: dict[str, measures.Measures],
) -> dict[str, dict[str, float]]:
    """Returns the comparison as an object for JSON."""
    return {
        name: {
            key: round(value, 4)
            for key, value in dataclasses.asdict(figures).items()
        }
        for name, figures in compared.items()
    }
