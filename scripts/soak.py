"""Runs a deployment of today's size under load and two faults at a time.

After each round the answers are checked, every daemon must have the last
accepted tables in force, and a small customer must be served. The last line
is one JSON object with the sums of all rounds.
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
SUMS = ("sent", "completed", "refused", "unknown", "broken", "unreachable")
PROBLEMS = ("wrong", "truncated", "effects_doubled", "refusals_untrue")
SHAPE = topology.Topology(
    gateways=("za", "zb", "zc", "za"),
    schedulers=("za", "zb", "zc", "za"),
    engines=("za", "za", "zb", "zb", "zc"),
    services=("za", "zb", "zc"),
    adapters=40,
    unfenced=(1, 3),
)

Json = deployment.Json


class Soak:
    """One soak run."""

    def __init__(
        self, directory: pathlib.Path, seed: int, shape: topology.Topology
    ) -> None:
        """Prepares settings and links; starts nothing."""
        self.seed = seed
        self.running = topology.build_deployment(shape, directory)
        self.zones = sorted(set(shape.gateways))
        tables = directory / "tables.json"
        tables.write_text(json.dumps(topology.make_tables(shape)))
        self.by_zones: dict[tuple[str, str], list[links.Link]] = {}
        self._insert_links()
        self.injector = faults.Injector(self.running, self.by_zones)
        self.sums: collections.Counter[str] = collections.Counter()
        self.failures: list[str] = []

    def _insert_links(self) -> None:
        """Puts a link before every instance for each other zone."""
        path = self.running.directory / "platform.json"
        settings = json.loads(path.read_text())
        for name, entry in settings["instances"].items():
            node = self.running.nodes[name]
            entry["zone_addresses"] = {
                zone: self._link(zone, node)
                for zone in self.zones
                if zone != node.zone
            }
        path.write_text(json.dumps(settings, indent=2))

    def _link(self, zone: str, node: deployment.Node) -> Json:
        group = self.by_zones.setdefault((zone, node.zone), [])
        outer = links.Link(node.address)
        group.append(outer)
        if not node.inner_port:
            return {"address": outer.address, "inner_address": ""}
        inner = links.Link(node.inner_address)
        group.append(inner)
        return {"address": outer.address, "inner_address": inner.address}

    async def run(self, rounds: Iterable[tuple[faults.Fault, ...]]) -> None:
        """Runs a round for each group of faults, up to the first failure."""
        async with anyio.create_task_group() as tasks:
            for group in self.by_zones.values():
                for link in group:
                    tasks.start_soon(link.run)
            try:
                await anyio.to_thread.run_sync(
                    quickstart.start_all, self.running
                )
                for number, chosen in enumerate(rounds):
                    await self._run_round(number, chosen)
                    if self.failures:
                        break
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.to_thread.run_sync(self.running.stop_all)
                tasks.cancel_scope.cancel()

    async def _run_round(
        self, number: int, chosen: tuple[faults.Fault, ...]
    ) -> None:
        before = dict(self.sums)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_load, number)
            await anyio.sleep(1.0)
            for fault in chosen:
                await self.injector.cause(fault)
                if isinstance(fault, faults.RaceEdits):
                    await self._race_edits(number)
            await anyio.sleep(FAULT_S)
            for fault in reversed(chosen):
                await self.injector.heal(fault)
        recovered_s = await self._wait_recovered()
        await self._check_service(number)
        changed = {
            key: self.sums[key] - before.get(key, 0) for key in self.sums
        }
        line = {
            "round": number,
            "faults": [repr(fault) for fault in chosen],
            "recovered_s": round(recovered_s, 2),
            **changed,
        }
        print(json.dumps(line), flush=True)

    async def _send_load(self, number: int) -> None:
        output = await anyio.to_thread.run_sync(
            self._run_load, self.seed * 1000 + number
        )
        summary = json.loads(output.splitlines()[-1])
        for key in SUMS + PROBLEMS:
            self.sums[key] += summary.get(key, 0)
        problems = {key: summary[key] for key in PROBLEMS if summary[key]}
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

    async def _race_edits(self, number: int) -> None:
        """Has two operators edit the same row and different rows at once."""
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
        """Returns the time until tables agree and all daemons are ready."""
        began = time.monotonic()
        detail = ""
        while time.monotonic() - began < RECOVERY_S:
            detail = await anyio.to_thread.run_sync(self._find_difference)
            if not detail:
                return time.monotonic() - began
            await anyio.sleep(0.2)
        self.failures.append(f"not recovered in {RECOVERY_S} s: {detail}")
        return RECOVERY_S

    async def _check_service(self, number: int) -> None:
        """Checks that every request is served again after the faults."""
        began = time.monotonic()
        summary: Json = {}
        while time.monotonic() - began < RECOVERY_S:
            output = await anyio.to_thread.run_sync(
                self._run_load, self.seed * 1000 + 500 + number, CHECK_REQUESTS
            )
            summary = json.loads(output.splitlines()[-1])
            if summary["completed"] == summary["sent"]:
                return
        self.failures.append(f"round {number}: not served again: {summary}")

    def _find_difference(self) -> str:
        """Returns what is not as it should be, empty if all is well."""
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
                    return f"{name} is not ready: {status}"
                _, body = deployment.call_http(
                    "GET", node.address, "/admin/status"
                )
                seen = json.loads(body)["revision"]
                if seen != revision:
                    return f"{name} has revision {seen}, not {revision}"
            return ""
        return "a daemon does not answer"


def choose_rounds(
    soak: Soak, rounds: int, minutes: float
) -> Iterator[tuple[faults.Fault, ...]]:
    """Yields two faults a round until the number or the time is reached."""
    rng = random.Random(soak.seed)
    nodes = list(soak.running.nodes.values())
    ends_at = time.monotonic() + 60.0 * minutes
    for _ in range(rounds):
        if time.monotonic() >= ends_at:
            return
        yield faults.choose_faults(rng, nodes, soak.zones)


def main() -> int:
    """Returns 0 if every promise held in every round."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=1_000_000)
    parser.add_argument("--directory", type=pathlib.Path, default="run/soak")
    flags = parser.parse_args()
    soak = Soak(flags.directory.resolve(), flags.seed, SHAPE)
    anyio.run(soak.run, choose_rounds(soak, flags.rounds, flags.minutes))
    print(
        json.dumps({**soak.sums, "seed": soak.seed, "failures": soak.failures})
    )
    return 1 if soak.failures else 0


if __name__ == "__main__":
    sys.exit(main())
