"""Starts a deployment on stand-ins and sends a few hundred mixed requests."""

import argparse
import json
import pathlib
import subprocess
import sys

import deployment
import topology

VIOLATION_KEYS = ("wrong", "truncated", "effects_doubled")


def run_program(program: str, *arguments: str, check: bool = True) -> str:
    """Runs one of the project's programs and returns its output.

    Raises:
        SystemExit: The program failed and `check` is true.
    """
    path = pathlib.Path(sys.executable).parent / program
    result = subprocess.run(
        [str(path), *arguments], capture_output=True, text=True, check=False
    )
    if check and result.returncode != 0:
        sys.exit(f"{program} failed:\n{result.stdout}{result.stderr}")
    return result.stdout


def start_all(running: deployment.Deployment) -> None:
    """Starts all nodes, applies the tables and waits until all are ready."""
    daemons = []
    for name, node in running.nodes.items():
        running.start(name)
        if node.program == "tamaracktide-platform":
            running.wait_ready(name, "/instances")
        if node.inner_port:
            daemons.append(name)
    apply_tables(running)
    for name in daemons:
        running.wait_ready(name)


def apply_tables(running: deployment.Deployment) -> None:
    """Applies the tables with `tamaracktidectl`."""
    output = run_program(
        "tamaracktidectl",
        *make_ctl_flags(running),
        "apply",
        str(running.directory / "tables.json"),
    )
    print(output, end="")


def make_ctl_flags(running: deployment.Deployment) -> list[str]:
    """Returns the flags with which `tamaracktidectl` reaches the platform."""
    settings = running.directory / "ctl.json"
    platform = running.nodes["platform"]
    content = {
        "platform": {"address": platform.address, "token": deployment.TOKEN},
    }
    settings.write_text(json.dumps(content))
    return ["--settings", str(settings)]


def run_load(
    running: deployment.Deployment,
    requests: int,
    seed: int,
    *flags: str,
    check: bool = True,
) -> str:
    """Sends a mix to all gateways; returns the load generator's output."""
    secret = running.directory / "secret"
    secret.write_text(deployment.SECRET)
    gateways = []
    services = []
    for node in running.nodes.values():
        if node.program == "tamaracktide-gateway":
            gateways.append(node.address)
        if node.program == "tamaracktide-service":
            services.append(node.address)
    return run_program(
        "tamaracktide-load",
        f"--targets={','.join(gateways)}",
        f"--effects={','.join(services)}",
        f"--key-secret-file={secret}",
        f"--routes={running.directory / 'tables.json'}",
        f"--seed={seed}",
        f"--requests={requests}",
        *flags,
        check=check,
    )


def main() -> int:
    """Returns 0 if the run shows no violation and all processes exit with 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--directory", type=pathlib.Path, default="run")
    flags = parser.parse_args()
    cluster_topology = topology.Topology(seed=flags.seed)
    running = topology.build_deployment(
        cluster_topology, flags.directory.resolve()
    )
    tables = running.directory / "tables.json"
    tables.write_text(
        json.dumps(topology.make_tables(cluster_topology), indent=2)
    )
    try:
        start_all(running)
        output = run_load(running, flags.requests, flags.seed)
    finally:
        statuses = running.stop_all()
    print(output, end="")
    print(f"logs, traces and settings: {running.directory}", file=sys.stderr)
    for node in running.nodes.values():
        if node.program in ("tamaracktide-gateway", "tamaracktide-scheduler"):
            print(
                f"metrics of {node.name} were at http://{node.address}/metrics",
                file=sys.stderr,
            )
    summary = json.loads(output.splitlines()[-1])
    failed = [name for name, status in statuses.items() if status != 0]
    if failed:
        print(f"nonzero exit status: {failed}", file=sys.stderr)
    return 1 if failed or any(summary[key] for key in VIOLATION_KEYS) else 0


if __name__ == "__main__":
    sys.exit(main())
