"""Faults of a soak run of entry instances, and how they are chosen."""

import dataclasses
import pathlib
import random

SHORT_FREEZE_S = 1.0
LONG_FREEZE_S = 6.0
EVERY = 99
RELEASE_AND_KILL_FRACTION = 0.5

Changes = tuple[tuple[str, bool | float | str], ...]
"""Names and values of settings of a stand-in that change."""

BEHAVIOURS: tuple[Changes, ...] = (
    (("refuses_until", True), ("names_retry", True)),
    (("refuses_until", True), ("late_copy_s", 0.05)),
    (
        ("refuses_until", True),
        ("refuse_fraction", 0.5),
        ("late_copy_s", 0.005),
    ),
    (("missing_fraction", 0.4), ("late_copy_s", 0.01)),
    (("cut_fraction", 0.5), ("cuts_inside", True)),
    (("cut_fraction", 0.5), ("resets", True)),
    (("cut_fraction", 0.3), ("ends_unframed", True)),
    (("reset_all", True),),
    (("idle_close_fraction", 0.5),),
    (("pause_s", 1.2),),
    (("work_s", 1.5),),
    (("pause_s", 2.5), ("work_s", 0.9)),
    (("delay_s", 0.3),),
    (("holds_responses", True), ("work_s", 0.5)),
    (("stray_fraction", 0.3), ("stray", "refusal")),
    (("stray_fraction", 0.3), ("stray", "success")),
    (("stray_fraction", 0.3), ("stray", "unnamed")),
    (("stray_fraction", 0.3), ("stray", "noise")),
    (("names_limit", 6.0),),
    (("names_brittle", 3),),
    (("endless_fraction", 0.3), ("endless_part", "head")),
    (("endless_fraction", 0.3), ("endless_part", "body")),
    (("endless_fraction", 0.3), ("endless_part", "event")),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Instances are killed at the same moment and started again."""

    names: tuple[str, ...]
    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """Instances get SIGTERM one after the other and are started again.

    Attributes:
        names: The instances, in this order.
        gap_s: Time between the start of one and the end of the next.
        tree: Sources of the build that they start as; None for no change.
    """

    names: tuple[str, ...]
    gap_s: float
    tree: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """An instance is suspended."""

    name: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """The settings of an instance change, with SIGHUP."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class KillServers:
    """Servers of a service are killed; they come back after a time.

    Without their ids, they come back as others at their addresses, and repeat
    late what they refuse.
    """

    service: str
    count: int
    down_s: float
    keeps_id: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FreezeServer:
    """A server is suspended."""

    service: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Servers of a new software version replace the others one by one.

    The entry of an old server is removed while it serves on for `stay_s`; with
    `is_announced`, it says before that it is draining.
    """

    service: str
    fraction: float
    gap_s: float
    stay_s: float
    is_announced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Misbehave:
    """Servers of a service change their behaviour for a time."""

    service: str
    count: int
    for_s: float
    changes: Changes


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDown:
    """The store gives no response; it may come back from an older copy."""

    for_s: float
    copy_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSlow:
    """The store is slow, or its responses to writes are lost."""

    for_s: float
    slow_s: float = 0.0
    loses_replies: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CutStore:
    """An instance does not reach the store.

    Its connections end and new ones are refused; or, if it is silent, they
    stay open and carry nothing, while new ones work.
    """

    name: str
    for_s: float
    is_silent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """Instances reach no server: connections are reset, or hang if not."""

    names: tuple[str, ...]
    for_s: float
    resets: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbLinks:
    """The links of the other instances to some instances are disturbed.

    They forward bytes late; or what is sent to these instances at once, and
    what they respond only afterwards.
    """

    names: tuple[str, ...]
    for_s: float
    is_slow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DiscardHistory:
    """The store forgets its history."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeManifest:
    """A new version of the manifest adds a route and removes the last one."""


Fault = (
    Kill
    | Terminate
    | Freeze
    | Reload
    | KillServers
    | FreezeServer
    | Release
    | Misbehave
    | StoreDown
    | StoreSlow
    | CutStore
    | Partition
    | DisturbLinks
    | DiscardHistory
    | ChangeManifest
)


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A fault and the time at which it begins, seconds after the load."""

    at_s: float
    fault: Fault


def misbehave(
    at_s: float, service: str, for_s: float, **changes: bool | float | str
) -> Planned:
    """Returns a fault in which all servers of a service misbehave."""
    return Planned(
        at_s,
        Misbehave(service, EVERY, for_s, tuple(changes.items())),
    )


def choose_faults(
    rng: random.Random, instances: list[str]
) -> tuple[Planned, ...]:
    """Returns faults of different types, each at its own time.

    In some rounds all instances are killed near a release: streams of the old
    software version are resumed while the new one serves.
    """
    if rng.random() < RELEASE_AND_KILL_FRACTION:
        return _choose_release_and_kill(rng, instances)
    count = rng.choice((1, 2, 2, 3, 5))
    chosen: dict[type[Fault], Fault] = {}
    while len(chosen) < count:
        fault = _choose(rng, instances)
        chosen.setdefault(type(fault), fault)
    planned = [
        Planned(round(rng.uniform(1.0, 8.0), 2), fault)
        for fault in chosen.values()
    ]
    return tuple(sorted(planned, key=lambda item: item.at_s))


def _choose_release_and_kill(
    rng: random.Random, instances: list[str]
) -> tuple[Planned, ...]:
    fraction = rng.choice((0.5, 1.0))
    release = Release("llm", fraction, 0.4, 6.0, rng.random() < 0.5)
    kill = Kill(tuple(instances), rng.uniform(0.1, 2.0))
    server_fault = _choose_server_fault(rng, instances)
    planned = [Planned(2.5, release), Planned(rng.uniform(4.0, 9.0), kill)]
    if not isinstance(server_fault, Release):
        planned.append(Planned(rng.uniform(1.0, 8.0), server_fault))
    return tuple(sorted(planned, key=lambda item: item.at_s))


def _choose(rng: random.Random, instances: list[str]) -> Fault:
    groups = (_choose_instance_fault, _choose_server_fault, _choose_store_fault)
    return rng.choices(groups, weights=(5, 6, 3))[0](rng, instances)


def _choose_instance_fault(rng: random.Random, instances: list[str]) -> Fault:
    one = rng.choice(instances)
    every = tuple(instances)
    return rng.choice(
        (
            Kill((one,), rng.uniform(0.1, 2.0)),
            Kill(every, rng.uniform(0.1, 2.0)),
            Terminate((one,), 0.0),
            Terminate(every, 0.5),
            Freeze(one, SHORT_FREEZE_S),
            Freeze(one, LONG_FREEZE_S),
            Partition((one,), rng.uniform(2.0, 6.0), rng.random() < 0.5),
            Partition(every[:2], rng.uniform(2.0, 6.0), rng.random() < 0.5),
            DisturbLinks((one,), rng.uniform(2.0, 6.0), rng.random() < 0.5),
            DisturbLinks(every, rng.uniform(2.0, 6.0), rng.random() < 0.5),
            Reload(one),
        )
    )


def _choose_server_fault(rng: random.Random, instances: list[str]) -> Fault:
    del instances
    service = rng.choice(("llm", "llm", "ledger"))
    count = rng.choice((1, 2, EVERY))
    for_s = rng.uniform(2.0, 5.0)
    changes = rng.choice(BEHAVIOURS)
    return rng.choice(
        (
            KillServers(service, count, rng.uniform(0.3, 3.0), True),
            KillServers(service, count, rng.uniform(0.3, 3.0), False),
            FreezeServer(service, rng.choice((1.0, 4.0))),
            Release("llm", rng.choice((0.5, 1.0)), 0.4, 4.0, True),
            Release("llm", rng.choice((0.5, 1.0)), 0.4, 4.0, False),
            Misbehave(service, count, for_s, changes),
            Misbehave(service, EVERY, for_s, changes),
        )
    )


def _choose_store_fault(rng: random.Random, instances: list[str]) -> Fault:
    one = rng.choice(instances)
    return rng.choice(
        (
            CutStore(one, rng.uniform(1.0, 7.0), False),
            CutStore(one, rng.uniform(1.0, 7.0), True),
            StoreDown(rng.uniform(1.0, 5.0)),
            StoreDown(rng.uniform(0.5, 2.0), rng.uniform(1.0, 4.0)),
            StoreSlow(rng.uniform(2.0, 5.0), slow_s=0.4),
            StoreSlow(rng.uniform(2.0, 4.0), loses_replies=True),
            DiscardHistory(),
            ChangeManifest(),
            ChangeManifest(),
        )
    )
