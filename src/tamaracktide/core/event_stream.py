"""Splits a stream of server-sent events into complete events."""

import dataclasses

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


class EventSplitter:
    """Buffers bytes until they form complete events.

    Attributes:
        last_id: Id of the last complete event, None before the first.
        pending: Bytes of an incomplete event.
    """

    __slots__ = ("last_id", "pending")

    def __init__(self, last_id: int | None = None) -> None:
        """Starts after the event `last_id` if a stream is resumed."""
        self.last_id = last_id
        self.pending = b""

    def feed(self, data: bytes) -> EventBatch | None:
        """Adds bytes; returns the events that they complete, or None."""
        self.pending = self.pending + data if self.pending else data
        cut = self.pending.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            return None
        complete, self.pending = self.pending[:cut], self.pending[cut:]
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
