"""Components of a cell that granting and load planning share."""

import dataclasses

from tamaracktide.core import admission
from tamaracktide.core import cell_settings
from tamaracktide.core import estimates
from tamaracktide.core import fairness
from tamaracktide.core import inventory
from tamaracktide.core import loading
from tamaracktide.core import placement
from tamaracktide.core import randomness


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellParts:
    """State and policies that granting and load planning use.

    Attributes:
        settings: The cell's settings.
        rng: Random number generator.
        inventory: Engines, adapter slots, loads and grants.
        queue: Waiting requests by customer.
        estimates: Estimated durations of loads and requests.
        budget: The cell's share of the weight store's load rate.
        placer: Chooses engines and adapter slots.
        admission: Predicts waits and refuses requests.
    """

    settings: cell_settings.CellSettings
    rng: randomness.Random
    inventory: inventory.Inventory
    queue: fairness.FairQueue
    estimates: estimates.Estimates
    budget: loading.LoadBudget
    placer: placement.Placer
    admission: admission.Admission

    def make_id(self, kind: str) -> str:
        """Returns an id that is unique across all owners of the cell."""
        return f"{kind}{self.rng.getrandbits(64):016x}"


def make_parts(
    settings: cell_settings.CellSettings, rng: randomness.Random
) -> CellParts:
    """Returns the components of a cell without engines."""
    inventory_ = inventory.Inventory()
    queue = fairness.FairQueue()
    estimates_ = estimates.Estimates(settings)
    budget = loading.LoadBudget(settings.loads_per_s, settings.loads_in_flight)
    return CellParts(
        settings=settings,
        rng=rng,
        inventory=inventory_,
        queue=queue,
        estimates=estimates_,
        budget=budget,
        placer=placement.Placer(
            settings, inventory_, queue, estimates_, budget, rng
        ),
        admission=admission.Admission(
            settings, inventory_, queue, estimates_, rng
        ),
    )
