"""Settings of following and editing the tables."""

import dataclasses
from typing import Annotated
from typing import Literal

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Concurrency = Annotated[int, msgspec.Meta(ge=1, le=64)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowerSettings:
    """How a daemon follows the tables.

    Attributes:
        watch_timeout_s: Longest wait of one watch.
        watch_margin_s: Time beyond it after which a watch counts as silent.
        rearm_s: Shortest time between two watches.
        spread_s: Reads after a change are spread over this time.
        min_backoff_s: First wait after a failed call.
        max_backoff_s: Longest wait after failed calls.
        fetch_concurrency: Shards that are read at once.
        wants: What is followed: `all`, or `pools` where no routes are needed
            and none have to be offered to peers.
        start_wait_s: Longest time after a start in which peers may offer
            shards before they are read from the platform; each process waits
            a random part of it.
        start_idle_s: Time without an offer after which a start no longer
            waits for the rest from peers.
        start_shards: A start that lacks no more shards reads them at once.
    """

    watch_timeout_s: Seconds = 30.0
    watch_margin_s: Seconds = 5.0
    rearm_s: Seconds = 0.2
    spread_s: Seconds = 0.5
    min_backoff_s: Seconds = 0.2
    max_backoff_s: Seconds = 5.0
    fetch_concurrency: Concurrency = 4
    wants: Literal["all", "pools"] = "all"
    start_wait_s: Seconds = 30.0
    start_idle_s: Seconds = 2.0
    start_shards: Annotated[int, msgspec.Meta(ge=0)] = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditorSettings:
    """How an edit is committed.

    Attributes:
        deadline_s: Time without progress after which an edit is given up.
        min_backoff_s: First wait after a failed call.
        max_backoff_s: Longest wait after failed calls.
        concurrency: Objects that are read or written at once.
        collect_every: Unused shards are collected every so many revisions.
        collect_after_s: Time that a shard must have been unused.
        history_revisions: Records of edits older than this are deleted.
    """

    deadline_s: Seconds = 20.0
    min_backoff_s: Seconds = 0.1
    max_backoff_s: Seconds = 2.0
    concurrency: Concurrency = 8
    collect_every: Annotated[int, msgspec.Meta(ge=1)] = 64
    collect_after_s: Seconds = 3600.0
    history_revisions: Annotated[int, msgspec.Meta(ge=64)] = 4096
