"""Runs entry instances of two builds side by side on the tests' fake platform.

`python tests/fleet/mixed_builds.py OLD_TREE` starts two instances of an earlier
build, replaces them one by one by this build, and then goes back. Clients send
requests of each kind all the while; each must be answered, and run once.
"""

import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile

import anyio
import anyio.abc
import fire
import httpcore

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
for folder in ("scripts", "platform"):
    sys.path.insert(0, str(ROOT / folder))

import fleet_cluster  # noqa: E402

import deployment  # noqa: E402

READY_TIMEOUT_S = 20.0
SETTLE_S = 3.0
REQUEST_PERIOD_S = 0.05
PATHS = ("/once/x", "/safe/x", "/stream/x")


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What the clients saw.

    Attributes:
        sent: Number of requests.
        statuses: Number of responses by status; 0 for none.
    """

    sent: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class Instance:
    """A running entry instance.

    Attributes:
        name: Instance id.
        address: Where it listens for clients.
        ready: Where it listens for readiness probes.
        process: Its process.
    """

    name: str
    address: str
    ready: str
    process: anyio.abc.Process


class Mixture:
    """Instances of two builds, and clients that use all of them."""

    def __init__(
        self, cluster: fleet_cluster.Cluster, folder: pathlib.Path
    ) -> None:
        """Starts without instances."""
        self.instances: dict[str, Instance] = {}
        self.outcomes = Outcomes()
        self._cluster = cluster
        self._folder = folder
        self._peer_port = deployment.find_port()
        self._pool = httpcore.AsyncConnectionPool()

    async def start(self, name: str, host: str, tree: pathlib.Path) -> None:
        """Starts an instance of the build in a tree, and waits for it."""
        address, ready = (f"{host}:{deployment.find_port()}" for _ in range(2))
        settings = {
            "instance": name,
            "availability_zone": "z1",
            "ip": host,
            "caller_address": address,
            "readiness_address": ready,
            "peer_port": self._peer_port,
            "forward_port": self._cluster.forward_port,
            "metrics_port": deployment.find_port(),
            "platform_address": self._cluster.address,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        with (self._folder / f"{name}.log").open("ab") as log:
            process = await anyio.open_process(
                [sys.executable, str(tree / "platform" / "run.py")],
                env={"TAMARACKTIDE_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )
        instance = Instance(name, address, ready, process)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self._is_ready(instance):
                await anyio.sleep(0.1)
        self.instances[name] = instance

    async def stop(self, name: str) -> None:
        """Stops an instance as planned, once no client uses it."""
        instance = self.instances.pop(name)
        instance.process.send_signal(signal.SIGTERM)
        await instance.process.wait()

    async def _is_ready(self, instance: Instance) -> bool:
        try:
            response = await self._pool.request(
                "GET", f"http://{instance.ready}/"
            )
        except (httpcore.ConnectError, httpcore.ReadError):
            return False
        return response.status == 200

    async def send_requests(self) -> None:
        """Sends requests of each kind to all instances until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for instance in list(self.instances.values()):
                    number = self.outcomes.sent
                    self.outcomes.sent += 1
                    path = PATHS[number % len(PATHS)]
                    tasks.start_soon(self._send, instance, path, f"r{number}")
                await anyio.sleep(REQUEST_PERIOD_S)

    async def _send(self, instance: Instance, path: str, name: str) -> None:
        headers: dict[bytes | str, bytes | str] = {
            "Host": "h.example",
            "X-Request-Id": name,
            "X-Deadline-Ms": "4000",
        }
        if path.startswith("/stream"):
            headers["X-Model"] = f"{fleet_cluster.MODEL}/a{hash(name) % 3}"
            headers["X-Token-Count"] = "100,30"
        try:
            response = await self._pool.request(
                "POST", f"http://{instance.address}{path}", headers=headers
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.outcomes.statuses[0] += 1
            return
        self.outcomes.statuses[response.status] += 1

    async def close(self) -> None:
        """Stops all instances."""
        for name in list(self.instances):
            await self.stop(name)
        await self._pool.aclose()


@contextlib.asynccontextmanager
async def run_mixture() -> AsyncIterator[tuple[Mixture, fleet_cluster.Cluster]]:
    """Runs a fake platform with engines and servers, without instances."""
    async with fleet_cluster.run_cluster() as cluster:
        for number in range(3):
            await cluster.add_server(fleet_cluster.Server(f"p{number}"))
            await cluster.add_server(
                fleet_cluster.Server(f"e{number}", slots=3)
            )
        with tempfile.TemporaryDirectory() as folder:
            mixture = Mixture(cluster, pathlib.Path(folder))
            try:
                yield mixture, cluster
            finally:
                with anyio.CancelScope(shield=True):
                    await mixture.close()


async def _replace_all(
    mixture: Mixture, before: str, after: str, tree: pathlib.Path
) -> None:
    for number in (1, 2):
        host = f"127.0.0.{number + (10 if after == 'new' else 20)}"
        await mixture.start(f"{after}{number}", host, tree)
        await anyio.sleep(SETTLE_S)
        await mixture.stop(f"{before}{number}")
        await anyio.sleep(SETTLE_S)


async def run_upgrade(old: pathlib.Path) -> None:
    """Upgrades and goes back; prints what clients and servers saw."""
    async with run_mixture() as (mixture, cluster):
        for number in (1, 2):
            await mixture.start(f"old{number}", f"127.0.0.{number}", old)
        await anyio.sleep(SETTLE_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(mixture.send_requests)
            await _replace_all(mixture, "old", "new", ROOT)
            print("upgraded", dict(mixture.outcomes.statuses))
            await _replace_all(mixture, "new", "old", old)
            tasks.cancel_scope.cancel()
        print("went back", dict(mixture.outcomes.statuses))
        runs = collections.Counter(
            run for server in cluster.servers.values() for run in server.runs
        )
        print("runs", len(runs), "twice", sum(n > 1 for n in runs.values()))


def run(old_tree: str) -> None:
    """Runs the upgrade from the build in a tree to this one and back."""
    anyio.run(run_upgrade, pathlib.Path(old_tree).resolve())


if __name__ == "__main__":
    fire.Fire(run)
