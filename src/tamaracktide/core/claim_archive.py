"""Merges sealed segments, so that a shard's head stays small.

Recent segments keep answers for repeats. When there are many, the oldest are
merged into one archive segment of many keys without answers. The head that
lists the archive instead of its sources is written with the next commit.
"""

import dataclasses
import enum

from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ArchiveSettings:
    """When sealed segments are merged.

    Attributes:
        recent_limit: Recent segments at which a merge begins.
        merge_count: Recent segments that one merge takes.
        archive_keys: Keys that an archive segment holds at most.
    """

    recent_limit: int = 64
    merge_count: int = 32
    archive_keys: int = 16_000


class Phase(enum.Enum):
    """How far a merge has come."""

    IDLE = "no merge is under way"
    READING = "waits for its sources"
    STORING = "waits for the archive to be stored"
    STORED = "waits for a commit of the head"


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """Segments to list from now on, and those that may be deleted."""

    segments: tuple[cr.SegmentEntry, ...]
    obsolete: tuple[str, ...]


class Archive:
    """One merge at a time; performs no I/O itself."""

    __slots__ = ("_archived", "_phase", "_read", "_settings", "_sources")

    def __init__(self, settings: ArchiveSettings) -> None:
        """Starts without a merge."""
        self._settings = settings
        self._phase = Phase.IDLE
        self._sources: tuple[cr.SegmentEntry, ...] = ()
        self._read: dict[str, cr.Segment] = {}
        self._archived: cr.SegmentEntry | None = None

    @property
    def phase(self) -> Phase:
        """How far the merge has come."""
        return self._phase

    def start(
        self, segments: tuple[cr.SegmentEntry, ...]
    ) -> list[ce.CommitterAction]:
        """Begins a merge if one is due and none is under way."""
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
        """Takes in a source; returns the archive to store after the last."""
        wanted = {entry.segment_id for entry in self._sources}
        if self._phase is not Phase.READING or segment_id not in wanted:
            return []
        self._read[segment_id] = cr.decode_segment(data)
        if len(self._read) < len(self._sources):
            return []
        return [self._build()]

    def note_stored(self, segment_id: str) -> bool:
        """Returns whether the stored segment is the merge's archive."""
        archived = self._archived
        if archived is None or archived.segment_id != segment_id:
            return False
        self._phase = Phase.STORED
        return True

    def replace(
        self, segments: tuple[cr.SegmentEntry, ...]
    ) -> Replacement | None:
        """Returns the list with the archive instead of its sources.

        None if no archive is stored, or if another committer has changed
        the sources; the merge is then forgotten.
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
        """Ends the merge once the head no longer lists its sources."""
        if self._phase is Phase.STORED and self._archived in segments:
            self.drop()

    def drop(self) -> None:
        """Forgets the merge under way."""
        self._phase = Phase.IDLE
        self._sources = ()
        self._read = {}
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
        keys = entry.count + sum(one.count for one in chosen)
        return keys <= self._settings.archive_keys

    def _build(self) -> ce.StoreSegment:
        records: dict[bytes, cr.ClaimRecord] = {}
        for entry in self._sources:
            for record in self._read[entry.segment_id].records:
                records[record.key_hash] = cr.shorten_record(record)
        segment = cr.Segment(records=tuple(records.values()))
        data = cr.encode_segment(segment)
        self._archived = cr.SegmentEntry(
            segment_id=cr.compute_segment_id(data),
            newest_unix_s=max(e.newest_unix_s for e in self._sources),
            count=len(records),
            is_archive=True,
        )
        self._read = {}
        self._phase = Phase.STORING
        return ce.StoreSegment(
            self._archived.segment_id, data, cr.build_filter(segment)
        )
