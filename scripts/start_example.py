"""Starts an example deployment on stand-ins, on loopback.

The script reads the files that `examples/make_example.py` writes. With
`--requests N` it sends N mixed requests and exits; otherwise it prints the
addresses of the deployment and serves until Ctrl-C.
"""

import argparse
import json
import pathlib
import signal
import sys
import threading

import deployment
import quickstart
import topology

SLOTS = 8
BATCH_LIMIT = 16


def build(
    example: pathlib.Path, directory: pathlib.Path, seed: int
) -> deployment.Deployment:
    """Returns the deployment of an example without starting it."""
    cluster_topology = topology.Topology(
        gateways=_list_zones(example, "gateway"),
        schedulers=_list_zones(example, "scheduler"),
        engines=_list_zones(example, "engine"),
        services=_list_zones(example, "service"),
        slots=SLOTS,
        batch_limit=BATCH_LIMIT,
        seed=seed,
    )
    running = topology.build_deployment(cluster_topology, directory)
    store = _read_json(example / "scheduler-0.json")["store"]
    for node in list(running.nodes.values()):
        if node.program == "tamaracktide-scheduler":
            node.settings["store"] = store
        elif node.program == "tamaracktide-platform":
            node.settings["full_speed_loads"] = int(store["in_flight"])
        running.add(node)
    tables = (example / "tables.json").read_text(encoding="utf-8")
    (directory / "tables.json").write_text(tables, encoding="utf-8")
    (directory / "secret").write_text(deployment.SECRET, encoding="utf-8")
    return running


def _list_zones(example: pathlib.Path, role: str) -> tuple[str, ...]:
    instances = _read_json(example / "instances.json")["instances"]
    return tuple(item["zone"] for item in instances if item["role"] == role)


def _read_json(path: pathlib.Path) -> deployment.Json:
    value = json.loads(path.read_text(encoding="utf-8"))
    assert isinstance(value, dict)
    return value


def serve(running: deployment.Deployment) -> None:
    """Prints the addresses of the deployment; waits for SIGINT or SIGTERM."""
    flags = quickstart.make_ctl_flags(running)
    settings_path = running.directory / "ctl.json"
    content = _read_json(settings_path)
    content["secret_path"] = str(running.directory / "secret")
    settings_path.write_text(json.dumps(content), encoding="utf-8")
    print(f"tamaracktidectl {' '.join(flags)} status")
    for node in running.nodes.values():
        if node.program == "tamaracktide-gateway":
            print(f"{node.name} ({node.zone}): http://{node.address}")
    print(f"secret of the API keys: {deployment.SECRET!r}", flush=True)
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()
    print("stopping", flush=True)


def main() -> int:
    """Returns 0 if the run shows no violation and all processes exit with 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("example", type=pathlib.Path)
    parser.add_argument("--requests", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory", type=pathlib.Path, default="run")
    flags = parser.parse_args()
    running = build(flags.example, flags.directory.resolve(), flags.seed)
    summary = dict.fromkeys(quickstart.VIOLATION_KEYS, 0)
    try:
        quickstart.start_all(running)
        if flags.requests:
            output = quickstart.run_load(
                running, flags.requests, flags.seed, check=False
            )
            print(output, end="")
            summary = json.loads(output.splitlines()[-1])
        else:
            serve(running)
    finally:
        statuses = running.stop_all()
    failed = [name for name, status in statuses.items() if status != 0]
    if failed:
        print(f"nonzero exit status: {failed}", file=sys.stderr)
    wrong = any(summary[key] for key in quickstart.VIOLATION_KEYS)
    return 1 if failed or wrong else 0


if __name__ == "__main__":
    sys.exit(main())
