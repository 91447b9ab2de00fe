"""Clients of a soak run: they keep connections, retry and resume streams."""

from collections.abc import Callable
import dataclasses
import itertools
import json
import math
import pathlib
import random
import time

import anyio
import soak_cluster
import soak_http
import soak_jobs
import soak_upstream

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
ADAPTERS = 60
WEIGHTS = (5, 2, 4, 2)
"""Relative rates of the kinds of requests."""


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
        self.jobs: list[soak_jobs.Job] = []
        self.stray: list[str] = []
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._kept: list[_Kept] = []
        self._record = record

    async def run(self, rate: float, seconds: float) -> None:
        """Starts jobs at a rate per second, and waits until all have ended."""
        ends_at = time.monotonic() + seconds
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < ends_at:
                tasks.start_soon(self._do, self._make_job())
                await anyio.sleep(self._rng.expovariate(rate))
        for kept in self._kept:
            await kept.connection.close()

    def _make_job(self) -> soak_jobs.Job:
        kind = self._rng.choices(soak_jobs.KINDS, weights=WEIGHTS)[0]
        number = next(self._numbers)
        events = self._rng.choice((8, 20, 40, 60)) if kind.is_stream else 0
        if not kind.resumes:
            events = min(events, 40)
        path = f"/{kind.name}/{number}"
        job = soak_jobs.Job(f"{self._prefix}{number}", kind, events, path)
        self.jobs.append(job)
        return job

    async def _do(self, job: soak_jobs.Job) -> None:
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
        with self._record.open("a") as record:
            record.write(line + "\n")

    def _choose_pause(self, job: soak_jobs.Job) -> float:
        doubled = math.ldexp(MIN_PAUSE_S, len(job.attempts))
        return self._rng.uniform(0.5, 1.0) * min(MAX_PAUSE_S, doubled)

    def _may_retry(
        self, job: soak_jobs.Job, attempt: soak_jobs.Attempt
    ) -> bool:
        if job.is_served or attempt.status in FINAL:
            return False
        if attempt.status in PROMISES:
            return True
        if attempt.error in ("refused", "unread"):
            return True
        return job.kind.may_repeat

    def _list_zones(self) -> list[str]:
        return sorted({i.zone for i in self._cluster.instances.values()})

    def _choose(self, job: soak_jobs.Job, zone: str) -> soak_cluster.Instance:
        """Chooses an instance as the load balancer does."""
        tried = {attempt.instance for attempt in job.attempts}
        instances = list(self._cluster.instances.values())
        ready = [i for i in instances if i.is_in_rotation] or instances
        near = [i for i in ready if i.zone == zone] or ready
        fresh = [i for i in near if i.name not in tried]
        fresh = fresh or [i for i in ready if i.name not in tried]
        return self._rng.choice(fresh or ready)

    async def _attempt(
        self, job: soak_jobs.Job, zone: str, left_s: float
    ) -> soak_jobs.Attempt:
        kept = None
        if not job.attempts and self._rng.random() < KEPT_FRACTION:
            kept = await self._take_kept()
        attempt = soak_jobs.Attempt(
            f"{job.job_id}-{len(job.attempts) + 1}",
            kept.instance if kept else self._choose(job, zone).name,
            kept is not None,
            time.monotonic(),
            after=job.last_event,
            resumes=job.began_as,
        )
        job.attempts.append(attempt)
        connection = kept.connection if kept else await self._connect(attempt)
        if connection is not None:
            await self._send(job, attempt, connection, left_s)
        attempt.ended_at = time.monotonic()
        if connection is not None:
            await self._put_back(attempt, connection)
        return attempt

    async def _send(
        self,
        job: soak_jobs.Job,
        attempt: soak_jobs.Attempt,
        connection: soak_http.Connection,
        left_s: float,
    ) -> None:
        try:
            with anyio.fail_after(left_s):
                await self._exchange(job, attempt, connection, left_s)
        except TimeoutError:
            attempt.error = "timeout"
        except anyio.BrokenResourceError:
            # The kernel resets a connection that ends with unread bytes.
            attempt.error = "reset" if attempt.status else "unread"
        except (*soak_http.CLOSED, OSError) as error:
            attempt.error = f"closed: {type(error).__name__}"

    async def _connect(
        self, attempt: soak_jobs.Attempt
    ) -> soak_http.Connection | None:
        address = self._cluster.instances[attempt.instance].front
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
        self, attempt: soak_jobs.Attempt, connection: soak_http.Connection
    ) -> None:
        closes = attempt.error or not attempt.is_complete
        if closes or self._rng.random() > KEPT_FRACTION:
            await connection.close()
            return
        now = time.monotonic()
        self._kept.append(_Kept(connection, attempt.instance, now))

    async def _exchange(
        self,
        job: soak_jobs.Job,
        attempt: soak_jobs.Attempt,
        connection: soak_http.Connection,
        left_s: float,
    ) -> None:
        headers = self._make_headers(job, attempt, left_s)
        body = job.job_id.encode()
        request = soak_http.make_request("POST", job.path, headers, body)
        await connection.send(request)
        gap_s = GAP_S if job.kind.is_stream else left_s
        with anyio.move_on_after(gap_s) as scope:
            head = await connection.read_head()
            _record_head(attempt, head)
            parts: list[bytes] = []
            take = parts.append
            if job.kind.is_stream and head.status == 200:
                take = _make_event_reader(attempt)
            async for part in connection.read_body(head):
                take(part)
                scope.deadline = anyio.current_time() + gap_s
            _record_end(job, attempt, head, b"".join(parts))
        if scope.cancelled_caught:
            attempt.error = "gap"

    def _make_headers(
        self, job: soak_jobs.Job, attempt: soak_jobs.Attempt, left_s: float
    ) -> soak_http.Headers:
        headers = {
            "Host": soak_jobs.HOST,
            "X-Request-Id": attempt.request_id,
            "X-Deadline-Ms": str(int(left_s * 1000)),
        }
        if not job.kind.is_stream:
            return headers
        number = int(job.path.rpartition("/")[2])
        adapter = 1 + int(ADAPTERS * ((number * 0.618) % 1.0) ** 2)
        tokens = job.events * soak_upstream.EVENT_TOKENS
        headers["X-Model"] = f"{soak_upstream.MODEL}/a{adapter}"
        headers["X-Token-Count"] = f"400,{tokens}"
        headers["X-Prompt-Prefix"] = f"5c1e07a2:150,{number:x}0:250"
        if attempt.after:
            headers["Last-Event-Id"] = str(attempt.after)
            headers["Resumes"] = attempt.resumes
        return headers


def _record_head(attempt: soak_jobs.Attempt, head: soak_http.Head) -> None:
    attempt.status = head.status
    attempt.problem = _check_head(attempt, head)
    if "retry-after" in head.headers:
        attempt.retry_after_s = float(head.headers["retry-after"])


def _record_end(
    job: soak_jobs.Job,
    attempt: soak_jobs.Attempt,
    head: soak_http.Head,
    body: bytes,
) -> None:
    attempt.is_complete = True
    if head.headers.get("connection", "").lower() == "close":
        attempt.error = "close"
    if job.kind.is_stream or head.status != 200:
        return
    expected = soak_upstream.make_body(
        job.kind.service, attempt.request_id, job.job_id.encode()
    )
    if body != expected:
        attempt.problem = "body is not the server's"


def _check_head(attempt: soak_jobs.Attempt, head: soak_http.Head) -> str:
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


def _make_event_reader(attempt: soak_jobs.Attempt) -> Callable[[bytes], None]:
    def take(part: bytes) -> None:
        *events, attempt.partial = (attempt.partial + part).split(EVENT_END)
        now = time.monotonic()
        for event in events:
            if event == soak_upstream.COMMENT:
                continue
            try:
                attempt.events.append(_parse_event(event, now))
            except (ValueError, IndexError):
                attempt.problem = f"bytes that are no event: {event!r}"

    return take


def _parse_event(event: bytes, now: float) -> soak_jobs.Event:
    lines = event.decode().split("\n")
    number = int(lines[0].removeprefix("id: "))
    software, run, stream, again = lines[1].removeprefix("data: ").split(" ")
    if int(again) != number:
        raise ValueError(event)
    return soak_jobs.Event(now, number, software, run, stream)
