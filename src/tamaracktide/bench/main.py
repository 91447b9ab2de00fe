"""`tamaracktide-bench`: benchmarks of the decision core."""

import json

import fire

from tamaracktide.bench.policy import runs
from tamaracktide.bench.policy import workload


class Commands:
    """Benchmarks; each prints one JSON object as its last line."""

    def policy(self, workload: str, seed: int = 1) -> None:
        """Compares scheduling policies in virtual time.

        Args:
            workload: `intango` or `viilukoda`.
            seed: Seed of the workload.
        """
        _run_policy(workload, seed)


def _run_policy(name: str, seed: int) -> None:
    profile = workload.PROFILES[name]
    compared = runs.make_object(runs.compare_policies(profile, seed))
    for policy, figures in compared.items():
        print(f"{policy}: {json.dumps(figures)}")
    print(json.dumps(compared))


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="tamaracktide-bench")
