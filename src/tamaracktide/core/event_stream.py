"""Splits a stream of server-sent events into complete events."""

import dataclasses

from tamaracktide.core import pending_bytes

EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Complete events that arrived together.

    Attributes:
        data: The bytes of the events as received.
        last_id: Id of the last event so far that has an id, or None.
        in_order: Whether each id is the successor of the previous id.
    """

    data: bytes
    last_id: int | None
    in_order: bool


class EventBuffer:
    """Holds the bytes of an incomplete event, up to a bound."""

    __slots__ = ("_count", "_pending")

    def __init__(self, max_pending_bytes: int) -> None:
        """Starts empty.

        Args:
            max_pending_bytes: Maximum number of bytes without the end of an
                event.
        """
        self._count = pending_bytes.PendingBytes(
            max_pending_bytes, "the end of an event"
        )
        self._pending = bytearray()

    @property
    def pending(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._pending)

    @property
    def excess(self) -> str | None:
        """Description of the excess, None while the bound is kept."""
        return self._count.excess

    def feed(self, data: bytes) -> bytes:
        """Adds bytes; returns the events that they complete."""
        if not self._pending and data.endswith(EVENT_END):
            return data
        searched = max(0, len(self._pending) - len(EVENT_END) + 1)
        self._pending += data
        cut = self._pending.rfind(EVENT_END, searched)
        if cut < 0:
            self._count.add(len(data))
            return b""
        cut += len(EVENT_END)
        complete = bytes(self._pending[:cut])
        del self._pending[:cut]
        self._count.clear()
        self._count.add(len(self._pending))
        return complete


class EventSplitter:
    """Buffers bytes until they form complete events.

    Attributes:
        last_id: Id of the last complete event, None before the first.
    """

    __slots__ = ("_buffer", "last_id")

    def __init__(self, last_id: int | None, max_pending_bytes: int) -> None:
        """Starts after the event `last_id` if a stream is resumed.

        Args:
            last_id: Id of the last event that was received, or None.
            max_pending_bytes: Maximum number of bytes without the end of an
                event.
        """
        self.last_id = last_id
        self._buffer = EventBuffer(max_pending_bytes)

    @property
    def pending(self) -> bytes:
        """Bytes of an incomplete event."""
        return self._buffer.pending

    @property
    def excess(self) -> str | None:
        """Description of the excess, None while the bound is kept."""
        return self._buffer.excess

    def feed(self, data: bytes) -> EventBatch | None:
        """Adds bytes; returns the events that they complete, or None."""
        complete = self._buffer.feed(data)
        if not complete:
            return None
        in_order = True
        for event in complete.split(EVENT_END):
            event_id = _read_id(event)
            if event_id is None:
                continue
            if self.last_id is not None and event_id != self.last_id + 1:
                in_order = False
            self.last_id = event_id
        return EventBatch(complete, self.last_id, in_order)


def _read_id(event: bytes) -> int | None:
    """Returns the id of an event, or None if it has no valid id."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            try:
                return int(line[len(_ID_FIELD) :])
            except ValueError:
                return None
    return None
