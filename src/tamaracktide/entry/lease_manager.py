"""Holds leases of cells against the platform's store, with few calls."""

from collections.abc import Callable
import dataclasses
import random
import time
import uuid

import anyio
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import leases
from tamaracktide.core import rendezvous
from tamaracktide.core import rows
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import store_follower
from tamaracktide.entry import store_relay
from tamaracktide.object_api import port
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

TICK_S = 0.25
"""How often leases are looked at."""

START_WAIT_S = 1.5
"""Time after a start in which peers are found before anything is taken."""

SETTLE_S = 1.0
"""Time after a start in which a right to order is expected any moment: a
holder takes its lease back, or peers tell of theirs, within 0.4 s."""

RANK_WAIT_S = 0.8
"""Further wait of each later candidate, so that the first one can write."""

READ_PERIOD_S = 2.0
"""Time between two reads of a lease whose holder is not heard."""

CALL_TIMEOUT_S = 1.0

RELAY_PERIOD_S = 1.0
"""Time between two tries to renew a lease through a peer."""


def read_boot_time() -> float:
    """Returns seconds on a clock that goes on while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True)
class _Cell:
    lease: leases.Lease
    candidate_since: float = float("inf")
    read_at: float = float("-inf")
    relayed_at: float = float("-inf")
    was_held: bool = False
    unsure: bool = False


class LeaseManager:
    """Takes and renews the leases of the cells that this instance is due."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        store: port.ValueStore,
        prefix: str,
        contact: store_follower.StoreHealth,
        relay: store_relay.StoreRelay,
        peers: entry_peers.Peers,
        list_cells: Callable[[], set[rows.CellId]],
        tell: Callable[[], None],
    ) -> None:
        """Builds the keeper; `run` must be running.

        Args:
            settings: The instance's settings.
            store: Keeps the leases.
            prefix: Prefix of their keys.
            contact: Whether the store answers.
            relay: Renews leases while it does not.
            peers: Tell of the rights of other instances.
            list_cells: Returns the cells that need a holder.
            tell: Called when a right to order begins or ends.
        """
        self._settings = settings
        self._store = store
        self._prefix = prefix
        self._contact = contact
        self._relay = relay
        self._peers = peers
        self._list_cells = list_cells
        self._tell = tell
        self._cells: dict[rows.CellId, _Cell] = {}
        self._started_at = read_boot_time()

    def is_held(self, cell: rows.CellId) -> bool:
        """Whether this instance may begin an order in a cell now."""
        known = self._cells.get(cell)
        return known is not None and known.lease.is_held(read_boot_time())

    def find_epoch(self, cell: rows.CellId) -> int:
        """Returns the fencing token for a held cell."""
        return self._cells[cell].lease.epoch

    def find_holder(self, cell: rows.CellId) -> str:
        """Returns the instance that may order in a cell, empty if unknown."""
        if self.is_held(cell):
            return self._settings.instance
        for peer in self._peers.list_linked():
            if peer.report is not None and _find_right(peer.report, cell):
                return peer.instance
        return ""

    def may_be_held(self, cell: rows.CellId) -> bool:
        """Whether somebody may order in a cell, now or within a moment."""
        settling = read_boot_time() < self._started_at + SETTLE_S
        return settling or bool(self.find_holder(cell))

    def list_lease_terms(self) -> tuple[entry_messages.LeaseNotice, ...]:
        """Returns the rights that are held now, to be told to peers."""
        now = read_boot_time()
        return tuple(
            entry_messages.LeaseNotice(
                cell=cell.text,
                revision=known.lease.revision,
                epoch=known.lease.epoch,
                right_left_s=known.lease.find_right_left_s(now),
            )
            for cell, known in self._cells.items()
            if known.lease.is_held(now)
        )

    async def run(self) -> None:
        """Looks after the leases until cancelled."""
        while True:
            for cell in sorted(self._list_cells()):
                known = self._cells.setdefault(
                    cell, _Cell(leases.Lease(self._make_settings()))
                )
                await self._tend(cell, known)
            await anyio.sleep(TICK_S)

    def _make_settings(self) -> leases.LeaseSettings:
        return leases.LeaseSettings(
            holder=self._settings.holder,
            quiet_s=self._settings.bounds.lease_ms / 1000 + 0.2,
        )

    async def _tend(self, cell: rows.CellId, known: _Cell) -> None:
        now = read_boot_time()
        held = self._note_right(cell, known)
        if held and await self._renew_through_peer(cell, known, now):
            return
        if not self._contact.allows_calls:
            return
        if known.unsure:
            await self._read(cell, known)
            return
        if held or self._owns(known):
            if known.lease.needs_renewal(now):
                await self._write(cell, known)
            return
        self._hear_holder(cell, known, now)
        if known.read_at == float("-inf"):
            # A lease that this machine held before it started again.
            known.read_at = now
            await self._read(cell, known)
        if self._is_due(cell, known, now):
            await self._try_take(cell, known, now)

    def _note_right(self, cell: rows.CellId, known: _Cell) -> bool:
        """Tells if the right has begun or ended; returns whether it is held."""
        held = known.lease.is_held(read_boot_time())
        if held != known.was_held:
            known.was_held = held
            logs.bind(cell=cell.text, epoch=known.lease.epoch).info(
                "right to order {}", "begins" if held else "ends"
            )
            self._tell()
        return held

    def _owns(self, known: _Cell) -> bool:
        record = known.lease.record
        return (
            record is not None
            and record.holder == self._settings.holder
            and record.epoch == known.lease.epoch
        )

    def _hear_holder(self, cell: rows.CellId, known: _Cell, now: float) -> None:
        for peer in self._peers.list_linked():
            right = peer.report and _find_right(peer.report, cell)
            if right:
                known.lease.note_peer(right.revision, right.right_left_s, now)

    def _is_due(self, cell: rows.CellId, known: _Cell, now: float) -> bool:
        """Whether this instance is the one to take the lease."""
        record = known.lease.record
        if record is not None and record.holder == self._settings.holder:
            return True
        if now < self._started_at + START_WAIT_S:
            return False
        if self.find_holder(cell):
            known.candidate_since = float("inf")
            return False
        if known.candidate_since == float("inf"):
            known.candidate_since = now
        rank = self._find_rank(cell)
        return now >= known.candidate_since + rank * RANK_WAIT_S

    def _find_rank(self, cell: rows.CellId) -> int:
        """Returns the place among the candidates, those of the zone first."""
        settings = self._settings
        members = [(settings.instance, settings.availability_zone)]
        for peer in self._peers.list_linked():
            if peer.report is not None and not peer.report.draining:
                members.append((peer.instance, peer.zone))
        order = rendezvous.order_owners(cell.text, members, cell.zone)
        return order.index(settings.instance)

    async def _try_take(
        self, cell: rows.CellId, known: _Cell, now: float
    ) -> None:
        if now >= known.read_at + READ_PERIOD_S:
            known.read_at = now
            if not await self._read(cell, known):
                return
        if known.lease.propose("", read_boot_time()) is not None:
            await self._write(cell, known)

    async def _read(self, cell: rows.CellId, known: _Cell) -> bool:
        key = self._make_key(cell)
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                stored = await self._store.read(key)
            record = msgspec.json.decode(stored.value, type=leases.LeaseRecord)
        except errors.ObjectMissingError:
            known.lease.note_read(None, 0, read_boot_time())
        except (errors.PlatformError, TimeoutError) as error:
            self._note_failure(cell, error)
            return False
        except msgspec.DecodeError as error:
            logs.bind(cell=cell.text).error("lease cannot be read: {}", error)
            return False
        else:
            known.lease.note_read(record, stored.version, read_boot_time())
        known.unsure = False
        self._contact.record_answer()
        return True

    async def _renew_through_peer(
        self, cell: rows.CellId, known: _Cell, now: float
    ) -> bool:
        """Renews a held lease while the store does not answer.

        A write of the own that took effect unanswered makes it conflict.

        Returns:
            Whether it was renewed.
        """
        if self._contact.failing_since is None:
            return False
        if not known.lease.needs_renewal(now):
            return False
        if now < known.relayed_at + RELAY_PERIOD_S:
            return False
        known.relayed_at = now
        write = known.lease.propose(uuid.uuid4().hex[:12], now)
        if write is None:
            return False
        value = msgspec.json.encode(write.record)
        try:
            version = await self._relay.write(
                self._make_key(cell), value, write.revision
            )
        except errors.PlatformError as error:
            known.unsure = True
            logs.bind(cell=cell.text).info(
                "lease not renewed through a peer: {}", error.detail
            )
            return False
        known.unsure = False
        known.lease.note_written(write, version, now)
        return True

    async def _write(self, cell: rows.CellId, known: _Cell) -> None:
        started_at = read_boot_time()
        write = known.lease.propose(uuid.uuid4().hex[:12], started_at)
        if write is None:
            return
        key = self._make_key(cell)
        value = msgspec.json.encode(write.record)
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                version = await store_relay.write_object(
                    self._store, key, value, write.revision
                )
        except errors.PreconditionFailedError:
            known.unsure = True
            return
        except (errors.PlatformError, TimeoutError) as error:
            known.unsure = True
            self._note_failure(cell, error)
            await anyio.sleep(TICK_S * random.uniform(0.5, 1.5))
            return
        known.lease.note_written(write, version, started_at)
        self._note_right(cell, known)
        self._contact.record_answer()

    def _make_key(self, cell: rows.CellId) -> str:
        return f"{self._prefix}{cell.pool}.{cell.zone}"

    def _note_failure(
        self, cell: rows.CellId, error: errors.PlatformError | TimeoutError
    ) -> None:
        logs.bind(cell=cell.text).warning("lease call failed: {!r}", error)
        if not isinstance(error, errors.PlatformError):
            error = errors.PlatformUnavailableError(
                result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                f"no answer within {CALL_TIMEOUT_S} s",
            )
        self._contact.record_failure(error)


def _find_right(
    report: entry_messages.InstanceReport, cell: rows.CellId
) -> entry_messages.LeaseNotice | None:
    for right in report.rights:
        if right.cell == cell.text:
            return right
    return None
