"""What the shell of an engine works with."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from tamaracktide.core import cell_events
from tamaracktide.protocol import messages
from tamaracktide.scheduler import keeper as keeper_module
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client


class Phase(enum.Enum):
    """What this scheduler can do with the engine."""

    ACQUIRING = "taking"
    ELSEWHERE = "elsewhere"
    READING = "reading"
    LIVE = "live"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineParts:
    """What an engine's shell works with.

    Attributes:
        settings: The scheduler's settings.
        client: Client of engines.
        caller: Connections of that client.
        feed: Hands an event to the cell.
        collect: Returns the gateways' grants in use on an engine.
        list_missing: Returns the gateways that have not told their grants
            in use on an engine to its owner of an epoch.
    """

    settings: scheduler_settings.SchedulerSettings
    client: engine_client.EngineClient
    caller: calls.Caller
    feed: Callable[[cell_events.CellEvent], None]
    collect: Callable[
        [str, int], Awaitable[tuple[messages.OutstandingGrant, ...]]
    ]
    list_missing: Callable[[str, int], list[str]]


class KeeperMaker(Protocol):
    """Builds the keeper of an upstream."""

    def __call__(
        self, upstream: str, listener: keeper_module.Listener
    ) -> keeper_module.Keeper:
        """Returns a keeper that tells the listener."""
