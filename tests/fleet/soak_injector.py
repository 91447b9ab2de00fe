"""Plays the faults of a soak run on its processes and its store."""

import contextlib
import functools
import random
import signal
import time

import anyio
import anyio.abc
import soak_cluster
import soak_faults
import soak_http
import soak_jobs
import soak_manifest
import soak_store
import soak_upstream

import links

NAMED_DRAIN_S = 2.0
EXIT_S = 0.3
LATE_COPY_S = 0.02
"""Time after which a server at the address of another repeats a refusal."""
FIRST_VERSION = 3
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
MARGIN_S = 0.2
MISSING = 404
PLANNED = (
    soak_faults.Terminate,
    soak_faults.Reload,
    soak_faults.Release,
    soak_faults.ChangeManifest,
)


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
        self.unplanned: list[soak_cluster.Span] = []
        self.problems: list[str] = []
        self.log: list[tuple[float, str]] = []
        store.put("config", "main", soak_manifest.make_manifest(FIRST_VERSION))
        self._cluster = cluster
        self._store = store
        self._rng = rng
        self._software = 1
        self._version = FIRST_VERSION

    def _note(self, text: str) -> None:
        self.log.append((time.monotonic(), text))

    async def play(self, planned: tuple[soak_faults.Planned, ...]) -> None:
        """Plays faults; returns when all are over."""
        async with anyio.create_task_group() as tasks:
            for item in planned:
                tasks.start_soon(self._play, item)

    async def _play(self, planned: soak_faults.Planned) -> None:
        await anyio.sleep(planned.at_s)
        self._note(repr(planned.fault))
        span = soak_cluster.Span(time.monotonic(), soak_cluster.SPAN_END, "")
        if not isinstance(planned.fault, PLANNED):
            self.unplanned.append(span)
        await self._disturb(planned.fault)
        span.ends_at = time.monotonic()

    async def _disturb(self, fault: soak_faults.Fault) -> None:
        match fault:
            case (
                soak_faults.Kill()
                | soak_faults.Terminate()
                | soak_faults.Freeze()
                | soak_faults.Reload()
                | soak_faults.CutStore()
                | soak_faults.Partition()
                | soak_faults.DisturbLinks()
            ):
                await self._disturb_instances(fault)
            case (
                soak_faults.StoreDown()
                | soak_faults.StoreSlow()
                | soak_faults.DiscardHistory()
            ):
                await self._disturb_store(fault)
            case soak_faults.ChangeManifest():
                await self._change_manifest()
            case _:
                await self._disturb_servers(fault)

    # The manifest.

    async def _change_manifest(self) -> None:
        before = soak_manifest.make_added_kind(self._version)
        self._version += self._rng.choice((1, 2, 5))
        added = soak_manifest.make_added_kind(self._version)
        manifest = soak_manifest.make_manifest(self._version, added)
        self._store.put("config", "main", manifest)
        self._note(f"manifest {self._version}")
        acked_at = time.monotonic()
        await anyio.sleep(CONFIG_APPLY_S + MARGIN_S)
        for instance in self._cluster.instances.values():
            statuses = [
                await self._probe_route(instance, kind.name)
                for kind in (added, before)
            ]
            now = time.monotonic()
            spans = [*instance.spans, *self.core]
            from_s = acked_at - CONTACT_S
            if any(s.ends_at > from_s and s.starts_at < now for s in spans):
                continue
            if statuses[0] == MISSING or statuses[1] not in (0, MISSING):
                text = f"{instance.name}, {now - acked_at:.2f} s after version "
                text += f"{self._version}: {added.name} {statuses[0]}, "
                self.problems.append(text + f"{before.name} {statuses[1]}")

    async def _probe_route(
        self, instance: soak_cluster.Instance, name: str
    ) -> int:
        """Returns the status of a request on a route; 0 for no response."""
        number = len(self.log) + self._rng.randrange(1 << 30)
        headers = {
            "Host": soak_jobs.HOST,
            "X-Request-Id": f"probe-{name}-{number}",
            "X-Deadline-Ms": "1500",
        }
        path = f"/{name}/1"
        status, _ = await soak_http.call(
            instance.front, "POST", path, b"probe", headers=headers
        )
        return status

    # Entry instances.

    async def _disturb_instances(self, fault: soak_faults.Fault) -> None:
        instances = self._cluster.instances
        match fault:
            case soak_faults.Kill(names, down_s):
                await self._kill([instances[name] for name in names], down_s)
            case soak_faults.Terminate(names, gap_s, tree):
                for name in names:
                    instances[name].tree = tree or instances[name].tree
                    await self._terminate(instances[name])
                    await anyio.sleep(gap_s)
            case soak_faults.Freeze(name, for_s):
                await self._freeze(instances[name], for_s)
            case soak_faults.Partition():
                await self._partition(fault)
            case soak_faults.CutStore():
                await self._cut_store(fault)
            case soak_faults.DisturbLinks():
                await self._disturb_links(fault)
            case soak_faults.Reload(name):
                instance = instances[name]
                bounds = {**instance.settings["bounds"]}
                bounds["retry_extra"] = self._rng.choice((40, 54, 60))
                instance.settings["bounds"] = bounds
                self._cluster.write_settings(instance)
                self._cluster.send_signal(instance, signal.SIGHUP)

    async def _cut_store(self, fault: soak_faults.CutStore) -> None:
        link = self._cluster.store_links[fault.name]
        states = links.LinkState
        with self._cluster.instances[fault.name].disturb("cut"):
            state = states.SILENT if fault.is_silent else states.CUT
            await link.set_state(state)
            await anyio.sleep(fault.for_s)
            await link.set_state(states.OPEN)

    async def _disturb_links(self, fault: soak_faults.DisturbLinks) -> None:
        states = links.LinkState
        state = states.SLOW if fault.is_slow else states.ONE_WAY
        with contextlib.ExitStack() as stack:
            for name in fault.names:
                instance = self._cluster.instances[name]
                stack.enter_context(instance.disturb("links"))
            await self._set_links(fault.names, state)
            await anyio.sleep(fault.for_s)
            await self._set_links(fault.names, states.OPEN)

    async def _set_links(
        self, names: tuple[str, ...], state: links.LinkState
    ) -> None:
        for name in names:
            for link in self._cluster.peer_links[name]:
                await link.set_state(state)

    async def _partition(self, fault: soak_faults.Partition) -> None:
        instances = [self._cluster.instances[name] for name in fault.names]
        with contextlib.ExitStack() as stack:
            for instance in instances:
                stack.enter_context(instance.disturb("partitioned"))
            pids = [i.process.pid for i in instances if i.process is not None]
            await self._change_all(cut_pids=pids, cut_resets=fault.resets)
            await anyio.sleep(fault.for_s)
            await self._change_all(cut_pids=[], cut_resets=False)

    async def _change_all(self, **changes: object) -> None:
        async with anyio.create_task_group() as tasks:
            for server in self._cluster.servers.values():
                if server.process is not None:
                    tasks.start_soon(
                        functools.partial(server.change, **changes)
                    )

    async def _kill(
        self, instances: list[soak_cluster.Instance], down_s: float
    ) -> None:
        async with contextlib.AsyncExitStack() as stack:
            for instance in sorted(instances, key=lambda item: item.name):
                await stack.enter_async_context(instance.lock)
            for instance in instances:
                stack.enter_context(instance.disturb("killed"))
            self._cluster.kill(instances)
            await anyio.sleep(down_s)
            for instance in instances:
                self._cluster.start(instance)
            await self._wait_ready(instances)

    async def _freeze(
        self, instance: soak_cluster.Instance, for_s: float
    ) -> None:
        with instance.disturb("frozen"):
            self._cluster.send_signal(instance, signal.SIGSTOP)
            await anyio.sleep(for_s)
            self._cluster.send_signal(instance, signal.SIGCONT)

    async def _terminate(self, instance: soak_cluster.Instance) -> None:
        async with instance.lock:
            with instance.disturb("terminated"):
                await self._restart(instance)

    async def _restart(self, instance: soak_cluster.Instance) -> None:
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

    async def _disturb_servers(self, fault: soak_faults.Fault) -> None:
        match fault:
            case soak_faults.KillServers():
                await self._kill_servers(fault)
            case soak_faults.FreezeServer(service, for_s):
                for server in self._choose_servers(service, 1):
                    await self._freeze_server(server, for_s)
            case soak_faults.Misbehave(service, count, for_s, changes):
                servers = self._choose_servers(service, count)
                await self._misbehave(servers, for_s, dict(changes))
            case soak_faults.Release():
                await self._release(fault)

    async def _kill_servers(self, fault: soak_faults.KillServers) -> None:
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
                    server.config.address,
                    LATE_COPY_S,
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
        changes: dict[str, bool | float | str],
    ) -> None:
        if "refuses_until" in changes:
            changes["refuses_until"] = time.monotonic() + for_s
        default = soak_upstream.Config("", "", "", "", "", "", "")
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
        self,
        service: str,
        zone: str,
        software: str,
        address: str = "",
        late_copy_s: float = 0.0,
    ) -> soak_cluster.Server:
        """Starts a new server of a service, at a free address if none."""
        number = 1 + len(self._cluster.servers)
        name = f"{service}-{number}"
        is_engine = service == "llm"
        server = self._cluster.add_server(
            soak_upstream.Config(
                name=name,
                service=service,
                zone=zone,
                address=address or self._cluster.find_address(),
                store=self._store.address,
                software=software,
                record=str(self._cluster.folder / f"{name}.events"),
                adapter_slots=20 if is_engine else 0,
                slots=64 if is_engine else 6,
                late_copy_s=late_copy_s,
                seed=self._rng.randrange(1 << 30),
            )
        )
        self._note(f"{name} of {software} starts")
        return server

    async def _release(self, fault: soak_faults.Release) -> None:
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
                server.end()
                tasks.start_soon(self._leave, server, fault)
                await anyio.sleep(fault.gap_s)

    async def _leave(
        self, server: soak_cluster.Server, fault: soak_faults.Release
    ) -> None:
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

    async def _disturb_store(self, fault: soak_faults.Fault) -> None:
        span = soak_cluster.Span(time.monotonic(), soak_cluster.SPAN_END, "")
        self.core.append(span)
        match fault:
            case soak_faults.StoreDown(for_s, copy_age_s):
                await self._store.go_down()
                await anyio.sleep(for_s)
                if copy_age_s:
                    self._store.restore(copy_age_s)
                self._store.is_down = False
            case soak_faults.StoreSlow(for_s, slow_s, loses_replies):
                self._store.slow_s = slow_s
                self._store.loses_replies = loses_replies
                await anyio.sleep(for_s)
                self._store.slow_s = 0.0
                self._store.loses_replies = False
            case soak_faults.DiscardHistory():
                self._store.discard_history()
        span.ends_at = time.monotonic()
