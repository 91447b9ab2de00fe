"""Event loop with fewer system calls.

The standard selector polls before every turn of the loop, also while callbacks
are ready, and changes the kernel's interest list whenever a stream pauses and
resumes reading, which anyio does around each received chunk. For a process
that forwards many short events, these calls cost more than its own code.
"""

import asyncio
from collections.abc import Mapping
import math
import select
import selectors
from typing import Any
from typing import Protocol
from typing import TypeAlias

MAX_SKIPPED_POLLS = 8
"""Number of turns in a row that may run ready callbacks without a poll, which
bounds the delay of input that arrives meanwhile."""

_MS_PER_S = 1e3


class _File(Protocol):
    def fileno(self) -> int:
        """Returns the descriptor."""


FileLike: TypeAlias = int | _File
"""A descriptor, or an object that has one."""


class LazySelector(selectors.BaseSelector):
    """An epoll selector that avoids calls which rarely have an effect.

    A poll that must not wait is skipped up to `MAX_SKIPPED_POLLS` times in a
    row. An unregistered descriptor stays in the kernel's interest list until an
    event arrives for it.
    """

    def __init__(self) -> None:
        """Creates a selector without descriptors."""
        self._epoll = select.epoll()
        self._keys: dict[int, selectors.SelectorKey] = {}
        self._listed: set[int] = set()
        self._skipped = 0

    def register(
        self, fileobj: FileLike, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """Registers a descriptor or an object that has one.

        Raises:
            KeyError: It is registered already.
        """
        descriptor = _get_descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{fileobj!r} is registered already")
        mask = _make_mask(events)
        if descriptor in self._listed:
            self._list_again(descriptor, mask)
        else:
            self._epoll.register(descriptor, mask)
            self._listed.add(descriptor)
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        return key

    def unregister(self, fileobj: FileLike) -> selectors.SelectorKey:
        """Unregisters a descriptor.

        Raises:
            KeyError: It is not registered.
        """
        return self._keys.pop(_get_descriptor(fileobj))

    def modify(
        self, fileobj: FileLike, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """Changes the events or the data of a registered descriptor.

        Raises:
            KeyError: It is not registered.
        """
        descriptor = _get_descriptor(fileobj)
        known = self._keys[descriptor]
        if events != known.events:
            self._epoll.modify(descriptor, _make_mask(events))
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        return key

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits for events.

        Args:
            timeout: Longest wait, seconds; 0 or less for none, None for no
                limit.
        """
        if timeout is not None and timeout <= 0:
            if self._skipped < MAX_SKIPPED_POLLS:
                self._skipped += 1
                return []
            timeout = 0.0
        self._skipped = 0
        if timeout is not None:
            timeout = math.ceil(timeout * _MS_PER_S) / _MS_PER_S
        ready: list[tuple[selectors.SelectorKey, int]] = []
        try:
            polled = self._epoll.poll(timeout, max(1, len(self._listed)))
        except InterruptedError:
            return ready
        for descriptor, mask in polled:
            key = self._keys.get(descriptor)
            if key is None:
                self._drop(descriptor)
                continue
            events = _get_events(mask) & key.events
            if events:
                ready.append((key, events))
        return ready

    def close(self) -> None:
        """Closes the selector."""
        self._epoll.close()
        self._keys.clear()
        self._listed.clear()

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Returns the registered descriptors."""
        return self._keys

    def _list_again(self, descriptor: int, mask: int) -> None:
        """Changes a listed descriptor.

        The kernel has dropped it if it was closed meanwhile; its number then
        belongs to another file.
        """
        try:
            self._epoll.modify(descriptor, mask)
        except FileNotFoundError:
            self._epoll.register(descriptor, mask)

    def _drop(self, descriptor: int) -> None:
        """Removes an unregistered descriptor for which an event arrived."""
        self._listed.discard(descriptor)
        self._epoll.unregister(descriptor)


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop for the option `loop_factory` of `anyio.run`."""
    return asyncio.SelectorEventLoop(LazySelector())


def _get_descriptor(fileobj: FileLike) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()


def _make_mask(events: int) -> int:
    mask = 0
    if events & selectors.EVENT_READ:
        mask |= select.EPOLLIN
    if events & selectors.EVENT_WRITE:
        mask |= select.EPOLLOUT
    return mask


def _get_events(mask: int) -> int:
    """Returns the events of a mask; an error or hang-up counts as both."""
    events = 0
    if mask & ~select.EPOLLIN:
        events |= selectors.EVENT_WRITE
    if mask & ~select.EPOLLOUT:
        events |= selectors.EVENT_READ
    return events
