"""Tests that the checks of soak runs find what breaks a rule."""

import json
import pathlib
import time

import pytest
import soak_checks
import soak_clients
import soak_cluster
import soak_control_checks
import soak_jobs
import soak_upstream

KINDS = {kind.name: kind for kind in soak_jobs.KINDS}


@pytest.fixture
def cluster(tmp_path: pathlib.Path) -> soak_cluster.Cluster:
    """Returns a cluster without processes, with three servers."""
    found = soak_cluster.Cluster(tmp_path, ("za", "zb"))
    for name in ("llm-1", "llm-2", "ledger-1"):
        service = name.partition("-")[0]
        record = str(tmp_path / f"{name}.events")
        config = soak_upstream.Config(
            name, service, "za", "127.0.0.1:1", "", "v1", record
        )
        found.servers[name] = soak_cluster.Server(config)
    return found


def write(
    cluster: soak_cluster.Cluster, server: str, *events: dict[str, object]
) -> None:
    """Writes the record of a server."""
    lines = [json.dumps({"path": "/sign/1", **event}) for event in events]
    text = "\n".join(lines) + "\n"
    pathlib.Path(cluster.servers[server].config.record).write_text(text)


def make_job(kind: str, *attempts: soak_jobs.Attempt) -> soak_jobs.Job:
    """Returns a job with attempts."""
    job = soak_jobs.Job("j", KINDS[kind], 4, f"/{kind}/1")
    job.attempts.extend(attempts)
    return job


def make_attempt(
    number: int, *events: tuple[int, str, str], **fields: object
) -> soak_jobs.Attempt:
    """Returns an attempt with events of number, software and run."""
    attempt = soak_jobs.Attempt(f"j-{number}", "front-1", False, 10.0 * number)
    attempt.ended_at = attempt.started_at + 5.0
    attempt.events = [
        soak_jobs.Event(0.0, index, software, run, "j")
        for index, software, run in events
    ]
    for name, value in fields.items():
        setattr(attempt, name, value)
    return attempt


def list_rules(
    cluster: soak_cluster.Cluster, *jobs: soak_jobs.Job
) -> list[str]:
    """Returns the rules that jobs break, with what the servers recorded."""
    clients = soak_clients.Clients(
        cluster, 1, "j", cluster.folder / "attempts.jsonl"
    )
    clients.jobs.extend(jobs)
    seen = soak_checks.read_servers(cluster)
    return [v.rule for v in soak_checks.check(cluster, clients, seen)]


def test_whole_stream_breaks_no_rule(cluster: soak_cluster.Cluster) -> None:
    """A stream that is resumed at its version is in order."""
    first = make_attempt(1, (1, "v1", "a"), (2, "v1", "a"), status=200)
    second = make_attempt(
        2, (3, "v1", "b"), (4, "v1", "b"), status=200, is_complete=True, after=2
    )
    assert list_rules(cluster, make_job("plan", first, second)) == []


def test_missing_event_breaks_order(cluster: soak_cluster.Cluster) -> None:
    """A gap in the numbers is found."""
    attempt = make_attempt(1, (1, "v1", "a"), (3, "v1", "a"), status=200)
    assert list_rules(cluster, make_job("plan", attempt)) == ["ORDER"]


def test_early_end_breaks_order(cluster: soak_cluster.Cluster) -> None:
    """A stream that is complete before its last event is found."""
    attempt = make_attempt(1, (1, "v1", "a"), status=200, is_complete=True)
    assert list_rules(cluster, make_job("plan", attempt)) == ["ORDER"]


def test_two_runs_in_unresumable_stream_break_order(
    cluster: soak_cluster.Cluster,
) -> None:
    """Pieces of two runs are found where a stream must not be resumed."""
    attempt = make_attempt(1, (1, "v1", "a"), (2, "v1", "b"), status=200)
    assert list_rules(cluster, make_job("brief", attempt)) == ["ORDER"]


def test_two_versions_break_order_from_three_streams(
    cluster: soak_cluster.Cluster,
) -> None:
    """Streams of two software versions are found over the attempts."""
    jobs = [
        make_job(
            "plan",
            make_attempt(1, (1, "v1", "a"), status=200),
            make_attempt(2, (2, "v2", "b"), status=200, after=1),
        )
        for _ in range(3)
    ]
    assert list_rules(cluster, *jobs[:2]) == []
    assert list_rules(cluster, *jobs) == ["ORDER"] * 3


def test_second_run_breaks_twice(cluster: soak_cluster.Cluster) -> None:
    """A request that runs twice and must not is found."""
    begin = {"kind": "begin", "id": "j-1"}
    end = {"kind": "end", "id": "j-1", "how": "complete"}
    write(
        cluster,
        "ledger-1",
        {"t": 10.0, **begin},
        {"t": 10.1, **end},
        {"t": 11.0, **begin},
    )
    attempt = make_attempt(1, status=200)
    assert list_rules(cluster, make_job("list", attempt)) == []
    assert list_rules(cluster, make_job("sign", attempt)) == ["TWICE"]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_run_after_refusal_breaks_refused(
    cluster: soak_cluster.Cluster, status: int
) -> None:
    """A refused request that runs is found, also if it runs later."""
    event = {"t": 99.0, "kind": "begin", "id": "j-1"}
    write(cluster, "ledger-1", event)
    attempt = make_attempt(1, status=status, is_complete=True)
    assert list_rules(cluster, make_job("sign", attempt)) == ["REFUSED"]


def test_overlapping_runs_break_twice_in_touch(
    cluster: soak_cluster.Cluster,
) -> None:
    """Two servers at one stream are found, unless the sender was frozen."""
    run = {"id": "j-1", "path": "/plan/1"}
    write(
        cluster,
        "llm-1",
        {"t": 10.0, "kind": "begin", **run},
        {"t": 12.0, "kind": "end", "how": "closed", **run},
    )
    write(cluster, "llm-2", {"t": 11.5, "kind": "begin", **run})
    job = make_job("plan", make_attempt(1, status=200))
    assert list_rules(cluster, job) == ["TWICE"]
    span = soak_cluster.Span(9.0, 9.5, "frozen")
    cluster.instances["front-1"].spans.append(span)
    assert list_rules(cluster, job) == []


def write_hedged(
    cluster: soak_cluster.Cluster, first: list[float], second: list[float]
) -> None:
    """Writes when two servers got, began and ended one request."""
    for server, times in (("llm-1", first), ("llm-2", second)):
        run = {"id": "j-1", "path": "/plan/1", "how": "closed"}
        kinds = ("arrive", "begin", "end")
        write(
            cluster,
            server,
            *(
                {"t": at, "kind": kind, **run}
                for at, kind in zip(times, kinds, strict=True)
            ),
        )


@pytest.mark.parametrize(
    ("first", "second", "rules"),
    [
        ([10.0, 10.1, 12.0], [11.5, 12.4, 13.0], ["TWICE"]),
        ([10.0, 12.4, 12.5], [11.5, 11.6, 13.0], ["TWICE"]),
        ([10.0, 10.1, 11.8], [11.5, 12.4, 13.0], []),
        ([10.0, 11.6, 11.7], [11.5, 11.55, 13.0], []),
        ([11.5, 11.55, 13.0], [10.0, 11.6, 11.7], []),
    ],
)
def test_server_before_ends_in_time_from_the_arrival_at_the_next(
    cluster: soak_cluster.Cluster,
    first: list[float],
    second: list[float],
    rules: list[str],
) -> None:
    """Guards against a check that takes the wrong server for the one before.

    The one that had the request first has to end, also if it begins late.
    """
    write_hedged(cluster, first, second)
    job = make_job("plan", make_attempt(1, status=200))
    assert list_rules(cluster, job) == rules


def test_late_run_of_an_earlier_attempt_breaks_twice(
    cluster: soak_cluster.Cluster,
) -> None:
    """Its own sender has to end it, before or after the next attempt."""
    first = {"id": "j-1", "path": "/plan/1"}
    second = {"id": "j-2", "path": "/plan/1"}
    attempts = (
        make_attempt(1, status=0),
        make_attempt(2, status=200, instance="front-2"),
    )
    job = make_job("plan", *attempts)
    write(
        cluster,
        "llm-1",
        {"t": 21.0, "kind": "begin", **second},
        {"t": 24.0, "kind": "end", "how": "complete", **second},
    )
    begin = {"t": 23.0, "kind": "begin", **first}
    end = {"kind": "end", "how": "closed", **first}
    write(cluster, "llm-2", begin, {"t": 23.3, **end})
    assert list_rules(cluster, job) == []
    write(cluster, "llm-2", begin, {"t": 23.5, **end})
    assert list_rules(cluster, job) == ["TWICE"]
    span = soak_cluster.Span(18.0, 22.9, "frozen")
    cluster.instances["front-1"].spans.append(span)
    assert list_rules(cluster, job) == []


def test_server_that_was_suspended_before_it_began_is_excused(
    cluster: soak_cluster.Cluster,
) -> None:
    """It reads the end of its connection only after it has begun."""
    write_hedged(cluster, [10.0, 14.0, 14.01], [11.5, 11.6, 12.0])
    job = make_job("plan", make_attempt(1, status=200))
    assert list_rules(cluster, job) == ["TWICE"]
    span = soak_cluster.Span(10.1, 13.99, "frozen")
    cluster.servers["llm-1"].frozen.append(span)
    assert list_rules(cluster, job) == []


def test_run_of_closed_as_unread_breaks_twice(
    cluster: soak_cluster.Cluster,
) -> None:
    """A request that ran though its connection was reset as unread is found."""
    write(cluster, "ledger-1", {"t": 10.0, "kind": "begin", "id": "j-1"})
    attempt = make_attempt(1, error="unread")
    assert list_rules(cluster, make_job("sign", attempt)) == ["TWICE"]


def test_wrong_service_breaks_route(cluster: soak_cluster.Cluster) -> None:
    """A request that runs at another service is found."""
    write(cluster, "llm-1", {"t": 10.0, "kind": "begin", "id": "j-1"})
    attempt = make_attempt(1, status=200)
    assert list_rules(cluster, make_job("sign", attempt)) == ["ROUTE"]


def test_foreign_response_breaks_mixed(cluster: soak_cluster.Cluster) -> None:
    """A response with a problem is found."""
    attempt = make_attempt(1, status=200, problem="response to j-2")
    assert list_rules(cluster, make_job("sign", attempt)) == ["MIXED"]


@pytest.mark.parametrize(
    ("holder", "token", "at", "rules"),
    [
        ("front-1@a", 5, 12.0, []),
        ("front-2@b", 6, 14.0, []),
        ("front-2@b", 6, 12.0, ["ONE"]),
        ("front-2@b", 5, 20.0, ["ONE"]),
        ("front-2@b", 4, 20.0, ["ONE"]),
    ],
)
def test_orders_of_two_holders_break_one(
    cluster: soak_cluster.Cluster,
    holder: str,
    token: int,
    at: float,
    rules: list[str],
) -> None:
    """Orders with a generation number that is not above the last are found."""
    order = {
        "kind": "order",
        "operation": "load",
        "adapter": "a1",
        "status": 202,
    }
    write(
        cluster,
        "llm-1",
        {"t": 1.0, "kind": "start"},
        {"t": 10.0, "holder": "front-1@a", "token": 5, **order},
        {"t": at, "holder": holder, "token": token, **order},
    )
    seen = soak_checks.read_servers(cluster)
    found = soak_control_checks.check(cluster, [], seen, {}, [], [], 0.0)
    assert [v.rule for v in found] == rules


def test_late_arrival_breaks_drain(cluster: soak_cluster.Cluster) -> None:
    """A request that reaches a server long after it left is found."""
    write(cluster, "ledger-1", {"t": 12.5, "kind": "arrive", "id": "j-1"})
    job = make_job("sign", make_attempt(1, status=200))
    seen = soak_checks.read_servers(cluster)
    late = {"ledger-1": 10.0}
    check = soak_control_checks.check
    found = check(cluster, [job], seen, late, [], [], 0.0)
    assert [v.rule for v in found] == ["DRAIN"]
    assert check(cluster, [job], seen, {"ledger-1": 11.0}, [], [], 0.0) == []


def serve(cluster: soak_cluster.Cluster, *names: str) -> None:
    """Has servers serve all the while."""
    for name in names:
        cluster.servers[name].serving.append(
            soak_cluster.Span(0.0, time.monotonic() + 1e6, "serving")
        )


def make_refused(count: int) -> tuple[list[soak_jobs.Job], soak_jobs.Job]:
    """Returns streams whose resumption is refused, and one that begins."""
    resumed = []
    for index in range(count):
        first = make_attempt(1, (1, "v1", "a"), status=200)
        job = make_job("plan", first, make_attempt(2, after=1, status=503))
        job.job_id = f"j{index}"
        resumed.append(job)
    begun = make_job("plan", make_attempt(2, (1, "v1", "a"), status=200))
    begun.job_id = "new"
    return resumed, begun


def test_resumed_streams_that_end_break_lost(
    cluster: soak_cluster.Cluster,
) -> None:
    """Streams that never go on while new ones begin are found."""
    serve(cluster, "llm-1", "llm-2")
    resumed, begun = make_refused(12)
    seen = soak_checks.read_servers(cluster)
    check = soak_control_checks.check
    found = check(cluster, [*resumed, begun], seen, {}, [], [], 0.0)
    assert "LOST" in {v.rule for v in found}
    found = check(cluster, [*resumed[1:], begun], seen, {}, [], [], 0.0)
    assert "LOST" not in {v.rule for v in found}


def test_servers_of_another_service_take_no_streams_up(
    cluster: soak_cluster.Cluster,
) -> None:
    """Guards against servers that count by the name of their version alone."""
    serve(cluster, "llm-1", "ledger-1")
    resumed, begun = make_refused(12)
    seen = soak_checks.read_servers(cluster)
    check = soak_control_checks.check
    found = check(cluster, [*resumed, begun], seen, {}, [], [], 0.0)
    assert "LOST" not in {v.rule for v in found}
    serve(cluster, "llm-2")
    found = check(cluster, [*resumed, begun], seen, {}, [], [], 0.0)
    assert "LOST" in {v.rule for v in found}


def test_unserved_requests_break_recover(
    cluster: soak_cluster.Cluster,
) -> None:
    """Requests that fail long after the last fault are found."""
    jobs = [make_job("sign", make_attempt(2, status=503)) for _ in range(8)]
    seen = soak_checks.read_servers(cluster)
    check = soak_control_checks.check
    found = check(cluster, jobs, seen, {}, [], [], 0.0)
    assert [v.rule for v in found] == ["RECOVER"]
