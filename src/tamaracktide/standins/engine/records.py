"""Record of the requests run by an engine across restarts, read by checkers."""

import collections

from tamaracktide.standins.engine import streams

MAX_RECORDS = 100_000


class RunRecords:
    """The most recent streams by request id, and how often each id ran."""

    def __init__(self) -> None:
        """Builds an empty record."""
        self._streams: collections.OrderedDict[str, streams.Stream] = (
            collections.OrderedDict()
        )
        self._runs: collections.Counter[str] = collections.Counter()

    def add(self, stream: streams.Stream) -> None:
        """Records an accepted stream; evicts the oldest id over the limit."""
        self._streams[stream.request_id] = stream
        self._runs[stream.request_id] += 1
        if len(self._streams) > MAX_RECORDS:
            oldest, _ = self._streams.popitem(last=False)
            del self._runs[oldest]

    def describe(self) -> dict[str, dict[str, object]]:
        """Returns the record as JSON-compatible values by request id."""
        return {
            request_id: {
                "lora_name": stream.lora_name,
                "adapter": stream.key.adapter,
                "version": stream.key.version,
                "incarnation": stream.incarnation,
                "tokens": stream.generated,
                "finished": (
                    stream.finish_reason == streams.FinishReason.LENGTH
                ),
                "runs": self._runs[request_id],
            }
            for request_id, stream in self._streams.items()
        }
