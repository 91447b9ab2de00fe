"""Runs deployments under load and faults, and checks every response.

The topologies have the size of today's deployment. There are two deployments:
`daemons` are gateways and schedulers on the project's own stand-ins, `entry`
are entry instances on stand-ins of the users' platform. By default both run,
each for half of the time.

Each round checks the responses to the load. After the faults are cleared, all
daemons must have the last accepted tables in force and must serve every request
of a further load. Rounds of entry instances are checked by the rules of the
platform; their settings, logs and records stay in the directory. The last line
of the output is one JSON object with the sums of all rounds.
"""

import argparse
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import json
import pathlib
import random
import sys
import time

import anyio
import anyio.abc

import builds
import deployment
import faults
import links
import quickstart
import topology

FAULT_S = 8.0
RECOVERY_S = 15.0
ROUND_REQUESTS = 400
CHECK_REQUESTS = 30
REQUEST_TIMEOUT_S = 20.0
COUNT_KEYS = (
    "sent",
    "completed",
    "refused",
    "unknown",
    "broken",
    "unreachable",
)
VIOLATION_KEYS = ("wrong", "truncated", "effects_doubled", "refusals_untrue")
DEPLOYMENTS = ("daemons", "entry")
FLEET_TESTS = pathlib.Path(__file__).resolve().parent.parent / "tests" / "fleet"
TOPOLOGY = topology.Topology(
    gateways=("za", "zb", "zc", "za"),
    schedulers=("za", "zb", "zc", "za"),
    engines=("za", "za", "zb", "zb", "zc"),
    services=("za", "zb", "zc"),
    adapters=40,
    unfenced=(1, 3),
)

Json = deployment.Json


class Soak:
    """A soak run."""

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        cluster_topology: topology.Topology,
    ) -> None:
        """Writes settings and creates links without starting them."""
        self.seed = seed
        self.running = topology.build_deployment(cluster_topology, directory)
        self.zones = sorted(set(cluster_topology.gateways))
        tables = directory / "tables.json"
        tables.write_text(json.dumps(topology.make_tables(cluster_topology)))
        self.links_by_zones: dict[tuple[str, str], list[links.Link]] = {}
        self._insert_links()
        self.injector = faults.FaultInjector(self.running, self.links_by_zones)
        self.sums: collections.Counter[str] = collections.Counter()
        self.failures: list[str] = []

    def _insert_links(self) -> None:
        """Adds links to every instance, one set for each other zone."""
        path = self.running.directory / "platform.json"
        settings = json.loads(path.read_text())
        for name, entry in settings["instances"].items():
            node = self.running.nodes[name]
            entry["zone_addresses"] = {
                zone: self._add_links(zone, node)
                for zone in self.zones
                if zone != node.zone
            }
        path.write_text(json.dumps(settings, indent=2))

    def _add_links(self, zone: str, node: deployment.Node) -> Json:
        group = self.links_by_zones.setdefault((zone, node.zone), [])
        http_link = links.Link(node.address)
        group.append(http_link)
        if not node.inner_port:
            return {"address": http_link.address, "inner_address": ""}
        inner_link = links.Link(node.inner_address)
        group.append(inner_link)
        return {
            "address": http_link.address,
            "inner_address": inner_link.address,
        }

    async def run(self, rounds: Iterable[tuple[faults.Fault, ...]]) -> None:
        """Runs a round for each group of faults until the first failure."""
        async with anyio.create_task_group() as tasks:
            for group in self.links_by_zones.values():
                for link in group:
                    tasks.start_soon(link.run)
            try:
                await anyio.to_thread.run_sync(
                    quickstart.start_all, self.running
                )
                for number, round_faults in enumerate(rounds):
                    await self._run_round(number, round_faults)
                    if self.failures:
                        break
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.to_thread.run_sync(self.running.stop_all)
                tasks.cancel_scope.cancel()

    async def _run_round(
        self, number: int, round_faults: tuple[faults.Fault, ...]
    ) -> None:
        before = dict(self.sums)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_round_load, number)
            await anyio.sleep(1.0)
            for fault in round_faults:
                await self.injector.inject(fault)
                if isinstance(fault, faults.RaceEdits):
                    await self._run_concurrent_edits(number)
            await anyio.sleep(FAULT_S)
            for fault in reversed(round_faults):
                await self.injector.clear(fault)
        recovered_s = await self._wait_recovered()
        await self._check_service(number)
        increments = {
            key: self.sums[key] - before.get(key, 0) for key in self.sums
        }
        line = {
            "round": number,
            "faults": [repr(fault) for fault in round_faults],
            "recovered_s": round(recovered_s, 2),
            **increments,
        }
        print(json.dumps(line), flush=True)

    async def _run_round_load(self, number: int) -> None:
        output = await anyio.to_thread.run_sync(
            self._run_load, self.seed * 1000 + number
        )
        summary = json.loads(output.splitlines()[-1])
        for key in COUNT_KEYS + VIOLATION_KEYS:
            self.sums[key] += summary.get(key, 0)
        problems = {key: summary[key] for key in VIOLATION_KEYS if summary[key]}
        if problems:
            self.failures.append(f"round {number}: {problems}")

    def _run_load(self, seed: int, requests: int = ROUND_REQUESTS) -> str:
        return quickstart.run_load(
            self.running,
            requests,
            seed,
            f"--timeout-s={REQUEST_TIMEOUT_S}",
            "--concurrency=8",
            check=False,
        )

    async def _run_concurrent_edits(self, number: int) -> None:
        """Edits one row twice and another row once, all concurrently."""
        edits = [
            ("routes", "assistant-1", "--weight", str(1 + number % 5)),
            ("routes", "assistant-1", "--weight", str(2 + number % 5)),
            ("routes", "assistant-2", "--weight", str(1 + number % 7)),
        ]
        async with anyio.create_task_group() as tasks:
            for edit in edits:
                tasks.start_soon(self._edit, edit)

    async def _edit(self, edit: tuple[str, ...]) -> None:
        await anyio.to_thread.run_sync(
            lambda: quickstart.run_program(
                "tamaracktidectl",
                *quickstart.make_ctl_flags(self.running),
                "edit",
                *edit,
                check=False,
            )
        )

    async def _wait_recovered(self) -> float:
        """Waits until all daemons are ready and their tables agree.

        Returns:
            The time that this took, `RECOVERY_S` after a time-out.
        """
        started_at = time.monotonic()
        inconsistency = ""
        while time.monotonic() - started_at < RECOVERY_S:
            inconsistency = await anyio.to_thread.run_sync(
                self._find_inconsistency
            )
            if not inconsistency:
                return time.monotonic() - started_at
            await anyio.sleep(0.2)
        self.failures.append(
            f"not recovered within {RECOVERY_S} s: {inconsistency}"
        )
        return RECOVERY_S

    async def _check_service(self, number: int) -> None:
        """Checks that all requests complete after the faults are cleared.

        A key that is sent again while its first request is in progress may be
        refused; the first request must then complete.
        """
        started_at = time.monotonic()
        summary: Json = {}
        while time.monotonic() - started_at < RECOVERY_S:
            output = await anyio.to_thread.run_sync(
                self._run_load, self.seed * 1000 + 500 + number, CHECK_REQUESTS
            )
            summary = json.loads(output.splitlines()[-1])
            due_refusals = summary["refused_in_progress"]
            if summary["completed"] + due_refusals == summary["sent"]:
                return
        self.failures.append(
            f"round {number}: requests fail after recovery: {summary}"
        )

    def _find_inconsistency(self) -> str:
        """Describes a daemon that is not ready or has other tables.

        Returns:
            The description, empty if all daemons are ready and agree.
        """
        platform = self.running.nodes["platform"].address
        with contextlib.suppress(OSError):
            _, head = deployment.call_http(
                "GET", platform, "/objects/tables/head"
            )
            revision = json.loads(head)["revision"]
            for name, node in self.running.nodes.items():
                if not node.inner_port:
                    continue
                status, _ = deployment.call_http("GET", node.address, "/readyz")
                if status != 200:
                    return f"{name} is not ready: status {status}"
                _, body = deployment.call_http(
                    "GET", node.address, "/admin/status"
                )
                applied = json.loads(body)["revision"]
                if applied != revision:
                    return f"{name} has revision {applied}, expected {revision}"
            return ""
        return "the platform or a daemon does not respond"


def generate_rounds(
    soak: Soak, rounds: int, minutes: float
) -> Iterator[tuple[faults.Fault, ...]]:
    """Yields two faults per round up to a number of rounds or a time."""
    rng = random.Random(soak.seed)
    nodes = list(soak.running.nodes.values())
    ends_at = time.monotonic() + 60.0 * minutes
    for _ in range(rounds):
        if time.monotonic() >= ends_at:
            return
        yield faults.choose_faults(rng, nodes, soak.zones)


def _parse_flags() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--seed", type=int, default=1, help="default: 1")
    parser.add_argument(
        "--minutes",
        type=float,
        default=2.0,
        help="time over all deployments; default: 2",
    )
    parser.add_argument(
        "--rounds",
        type=int,
        default=1_000_000,
        help="maximum number of rounds of each deployment",
    )
    parser.add_argument(
        "--deployment",
        choices=("both", *DEPLOYMENTS),
        default="both",
        help="what is run; default: both",
    )
    parser.add_argument(
        "--instances",
        type=int,
        default=4,
        help="entry instances of the deployment `entry`; default: 4",
    )
    parser.add_argument(
        "--upgrade-from",
        default="",
        metavar="COMMIT",
        help="build that entry instances run until they are replaced",
    )
    parser.add_argument("--directory", type=pathlib.Path, default="run/soak")
    return parser.parse_args()


def _run_daemons(flags: argparse.Namespace, minutes: float) -> Json:
    directory = flags.directory.resolve() / "daemons"
    soak = Soak(directory, flags.seed, TOPOLOGY)
    anyio.run(soak.run, generate_rounds(soak, flags.rounds, minutes))
    return {**soak.sums, "failures": soak.failures}


def _run_entry(flags: argparse.Namespace, minutes: float) -> Json:
    # The stand-ins of the users' platform are part of the adapter's tests.
    sys.path.insert(0, str(FLEET_TESTS))
    import soak_rounds

    directory = flags.directory.resolve() / "entry"
    tree = builds.ROOT
    if flags.upgrade_from:
        folder = flags.directory.resolve() / "builds" / flags.upgrade_from
        tree = builds.extract(flags.upgrade_from, folder)
    settings = soak_rounds.Settings(instances=flags.instances, tree=tree)
    soak = soak_rounds.run(
        directory, flags.seed, minutes, flags.rounds, settings
    )
    return {**soak.sums, "failures": soak.failures}


def main() -> int:
    """Returns 0 if all guarantees held in all rounds."""
    flags = _parse_flags()
    runs = {"daemons": _run_daemons, "entry": _run_entry}
    is_single = flags.deployment != "both"
    chosen = (flags.deployment,) if is_single else DEPLOYMENTS
    sums = {n: runs[n](flags, flags.minutes / len(chosen)) for n in chosen}
    print(json.dumps({**sums, "seed": flags.seed}))
    return 1 if any(found["failures"] for found in sums.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
