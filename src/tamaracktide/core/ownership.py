"""State machine for the ownership of one upstream.

Safety depends only on the ownership record. A new owner claims the next
epoch with a single conditional write. Engines that check fencing tokens
reject orders of an older epoch. For engines that do not, the owner first
writes each unload into the record as an intent. An owner that has been
replaced cannot make this conditional write, and the new owner withholds
every name for which the record holds an intent.
"""

import collections
import dataclasses
import enum

from tamaracktide import invariants
from tamaracktide.core import ownership_events as events
from tamaracktide.core import randomness

MAX_INTENTS = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipSettings:
    """Identity of this scheduler and the intervals of its checks.

    Attributes:
        instance: Instance id of this scheduler.
        incarnation: Changes at every start of this scheduler.
        retry_s: Delay after a failure or while another scheduler is the owner.
        confirm_s: Interval at which an owner re-reads its record.
    """

    instance: str
    incarnation: str
    retry_s: float = 1.0
    confirm_s: float = 10.0


class State(enum.Enum):
    """Ownership state of this scheduler for the upstream."""

    IDLE = "idle"
    ACQUIRING = "taking"
    OWNING = "owning"
    RELEASING = "releasing"


class Ownership:
    """State machine of one upstream; see the module's docstring.

    Attributes:
        state: Ownership state of this scheduler.
        epoch: Epoch of this scheduler while it is the owner, else 0.
    """

    def __init__(
        self, settings: OwnershipSettings, rng: randomness.Random
    ) -> None:
        """Starts without ownership; `Acquire` starts an acquisition."""
        self.state = State.IDLE
        self.epoch = 0
        self._settings = settings
        self._rng = rng
        self._record: events.OwnershipRecord | None = None
        self._version = 0
        self._pending_write: events.OwnershipRecord | None = None
        self._unreachable_owner = ("", "")
        self._requested_unloads: dict[str, bool] = {}
        self._resolved: set[str] = set()
        self._open_unloads: collections.Counter[str] = collections.Counter()
        self._inherited: frozenset[str] = frozenset()
        self._incarnation = ""
        self._loaded: frozenset[str] | None = None
        self._checks_fencing = False
        self._platform_unavailable = False
        self._suspended = False
        self._actions: list[events.OwnershipAction] = []

    @property
    def withheld(self) -> tuple[str, ...]:
        """Engine-side names that an outstanding order may still unload."""
        intents = self._record.intents if self._record else ()
        named = {intent.lora_name for intent in intents}
        open_names = set(self._open_unloads)
        return tuple(sorted((named - self._resolved) | open_names))

    def handle(
        self, event: events.OwnershipEvent, now: float
    ) -> list[events.OwnershipAction]:
        """Applies an event and returns the actions to run, in order."""
        self._actions = []
        match event:
            case events.Acquire():
                self._acquire()
            case events.Release():
                self._release()
            case events.OwnerChecked():
                self._apply_owner_check(event, now)
            case events.Tick():
                self._tick()
            case events.UnloadRequested():
                self._request_unload(event.lora_name)
            case events.UnloadEnded():
                self._end_unload(event)
            case events.EnginePolled():
                self._apply_engine_state(event)
            case _:
                self._handle_store(event, now)
        return self._actions

    def _handle_store(self, event: events.OwnershipEvent, now: float) -> None:
        match event:
            case events.RecordRead():
                self._set_platform_unavailable(False)
                self._apply_record(event, now)
            case events.WriteSucceeded():
                self._set_platform_unavailable(False)
                self._finish_write(event.version, now)
            case events.WriteRefused():
                self._actions.append(events.ReadRecord())
            case events.ReplyLost() | events.PlatformUnavailable():
                self._set_platform_unavailable(True)
                self._schedule_tick(now + self._settings.retry_s)

    def _acquire(self) -> None:
        if self.state is State.IDLE:
            self.state = State.ACQUIRING
            self._unreachable_owner = ("", "")
            self._actions.append(events.ReadRecord())

    def _release(self) -> None:
        match self.state:
            case State.OWNING:
                self.state = State.RELEASING
                self._refuse_requested_unloads()
                if self._pending_write is None:
                    self._write_release()
            case State.ACQUIRING if self._pending_write is not None:
                self.state = State.RELEASING
            case State.ACQUIRING:
                self._lose("")

    def _tick(self) -> None:
        if self.state is not State.IDLE:
            self._actions.append(events.ReadRecord())

    def _apply_owner_check(
        self, event: events.OwnerChecked, now: float
    ) -> None:
        if self.state is not State.ACQUIRING or self._pending_write is not None:
            return
        record, checked = self._record, (event.owner, event.incarnation)
        if record is None or _get_owner(record) != checked:
            return
        if event.reachable:
            self._actions.append(events.OwnedElsewhere(event.owner))
            self._schedule_tick(now + self._settings.retry_s)
            return
        # Re-read the record: the unreachable owner may have been replaced
        # during the check.
        self._unreachable_owner = checked
        self._actions.append(events.ReadRecord())

    def _apply_record(self, event: events.RecordRead, now: float) -> None:
        if self.state is State.IDLE:
            return
        if event.version < self._version:
            self._schedule_tick(now + self._settings.retry_s)
            return
        pending = self._pending_write
        if pending and event.record and _is_same_write(event.record, pending):
            self._finish_write(event.version, now)
            return
        if pending and event.version == self._version:
            # The lost write has not been applied. Resend the same bytes: at
            # most one of the two writes can take effect, and the next read
            # recognizes either one.
            self._actions.append(events.WriteRecord(pending, event.version))
            return
        self._pending_write = None
        owning = self.state in (State.OWNING, State.RELEASING)
        if owning and event.version == self._version:
            self._continue_owning(now)
            return
        self._record = event.record
        self._version = event.version
        if owning:
            self._lose(event.record.owner if event.record else "")
        else:
            self._try_acquire(now)

    def _try_acquire(self, now: float) -> None:
        record = self._record
        unreachable, self._unreachable_owner = self._unreachable_owner, ("", "")
        free = record is None or record.owner in ("", self._settings.instance)
        if record is None or free or _get_owner(record) == unreachable:
            self._write_acquisition()
            return
        self._actions.append(events.CheckOwner(*_get_owner(record)))
        self._schedule_tick(now + self._settings.retry_s)

    def _continue_owning(self, now: float) -> None:
        self._schedule_tick(now + self._settings.confirm_s)
        if self.state is State.RELEASING:
            self._write_release()
        else:
            self._write_intents()

    def _finish_write(self, version: int, now: float) -> None:
        pending = self._pending_write
        if pending is None:
            return
        invariants.check(
            version > self._version,
            f"record version {version} is not above {self._version}",
        )
        self._pending_write = None
        self._record = pending
        self._version = version
        if not pending.owner:
            self._lose("")
            return
        if self.state is State.ACQUIRING:
            self._start_owning(pending)
        self._allow_requested_unloads()
        self._continue_owning(now)

    def _start_owning(self, record: events.OwnershipRecord) -> None:
        self.state = State.OWNING
        self.epoch = record.epoch
        self._resolved.clear()
        self._open_unloads.clear()
        self._incarnation = ""
        self._loaded = None
        self._inherited = frozenset(self.withheld)
        self._actions.append(
            events.OwnershipAcquired(self.epoch, self.withheld)
        )

    def _write_acquisition(self) -> None:
        record = self._record
        epoch = record.epoch if record else 0
        intents = record.intents if record else ()
        self._write(self._settings.instance, epoch + 1, intents)

    def _write_release(self) -> None:
        epoch = self._record.epoch if self._record else 0
        self._write("", epoch, self._list_open_intents())

    def _write_intents(self) -> None:
        if (
            self._pending_write
            or self.state is not State.OWNING
            or not self._requested_unloads
        ):
            return
        intents = self._list_open_intents()
        if len(intents) + len(self._requested_unloads) > MAX_INTENTS:
            self._resolve_unloaded(intents)
            intents = self._list_open_intents()
        recorded = {intent.lora_name for intent in intents}
        added = [
            name for name in self._requested_unloads if name not in recorded
        ]
        for lora_name in added[max(0, MAX_INTENTS - len(intents)) :]:
            del self._requested_unloads[lora_name]
            self._actions.append(events.RefuseUnload(lora_name))
        if self._requested_unloads:
            # An inherited intent is rewritten with the current epoch.
            kept = [
                i for i in intents if i.lora_name not in self._requested_unloads
            ]
            own = [
                events.Intent(name, self.epoch)
                for name in self._requested_unloads
            ]
            self._write(self._settings.instance, self.epoch, (*kept, *own))

    def _write(
        self, owner: str, epoch: int, intents: tuple[events.Intent, ...]
    ) -> None:
        recorded_epoch = self._record.epoch if self._record else 0
        grows = (
            epoch == recorded_epoch + 1
            if self.state is State.ACQUIRING
            else True
        )
        invariants.check(
            grows and epoch >= recorded_epoch,
            f"epoch {epoch} must not replace epoch {recorded_epoch}",
        )
        invariants.check(
            self._pending_write is None,
            "a write of the record is already pending",
        )
        self._pending_write = events.OwnershipRecord(
            epoch=epoch,
            owner=owner,
            owner_incarnation=self._settings.incarnation,
            write_id=f"{self._rng.getrandbits(96):024x}",
            intents=intents,
        )
        self._actions.append(
            events.WriteRecord(self._pending_write, self._version)
        )

    def _list_open_intents(self) -> tuple[events.Intent, ...]:
        intents = self._record.intents if self._record else ()
        return tuple(
            intent
            for intent in intents
            if intent.lora_name not in self._resolved
        )

    def _resolve_unloaded(self, intents: tuple[events.Intent, ...]) -> None:
        """Resolves intents for names that the engine has unloaded.

        An intent is only written for a loaded name, and no name is loaded
        twice. A late order for a name that has been unloaded has no effect.
        """
        if self._loaded is None:
            return
        self._resolved.update(
            intent.lora_name
            for intent in intents
            if intent.lora_name not in self._loaded
            and intent.lora_name not in self._open_unloads
            and intent.lora_name not in self._requested_unloads
        )

    def _request_unload(self, lora_name: str) -> None:
        if self.state is not State.OWNING or self._suspended:
            self._actions.append(events.RefuseUnload(lora_name))
        elif self._checks_fencing:
            self._allow(lora_name)
        else:
            self._resolved.discard(lora_name)
            self._requested_unloads[lora_name] = True
            self._write_intents()

    def _allow_requested_unloads(self) -> None:
        intents = self._record.intents if self._record else ()
        for intent in intents:
            if intent.at_epoch != self.epoch:
                continue
            if self._requested_unloads.pop(intent.lora_name, None):
                self._allow(intent.lora_name)
            else:
                self._resolve(intent.lora_name)

    def _allow(self, lora_name: str) -> None:
        intents = self._record.intents if self._record else ()
        written = events.Intent(lora_name, self.epoch) in intents
        invariants.check(
            self.state is State.OWNING and (self._checks_fencing or written),
            f"unload of {lora_name} allowed without ownership or intent",
        )
        self._open_unloads[lora_name] += 1
        self._actions.append(events.AllowUnload(lora_name))

    def _end_unload(self, event: events.UnloadEnded) -> None:
        """Counts down the open orders for a name.

        The name is resolved only when every order for it has ended: a repeated
        order may still arrive after the first one was answered.
        """
        if not event.certain or event.lora_name not in self._open_unloads:
            return
        self._open_unloads[event.lora_name] -= 1
        if self._open_unloads[event.lora_name] == 0:
            del self._open_unloads[event.lora_name]
            self._resolve(event.lora_name)

    def _resolve(self, lora_name: str) -> None:
        """Marks an intent as resolved unless an order may be outstanding.

        Orders of earlier owners count as outstanding until the engine restarts.
        """
        if (
            lora_name not in self._open_unloads
            and lora_name not in self._inherited
        ):
            self._resolved.add(lora_name)

    def _refuse_requested_unloads(self) -> None:
        for lora_name in self._requested_unloads:
            self._actions.append(events.RefuseUnload(lora_name))
        self._requested_unloads.clear()

    def _apply_engine_state(self, event: events.EnginePolled) -> None:
        self._checks_fencing = event.checks_fencing
        if event.loaded is not None:
            self._loaded = frozenset(event.loaded)
        self._set_platform_unavailable(self._platform_unavailable)
        owning = self.state in (State.OWNING, State.RELEASING)
        if owning and event.highest_fencing_token > self.epoch:
            self._lose("")
            return
        restarted = self._incarnation not in ("", event.incarnation)
        self._incarnation = event.incarnation
        if not restarted:
            return
        # Each order names the incarnation it is for, so no order from before
        # the restart can take effect after it.
        intents = self._record.intents if self._record else ()
        self._resolved.update(intent.lora_name for intent in intents)
        self._inherited = frozenset()
        self._open_unloads.clear()
        self._refuse_requested_unloads()

    def _set_platform_unavailable(self, unavailable: bool) -> None:
        """Records whether the platform is unavailable.

        Unloads stay allowed on engines that check fencing tokens.
        """
        self._platform_unavailable = unavailable
        suspended = unavailable and not self._checks_fencing
        if suspended:
            self._refuse_requested_unloads()
        if suspended != self._suspended:
            self._suspended = suspended
            self._actions.append(events.SuspendUnloads(suspended))

    def _lose(self, owner: str) -> None:
        self._refuse_requested_unloads()
        self.state = State.IDLE
        self.epoch = 0
        self._pending_write = None
        self._open_unloads.clear()
        self._resolved.clear()
        self._actions.append(events.OwnershipLost(owner))

    def _schedule_tick(self, at: float) -> None:
        self._actions.append(events.WakeAt(at))


def _get_owner(record: events.OwnershipRecord) -> tuple[str, str]:
    return record.owner, record.owner_incarnation


def _is_same_write(
    first: events.OwnershipRecord, second: events.OwnershipRecord
) -> bool:
    return first.write_id == second.write_id
