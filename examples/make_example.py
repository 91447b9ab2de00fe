"""Writes the settings and tables of an example deployment into a directory.

    python examples/make_example.py intango DIRECTORY
    python examples/make_example.py viilukoda DIRECTORY

DIRECTORY then contains `tables.json` for `tamaracktidectl apply`, a settings
file for each gateway and scheduler, `tamaracktidectl.json`, and the platform's
instance list `instances.json`. The same name always gives the same files.
"""

import argparse
import dataclasses
import json
import pathlib
from typing import Any

Json = dict[str, Any]

PLATFORM = "10.1.0.1:7000"
GATEWAY_PORT = 8080
SCHEDULER_PORT = 8081
GATEWAY_INNER_PORT = 9080
SCHEDULER_INNER_PORT = 9081
UPSTREAM_PORT = 8000
SECRET = "replace-this-secret"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Example:
    """Parameters of an example deployment.

    Attributes:
        name: Name of the deployment.
        zones: Availability zones.
        entry_zones: Index into `zones` for each gateway and its scheduler.
        engines: Number of engines.
        services: Number of plain services.
        large_customer: Name of the large customer.
        large_adapters: Number of adapters of the large customer.
        small_prefix: Prefix of the small customers' names.
        small_customers: Number of small customers.
        kinds: Kinds of adapters; each small customer has one of each kind.
        service_route: Name of each customer's service route.
        idempotent_route: Name of each customer's idempotent service route;
            empty for none.
        stall_weight: Weight of avoiding load stalls.
        batch_weight: Weight of filling batches.
        loads_per_s: Maximum load rate of the weight store.
        in_flight: Number of concurrent loads that the weight store serves at
            full speed.
        max_queue_s: Maximum wait for admission.
    """

    name: str
    zones: tuple[str, ...]
    entry_zones: tuple[int, ...] = (0, 1, 2, 0)
    engines: int
    services: int = 3
    large_customer: str
    large_adapters: int
    small_prefix: str
    small_customers: int
    kinds: tuple[str, ...]
    service_route: str
    idempotent_route: str = ""
    stall_weight: float
    batch_weight: float
    loads_per_s: float
    in_flight: float
    max_queue_s: float


EXAMPLES = {
    "intango": Example(
        name="intango",
        zones=("kigali-a", "kigali-b", "kigali-c"),
        engines=9,
        large_customer="employer-large",
        large_adapters=30,
        small_prefix="employer",
        small_customers=990,
        kinds=("welcome-plan", "role-checklist", "questions"),
        service_route="sign-off",
        stall_weight=3.0,
        batch_weight=1.0,
        loads_per_s=64.0,
        in_flight=16.0,
        max_queue_s=30.0,
    ),
    "viilukoda": Example(
        name="viilukoda",
        zones=("estonia-a", "estonia-b", "estonia-c"),
        engines=5,
        large_customer="joinery-large",
        large_adapters=30,
        small_prefix="mill",
        small_customers=1485,
        kinds=("flitch-description", "quote"),
        service_route="order-confirmation",
        idempotent_route="stock-lookup",
        stall_weight=1.0,
        batch_weight=3.0,
        loads_per_s=32.0,
        in_flight=8.0,
        max_queue_s=60.0,
    ),
}


def make_files(example: Example) -> dict[str, Json]:
    """Returns the contents of all files by file name."""
    files = {
        "tables.json": make_tables(example),
        "instances.json": {"instances": list_instances(example)},
        "tamaracktidectl.json": {
            "platform": {"address": PLATFORM, "token": SECRET},
            "author": "ana",
            "admin_token": SECRET,
            "secret_path": "api-key-secret",
            "instances": [
                instance
                for instance in list_instances(example)
                if instance["role"] in ("gateway", "scheduler")
            ],
        },
    }
    for number, zone in enumerate(example.entry_zones):
        zone_name = example.zones[zone]
        files[f"gateway-{number}.json"] = make_gateway(number, zone_name)
        files[f"scheduler-{number}.json"] = make_scheduler(
            example, number, zone_name
        )
    return files


def make_tables(example: Example) -> Json:
    """Returns an engine pool, a service pool and all routes."""
    engines = [f"engine-{i}" for i in range(example.engines)]
    services = [f"service-{i}" for i in range(example.services)]
    weights = {
        "stall_weight": example.stall_weight,
        "batch_weight": example.batch_weight,
        "max_queue_s": example.max_queue_s,
    }
    pools = [
        {"name": "models", "kind": "engine", "upstreams": engines, **weights},
        {"name": "records", "kind": "service", "upstreams": services},
    ]
    large = [f"assistant-{i}" for i in range(example.large_adapters)]
    routes = _make_routes(example, example.large_customer, large)
    for number in range(example.small_customers):
        customer = f"{example.small_prefix}-{number:04d}"
        routes.extend(_make_routes(example, customer, list(example.kinds)))
    return {"pools": pools, "routes": routes}


def list_instances(example: Example) -> list[Json]:
    """Returns the instance list; addresses encode zone and number."""
    instances = []
    for number, zone in enumerate(example.entry_zones):
        host = f"10.1.{zone + 1}.{10 + number}"
        for role, port, inner in (
            ("gateway", GATEWAY_PORT, GATEWAY_INNER_PORT),
            ("scheduler", SCHEDULER_PORT, SCHEDULER_INNER_PORT),
        ):
            instances.append(
                {
                    "id": f"{role}-{number}",
                    "role": role,
                    "zone": example.zones[zone],
                    "address": f"{host}:{port}",
                    "inner_address": f"{host}:{inner}",
                }
            )
    instances.extend(_list_upstreams(example, "engine", example.engines, 50))
    instances.extend(_list_upstreams(example, "service", example.services, 100))
    return instances


def _list_upstreams(
    example: Example, role: str, count: int, first_host: int
) -> list[Json]:
    """Returns the upstreams of a role, assigned to zones round-robin."""
    instances = []
    for number in range(count):
        zone = number % len(example.zones)
        host = f"10.1.{zone + 1}.{first_host + number}"
        instances.append(
            {
                "id": f"{role}-{number}",
                "role": role,
                "zone": example.zones[zone],
                "address": f"{host}:{UPSTREAM_PORT}",
            }
        )
    return instances


def make_gateway(number: int, zone: str) -> Json:
    """Returns the settings of a gateway."""
    return {
        **_make_daemon("gateway", number, zone, GATEWAY_INNER_PORT),
        "http": {
            "host": "0.0.0.0",
            "port": GATEWAY_PORT,
            "admin_token": SECRET,
        },
        "key_secret": SECRET,
    }


def make_scheduler(example: Example, number: int, zone: str) -> Json:
    """Returns the settings of a scheduler."""
    return {
        **_make_daemon("scheduler", number, zone, SCHEDULER_INNER_PORT),
        "http": {
            "host": "0.0.0.0",
            "port": SCHEDULER_PORT,
            "admin_token": SECRET,
        },
        "store": {
            "loads_per_s": example.loads_per_s,
            "in_flight": example.in_flight,
        },
    }


def _make_daemon(role: str, number: int, zone: str, inner_port: int) -> Json:
    return {
        "instance": f"{role}-{number}",
        "zone": zone,
        "platform": {"address": PLATFORM, "token": SECRET, "zone": zone},
        "inner": {"host": "0.0.0.0", "port": inner_port, "token": SECRET},
        "upstreams": {"token": SECRET, "zone": zone},
    }


def _make_routes(
    example: Example, customer: str, assistants: list[str]
) -> list[Json]:
    """Returns a customer's routes to its adapters and to the services."""
    routes: list[Json] = [
        {
            "name": f"{customer}/{assistant}",
            "customer": customer,
            "pool": "models",
            "adapter": f"{customer}-{assistant}",
            "version": "1",
        }
        for assistant in assistants
    ]
    service = {"customer": customer, "pool": "records"}
    name = f"{customer}/{example.service_route}"
    routes.append({"name": name, **service, "idempotent": False})
    if example.idempotent_route:
        name = f"{customer}/{example.idempotent_route}"
        routes.append({"name": name, **service, "idempotent": True})
    return routes


def main() -> None:
    """Writes the files of the example named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=sorted(EXAMPLES))
    parser.add_argument("directory", type=pathlib.Path)
    flags = parser.parse_args()
    flags.directory.mkdir(parents=True, exist_ok=True)
    for name, content in make_files(EXAMPLES[flags.name]).items():
        text = json.dumps(content, indent=1) + "\n"
        (flags.directory / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
