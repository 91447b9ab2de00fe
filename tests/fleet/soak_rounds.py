"""Soak runs of entry instances: real processes, clients, faults and checks."""

from collections.abc import Callable
import json
import pathlib
import random
import shutil
import time

import anyio
import soak_checks
import soak_clients
import soak_cluster
import soak_faults
import soak_store

ZONES = ("za", "zb", "zc", "za")
ENGINE_ZONES = ("za", "za", "zb", "zb", "zc", "zc")
LEDGER_ZONES = ("za", "zb", "zc")
LOAD_S = 14.0
RATE = 14.0
START_TIMEOUT_S = 30.0
WARM_UP_S = 5.0
PROBE_PERIOD_S = 1.0
MAX_MISSES = 2

Report = dict[str, object]


class NotReadyError(RuntimeError):
    """The deployment did not become ready."""


class EntrySoak:
    """A soak run of entry instances.

    Attributes:
        failures: Violations of all rounds.
        sums: Counts of all rounds.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        show: Callable[[Report], None],
        rate: float = RATE,
    ) -> None:
        """Empties the folder; starts no process.

        Args:
            folder: Folder of settings, logs and records.
            seed: Seed of all choices.
            show: Prints the report of a round.
            rate: Jobs of the clients per second.
        """
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.failures: list[str] = []
        self.sums: dict[str, int] = {}
        self._folder = folder
        self._seed = seed
        self._show = show
        self._rate = rate
        self._rng = random.Random(seed)
        self._cluster = soak_cluster.Cluster(folder, ZONES)
        self._store = soak_store.Store(self._cluster.store_address)
        self._injector = soak_faults.Injector(
            self._cluster, self._store, self._rng
        )

    def choose_faults(self) -> tuple[soak_faults.Planned, ...]:
        """Returns the faults of the next round."""
        return soak_faults.choose_faults(
            self._rng, sorted(self._cluster.instances)
        )

    async def run(
        self,
        choose: Callable[[], tuple[soak_faults.Planned, ...]],
        rounds: int,
        ends_at: float,
    ) -> None:
        """Runs rounds up to a number or a time.

        Args:
            choose: Returns the faults of the next round.
            rounds: Maximum number of rounds.
            ends_at: Time after which no round begins.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._store.run)
            try:
                await self._start(tasks)
                for number in range(rounds):
                    if time.monotonic() > ends_at:
                        break
                    await self._run_round(number, choose())
            finally:
                self._cluster.stop_all()
                tasks.cancel_scope.cancel()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        self._store.put("config", "main", make_manifest(3))
        for zone in ENGINE_ZONES:
            self._injector.add_server("llm", zone, "v1")
        for zone in LEDGER_ZONES:
            self._injector.add_server("ledger", zone, "v1")
        for instance in self._cluster.instances.values():
            with instance.disturb("started"):
                self._cluster.start(instance)
        tasks.start_soon(self._balance)
        with anyio.move_on_after(START_TIMEOUT_S):
            while not all(
                instance.is_in_rotation
                for instance in self._cluster.instances.values()
            ):
                await anyio.sleep(0.1)
            await anyio.sleep(WARM_UP_S)
            tasks.start_soon(self._cluster.watch_ends)
            return
        raise NotReadyError(f"not ready; logs in {self._folder}")

    async def _balance(self) -> None:
        """Takes instances into rotation and out of it."""
        misses = dict.fromkeys(self._cluster.instances, 0)

        async def probe(instance: soak_cluster.Instance) -> None:
            if await self._cluster.probe(instance):
                misses[instance.name] = 0
                instance.is_in_rotation = True
                return
            misses[instance.name] += 1
            if misses[instance.name] >= MAX_MISSES:
                instance.is_in_rotation = False

        while True:
            async with anyio.create_task_group() as tasks:
                for instance in self._cluster.instances.values():
                    tasks.start_soon(probe, instance)
            await anyio.sleep(PROBE_PERIOD_S)

    async def _run_round(
        self, number: int, planned: tuple[soak_faults.Planned, ...]
    ) -> None:
        started_at = time.monotonic()
        clients = soak_clients.Clients(
            self._cluster,
            self._seed * 1000 + number,
            f"r{number}j",
            self._folder / "attempts.jsonl",
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(clients.run, self._rate, LOAD_S)
            tasks.start_soon(self._injector.play, planned)
        seen = soak_checks.read_servers(self._cluster)
        found = soak_checks.check(self._cluster, clients, seen)
        found += soak_checks.check_logs(self._cluster, started_at)
        self._report(number, started_at, clients, found)

    def _report(
        self,
        number: int,
        started_at: float,
        clients: soak_clients.Clients,
        found: list[soak_checks.Violation],
    ) -> None:
        counts = count_jobs(clients.jobs)
        for name, count in counts.items():
            self.sums[name] = self.sums.get(name, 0) + count
        texts = [f"{item.rule}: {item.detail}" for item in found]
        self.failures += [f"round {number}: {text}" for text in texts]
        faults = [
            f"{at - started_at:.2f} (t={at:.3f}) {text}"
            for at, text in self._injector.log
            if at >= started_at
        ]
        report: Report = {
            "round": number,
            "seed": self._seed,
            "faults": faults,
            **counts,
            "violations": texts,
        }
        if texts:
            report["folder"] = str(self._folder)
        self._show(report)


def count_jobs(jobs: list[soak_clients.Job]) -> dict[str, int]:
    """Returns how many jobs were sent and served, and how many resumed."""
    resumed = [job for job in jobs if any(a.after for a in job.attempts)]
    going_on = [
        job
        for job in resumed
        if any(a.after and a.events for a in job.attempts)
    ]
    mixed = [job for job in jobs if len(soak_checks.list_software(job)) > 1]
    return {
        "sent": len(jobs),
        "served": sum(job.is_served for job in jobs),
        "attempts": sum(len(job.attempts) for job in jobs),
        "resumed": len(resumed),
        "went_on": len(going_on),
        "two_versions": len(mixed),
    }


def make_manifest(version: int) -> dict[str, object]:
    """Returns a manifest with the routes of all kinds of requests."""
    return {
        "Version": version,
        "Routes": [_make_route(kind) for kind in soak_clients.KINDS],
        "Services": [
            {"Name": "ledger", "MaxConnections": 100, "HealthPath": "/health"},
            {
                "Name": "llm",
                "MaxConnections": 360,
                "HealthPath": "/health",
                "Engine": {
                    "Slots": 64,
                    "KvCapacity": 130000,
                    "AdapterSlots": 20,
                    "WeightsMb": 68000.0,
                    "LoadsPerS": 4.5,
                    "Stride": 3,
                    "Models": [
                        {
                            "Name": "m0",
                            "WeightsMb": 65500.0,
                            "LoadS": 2.9,
                            "Adapters": 3000,
                            "AdapterMb": 40.0,
                        }
                    ],
                },
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def _make_route(kind: soak_clients.Kind) -> dict[str, object]:
    name = "streaming" if kind.is_stream else "non_idempotent"
    route: dict[str, object] = {
        "Name": kind.name,
        "Host": soak_clients.HOST,
        "PathPrefix": f"/{kind.name}/",
        "Service": kind.service,
        "Kind": "idempotent" if kind.is_idempotent else name,
        "TimeoutMs": int(1000 * kind.budget_s),
        "TargetLatencyMs": 800 if kind.is_stream else 300,
        "Priority": 2,
        "MaxAttempts": 2 if kind.may_repeat else 1,
    }
    if kind.resumes:
        route["Resumable"] = True
    if kind.is_stream:
        route["GapAimMs"] = 250
    return route


def run(
    folder: pathlib.Path, seed: int, minutes: float, rounds: int
) -> EntrySoak:
    """Runs a soak run and prints a line for each round."""
    soak = EntrySoak(folder, seed, lambda r: print(json.dumps(r), flush=True))
    ends_at = time.monotonic() + 60.0 * minutes
    anyio.run(soak.run, soak.choose_faults, rounds, ends_at)
    return soak
