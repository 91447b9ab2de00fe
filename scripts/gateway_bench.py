"""Starts a small deployment and runs the gateway benchmark against it."""

import argparse
import json
import pathlib
import sys

import deployment
import quickstart
import topology

ENGINES = 6
BATCH_LIMIT = 64
TOKEN_S = 0.01


def build(directory: pathlib.Path, trace_ratio: float) -> deployment.Deployment:
    """Returns a deployment of one gateway and engines with large batches."""
    cluster_topology = topology.Topology(
        gateways=("za",),
        schedulers=("za",),
        engines=("za",) * ENGINES,
        services=("za",),
        adapters=2 * ENGINES,
        slots=4 * ENGINES,
        batch_limit=BATCH_LIMIT,
        token_s=TOKEN_S,
    )
    running = topology.build_deployment(cluster_topology, directory)
    for name in ("gateway-0", "scheduler-0"):
        node = running.nodes[name]
        node.settings["observability"]["trace_ratio"] = trace_ratio
        running.add(node)
    for node in list(running.nodes.values()):
        if node.program == "tamaracktide-engine":
            node.settings["kv_tokens"] = 10_000_000
            running.add(node)
    tables = directory / "tables.json"
    tables.write_text(
        json.dumps(topology.make_tables(cluster_topology), indent=2)
    )
    (directory / "secret").write_text(deployment.SECRET)
    return running


def run_bench(running: deployment.Deployment, flags: argparse.Namespace) -> str:
    """Runs the benchmark and returns its output."""
    engines = [
        node.address
        for node in running.nodes.values()
        if node.program == "tamaracktide-engine"
    ]
    return quickstart.run_program(
        "tamaracktide-bench",
        "gateway",
        f"--targets={running.nodes['gateway-0'].address}",
        f"--engine={','.join(engines)}",
        f"--engine-token={deployment.TOKEN}",
        f"--key-secret-file={running.directory / 'secret'}",
        f"--routes={running.directory / 'tables.json'}",
        f"--gateway-pid={running.processes['gateway-0'].pid}",
        f"--seconds={flags.seconds}",
        f"--requests={flags.requests}",
        f"--streams={flags.streams}",
    )


def main() -> int:
    """Runs the benchmark; returns 0 if all processes exit with 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--requests", type=int, default=160)
    parser.add_argument("--streams", type=int, default=320)
    parser.add_argument("--trace-ratio", type=float, default=0.01)
    parser.add_argument("--directory", type=pathlib.Path, default="run/bench")
    flags = parser.parse_args()
    running = build(flags.directory.resolve(), flags.trace_ratio)
    try:
        quickstart.start_all(running)
        output = run_bench(running, flags)
    finally:
        statuses = running.stop_all()
    print(output, end="")
    failed = [name for name, status in statuses.items() if status != 0]
    if failed:
        print(f"nonzero exit status: {failed}", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
