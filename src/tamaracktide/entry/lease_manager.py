"""Acquires and renews the leases of cells with few calls to the store."""

from collections.abc import Callable
import dataclasses
import random
import uuid

import anyio
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import leases
from tamaracktide.core import rendezvous
from tamaracktide.core import rows
from tamaracktide.entry import clocks
from tamaracktide.entry import cluster_state
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import settings as entry_settings
from tamaracktide.entry import store_follower
from tamaracktide.entry import store_relay
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

POLL_PERIOD_S = 0.25
"""Time between two checks of all leases."""

DISCOVERY_WAIT_S = 1.5
"""Time after a start for the discovery of peers. Only leases that this holder
held before are acquired in it."""

SETTLE_S = 1.0
"""Time after a start in which every cell is assumed to have a holder: a
previous holder reacquires its lease, or peers report theirs, within 0.4 s."""

CANDIDATE_DELAY_S = 0.8
"""Additional delay per rank of a candidate, so that the first one can write."""

READ_PERIOD_S = 2.0
"""Time between two reads of a lease without a reachable holder."""

CALL_TIMEOUT_S = 1.0

RELAY_PERIOD_S = 1.0
"""Time between two attempts to renew a lease through a peer."""


@dataclasses.dataclass(slots=True)
class _Cell:
    lease: leases.Lease
    candidate_since: float = float("inf")
    polled_at: float = float("-inf")
    relayed_at: float = float("-inf")
    was_held: bool = False
    is_uncertain: bool = False


class LeaseManager:
    """Acquires and renews the leases for which this instance is responsible."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        store: object_store.ValueStore,
        prefix: str,
        cluster: cluster_state.ClusterState,
        store_health: store_follower.StoreHealth,
        relay: store_relay.StoreRelay,
        peers: entry_peers.Peers,
        list_cells: Callable[[], set[rows.CellId]],
        find_reported_holder: Callable[[rows.CellId], str],
        on_change: Callable[[], None],
    ) -> None:
        """Builds the lease manager; `run` must be running.

        Args:
            settings: The instance's settings.
            store: Store of the lease records.
            prefix: Prefix of their keys.
            cluster: The cluster state, which knows the store's era.
            store_health: Tracks whether the store is reachable.
            relay: Renews leases through a peer while the store is unreachable.
            peers: Links to the instances that report their leases.
            list_cells: Returns the cells that need a holder.
            find_reported_holder: Returns the holder that the relay of this
                member reported, empty if unknown.
            on_change: Called when a lease term begins or ends.
        """
        self._settings = settings
        self._store = store
        self._prefix = prefix
        self._cluster_state = cluster
        self._store_health = store_health
        self._relay = relay
        self._peers = peers
        self._list_cells = list_cells
        self._find_reported_holder = find_reported_holder
        self._on_change = on_change
        self._cells: dict[rows.CellId, _Cell] = {}
        self._started_at = clocks.read_boot_time()
        self._era = leases.StoreEra()
        self._era_changed = anyio.Event()
        cluster.listen_for_eras(self._handle_era)

    def is_held(self, cell: rows.CellId) -> bool:
        """Whether this instance is allowed to start an order in a cell now."""
        state = self._cells.get(cell)
        return state is not None and state.lease.is_held(
            clocks.read_boot_time()
        )

    def find_epoch(self, cell: rows.CellId) -> int:
        """Returns the fencing token of a held lease."""
        return self._cells[cell].lease.epoch

    def find_holder(self, cell: rows.CellId) -> str:
        """Returns the lease holder of a cell, empty if unknown."""
        if self.is_held(cell):
            return self._settings.instance
        for peer in self._peers.list_relays():
            if peer.report is not None and _find_lease_notice(
                peer.report, cell
            ):
                return peer.instance
        return self._find_reported_holder(cell)

    @property
    def holds_any(self) -> bool:
        """Whether this instance holds a lease."""
        now = clocks.read_boot_time()
        return any(state.lease.is_held(now) for state in self._cells.values())

    def may_be_held(self, cell: rows.CellId) -> bool:
        """Whether a cell has a lease holder or is expected to get one soon."""
        settling = clocks.read_boot_time() < self._started_at + SETTLE_S
        # A member without a relay does not know the holders.
        detached = not self._peers.is_relay and not self._peers.relay
        return settling or detached or bool(self.find_holder(cell))

    def list_lease_terms(self) -> tuple[entry_messages.LeaseNotice, ...]:
        """Returns the lease terms held now, for the report to peers."""
        now = clocks.read_boot_time()
        return tuple(
            entry_messages.LeaseNotice(
                cell=cell.text,
                revision=state.lease.revision,
                epoch=state.lease.epoch,
                right_left_s=state.lease.find_remaining_term_s(now),
            )
            for cell, state in self._cells.items()
            if state.lease.is_held(now)
        )

    async def run(self) -> None:
        """Maintains the leases until cancelled."""
        while True:
            self._era_changed = anyio.Event()
            for cell in sorted(self._list_cells()):
                self._observe_first_era()
                if cell not in self._cells:
                    self._cells[cell] = self._make_cell()
                await self._maintain(cell, self._cells[cell])
            with anyio.move_on_after(POLL_PERIOD_S):
                await self._era_changed.wait()

    def _make_cell(self) -> _Cell:
        lease = leases.Lease(self._make_settings())
        lease.record_era(self._era, clocks.read_boot_time())
        return _Cell(lease)

    def _observe_first_era(self) -> None:
        """Applies the first era that the store has named."""
        if not self._era.number and self._cluster_state.era:
            number = self._cluster_state.era
            self._apply_era(number, has_earlier=number > leases.FIRST_ERA)

    def _handle_era(self, era: int) -> None:
        """Ends all lease terms, as the store was restored from a copy."""
        self._apply_era(era, has_earlier=True)
        self._era_changed.set()

    def _apply_era(self, number: int, has_earlier: bool) -> None:
        now = clocks.read_boot_time()
        self._era = leases.StoreEra(
            number=number, seen_at=now, has_earlier=has_earlier
        )
        for cell, state in self._cells.items():
            state.lease.record_era(self._era, now)
            state.polled_at = float("-inf")
            state.is_uncertain = False
            self._update_held(cell, state)

    def _make_settings(self) -> leases.LeaseSettings:
        return leases.LeaseSettings(
            holder=self._settings.holder,
            quiet_s=self._settings.bounds.lease_ms / 1000 + 0.2,
        )

    async def _maintain(self, cell: rows.CellId, state: _Cell) -> None:
        now = clocks.read_boot_time()
        held = self._update_held(cell, state)
        if not held and not self._peers.is_relay:
            return
        if held and await self._renew_through_peer(cell, state, now):
            return
        if not self._store_health.allows_calls:
            return
        if state.is_uncertain:
            await self._read(cell, state)
            return
        if held or self._is_own_record(state):
            if state.lease.needs_renewal(now):
                await self._write(cell, state)
            return
        self._apply_peer_reports(cell, state, now)
        if state.polled_at == float("-inf"):
            # This machine may have held the lease before a restart.
            state.polled_at = now
            await self._read(cell, state)
        if self._is_due(cell, state, now):
            await self._try_acquire(cell, state, now)

    def _update_held(self, cell: rows.CellId, state: _Cell) -> bool:
        """Detects a start or end of the lease term; returns if it is held."""
        held = state.lease.is_held(clocks.read_boot_time())
        if held != state.was_held:
            state.was_held = held
            logs.bind(cell=cell.text, epoch=state.lease.epoch).info(
                "lease term {}", "started" if held else "ended"
            )
            self._on_change()
        return held

    def _is_own_record(self, state: _Cell) -> bool:
        record = state.lease.record
        return (
            record is not None
            and record.holder == self._settings.holder
            and record.epoch == state.lease.epoch
        )

    def _apply_peer_reports(
        self, cell: rows.CellId, state: _Cell, now: float
    ) -> None:
        for peer in self._peers.list_relays():
            if peer.report is None:
                continue
            notice = _find_lease_notice(peer.report, cell)
            if notice is not None:
                state.lease.record_notice(
                    notice.revision,
                    notice.right_left_s,
                    now,
                    peer.report.known.era,
                    notice.epoch,
                )

    def _is_due(self, cell: rows.CellId, state: _Cell, now: float) -> bool:
        """Whether this instance is next to acquire the lease."""
        record = state.lease.record
        if record is not None and record.holder == self._settings.holder:
            return True
        if state.lease.may_resume(now):
            return True
        if now < self._started_at + DISCOVERY_WAIT_S:
            return False
        if self.find_holder(cell):
            state.candidate_since = float("inf")
            return False
        if state.candidate_since == float("inf"):
            state.candidate_since = now
        rank = self._find_rank(cell)
        return now >= state.candidate_since + rank * CANDIDATE_DELAY_S

    def _find_rank(self, cell: rows.CellId) -> int:
        """Returns this relay's rank; the cell's own zone ranks first."""
        settings = self._settings
        members = [(settings.instance, settings.availability_zone)]
        for peer in self._peers.list_relays():
            if peer.report is not None and not peer.report.draining:
                members.append((peer.instance, peer.zone))
        order = rendezvous.order_owners(cell.text, members, cell.zone)
        return order.index(settings.instance)

    async def _try_acquire(
        self, cell: rows.CellId, state: _Cell, now: float
    ) -> None:
        if now >= state.polled_at + READ_PERIOD_S:
            state.polled_at = now
            if not await self._read(cell, state):
                return
        if state.lease.propose("", clocks.read_boot_time()) is not None:
            await self._write(cell, state)

    async def _read(self, cell: rows.CellId, state: _Cell) -> bool:
        key = self._make_key(cell)
        era = self._cluster_state.era
        record: leases.LeaseRecord | None = None
        revision = 0
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                stored = await self._store.read(key)
            record = msgspec.json.decode(stored.value, type=leases.LeaseRecord)
            revision = stored.version
        except errors.ObjectMissingError:
            pass
        except (errors.PlatformError, TimeoutError) as error:
            self._record_failure(cell, error)
            return False
        except msgspec.DecodeError as error:
            logs.bind(cell=cell.text).error(
                "lease record cannot be decoded: {}", error
            )
            return False
        if self._is_of_other_era(era):
            return False
        state.lease.record_read(record, revision, clocks.read_boot_time())
        state.is_uncertain = False
        self._store_health.record_response()
        return True

    def _is_of_other_era(self, era: int) -> bool:
        """Whether the era has changed since a call began.

        What the call returned is then of an unknown era. A conditional write
        may have replaced a revision that the store has given out again.
        """
        self._observe_first_era()
        return self._cluster_state.era != era

    async def _renew_through_peer(
        self, cell: rows.CellId, state: _Cell, now: float
    ) -> bool:
        """Renews a held lease through a peer while the store is unreachable.

        The write conflicts if an earlier write of this instance took effect
        but its response was lost.

        Returns:
            Whether it was renewed.
        """
        if self._store_health.failing_since is None:
            return False
        if not state.lease.needs_renewal(now):
            return False
        if now < state.relayed_at + RELAY_PERIOD_S:
            return False
        state.relayed_at = now
        write = state.lease.propose(uuid.uuid4().hex[:12], now)
        if write is None:
            return False
        value = msgspec.json.encode(write.record)
        era = self._cluster_state.era
        try:
            version = await self._relay.write(
                self._make_key(cell), value, write.revision
            )
        except errors.PlatformError as error:
            state.is_uncertain = True
            logs.bind(cell=cell.text).info(
                "lease renewal through a peer failed: {}", error.detail
            )
            return False
        if self._is_of_other_era(era):
            return False
        state.is_uncertain = False
        state.lease.record_write(write, version, now)
        return True

    async def _write(self, cell: rows.CellId, state: _Cell) -> None:
        started_at = clocks.read_boot_time()
        write = state.lease.propose(uuid.uuid4().hex[:12], started_at)
        if write is None:
            return
        key = self._make_key(cell)
        value = msgspec.json.encode(write.record)
        era = self._cluster_state.era
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                version = await store_relay.write_object(
                    self._store, key, value, write.revision
                )
        except errors.PreconditionFailedError:
            state.is_uncertain = True
            return
        except (errors.PlatformError, TimeoutError) as error:
            state.is_uncertain = True
            self._record_failure(cell, error)
            await anyio.sleep(POLL_PERIOD_S * random.uniform(0.5, 1.5))
            return
        if self._is_of_other_era(era):
            return
        state.lease.record_write(write, version, started_at)
        self._update_held(cell, state)
        self._store_health.record_response()

    def _make_key(self, cell: rows.CellId) -> str:
        return f"{self._prefix}{cell.pool}.{cell.zone}"

    def _record_failure(
        self, cell: rows.CellId, error: errors.PlatformError | TimeoutError
    ) -> None:
        logs.bind(cell=cell.text).warning(
            "store call for a lease failed: {!r}", error
        )
        if not isinstance(error, errors.PlatformError):
            error = errors.PlatformUnavailableError(
                result_codes.ResultCode.PLATFORM_UNAVAILABLE,
                f"no response within {CALL_TIMEOUT_S} s",
            )
        self._store_health.record_failure(error)


def _find_lease_notice(
    report: entry_messages.InstanceReport, cell: rows.CellId
) -> entry_messages.LeaseNotice | None:
    for notice in report.rights:
        if notice.cell == cell.text:
            return notice
    return None
