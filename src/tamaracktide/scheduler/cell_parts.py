"""What the shells of all cells of a scheduler share."""

import dataclasses

import anyio.abc

from tamaracktide.core import randomness
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.scheduler import confirming
from tamaracktide.scheduler import engine_parts
from tamaracktide.scheduler import gateways
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellParts:
    """What all cells of a scheduler share.

    Attributes:
        settings: The scheduler's settings.
        client: Client of engines.
        caller: Connections of that client.
        gateways: The gateways.
        confirmer: Asks gateways for their grants after a takeover.
        metrics: Instruments.
        make_keeper: Builds the ownership shell of an upstream.
        rng: Source of ids and jitter.
        tasks: Runs the cells' tasks.
    """

    settings: scheduler_settings.SchedulerSettings
    client: engine_client.EngineClient
    caller: calls.Caller
    gateways: gateways.Gateways
    confirmer: confirming.Confirmer
    metrics: metrics_module.Metrics
    make_keeper: engine_parts.KeeperMaker
    rng: randomness.Random
    tasks: anyio.abc.TaskGroup
