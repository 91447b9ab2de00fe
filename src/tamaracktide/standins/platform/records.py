"""Outcomes of write calls, read by checkers."""

import collections
import dataclasses
import enum
import itertools

MAX_RECORDS = 100_000


class WriteOutcome(enum.StrEnum):
    """Outcome of a write; only `APPLIED` changes the store."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    MISSING = "missing"
    TOO_LARGE = "too_large"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """A write call and its outcome.

    Attributes:
        sequence: Number of the write call, from 1.
        method: `PUT` or `DELETE`.
        key: The object's key.
        zone: The client's availability zone.
        outcome: Outcome of the write.
        version: The new version; 0 if not applied.
        reply_lost: Whether the connection was dropped without a response.
    """

    sequence: int
    method: str
    key: str
    zone: str
    outcome: WriteOutcome
    version: int = 0
    reply_lost: bool = False


class WriteRecords:
    """The most recent write calls, up to `MAX_RECORDS`."""

    def __init__(self) -> None:
        """Builds an empty record."""
        self._records: collections.deque[WriteRecord] = collections.deque(
            maxlen=MAX_RECORDS
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
        """Records a write call."""
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
