"""Checks of a soak run on orders, draining, lost streams and recovery.

Their rules hold for machines in touch only, unless a check says otherwise.
"""

from collections.abc import Iterator
import itertools

import soak_checks
import soak_cluster
import soak_jobs

LEASE_S = 3.0
THAW_SLACK_S = 0.3
DRAIN_S = 2.0
RECOVERY_S = 12.0
MIN_RESUMED = 12
MIN_SERVED_FRACTION = 0.25
MIN_REQUESTS = 8
MIN_SERVERS = 2
GRACE_S = 8.0
LATE_REQUEST_S = 3.0
"""Time after SIGTERM up to which a request may last to the end of the grace
period."""

NOT_CUT = frozenset(("", "close", "timeout", "gap", "unread", "refused"))

Record = soak_checks.Record
Violation = soak_checks.Violation


def check(
    cluster: soak_cluster.Cluster,
    jobs: list[soak_jobs.Job],
    seen: soak_checks.Seen,
    acks: dict[str, float],
    core: list[soak_cluster.Span],
    unplanned: list[soak_cluster.Span],
    since: float,
) -> list[Violation]:
    """Returns all violations of a round.

    Args:
        cluster: The processes.
        jobs: Jobs of the round.
        seen: What the servers have seen.
        acks: Times at which the store accepted that servers leave.
        core: Times in which the store was disturbed.
        unplanned: Times in which anything was disturbed that is no planned
            work.
        since: Start of the round.
    """
    senders = {
        attempt.request_id: attempt for job in jobs for attempt in job.attempts
    }
    return [
        *_check_orders(cluster, seen, since),
        *_check_draining(cluster, seen, senders, acks, core),
        *_check_cut(cluster, jobs, seen, unplanned),
        *_check_resumed(cluster, jobs),
        *_check_recovery(cluster, jobs),
    ]


def _check_orders(
    cluster: soak_cluster.Cluster, seen: soak_checks.Seen, since: float
) -> Iterator[Violation]:
    """ONE: holds for all machines, in touch or not."""
    for server, orders in seen.orders.items():
        starts = seen.starts[server]
        recent = [
            order
            for order in orders
            if order["t"] >= max(since, *starts)
            and not _has_thawed(cluster, order)
        ]
        for before, after in itertools.pairwise(recent):
            problem = _find_turn(before, after)
            if problem:
                detail = f"{problem} at {server}: {_show(before)}, "
                yield Violation("ONE", detail + _show(after))


def _find_turn(before: Record, after: Record) -> str:
    is_same = before["holder"] == after["holder"]
    if after["token"] < before["token"]:
        return "lower generation number after a higher one"
    if is_same:
        return ""
    if after["token"] == before["token"]:
        return "two holders with one generation number"
    if after["t"] < before["t"] + LEASE_S:
        return f"holders take turns within {after['t'] - before['t']:.2f} s"
    return ""


def _show(order: Record) -> str:
    return (
        f"{order['holder']} token {order['token']} {order['operation']} "
        f"{order['adapter']} t={order['t']:.3f} -> {order['status']}"
    )


def _has_thawed(cluster: soak_cluster.Cluster, order: Record) -> bool:
    """Whether the sender of an order had been frozen until just before."""
    instance = cluster.instances[str(order["holder"]).partition("@")[0]]
    return any(
        span.cause in ("frozen", "starved")
        and span.starts_at <= order["t"] <= span.ends_at + THAW_SLACK_S
        for span in instance.spans
    )


def _is_core_calm(
    core: list[soak_cluster.Span], starts_at: float, ends_at: float
) -> bool:
    return all(s.ends_at < starts_at or s.starts_at > ends_at for s in core)


def _check_draining(
    cluster: soak_cluster.Cluster,
    seen: soak_checks.Seen,
    senders: dict[str, soak_jobs.Attempt],
    acks: dict[str, float],
    core: list[soak_cluster.Span],
) -> Iterator[Violation]:
    rejected = {(r["id"], r["server"]) for r in seen.rejections}
    for record in seen.arrivals:
        acked_at, at = acks.get(record["server"]), record["t"]
        attempt = senders.get(record["id"])
        if acked_at is None or attempt is None or at < acked_at + DRAIN_S:
            continue
        if (record["id"], record["server"]) in rejected:
            continue
        instance = cluster.instances[attempt.instance]
        contact_s = soak_checks.CONTACT_S
        if not instance.is_calm(acked_at - contact_s, at):
            continue
        if _is_core_calm(core, acked_at - contact_s, at):
            detail = f"{record['id']} from {attempt.instance} reached "
            detail += f"{record['server']} {at - acked_at:.2f} s after its ack"
            yield Violation("DRAIN", detail)


def _check_cut(
    cluster: soak_cluster.Cluster,
    jobs: list[soak_jobs.Job],
    seen: soak_checks.Seen,
    unplanned: list[soak_cluster.Span],
) -> Iterator[Violation]:
    """LOST: a request that was passed on ends without a complete response.

    Holds for machines in touch, and for those that are being terminated.
    """
    arrived = {record["id"] for record in seen.arrivals}
    for job in jobs:
        for attempt in job.attempts:
            is_cut = attempt.error and not attempt.is_complete
            if attempt.error in NOT_CUT or not is_cut:
                continue
            if attempt.request_id not in arrived:
                continue
            if not _is_planned_only(cluster, attempt, unplanned):
                continue
            runs = seen.runs.get(attempt.request_id, [])
            detail = f"{attempt.request_id} ({job.kind.name}) at "
            detail += f"{attempt.instance} t={attempt.started_at:.3f}.."
            detail += f"{attempt.ended_at:.3f} {attempt.error}, ran at "
            yield Violation("LOST", detail + soak_checks.show(runs))


def _is_planned_only(
    cluster: soak_cluster.Cluster,
    attempt: soak_jobs.Attempt,
    unplanned: list[soak_cluster.Span],
) -> bool:
    """Whether nothing but planned work can have ended an attempt."""
    from_s = attempt.started_at - soak_checks.CONTACT_S
    if not _is_core_calm(unplanned, from_s, attempt.ended_at):
        return False
    for span in cluster.instances[attempt.instance].spans:
        if span.ends_at < from_s or span.starts_at > attempt.ended_at:
            continue
        if span.cause != "terminated":
            return False
        is_old = attempt.started_at <= span.starts_at + LATE_REQUEST_S
        if is_old and attempt.ended_at > span.starts_at + GRACE_S * 5 / 6:
            return False
    return True


def _check_resumed(
    cluster: soak_cluster.Cluster, jobs: list[soak_jobs.Job]
) -> Iterator[Violation]:
    """LOST: streams that are taken up again go on less often than others."""
    attempts = list(_list_calm(cluster, jobs))
    resumed: dict[str, list[soak_jobs.Attempt]] = {}
    for job, attempt in attempts:
        served = _count_servers(cluster, job, attempt) >= MIN_SERVERS
        if attempt.after and served:
            resumed.setdefault(job.job_id, []).append(attempt)
    if len(resumed) < MIN_RESUMED:
        return
    times = [a.started_at for tries in resumed.values() for a in tries]
    begun = {
        job.job_id: [attempt]
        for job, attempt in attempts
        if not attempt.after and min(times) <= attempt.started_at <= max(times)
    }
    if begun and _share(resumed) < _share(begun) / 2:
        ids = [name for name, tries in resumed.items() if not _goes_on(tries)]
        detail = f"{_share(resumed):.2f} of {len(resumed)} streams go on, "
        detail += f"{_share(begun):.2f} of {len(begun)} begin, {ids}"
        yield Violation("LOST", detail)


def _list_calm(
    cluster: soak_cluster.Cluster, jobs: list[soak_jobs.Job]
) -> Iterator[tuple[soak_jobs.Job, soak_jobs.Attempt]]:
    """Yields the attempts for streams at machines in touch."""
    for job in jobs:
        for attempt in job.attempts if job.kind.resumes else ():
            instance = cluster.instances[attempt.instance]
            from_s = attempt.started_at - soak_checks.CONTACT_S
            if instance.is_calm(from_s, attempt.ended_at):
                yield job, attempt


def _goes_on(attempts: list[soak_jobs.Attempt]) -> bool:
    return any(attempt.events for attempt in attempts)


def _share(streams: dict[str, list[soak_jobs.Attempt]]) -> float:
    return sum(map(_goes_on, streams.values())) / len(streams)


def _count_servers(
    cluster: soak_cluster.Cluster,
    job: soak_jobs.Job,
    attempt: soak_jobs.Attempt,
) -> int:
    """Returns how many servers of a stream's version served all the while.

    Servers of another service may have a software version of the same name.
    """
    versions = soak_checks.list_software(job)
    return sum(
        server.config.service == job.kind.service
        and server.config.software in versions
        and any(
            span.starts_at < attempt.started_at - soak_checks.CONTACT_S
            and span.ends_at > attempt.ended_at
            for span in server.serving
        )
        for server in cluster.servers.values()
    )


def _check_recovery(
    cluster: soak_cluster.Cluster, jobs: list[soak_jobs.Job]
) -> Iterator[Violation]:
    calm = [
        job
        for job in jobs
        if job.attempts
        and all(
            instance.is_calm(
                job.attempts[0].started_at - RECOVERY_S,
                job.attempts[-1].ended_at,
            )
            for instance in cluster.instances.values()
        )
    ]
    served = sum(job.is_served for job in calm)
    if len(calm) < MIN_REQUESTS:
        return
    if served < MIN_SERVED_FRACTION * len(calm):
        detail = f"{served} of {len(calm)} requests served {RECOVERY_S} s after"
        yield Violation("RECOVER", detail)
