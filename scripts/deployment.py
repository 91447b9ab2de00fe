"""Starts and stops the project's programs on loopback, for scripts and tests.

The programs themselves start no process; this module does, and it ends only
the processes that it started, by their ids.
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
FIRST_PORT = 12_000
PART_PORTS = 2_000
PORT_PARTS = 9
HOST = "127.0.0.1"
SECRET = "quickstart-secret"
TOKEN = "quickstart-token"

Json = dict[str, Any]


class StartError(RuntimeError):
    """A program did not become ready; the text ends with its log's end."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """One process to run.

    Attributes:
        name: Instance id.
        program: Name of the console script.
        zone: Availability zone.
        port: Port of its HTTP.
        inner_port: Port of the inner protocol, 0 for none.
        settings: Its settings file's content.
    """

    name: str
    program: str
    zone: str
    port: int
    inner_port: int = 0
    settings: Json = dataclasses.field(default_factory=dict)

    @property
    def address(self) -> str:
        """`IP:PORT` of its HTTP."""
        return f"{HOST}:{self.port}"

    @property
    def inner_address(self) -> str:
        """`IP:PORT` of the inner protocol, empty for none."""
        return f"{HOST}:{self.inner_port}" if self.inner_port else ""


def find_port() -> int:
    """Returns a free TCP port on loopback for a process started later.

    Ports come from below the range of outgoing connections, which could
    take a port between this call and the process's start. Each test worker
    has a part of that range of its own.
    """
    for port in itertools.islice(_ports, PART_PORTS):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise OSError("no free port is left")


def _list_ports() -> Iterator[int]:
    """Returns the ports of this process's part, from a random one on."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    part = int(worker.removeprefix("gw")) % PORT_PARTS + 1 if worker else 0
    first = FIRST_PORT + part * PART_PORTS
    ports = range(first, first + PART_PORTS)
    start = random.randrange(PART_PORTS)
    return itertools.cycle((*ports[start:], *ports[:start]))


def call_http(
    method: str, address: str, path: str, body: Json | None = None
) -> tuple[int, bytes]:
    """Returns status and body of one HTTP call.

    Raises:
        OSError: The call failed.
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


class Deployment:
    """Processes of one run, with their settings and logs in a directory."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Makes the directory; starts nothing."""
        self.directory = directory
        self.nodes: dict[str, Node] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        directory.mkdir(parents=True, exist_ok=True)

    def add(self, node: Node) -> None:
        """Adds a node and writes its settings."""
        self.nodes[node.name] = node
        path = self.directory / f"{node.name}.json"
        path.write_text(json.dumps(node.settings, indent=2))

    def start(self, name: str) -> None:
        """Starts a node's process without waiting for it."""
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
        """Waits until a node answers 200.

        Raises:
            StartError: The process ended or the time is over.
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
        """Returns what a node has logged."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a node's process if it runs."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            os.kill(process.pid, number)

    def stop(self, name: str) -> int:
        """Ends a node by SIGTERM; returns its exit status."""
        self.signal(name, signal.SIGTERM)
        return self.wait(name)

    def kill(self, name: str) -> int:
        """Ends a node by SIGKILL; returns its exit status."""
        self.signal(name, signal.SIGKILL)
        return self.wait(name)

    def wait(self, name: str) -> int:
        """Waits for the end of a node; kills it when the time is over."""
        process = self.processes.pop(name)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return -signal.SIGKILL

    def stop_all(self) -> dict[str, int]:
        """Stops every node, the platform last; returns exit statuses."""
        order = sorted(self.processes, key=self._rank_stop)
        return {name: self.stop(name) for name in order}

    def _rank_stop(self, name: str) -> int:
        order = ("tamaracktide-gateway", "tamaracktide-scheduler")
        program = self.nodes[name].program
        if program in order:
            return order.index(program)
        return 9 if program == "tamaracktide-platform" else 5
