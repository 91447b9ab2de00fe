"""Results of one attempt to run a request on an upstream."""

import dataclasses
from typing import TypeAlias

from tamaracktide import result_codes
from tamaracktide.core import attempts
from tamaracktide.upstreams import calls


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The complete response was forwarded to the client.

    Attributes:
        code: Result code.
        is_success: Whether its status is 2xx, so that the request ran.
    """

    code: result_codes.ResultCode
    is_success: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream certainly did not run the request.

    Attributes:
        detail: Cause, for logs.
        missing: Whether the upstream lacks the adapter or its version.
        unreachable: Whether no connection was established.
        unsent: Whether it was not sent over a connection that there was, or
            could have been, so that nothing is known of the upstream.
    """

    detail: str
    missing: bool = False
    unreachable: bool = False
    unsent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LostResponse:
    """The request may have run, but its response was lost.

    Attributes:
        detail: Cause, for logs.
        timed_out: Whether the upstream stopped sending data.
        response: The upstream's error response, if it sent one.
    """

    detail: str
    timed_out: bool = False
    response: calls.Response | None = None


Result: TypeAlias = Completed | NotRun | LostResponse


def make_lost_response(failure: calls.Failure) -> LostResponse:
    """Returns the result of a response that was not received completely."""
    return LostResponse(
        failure.detail,
        timed_out=failure.kind is calls.FailureKind.TIMEOUT,
    )


@dataclasses.dataclass(slots=True)
class Progress:
    """How much of a response the client has received.

    Attributes:
        last_id: Id of the last event that was forwarded.
        events: Number of events that this instance forwarded.
        upstreams: Upstreams that the request was sent to.
        addresses: Their addresses. A connection that was used for the request
            may still bring a second response to it.
        software: Software version that wrote the stream's first event; None
            before it.
        first_s: Time that its first attempt waited and took to the first event.
        longest_gap_s: Longest time between two events of an upstream.
        event_s: Median time for an event at the last upstream.
        limit: What prevented another attempt, None if none was wanted.
    """

    last_id: int | None
    events: int = 0
    upstreams: list[str] = dataclasses.field(default_factory=list)
    addresses: set[str] = dataclasses.field(default_factory=set)
    software: str | None = None
    first_s: float | None = None
    longest_gap_s: float = 0.0
    event_s: float | None = None
    limit: attempts.RetryLimit | None = None
