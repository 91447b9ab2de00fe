"""Dependencies that the cell controllers of a scheduler share."""

import dataclasses

import anyio.abc

from tamaracktide.core import randomness
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.scheduler import engine_parts
from tamaracktide.scheduler import gateways
from tamaracktide.scheduler import grant_confirmer
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellParts:
    """Dependencies of a cell controller, shared by all cells.

    Attributes:
        settings: The scheduler's settings.
        client: Client for engine APIs.
        upstream_client: HTTP client with the connections that `client` uses.
        gateways: The connected gateways.
        confirmer: Requests outstanding grants from gateways after a takeover.
        metrics: Metrics of the scheduler.
        make_ownership_manager: Creates the ownership manager of an upstream.
        rng: Random source for ids and jitter.
        tasks: Task group of the cells' background tasks.
    """

    settings: scheduler_settings.SchedulerSettings
    client: engine_client.EngineClient
    upstream_client: calls.UpstreamClient
    gateways: gateways.Gateways
    confirmer: grant_confirmer.GrantConfirmer
    metrics: metrics_module.Metrics
    make_ownership_manager: engine_parts.OwnershipManagerFactory
    rng: randomness.Random
    tasks: anyio.abc.TaskGroup
