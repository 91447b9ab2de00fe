"""Index of sealed claims.

Filters are kept in memory; a segment is read only if its filter matches.
"""

from collections.abc import Iterable
import dataclasses

import rbloom

from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """Result of looking a key up in the sealed segments.

    Attributes:
        record: The record, or None if no segment read so far holds the key.
        reads: Segments to read before the lookup can continue.
        is_complete: Whether the key was found or every segment ruled out.
    """

    record: cr.ClaimRecord | None = None
    reads: tuple[ce.ReadSegment, ...] = ()
    is_complete: bool = True


class SegmentIndex:
    """Filters and cached segments of one shard."""

    __slots__ = (
        "_cache",
        "_cache_size",
        "_filters",
        "_requested",
        "_ruled_out",
    )

    def __init__(self, cache_size: int) -> None:
        """Creates an empty index.

        Args:
            cache_size: Maximum number of segments to cache after lookups.
        """
        self._cache_size = cache_size
        self._filters: dict[str, rbloom.Bloom] = {}
        self._cache: dict[str, dict[bytes, cr.ClaimRecord]] = {}
        self._requested: set[str] = set()
        self._ruled_out: dict[str, set[str]] = {}

    def retain_listed(self, entries: Iterable[cr.SegmentEntry]) -> None:
        """Drops the filters of segments that are no longer listed."""
        listed = {entry.segment_id for entry in entries}
        for segment_id in self._filters.keys() - listed:
            del self._filters[segment_id]

    def list_missing(self, entries: Iterable[cr.SegmentEntry]) -> list[str]:
        """Returns the segments whose filters are not in memory."""
        return [
            entry.segment_id
            for entry in entries
            if entry.segment_id not in self._filters
        ]

    def request(self, segment_id: str) -> bool:
        """Registers a read; returns False if it is already in flight."""
        if segment_id in self._requested:
            return False
        self._requested.add(segment_id)
        return True

    def add_filter(self, segment_id: str, data: bytes) -> None:
        """Adds the filter of a segment."""
        self._filters[segment_id] = cr.load_filter(data)
        self._requested.discard(segment_id)

    def add_segment(self, segment_id: str, data: bytes) -> None:
        """Caches a segment; evicts the oldest cached segments."""
        segment = cr.decode_segment(data)
        self._requested.discard(segment_id)
        self._cache[segment_id] = {r.key_hash: r for r in segment.records}
        while len(self._cache) > self._cache_size:
            del self._cache[next(iter(self._cache))]

    def look_up(
        self, claim: ce.Claim, entries: Iterable[cr.SegmentEntry]
    ) -> Lookup:
        """Looks the key of a claim up in the listed segments."""
        ruled_out = self._ruled_out.setdefault(claim.attempt_id, set())
        for entry in entries:
            segment_id = entry.segment_id
            if segment_id in ruled_out:
                continue
            if claim.key_hash not in self._filters[segment_id]:
                continue
            records = self._cache.get(segment_id)
            if records is None:
                is_new = self.request(segment_id)
                reads = (ce.ReadSegment(segment_id),) if is_new else ()
                return Lookup(reads=reads, is_complete=False)
            record = records.get(claim.key_hash)
            if record is not None:
                return Lookup(record)
            ruled_out.add(segment_id)
        return Lookup()

    def forget_claim(self, attempt_id: str) -> None:
        """Drops the lookup progress of a claim."""
        self._ruled_out.pop(attempt_id, None)

    def forget_reads(self) -> None:
        """Drops reads in flight and the lookup progress of all claims."""
        self._requested.clear()
        self._ruled_out.clear()
