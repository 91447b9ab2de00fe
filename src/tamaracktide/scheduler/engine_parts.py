"""Dependencies of an engine controller."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from tamaracktide.core import cell_events
from tamaracktide.protocol import messages
from tamaracktide.scheduler import ownership_manager
from tamaracktide.scheduler import settings as scheduler_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as engine_client


class Phase(enum.Enum):
    """What this scheduler can do with the engine.

    `ACQUIRING` acquires the ownership; `OWNED_ELSEWHERE` has another owner.
    `READING` is owned, but its state and outstanding grants are not yet read.
    `LIVE` accepts grants and orders. `UNRESPONSIVE` is owned and considered
    lost.
    """

    ACQUIRING = "taking"
    OWNED_ELSEWHERE = "elsewhere"
    READING = "reading"
    LIVE = "live"
    UNRESPONSIVE = "silent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineParts:
    """Dependencies of an engine controller.

    Attributes:
        settings: The scheduler's settings.
        client: Client for engine APIs.
        upstream_client: HTTP client with the connections that `client` uses.
        feed: Passes an event to the cell.
        collect: Returns the outstanding grants on an engine that gateways
            report to its owner of an epoch.
        list_missing: Returns the gateways that have not reported their
            outstanding grants on an engine to its owner of an epoch.
    """

    settings: scheduler_settings.SchedulerSettings
    client: engine_client.EngineClient
    upstream_client: calls.UpstreamClient
    feed: Callable[[cell_events.CellEvent], None]
    collect: Callable[
        [str, int], Awaitable[tuple[messages.OutstandingGrant, ...]]
    ]
    list_missing: Callable[[str, int], list[str]]


class OwnershipManagerFactory(Protocol):
    """Creates the ownership manager of an upstream."""

    def __call__(
        self, upstream: str, listener: ownership_manager.Listener
    ) -> ownership_manager.OwnershipManager:
        """Returns a manager that notifies the listener."""
