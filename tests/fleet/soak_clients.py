"""Clients of a soak run: they keep connections, retry and resume streams."""

from collections.abc import Callable
import dataclasses
import itertools
import json
import math
import os
import pathlib
import random
import time

import anyio
import soak_cluster
import soak_http
import soak_server

HOST = "svc.example"
CONNECT_TIMEOUT_S = 1.0
GAP_S = 3.2
"""Silence after which a client gives a stream up: four times the objective."""

PROMISES = frozenset((408, 421, 429, 503))
FINAL = frozenset((400, 401, 404, 413, 431))
MAX_IDLE_S = 12.0
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
EVENT_END = b"\n\n"
KEPT_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name of its route.
        service: Service of its route.
        budget_s: Time that a client waits over all attempts.
        max_attempts: Attempts of a client.
        is_stream: Whether the response is a stream.
        resumes: Whether a stream may be resumed.
        is_idempotent: Whether it may run more than once.
    """

    name: str
    service: str
    budget_s: float
    max_attempts: int
    is_stream: bool = False
    resumes: bool = False
    is_idempotent: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether an attempt may run more than once."""
        return self.is_idempotent or self.resumes


KINDS = (
    Kind("plan", "llm", 14.0, 8, is_stream=True, resumes=True),
    Kind("brief", "llm", 8.0, 3, is_stream=True),
    Kind("sign", "ledger", 3.0, 4),
    Kind("list", "ledger", 3.0, 4, is_idempotent=True),
)
SERVICES = {kind.name: kind.service for kind in KINDS}


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A whole event of a stream as a client received it."""

    at: float
    number: int
    software: str
    run: str
    stream: str


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt of a client.

    Attributes:
        request_id: Its id.
        instance: Instance that took it.
        is_kept: Whether its connection had served before.
        started_at: Time at which it was sent.
        ended_at: Time at which it ended.
        after: Last event that the client had, 0 for none.
        resumes: Id of the attempt that brought the first event.
        status: Status of the response, 0 for none.
        is_complete: Whether the response ended as complete.
        error: Why it ended otherwise.
        problem: What was wrong with the response, empty if nothing.
        events: Events that it brought.
        partial: Bytes after the last whole event.
        retry_after_s: When to come back, if the response said so.
    """

    request_id: str
    instance: str
    is_kept: bool
    started_at: float
    ended_at: float = 0.0
    after: int = 0
    resumes: str = ""
    status: int = 0
    is_complete: bool = False
    error: str = ""
    problem: str = ""
    events: list[Event] = dataclasses.field(default_factory=list)
    partial: bytes = b""
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True)
class Job:
    """What a client wants, and its attempts.

    Attributes:
        job_id: Its id, which is the body of its requests.
        kind: Kind of its requests.
        events: Events of the complete stream.
        path: Path of its requests.
        attempts: Its attempts so far.
    """

    job_id: str
    kind: Kind
    events: int
    path: str
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def last_event(self) -> int:
        """Number of the last event that the client has."""
        received = [a.events[-1].number for a in self.attempts if a.events]
        return received[-1] if received else 0

    @property
    def began_as(self) -> str:
        """Id of the attempt that brought the first event."""
        began = (a.request_id for a in self.attempts if a.events)
        return next(began, "")

    @property
    def is_served(self) -> bool:
        """Whether the last attempt was a complete success."""
        last = self.attempts[-1] if self.attempts else None
        return last is not None and last.is_complete and last.status == 200


@dataclasses.dataclass(slots=True)
class _Kept:
    connection: soak_http.Connection
    instance: str
    idle_since: float


class Clients:
    """The clients of a round.

    Attributes:
        jobs: Their jobs, ended or not.
        stray: Responses on connections with no request waiting.
    """

    def __init__(
        self,
        cluster: soak_cluster.Cluster,
        seed: int,
        prefix: str,
        record: pathlib.Path,
    ) -> None:
        """Sends nothing yet; each ended job becomes a line of the record."""
        self.jobs: list[Job] = []
        self.stray: list[str] = []
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._kept: list[_Kept] = []
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._record_fd = os.open(record, flags, 0o644)

    async def run(self, rate: float, seconds: float) -> None:
        """Starts jobs at a rate per second, and waits until all have ended."""
        ends_at = time.monotonic() + seconds
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < ends_at:
                tasks.start_soon(self._do, self._make_job())
                await anyio.sleep(self._rng.expovariate(rate))
        for kept in self._kept:
            await kept.connection.close()
        os.close(self._record_fd)

    def _make_job(self) -> Job:
        kind = self._rng.choices(KINDS, weights=(5, 2, 4, 2))[0]
        number = next(self._numbers)
        events = self._rng.choice((8, 20, 40, 60)) if kind.is_stream else 0
        if not kind.resumes:
            events = min(events, 40)
        path = f"/{kind.name}/{number}"
        job = Job(f"{self._prefix}{number}", kind, events, path)
        self.jobs.append(job)
        return job

    async def _do(self, job: Job) -> None:
        ends_at = time.monotonic() + job.kind.budget_s
        zone = self._rng.choice(self._list_zones())
        while len(job.attempts) < job.kind.max_attempts:
            left_s = ends_at - time.monotonic()
            if left_s < 0.3:
                break
            attempt = await self._attempt(job, zone, left_s)
            if not self._may_retry(job, attempt):
                break
            pause_s = attempt.retry_after_s or self._choose_pause(job)
            left_s = ends_at - time.monotonic()
            await anyio.sleep(min(pause_s, max(0.0, left_s / 3)))
        line = json.dumps(dataclasses.asdict(job), default=repr)
        os.write(self._record_fd, line.encode() + b"\n")

    def _choose_pause(self, job: Job) -> float:
        doubled = math.ldexp(MIN_PAUSE_S, len(job.attempts))
        return self._rng.uniform(0.5, 1.0) * min(MAX_PAUSE_S, doubled)

    def _may_retry(self, job: Job, attempt: Attempt) -> bool:
        if job.is_served or attempt.status in FINAL:
            return False
        if attempt.status in PROMISES:
            return True
        if attempt.error in ("refused", "unread"):
            return True
        return job.kind.may_repeat

    def _list_zones(self) -> list[str]:
        return sorted({i.zone for i in self._cluster.instances.values()})

    def _choose(self, job: Job, zone: str) -> soak_cluster.Instance:
        """Chooses an instance as the load balancer does."""
        tried = {attempt.instance for attempt in job.attempts}
        instances = list(self._cluster.instances.values())
        ready = [i for i in instances if i.is_in_rotation] or instances
        near = [i for i in ready if i.zone == zone] or ready
        fresh = [i for i in near if i.name not in tried]
        fresh = fresh or [i for i in ready if i.name not in tried]
        return self._rng.choice(fresh or ready)

    async def _attempt(self, job: Job, zone: str, left_s: float) -> Attempt:
        kept = None
        if not job.attempts and self._rng.random() < KEPT_FRACTION:
            kept = await self._take_kept()
        name = kept.instance if kept else self._choose(job, zone).name
        attempt = Attempt(
            f"{job.job_id}-{len(job.attempts) + 1}",
            name,
            kept is not None,
            time.monotonic(),
            after=job.last_event,
            resumes=job.began_as,
        )
        job.attempts.append(attempt)
        connection = kept.connection if kept else None
        try:
            with anyio.fail_after(left_s):
                if connection is None:
                    address = self._cluster.instances[name].front
                    connection = await self._connect(attempt, address)
                if connection is not None:
                    await self._exchange(job, attempt, connection, left_s)
        except TimeoutError:
            attempt.error = attempt.error or "timeout"
        except (*soak_http.CLOSED, OSError) as error:
            attempt.error = f"closed: {type(error).__name__}"
        attempt.ended_at = time.monotonic()
        if connection is not None:
            await self._put_back(attempt, connection)
        return attempt

    async def _connect(
        self, attempt: Attempt, address: str
    ) -> soak_http.Connection | None:
        try:
            return await soak_http.connect(address, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            attempt.error = "refused"
            return None

    async def _take_kept(self) -> _Kept | None:
        """Returns a connection that looks open, or None."""
        while self._kept:
            kept = self._kept.pop(self._rng.randrange(len(self._kept)))
            try:
                with anyio.move_on_after(0.0005):
                    await kept.connection.fill()
                if kept.connection.has_unread:
                    self.stray.append(kept.instance)
                elif time.monotonic() < kept.idle_since + MAX_IDLE_S:
                    return kept
            except (*soak_http.CLOSED, OSError):
                pass
            await kept.connection.close()
        return None

    async def _put_back(
        self, attempt: Attempt, connection: soak_http.Connection
    ) -> None:
        closes = attempt.error or not attempt.is_complete
        if closes or self._rng.random() > KEPT_FRACTION:
            await connection.close()
            return
        now = time.monotonic()
        self._kept.append(_Kept(connection, attempt.instance, now))

    async def _exchange(
        self,
        job: Job,
        attempt: Attempt,
        connection: soak_http.Connection,
        left_s: float,
    ) -> None:
        headers = self._make_headers(job, attempt, left_s)
        body = job.job_id.encode()
        request = soak_http.make_request("POST", job.path, headers, body)
        await connection.send(request)
        head = await connection.read_head()
        attempt.status = head.status
        attempt.problem = _check_head(attempt, head)
        if "retry-after" in head.headers:
            attempt.retry_after_s = float(head.headers["retry-after"])
        parts: list[bytes] = []
        take = parts.append
        if job.kind.is_stream and head.status == 200:
            take = _make_event_reader(attempt)
        with anyio.CancelScope(deadline=anyio.current_time() + GAP_S) as scope:
            async for part in connection.read_body(head):
                take(part)
                scope.deadline = anyio.current_time() + GAP_S
        if scope.cancelled_caught:
            attempt.error = "gap"
            return
        attempt.is_complete = True
        if head.headers.get("connection", "").lower() == "close":
            attempt.error = "close"
        if not job.kind.is_stream and head.status == 200:
            service, request_id = job.kind.service, attempt.request_id
            expected = soak_server.make_body(service, request_id, body)
            if b"".join(parts) != expected:
                attempt.problem = "body is not the server's"

    def _make_headers(
        self, job: Job, attempt: Attempt, left_s: float
    ) -> soak_http.Headers:
        headers = {
            "Host": HOST,
            "X-Request-Id": attempt.request_id,
            "X-Deadline-Ms": str(int(left_s * 1000)),
        }
        if not job.kind.is_stream:
            return headers
        number = int(job.path.rpartition("/")[2])
        adapter = 1 + int(30 * ((number * 0.618) % 1.0) ** 2)
        tokens = job.events * soak_server.EVENT_TOKENS
        headers["X-Model"] = f"{soak_server.MODEL}/a{adapter}"
        headers["X-Token-Count"] = f"400,{tokens}"
        headers["X-Prompt-Prefix"] = f"5c1e07a2:150,{number:x}0:250"
        if attempt.after:
            headers["Last-Event-Id"] = str(attempt.after)
            headers["Resumes"] = attempt.resumes
        return headers


def _check_head(attempt: Attempt, head: soak_http.Head) -> str:
    """Returns what is wrong with the head of a response."""
    named = head.headers.get("x-request-id", attempt.request_id)
    if named != attempt.request_id:
        return f"response to {named}"
    signature = head.headers.get("x-response-signature", "")
    if 200 <= head.status < 300 and not signature:
        return "success without signature"
    if signature and not signature.endswith(f".{attempt.request_id}"):
        return f"signature {signature}"
    return ""


def _make_event_reader(attempt: Attempt) -> Callable[[bytes], None]:
    def take(part: bytes) -> None:
        *events, attempt.partial = (attempt.partial + part).split(EVENT_END)
        now = time.monotonic()
        for event in events:
            try:
                attempt.events.append(_parse_event(event, now))
            except (ValueError, IndexError):
                attempt.problem = f"bytes that are no event: {event!r}"

    return take


def _parse_event(event: bytes, now: float) -> Event:
    lines = event.decode().split("\n")
    number = int(lines[0].removeprefix("id: "))
    software, run, stream, again = lines[1].removeprefix("data: ").split(" ")
    if int(again) != number:
        raise ValueError(event)
    return Event(now, number, software, run, stream)
