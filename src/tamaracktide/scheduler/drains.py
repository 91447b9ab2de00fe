"""Watches the operators' drains, stored as objects `drains/INSTANCE`."""

from collections.abc import Callable

import anyio

from tamaracktide import errors
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.scheduler import settings as scheduler_settings

PREFIX = "drains/"
RETRY_S = 1.0


async def follow_drains(
    objects: object_store.ObjectStore,
    settings: scheduler_settings.PeriodSettings,
    on_change: Callable[[frozenset[str]], None],
) -> None:
    """Reports the drained instances on every change, until cancelled.

    The last read drains stay in effect while the platform is unavailable.
    """
    while True:
        try:
            since = await _list_drains(objects, on_change)
            await _wait_for_change(objects, settings, since)
        except errors.PlatformError as error:
            logs.bind(code=error.code.value).warning(
                "reading drains failed, keeping the last list: {}", error.detail
            )
            await anyio.sleep(RETRY_S)


async def _list_drains(
    objects: object_store.ObjectStore,
    on_change: Callable[[frozenset[str]], None],
) -> int:
    listing = await objects.list(PREFIX)
    on_change(
        frozenset(item.key.removeprefix(PREFIX) for item in listing.items)
    )
    return listing.version


async def _wait_for_change(
    objects: object_store.ObjectStore,
    settings: scheduler_settings.PeriodSettings,
    since: int,
) -> None:
    while True:
        timeout_s = settings.drains_watch_s
        result = await objects.watch(PREFIX, since, timeout_s)
        if result.changes or result.reset:
            return
        since = result.version
