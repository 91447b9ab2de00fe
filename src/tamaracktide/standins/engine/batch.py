"""Step-wise simulation of continuous batching, without I/O."""

import heapq
import itertools

from tamaracktide.standins.engine import streams


class Batch:
    """Runs streams up to a limit; queues the others by priority."""

    def __init__(self, limit: int) -> None:
        """Builds an empty batch."""
        self._limit = limit
        self._running: list[streams.Stream] = []
        self._waiting: list[tuple[int, int, streams.Stream]] = []
        self._sequences = itertools.count()

    @property
    def running(self) -> list[streams.Stream]:
        """The running streams."""
        return list(self._running)

    @property
    def waiting(self) -> list[streams.Stream]:
        """The queued streams, in no particular order."""
        return [stream for _, _, stream in self._waiting]

    def submit(self, stream: streams.Stream, now: float) -> None:
        """Queues a stream and starts it if the batch has capacity."""
        entry = (stream.priority, next(self._sequences), stream)
        heapq.heappush(self._waiting, entry)
        self._start_waiting(now)

    def cancel(self, stream: streams.Stream, now: float) -> None:
        """Removes a stream from the batch or queue and cancels it."""
        self._running = [s for s in self._running if s is not stream]
        self._waiting = [e for e in self._waiting if e[2] is not stream]
        heapq.heapify(self._waiting)
        stream.end(streams.FinishReason.CANCELLED)
        self._start_waiting(now)

    def step(self, now: float) -> list[streams.Stream]:
        """Generates one token for each running stream that is ready.

        Returns:
            The streams that finished in this step.
        """
        for stream in self._running:
            if stream.ready_at <= now:
                stream.generate()
        ended = [s for s in self._running if s.finish_reason]
        if ended:
            self._running = [s for s in self._running if not s.finish_reason]
        self._start_waiting(now)
        return ended

    def _start_waiting(self, now: float) -> None:
        while self._waiting and len(self._running) < self._limit:
            _, _, stream = heapq.heappop(self._waiting)
            stream.ready_at = now + stream.first_token_s
            self._running.append(stream)
