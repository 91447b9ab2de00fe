"""State of one incarnation of the engine; a restart discards it."""

import collections
import dataclasses
import random
import uuid

from tamaracktide.standins.engine import adapters
from tamaracktide.standins.engine import batch
from tamaracktide.standins.engine import cache
from tamaracktide.standins.engine import settings as engine_settings
from tamaracktide.standins.engine import streams


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of the engine at one time.

    Attributes:
        running: Number of streams in the batch.
        waiting: Number of queued streams.
        kv_used: Fraction of the KV cache in use.
    """

    running: int
    waiting: int
    kv_used: float


class Runtime:
    """Adapter slots, batch, streams and prefix cache of an incarnation.

    Attributes:
        incarnation: Unique id of the incarnation.
        slots: The adapter slots.
        cache: The prefix cache.
        highest_fencing_token: Highest fencing token accepted so far.
    """

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        """Builds an empty runtime."""
        self.incarnation = uuid.uuid4().hex
        self.slots = adapters.AdapterSlots(settings.slots)
        self.cache = cache.PrefixCache(
            settings.cache_prefixes,
            settings.cache_lag_s,
            settings.cache_gap,
            random.Random(settings.seed),
        )
        self.highest_fencing_token = 0
        self._settings = settings
        self._batch = batch.Batch(settings.batch_limit)
        self._streams: dict[str, streams.Stream] = {}
        self._ended_streams: collections.deque[tuple[float, str]] = (
            collections.deque()
        )

    @property
    def idle(self) -> bool:
        """Whether no stream is queued or running."""
        return not self._batch.running and not self._batch.waiting

    def find_stream(self, request_id: str) -> streams.Stream | None:
        """Returns an active or recently finished stream."""
        return self._streams.get(request_id)

    def list_active_streams(self) -> list[streams.Stream]:
        """Returns the running and queued streams."""
        return self._batch.running + self._batch.waiting

    def submit(self, stream: streams.Stream, now: float) -> None:
        """Accepts a stream; its adapter must be loaded."""
        adapter = self.slots.find(stream.lora_name)
        assert adapter is not None
        assert adapter.key == stream.key
        adapter.running += 1
        self._streams[stream.request_id] = stream
        self._batch.submit(stream, now)

    def cancel(self, stream: streams.Stream, now: float) -> None:
        """Cancels a stream; does nothing if it has finished."""
        if stream.finish_reason:
            return
        self._batch.cancel(stream, now)
        self._release_adapter(stream, now)

    def step(self, now: float) -> None:
        """Generates one token for each running stream that is ready."""
        for stream in self._batch.step(now):
            self._release_adapter(stream, now)

    def remove_expired_streams(self, now: float) -> None:
        """Removes finished streams whose resume window has expired."""
        retention_s = self._settings.stream_kept_s
        while (
            self._ended_streams
            and self._ended_streams[0][0] + retention_s <= now
        ):
            _, request_id = self._ended_streams.popleft()
            del self._streams[request_id]

    def abort_streams(self) -> None:
        """Ends every active stream as lost when the engine restarts."""
        for stream in self.list_active_streams():
            stream.end(streams.FinishReason.LOST)

    def measure_load(self) -> Load:
        """Returns the current load."""
        running = self._batch.running
        tokens = sum(s.prompt_tokens + s.generated for s in running)
        kv_fraction = min(1.0, tokens / self._settings.kv_tokens)
        return Load(len(running), len(self._batch.waiting), kv_fraction)

    def _release_adapter(self, stream: streams.Stream, now: float) -> None:
        """Releases the adapter of a finished stream."""
        adapter = self.slots.find(stream.lora_name)
        assert adapter is not None
        assert adapter.running > 0
        adapter.running -= 1
        self._ended_streams.append((now, stream.request_id))
