"""Processes of a soak run: entry instances and the stand-ins of servers."""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import anyio
import anyio.to_thread
import soak_http
import soak_server
import soak_upstream

import builds
import deployment
import links

FIRST_HOST = 11
INSTANCE_PORTS = 6
PEER_PORT = 2
FORWARD_PORT = 3
STOP_LIMIT_S = 9.0
MAX_MEMORY_MB = 430
"""Memory of the smallest machines of the users' deployments."""
"""Time after SIGTERM at which an instance is killed: its grace period and a
second."""

KEPT_VARIABLES = ("PATH", "HOME", "LANG")
SPAN_END = float("inf")
SAMPLE_PERIOD_S = 0.1
MAX_WAIT_S = 0.1
"""Time for which an instance may be ready to run without a processor, in a
sample period, until it counts as slowed down."""

BOUNDS = {
    "lease_ms": 3000,
    "grace_s": 8,
    "retry_fraction": 0.2,
    "retry_window_s": 10,
    "retry_extra": 54,
}


@dataclasses.dataclass(slots=True)
class Span:
    """A time in which a machine was disturbed; seconds of the steady clock."""

    starts_at: float
    ends_at: float
    cause: str


@dataclasses.dataclass(slots=True)
class Instance:
    """An entry instance.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        settings: Its settings.
        tree: Sources of the build that it runs from its next start on.
        process: Its process, None while it is down.
        spans: Times in which the soak run disturbed it.
        ends: Times at which it ended by itself, with the status.
        is_in_rotation: Whether the load balancer gives it connections.
        lock: Held by the fault that may end and start its process.
        log_read: Bytes of its log that were read.
    """

    name: str
    zone: str
    settings: dict[str, Any]
    tree: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    spans: list[Span] = dataclasses.field(default_factory=list)
    ends: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    is_in_rotation: bool = False
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    log_read: int = 0

    @property
    def front(self) -> str:
        """Address for clients."""
        return str(self.settings["caller_address"])

    @contextlib.contextmanager
    def disturb(self, cause: str) -> Iterator[None]:
        """Marks a span in which the instance is disturbed."""
        span = Span(time.monotonic(), SPAN_END, cause)
        self.spans.append(span)
        try:
            yield
        finally:
            span.ends_at = time.monotonic()

    def is_calm(self, starts_at: float, ends_at: float) -> bool:
        """Whether nothing disturbed it during a time."""
        return all(
            span.ends_at < starts_at or span.starts_at > ends_at
            for span in self.spans
        )


@dataclasses.dataclass(slots=True)
class Server:
    """A stand-in of a server and its process.

    Attributes:
        config: Its settings.
        process: Its process, None while it is down.
        is_leaving: Whether it leaves for good.
        serving: Times in which it served and did not leave.
        frozen: Times in which it was suspended.
    """

    config: soak_upstream.Config
    process: subprocess.Popen[bytes] | None = None
    is_leaving: bool = False
    serving: list[Span] = dataclasses.field(default_factory=list)
    frozen: list[Span] = dataclasses.field(default_factory=list)

    @property
    def name(self) -> str:
        """Its instance id."""
        return self.config.name

    def begin(self) -> None:
        """Records that it serves from now on."""
        self.serving.append(Span(time.monotonic(), SPAN_END, "serving"))

    def end(self) -> None:
        """Records that it serves no longer, or leaves."""
        if self.serving and self.serving[-1].ends_at == SPAN_END:
            self.serving[-1].ends_at = time.monotonic()

    async def change(self, **changes: object) -> None:
        """Changes its behaviour, if it responds."""
        body = json.dumps(changes).encode()
        await soak_http.call(self.config.address, "POST", "/soak", body, 1.0)


class Cluster:
    """All processes of a soak run.

    Attributes:
        folder: Folder of settings, logs and records.
        instances: Entry instances by name.
        servers: Servers that were ever started, by name.
        store_address: Address of the store.
        store_links: The way of each instance to the store, by its name.
        peer_links: The ways of the other instances to an instance, by its name.
        shown_hosts: Hosts that the other instances know, by host.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        zones: tuple[str, ...],
        tree: pathlib.Path = builds.ROOT,
    ) -> None:
        """Writes no file and starts no process.

        Args:
            folder: Folder of settings, logs and records.
            zones: Availability zone of each instance.
            tree: Sources of the build that the instances start with.
        """
        self.folder = folder
        self.store_address = f"{deployment.HOST}:{deployment.find_port()}"
        self.store_links: dict[str, links.Link] = {}
        hosts = [f"127.0.0.{FIRST_HOST + n}" for n in range(len(zones))]
        shown = [f"127.0.1.{FIRST_HOST + n}" for n in range(len(zones))]
        ports = _find_ports([*hosts, *shown], INSTANCE_PORTS)
        self.shown_hosts = dict(zip(hosts, shown, strict=True))
        self.peer_links: dict[str, list[links.Link]] = {}
        self.instances: dict[str, Instance] = {}
        for number, zone in enumerate(zones):
            name = f"front-{number + 1}"
            link = self.store_links[name] = links.Link(self.store_address)
            self.instances[name] = _make_instance(
                name, zone, hosts[number], ports, link.address, tree
            )
            self.peer_links[name] = [
                links.Link(f"{hosts[number]}:{port}", f"{shown[number]}:{port}")
                for port in ports[PEER_PORT : FORWARD_PORT + 1]
            ]
        self.servers: dict[str, Server] = {}
        self._processes: list[subprocess.Popen[bytes]] = []

    def list_links(self) -> list[links.Link]:
        """Returns all links."""
        between = itertools.chain.from_iterable(self.peer_links.values())
        return [*self.store_links.values(), *between]

    # Entry instances.

    def start(self, instance: Instance) -> None:
        """Starts an instance with its settings."""
        self.write_settings(instance)
        path = self.folder / f"{instance.name}.json"
        instance.process = self._start(
            [str(instance.tree / builds.PROGRAM)],
            instance.name,
            TAMARACKTIDE_SETTINGS=str(path),
        )

    def write_settings(self, instance: Instance) -> None:
        """Writes the settings file of an instance."""
        path = self.folder / f"{instance.name}.json"
        path.write_text(json.dumps(instance.settings))

    def _start(
        self, arguments: list[str], name: str, **variables: str
    ) -> subprocess.Popen[bytes]:
        kept = {n: os.environ[n] for n in KEPT_VARIABLES if n in os.environ}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=builds.ROOT,
                env={**kept, "PYTHONDONTWRITEBYTECODE": "1", **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def read_new_log(self, instance: Instance) -> list[str]:
        """Returns the lines that were added to the log of an instance."""
        data = (self.folder / f"{instance.name}.log").read_bytes()
        added = data[instance.log_read :]
        instance.log_read = len(data)
        return added.decode(errors="replace").splitlines()

    def send_signal(self, instance: Instance, number: signal.Signals) -> None:
        """Sends a signal to an instance that runs."""
        if instance.process is not None and instance.process.poll() is None:
            instance.process.send_signal(number)

    def kill(self, instances: list[Instance]) -> None:
        """Kills instances at the same moment."""
        for instance in instances:
            self.send_signal(instance, signal.SIGKILL)
        for instance in instances:
            if instance.process is not None:
                instance.process.wait()
                instance.process = None

    async def terminate(self, instance: Instance) -> None:
        """Stops an instance; kills it when its grace period is over."""
        process, instance.process = instance.process, None
        if process is None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            with anyio.move_on_after(STOP_LIMIT_S):
                while process.poll() is None:
                    await anyio.sleep(0.05)
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()

    async def probe(self, instance: Instance) -> bool:
        """Returns whether an instance says that it is ready."""
        address = instance.settings["readiness_address"]
        status, _ = await soak_http.call(address, "GET", "/readiness")
        return status == 200

    async def watch_starvation(self) -> None:
        """Marks the times in which instances waited for a processor."""
        waited: dict[int, float] = {}
        at = time.monotonic()
        while True:
            await anyio.sleep(SAMPLE_PERIOD_S)
            now = time.monotonic()
            # The stand-ins wait as well if this process does.
            is_late = now - at > SAMPLE_PERIOD_S + MAX_WAIT_S
            for instance in self.instances.values():
                if instance.process is None:
                    continue
                pid = instance.process.pid
                total_s = _read_wait_s(pid)
                waits = total_s - waited.get(pid, total_s) > MAX_WAIT_S
                if is_late or waits:
                    instance.spans.append(Span(at, now, "starved"))
                waited[pid] = total_s
            at = now

    async def watch_ends(self) -> None:
        """Restarts instances that end by themselves, until cancelled.

        Like the platform, it kills those that exceed their memory.
        """
        while True:
            for instance in self.instances.values():
                process = instance.process
                if process is not None and _exceeds_memory(process):
                    process.kill()
                    process.wait()
                if process is not None and process.poll() is not None:
                    now = time.monotonic()
                    instance.ends.append((now, process.returncode))
                    self.start(instance)
            await anyio.sleep(0.1)

    # Servers.

    def find_address(self) -> str:
        """Returns a free address for a server."""
        return f"{deployment.HOST}:{deployment.find_port()}"

    def add_server(self, config: soak_upstream.Config) -> Server:
        """Starts a server."""
        server = self.servers[config.name] = Server(config)
        self.start_server(server)
        return server

    def start_server(self, server: Server) -> None:
        """Starts the process of a server, which knows nothing of before."""
        path = self.folder / f"{server.name}.json"
        path.write_text(json.dumps(dataclasses.asdict(server.config)))
        script = pathlib.Path(soak_server.__file__)
        arguments = [str(script), str(path)]
        server.process = self._start(arguments, server.name)
        server.begin()

    def signal_server(self, server: Server, number: signal.Signals) -> None:
        """Sends a signal to a server that runs."""
        if server.process is not None and server.process.poll() is None:
            server.process.send_signal(number)

    def kill_server(self, server: Server) -> None:
        """Kills a server."""
        self.signal_server(server, signal.SIGKILL)
        server.end()
        if server.process is None:
            return
        server.process.wait()
        server.process = None
        line = {"t": time.monotonic(), "kind": "killed"}
        with open(server.config.record, "a") as record:
            record.write(json.dumps(line) + "\n")

    def list_serving(self, service: str) -> list[Server]:
        """Returns the servers of a service that run and stay."""
        return [
            server
            for server in self.servers.values()
            if server.config.service == service
            and server.process is not None
            and not server.is_leaving
        ]

    def stop_all(self) -> None:
        """Ends all processes."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()


def _read_wait_s(pid: int) -> float:
    """Returns how long a process has waited for a processor."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) / 1e9


def _make_instance(
    name: str,
    zone: str,
    host: str,
    ports: list[int],
    store: str,
    tree: pathlib.Path,
) -> Instance:
    return Instance(
        name,
        zone,
        {
            "instance": name,
            "availability_zone": zone,
            "ip": host,
            "caller_address": f"{host}:{ports[0]}",
            "readiness_address": f"{host}:{ports[1]}",
            "peer_port": ports[PEER_PORT],
            "forward_port": ports[FORWARD_PORT],
            "metrics_port": ports[4],
            "seeds": [],
            "platform_address": store,
            "bounds": dict(BOUNDS),
        },
        tree,
    )


def _find_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on all hosts."""
    ports: list[int] = []
    while len(ports) < count:
        port = deployment.find_port()
        if all(_is_free(host, port) for host in hosts):
            ports.append(port)
    return ports


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _exceeds_memory(process: subprocess.Popen[bytes]) -> bool:
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return False
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) > MAX_MEMORY_MB * 1024
    return False
