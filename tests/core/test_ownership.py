"""Tests of the ownership of one upstream, alone and against each other."""

import dataclasses
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import ownership
from tamaracktide.core import ownership_events as events

SCHEDULERS = ("s0", "s1", "s2")
ADAPTERS = ("a", "b")
MOST_ACTIONS = 100


@dataclasses.dataclass(slots=True)
class Store:
    """One object with versions and conditional writes."""

    record: events.OwnershipRecord | None = None
    version: int = 0

    def write(self, action: events.WriteRecord) -> bool:
        """Applies a conditional write; returns whether it took effect."""
        if action.expected_version != self.version:
            return False
        self.record = events.decode_record(events.encode_record(action.record))
        self.version += 1
        return True


def make_owner(name: str, incarnation: str = "i") -> ownership.Ownership:
    """Returns a machine with a generator of its own."""
    config = ownership.OwnershipSettings(instance=name, incarnation=incarnation)
    return ownership.Ownership(config, random.Random(name))


def drive(
    owner: ownership.Ownership, store: Store, event: events.OwnershipEvent
) -> list[events.OwnershipAction]:
    """Feeds an event, serves all store actions, returns the others."""
    rest: list[events.OwnershipAction] = []
    queue = owner.handle(event, 0.0)
    for _ in range(MOST_ACTIONS):
        if not queue:
            return rest
        action = queue.pop(0)
        match action:
            case events.ReadRecord():
                read = events.RecordRead(store.record, store.version)
                queue += owner.handle(read, 0.0)
            case events.WriteRecord():
                if store.write(action):
                    done = events.WriteSucceeded(store.version)
                    queue += owner.handle(done, 0.0)
                else:
                    queue += owner.handle(events.WriteRefused(), 0.0)
            case events.WakeAt():
                pass
            case _:
                rest.append(action)
    raise AssertionError(f"{event} never comes to an end")


def test_first_owner_takes_epoch_one() -> None:
    """Without a record the first conditional write decides."""
    owner, store = make_owner("s0"), Store()
    assert drive(owner, store, events.Acquire()) == [
        events.OwnershipAcquired(1)
    ]
    assert store.record is not None
    assert (store.record.owner, store.record.epoch) == ("s0", 1)


def test_reachable_owner_keeps_the_upstream() -> None:
    """Nobody takes over from an owner that answers."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    check = events.CheckOwner("s0", "i")
    assert drive(second, store, events.Acquire()) == [check]
    answer = events.OwnerChecked("s0", "i", reachable=True)
    assert drive(second, store, answer) == [events.OwnedElsewhere("s0")]
    assert store.version == 1


def test_takeover_withholds_open_intents_and_ends_the_old_owner() -> None:
    """An unload that may still arrive is known to the next owner."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    drive(
        first, store, events.EnginePolled(incarnation="e", checks_fencing=False)
    )
    wanted = drive(first, store, events.UnloadRequested("a"))
    assert wanted == [events.AllowUnload("a")]
    drive(second, store, events.Acquire())
    silent = events.OwnerChecked("s0", "i", reachable=False)
    assert drive(second, store, silent) == [events.OwnershipAcquired(2, ("a",))]
    late = drive(first, store, events.UnloadRequested("b"))
    assert late == [events.RefuseUnload("b"), events.OwnershipLost("s1")]
    assert first.state is ownership.State.IDLE


def test_settled_unload_leaves_the_record_with_the_next_write() -> None:
    """An order that was answered needs no intent any more."""
    owner, store = make_owner("s0"), Store()
    drive(owner, store, events.Acquire())
    drive(owner, store, events.UnloadRequested("a"))
    drive(owner, store, events.UnloadEnded("a", certain=True))
    assert owner.withheld == ()
    drive(owner, store, events.UnloadRequested("b"))
    assert store.record is not None
    assert store.record.intents == (events.Intent("b", 1),)


def test_lost_reply_is_settled_by_reading_the_own_write() -> None:
    """A write that applied is found again by its id, not repeated."""
    owner, store = make_owner("s0"), Store()
    (_, write) = (
        owner.handle(events.Acquire(), 0.0),
        owner.handle(events.RecordRead(None, 0), 0.0)[0],
    )
    assert isinstance(write, events.WriteRecord)
    assert store.write(write)
    owner.handle(events.ReplyLost(), 0.0)
    assert events.OwnershipAcquired(1) in drive(owner, store, events.Tick())
    assert store.version == 1


def test_platform_outage_stops_unloads_of_unfenced_engines_only() -> None:
    """An owner keeps owning; only fenced engines still see unloads."""
    for checks_fencing in (False, True):
        owner, store = make_owner("s0"), Store()
        drive(owner, store, events.Acquire())
        drive(
            owner,
            store,
            events.EnginePolled(incarnation="e", checks_fencing=checks_fencing),
        )
        told = owner.handle(events.PlatformUnavailable(), 0.0)
        assert (events.SuspendUnloads(True) in told) is not checks_fencing
        answer = owner.handle(events.UnloadRequested("a"), 0.0)
        expected = events.AllowUnload if checks_fencing else events.RefuseUnload
        assert answer == [expected("a")]
        assert owner.state is ownership.State.OWNING


def test_release_frees_the_record_for_the_next_owner() -> None:
    """After a planned handover nobody has to be asked."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    assert drive(first, store, events.Release()) == [events.OwnershipLost("")]
    assert drive(second, store, events.Acquire()) == [
        events.OwnershipAcquired(2)
    ]


def test_newer_token_at_the_engine_ends_ownership() -> None:
    """An engine that has seen a higher token has another owner."""
    owner, store = make_owner("s0"), Store()
    drive(owner, store, events.Acquire())
    seen = events.EnginePolled(
        incarnation="e", checks_fencing=True, highest_fencing_token=2
    )
    assert events.OwnershipLost("") in drive(owner, store, seen)


def take_full_record(count: int) -> tuple[ownership.Ownership, Store]:
    """Returns an owner of an unfenced engine that inherited many intents."""
    owner, store = make_owner("s0"), Store()
    intents = tuple(events.Intent(f"old{n}", 1) for n in range(count))
    store.record = events.OwnershipRecord(
        epoch=1, owner="", owner_incarnation="", write_id="w", intents=intents
    )
    store.version = 1
    drive(owner, store, events.Acquire())
    return owner, store


def read_loaded(*names: str) -> events.EnginePolled:
    """Returns a read of an unfenced engine with these names loaded."""
    return events.EnginePolled(
        incarnation="e", checks_fencing=False, loaded=names
    )


def test_full_list_drops_intents_on_names_that_are_gone() -> None:
    """What is not loaded is never loaded again, so evictions go on."""
    owner, store = take_full_record(ownership.MAX_INTENTS)
    drive(owner, store, read_loaded("old7", "new"))
    answer = drive(owner, store, events.UnloadRequested("new"))
    assert answer == [events.AllowUnload("new")]
    assert store.record is not None
    assert store.record.intents == (
        events.Intent("old7", 1),
        events.Intent("new", 2),
    )
    assert owner.withheld == ("new", "old7")


def test_full_list_of_loaded_names_refuses_unloads() -> None:
    """An intent on a name that is loaded is never dropped."""
    owner, store = take_full_record(ownership.MAX_INTENTS)
    names = [f"old{n}" for n in range(ownership.MAX_INTENTS)]
    drive(owner, store, read_loaded(*names, "new"))
    answer = drive(owner, store, events.UnloadRequested("new"))
    assert answer == [events.RefuseUnload("new")]
    assert len(owner.withheld) == ownership.MAX_INTENTS


def test_refused_unload_of_an_inherited_name_keeps_its_intent() -> None:
    """Whatever is asked at the same time, no open intent is dropped."""
    owner, store = take_full_record(ownership.MAX_INTENTS)
    names = [f"old{n}" for n in range(ownership.MAX_INTENTS)]
    drive(owner, store, read_loaded(*names, "new", "next"))
    pending = owner.handle(events.UnloadRequested("old1"), 0.0)
    for name in ("new", "old0", "next"):
        owner.handle(events.UnloadRequested(name), 0.0)
    (write,) = pending
    assert isinstance(write, events.WriteRecord)
    assert store.write(write)
    drive(owner, store, events.WriteSucceeded(store.version))
    assert store.record is not None
    assert {one.lora_name for one in store.record.intents} == set(names)


def test_full_list_keeps_intents_that_no_read_has_settled() -> None:
    """What an earlier owner saw loaded says nothing after a takeover."""
    owner, store = take_full_record(ownership.MAX_INTENTS)
    drive(
        owner, store, events.EnginePolled(incarnation="e", checks_fencing=False)
    )
    answer = drive(owner, store, events.UnloadRequested("new"))
    assert answer == [events.RefuseUnload("new")]


def test_unsure_own_unload_keeps_its_intent_in_a_full_list() -> None:
    """An order without an answer may still arrive, whatever is loaded."""
    owner, store = take_full_record(ownership.MAX_INTENTS - 1)
    drive(owner, store, read_loaded("a", "b"))
    assert drive(owner, store, events.UnloadRequested("a"))
    drive(owner, store, events.UnloadEnded("a", certain=False))
    drive(owner, store, read_loaded("b"))
    drive(owner, store, events.UnloadRequested("b"))
    assert store.record is not None
    own = (events.Intent("a", 2), events.Intent("b", 2))
    assert store.record.intents == own


def test_withheld_name_can_be_unloaded_and_stays_withheld() -> None:
    """A new owner needs the slot; the old owner's order may still come."""
    owner, store = take_full_record(1)
    drive(owner, store, read_loaded("old0"))
    answer = drive(owner, store, events.UnloadRequested("old0"))
    assert answer == [events.AllowUnload("old0")]
    drive(owner, store, events.UnloadEnded("old0", certain=True))
    drive(owner, store, events.UnloadRequested("new"))
    assert owner.withheld == ("new", "old0")
    restarted = events.EnginePolled(incarnation="f", checks_fencing=False)
    drive(owner, store, restarted)
    assert not owner.withheld


def test_stale_read_neither_ends_ownership_nor_gives_it() -> None:
    """A store that answers an old version is asked again later."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    old = events.RecordRead(store.record, store.version)
    drive(second, store, events.Acquire())
    drive(second, store, events.OwnerChecked("s0", "i", reachable=False))
    assert second.epoch == 2
    drive(second, store, events.UnloadRequested("a"))
    second.handle(events.Tick(), 0.0)
    told = second.handle(old, 5.0)
    assert told == [events.WakeAt(6.0)]
    assert (second.state, second.epoch) == (ownership.State.OWNING, 2)
    assert drive(second, store, events.Tick()) == []


def test_stale_read_never_settles_a_lost_write() -> None:
    """The same write is sent again only onto the version it was made for."""
    owner, store = make_owner("s0"), Store()
    drive(owner, store, events.Acquire())
    first = events.RecordRead(store.record, store.version)
    drive(owner, store, read_loaded("a", "b"))
    drive(owner, store, events.UnloadRequested("a"))
    (write,) = owner.handle(events.UnloadRequested("b"), 0.0)
    assert isinstance(write, events.WriteRecord)
    owner.handle(events.ReplyLost(), 0.0)
    owner.handle(events.Tick(), 0.0)
    told = owner.handle(first, 0.0)
    assert told[-1] == events.WakeAt(1.0)
    assert not any(isinstance(one, events.WriteRecord) for one in told)
    (again,) = owner.handle(events.RecordRead(store.record, store.version), 0.0)
    assert again == write


class Race(stateful.RuleBasedStateMachine):
    """Three schedulers with arbitrary delays race for an unfenced engine.

    Actions wait in each scheduler's queue until a rule runs them, writes may
    lose their reply or apply late, and unload orders may arrive at any time.
    """

    def __init__(self) -> None:
        """Starts without a record."""
        super().__init__()
        self.store = Store()
        self.owners = {name: make_owner(name) for name in SCHEDULERS}
        self.queues: dict[str, list[events.OwnershipAction]] = {
            name: [] for name in SCHEDULERS
        }
        self.epochs: dict[str, int] = dict.fromkeys(SCHEDULERS, 0)
        self.ready: dict[int, tuple[str, tuple[str, ...]]] = {}
        self.late_writes: list[events.WriteRecord] = []
        self.orders: list[tuple[int, str, str]] = []
        self.loads = 0

    def feed(self, name: str, event: events.OwnershipEvent) -> None:
        """Feeds one machine and files its actions."""
        for action in self.owners[name].handle(event, 0.0):
            match action:
                case events.OwnershipAcquired():
                    assert action.epoch not in self.ready
                    self.ready[action.epoch] = (name, action.withheld)
                    self.epochs[name] = action.epoch
                case events.AllowUnload():
                    order = (self.epochs[name], name, action.lora_name)
                    self.orders.append(order)
                case events.OwnershipLost():
                    self.epochs[name] = 0
                case events.WakeAt():
                    pass
                case _:
                    self.queues[name].append(action)

    @stateful.rule(name=strategies.sampled_from(SCHEDULERS))
    def acquire(self, name: str) -> None:
        """A scheduler thinks that it should own."""
        self.feed(name, events.Acquire())

    @stateful.rule(name=strategies.sampled_from(SCHEDULERS))
    def release(self, name: str) -> None:
        """A scheduler hands over."""
        self.feed(name, events.Release())

    @stateful.rule(name=strategies.sampled_from(SCHEDULERS))
    def tick(self, name: str) -> None:
        """A timer is due."""
        self.feed(name, events.Tick())

    @stateful.rule(name=strategies.sampled_from(SCHEDULERS))
    def settle(self, name: str) -> None:
        """A scheduler takes the upstream if it can; nothing fails."""
        self.feed(name, events.Acquire())
        for _ in range(12):
            self.run_action(name, "done", False)

    @stateful.precondition(lambda self: any(self.epochs.values()))
    @stateful.rule(
        adapter=strategies.sampled_from(ADAPTERS),
        data=strategies.data(),
        promptly=strategies.booleans(),
    )
    def want_unload(
        self, adapter: str, data: strategies.DataObject, promptly: bool
    ) -> None:
        """One that thinks it owns wants to evict; names are never reused."""
        owning = [name for name in SCHEDULERS if self.epochs[name]]
        name = data.draw(strategies.sampled_from(owning))
        self.feed(name, events.UnloadRequested(f"{adapter}{self.loads}"))
        if promptly:
            self.run_action(name, "done", False)

    @stateful.rule()
    def load_again(self) -> None:
        """Adapters get new engine-side names."""
        self.loads += 1

    @stateful.rule(
        name=strategies.sampled_from(SCHEDULERS),
        fate=strategies.sampled_from(("done", "lost", "late", "out")),
        reachable=strategies.booleans(),
    )
    def run_action(self, name: str, fate: str, reachable: bool) -> None:
        """Carries out the oldest action, with or without a fault."""
        if not self.queues[name]:
            return
        match self.queues[name].pop(0):
            case events.ReadRecord() if fate == "done":
                read = events.RecordRead(self.store.record, self.store.version)
                self.feed(name, read)
            case events.ReadRecord():
                self.feed(name, events.PlatformUnavailable())
            case events.WriteRecord() as write:
                self.run_write(name, write, fate)
            case events.CheckOwner(owner, incarnation):
                checked = events.OwnerChecked(owner, incarnation, reachable)
                self.feed(name, checked)

    def run_write(
        self, name: str, write: events.WriteRecord, fate: str
    ) -> None:
        """Applies a write now, later or without a reply."""
        if fate == "late":
            self.late_writes.append(write)
            self.feed(name, events.ReplyLost())
            return
        applied = self.store.write(write)
        if fate != "done":
            self.feed(name, events.ReplyLost())
        elif applied:
            self.feed(name, events.WriteSucceeded(self.store.version))
        else:
            self.feed(name, events.WriteRefused())

    @stateful.rule()
    def apply_late_write(self) -> None:
        """A write whose writer gave up waiting reaches the store."""
        if self.late_writes:
            self.store.write(self.late_writes.pop(0))

    @stateful.precondition(lambda self: self.orders)
    @stateful.rule(certain=strategies.booleans())
    def answer_order(self, certain: bool) -> None:
        """An order is answered, or its answer is lost and it stays sent."""
        epoch, name, lora_name = self.orders[0]
        if certain:
            del self.orders[0]
        if self.epochs[name] == epoch:
            self.feed(name, events.UnloadEnded(lora_name, certain))

    @stateful.invariant()
    def orders_of_older_owners_are_withheld(self) -> None:
        """No order that may still arrive names what a newer owner grants."""
        for epoch, _, lora_name in self.orders:
            for later, (_, withheld) in self.ready.items():
                assert later <= epoch or lora_name in withheld

    @stateful.invariant()
    def epochs_never_exceed_the_record(self) -> None:
        """Nobody owns under an epoch that the store does not know."""
        known = self.store.record.epoch if self.store.record else 0
        assert all(epoch <= known for epoch in self.epochs.values())


TestRace = Race.TestCase
TestRace.settings = settings(
    max_examples=300, stateful_step_count=60, derandomize=True, deadline=None
)
