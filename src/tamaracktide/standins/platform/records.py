"""What became of each write, for checkers."""

import collections
import dataclasses
import enum
import itertools

RECORD_LIMIT = 100_000


class WriteOutcome(enum.StrEnum):
    """What became of a write; only `APPLIED` has an effect."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    MISSING = "missing"
    TOO_LARGE = "too_large"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """One write call.

    Attributes:
        sequence: Counts write calls.
        method: `PUT` or `DELETE`.
        key: The object's key.
        zone: The caller's availability zone.
        outcome: What became of it.
        version: The new version, 0 if not applied.
        reply_lost: Whether the connection was dropped without a reply.
    """

    sequence: int
    method: str
    key: str
    zone: str
    outcome: WriteOutcome
    version: int = 0
    reply_lost: bool = False


class WriteRecords:
    """The last write calls, bounded."""

    def __init__(self) -> None:
        """Builds an empty record."""
        self._records: collections.deque[WriteRecord] = collections.deque(
            maxlen=RECORD_LIMIT
        )
        self._sequences = itertools.count(1)

    def add(
        self,
        method: str,
        key: str,
        zone: str,
        outcome: WriteOutcome,
        version: int = 0,
        reply_lost: bool = False,
    ) -> None:
        """Records one write call."""
        self._records.append(
            WriteRecord(
                next(self._sequences),
                method,
                key,
                zone,
                outcome,
                version,
                reply_lost,
            )
        )

    def list_records(self) -> list[WriteRecord]:
        """Returns the records, oldest first."""
        return list(self._records)
