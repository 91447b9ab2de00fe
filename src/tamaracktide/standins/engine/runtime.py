"""What one incarnation of the engine knows; a restart forgets it."""

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
    """Load of the engine.

    Attributes:
        running: Streams in the batch.
        waiting: Streams that wait for the batch.
        kv_used: Fraction of the KV cache in use.
    """

    running: int
    waiting: int
    kv_used: float


class Runtime:
    """Slots, batch, streams and cache of one incarnation.

    Attributes:
        incarnation: Unique id of the incarnation.
        slots: The adapter slots.
        cache: The prompt prefixes.
        highest_fencing_token: Highest token of an accepted order.
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
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    @property
    def idle(self) -> bool:
        """Whether no stream waits or runs."""
        return not self._batch.running and not self._batch.waiting

    def find_stream(self, request_id: str) -> streams.Stream | None:
        """Returns a stream that is active or ended lately."""
        return self._streams.get(request_id)

    def list_active(self) -> list[streams.Stream]:
        """Returns the streams that run or wait."""
        return self._batch.running + self._batch.waiting

    def submit(self, stream: streams.Stream, now: float) -> None:
        """Accepts a stream, whose adapter must be loaded."""
        adapter = self.slots.find(stream.lora_name)
        assert adapter is not None
        assert adapter.key == stream.key
        adapter.running += 1
        self._streams[stream.request_id] = stream
        self._batch.submit(stream, now)

    def cancel(self, stream: streams.Stream, now: float) -> None:
        """Ends an active stream; an ended one stays as it is."""
        if stream.finish_reason:
            return
        self._batch.cancel(stream, now)
        self._release(stream, now)

    def step(self, now: float) -> None:
        """Generates a token on each running stream that is ready."""
        for stream in self._batch.step(now):
            self._release(stream, now)

    def forget_ended(self, now: float) -> None:
        """Forgets streams that ended too long ago to be resumed."""
        kept_s = self._settings.stream_kept_s
        while self._ended and self._ended[0][0] + kept_s <= now:
            _, request_id = self._ended.popleft()
            del self._streams[request_id]

    def lose_streams(self) -> None:
        """Ends every active stream, because the engine restarts."""
        for stream in self.list_active():
            stream.end(streams.FinishReason.LOST)

    def measure_load(self) -> Load:
        """Returns the present load."""
        running = self._batch.running
        tokens = sum(s.prompt_tokens + s.generated for s in running)
        fill = min(1.0, tokens / self._settings.kv_tokens)
        return Load(len(running), len(self._batch.waiting), fill)

    def _release(self, stream: streams.Stream, now: float) -> None:
        """Unpins the adapter of a stream that ended."""
        adapter = self.slots.find(stream.lora_name)
        assert adapter is not None
        assert adapter.running > 0
        adapter.running -= 1
        self._ended.append((now, stream.request_id))
