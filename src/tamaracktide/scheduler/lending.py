"""Divides, lends and borrows the weight store's load rate."""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import uuid

from tamaracktide.core import rows
from tamaracktide.core import shares
from tamaracktide.protocol import peer_messages
from tamaracktide.scheduler import settings as scheduler_settings

MIN_REQUEST_INTERVAL_S = 1.0


class Lending:
    """Manages this scheduler's share of the weight store's load rate."""

    def __init__(self, settings: scheduler_settings.SchedulerSettings) -> None:
        """Creates an instance without cells."""
        self._store = settings.store
        self._shares = shares.Shares(settings.shares)
        self._needs: dict[str, float] = {}
        self._requested_at = -math.inf

    def update(
        self,
        cells: Iterable[rows.CellId],
        needs: Mapping[rows.CellId, float],
        now: float,
    ) -> dict[rows.CellId, scheduler_settings.StoreSettings]:
        """Returns the share of each owned cell.

        Args:
            cells: All cells of the deployment.
            needs: Relative need for loads of each owned cell.
            now: Current time in seconds.
        """
        bases = _divide_limit(self._store.loads_per_s, set(cells) | set(needs))
        owned = {cell.text: bases[cell] for cell in needs}
        self._shares.set_bases(owned, now)
        self._needs = {cell.text: need for cell, need in needs.items()}
        allotments = self._shares.divide(self._needs, now)
        return {cell: self._make_share(allotments[cell.text]) for cell in needs}

    def find_initial_share(
        self, cell: rows.CellId, cells: Iterable[rows.CellId]
    ) -> scheduler_settings.StoreSettings:
        """Returns the initial share of a newly owned cell."""
        bases = _divide_limit(self._store.loads_per_s, {cell, *cells})
        return self._make_share(bases[cell] * self._shares.kept)

    def make_request(self, now: float) -> peer_messages.ShareRequest | None:
        """Returns a request for a loan, or None if none is due.

        None is due while no owned cell needs loads, and for
        `MIN_REQUEST_INTERVAL_S` after the last request.
        """
        if not any(self._needs.values()):
            return None
        if now - self._requested_at < MIN_REQUEST_INTERVAL_S:
            return None
        self._requested_at = now
        ask_id = uuid.uuid4().hex
        self._shares.record_request(ask_id, now)
        return peer_messages.ShareRequest(
            ask_id=ask_id, loads_per_s=self._store.loads_per_s
        )

    def make_offer(
        self, request: peer_messages.ShareRequest, now: float
    ) -> peer_messages.ShareOffer | None:
        """Returns an offer of rate that no owned cell needs, or None."""
        if any(self._needs.values()):
            return None
        offer = self._shares.lend(request.ask_id, request.loads_per_s, now)
        if offer is None:
            return None
        return peer_messages.ShareOffer(
            offer_id=offer.ask_id,
            loads_per_s=offer.amount,
            in_flight=self._make_share(offer.amount).in_flight,
            duration_s=offer.duration_s,
        )

    def accept_offer(self, offer: peer_messages.ShareOffer, now: float) -> None:
        """Accepts an offered loan."""
        self._shares.accept_offer(
            shares.Offer(offer.offer_id, offer.loads_per_s, offer.duration_s),
            now,
        )

    def _make_share(self, amount: float) -> scheduler_settings.StoreSettings:
        in_flight = self._store.in_flight * amount / self._store.loads_per_s
        return scheduler_settings.StoreSettings(
            loads_per_s=amount, in_flight=in_flight
        )


def _divide_limit(
    limit: float, cells: set[rows.CellId]
) -> dict[rows.CellId, float]:
    """Divides the limit equally over zones, then over each zone's cells."""
    zones: dict[str, list[rows.CellId]] = {}
    for cell in cells:
        zones.setdefault(cell.zone, []).append(cell)
    return {
        cell: limit / len(zones) / len(zone_cells)
        for zone_cells in zones.values()
        for cell in zone_cells
    }
