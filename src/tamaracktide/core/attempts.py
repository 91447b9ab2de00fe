"""State machine for the attempts of one request.

An `Attempts` object tracks a request from its first grant request to its end.
Handling an event returns exactly one action. The machine asserts that a
request that may have run is never reported as not run.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from tamaracktide import invariants
from tamaracktide import result_codes
from tamaracktide.core import randomness
from tamaracktide.core import retry_budget

Codes = result_codes.ResultCode
Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """When and how often a request is retried.

    Attributes:
        max_attempts: Maximum attempts of one request, including the first.
        max_resumes: Maximum resumptions of one attempt without a new token.
        backoff_s: Back-off before the first retry, doubled for each later one.
        max_backoff_s: Maximum back-off before a retry.
        retry_after_s: Default Retry-After of a refusal.
        max_unrun: Maximum number of attempts that certainly did not run and
            do not count towards `max_attempts`; with 0 every attempt counts.
        budget: Retry budget shared by all requests.
    """

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 5
    max_resumes: Annotated[int, msgspec.Meta(ge=0, le=20)] = 3
    backoff_s: Seconds = 0.02
    max_backoff_s: Seconds = 1.0
    retry_after_s: Seconds = 1.0
    max_unrun: Annotated[int, msgspec.Meta(ge=0, le=20)] = 0
    budget: retry_budget.RetryBudgetSettings = dataclasses.field(
        default_factory=retry_budget.RetryBudgetSettings
    )


class Phase(enum.Enum):
    """Phase of the current attempt."""

    REQUESTED = "asked"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    STARTED = "started"
    ENDED = "ended"


class RetryLimit(enum.Enum):
    """What prevented another attempt."""

    ATTEMPTS = "attempts"
    BUDGET = "budget"


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A scheduler granted a batch slot on an upstream."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRefused:
    """A scheduler refused the grant request; the request did not run.

    Attributes:
        code: Result code of the refusal.
        retry_after_s: Time after which the client may retry.
        final: Whether another grant request is known to fail as well.
    """

    code: result_codes.ResultCode
    retry_after_s: float
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReplyLost:
    """No reply arrived; the scheduler may still issue an unused grant."""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDropped:
    """A grant was released before use because its epoch is stale."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """The request is being sent to the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run: it was rejected, or no connection opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progressed:
    """Tokens arrived.

    Attributes:
        offset: Number of tokens received so far.
        delivered: Whether any part of the response was sent to the client.
    """

    offset: int
    delivered: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The response was interrupted before its end.

    Attributes:
        silent: Whether the progress timeout expired; otherwise the
            connection was lost.
        resumable: Whether the upstream can resend it from an offset.
    """

    silent: bool
    resumable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeFailed:
    """A resumption failed.

    Attributes:
        gone: Whether the upstream replied that the stream is unknown.
    """

    gone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeGranted:
    """Another upstream has a batch slot while the current one is silent."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeEnded:
    """The hedged request was refused, lost or no longer needed.

    Attributes:
        ran: Whether it may have run.
    """

    ran: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeAnswered:
    """The other upstream has begun to answer and takes over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The deadline of the request passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The response is complete."""


Event = (
    Granted
    | GrantRefused
    | GrantReplyLost
    | GrantDropped
    | Dispatched
    | NotRun
    | Progressed
    | Interrupted
    | ResumeFailed
    | HedgeGranted
    | HedgeEnded
    | HedgeAnswered
    | Expired
    | Completed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """Continue with the next step of the attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Start another attempt after a back-off.

    Attributes:
        wait_s: Back-off before the attempt.
        avoid: Upstreams that must not run the request.
        alone: Whether the request must run alone because it may have
            crashed an upstream.
    """

    wait_s: float
    avoid: tuple[str, ...]
    alone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Resume the stream on a new connection after a back-off."""

    offset: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """End the request with an error; no further attempt is made.

    Attributes:
        code: Result code; its meaning states whether the request ran.
        retry_after_s: Time after which the client may retry.
        limit: What prevented another attempt; None if none was wanted.
    """

    code: result_codes.ResultCode
    retry_after_s: float
    limit: RetryLimit | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait for the current upstream; no hedged request may be sent."""

    limit: RetryLimit


Action = Proceed | Retry | Resume | Abort | Wait

_PROCEED = Proceed()
_RETRYABLE_CODES = frozenset(
    (
        Codes.NOT_OWNER,
        Codes.STALE_EPOCH,
        Codes.OWNER_UNREACHABLE,
        Codes.PEER_UNREACHABLE,
        Codes.NO_UPSTREAM,
        Codes.DRAINING,
    )
)


_INTERNAL_CODES = frozenset(
    (Codes.NOT_OWNER, Codes.STALE_EPOCH, Codes.PEER_UNREACHABLE)
)


class Attempts:
    """State machine of one request's attempts."""

    __slots__ = (
        "_attempts",
        "_avoid",
        "_budget",
        "_cause",
        "_continuable",
        "_delivered",
        "_hedge",
        "_idempotent",
        "_lost_code",
        "_may_have_run",
        "_offset",
        "_resumes",
        "_rng",
        "_settings",
        "_silent",
        "_suspect",
        "_unrun_attempts",
        "_upstream",
        "phase",
    )

    def __init__(
        self,
        settings: RetrySettings,
        budget: retry_budget.Budget,
        rng: randomness.Random,
        *,
        idempotent: bool,
        continuable: bool = False,
    ) -> None:
        """Starts the first attempt, which requests a grant.

        Args:
            settings: Limits and back-off of retries.
            budget: Retry budget shared by all requests.
            rng: Source of jitter.
            idempotent: Whether the request may run more than once.
            continuable: Whether another upstream can continue a response
                that was partly delivered to the client.
        """
        self.phase = Phase.REQUESTED
        self._settings = settings
        self._budget = budget
        self._rng = rng
        self._idempotent = idempotent
        self._continuable = continuable
        self._unrun_attempts = 0
        self._attempts = 1
        self._resumes = 0
        self._avoid: tuple[str, ...] = ()
        self._upstream = ""
        self._hedge = ""
        self._offset = 0
        self._delivered = False
        self._silent = False
        self._suspect = False
        self._may_have_run = False
        self._lost_code: result_codes.ResultCode | None = None
        self._cause: result_codes.ResultCode | None = None
        budget.add_request()

    @property
    def silent(self) -> bool:
        """Whether the last interruption was a progress timeout."""
        return self._silent

    @property
    def attempts_left(self) -> int:
        """Number of upstreams that may still run the request."""
        return max(1, self._settings.max_attempts - self._attempts + 1)

    @property
    def last_cause(self) -> str:
        """Name of the result code that caused the last retry."""
        return self._cause.name if self._cause else ""

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run on an upstream."""
        return self._may_have_run or self._lost_code is not None

    @property
    def avoid(self) -> tuple[str, ...]:
        """Upstreams that must not run the request."""
        return self._avoid

    @property
    def allows_hedge(self) -> bool:
        """Whether another upstream may take over from a silent one."""
        return (
            self._idempotent
            and (self._continuable or not self._delivered)
            and self._attempts < self._settings.max_attempts
        )

    def handle(self, event: Event) -> Action:
        """Applies an event and returns the resulting action."""
        invariants.check(
            self.phase is not Phase.ENDED,
            f"received {event} after the request ended",
        )
        match event:
            case Granted() | GrantRefused() | GrantReplyLost() | GrantDropped():
                return self._handle_grant_event(event)
            case Dispatched():
                self._enter(Phase.DISPATCHED, Phase.GRANTED)
                self._may_have_run = True
                return _PROCEED
            case NotRun():
                return self._handle_not_run()
            case Progressed():
                return self._handle_progress(event)
            case Interrupted():
                return self._handle_interruption(event)
            case ResumeFailed(gone):
                return self._handle_failed_resume(gone)
            case HedgeGranted() | HedgeEnded() | HedgeAnswered():
                return self._handle_hedge(event)
            case Expired():
                return self._handle_expiry()
            case Completed():
                self.phase = Phase.ENDED
                return _PROCEED

    def _handle_grant_event(
        self, event: Granted | GrantRefused | GrantReplyLost | GrantDropped
    ) -> Action:
        wait_s = self._settings.retry_after_s
        match event:
            case Granted(upstream):
                self._enter(Phase.GRANTED, Phase.REQUESTED)
                self._upstream = upstream
                return _PROCEED
            case GrantRefused(code, retry_after_s, final):
                if final:
                    return self._abort(code, retry_after_s)
                return self._handle_refusal(code, retry_after_s)
            case GrantReplyLost():
                return self._retry(Codes.OWNER_UNREACHABLE, wait_s)
            case GrantDropped():
                self._enter(Phase.REQUESTED, Phase.GRANTED)
                return self._retry(Codes.RETRIES_EXHAUSTED, wait_s)

    def _enter(self, phase: Phase, *previous: Phase) -> None:
        invariants.check(
            self.phase in previous,
            f"{phase} is not a valid successor of {self.phase}",
        )
        self.phase = phase

    def _handle_refusal(
        self, code: result_codes.ResultCode, retry_after_s: float
    ) -> Action:
        if code in _RETRYABLE_CODES:
            return self._retry(code, retry_after_s)
        return self._abort(code, retry_after_s)

    def _handle_not_run(self) -> Action:
        """Retries on another upstream: this one certainly did not run it."""
        self._enter(Phase.REQUESTED, Phase.DISPATCHED)
        self._may_have_run = False
        self._avoid = (*self._avoid, self._upstream)
        if self._unrun_attempts < self._settings.max_unrun:
            self._unrun_attempts += 1
            self._attempts -= 1
        return self._retry(
            Codes.RETRIES_EXHAUSTED, self._settings.retry_after_s
        )

    def _handle_progress(self, event: Progressed) -> Action:
        self._enter(Phase.STARTED, Phase.DISPATCHED, Phase.STARTED)
        invariants.check(
            event.offset >= self._offset,
            f"offset decreased from {self._offset} to {event.offset}",
        )
        if event.offset > self._offset:
            self._resumes = 0
        self._offset = event.offset
        self._delivered = self._delivered or event.delivered
        return _PROCEED

    def _handle_interruption(self, event: Interrupted) -> Action:
        self._silent = event.silent
        if event.resumable and self._resumes < self._settings.max_resumes:
            return self._resume(0.0)
        return self._handle_lost_response()

    def _handle_failed_resume(self, gone: bool) -> Action:
        # A reachable engine that reports the stream as unknown either never
        # received the request or lost the stream in a restart. Resuming again
        # cannot succeed in either case.
        if not gone and self._resumes < self._settings.max_resumes:
            return self._resume(self._compute_backoff_s(self._resumes))
        self._suspect = gone or not self._silent
        return self._handle_lost_response()

    def _handle_hedge(
        self, event: HedgeGranted | HedgeEnded | HedgeAnswered
    ) -> Action:
        invariants.check(
            self.phase in (Phase.DISPATCHED, Phase.STARTED),
            f"received {event} in phase {self.phase}",
        )
        match event:
            case HedgeGranted(upstream):
                return self._start_hedge(upstream)
            case HedgeEnded(ran):
                self._end_hedge(ran)
            case HedgeAnswered():
                self._switch_to_hedge()
        return _PROCEED

    def _start_hedge(self, upstream: str) -> Action:
        invariants.check(
            not self._hedge,
            f"{upstream} is hedged while {self._hedge} has not answered",
        )
        if not self.allows_hedge:
            return Wait(RetryLimit.ATTEMPTS)
        if not self._budget.take():
            return Wait(RetryLimit.BUDGET)
        self._attempts += 1
        self._hedge = upstream
        return _PROCEED

    def _end_hedge(self, ran: bool) -> None:
        """Goes on with the current upstream alone."""
        self._avoid = (*self._avoid, self._hedge)
        self._hedge = ""
        if ran:
            self._lost_code = Codes.PROGRESS_TIMEOUT
        elif self._unrun_attempts < self._settings.max_unrun:
            self._unrun_attempts += 1
            self._attempts -= 1

    def _switch_to_hedge(self) -> None:
        invariants.check(bool(self._hedge), "no hedged request was sent")
        self._avoid = (*self._avoid, self._upstream)
        self._upstream, self._hedge = self._hedge, ""
        self._silent = True
        self._lost_code = Codes.PROGRESS_TIMEOUT
        self._cause = Codes.PROGRESS_TIMEOUT
        self._resumes = 0
        self.phase = Phase.DISPATCHED

    def _handle_expiry(self) -> Action:
        if self._delivered:
            return self._abort(Codes.STREAM_BROKEN, 0.0)
        if self.may_have_run:
            return self._abort(Codes.PROGRESS_TIMEOUT, 0.0)
        return self._abort(Codes.DEADLINE_UNREACHABLE, 0.0)

    def _resume(self, wait_s: float) -> Action:
        self._resumes += 1
        return Resume(self._offset, wait_s)

    def _handle_lost_response(self) -> Action:
        """Handles the lost response to a request that may have run."""
        if self._delivered and not self._continuable:
            return self._abort(Codes.STREAM_BROKEN, 0.0)
        self._lost_code = (
            Codes.PROGRESS_TIMEOUT if self._silent else Codes.UPSTREAM_LOST
        )
        if not self._idempotent:
            return self._abort(self._lost_code, 0.0)
        self.phase = Phase.REQUESTED
        self._avoid = (*self._avoid, self._upstream)
        if not self._delivered:
            self._offset = 0
        self._resumes = 0
        return self._retry(self._lost_code, self._settings.retry_after_s)

    def _retry(
        self, code: result_codes.ResultCode, retry_after_s: float
    ) -> Action:
        """Retries if limits and budget permit, otherwise aborts with `code`."""
        self._cause = code
        if self._attempts >= self._settings.max_attempts:
            return self._abort(code, retry_after_s, RetryLimit.ATTEMPTS)
        if not self._budget.take():
            return self._abort(code, retry_after_s, RetryLimit.BUDGET)
        wait_s = self._compute_backoff_s(self._attempts - 1)
        self._attempts += 1
        return Retry(wait_s, self._avoid, self._suspect)

    def _abort(
        self,
        code: result_codes.ResultCode,
        retry_after_s: float,
        limit: RetryLimit | None = None,
    ) -> Action:
        self.phase = Phase.ENDED
        if code in _INTERNAL_CODES:
            code = Codes.RETRIES_EXHAUSTED
        if self._lost_code is not None and _reports_not_run(code):
            code = self._lost_code
        invariants.check(
            not (self.may_have_run and _reports_not_run(code)),
            f"{code.name} reports a request that may have run as not run",
        )
        base_retry_after_s = retry_after_s or self._settings.retry_after_s
        return Abort(
            code, base_retry_after_s * self._rng.uniform(1.0, 1.5), limit
        )

    def _compute_backoff_s(self, retries: int) -> float:
        backoff_s = min(
            self._settings.max_backoff_s,
            self._settings.backoff_s * 2.0**retries,
        )
        return backoff_s * self._rng.uniform(0.5, 1.5)


def _reports_not_run(code: result_codes.ResultCode) -> bool:
    execution = result_codes.MEANINGS[code].execution
    return execution is result_codes.Execution.NOT_RUN
