"""Settings of the followers and editors of the tables."""

import dataclasses
from typing import Annotated
from typing import Literal

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Concurrency = Annotated[int, msgspec.Meta(ge=1, le=64)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowerSettings:
    """Settings of a process that follows the tables.

    Attributes:
        watch_timeout_s: Timeout of one watch request.
        watch_margin_s: Additional time after which a watch without a response
            is treated as failed.
        rearm_s: Maximum pause between two watches; each pause is between half
            of it and all of it.
        spread_s: Reads after a change are delayed by a random time up to this.
        min_backoff_s: Wait after the first failed call.
        max_backoff_s: Maximum wait after failed calls.
        fetch_concurrency: Number of shards that are read concurrently.
        wants: Tables to follow: `all`, or `pools` for a process that neither
            needs routes nor has to offer them to peers.
        start_wait_s: Maximum time after startup to wait for shards from peers
            before reading them from the platform; each process waits for a
            random fraction of it.
        start_idle_s: Time without an offer from a peer after which startup
            reads the remaining shards from the platform.
        start_shards: Number of missing shards up to which startup reads them
            from the platform without waiting for peers.
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
    """Settings of the commit of edits.

    Attributes:
        deadline_s: Time without progress after which an edit is aborted.
        min_backoff_s: Wait after the first failed call.
        max_backoff_s: Maximum wait after failed calls.
        concurrency: Number of objects that are read or written concurrently.
        collect_every: Number of revisions between two passes that collect
            unreferenced shards.
        collect_after_s: Time for which a shard must have been unreferenced
            before it is deleted.
        history_revisions: Number of newest revisions whose edit records are
            kept.
    """

    deadline_s: Seconds = 20.0
    min_backoff_s: Seconds = 0.1
    max_backoff_s: Seconds = 2.0
    concurrency: Concurrency = 8
    collect_every: Annotated[int, msgspec.Meta(ge=1)] = 64
    collect_after_s: Seconds = 3600.0
    history_revisions: Annotated[int, msgspec.Meta(ge=64)] = 4096
