"""Adapter slots of an engine, without I/O."""

import dataclasses
import enum

from tamaracktide.core import rows


class LoadStartResult(enum.Enum):
    """Result of `AdapterSlots.begin_load`."""

    RESERVED = "reserved"
    ALREADY_LOADED = "already loaded"
    IN_PROGRESS = "in progress"
    NAME_TAKEN = "name taken"
    NO_FREE_SLOT = "no free slot"


class UnloadResult(enum.Enum):
    """Result of `AdapterSlots.unload`."""

    DONE = "done"
    NOT_LOADED = "not loaded"
    IN_USE = "in use"


@dataclasses.dataclass(slots=True)
class LoadedAdapter:
    """An adapter that occupies a slot.

    Attributes:
        lora_name: Model name by which requests select the adapter.
        key: Adapter name and version.
        loading: Whether the load is still in progress.
        running: Number of unfinished requests that use the adapter.
    """

    lora_name: str
    key: rows.AdapterKey
    loading: bool = True
    running: int = 0


class AdapterSlots:
    """A fixed number of adapter slots, changed by load and unload orders."""

    def __init__(self, slots: int) -> None:
        """Builds empty slots."""
        self._slots = slots
        self._adapters: dict[str, LoadedAdapter] = {}

    def find(self, lora_name: str) -> LoadedAdapter | None:
        """Returns a loaded adapter; None if absent or still loading."""
        adapter = self._adapters.get(lora_name)
        return None if adapter is None or adapter.loading else adapter

    def list_loaded(self) -> list[LoadedAdapter]:
        """Returns the loaded adapters."""
        return [a for a in self._adapters.values() if not a.loading]

    def begin_load(
        self, lora_name: str, key: rows.AdapterKey
    ) -> LoadStartResult:
        """Reserves a slot unless the name is in use or no slot is free."""
        current = self._adapters.get(lora_name)
        if current is not None and current.key != key:
            return LoadStartResult.NAME_TAKEN
        if current is not None and current.loading:
            return LoadStartResult.IN_PROGRESS
        if current is not None:
            return LoadStartResult.ALREADY_LOADED
        if len(self._adapters) >= self._slots:
            return LoadStartResult.NO_FREE_SLOT
        self._adapters[lora_name] = LoadedAdapter(lora_name, key)
        return LoadStartResult.RESERVED

    def end_load(self, lora_name: str, *, loaded: bool) -> None:
        """Marks a reserved slot as loaded, or frees it after a failure."""
        if loaded:
            self._adapters[lora_name].loading = False
        else:
            del self._adapters[lora_name]

    def unload(self, lora_name: str) -> UnloadResult:
        """Unloads an adapter unless a request uses it."""
        adapter = self.find(lora_name)
        if adapter is None:
            return UnloadResult.NOT_LOADED
        if adapter.running:
            return UnloadResult.IN_USE
        del self._adapters[lora_name]
        return UnloadResult.DONE
