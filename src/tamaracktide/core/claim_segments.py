"""Finds sealed claims: filters in memory, segments read when one matches."""

from collections.abc import Iterable
import dataclasses

import rbloom

from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """What is known of a key among the sealed segments.

    Attributes:
        record: The record, or None if no segment read so far holds the key.
        reads: Segments to read before more can be said.
        is_complete: Whether every segment was ruled out or one holds it.
    """

    record: cr.ClaimRecord | None = None
    reads: tuple[ce.ReadSegment, ...] = ()
    is_complete: bool = True


class SegmentIndex:
    """Filters and recently read segments of one shard."""

    __slots__ = ("_cache_size", "_filters", "_requested", "_ruled_out", "_seen")

    def __init__(self, cache_size: int) -> None:
        """Starts empty.

        Args:
            cache_size: Segments kept in memory after a lookup.
        """
        self._cache_size = cache_size
        self._filters: dict[str, rbloom.Bloom] = {}
        self._seen: dict[str, dict[bytes, cr.ClaimRecord]] = {}
        self._requested: set[str] = set()
        self._ruled_out: dict[str, set[str]] = {}

    def keep_listed(self, entries: Iterable[cr.SegmentEntry]) -> None:
        """Forgets the filters of segments that are no longer listed."""
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
        """Notes a read; returns False if it is under way already."""
        if segment_id in self._requested:
            return False
        self._requested.add(segment_id)
        return True

    def add_filter(self, segment_id: str, data: bytes) -> None:
        """Takes in a segment's filter."""
        self._filters[segment_id] = cr.load_filter(data)
        self._requested.discard(segment_id)

    def add_segment(self, segment_id: str, data: bytes) -> None:
        """Takes in a segment; the one read longest ago is forgotten."""
        segment = cr.decode_segment(data)
        self._requested.discard(segment_id)
        self._seen[segment_id] = {r.key_hash: r for r in segment.records}
        while len(self._seen) > self._cache_size:
            del self._seen[next(iter(self._seen))]

    def look_up(
        self, claim: ce.Claim, entries: Iterable[cr.SegmentEntry]
    ) -> Lookup:
        """Returns what the listed segments tell of a claim's key."""
        ruled_out = self._ruled_out.setdefault(claim.attempt_id, set())
        for entry in entries:
            segment_id = entry.segment_id
            if segment_id in ruled_out:
                continue
            if claim.key_hash not in self._filters[segment_id]:
                continue
            records = self._seen.get(segment_id)
            if records is None:
                wanted = self.request(segment_id)
                reads = (ce.ReadSegment(segment_id),) if wanted else ()
                return Lookup(reads=reads, is_complete=False)
            record = records.get(claim.key_hash)
            if record is not None:
                return Lookup(record)
            ruled_out.add(segment_id)
        return Lookup()

    def forget_claim(self, attempt_id: str) -> None:
        """Forgets what was ruled out for a claim."""
        self._ruled_out.pop(attempt_id, None)

    def forget_reads(self) -> None:
        """Forgets reads under way and every claim's progress."""
        self._requested.clear()
        self._ruled_out.clear()
