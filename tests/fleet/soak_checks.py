"""Checks of a soak run by the rules of the platform.

A check sees what clients and servers have seen, and no log of an instance.
"""

import collections
from collections.abc import Iterator
import dataclasses
import itertools
import json
import pathlib
import re
from typing import Any

import soak_clients
import soak_cluster
import soak_jobs

MAX_MIXED_STREAMS = 2
CONTACT_S = 3.0
OVERLAP_S = 0.4
DIGITS = re.compile(r"\d+")
ERROR_LEVELS = frozenset(("ERROR", "CRITICAL"))

Record = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, and what shows it."""

    rule: str
    detail: str


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a request at a server.

    Attributes:
        request_id: Id of the client's attempt.
        server: Id of the server.
        path: Path of the request.
        arrived_at: Time at which the server had read it.
        begins_at: Time at which the server began to work on it.
        ends_at: Time at which it ended; infinite if the record has no end.
        how: How it ended.
    """

    request_id: str
    server: str
    path: str
    arrived_at: float
    begins_at: float
    ends_at: float = float("inf")
    how: str = "unknown"


@dataclasses.dataclass(slots=True)
class Seen:
    """What the servers have seen.

    Attributes:
        runs: Runs by the id of the client's attempt.
        arrivals: Arrivals with their server.
        rejections: Rejections with their server.
        orders: Orders by server.
        starts: Times at which the processes of servers started, by server.
    """

    runs: dict[str, list[Run]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    arrivals: list[Record] = dataclasses.field(default_factory=list)
    rejections: list[Record] = dataclasses.field(default_factory=list)
    orders: dict[str, list[Record]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    starts: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


def read_servers(cluster: soak_cluster.Cluster) -> Seen:
    """Reads the records of all servers."""
    seen = Seen()
    for server in cluster.servers.values():
        path = pathlib.Path(server.config.record)
        if path.exists():
            _read_server(seen, server.name, path)
    return seen


def _read_server(seen: Seen, server: str, path: pathlib.Path) -> None:
    running: dict[str, list[Run]] = collections.defaultdict(list)
    arrived: dict[str, float] = {}
    for line in path.read_text().splitlines():
        record = json.loads(line) | {"server": server}
        match record["kind"]:
            case "start":
                seen.starts[server].append(record["t"])
            case "killed":
                for run in (r for runs in running.values() for r in runs):
                    run.ends_at, run.how = record["t"], "killed"
                running.clear()
            case "arrive":
                seen.arrivals.append(record)
                arrived[record["id"]] = record["t"]
            case "reject":
                seen.rejections.append(record)
            case "order":
                seen.orders[server].append(record)
            case "begin":
                at = record["t"]
                arrived_at = arrived.get(record["id"], at)
                run = Run(record["id"], server, record["path"], arrived_at, at)
                running[run.request_id].append(run)
                seen.runs[run.request_id].append(run)
            case "end" if running.get(record["id"]):
                run = running[record["id"]].pop(0)
                run.ends_at, run.how = record["t"], record["how"]


def check(
    cluster: soak_cluster.Cluster,
    clients: soak_clients.Clients,
    seen: Seen,
) -> list[Violation]:
    """Returns all violations of a round."""
    return [
        *_check_order(clients.jobs),
        *_check_software(clients.jobs),
        *_check_twice(clients.jobs, seen),
        *_check_unread(clients.jobs, seen),
        *_check_overlaps(cluster, clients.jobs, seen),
        *_check_refused(clients.jobs, seen),
        *_check_mixed(clients),
        *_check_routes(seen),
    ]


def check_late(
    jobs: list[soak_jobs.Job], seen: Seen, since: float
) -> list[Violation]:
    """Returns what became a violation after the round of a job.

    Args:
        jobs: Jobs of earlier rounds.
        seen: What the servers have seen.
        since: Start of the last round.
    """
    late = [
        job
        for job in jobs
        if any(
            run.begins_at >= since
            for attempt in job.attempts
            for run in seen.runs.get(attempt.request_id, [])
        )
    ]
    return [*_check_twice(late, seen), *_check_refused(late, seen)]


def _describe(job: soak_jobs.Job) -> str:
    tries = [
        f"{a.request_id}@{a.instance} t={a.started_at:.3f}..{a.ended_at:.3f} "
        f"{a.status}{' complete' if a.is_complete else ''} {a.error} "
        f"after={a.after} {_summarize(a.events)}"
        for a in job.attempts
    ]
    return f"{job.job_id} ({job.kind.name}, {job.events} events): " + "; ".join(
        tries
    )


def _summarize(events: list[soak_jobs.Event]) -> str:
    pieces: list[str] = []
    start = 0
    for index, event in enumerate(events):
        following = events[index + 1] if index + 1 < len(events) else None
        if following is None or (following.run, following.number) != (
            event.run,
            event.number + 1,
        ):
            first = events[start].number
            pieces.append(
                f"{first}-{event.number} of {event.software} {event.run}"
            )
            start = index + 1
    return "[" + ", ".join(pieces) + "]"


def _check_order(jobs: list[soak_jobs.Job]) -> Iterator[Violation]:
    for job in jobs:
        for attempt in job.attempts:
            problem = _find_disorder(job, attempt)
            if problem:
                detail = f"{attempt.request_id}: {problem}; {_describe(job)}"
                yield Violation("ORDER", detail)


def _find_disorder(job: soak_jobs.Job, attempt: soak_jobs.Attempt) -> str:
    numbers = [event.number for event in attempt.events]
    first = attempt.after + 1
    if numbers != list(range(first, first + len(numbers))):
        return f"numbers {numbers} after {attempt.after}"
    strangers = {e.stream for e in attempt.events} - {job.job_id}
    if strangers:
        return f"events of {strangers}"
    runs = {event.run for event in attempt.events}
    if len(runs) > 1 and not job.kind.resumes:
        return f"pieces of {sorted(runs)}"
    if not job.kind.is_stream or attempt.status != 200:
        return ""
    last = numbers[-1] if numbers else attempt.after
    if attempt.is_complete and (last != job.events or attempt.partial):
        return f"complete after {last}, then {attempt.partial!r}"
    return ""


def _check_software(jobs: list[soak_jobs.Job]) -> Iterator[Violation]:
    """ORDER: more than two streams hold events of two software versions."""
    mixed = [job for job in jobs if len(list_software(job)) > 1]
    if len(mixed) > MAX_MIXED_STREAMS:
        for job in mixed:
            versions = sorted(list_software(job))
            detail = f"events of {versions}; {_describe(job)}"
            yield Violation("ORDER", detail)


def list_software(job: soak_jobs.Job) -> set[str]:
    """Returns the software versions of the events of a job."""
    return {e.software for attempt in job.attempts for e in attempt.events}


def _list_attempts(
    jobs: list[soak_jobs.Job],
) -> Iterator[tuple[soak_jobs.Job, soak_jobs.Attempt]]:
    for job in jobs:
        for attempt in job.attempts:
            yield job, attempt


def show(runs: list[Run]) -> str:
    """Returns runs as a text."""
    return ", ".join(
        f"{r.server} {r.arrived_at:.3f}/{r.begins_at:.3f}..{r.ends_at:.3f} "
        f"{r.how}"
        for r in runs
    )


def _check_twice(jobs: list[soak_jobs.Job], seen: Seen) -> Iterator[Violation]:
    for job, attempt in _list_attempts(jobs):
        runs = seen.runs.get(attempt.request_id, [])
        if len(runs) > 1 and not job.kind.may_repeat:
            detail = f"{attempt.request_id} ran at {show(runs)}; "
            yield Violation("TWICE", detail + _describe(job))


def _check_unread(jobs: list[soak_jobs.Job], seen: Seen) -> Iterator[Violation]:
    """TWICE: a client sends a request again that was closed as unread."""
    for job, attempt in _list_attempts(jobs):
        if job.kind.may_repeat or attempt.error not in ("unread", "refused"):
            continue
        runs = seen.runs.get(attempt.request_id, [])
        if runs:
            detail = f"{attempt.request_id} was {attempt.error}, ran at "
            detail += f"{show(runs)}; {_describe(job)}"
            yield Violation("TWICE", detail)


def _check_overlaps(
    cluster: soak_cluster.Cluster, jobs: list[soak_jobs.Job], seen: Seen
) -> Iterator[Violation]:
    """TWICE: two servers work on one stream for longer than `OVERLAP_S`.

    Within an attempt, the run at the server that had it first had to end, in
    time from the arrival at the other one, whether that one had begun or not.

    Between attempts, the run of the earlier one had to end, in time from the
    start of the last of both, and by the instance that sent it. That is so also
    if the run of the client's next attempt began first, as beside an instance
    that was frozen before it read the first one.
    """
    for job in jobs:
        if not job.kind.resumes:
            continue
        runs = [
            (attempt, run)
            for attempt in job.attempts
            for run in sorted(
                seen.runs.get(attempt.request_id, []), key=_get_arrival
            )
        ]
        for (sender, before), (_, after) in itertools.combinations(runs, 2):
            goes_on_at = _find_start(before, after)
            if before.server == after.server or after.ends_at < goes_on_at:
                continue
            until = goes_on_at + OVERLAP_S
            if before.ends_at < until or _was_frozen(cluster, before):
                continue
            instance = cluster.instances[sender.instance]
            if instance.is_calm(before.begins_at - CONTACT_S, until):
                shown = show([before, after])
                detail = f"{sender.request_id} at {shown}; {_describe(job)}"
                yield Violation("TWICE", detail)


def _find_start(before: Run, after: Run) -> float:
    """Returns from when on the run before another one has to end."""
    if before.request_id == after.request_id:
        return after.arrived_at
    return max(before.begins_at, after.begins_at)


def _get_arrival(run: Run) -> float:
    return run.arrived_at


def _was_frozen(cluster: soak_cluster.Cluster, run: Run) -> bool:
    """Whether a server could not notice the end of a run's connection."""
    return any(
        span.starts_at < run.ends_at and span.ends_at > run.arrived_at
        for span in cluster.servers[run.server].frozen
    )


def _check_refused(
    jobs: list[soak_jobs.Job], seen: Seen
) -> Iterator[Violation]:
    for job, attempt in _list_attempts(jobs):
        if job.kind.may_repeat or attempt.status not in soak_clients.PROMISES:
            continue
        runs = seen.runs.get(attempt.request_id, [])
        if runs:
            detail = f"{attempt.request_id} got {attempt.status}, ran at "
            detail += f"{show(runs)}; {_describe(job)}"
            yield Violation("REFUSED", detail)


def _check_mixed(clients: soak_clients.Clients) -> Iterator[Violation]:
    for job, attempt in _list_attempts(clients.jobs):
        if attempt.problem:
            detail = f"{attempt.request_id}: {attempt.problem}; "
            yield Violation("MIXED", detail + _describe(job))
    for instance in clients.stray:
        yield Violation("MIXED", f"bytes without a request from {instance}")


def _check_routes(seen: Seen) -> Iterator[Violation]:
    for runs in seen.runs.values():
        for run in runs:
            name = run.path.split("/")[1]
            service = soak_jobs.SERVICES.get(name, "ledger")
            if not run.server.startswith(f"{service}-"):
                detail = f"{run.request_id} ran at {run.server}: {run.path}"
                yield Violation("ROUTE", detail)


def check_logs(
    cluster: soak_cluster.Cluster, since: float
) -> Iterator[Violation]:
    """Yields instances that ended by themselves, and errors in their logs."""
    for instance in cluster.instances.values():
        for at, status in instance.ends:
            if at >= since:
                detail = f"{instance.name} ended with {status} at {at:.3f}"
                yield Violation("Fault", detail)
        for message, lines in _group_errors(cluster.read_new_log(instance)):
            detail = f"{instance.name}: {len(lines)} x {message}: {lines[0]}"
            yield Violation("log", detail)


def _group_errors(lines: list[str]) -> list[tuple[str, list[str]]]:
    """Returns errors and resets by their text without figures."""
    grouped: dict[str, list[str]] = {}
    for line in filter(_is_error, lines):
        try:
            text = str(json.loads(line)["message"])
        except (ValueError, KeyError, TypeError):
            text = "text that is no log record"
        grouped.setdefault(DIGITS.sub("N", text), []).append(line)
    return list(grouped.items())


def _is_error(line: str) -> bool:
    try:
        level = json.loads(line)["level"]
    except (ValueError, KeyError, TypeError):
        return bool(line.strip())
    return level in ERROR_LEVELS or "invariant violated" in line
