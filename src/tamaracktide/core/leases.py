"""The right to order at the engines of a cell, which ends by itself.

A lease is one object of the store for each cell. The holder may order for
`right_s` from the start of the call that renewed it; another instance may
take the lease over only after that and a further `quiet_s`, in which no order
of the old holder can arrive. The clock must go on while a machine is
suspended.

What bounds a takeover is when the object was last changed, so a conditional
write is all that is needed: it fails if the holder has renewed meanwhile.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSettings:
    """Times of a lease, seconds.

    Attributes:
        holder: This machine.
        right_s: Time for which a renewal gives the right to order.
        renew_s: Time between two renewals.
        quiet_s: Time without orders between two holders.
        max_order_s: Longest time that an order is waited for; none is sent
            later than this before the end of the right.
    """

    holder: str
    right_s: float = 9.0
    renew_s: float = 3.0
    quiet_s: float = 3.2
    max_order_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """A lease as it stands in the store.

    Attributes:
        holder: The machine that holds it.
        epoch: Grows with each start or takeover; the fencing token.
        renewal: Tells two writes of one holder apart.
    """

    holder: str
    epoch: int
    renewal: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write this record if the object is at this revision.

    Attributes:
        record: The record.
        revision: Revision that it replaces; 0 creates the object.
    """

    record: LeaseRecord
    revision: int


class Lease:
    """One cell's lease as one instance knows it.

    Attributes:
        record: The record last seen, None before the first.
        revision: Its revision, 0 if there is none.
    """

    __slots__ = (
        "_free_at",
        "_own_epoch",
        "_renewed_at",
        "_settings",
        "_unsure",
        "record",
        "revision",
    )

    def __init__(self, settings: LeaseSettings) -> None:
        """Starts without knowing the record."""
        self.record: LeaseRecord | None = None
        self.revision = 0
        self._settings = settings
        self._free_at = 0.0
        self._own_epoch = 0
        self._renewed_at = float("-inf")
        self._unsure: Write | None = None

    @property
    def epoch(self) -> int:
        """The fencing token of this process, 0 if it never held the lease."""
        return self._own_epoch

    def is_held(self, now: float) -> bool:
        """Whether this process may begin an order now."""
        settings = self._settings
        if self._own_epoch == 0 or self.record is None:
            return False
        if self.record.holder != settings.holder:
            return False
        if self.record.epoch != self._own_epoch:
            return False
        return now < self._renewed_at + settings.right_s - settings.max_order_s

    def find_remaining_term_s(self, now: float) -> float:
        """Returns the seconds of the right that are left, 0 for none."""
        if not self.is_held(now):
            return 0.0
        return self._renewed_at + self._settings.right_s - now

    def needs_renewal(self, now: float) -> bool:
        """Whether a held lease is due to be renewed."""
        due = self._renewed_at + self._settings.renew_s
        return self._own_epoch > 0 and now >= due

    def record_read(
        self, record: LeaseRecord | None, revision: int, now: float
    ) -> None:
        """Takes in the object as it was read, at the end of the call."""
        if revision == self.revision:
            return
        self.record, self.revision = record, revision
        self._free_at = now + self._settings.right_s + self._settings.quiet_s
        if record is None:
            self._free_at = now

    def record_notice(
        self, revision: int, right_left_s: float, now: float
    ) -> None:
        """Takes in what the holder itself says of its right."""
        if revision == self.revision and right_left_s > 0:
            self._free_at = now + right_left_s + self._settings.quiet_s

    def propose(self, renewal: str, now: float) -> Write | None:
        """Returns the write that takes or renews the lease, None if not yet.

        Args:
            renewal: Unique id of the write.
            now: Present time.
        """
        settings = self._settings
        record = self.record
        if record is None:
            return Write(
                LeaseRecord(holder=settings.holder, epoch=1, renewal=renewal), 0
            )
        own = record.holder == settings.holder
        if own and record.epoch == self._own_epoch and self._own_epoch:
            next_epoch = record.epoch
        elif own or now >= self._free_at:
            next_epoch = record.epoch + 1
        else:
            return None
        return Write(
            LeaseRecord(
                holder=settings.holder, epoch=next_epoch, renewal=renewal
            ),
            self.revision,
        )

    def record_write(
        self, write: Write, revision: int, started_at: float
    ) -> None:
        """Takes in that a write took effect.

        Args:
            write: The write.
            revision: The object's revision after it.
            started_at: When the call began.
        """
        self.record, self.revision = write.record, revision
        self._own_epoch = write.record.epoch
        self._renewed_at = started_at
