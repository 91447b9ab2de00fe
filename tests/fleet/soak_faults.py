"""Faults of a soak run of entry instances, and how they are played."""

import contextlib
import dataclasses
import random
import signal
import time

import anyio
import anyio.abc
import soak_cluster
import soak_server
import soak_store

SHORT_FREEZE_S = 1.0
LONG_FREEZE_S = 6.0
NAMED_DRAIN_S = 2.0
EXIT_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Instances are killed at the same moment and started again."""

    names: tuple[str, ...]
    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """Instances get SIGTERM one after the other and are started again."""

    names: tuple[str, ...]
    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """An instance is suspended."""

    name: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """The settings of an instance change, with SIGHUP."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class KillServers:
    """Servers of a service are killed; they come back after a time."""

    service: str
    count: int
    down_s: float
    keeps_id: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FreezeServer:
    """A server is suspended."""

    service: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Servers of a new software version replace the others one by one.

    The entry of an old server is removed while it serves on for `stay_s`; with
    `is_announced`, it says before that it is draining.
    """

    service: str
    fraction: float
    gap_s: float
    stay_s: float
    is_announced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Misbehave:
    """Servers of a service change their behaviour for a time."""

    service: str
    count: int
    for_s: float
    changes: tuple[tuple[str, bool | float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDown:
    """The store gives no response; it may come back from an older copy."""

    for_s: float
    copy_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSlow:
    """The store is slow, or its responses to writes are lost."""

    for_s: float
    slow_s: float = 0.0
    loses_replies: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DiscardHistory:
    """The store forgets its history."""


Fault = (
    Kill
    | Terminate
    | Freeze
    | Reload
    | KillServers
    | FreezeServer
    | Release
    | Misbehave
    | StoreDown
    | StoreSlow
    | DiscardHistory
)


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A fault and the time at which it begins, seconds after the load."""

    at_s: float
    fault: Fault


class Injector:
    """Plays faults on a cluster."""

    def __init__(
        self,
        cluster: soak_cluster.Cluster,
        store: soak_store.Store,
        rng: random.Random,
    ) -> None:
        """Initializes the injector.

        Args:
            cluster: The processes.
            store: The store.
            rng: Chooses the servers that faults are played on.
        """
        self.core: list[soak_cluster.Span] = []
        self.log: list[tuple[float, str]] = []
        self._cluster = cluster
        self._store = store
        self._rng = rng
        self._software = 1

    def _note(self, text: str) -> None:
        self.log.append((time.monotonic(), text))

    async def play(self, planned: tuple[Planned, ...]) -> None:
        """Plays faults; returns when all are over."""
        async with anyio.create_task_group() as tasks:
            for item in planned:
                tasks.start_soon(self._play, item)

    async def _play(self, planned: Planned) -> None:
        await anyio.sleep(planned.at_s)
        self._note(repr(planned.fault))
        match planned.fault:
            case Kill() | Terminate() | Freeze() | Reload():
                await self._disturb_instances(planned.fault)
            case StoreDown() | StoreSlow() | DiscardHistory():
                await self._disturb_store(planned.fault)
            case _:
                await self._disturb_servers(planned.fault)

    # Entry instances.

    async def _disturb_instances(self, fault: Fault) -> None:
        instances = self._cluster.instances
        match fault:
            case Kill(names, down_s):
                await self._kill([instances[name] for name in names], down_s)
            case Terminate(names, gap_s):
                for name in names:
                    await self._terminate(instances[name])
                    await anyio.sleep(gap_s)
            case Freeze(name, for_s):
                instance = instances[name]
                with instance.disturb("frozen"):
                    self._cluster.send_signal(instance, signal.SIGSTOP)
                    await anyio.sleep(for_s)
                    self._cluster.send_signal(instance, signal.SIGCONT)
            case Reload(name):
                instance = instances[name]
                bounds = {**instance.settings["bounds"]}
                bounds["retry_extra"] = self._rng.choice((40, 54, 60))
                instance.settings["bounds"] = bounds
                self._cluster.write_settings(instance)
                self._cluster.send_signal(instance, signal.SIGHUP)

    async def _kill(
        self, instances: list[soak_cluster.Instance], down_s: float
    ) -> None:
        with contextlib.ExitStack() as stack:
            for instance in instances:
                stack.enter_context(instance.disturb("killed"))
            self._cluster.kill(instances)
            await anyio.sleep(down_s)
            for instance in instances:
                self._cluster.start(instance)
            await self._wait_ready(instances)

    async def _terminate(self, instance: soak_cluster.Instance) -> None:
        with instance.disturb("terminated"):
            await self._cluster.terminate(instance)
            await anyio.sleep(EXIT_S)
            self._cluster.start(instance)
            await self._wait_ready([instance])

    async def _wait_ready(self, instances: list[soak_cluster.Instance]) -> None:
        with anyio.move_on_after(5.0):
            for instance in instances:
                while not await self._cluster.probe(instance):
                    await anyio.sleep(0.1)

    # Servers.

    def _choose_servers(
        self, service: str, count: int
    ) -> list[soak_cluster.Server]:
        serving = self._cluster.list_serving(service)
        return self._rng.sample(serving, min(count, len(serving)))

    async def _disturb_servers(self, fault: Fault) -> None:
        match fault:
            case KillServers():
                await self._kill_servers(fault)
            case FreezeServer(service, for_s):
                for server in self._choose_servers(service, 1):
                    await self._freeze_server(server, for_s)
            case Misbehave(service, count, for_s, changes):
                servers = self._choose_servers(service, count)
                await self._misbehave(servers, for_s, dict(changes))
            case Release():
                await self._release(fault)

    async def _kill_servers(self, fault: KillServers) -> None:
        servers = self._choose_servers(fault.service, fault.count)
        for server in servers:
            self._note(f"{server.name} killed")
            self._cluster.kill_server(server)
        await anyio.sleep(fault.down_s)
        for server in servers:
            if fault.keeps_id:
                self._cluster.start_server(server)
            else:
                server.is_leaving = True
                self.add_server(
                    server.config.service,
                    server.config.zone,
                    server.config.software,
                )

    async def _freeze_server(
        self, server: soak_cluster.Server, for_s: float
    ) -> None:
        self._note(f"{server.name} frozen")
        span = soak_cluster.Span(time.monotonic(), soak_cluster.SPAN_END, "")
        server.frozen.append(span)
        self._cluster.signal_server(server, signal.SIGSTOP)
        await anyio.sleep(for_s)
        self._cluster.signal_server(server, signal.SIGCONT)
        span.ends_at = time.monotonic()

    async def _misbehave(
        self,
        servers: list[soak_cluster.Server],
        for_s: float,
        changes: dict[str, bool | float],
    ) -> None:
        if "refuses_until" in changes:
            changes["refuses_until"] = time.monotonic() + for_s
        default = soak_server.Config("", "", "", "", "", "", "")
        for server in servers:
            self._note(f"{server.name} changes {changes}")
            await server.change(**changes)
        await anyio.sleep(for_s)
        normal = {
            name: getattr(default, name)
            for name in changes
            if hasattr(default, name)
        }
        for server in servers:
            await server.change(**normal)

    def add_server(
        self, service: str, zone: str, software: str
    ) -> soak_cluster.Server:
        """Starts a new server of a service."""
        number = 1 + len(self._cluster.servers)
        name = f"{service}-{number}"
        is_engine = service == "llm"
        server = self._cluster.add_server(
            soak_server.Config(
                name=name,
                service=service,
                zone=zone,
                address=self._cluster.find_address(),
                store=self._store.address,
                software=software,
                record=str(self._cluster.folder / f"{name}.events"),
                adapter_slots=20 if is_engine else 0,
                slots=64 if is_engine else 6,
                seed=self._rng.randrange(1 << 30),
            )
        )
        self._note(f"{name} of {software} starts")
        return server

    async def _release(self, fault: Release) -> None:
        self._software += 1
        old = self._cluster.list_serving(fault.service)
        count = max(1, round(fault.fraction * len(old)))
        async with anyio.create_task_group() as tasks:
            for server in old[:count]:
                new = self.add_server(
                    fault.service, server.config.zone, f"v{self._software}"
                )
                with anyio.move_on_after(3.0):
                    while self._store.get_entry(new.name) is None:
                        await anyio.sleep(0.05)
                server.is_leaving = True
                tasks.start_soon(self._leave, server, fault)
                await anyio.sleep(fault.gap_s)

    async def _leave(self, server: soak_cluster.Server, fault: Release) -> None:
        if fault.is_announced:
            await server.change(state="draining", names_leaving=True)
            self._note(f"{server.name} drains")
            await anyio.sleep(NAMED_DRAIN_S)
        await server.change(is_beating=False, names_leaving=True)
        self._store.retire(server.name)
        self._note(f"entry of {server.name} removed")
        await anyio.sleep(NAMED_DRAIN_S + fault.stay_s)
        self._cluster.kill_server(server)
        self._note(f"{server.name} ended")

    # The store.

    async def _disturb_store(self, fault: Fault) -> None:
        span = soak_cluster.Span(time.monotonic(), soak_cluster.SPAN_END, "")
        self.core.append(span)
        match fault:
            case StoreDown(for_s, copy_age_s):
                await self._store.go_down()
                await anyio.sleep(for_s)
                if copy_age_s:
                    self._store.restore(copy_age_s)
                self._store.is_down = False
            case StoreSlow(for_s, slow_s, loses_replies):
                self._store.slow_s = slow_s
                self._store.loses_replies = loses_replies
                await anyio.sleep(for_s)
                self._store.slow_s = 0.0
                self._store.loses_replies = False
            case DiscardHistory():
                self._store.discard_history()
        span.ends_at = time.monotonic()


def choose_faults(
    rng: random.Random, instances: list[str]
) -> tuple[Planned, ...]:
    """Returns the faults of a round: some at their own times."""
    count = rng.choice((1, 2, 2, 3))
    planned = [
        Planned(round(rng.uniform(2.0, 7.0), 2), _choose(rng, instances))
        for _ in range(count)
    ]
    return tuple(sorted(planned, key=lambda item: item.at_s))


def _choose(rng: random.Random, instances: list[str]) -> Fault:
    groups = (_choose_instance_fault, _choose_server_fault, _choose_store_fault)
    return rng.choices(groups, weights=(5, 6, 2))[0](rng, instances)


def _choose_instance_fault(rng: random.Random, instances: list[str]) -> Fault:
    one = rng.choice(instances)
    every = tuple(instances)
    return rng.choice(
        (
            Kill((one,), rng.uniform(0.1, 2.0)),
            Kill(every, rng.uniform(0.1, 2.0)),
            Terminate((one,), 0.0),
            Terminate(every, 0.5),
            Freeze(one, SHORT_FREEZE_S),
            Freeze(one, LONG_FREEZE_S),
            Reload(one),
        )
    )


def _choose_server_fault(rng: random.Random, instances: list[str]) -> Fault:
    del instances
    service = rng.choice(("llm", "llm", "ledger"))
    count = rng.choice((1, 2))
    for_s = rng.uniform(2.0, 5.0)
    changes: tuple[tuple[str, bool | float], ...] = rng.choice(
        (
            (("refuses_until", True), ("names_retry", True)),
            (("refuses_until", True), ("late_copy_s", 0.05)),
            (
                ("refuses_until", True),
                ("refuse_fraction", 0.5),
                ("late_copy_s", 0.005),
            ),
            (("cut_fraction", 0.5), ("cuts_inside", True)),
            (("cut_fraction", 0.5), ("resets", True)),
            (("cut_fraction", 0.3), ("ends_unframed", True)),
            (("reset_all", True),),
            (("idle_close_fraction", 0.5),),
            (("pause_s", 1.2),),
        )
    )
    return rng.choice(
        (
            KillServers(service, count, rng.uniform(0.3, 3.0), True),
            KillServers(service, count, rng.uniform(0.3, 3.0), False),
            FreezeServer(service, rng.choice((1.0, 4.0))),
            Release("llm", rng.choice((0.5, 1.0)), 0.4, 4.0, True),
            Release("llm", rng.choice((0.5, 1.0)), 0.4, 4.0, False),
            Misbehave(service, count, for_s, changes),
            Misbehave(service, 9, for_s, changes),
        )
    )


def _choose_store_fault(rng: random.Random, instances: list[str]) -> Fault:
    del instances
    return rng.choice(
        (
            StoreDown(rng.uniform(1.0, 5.0)),
            StoreDown(rng.uniform(0.5, 2.0), rng.uniform(1.0, 4.0)),
            StoreSlow(rng.uniform(2.0, 5.0), slow_s=0.4),
            StoreSlow(rng.uniform(2.0, 4.0), loses_replies=True),
            DiscardHistory(),
        )
    )
