"""Adapter slots of an engine, without I/O."""

import dataclasses
import enum

from tamaracktide.core import rows


class LoadStart(enum.Enum):
    """What begins when an adapter is to be loaded."""

    RESERVED = "reserved"
    ALREADY_LOADED = "already loaded"
    IN_PROGRESS = "in progress"
    NAME_TAKEN = "name taken"
    NO_FREE_SLOT = "no free slot"


class Unload(enum.Enum):
    """What became of an unload order."""

    DONE = "done"
    NOT_LOADED = "not loaded"
    IN_USE = "in use"


@dataclasses.dataclass(slots=True)
class LoadedAdapter:
    """An adapter in a slot.

    Attributes:
        lora_name: Name that requests use.
        key: Adapter and version.
        loading: Whether the load is still under way.
        running: Requests accepted and not ended.
    """

    lora_name: str
    key: rows.AdapterKey
    loading: bool = True
    running: int = 0


class AdapterSlots:
    """A few slots, filled and emptied by orders."""

    def __init__(self, slots: int) -> None:
        """Builds empty slots."""
        self._slots = slots
        self._adapters: dict[str, LoadedAdapter] = {}

    def find(self, lora_name: str) -> LoadedAdapter | None:
        """Returns a loaded adapter, None if missing or still loading."""
        adapter = self._adapters.get(lora_name)
        return None if adapter is None or adapter.loading else adapter

    def list_loaded(self) -> list[LoadedAdapter]:
        """Returns the loaded adapters."""
        return [a for a in self._adapters.values() if not a.loading]

    def begin_load(self, lora_name: str, key: rows.AdapterKey) -> LoadStart:
        """Reserves a slot, unless the name is in a slot or none is free."""
        present = self._adapters.get(lora_name)
        if present is not None and present.key != key:
            return LoadStart.NAME_TAKEN
        if present is not None and present.loading:
            return LoadStart.IN_PROGRESS
        if present is not None:
            return LoadStart.ALREADY_LOADED
        if len(self._adapters) >= self._slots:
            return LoadStart.NO_FREE_SLOT
        self._adapters[lora_name] = LoadedAdapter(lora_name, key)
        return LoadStart.RESERVED

    def end_load(self, lora_name: str, *, loaded: bool) -> None:
        """Fills or frees a reserved slot."""
        if loaded:
            self._adapters[lora_name].loading = False
        else:
            del self._adapters[lora_name]

    def unload(self, lora_name: str) -> Unload:
        """Frees the slot of an adapter that no request uses."""
        adapter = self.find(lora_name)
        if adapter is None:
            return Unload.NOT_LOADED
        if adapter.running:
            return Unload.IN_USE
        del self._adapters[lora_name]
        return Unload.DONE
