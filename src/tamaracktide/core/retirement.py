"""Retirement of adapter slots, which get no new grants until they are idle.

Slots of customers over their share are retired in favor of adapters for which
no slot is free.
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
    """Chooses the slots to retire; running requests on them continue."""

    def __init__(
        self, inventory_: inventory.Inventory, queue: fairness.FairQueue
    ) -> None:
        """Creates an instance without retiring slots."""
        self._inventory = inventory_
        self._queue = queue
        self._retiring: list[cell_state.Slot] = []

    def update(
        self,
        starved: list[fairness.GroupKey],
        fair_shares: fairness.FairShares,
        list_loadable: ListLoadable,
        now: float,
    ) -> None:
        """Retires slots for starved adapters; reinstates them afterwards.

        Args:
            starved: Waiting groups for which no slot is free.
            fair_shares: Current fair shares.
            list_loadable: Returns the engines that may load an adapter.
            now: Current time, seconds.
        """
        surplus = self._find_surplus(fair_shares) if fair_shares.scarce else []
        self._retire(surplus)
        if not starved and not surplus:
            self._reinstate()
            return
        for group_key in starved[len(self._retiring) :]:
            engines = list_loadable(group_key.key, group_key.avoid, now)
            slot = self._find_slot(engines, fair_shares)
            if slot is None:
                return
            self._retire([slot])

    def _retire(self, slots: list[cell_state.Slot]) -> None:
        for slot in slots:
            slot.retiring = True
            self._retiring.append(slot)

    def _reinstate(self) -> None:
        """Allows new grants on the retiring slots again."""
        for slot in self._retiring:
            slot.retiring = False
        self._retiring.clear()

    def _find_slot(
        self, engines: list[cell_state.Engine], fair_shares: fairness.FairShares
    ) -> cell_state.Slot | None:
        """Returns a slot to retire for a starved adapter, or None.

        Slots of customers over their share come first, then those with the
        fewest grants. A slot of a customer within its share is not retired
        while requests wait for its adapter.
        """
        best: cell_state.Slot | None = None
        best_rank = (True, 0)
        for engine in engines:
            if not engine.evictable or _is_retiring(engine):
                continue
            for slot in engine.slots.values():
                within = not self._exceeds(slot.customer, fair_shares)
                if not _can_retire(slot) or (
                    within and self._queue.count_waiting(slot.key)
                ):
                    continue
                rank = (within, slot.pins)
                if best is None or rank < best_rank:
                    best, best_rank = slot, rank
        return best

    def _find_surplus(
        self, fair_shares: fairness.FairShares
    ) -> list[cell_state.Slot]:
        """Returns surplus slots of customers over their share.

        On an engine with fewer idle slots than the headroom, all such
        customers together keep one slot and the others are retired in turn.
        """
        surplus = []
        for engine in self._inventory.list_usable():
            if engine.idle_slots >= engine.slot_headroom:
                continue
            if not engine.evictable or _is_retiring(engine):
                continue
            over_share = [
                slot
                for slot in engine.slots.values()
                if _can_retire(slot)
                and slot.pins
                and self._exceeds(slot.customer, fair_shares)
            ]
            if len(over_share) > 1:
                surplus.append(min(over_share, key=lambda slot: slot.pins))
        return surplus

    def _exceeds(self, customer: str, fair_shares: fairness.FairShares) -> bool:
        account = self._queue.accounts.get(customer)
        return account is not None and fair_shares.is_exceeded_by(account)


def _is_retiring(engine: cell_state.Engine) -> bool:
    return any(slot.retiring for slot in engine.slots.values())


def _can_retire(slot: cell_state.Slot) -> bool:
    return slot.state is cell_state.SlotState.READY and not slot.remote
