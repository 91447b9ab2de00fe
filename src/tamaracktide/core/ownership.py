"""The ownership of one upstream: epochs, lost replies and unload intents.

Safety rests on the record alone. A new owner takes the next epoch by one
conditional write. Engines that check fencing refuse orders of an older
epoch. For the others each unload is first written into the record as an
intent, by a conditional write that an owner which was taken over can't make,
and a takeover withholds every name that an intent in the record mentions.
"""

import dataclasses
import enum

from tamaracktide import invariants
from tamaracktide.core import ownership_events as events
from tamaracktide.core import randomness

MAX_INTENTS = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipSettings:
    """Who this scheduler is and how often it looks.

    Attributes:
        instance: Instance id of this scheduler.
        incarnation: Changes at every start of this scheduler.
        retry_s: Wait after a failure or while another one owns.
        confirm_s: Period at which an owner reads its record again.
    """

    instance: str
    incarnation: str
    retry_s: float = 1.0
    confirm_s: float = 10.0


class State(enum.Enum):
    """What this scheduler is to the upstream."""

    IDLE = "idle"
    ACQUIRING = "taking"
    OWNING = "owning"
    RELEASING = "releasing"


class Ownership:
    """Decides over one upstream; see the module's description.

    Attributes:
        state: What this scheduler is to the upstream.
        epoch: Own epoch while owning, else 0.
    """

    def __init__(
        self, settings: OwnershipSettings, rng: randomness.Random
    ) -> None:
        """Starts without ownership; `Acquire` begins."""
        self.state = State.IDLE
        self.epoch = 0
        self._settings = settings
        self._rng = rng
        self._record: events.OwnershipRecord | None = None
        self._version = 0
        self._pending: events.OwnershipRecord | None = None
        self._silent = ("", "")
        self._wanted: dict[str, bool] = {}
        self._settled: set[str] = set()
        self._unsure: set[str] = set()
        self._inherited: frozenset[str] = frozenset()
        self._incarnation = ""
        self._loaded: frozenset[str] | None = None
        self._checks_fencing = False
        self._out = False
        self._suspended = False
        self._actions: list[events.OwnershipAction] = []

    @property
    def withheld(self) -> tuple[str, ...]:
        """Engine-side names that an order may still unload."""
        intents = self._record.intents if self._record else ()
        named = {intent.lora_name for intent in intents}
        return tuple(sorted((named - self._settled) | self._unsure))

    def handle(
        self, event: events.OwnershipEvent, now: float
    ) -> list[events.OwnershipAction]:
        """Takes an event in and returns what to do, in order."""
        self._actions = []
        match event:
            case events.Acquire():
                self._acquire()
            case events.Release():
                self._release()
            case events.OwnerChecked():
                self._note_check(event, now)
            case events.Tick():
                self._tick()
            case events.UnloadRequested():
                self._want_unload(event.lora_name)
            case events.UnloadEnded():
                self._end_unload(event)
            case events.EnginePolled():
                self._read_engine(event)
            case _:
                self._handle_store(event, now)
        return self._actions

    def _handle_store(self, event: events.OwnershipEvent, now: float) -> None:
        match event:
            case events.RecordRead():
                self._suspend(False)
                self._read_record(event, now)
            case events.WriteSucceeded():
                self._suspend(False)
                self._finish_write(event.version, now)
            case events.WriteRefused():
                self._actions.append(events.ReadRecord())
            case events.ReplyLost() | events.PlatformUnavailable():
                self._suspend(True)
                self._wake(now + self._settings.retry_s)

    def _acquire(self) -> None:
        if self.state is State.IDLE:
            self.state = State.ACQUIRING
            self._silent = ("", "")
            self._actions.append(events.ReadRecord())

    def _release(self) -> None:
        match self.state:
            case State.OWNING:
                self.state = State.RELEASING
                self._refuse_wanted()
                if self._pending is None:
                    self._write_release()
            case State.ACQUIRING if self._pending is not None:
                self.state = State.RELEASING
            case State.ACQUIRING:
                self._lose("")

    def _tick(self) -> None:
        if self.state is not State.IDLE:
            self._actions.append(events.ReadRecord())

    def _note_check(self, event: events.OwnerChecked, now: float) -> None:
        if self.state is not State.ACQUIRING or self._pending is not None:
            return
        record, checked = self._record, (event.owner, event.incarnation)
        if record is None or _get_owner(record) != checked:
            return
        if event.reachable:
            self._actions.append(events.OwnedElsewhere(event.owner))
            self._wake(now + self._settings.retry_s)
            return
        # The record is read once more: the silent owner may have been
        # replaced while it was asked.
        self._silent = checked
        self._actions.append(events.ReadRecord())

    def _read_record(self, event: events.RecordRead, now: float) -> None:
        if self.state is State.IDLE:
            return
        if event.version < self._version:
            self._wake(now + self._settings.retry_s)
            return
        pending = self._pending
        if pending and event.record and _same_write(event.record, pending):
            self._finish_write(event.version, now)
            return
        if pending and event.version == self._version:
            # The lost write has not applied. The same bytes are sent again:
            # at most one of the two can apply, and either is found.
            self._actions.append(events.WriteRecord(pending, event.version))
            return
        self._pending = None
        confirmed = self.state in (State.OWNING, State.RELEASING)
        if confirmed and event.version == self._version:
            self._continue_owning(now)
            return
        self._record = event.record
        self._version = event.version
        if confirmed:
            self._lose(event.record.owner if event.record else "")
        else:
            self._consider_taking(now)

    def _consider_taking(self, now: float) -> None:
        record = self._record
        silent, self._silent = self._silent, ("", "")
        free = record is None or record.owner in ("", self._settings.instance)
        if record is None or free or _get_owner(record) == silent:
            self._write_taking()
            return
        self._actions.append(events.CheckOwner(*_get_owner(record)))
        self._wake(now + self._settings.retry_s)

    def _continue_owning(self, now: float) -> None:
        self._wake(now + self._settings.confirm_s)
        if self.state is State.RELEASING:
            self._write_release()
        else:
            self._write_intents()

    def _finish_write(self, version: int, now: float) -> None:
        pending = self._pending
        if pending is None:
            return
        invariants.check(
            version > self._version,
            f"version {version} does not follow {self._version}",
        )
        self._pending = None
        self._record = pending
        self._version = version
        if not pending.owner:
            self._lose("")
            return
        if self.state is State.ACQUIRING:
            self._start_owning(pending)
        self._allow_wanted()
        self._continue_owning(now)

    def _start_owning(self, record: events.OwnershipRecord) -> None:
        self.state = State.OWNING
        self.epoch = record.epoch
        self._settled.clear()
        self._unsure.clear()
        self._incarnation = ""
        self._loaded = None
        self._inherited = frozenset(self.withheld)
        self._actions.append(
            events.OwnershipAcquired(self.epoch, self.withheld)
        )

    def _write_taking(self) -> None:
        record = self._record
        epoch = record.epoch if record else 0
        intents = record.intents if record else ()
        self._write(self._settings.instance, epoch + 1, intents)

    def _write_release(self) -> None:
        epoch = self._record.epoch if self._record else 0
        self._write("", epoch, self._keep_open_intents())

    def _write_intents(self) -> None:
        if self._pending or self.state is not State.OWNING or not self._wanted:
            return
        intents = self._keep_open_intents()
        if len(intents) + len(self._wanted) > MAX_INTENTS:
            self._settle_gone(intents)
            intents = self._keep_open_intents()
        known = {intent.lora_name for intent in intents}
        added = [name for name in self._wanted if name not in known]
        for lora_name in added[max(0, MAX_INTENTS - len(intents)) :]:
            del self._wanted[lora_name]
            self._actions.append(events.RefuseUnload(lora_name))
        if self._wanted:
            # An inherited intent becomes one of the own epoch.
            kept = [i for i in intents if i.lora_name not in self._wanted]
            own = [events.Intent(name, self.epoch) for name in self._wanted]
            self._write(self._settings.instance, self.epoch, (*kept, *own))

    def _write(
        self, owner: str, epoch: int, intents: tuple[events.Intent, ...]
    ) -> None:
        seen = self._record.epoch if self._record else 0
        grows = epoch == seen + 1 if self.state is State.ACQUIRING else True
        invariants.check(
            grows and epoch >= seen, f"epoch {epoch} written over {seen}"
        )
        invariants.check(self._pending is None, "a write is already pending")
        self._pending = events.OwnershipRecord(
            epoch=epoch,
            owner=owner,
            owner_incarnation=self._settings.incarnation,
            write_id=f"{self._rng.getrandbits(96):024x}",
            intents=intents,
        )
        self._actions.append(events.WriteRecord(self._pending, self._version))

    def _keep_open_intents(self) -> tuple[events.Intent, ...]:
        intents = self._record.intents if self._record else ()
        return tuple(
            intent
            for intent in intents
            if intent.lora_name not in self._settled
        )

    def _settle_gone(self, intents: tuple[events.Intent, ...]) -> None:
        """Settles intents on names that the engine no longer has.

        An intent is written for a name that is loaded, and no name is loaded
        twice, so a late order on one that is gone changes nothing.
        """
        if self._loaded is None:
            return
        self._settled.update(
            intent.lora_name
            for intent in intents
            if intent.lora_name not in self._loaded
            and intent.lora_name not in self._unsure
            and intent.lora_name not in self._wanted
        )

    def _want_unload(self, lora_name: str) -> None:
        if self.state is not State.OWNING or self._suspended:
            self._actions.append(events.RefuseUnload(lora_name))
        elif self._checks_fencing:
            self._allow(lora_name)
        else:
            self._settled.discard(lora_name)
            self._wanted[lora_name] = True
            self._write_intents()

    def _allow_wanted(self) -> None:
        intents = self._record.intents if self._record else ()
        for intent in intents:
            if intent.at_epoch != self.epoch:
                continue
            if self._wanted.pop(intent.lora_name, None):
                self._allow(intent.lora_name)
            else:
                self._settle(intent.lora_name)

    def _allow(self, lora_name: str) -> None:
        intents = self._record.intents if self._record else ()
        written = events.Intent(lora_name, self.epoch) in intents
        invariants.check(
            self.state is State.OWNING and (self._checks_fencing or written),
            f"unload of {lora_name} allowed without intent or ownership",
        )
        self._unsure.add(lora_name)
        self._actions.append(events.AllowUnload(lora_name))

    def _end_unload(self, event: events.UnloadEnded) -> None:
        if event.certain and event.lora_name in self._unsure:
            self._unsure.discard(event.lora_name)
            self._settle(event.lora_name)

    def _settle(self, lora_name: str) -> None:
        """Notes that no order is open, unless an earlier owner's may be."""
        if lora_name not in self._unsure and lora_name not in self._inherited:
            self._settled.add(lora_name)

    def _refuse_wanted(self) -> None:
        for lora_name in self._wanted:
            self._actions.append(events.RefuseUnload(lora_name))
        self._wanted.clear()

    def _read_engine(self, event: events.EnginePolled) -> None:
        self._checks_fencing = event.checks_fencing
        if event.loaded is not None:
            self._loaded = frozenset(event.loaded)
        self._suspend(self._out)
        owning = self.state in (State.OWNING, State.RELEASING)
        if owning and event.highest_fencing_token > self.epoch:
            self._lose("")
            return
        restarted = self._incarnation not in ("", event.incarnation)
        self._incarnation = event.incarnation
        if not restarted:
            return
        # Orders name the incarnation that they are meant for, so none of
        # before the restart can take effect after it.
        intents = self._record.intents if self._record else ()
        self._settled.update(intent.lora_name for intent in intents)
        self._inherited = frozenset()
        self._unsure.clear()
        self._refuse_wanted()

    def _suspend(self, out: bool) -> None:
        """Notes whether the platform is out; fenced engines don't mind."""
        self._out = out
        suspended = out and not self._checks_fencing
        if suspended:
            self._refuse_wanted()
        if suspended != self._suspended:
            self._suspended = suspended
            self._actions.append(events.SuspendUnloads(suspended))

    def _lose(self, owner: str) -> None:
        self._refuse_wanted()
        self.state = State.IDLE
        self.epoch = 0
        self._pending = None
        self._unsure.clear()
        self._settled.clear()
        self._actions.append(events.OwnershipLost(owner))

    def _wake(self, at: float) -> None:
        self._actions.append(events.WakeAt(at))


def _get_owner(record: events.OwnershipRecord) -> tuple[str, str]:
    return record.owner, record.owner_incarnation


def _same_write(
    first: events.OwnershipRecord, second: events.OwnershipRecord
) -> bool:
    return first.write_id == second.write_id
