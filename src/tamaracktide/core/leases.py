"""Lease of a cell: the lease holder may send orders to the cell's engines.

Each cell has one lease, an object in the store. A renewal starts a lease term
of `term_s`, counted from the start of the renewal call, in which the holder
may issue orders. Another instance may take over the lease only after the term
and a further quiet period of `quiet_s`, in which no order of the previous
holder can arrive. The clock must keep running while a machine is suspended.

A takeover only depends on when the object last changed, so a conditional
write is sufficient: it fails if the holder has renewed the lease meanwhile.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSettings:
    """Durations of a lease.

    Attributes:
        holder: Name of this machine.
        term_s: Duration of the lease term that a renewal starts.
        renew_interval_s: Interval between two renewals.
        quiet_s: Quiet period without orders between two holders.
        max_order_s: Maximum duration of an order; no order is sent in this last
            part of the lease term.
    """

    holder: str
    term_s: float = 9.0
    renew_interval_s: float = 3.0
    quiet_s: float = 3.2
    max_order_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """The stored record of a lease.

    Attributes:
        holder: Name of the machine that holds the lease.
        epoch: Fencing token; increases with each start or takeover.
        renewal: Unique id of the write; distinguishes writes of one holder.
    """

    holder: str
    epoch: int
    renewal: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write of the record.

    Attributes:
        record: The record to write.
        revision: Revision that the write replaces; 0 creates the object.
    """

    record: LeaseRecord
    revision: int


class Lease:
    """The lease of one cell as tracked by one instance.

    Attributes:
        record: The latest known record, None if there is none.
        revision: Revision of the record, 0 if there is none.
    """

    __slots__ = (
        "_available_at",
        "_own_epoch",
        "_renewed_at",
        "_settings",
        "_uncertain_write",
        "record",
        "revision",
    )

    def __init__(self, settings: LeaseSettings) -> None:
        """Starts without a record."""
        self.record: LeaseRecord | None = None
        self.revision = 0
        self._settings = settings
        self._available_at = 0.0
        self._own_epoch = 0
        self._renewed_at = float("-inf")
        self._uncertain_write: Write | None = None

    @property
    def epoch(self) -> int:
        """Fencing token of this process, 0 if it has never held the lease."""
        return self._own_epoch

    def is_held(self, now: float) -> bool:
        """Whether this process may start an order now."""
        settings = self._settings
        if self._own_epoch == 0 or self.record is None:
            return False
        if self.record.holder != settings.holder:
            return False
        if self.record.epoch != self._own_epoch:
            return False
        return now < self._renewed_at + settings.term_s - settings.max_order_s

    def find_remaining_term_s(self, now: float) -> float:
        """Returns the rest of the lease term, 0 if the lease is not held."""
        if not self.is_held(now):
            return 0.0
        return self._renewed_at + self._settings.term_s - now

    def needs_renewal(self, now: float) -> bool:
        """Whether the lease of this process is due for renewal."""
        due = self._renewed_at + self._settings.renew_interval_s
        return self._own_epoch > 0 and now >= due

    def record_read(
        self, record: LeaseRecord | None, revision: int, now: float
    ) -> None:
        """Records the object as read; `now` is the end of the read call."""
        if revision == self.revision:
            return
        self.record, self.revision = record, revision
        self._available_at = (
            now + self._settings.term_s + self._settings.quiet_s
        )
        if record is None:
            self._available_at = now

    def record_notice(
        self, revision: int, remaining_term_s: float, now: float
    ) -> None:
        """Records the rest of the lease term as reported by the holder."""
        if revision == self.revision and remaining_term_s > 0:
            self._available_at = now + remaining_term_s + self._settings.quiet_s

    def propose(self, renewal: str, now: float) -> Write | None:
        """Returns the write that acquires or renews the lease.

        Args:
            renewal: Unique id of the write.
            now: Current time, seconds.

        Returns:
            The write; None while another instance can still hold the lease.
        """
        settings = self._settings
        record = self.record
        if record is None:
            return Write(
                LeaseRecord(holder=settings.holder, epoch=1, renewal=renewal), 0
            )
        is_own = record.holder == settings.holder
        if is_own and record.epoch == self._own_epoch and self._own_epoch:
            next_epoch = record.epoch
        elif is_own or now >= self._available_at:
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
        """Records that a write took effect.

        Args:
            write: The write.
            revision: Revision of the object after the write.
            started_at: Start of the write call, seconds.
        """
        self.record, self.revision = write.record, revision
        self._own_epoch = write.record.epoch
        self._renewed_at = started_at
