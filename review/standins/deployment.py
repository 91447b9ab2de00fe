"""A small deployment: entry instances as processes, the rest as stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from standins import servers as server_standins
from standins import store as store_standins
from standins import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
HOST = "svc.example"
FIRST_PORT = 20_000
LAST_PORT = 31_000

BOUNDS = {
    "lease_ms": 3000,
    "grace_s": 8,
    "retry_fraction": 0.2,
    "retry_window_s": 10,
    "retry_extra": 54,
}
"""Bounds of the small sites (LeaseMs, GraceS, RetryBudget...)."""


class NotRunnable(RuntimeError):
    """The case could not run."""


def find_ports(count: int, hosts: list[str]) -> list[int]:
    """Returns free ports in a row, free on all loopback addresses."""
    start = FIRST_PORT + int.from_bytes(os.urandom(2), "big") % 9_000
    for base in range(start, LAST_PORT, count):
        if all(_is_free(h, base + i) for h in hosts for i in range(count)):
            return list(range(base, base + count))
    raise NotRunnable("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Record:
    """Writes `record.txt` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def at(self, moment: float) -> float:
        return moment - self._started_at

    def __call__(self, text: str) -> None:
        line = f"{self.now():8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)

    def quiet(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f}  {text}\n")

    def close(self) -> None:
        self._file.close()


class Instance:
    """A machine with an entry instance on it."""

    def __init__(self, name: str, zone: str, ip: str) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        self.process: subprocess.Popen | None = None
        self.settings: dict = {}
        self.front = ""
        self.ready = ""


class Deployment:
    """The store, servers and instances of a case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        hosts = ["127.0.0.1"] + [f"127.0.0.{n}" for n in range(11, 19)]
        self._ports = find_ports(60, hosts)
        self._next_server_port = self._ports[24]
        self._next_ip = 11
        self.store = store_standins.Store("127.0.0.1", self._ports[20])
        self.servers: dict[str, server_standins.Server] = {}
        self.instances: dict[str, Instance] = {}
        self._beating: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunnable("target/deps is missing: run the build first")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split()

    async def start_store(self) -> None:
        await self.store.server.start()
        self._tasks.append(asyncio.create_task(self._beat()))

    async def add_server(self, name: str, service: str, zone: str, **options):
        port = self._next_server_port
        self._next_server_port += 1
        server = server_standins.Server(
            name, service, zone, "127.0.0.1", port, **options
        )
        await server.server.start()
        self.servers[name] = server
        self._beating.add(name)
        self.write_entry(name)
        return server

    def write_entry(self, name: str) -> None:
        if not self.store.is_away:
            self.store.put("servers", name, self.servers[name].make_entry())

    def stop_beating(self, name: str) -> None:
        self._beating.discard(name)

    async def _beat(self) -> None:
        """Servers write their entries, each at its own moment."""
        while True:
            names = sorted(self._beating)
            for name in names:
                if name in self._beating:
                    self.write_entry(name)
                await asyncio.sleep(HEARTBEAT_S / max(1, len(names)))
            if not names:
                await asyncio.sleep(HEARTBEAT_S)

    def add_instance(self, name: str, zone: str) -> Instance:
        ip = f"127.0.0.{self._next_ip}"
        self._next_ip += 1
        instance = Instance(name, zone, ip)
        ports = self._ports
        instance.front, instance.ready = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        instance.settings = {
            "instance": name,
            "availability_zone": zone,
            "ip": ip,
            "caller_address": instance.front,
            "readiness_address": instance.ready,
            "peer_port": ports[3],
            "metrics_port": ports[18],
            "seeds": [],
            "platform_address": self.store.server.address,
            "bounds": BOUNDS,
        }
        self.instances[name] = instance
        return instance

    def set_seeds(self) -> None:
        ips = [i.ip for i in self.instances.values()][:3]
        for instance in self.instances.values():
            instance.settings["seeds"] = [f"{ip}:{self._ports[2]}" for ip in ips]

    def start(self, instance: Instance) -> None:
        """Starts an instance with the command of the deploy file."""
        path = self.folder / f"{instance.name}.json"
        path.write_text(json.dumps(instance.settings))
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["TAMARACKTIDE_SETTINGS"] = str(path)
        with (self.folder / f"{instance.name}.log").open("ab") as log:
            instance.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"{instance.name} starts at {instance.ip} ({instance.zone})")

    async def is_ready(self, instance: Instance) -> bool:
        answer = await web.call(
            instance.ready, "GET", "/readiness", {"Host": "x"}, timeout_s=1.0
        )
        return answer.status == 200

    async def wait_ready(self, instance: Instance, timeout_s=20.0) -> None:
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if instance.process.poll() is not None:
                break
            if await self.is_ready(instance):
                return
            await asyncio.sleep(0.1)
        log = self.read_log(instance)[-1500:]
        raise NotRunnable(f"{instance.name} is not ready: {log}")

    def signal(self, instance: Instance, number: int) -> None:
        if instance.process is not None and instance.process.poll() is None:
            os.kill(instance.process.pid, number)

    def kill(self, instance: Instance) -> None:
        self.signal(instance, signal.SIGKILL)
        if instance.process is not None:
            instance.process.wait()

    def read_log(self, instance: Instance) -> str:
        path = self.folder / f"{instance.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def close(self) -> None:
        for instance in self.instances.values():
            with contextlib.suppress(ProcessLookupError):
                self.signal(instance, signal.SIGCONT)
            self.kill(instance)
        for task in self._tasks:
            task.cancel()
        for server in self.servers.values():
            server.server.stop()
        self.store.server.stop()
        if os.environ.get("KEEP") != "1":
            for path in sorted(self.folder.glob("*")):
                path.unlink()
            self.folder.rmdir()
        else:
            self.record(f"kept: {self.folder}")


def make_route(name: str, service: str, kind: str, **fields) -> dict:
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Service": service,
        "Kind": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 800,
        "Priority": 2,
        "MaxAttempts": 2 if kind != "non_idempotent" else 1,
        **fields,
    }


def make_manifest(version: int, routes: list[dict], **changes) -> dict:
    """A manifest with an engine service `llm` and plain services."""
    plain = sorted({r["Service"] for r in routes} - {"llm"})
    services = [
        {"Name": n, "MaxConnections": 100, "HealthPath": "/health"}
        for n in plain
    ]
    services.append(
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
                        "Name": server_standins.MODEL,
                        "WeightsMb": 65500.0,
                        "LoadS": 2.9,
                        "Adapters": 3000,
                        "AdapterMb": 40.0,
                    }
                ],
            },
        }
    )
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": limits,
        **changes,
    }


def make_headers(request_id: str, deadline_ms: int = 8000, **extra) -> dict:
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }
    for name, value in extra.items():
        headers[name.replace("_", "-")] = str(value)
    return headers


def is_troubled() -> bool:
    """Whether the script applies its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: pathlib.Path, case) -> None:
    """Runs a case; exits with 1 if the rule broke, 0 if it held, 2 if neither.

    Args:
        folder: Folder of the case.
        case: Coroutine function of the deployment; returns whether the rule
            held.
    """
    record = Record(folder)

    async def run() -> bool:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(112):
                return await case(deployment, record)
        finally:
            await deployment.close()

    status = 2
    try:
        status = 0 if asyncio.run(run()) else 1
    except (NotRunnable, TimeoutError) as error:
        record(f"could not run: {error!r}")
    except Exception as error:
        record(f"could not run: {error!r}")
        if os.environ.get("KEEP") == "1":
            raise
    record(f"exit {status} (TROUBLE={os.environ.get('TROUBLE', '1')})")
    record.close()
    sys.exit(status)
