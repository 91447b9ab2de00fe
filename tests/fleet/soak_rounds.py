"""Soak runs of entry instances: real processes, clients, faults and checks."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import json
import pathlib
import random
import shutil
import time

import anyio
import soak_checks
import soak_clients
import soak_cluster
import soak_control_checks
import soak_faults
import soak_injector
import soak_jobs
import soak_store

import builds

ZONES = ("za", "zb", "zc")
ENGINE_ZONES = ("za", "za", "zb", "zb", "zc", "zc")
LEDGER_ZONES = ("za", "zb", "zc")
START_TIMEOUT_S = 30.0
WARM_UP_S = 5.0
PROBE_PERIOD_S = 1.0
MAX_MISSES = 2
MAX_SHOWN = 4
"""Violations of a rule that a round prints; all are in the folder."""

Report = dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Size and load of a soak run.

    Attributes:
        instances: Number of entry instances.
        rate: Jobs of the clients per second.
        load_s: Time in a round in which clients begin jobs.
        tree: Sources of the build that the instances start with.
    """

    instances: int = 4
    rate: float = 30.0
    load_s: float = 14.0
    tree: pathlib.Path = builds.ROOT


DEFAULTS = Settings()
INSTANCES = tuple(
    f"front-{number}" for number in range(1, DEFAULTS.instances + 1)
)
"""Names of the instances of a run with default settings."""


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
        settings: Settings = DEFAULTS,
    ) -> None:
        """Empties the folder; starts no process.

        Args:
            folder: Folder of settings, logs and records.
            seed: Seed of all choices.
            show: Prints the report of a round.
            settings: Its size and load.
        """
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.failures: list[str] = []
        self.sums: dict[str, int] = {}
        self._jobs: list[soak_jobs.Job] = []
        self._folder = folder
        self._seed = seed
        self._show = show
        self._settings = settings
        self._rng = random.Random(seed)
        zones = itertools.islice(itertools.cycle(ZONES), settings.instances)
        self._cluster = soak_cluster.Cluster(
            folder, tuple(zones), settings.tree
        )
        self._store = soak_store.Store(
            self._cluster.store_address, self._cluster.shown_hosts
        )
        self._injector = soak_injector.Injector(
            self._cluster, self._store, self._rng
        )

    def choose_faults(self) -> tuple[soak_faults.Planned, ...]:
        """Returns the faults of the next round.

        If the instances started as another build, they are replaced by this one
        in a round, and by that one in the next.
        """
        names = sorted(self._cluster.instances)
        planned = soak_faults.choose_faults(self._rng, names)
        if self._settings.tree == builds.ROOT:
            return planned
        first = self._cluster.instances[names[0]]
        is_upgrade = first.tree != builds.ROOT
        tree = builds.ROOT if is_upgrade else self._settings.tree
        replace = soak_faults.Terminate(tuple(names), 0.5, tree)
        return (*planned, soak_faults.Planned(0.5, replace))

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
            for link in self._cluster.list_links():
                tasks.start_soon(link.run)
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
            tasks.start_soon(self._cluster.watch_starvation)
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
            tasks.start_soon(
                clients.run, self._settings.rate, self._settings.load_s
            )
            tasks.start_soon(self._injector.play, planned)
        seen = soak_checks.read_servers(self._cluster)
        found = self._judge(started_at, clients, seen)
        self._jobs += clients.jobs
        self._report(number, started_at, clients, seen, found)

    def _judge(
        self,
        started_at: float,
        clients: soak_clients.Clients,
        seen: soak_checks.Seen,
    ) -> list[soak_checks.Violation]:
        found = soak_checks.check(self._cluster, clients, seen)
        found += soak_checks.check_late(self._jobs, seen, started_at)
        found += soak_control_checks.check(
            self._cluster,
            clients.jobs,
            seen,
            self._store.acks,
            self._injector.core,
            self._injector.unplanned,
            started_at,
        )
        found += [
            soak_checks.Violation("CONFIG", problem)
            for problem in self._injector.problems
        ]
        self._injector.problems.clear()
        found += soak_checks.check_logs(self._cluster, started_at)
        return found

    def _sum_starved(self, since: float) -> float:
        """Returns for how long instances were slowed down, over all."""
        return sum(
            span.ends_at - span.starts_at
            for instance in self._cluster.instances.values()
            for span in instance.spans
            if span.cause == "starved" and span.starts_at >= since
        )

    def _report(
        self,
        number: int,
        started_at: float,
        clients: soak_clients.Clients,
        seen: soak_checks.Seen,
        found: list[soak_checks.Violation],
    ) -> None:
        counts = count_jobs(clients.jobs)
        for name, count in counts.items():
            self.sums[name] = self.sums.get(name, 0) + count
        texts = [f"{item.rule}: {item.detail}" for item in found]
        with (self._folder / "violations.txt").open("a") as record:
            record.writelines(f"round {number}: {text}\n" for text in texts)
        shown = _choose_shown(texts)
        self.failures += [f"round {number}: {text}" for text in shown]
        self._show(
            {
                "round": number,
                "seed": self._seed,
                "folder": str(self._folder),
                "faults": self._list_faults(started_at),
                **counts,
                "orders": _count_orders(seen, started_at),
                "starved_s": round(self._sum_starved(started_at), 2),
                "violations": dict(collections.Counter(v.rule for v in found)),
                "shown": shown,
            }
        )

    def _list_faults(self, since: float) -> list[str]:
        return [
            f"{at - since:.2f} (t={at:.3f}) {text}"
            for at, text in self._injector.log
            if at >= since
        ]


def _count_orders(seen: soak_checks.Seen, since: float) -> int:
    return sum(
        order["t"] >= since
        for orders in seen.orders.values()
        for order in orders
    )


def _choose_shown(texts: list[str]) -> list[str]:
    """Returns the first violations of each rule."""
    counts: collections.Counter[str] = collections.Counter()
    shown = []
    for text in texts:
        rule = text.partition(":")[0]
        counts[rule] += 1
        if counts[rule] <= MAX_SHOWN:
            shown.append(text)
    return shown


def count_jobs(jobs: list[soak_jobs.Job]) -> dict[str, int]:
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


def run(
    folder: pathlib.Path,
    seed: int,
    minutes: float,
    rounds: int,
    settings: Settings = DEFAULTS,
) -> EntrySoak:
    """Runs a soak run and prints a line for each round."""
    soak = EntrySoak(
        folder, seed, lambda r: print(json.dumps(r), flush=True), settings
    )
    ends_at = time.monotonic() + 60.0 * minutes
    anyio.run(soak.run, soak.choose_faults, rounds, ends_at)
    return soak
