"""What the clients of a soak run want, and what they have seen."""

import dataclasses

HOST = "svc.example"
ADDED_PREFIX = "added"
"""Routes with this prefix exist in one version of the manifest only."""


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
    Kind("plan", "llm", 14.0, 12, is_stream=True, resumes=True),
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
