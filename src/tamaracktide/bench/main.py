"""`tamaracktide-bench`: benchmarks of decisions, the gateway and scaling."""

import dataclasses
import json

import fire

from tamaracktide.bench import random_cell
from tamaracktide.bench.gateway import runs as gateway_runs
from tamaracktide.bench.policy import decisions
from tamaracktide.bench.policy import runs
from tamaracktide.bench.policy import workload
from tamaracktide.bench.slopes import commands


class Commands:
    """Benchmarks; each prints one JSON object as its last line."""

    gateway = staticmethod(gateway_runs.run)

    def policy(self, workload: str, seed: int = 1) -> None:
        """Compares scheduling policies in virtual time.

        Args:
            workload: `intango` or `viilukoda`.
            seed: Seed of the random workload.
        """
        _run_policy(workload, seed)

    def decisions(self, seed: int = 1) -> None:
        """Measures the CPU time of a cell's decisions.

        Args:
            seed: Seed of the random requests.
        """
        costs = {
            str(nodes): dataclasses.asdict(
                decisions.measure_decisions(nodes, seed)
            )
            for nodes in (55, 330)
        }
        print(json.dumps(costs))

    def random(self, seed: int = 1, steps: int = 100_000) -> None:
        """Feeds random events to a cell and checks every action.

        Args:
            seed: Seed of the random events.
            steps: Number of random operations.
        """
        summary = random_cell.RandomCell(seed).run(steps)
        print(json.dumps(dataclasses.asdict(summary)))

    def slopes(
        self,
        only: commands.Names = "",
        repeats: int = 3,
        plot: str = "",
        data: commands.Names = "",
    ) -> None:
        """Measures how costs grow with size and fits a line to each series.

        Args:
            only: Comma-separated names of trials; all trials if empty.
            repeats: Number of runs at each size.
            plot: Directory for the data and the plots; neither is written if
                empty.
            data: Comma-separated paths of stored reports to read instead of
                measuring.
        """
        commands.run_slopes(only, repeats, plot, data)


def _run_policy(name: str, seed: int) -> None:
    profile = workload.PROFILES[name]
    compared = runs.make_json_object(runs.compare_policies(profile, seed))
    for policy, figures in compared.items():
        print(f"{policy}: {json.dumps(figures)}")
    print(json.dumps(compared))


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="tamaracktide-bench")
