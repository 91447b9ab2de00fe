"""Faults of soak runs, and how they are injected and cleared.

Soak runs print the `repr` of each fault.
"""

import dataclasses
import json
import random
import signal

import anyio
import anyio.to_thread

import deployment
import links

CRASH_PROMPT = "crash-the-engine"


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """A process is killed with SIGKILL and restarted."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """A process is stopped gracefully and restarted."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process is suspended for longer than all time-outs, then resumed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFault:
    """The platform is down or slow, loses responses or serves stale reads."""

    fields: tuple[tuple[str, bool | float | int | tuple[str, ...]], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFault:
    """An engine restarts empty, hangs, fails loads or delays orders."""

    name: str
    fields: tuple[tuple[str, bool | float | int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CutZone:
    """A zone is partitioned from other zones and optionally the platform."""

    zone: str
    platform_too: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceLinks:
    """Open connections between zones stall permanently without closing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """An upstream is listed as leaving, then as live again."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RaceEdits:
    """Operators edit the same row and different rows concurrently."""


Fault = (
    Kill
    | Terminate
    | Freeze
    | PlatformFault
    | EngineFault
    | CutZone
    | SilenceLinks
    | Leave
    | RaceEdits
)


def choose_faults(
    rng: random.Random, nodes: list[deployment.Node], zones: list[str]
) -> tuple[Fault, Fault]:
    """Returns two faults of different kinds."""
    first = _choose_random_fault(rng, nodes, zones)
    while True:
        second = _choose_random_fault(rng, nodes, zones)
        if type(second) is not type(first):
            return first, second


def _choose_random_fault(
    rng: random.Random, nodes: list[deployment.Node], zones: list[str]
) -> Fault:
    daemon_names = [node.name for node in nodes if node.inner_port]
    engines = [n.name for n in nodes if n.name.startswith("engine")]
    services = [n.name for n in nodes if n.name.startswith("service")]
    choices: list[Fault] = [
        Kill(rng.choice(daemon_names)),
        Kill(rng.choice(engines)),
        Terminate(rng.choice(daemon_names)),
        Freeze(rng.choice(daemon_names)),
        PlatformFault((("outage", True),)),
        PlatformFault((("slow_s", 0.5),)),
        PlatformFault((("lose_replies", 5),)),
        PlatformFault((("stale_reads", True),)),
        EngineFault(rng.choice(engines), (("restart", True),)),
        EngineFault(rng.choice(engines), (("freeze", True),)),
        EngineFault(rng.choice(engines), (("silent", True),)),
        EngineFault(rng.choice(engines), (("fail_loads", 5),)),
        EngineFault(rng.choice(engines), (("delay_orders_s", 1.5),)),
        CutZone(rng.choice(zones), platform_too=False),
        CutZone(rng.choice(zones), platform_too=True),
        SilenceLinks(),
        Leave(rng.choice(engines + services)),
        RaceEdits(),
    ]
    return rng.choice(choices)


class FaultInjector:
    """Injects and clears faults in a running deployment."""

    def __init__(
        self,
        running: deployment.Deployment,
        links_by_zones: dict[tuple[str, str], list[links.Link]],
    ) -> None:
        """Initializes the injector.

        Args:
            running: The running deployment.
            links_by_zones: Links by the zones of client and target.
        """
        self._running = running
        self._links_by_zones = links_by_zones

    async def inject(self, fault: Fault) -> None:
        """Injects a fault."""
        match fault:
            case Kill(name):
                await anyio.to_thread.run_sync(self._running.kill, name)
            case Terminate(name):
                await anyio.to_thread.run_sync(self._running.stop, name)
            case Freeze(name):
                self._running.signal(name, signal.SIGSTOP)
            case PlatformFault(fields):
                await self._set_faults("platform", dict(fields))
            case EngineFault(name, fields):
                await self._set_faults(name, dict(fields))
            case CutZone(zone, platform_too):
                cut_zones = [zone] if platform_too else []
                await self._set_faults("platform", {"cut_zones": cut_zones})
                await self._set_links(zone, links.LinkState.CUT)
            case SilenceLinks():
                await self._silence_links()
            case Leave(name):
                await self._set_instance_state(name, "leaving")
            case RaceEdits():
                pass

    async def clear(self, fault: Fault) -> None:
        """Clears a fault."""
        match fault:
            case Kill(name) | Terminate(name):
                self._running.start(name)
                await anyio.to_thread.run_sync(self._wait_ready, name)
            case Freeze(name):
                self._running.signal(name, signal.SIGCONT)
            case PlatformFault():
                await self._set_faults(
                    "platform",
                    {
                        "outage": False,
                        "slow_s": 0.0,
                        "lose_replies": 0,
                        "stale_reads": False,
                    },
                )
            case EngineFault(name):
                await self._set_faults(
                    name,
                    {"freeze": False, "fail_loads": 0, "delay_orders_s": 0.0},
                )
            case CutZone(zone):
                await self._set_links(zone, links.LinkState.OPEN)
                await self._set_faults("platform", {"cut_zones": []})
            case Leave(name):
                await self._set_instance_state(name, "live")
            case SilenceLinks() | RaceEdits():
                pass

    async def _silence_links(self) -> None:
        for group in self._links_by_zones.values():
            for link in group:
                await link.set_state(links.LinkState.SILENT)

    def _wait_ready(self, name: str) -> None:
        node = self._running.nodes[name]
        path = "/readyz" if node.inner_port else "/v1/state"
        self._running.wait_ready(name, path)

    async def _set_links(self, zone: str, state: links.LinkState) -> None:
        for (near, far), group in self._links_by_zones.items():
            if zone in (near, far):
                for link in group:
                    await link.set_state(state)

    async def _set_faults(self, name: str, fields: deployment.Json) -> None:
        await self._call("POST", name, "/admin/faults", fields)

    async def _set_instance_state(self, name: str, state: str) -> None:
        settings = self._running.directory / "platform.json"
        instance = json.loads(settings.read_text())["instances"][name]
        instance["state"] = state
        path = f"/admin/instances/{name}"
        await self._call("PUT", "platform", path, instance)

    async def _call(
        self, method: str, name: str, path: str, body: deployment.Json
    ) -> None:
        address = self._running.nodes[name].address
        status, content = await anyio.to_thread.run_sync(
            deployment.call_http, method, address, path, body
        )
        if status >= 400:
            raise RuntimeError(f"{name}{path}: {status} {content!r}")
