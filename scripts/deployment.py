"""Starts and stops the project's programs on loopback for scripts and tests.

The programs themselves do not start processes. This module signals only
processes that it started, by process id.
"""

from collections.abc import Iterator
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import httpcore

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.05
MIN_PORT = 12_000
PORTS_PER_WORKER = 2_000
WORKER_RANGES = 9
MAX_RESERVED_PORTS = 256
"""Ports that a process keeps reserved; those of finished tests are older."""

HOST = "127.0.0.1"
SECRET = "quickstart-secret"
TOKEN = "quickstart-token"

Json = dict[str, Any]


class StartError(RuntimeError):
    """A program did not become ready; the message ends with its log tail."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """A process of a deployment.

    Attributes:
        name: Instance id.
        program: Name of the console script.
        zone: Availability zone.
        port: HTTP port.
        inner_port: Port of the inner protocol, 0 for none.
        settings: Content of the settings file.
    """

    name: str
    program: str
    zone: str
    port: int
    inner_port: int = 0
    settings: Json = dataclasses.field(default_factory=dict)

    @property
    def address(self) -> str:
        """`IP:PORT` of the HTTP server."""
        return f"{HOST}:{self.port}"

    @property
    def inner_address(self) -> str:
        """`IP:PORT` of the inner protocol, empty for none."""
        return f"{HOST}:{self.inner_port}" if self.inner_port else ""


def find_port() -> int:
    """Returns a free TCP port on loopback for a process started later.

    Ports are below the ephemeral range: an outgoing connection could otherwise
    take the port before the process binds it. Each test worker uses a separate
    range of ports. Other runs on the machine do not choose the port while this
    one goes on, also while nothing listens on it.
    """
    for port in itertools.islice(_ports, PORTS_PER_WORKER):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if _reserve(port):
            return port
    raise OSError("no free TCP port in the range of this worker")


def _reserve(port: int) -> bool:
    """Reserves a port until this process ends; returns whether it is free.

    The UDP port of the same number tells other processes, and its reservation
    ends with this one, however it ends.
    """
    if port in _reserved:
        return True
    with socket.socket(type=socket.SOCK_DGRAM) as mark:
        try:
            mark.bind((HOST, port))
        except OSError:
            return False
        _reserved[port] = mark.detach()
    if len(_reserved) > MAX_RESERVED_PORTS:
        os.close(_reserved.pop(next(iter(_reserved))))
    return True


def _list_ports() -> Iterator[int]:
    """Returns an endless cycle of this process's ports from a random one."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    range_index = (
        int(worker.removeprefix("gw")) % WORKER_RANGES + 1 if worker else 0
    )
    first_port = MIN_PORT + range_index * PORTS_PER_WORKER
    ports = range(first_port, first_port + PORTS_PER_WORKER)
    offset = random.randrange(PORTS_PER_WORKER)
    return itertools.cycle((*ports[offset:], *ports[:offset]))


def call_http(
    method: str, address: str, path: str, body: Json | None = None
) -> tuple[int, bytes]:
    """Sends an HTTP request and returns status and body.

    Raises:
        OSError: No complete response was received.
    """
    content = b"" if body is None else json.dumps(body).encode()
    headers = [("Authorization", f"Bearer {TOKEN}")]
    timeout = {"connect": 2.0, "read": 10.0, "write": 2.0, "pool": 2.0}
    try:
        response = httpcore.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            content=content,
            extensions={"timeout": timeout},
        )
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise OSError(f"{method} {address}{path}: {error!r}") from error
    except httpcore.ProtocolError as error:
        raise OSError(f"{method} {address}{path}: {error!r}") from error
    return response.status, response.content


_ports = _list_ports()
_reserved: dict[int, int] = {}


class Deployment:
    """Processes of a run; settings and logs are files in a directory."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Creates the directory without starting a process."""
        self.directory = directory
        self.nodes: dict[str, Node] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        directory.mkdir(parents=True, exist_ok=True)

    def add(self, node: Node) -> None:
        """Adds or replaces a node and writes its settings file."""
        self.nodes[node.name] = node
        path = self.directory / f"{node.name}.json"
        path.write_text(json.dumps(node.settings, indent=2))

    def start(self, name: str) -> None:
        """Starts the process of a node without waiting until it is ready."""
        node = self.nodes[name]
        program = pathlib.Path(sys.executable).parent / node.program
        settings = self.directory / f"{name}.json"
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(program), "--settings", str(settings)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, name: str, path: str = "/readyz") -> None:
        """Waits until a node responds with status 200.

        Raises:
            StartError: The process exited or was not ready in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            try:
                status, _ = call_http("GET", self.nodes[name].address, path)
            except OSError:
                status = 0
            if status == 200:
                return
            time.sleep(POLL_PERIOD_S)
        raise StartError(f"{name} is not ready: {self.read_log(name)[-2000:]}")

    def read_log(self, name: str) -> str:
        """Returns the log output of a node."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a node if it is running."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            os.kill(process.pid, number)

    def stop(self, name: str) -> int:
        """Stops a node with SIGTERM; returns its exit status."""
        self.signal(name, signal.SIGTERM)
        return self.wait(name)

    def kill(self, name: str) -> int:
        """Kills a node with SIGKILL; returns its exit status."""
        self.signal(name, signal.SIGKILL)
        return self.wait(name)

    def wait(self, name: str) -> int:
        """Waits until a node exits; kills it after `STOP_TIMEOUT_S`.

        Returns:
            The exit status, or minus the number of SIGKILL after a time-out.
        """
        process = self.processes.pop(name)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return -signal.SIGKILL

    def stop_all(self) -> dict[str, int]:
        """Stops all nodes, the platform last; returns exit statuses by name."""
        stop_order = sorted(self.processes, key=self._get_stop_rank)
        return {name: self.stop(name) for name in stop_order}

    def _get_stop_rank(self, name: str) -> int:
        stop_order = ("tamaracktide-gateway", "tamaracktide-scheduler")
        program = self.nodes[name].program
        if program in stop_order:
            return stop_order.index(program)
        return 9 if program == "tamaracktide-platform" else 5
