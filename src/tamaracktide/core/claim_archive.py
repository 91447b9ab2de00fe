"""Merges sealed segments to keep the head of a shard small.

Recent segments keep response bodies for duplicate requests. When there are too
many, the oldest are merged into one archive segment, which holds many keys but
no bodies. The next commit writes a head that lists the archive instead of its
sources.
"""

import dataclasses
import enum

from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ArchiveSettings:
    """When sealed segments are merged.

    Attributes:
        recent_limit: Number of recent segments at which a merge starts.
        merge_count: Maximum number of recent segments in one merge.
        max_archive_keys: Maximum number of keys in an archive segment.
    """

    recent_limit: int = 64
    merge_count: int = 32
    max_archive_keys: int = 16_000


class Phase(enum.Enum):
    """Phase of a merge."""

    IDLE = "no merge is under way"
    READING = "waits for its sources"
    STORING = "waits for the archive to be stored"
    STORED = "waits for a commit of the head"


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """Segments to list in the next head, and segments to delete."""

    segments: tuple[cr.SegmentEntry, ...]
    obsolete: tuple[str, ...]


class SegmentMerger:
    """Runs one merge at a time; performs no I/O itself."""

    __slots__ = (
        "_archived",
        "_phase",
        "_read_segments",
        "_settings",
        "_sources",
    )

    def __init__(self, settings: ArchiveSettings) -> None:
        """Creates a merger with no merge in progress."""
        self._settings = settings
        self._phase = Phase.IDLE
        self._sources: tuple[cr.SegmentEntry, ...] = ()
        self._read_segments: dict[str, cr.Segment] = {}
        self._archived: cr.SegmentEntry | None = None

    @property
    def phase(self) -> Phase:
        """Phase of the merge."""
        return self._phase

    def start(
        self, segments: tuple[cr.SegmentEntry, ...]
    ) -> list[ce.CommitterAction]:
        """Starts a merge if one is due and none is in progress."""
        recent = [entry for entry in segments if not entry.is_archive]
        due = len(recent) >= self._settings.recent_limit
        if self._phase is not Phase.IDLE or not due:
            return []
        chosen = self._choose_recent(recent)
        archives = [entry for entry in segments if entry.is_archive]
        if archives and self._has_room(archives[-1], chosen):
            chosen.insert(0, archives[-1])
        self._sources = tuple(chosen)
        self._phase = Phase.READING
        return [ce.ReadSegment(entry.segment_id) for entry in chosen]

    def add_segment(
        self, segment_id: str, data: bytes
    ) -> list[ce.CommitterAction]:
        """Adds a source segment; the last one yields the archive to store."""
        source_ids = {entry.segment_id for entry in self._sources}
        if self._phase is not Phase.READING or segment_id not in source_ids:
            return []
        self._read_segments[segment_id] = cr.decode_segment(data)
        if len(self._read_segments) < len(self._sources):
            return []
        return [self._build()]

    def record_stored(self, segment_id: str) -> bool:
        """Records a stored segment; returns whether it is the archive."""
        archived = self._archived
        if archived is None or archived.segment_id != segment_id:
            return False
        self._phase = Phase.STORED
        return True

    def replace(
        self, segments: tuple[cr.SegmentEntry, ...]
    ) -> Replacement | None:
        """Returns the segment list with the archive instead of its sources.

        Returns None if no archive is stored, or if another committer has
        removed a source from the list; the merge is then dropped.
        """
        if self._phase is not Phase.STORED or self._archived is None:
            return None
        if not set(self._sources) <= set(segments):
            self.drop()
            return None
        kept = [entry for entry in segments if entry not in self._sources]
        archives = [entry for entry in kept if entry.is_archive]
        recent = [entry for entry in kept if not entry.is_archive]
        return Replacement(
            (*archives, self._archived, *recent),
            tuple(entry.segment_id for entry in self._sources),
        )

    def settle(self, segments: tuple[cr.SegmentEntry, ...]) -> None:
        """Ends the merge once the head lists the archive."""
        if self._phase is Phase.STORED and self._archived in segments:
            self.drop()

    def drop(self) -> None:
        """Drops the merge in progress."""
        self._phase = Phase.IDLE
        self._sources = ()
        self._read_segments = {}
        self._archived = None

    def _choose_recent(
        self, recent: list[cr.SegmentEntry]
    ) -> list[cr.SegmentEntry]:
        chosen: list[cr.SegmentEntry] = []
        for entry in recent[: self._settings.merge_count]:
            if chosen and not self._has_room(entry, chosen):
                break
            chosen.append(entry)
        return chosen

    def _has_room(
        self, entry: cr.SegmentEntry, chosen: list[cr.SegmentEntry]
    ) -> bool:
        keys = entry.count + sum(source.count for source in chosen)
        return keys <= self._settings.max_archive_keys

    def _build(self) -> ce.StoreSegment:
        records: dict[bytes, cr.ClaimRecord] = {}
        for entry in self._sources:
            for record in self._read_segments[entry.segment_id].records:
                records[record.key_hash] = cr.shorten_record(record)
        segment = cr.Segment(records=tuple(records.values()))
        data = cr.encode_segment(segment)
        self._archived = cr.SegmentEntry(
            segment_id=cr.compute_segment_id(data),
            newest_unix_s=max(e.newest_unix_s for e in self._sources),
            count=len(records),
            is_archive=True,
        )
        self._read_segments = {}
        self._phase = Phase.STORING
        return ce.StoreSegment(
            self._archived.segment_id, data, cr.build_filter(segment)
        )
