"""What an instance believes each engine to hold.

Engines tell it in the store, some seconds late; the holder of the cell's
lease tells it at once. The account with more accepted orders wins.
"""

import dataclasses

from tamaracktide.core import upstream_entries
from tamaracktide.protocol import entry_messages

TOLD_S = 3.0
"""Time for which a holder's account goes before an engine's entry, which is
up to a heartbeat and a watch older."""


@dataclasses.dataclass(slots=True)
class AdapterView:
    """An adapter of an engine.

    Attributes:
        version: Its version; 0 if it is not known.
        ready_at: When it can be used, seconds.
    """

    version: int
    ready_at: float = 0.0


@dataclasses.dataclass(slots=True)
class EngineView:
    """An engine's models and adapters.

    Attributes:
        started_ms: Lifetime of the engine.
        orders: Orders that it has accepted.
        told_at: When the holder of its cell last told of it, seconds.
        models: Adapters by model.
    """

    started_ms: int = 0
    orders: int = -1
    told_at: float = float("-inf")
    models: dict[str, dict[str, AdapterView]] = dataclasses.field(
        default_factory=dict
    )


class EngineViews:
    """The views of all engines, by instance id."""

    def __init__(self) -> None:
        """Starts without any."""
        self._views: dict[str, EngineView] = {}

    def find(self, upstream: str) -> EngineView:
        """Returns the view of an engine, an empty one if it is not known."""
        return self._views.setdefault(upstream, EngineView())

    def apply_entry(
        self, entry: upstream_entries.UpstreamEntry, now: float
    ) -> None:
        """Takes in what an engine tells in the store."""
        view = self.find(entry.upstream)
        told_lately = now < view.told_at + TOLD_S
        if entry.started_ms < view.started_ms:
            return
        if entry.started_ms == view.started_ms and told_lately:
            return
        self._views[entry.upstream] = EngineView(
            entry.started_ms,
            entry.orders,
            models={
                model: {
                    adapter: AdapterView(version)
                    for adapter, version in adapters.items()
                }
                for model, adapters in entry.models.items()
            },
        )

    def apply_notice(
        self, told: entry_messages.EngineNotice, now: float
    ) -> None:
        """Takes in what the holder of the engine's cell tells."""
        view = self.find(told.upstream)
        if (told.started_ms, told.orders) < (view.started_ms, view.orders):
            return
        models: dict[str, dict[str, AdapterView]] = {
            model: {} for model in told.models
        }
        for one in told.adapters:
            models.setdefault(one.model, {})[one.adapter] = AdapterView(
                one.version, now + one.ready_in_s if one.ready_in_s else 0.0
            )
        self._views[told.upstream] = EngineView(
            told.started_ms, told.orders, now, models
        )

    def forget(self, upstream: str) -> None:
        """Forgets an engine that is gone."""
        self._views.pop(upstream, None)
