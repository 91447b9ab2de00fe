"""Frees slots in use: no new request is granted on them until they are idle.

Slots of customers beyond their share give way to adapters of customers that
find no slot at all.
"""

from collections.abc import Callable

from tamaracktide.core import cell_state
from tamaracktide.core import fairness
from tamaracktide.core import inventory
from tamaracktide.core import rows

ListLoadable = Callable[
    [rows.AdapterKey, tuple[str, ...], float], list[cell_state.Engine]
]


class Retirement:
    """Chooses the slots that retire; they stay pinned while in use."""

    def __init__(
        self, inventory_: inventory.Inventory, queue: fairness.FairQueue
    ) -> None:
        """Starts without retiring slots."""
        self._inventory = inventory_
        self._queue = queue
        self._retiring: list[cell_state.Slot] = []

    def update(
        self,
        starved: list[fairness.GroupKey],
        levels: fairness.Levels,
        list_loadable: ListLoadable,
        now: float,
    ) -> None:
        """Frees slots for adapters that found none; undoes it afterwards.

        Args:
            starved: Waiting groups that found no slot.
            levels: Present shares.
            list_loadable: Returns the engines that may load an adapter.
            now: Present time, seconds.
        """
        surplus = self._find_surplus(levels) if levels.scarce else []
        self._retire(surplus)
        if not starved and not surplus:
            self._reinstate()
            return
        for group_key in starved[len(self._retiring) :]:
            engines = list_loadable(group_key.key, group_key.avoid, now)
            slot = self._find_slot(engines, levels)
            if slot is None:
                return
            self._retire([slot])

    def _retire(self, slots: list[cell_state.Slot]) -> None:
        for slot in slots:
            slot.retiring = True
            self._retiring.append(slot)

    def _reinstate(self) -> None:
        """Lets retiring slots that are still in use be granted again."""
        for slot in self._retiring:
            slot.retiring = False
        self._retiring.clear()

    def _find_slot(
        self, engines: list[cell_state.Engine], levels: fairness.Levels
    ) -> cell_state.Slot | None:
        """Returns a slot to free for an adapter that finds none, or None.

        Slots of customers beyond their share go first, then those with the
        fewest requests; none that is needed by a customer within its share.
        """
        best: cell_state.Slot | None = None
        best_rank = (True, 0)
        for engine in engines:
            if not engine.evictable or _is_retiring(engine):
                continue
            for slot in engine.slots.values():
                within = not self._exceeds(slot.customer, levels)
                if not _may_retire(slot) or (
                    within and self._queue.count_waiting(slot.key)
                ):
                    continue
                rank = (within, slot.pins)
                if best is None or rank < best_rank:
                    best, best_rank = slot, rank
        return best

    def _find_surplus(self, levels: fairness.Levels) -> list[cell_state.Slot]:
        """Returns slots by which customers beyond their share crowd engines.

        Where fewer slots are unused than are reserved, such customers
        together keep one slot and give the others back.
        """
        surplus = []
        for engine in self._inventory.list_usable():
            if engine.idle_slots >= engine.reserved_slots:
                continue
            if not engine.evictable or _is_retiring(engine):
                continue
            beyond = [
                slot
                for slot in engine.slots.values()
                if _may_retire(slot)
                and slot.pins
                and self._exceeds(slot.customer, levels)
            ]
            if len(beyond) > 1:
                surplus.append(min(beyond, key=lambda slot: slot.pins))
        return surplus

    def _exceeds(self, customer: str, levels: fairness.Levels) -> bool:
        account = self._queue.accounts.get(customer)
        return account is not None and levels.limits(account)


def _is_retiring(engine: cell_state.Engine) -> bool:
    return any(slot.retiring for slot in engine.slots.values())


def _may_retire(slot: cell_state.Slot) -> bool:
    return slot.state is cell_state.SlotState.READY and not slot.foreign
