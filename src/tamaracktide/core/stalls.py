"""Tells streams that have stalled, but send some bytes, from slow ones."""

STALL_TIMEOUT_S = 3.0
"""Time without an event after which a stream of bytes has stalled. It is
twice the silence after which another upstream is sought."""

MIN_FRAGMENTS = 3
"""Arrivals without an event before a stream has stalled; a lost packet delays a
single one."""


class StallDetector:
    """Watches the arrivals of one stream.

    An arrival makes progress if it completes an event with a new id. Comments
    and fragments of events do not.
    """

    __slots__ = ("_fragments", "_progressed_at")

    def __init__(self, now: float) -> None:
        """Starts when the headers have arrived."""
        self._fragments = 0
        self._progressed_at = now

    def record(self, now: float, *, has_progressed: bool) -> bool:
        """Records an arrival; returns whether the stream has stalled."""
        if has_progressed:
            self._fragments = 0
            self._progressed_at = now
            return False
        self._fragments += 1
        return (
            self._fragments >= MIN_FRAGMENTS
            and now - self._progressed_at >= STALL_TIMEOUT_S
        )
