"""Tests of the ownership state machine, with one and several schedulers."""

import dataclasses
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import ownership
from tamaracktide.core import ownership_events as events

SCHEDULERS = ("s0", "s1", "s2")
ADAPTERS = ("a", "b")
MAX_ACTIONS = 100


@dataclasses.dataclass(slots=True)
class Store:
    """A store with one versioned object and conditional writes."""

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
    """Returns a state machine with its own random generator."""
    config = ownership.OwnershipSettings(instance=name, incarnation=incarnation)
    return ownership.Ownership(config, random.Random(name))


def drive(
    owner: ownership.Ownership, store: Store, event: events.OwnershipEvent
) -> list[events.OwnershipAction]:
    """Applies an event, runs all store actions and returns the others."""
    other_actions: list[events.OwnershipAction] = []
    queue = owner.handle(event, 0.0)
    for _ in range(MAX_ACTIONS):
        if not queue:
            return other_actions
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
                other_actions.append(action)
    raise AssertionError(f"no end of actions after {event}")


def test_first_owner_acquires_epoch_one() -> None:
    """Without a record, the first conditional write determines the owner."""
    owner, store = make_owner("s0"), Store()
    assert drive(owner, store, events.Acquire()) == [
        events.OwnershipAcquired(1)
    ]
    assert store.record is not None
    assert (store.record.owner, store.record.epoch) == ("s0", 1)


def test_reachable_owner_keeps_the_upstream() -> None:
    """No scheduler takes over from an owner that responds."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    check = events.CheckOwner("s0", "i")
    assert drive(second, store, events.Acquire()) == [check]
    check_result = events.OwnerChecked("s0", "i", reachable=True)
    assert drive(second, store, check_result) == [events.OwnedElsewhere("s0")]
    assert store.version == 1


def test_takeover_withholds_open_intents_and_replaces_the_old_owner() -> None:
    """The next owner withholds names of unloads that may still arrive."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    drive(
        first, store, events.EnginePolled(incarnation="e", checks_fencing=False)
    )
    unload_actions = drive(first, store, events.UnloadRequested("a"))
    assert unload_actions == [events.AllowUnload("a")]
    drive(second, store, events.Acquire())
    unreachable_check = events.OwnerChecked("s0", "i", reachable=False)
    assert drive(second, store, unreachable_check) == [
        events.OwnershipAcquired(2, ("a",))
    ]
    late_order_actions = drive(first, store, events.UnloadRequested("b"))
    assert late_order_actions == [
        events.RefuseUnload("b"),
        events.OwnershipLost("s1"),
    ]
    assert first.state is ownership.State.IDLE


def test_next_write_removes_the_intent_of_a_completed_unload() -> None:
    """A completed order no longer needs an intent."""
    owner, store = make_owner("s0"), Store()
    drive(owner, store, events.Acquire())
    drive(owner, store, events.UnloadRequested("a"))
    drive(owner, store, events.UnloadEnded("a", certain=True))
    assert owner.withheld == ()
    drive(owner, store, events.UnloadRequested("b"))
    assert store.record is not None
    assert store.record.intents == (events.Intent("b", 1),)


def test_read_of_own_write_resolves_a_lost_reply() -> None:
    """A write that took effect is recognized by its id and not repeated."""
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


def test_platform_outage_suspends_unloads_of_unfenced_engines_only() -> None:
    """The owner keeps ownership; only fenced engines get more unloads."""
    for checks_fencing in (False, True):
        owner, store = make_owner("s0"), Store()
        drive(owner, store, events.Acquire())
        drive(
            owner,
            store,
            events.EnginePolled(incarnation="e", checks_fencing=checks_fencing),
        )
        actions = owner.handle(events.PlatformUnavailable(), 0.0)
        assert (events.SuspendUnloads(True) in actions) is not checks_fencing
        unload_actions = owner.handle(events.UnloadRequested("a"), 0.0)
        expected = events.AllowUnload if checks_fencing else events.RefuseUnload
        assert unload_actions == [expected("a")]
        assert owner.state is ownership.State.OWNING


def test_release_frees_the_record_for_the_next_owner() -> None:
    """After a planned handover, no owner check is needed."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    assert drive(first, store, events.Release()) == [events.OwnershipLost("")]
    assert drive(second, store, events.Acquire()) == [
        events.OwnershipAcquired(2)
    ]


def test_higher_fencing_token_at_the_engine_ends_ownership() -> None:
    """An engine that has seen a higher token has a newer owner."""
    owner, store = make_owner("s0"), Store()
    drive(owner, store, events.Acquire())
    poll = events.EnginePolled(
        incarnation="e", checks_fencing=True, highest_fencing_token=2
    )
    assert events.OwnershipLost("") in drive(owner, store, poll)


def acquire_with_intents(count: int) -> tuple[ownership.Ownership, Store]:
    """Returns an owner of an unfenced engine with inherited intents."""
    owner, store = make_owner("s0"), Store()
    intents = tuple(events.Intent(f"old{n}", 1) for n in range(count))
    store.record = events.OwnershipRecord(
        epoch=1, owner="", owner_incarnation="", write_id="w", intents=intents
    )
    store.version = 1
    drive(owner, store, events.Acquire())
    return owner, store


def make_poll(*names: str) -> events.EnginePolled:
    """Returns a poll of an unfenced engine with these names loaded."""
    return events.EnginePolled(
        incarnation="e", checks_fencing=False, loaded=names
    )


def test_full_list_drops_intents_for_unloaded_names() -> None:
    """Unloaded names are never loaded again, so evictions can continue."""
    owner, store = acquire_with_intents(ownership.MAX_INTENTS)
    drive(owner, store, make_poll("old7", "new"))
    actions = drive(owner, store, events.UnloadRequested("new"))
    assert actions == [events.AllowUnload("new")]
    assert store.record is not None
    assert store.record.intents == (
        events.Intent("old7", 1),
        events.Intent("new", 2),
    )
    assert owner.withheld == ("new", "old7")


def test_full_list_of_loaded_names_refuses_unloads() -> None:
    """An intent for a loaded name is never dropped."""
    owner, store = acquire_with_intents(ownership.MAX_INTENTS)
    names = [f"old{n}" for n in range(ownership.MAX_INTENTS)]
    drive(owner, store, make_poll(*names, "new"))
    actions = drive(owner, store, events.UnloadRequested("new"))
    assert actions == [events.RefuseUnload("new")]
    assert len(owner.withheld) == ownership.MAX_INTENTS


def test_refused_unload_of_an_inherited_name_keeps_its_intent() -> None:
    """Concurrent unload requests never drop an open intent."""
    owner, store = acquire_with_intents(ownership.MAX_INTENTS)
    names = [f"old{n}" for n in range(ownership.MAX_INTENTS)]
    drive(owner, store, make_poll(*names, "new", "next"))
    pending = owner.handle(events.UnloadRequested("old1"), 0.0)
    for name in ("new", "old0", "next"):
        owner.handle(events.UnloadRequested(name), 0.0)
    (write,) = pending
    assert isinstance(write, events.WriteRecord)
    assert store.write(write)
    drive(owner, store, events.WriteSucceeded(store.version))
    assert store.record is not None
    assert {intent.lora_name for intent in store.record.intents} == set(names)


def test_full_list_keeps_intents_before_the_first_poll() -> None:
    """Without a poll after the takeover, the loaded names are unknown."""
    owner, store = acquire_with_intents(ownership.MAX_INTENTS)
    drive(
        owner, store, events.EnginePolled(incarnation="e", checks_fencing=False)
    )
    actions = drive(owner, store, events.UnloadRequested("new"))
    assert actions == [events.RefuseUnload("new")]


def test_unload_of_unknown_outcome_keeps_its_intent_in_a_full_list() -> None:
    """An order without a reply may still arrive, whatever names are loaded."""
    owner, store = acquire_with_intents(ownership.MAX_INTENTS - 1)
    drive(owner, store, make_poll("a", "b"))
    assert drive(owner, store, events.UnloadRequested("a"))
    drive(owner, store, events.UnloadEnded("a", certain=False))
    drive(owner, store, make_poll("b"))
    drive(owner, store, events.UnloadRequested("b"))
    assert store.record is not None
    own = (events.Intent("a", 2), events.Intent("b", 2))
    assert store.record.intents == own


def test_withheld_name_can_be_unloaded_and_stays_withheld() -> None:
    """A new owner needs the slot; the old owner's order may still arrive."""
    owner, store = acquire_with_intents(1)
    drive(owner, store, make_poll("old0"))
    actions = drive(owner, store, events.UnloadRequested("old0"))
    assert actions == [events.AllowUnload("old0")]
    drive(owner, store, events.UnloadEnded("old0", certain=True))
    drive(owner, store, events.UnloadRequested("new"))
    assert owner.withheld == ("new", "old0")
    restarted = events.EnginePolled(incarnation="f", checks_fencing=False)
    drive(owner, store, restarted)
    assert not owner.withheld


def test_name_with_two_open_orders_stays_withheld_until_both_ended() -> None:
    """A repeated order may arrive after the answer to the first one."""
    owner, store = make_owner("s1"), Store()
    drive(owner, store, events.Acquire())
    for _ in range(2):
        drive(owner, store, events.UnloadRequested("a0"))
    drive(owner, store, events.UnloadEnded("a0", certain=True))
    drive(owner, store, events.UnloadRequested("b0"))
    assert owner.withheld == ("a0", "b0")
    next_owner = make_owner("s0")
    drive(next_owner, store, events.Acquire())
    check = events.OwnerChecked("s1", "i", reachable=False)
    assert drive(next_owner, store, check) == [
        events.OwnershipAcquired(2, ("a0", "b0"))
    ]


def test_name_is_resolved_when_both_orders_ended() -> None:
    """After the answers to both orders, none can arrive any more."""
    owner, store = make_owner("s1"), Store()
    drive(owner, store, events.Acquire())
    for _ in range(2):
        drive(owner, store, events.UnloadRequested("a0"))
    for _ in range(2):
        drive(owner, store, events.UnloadEnded("a0", certain=True))
    assert owner.withheld == ()


def test_stale_read_neither_ends_nor_starts_ownership() -> None:
    """After a stale read, the record is read again later."""
    first, second, store = make_owner("s0"), make_owner("s1"), Store()
    drive(first, store, events.Acquire())
    old = events.RecordRead(store.record, store.version)
    drive(second, store, events.Acquire())
    drive(second, store, events.OwnerChecked("s0", "i", reachable=False))
    assert second.epoch == 2
    drive(second, store, events.UnloadRequested("a"))
    second.handle(events.Tick(), 0.0)
    actions = second.handle(old, 5.0)
    assert actions == [events.WakeAt(6.0)]
    assert (second.state, second.epoch) == (ownership.State.OWNING, 2)
    assert drive(second, store, events.Tick()) == []


def test_stale_read_never_resolves_a_lost_write() -> None:
    """A lost write is resent only if the expected version is unchanged."""
    owner, store = make_owner("s0"), Store()
    drive(owner, store, events.Acquire())
    first = events.RecordRead(store.record, store.version)
    drive(owner, store, make_poll("a", "b"))
    drive(owner, store, events.UnloadRequested("a"))
    (write,) = owner.handle(events.UnloadRequested("b"), 0.0)
    assert isinstance(write, events.WriteRecord)
    owner.handle(events.ReplyLost(), 0.0)
    owner.handle(events.Tick(), 0.0)
    actions = owner.handle(first, 0.0)
    assert actions[-1] == events.WakeAt(1.0)
    assert not any(isinstance(action, events.WriteRecord) for action in actions)
    (again,) = owner.handle(events.RecordRead(store.record, store.version), 0.0)
    assert again == write


class Race(stateful.RuleBasedStateMachine):
    """Three schedulers with arbitrary delays compete for an unfenced engine.

    Actions wait in the queue of each scheduler until a rule runs them. Writes
    may lose their reply or take effect late, and unload orders may arrive at
    any time.
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
        self.delayed_writes: list[events.WriteRecord] = []
        self.orders: list[tuple[int, str, str]] = []
        self.loads = 0

    def feed(self, name: str, event: events.OwnershipEvent) -> None:
        """Applies an event to one state machine and queues its actions."""
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
        """A scheduler should own the upstream."""
        self.feed(name, events.Acquire())

    @stateful.rule(name=strategies.sampled_from(SCHEDULERS))
    def release(self, name: str) -> None:
        """A scheduler releases the upstream."""
        self.feed(name, events.Release())

    @stateful.rule(name=strategies.sampled_from(SCHEDULERS))
    def tick(self, name: str) -> None:
        """A timer expires."""
        self.feed(name, events.Tick())

    @stateful.rule(name=strategies.sampled_from(SCHEDULERS))
    def acquire_without_faults(self, name: str) -> None:
        """A scheduler acquires the upstream if possible, without faults."""
        self.feed(name, events.Acquire())
        for _ in range(12):
            self.run_action(name, "done", False)

    @stateful.precondition(lambda self: any(self.epochs.values()))
    @stateful.rule(
        adapter=strategies.sampled_from(ADAPTERS),
        data=strategies.data(),
        immediately=strategies.booleans(),
    )
    def request_unload(
        self, adapter: str, data: strategies.DataObject, immediately: bool
    ) -> None:
        """A presumed owner requests an unload; names are never reused."""
        owning = [name for name in SCHEDULERS if self.epochs[name]]
        name = data.draw(strategies.sampled_from(owning))
        self.feed(name, events.UnloadRequested(f"{adapter}{self.loads}"))
        if immediately:
            self.run_action(name, "done", False)

    @stateful.rule()
    def reload(self) -> None:
        """Adapters get new engine-side names."""
        self.loads += 1

    @stateful.rule(
        name=strategies.sampled_from(SCHEDULERS),
        outcome=strategies.sampled_from(
            ("done", "lost", "delayed", "unavailable")
        ),
        reachable=strategies.booleans(),
    )
    def run_action(self, name: str, outcome: str, reachable: bool) -> None:
        """Runs the oldest action, with or without a fault."""
        if not self.queues[name]:
            return
        match self.queues[name].pop(0):
            case events.ReadRecord() if outcome == "done":
                read = events.RecordRead(self.store.record, self.store.version)
                self.feed(name, read)
            case events.ReadRecord():
                self.feed(name, events.PlatformUnavailable())
            case events.WriteRecord() as write:
                self.run_write(name, write, outcome)
            case events.CheckOwner(owner, incarnation):
                checked = events.OwnerChecked(owner, incarnation, reachable)
                self.feed(name, checked)

    def run_write(
        self, name: str, write: events.WriteRecord, outcome: str
    ) -> None:
        """Applies a write immediately, with a delay or without a reply."""
        if outcome == "delayed":
            self.delayed_writes.append(write)
            self.feed(name, events.ReplyLost())
            return
        applied = self.store.write(write)
        if outcome != "done":
            self.feed(name, events.ReplyLost())
        elif applied:
            self.feed(name, events.WriteSucceeded(self.store.version))
        else:
            self.feed(name, events.WriteRefused())

    @stateful.rule()
    def apply_delayed_write(self) -> None:
        """A delayed write reaches the store after its writer's time-out."""
        if self.delayed_writes:
            self.store.write(self.delayed_writes.pop(0))

    @stateful.precondition(lambda self: self.orders)
    @stateful.rule(certain=strategies.booleans())
    def answer_order(self, certain: bool) -> None:
        """An order is answered, or its answer is lost and it may still run."""
        epoch, name, lora_name = self.orders[0]
        if certain:
            del self.orders[0]
        if self.epochs[name] == epoch:
            self.feed(name, events.UnloadEnded(lora_name, certain))

    @stateful.invariant()
    def orders_of_older_owners_are_withheld(self) -> None:
        """No order that may still arrive names what a newer owner grants."""
        for epoch, _, lora_name in self.orders:
            for newer_epoch, (_, withheld) in self.ready.items():
                assert newer_epoch <= epoch or lora_name in withheld

    @stateful.invariant()
    def epochs_do_not_exceed_the_record(self) -> None:
        """No scheduler has an epoch above the one in the store."""
        recorded_epoch = self.store.record.epoch if self.store.record else 0
        assert all(epoch <= recorded_epoch for epoch in self.epochs.values())


TestRace = Race.TestCase
TestRace.settings = settings(
    max_examples=300, stateful_step_count=60, derandomize=True, deadline=None
)
