"""What a gateway does after each step of a request's attempts.

One `Attempts` follows a request from its first ask to its end. Each event
returns the one action that follows. It asserts that `not run` is never said
of a request that may have run.
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
    """When a request is tried again.

    Attributes:
        max_attempts: Most attempts of one request, the first included.
        max_resumes: Most resumptions of one attempt without a new token.
        backoff_s: Wait before the first retry, doubled for each later one.
        max_backoff_s: Longest wait before a retry.
        retry_after_s: Usual Retry-After of a refusal.
        max_unrun: Further attempts after ones that surely did not run; 0
            counts those like all others.
        budget: Retries of all requests together.
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
    """How far the present attempt has come."""

    ASKED = "asked"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    STARTED = "started"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A scheduler granted a place on an upstream."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRefused:
    """A scheduler refused the request; it did not run.

    Attributes:
        code: Why.
        retry_after_s: When the caller may come back.
        final: Whether asking again is known to be in vain.
    """

    code: result_codes.ResultCode
    retry_after_s: float
    final: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskLost:
    """A scheduler did not answer; it may still grant in vain."""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDropped:
    """A grant was given back before use, as it names an old epoch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """The request is being sent to the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream's answer (or no connection) says that it did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progressed:
    """Tokens arrived.

    Attributes:
        offset: Tokens of the stream so far.
        passed_on: Whether the caller has seen any part of the answer.
    """

    offset: int
    passed_on: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The answer stopped before its end.

    Attributes:
        silent: Whether it fell silent; otherwise the connection broke.
        resumable: Whether the upstream can send it again from an offset.
    """

    silent: bool
    resumable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeFailed:
    """A resumption did not succeed.

    Attributes:
        gone: The upstream answered that it does not know the stream.
    """

    gone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The caller's deadline passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The answer is whole."""


Event = (
    Granted
    | GrantRefused
    | AskLost
    | GrantDropped
    | Dispatched
    | NotRun
    | Progressed
    | Interrupted
    | ResumeFailed
    | Expired
    | Completed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """Go on with the next step of the attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Start another attempt after a wait.

    Attributes:
        wait_s: Wait before it.
        avoid: Upstreams that must not run it.
        alone: Whether it must run alone, as it may have crashed one.
    """

    wait_s: float
    avoid: tuple[str, ...]
    alone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Open the stream again over a new connection, after a wait."""

    offset: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Answer the caller now; nothing more is tried.

    Attributes:
        code: Why; its meaning states whether the request ran.
        retry_after_s: When the caller may come back.
    """

    code: result_codes.ResultCode
    retry_after_s: float


Action = Proceed | Retry | Resume | Abort

_PROCEED = Proceed()
_RETRIED_REFUSALS = frozenset(
    (
        Codes.NOT_OWNER,
        Codes.STALE_EPOCH,
        Codes.OWNER_UNREACHABLE,
        Codes.PEER_UNREACHABLE,
        Codes.NO_UPSTREAM,
        Codes.DRAINING,
    )
)


_INNER_CODES = frozenset(
    (Codes.NOT_OWNER, Codes.STALE_EPOCH, Codes.PEER_UNREACHABLE)
)


class Attempts:
    """State machine of one request's attempts."""

    __slots__ = (
        "_asks",
        "_avoid",
        "_budget",
        "_cause",
        "_continuable",
        "_idempotent",
        "_lost_code",
        "_may_have_run",
        "_offset",
        "_passed_on",
        "_resumes",
        "_rng",
        "_settings",
        "_silent",
        "_suspect",
        "_unrun",
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
        """Starts the first attempt, which asks for a grant.

        Args:
            settings: When to try again.
            budget: Shared by all requests.
            rng: Source of jitter.
            idempotent: Whether the request may run more than once.
            continuable: Whether another upstream can go on with an answer
                that the caller has seen a part of.
        """
        self.phase = Phase.ASKED
        self._settings = settings
        self._budget = budget
        self._rng = rng
        self._idempotent = idempotent
        self._continuable = continuable
        self._unrun = 0
        self._asks = 1
        self._resumes = 0
        self._avoid: tuple[str, ...] = ()
        self._upstream = ""
        self._offset = 0
        self._passed_on = False
        self._silent = False
        self._suspect = False
        self._may_have_run = False
        self._lost_code: result_codes.ResultCode | None = None
        self._cause: result_codes.ResultCode | None = None
        budget.add_request()

    @property
    def silent(self) -> bool:
        """Whether the last break was a silence."""
        return self._silent

    @property
    def last_cause(self) -> str:
        """Name of the result code that the last retry would have ended in."""
        return self._cause.name if self._cause else ""

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run on an upstream."""
        return self._may_have_run or self._lost_code is not None

    def handle(self, event: Event) -> Action:
        """Takes an event and returns the action that follows."""
        invariants.check(
            self.phase is not Phase.ENDED, f"{event} after the end"
        )
        match event:
            case Granted() | GrantRefused() | AskLost() | GrantDropped():
                return self._handle_ask(event)
            case Dispatched():
                self._enter(Phase.DISPATCHED, Phase.GRANTED)
                self._may_have_run = True
                return _PROCEED
            case NotRun():
                return self._handle_not_run()
            case Progressed():
                return self._handle_progress(event)
            case Interrupted():
                return self._handle_break(event)
            case ResumeFailed(gone):
                return self._handle_failed_resume(gone)
            case Expired():
                return self._handle_expiry()
            case Completed():
                self.phase = Phase.ENDED
                return _PROCEED

    def _handle_ask(
        self, event: Granted | GrantRefused | AskLost | GrantDropped
    ) -> Action:
        wait_s = self._settings.retry_after_s
        match event:
            case Granted(upstream):
                self._enter(Phase.GRANTED, Phase.ASKED)
                self._upstream = upstream
                return _PROCEED
            case GrantRefused(code, retry_after_s, final):
                if final:
                    return self._give_up(code, retry_after_s)
                return self._handle_refusal(code, retry_after_s)
            case AskLost():
                return self._retry(Codes.OWNER_UNREACHABLE, wait_s)
            case GrantDropped():
                self._enter(Phase.ASKED, Phase.GRANTED)
                return self._retry(Codes.RETRIES_EXHAUSTED, wait_s)

    def _enter(self, phase: Phase, *previous: Phase) -> None:
        invariants.check(
            self.phase in previous, f"{phase} entered from {self.phase}"
        )
        self.phase = phase

    def _handle_refusal(
        self, code: result_codes.ResultCode, retry_after_s: float
    ) -> Action:
        if code in _RETRIED_REFUSALS:
            return self._retry(code, retry_after_s)
        return self._give_up(code, retry_after_s)

    def _handle_not_run(self) -> Action:
        """Another engine may be asked: this one surely did not run it."""
        self._enter(Phase.ASKED, Phase.DISPATCHED)
        self._may_have_run = False
        self._avoid = (*self._avoid, self._upstream)
        if self._unrun < self._settings.max_unrun:
            self._unrun += 1
            self._asks -= 1
        return self._retry(
            Codes.RETRIES_EXHAUSTED, self._settings.retry_after_s
        )

    def _handle_progress(self, event: Progressed) -> Action:
        self._enter(Phase.STARTED, Phase.DISPATCHED, Phase.STARTED)
        invariants.check(
            event.offset >= self._offset,
            f"offset fell from {self._offset} to {event.offset}",
        )
        if event.offset > self._offset:
            self._resumes = 0
        self._offset = event.offset
        self._passed_on = self._passed_on or event.passed_on
        return _PROCEED

    def _handle_break(self, event: Interrupted) -> Action:
        self._silent = event.silent
        if event.resumable and self._resumes < self._settings.max_resumes:
            return self._resume(0.0)
        return self._handle_lost_answer()

    def _handle_failed_resume(self, gone: bool) -> Action:
        # A stream that a connected engine does not know was either never
        # received or lost with a restart; in both cases it will not come.
        if not gone and self._resumes < self._settings.max_resumes:
            return self._resume(self._find_backoff(self._resumes))
        self._suspect = gone or not self._silent
        return self._handle_lost_answer()

    def _handle_expiry(self) -> Action:
        if self._passed_on:
            return self._give_up(Codes.STREAM_BROKEN, 0.0)
        if self.may_have_run:
            return self._give_up(Codes.PROGRESS_TIMEOUT, 0.0)
        return self._give_up(Codes.DEADLINE_UNREACHABLE, 0.0)

    def _resume(self, wait_s: float) -> Action:
        self._resumes += 1
        return Resume(self._offset, wait_s)

    def _handle_lost_answer(self) -> Action:
        """The engine is judged unable to finish what it may have run."""
        if self._passed_on and not self._continuable:
            return self._give_up(Codes.STREAM_BROKEN, 0.0)
        self._lost_code = (
            Codes.PROGRESS_TIMEOUT if self._silent else Codes.UPSTREAM_LOST
        )
        if not self._idempotent:
            return self._give_up(self._lost_code, 0.0)
        self.phase = Phase.ASKED
        self._avoid = (*self._avoid, self._upstream)
        if not self._passed_on:
            self._offset = 0
        self._resumes = 0
        return self._retry(self._lost_code, self._settings.retry_after_s)

    def _retry(
        self, code: result_codes.ResultCode, retry_after_s: float
    ) -> Action:
        """Asks again if it is allowed, else gives up with the code."""
        self._cause = code
        if self._asks >= self._settings.max_attempts:
            return self._give_up(code, retry_after_s)
        if not self._budget.take():
            return self._give_up(code, retry_after_s)
        wait_s = self._find_backoff(self._asks - 1)
        self._asks += 1
        return Retry(wait_s, self._avoid, self._suspect)

    def _give_up(
        self, code: result_codes.ResultCode, retry_after_s: float
    ) -> Action:
        self.phase = Phase.ENDED
        if code in _INNER_CODES:
            code = Codes.RETRIES_EXHAUSTED
        if self._lost_code is not None and _says_not_run(code):
            code = self._lost_code
        invariants.check(
            not (self.may_have_run and _says_not_run(code)),
            f"{code.name} says not run of a request that may have run",
        )
        usual_s = retry_after_s or self._settings.retry_after_s
        return Abort(code, usual_s * self._rng.uniform(1.0, 1.5))

    def _find_backoff(self, retries: int) -> float:
        backoff_s = min(
            self._settings.max_backoff_s,
            self._settings.backoff_s * 2.0**retries,
        )
        return backoff_s * self._rng.uniform(0.5, 1.5)


def _says_not_run(code: result_codes.ResultCode) -> bool:
    execution = result_codes.MEANINGS[code].execution
    return execution is result_codes.Execution.NOT_RUN
