"""Announces digests and loads to a connected gateway."""

from collections.abc import Callable
from collections.abc import Iterable

import anyio

from tamaracktide.peering import update_filters
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.scheduler import gateways
from tamaracktide.scheduler import settings as scheduler_settings

LOADS_REFRESH_S = 5.0


async def send_digests(
    gateway: gateways.Gateway,
    make_digest: Callable[[], messages.Digest],
    periods: scheduler_settings.PeriodSettings,
) -> None:
    """Sends digests on changes and periodically until cancelled."""
    update_filter = update_filters.DigestFilter(periods.digest_refresh_s)
    while True:
        digest = update_filter.next(make_digest(), anyio.current_time())
        if digest is not None:
            gateway.send(digest)
        await anyio.sleep(periods.digest_s)


def make_loads_reader(
    list_loads: Callable[[], Iterable[messages.CellLoad]],
) -> heartbeats.LoadsReader:
    """Returns a reader of the loads for one gateway's heartbeats."""
    update_filter = update_filters.LoadFilter(LOADS_REFRESH_S)

    def read_loads() -> tuple[messages.CellLoad, ...]:
        return update_filter.next(list_loads(), anyio.current_time())

    return read_loads
