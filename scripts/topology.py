"""Processes, tables and zones of a deployment on stand-ins."""

import dataclasses
import pathlib
from typing import Any

import deployment

Json = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """Sizes and zones of a deployment on stand-ins.

    Attributes:
        gateways: Availability zone of each gateway.
        schedulers: Availability zone of each scheduler.
        engines: Availability zone of each engine.
        services: Availability zone of each plain service.
        adapters: Number of adapters, each with a route.
        slots: Number of adapter slots of an engine.
        batch_limit: Maximum number of requests in an engine's batch.
        token_s: Time between two tokens of an engine.
        unfenced: Indices of the engines that ignore fencing tokens.
        list_lag_s: Delay of the instance list.
        seed: Random seed of the stand-ins.
    """

    gateways: tuple[str, ...] = ("za", "zb")
    schedulers: tuple[str, ...] = ("za", "zb")
    engines: tuple[str, ...] = ("za", "za", "zb")
    services: tuple[str, ...] = ("za", "zb")
    adapters: int = 24
    slots: int = 4
    batch_limit: int = 8
    token_s: float = 0.005
    unfenced: tuple[int, ...] = (1,)
    list_lag_s: float = 1.0
    seed: int = 0


def build_deployment(
    topology: Topology, directory: pathlib.Path
) -> deployment.Deployment:
    """Returns a deployment of the topology without starting it."""
    running = deployment.Deployment(directory)
    platform = _make_node("platform", "tamaracktide-platform", "")
    nodes = [
        *_make_engines(topology, platform),
        *_make_services(topology),
        *_make_daemons(topology, platform, directory),
    ]
    instances = {node.name: describe_instance(node) for node in nodes}
    settings = {
        "address": platform.address,
        "token": deployment.TOKEN,
        "lag_s": topology.list_lag_s,
        "instances": instances,
    }
    running.add(dataclasses.replace(platform, settings=settings))
    for node in nodes:
        running.add(node)
    return running


def describe_instance(node: deployment.Node) -> Json:
    """Returns the entry of a node in the instance list."""
    return {
        "role": node.program.removeprefix("tamaracktide-"),
        "zone": node.zone,
        "address": node.address,
        "inner_address": node.inner_address,
        "state": "live",
    }


def make_tables(topology: Topology) -> Json:
    """Returns tables in the form that `tamaracktidectl apply` reads.

    Every fourth adapter belongs to the large customer; each of the others
    belongs to a small customer of its own.
    """
    engines = [f"engine-{i}" for i in range(len(topology.engines))]
    services = [f"service-{i}" for i in range(len(topology.services))]
    pools: list[Json] = [
        {"name": "models", "kind": "engine", "upstreams": engines},
        {"name": "tracking", "kind": "service", "upstreams": services},
    ]
    routes: list[Json] = []
    for i in range(topology.adapters):
        customer = "large" if i % 4 == 0 else f"small-{i}"
        routes.append(
            {
                "name": f"assistant-{i}",
                "customer": customer,
                "pool": "models",
                "adapter": f"adapter-{i}",
                "version": "1",
            }
        )
    for customer in ("large", "small-1"):
        routes.append(
            {
                "name": f"sign-off-{customer}",
                "customer": customer,
                "pool": "tracking",
                "idempotent": False,
            }
        )
    return {"routes": routes, "pools": pools}


def _make_node(
    name: str, program: str, zone: str, *, has_inner_port: bool = False
) -> deployment.Node:
    return deployment.Node(
        name=name,
        program=program,
        zone=zone,
        port=deployment.find_port(),
        inner_port=deployment.find_port() if has_inner_port else 0,
    )


def _make_engines(
    topology: Topology, platform: deployment.Node
) -> list[deployment.Node]:
    nodes = []
    for i, zone in enumerate(topology.engines):
        node = _make_node(f"engine-{i}", "tamaracktide-engine", zone)
        settings = {
            "instance": node.name,
            "address": node.address,
            "zone": zone,
            "token": deployment.TOKEN,
            "weight_store": platform.address,
            "platform_token": deployment.TOKEN,
            "slots": topology.slots,
            "batch_limit": topology.batch_limit,
            "token_s": topology.token_s,
            "first_token_s": 4 * topology.token_s,
            "checks_fencing": i not in topology.unfenced,
            "load_report_lag_s": 0.5,
            "seed": topology.seed + i,
        }
        nodes.append(dataclasses.replace(node, settings=settings))
    return nodes


def _make_services(topology: Topology) -> list[deployment.Node]:
    nodes = []
    for i, zone in enumerate(topology.services):
        node = _make_node(f"service-{i}", "tamaracktide-service", zone)
        settings = {
            "instance": node.name,
            "address": node.address,
            "token": deployment.TOKEN,
        }
        nodes.append(dataclasses.replace(node, settings=settings))
    return nodes


def _make_daemons(
    topology: Topology, platform: deployment.Node, directory: pathlib.Path
) -> list[deployment.Node]:
    nodes = []
    role_zones = [("gateway", zone) for zone in topology.gateways]
    role_zones += [("scheduler", zone) for zone in topology.schedulers]
    next_index = {"gateway": 0, "scheduler": 0}
    for role, zone in role_zones:
        name = f"{role}-{next_index[role]}"
        next_index[role] += 1
        node = _make_node(
            name, f"tamaracktide-{role}", zone, has_inner_port=True
        )
        settings: Json = {
            "instance": name,
            "zone": zone,
            "platform": {
                "address": platform.address,
                "token": deployment.TOKEN,
                "zone": zone,
            },
            "http": {"host": deployment.HOST, "port": node.port},
            "inner": {
                "host": deployment.HOST,
                "port": node.inner_port,
                "token": deployment.TOKEN,
            },
            "upstreams": {"token": deployment.TOKEN},
            "observability": {
                "trace_path": str(directory / f"{name}.traces.jsonl")
            },
        }
        if role == "gateway":
            settings["key_secret"] = deployment.SECRET
        nodes.append(dataclasses.replace(node, settings=settings))
    seeds = [n.inner_address for n in nodes if "scheduler" in n.program]
    for node in nodes:
        node.settings["seed_peers"] = seeds
    return nodes
