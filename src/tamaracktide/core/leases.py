"""Lease of a cell: the lease holder may send orders to the cell's engines.

Each cell has one lease, an object in the store. A renewal starts a lease term
of `term_s`, counted from the start of the renewal call, in which the holder
may issue orders. Another instance may take over the lease only after the term
and a further quiet period of `quiet_s`, in which no order of the previous
holder can arrive. The clock must keep running while a machine is suspended.

A takeover only depends on when the object last changed, so a conditional
write is sufficient: it fails if the holder has renewed the lease meanwhile.

A store that is restored from a copy starts a new era, in which the record is
missing or of an earlier holder, and revisions are given out again. Nobody
orders under a lease of an earlier era. A process that held the lease when it
learned of the era may write it anew at once, as its term excludes all others.
Everybody else waits until the term of any earlier holder and the quiet period
are over. A call of the earlier era may still replace a record of the new one,
so fencing tokens come from the revision that a takeover replaces.
"""

import dataclasses

FIRST_ERA = 1
"""Era up to which a store is not known to have been restored."""

EPOCH_REVISION_BITS = 40
"""Bits of a fencing token below the era: enough for 80 years at 400 changes a
second. Tokens of eight thousand eras fit into the 53 bits of a JSON number."""


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
        era: Latest era of the store that the writer knew; negative if the
            writer's build knows none.
    """

    holder: str
    epoch: int
    renewal: str
    era: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreEra:
    """An era of the store as this process knows it.

    Attributes:
        number: The era; 0 if the store names none.
        seen_at: When this process learned of it, seconds.
        has_earlier: Whether there may be a holder of an earlier era.
    """

    number: int = 0
    seen_at: float = float("-inf")
    has_earlier: bool = False


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
        "_era",
        "_highest_epoch",
        "_must_read",
        "_own_epoch",
        "_renewed_at",
        "_resumable_until",
        "_settings",
        "record",
        "revision",
    )

    def __init__(self, settings: LeaseSettings) -> None:
        """Starts without a record."""
        self.record: LeaseRecord | None = None
        self.revision = 0
        self._settings = settings
        self._available_at = 0.0
        self._era = StoreEra()
        self._highest_epoch = 0
        self._must_read = False
        self._own_epoch = 0
        self._renewed_at = float("-inf")
        self._resumable_until = float("-inf")

    @property
    def era(self) -> int:
        """Era of the store that the record and its revision belong to."""
        return self._era.number

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

    def may_resume(self, now: float) -> bool:
        """Whether this process may go on after a change of the era.

        It held the lease in the earlier era, whose term has not ended, and
        nobody has written the record in the new one.
        """
        if self._must_read or now >= self._resumable_until:
            return False
        return self.record is None or 0 <= self.record.era < self.era

    def record_era(self, era: StoreEra, now: float) -> None:
        """Records a later era; the lease ends and the record must be read."""
        if era.number <= self.era:
            return
        if self.is_held(now):
            settings = self._settings
            self._resumable_until = (
                self._renewed_at + settings.term_s - settings.max_order_s
            )
        self._era = era
        self._own_epoch = 0
        self._must_read = True
        self.record, self.revision = None, 0

    def record_read(
        self, record: LeaseRecord | None, revision: int, now: float
    ) -> None:
        """Records the object as read; `now` is the end of the read call."""
        if revision == self.revision and not self._must_read:
            return
        self._must_read = False
        self.record, self.revision = record, revision
        wait_s = self._settings.term_s + self._settings.quiet_s
        if record is not None:
            self._highest_epoch = max(self._highest_epoch, record.epoch)
            self._available_at = now + wait_s
        elif self._era.has_earlier:
            self._available_at = self._era.seen_at + wait_s
        else:
            self._available_at = now

    def record_notice(
        self,
        revision: int,
        remaining_term_s: float,
        now: float,
        era: int = 0,
        epoch: int = 0,
    ) -> None:
        """Records the rest of the lease term as reported by the holder.

        Args:
            revision: Revision of the record that the holder has written.
            remaining_term_s: Rest of its term, seconds.
            now: Current time, seconds.
            era: Era of the store that the revision belongs to; 0 if the
                holder's build knows none.
            epoch: The holder's fencing token.
        """
        self._highest_epoch = max(self._highest_epoch, epoch)
        is_current = era == self.era or (era == 0 and self.era <= FIRST_ERA)
        if not is_current or self._must_read:
            return
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
        if self._must_read:
            return None
        if self._is_renewable():
            epoch = self._own_epoch
        elif self._may_acquire(now):
            epoch = self._find_next_epoch()
        else:
            return None
        record = LeaseRecord(
            holder=self._settings.holder,
            epoch=epoch,
            renewal=renewal,
            era=self.era,
        )
        return Write(record, self.revision)

    def record_write(
        self, write: Write, revision: int, started_at: float
    ) -> None:
        """Records that a write took effect.

        Args:
            write: The write.
            revision: Revision of the object after the write.
            started_at: Start of the write call, seconds.
        """
        if write.record.era != self.era:
            return
        self.record, self.revision = write.record, revision
        self._own_epoch = write.record.epoch
        self._highest_epoch = max(self._highest_epoch, self._own_epoch)
        self._renewed_at = started_at
        self._resumable_until = float("-inf")

    def _is_renewable(self) -> bool:
        """Whether the record is that of this process."""
        if self.record is None or not self._own_epoch:
            return False
        is_own = self.record.holder == self._settings.holder
        return is_own and self.record.epoch == self._own_epoch

    def _may_acquire(self, now: float) -> bool:
        """Whether no other machine can hold the lease."""
        if now >= self._available_at or self.may_resume(now):
            return True
        record = self.record
        if record is None or record.holder != self._settings.holder:
            return False
        # A restored record does not prove who held the lease last.
        return record.era == self.era or (
            record.era < 0 and self.era <= FIRST_ERA
        )

    def _find_next_epoch(self) -> int:
        """Returns a fencing token above all that any machine has used."""
        lowest = 0
        if self.era:
            era = self.era - FIRST_ERA
            lowest = (era << EPOCH_REVISION_BITS) + self.revision
        return max(self._highest_epoch, lowest) + 1
