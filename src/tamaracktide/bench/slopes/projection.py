"""Computes the figures of docs/CAPACITY.md from the fitted lines."""

from collections.abc import Mapping
import dataclasses

from tamaracktide.bench.slopes import series

NODES = 330
PROCESSES = 2 * NODES
ENGINES = 600
INSTANCES = 2 * NODES + ENGINES
ROUTES = 68_000
CELLS = 30
CELL_ENGINES = ENGINES // CELLS
REQUESTS_PER_S = 3100
CLAIMS_PER_S = 150
RETAINED_CLAIMS = CLAIMS_PER_S * 86_400
CLAIM_SHARDS = 16
EDITS_PER_S = 890 / 86_400
GATEWAY_LIST_PERIOD_S = 1.0
SCHEDULER_LIST_PERIOD_S = 5.0
RECONCILES_PER_S = 4
PEER_LINKS = 6
"""Mean number per scheduler: three outgoing and three incoming links."""

Fits = Mapping[str, series.Fit]


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One figure at the size projected for two years ahead.

    Attributes:
        description: Description of the figure.
        unit: Unit of the value.
        value: The projected value.
    """

    description: str
    unit: str
    value: float


def project(fits: Fits) -> tuple[Figure, ...]:
    """Returns all figures; the fits must come from a complete run.

    Raises:
        KeyError: The fit of a series is missing.
    """
    return (
        *_project_tables(fits),
        *_project_links(fits),
        *_project_lists(fits),
        *_project_cells(fits),
        *_project_claims(fits),
        *_project_calls(fits),
    )


def _evaluate(fits: Fits, name: str, size: float) -> float:
    """Returns the value of a fitted line at a size."""
    return fits[name].slope * size + fits[name].intercept


def _project_tables(fits: Fits) -> tuple[Figure, ...]:
    edit_bytes = _evaluate(fits, "stored head", ROUTES) + _evaluate(
        fits, "stored shard", ROUTES
    )
    edit_us = _evaluate(fits, "processor time of an edit", ROUTES)
    return (
        Figure(
            "tables in memory, a process",
            "MB",
            _evaluate(fits, "memory of tables", ROUTES) / 1e6,
        ),
        Figure(
            "stored tables",
            "MB",
            _evaluate(fits, "stored shards and pools", ROUTES) / 1e6,
        ),
        Figure("an edit, a process", "KB", edit_bytes / 1e3),
        Figure("edits, a process", "B/s", edit_bytes * EDITS_PER_S),
        Figure("an edit, a process", "ms", edit_us / 1e3),
    )


def _project_links(fits: Fits) -> tuple[Figure, ...]:
    figures: list[Figure] = []
    for count, label in ((NODES, "all schedulers"), (CELLS, "30 owners")):
        peer_name = "an idle scheduler" if count == NODES else "an owner"
        prefix = f"links to {peer_name}"
        sent = fits[f"{prefix}: gateways send"].slope * count
        received = fits[f"{prefix}: scheduler sends"].slope * count
        cpu_time = fits[f"{prefix}: processor time"].slope / 2 * count
        held_bytes = fits["memory of links, one end"].slope * count
        figures += [
            Figure(f"gateway linked to {label}: sends", "B/s", sent),
            Figure(f"gateway linked to {label}: receives", "B/s", received),
            Figure(
                f"gateway linked to {label}: processor", "% core", cpu_time / 10
            ),
            Figure(
                f"gateway linked to {label}: memory", "MB", held_bytes / 1e6
            ),
        ]
    sent = fits["links to an owner: scheduler sends"].slope
    received = fits["links to an owner: gateways send"].slope
    cpu_time = fits["links to an owner: processor time"].slope / 2
    held_bytes = fits["memory of links, one end"].slope
    peer = fits["links to an idle scheduler: scheduler sends"].slope
    return (
        *figures,
        Figure("owner with all gateways: sends", "B/s", sent * NODES),
        Figure("owner with all gateways: receives", "B/s", received * NODES),
        Figure("owner with all gateways: processor", "% core", cpu_time * 33),
        Figure(
            "owner with all gateways: memory", "MB", held_bytes * NODES / 1e6
        ),
        Figure("scheduler's peers: sends", "B/s", peer * PEER_LINKS),
    )


def _project_lists(fits: Fits) -> tuple[Figure, ...]:
    size = _evaluate(fits, "instance list: a read", INSTANCES)
    cpu_time = _evaluate(
        fits, "instance list: processor time of a read", INSTANCES
    )
    owners = _evaluate(fits, "processor time of finding owners", NODES)
    return (
        Figure("instance list: a read", "KB", size / 1e3),
        Figure(
            "instance list: gateway", "KB/s", size / GATEWAY_LIST_PERIOD_S / 1e3
        ),
        Figure(
            "instance list: scheduler",
            "KB/s",
            size / SCHEDULER_LIST_PERIOD_S / 1e3,
        ),
        Figure(
            "instance list: gateway's processor",
            "% core",
            cpu_time / GATEWAY_LIST_PERIOD_S / 1e4,
        ),
        Figure(
            "finding owners: scheduler's processor",
            "% core",
            owners * RECONCILES_PER_S / 1e4,
        ),
    )


def _project_cells(fits: Fits) -> tuple[Figure, ...]:
    grant = _evaluate(fits, "processor time of a grant", CELL_ENGINES)
    rate = REQUESTS_PER_S / CELLS
    exchange = fits["grants: processor time"].slope / 2
    share = REQUESTS_PER_S / NODES
    size = fits["grants: both ways"].slope
    return (
        Figure(
            "a cell in memory",
            "MB",
            _evaluate(fits, "memory of a cell", CELL_ENGINES) / 1e6,
        ),
        Figure(
            "1,024 waiting requests",
            "MB",
            _evaluate(fits, "memory of waiting requests", 1024) / 1e6,
        ),
        Figure("owner: a grant's decision", "ms", grant / 1e3),
        Figure(
            "owner: grants of a cell", "% core", (grant + exchange) * rate / 1e4
        ),
        Figure("gateway: grants' messages", "% core", exchange * share / 1e4),
        Figure("gateway: grants' messages", "KB/s", size * share / 1e3),
        Figure("owner: grants' messages", "KB/s", size * rate / 1e3),
    )


def _project_claims(fits: Fits) -> tuple[Figure, ...]:
    claims_per_shard = RETAINED_CLAIMS / CLAIM_SHARDS
    segments = claims_per_shard / 16_000 + 64
    rate = CLAIMS_PER_S / 4
    name = "claims, one committer a shard"
    head = _evaluate(fits, "claim head written", segments)
    commits = CLAIMS_PER_S / CLAIM_SHARDS
    return (
        Figure(
            "keys of one claim shard",
            "MB",
            _evaluate(fits, "memory of claim keys", claims_per_shard) / 1e6,
        ),
        Figure("segments of one claim shard", "segments", segments),
        Figure("claim head written", "KB", head / 1e3),
        Figure("claim heads, one shard", "KB/s", head * commits / 1e3),
        Figure(
            "claims: writes",
            "calls/s",
            _evaluate(fits, f"{name}: writes", rate),
        ),
        Figure(
            "claims: latency, 95 in 100",
            "s",
            _evaluate(fits, f"{name}: latency, 95 in 100", rate),
        ),
        Figure(
            "start of all claim shards: reads",
            "calls",
            CLAIM_SHARDS
            * _evaluate(fits, "reads of a shard's start", segments),
        ),
    )


def _project_calls(fits: Fits) -> tuple[Figure, ...]:
    watches = fits["rest: watches in a watch's period"].slope
    reads = fits["edit: reads"].slope + fits["edit: watches"].slope
    shards = fits["restart of 8: reads"].slope / 8
    restart = PROCESSES * (3 + shards * 512)
    everywhere = _evaluate(fits, "edit in force everywhere", PROCESSES)
    return (
        Figure("rest: watches", "calls/s", watches * PROCESSES / 30.15),
        Figure("an edit: reads and watches", "calls", reads * PROCESSES),
        Figure("an edit everywhere, one loop for all", "s", everywhere),
        Figure("restart of all, no peers: reads", "calls", restart),
        Figure("restart of all, no peers: at 2,000/s", "s", restart / 2000),
    )
