"""Requests to engines and their results."""

import dataclasses
import enum

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """A request to an engine.

    Attributes:
        address: `host:port` of the engine.
        path: `/v1/completions` or `/v1/chat/completions`.
        request_id: Id of the stream, for resumption and cancellation.
        incarnation: Engine incarnation that is allowed to run the request.
        body: JSON body, whose `model` is the engine-side name.
        traceparent: W3C trace context, empty for none.
    """

    address: str
    path: str
    request_id: str
    incarnation: str
    body: bytes
    traceparent: str = ""


class NotRunReason(enum.Enum):
    """Reason why an engine did not run a request, as known for certain."""

    ADAPTER_MISSING = "adapter missing"
    OTHER_INCARNATION = "other incarnation"
    BUSY = "busy"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run; this is certain."""

    reason: NotRunReason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The engine rejected the request as invalid."""

    response: calls.Response


@dataclasses.dataclass(frozen=True, slots=True)
class LostResponse:
    """No complete response was received; the request may have run."""

    failure: calls.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The response is arriving; it must be closed after use."""

    response: streams.StreamedResponse


@dataclasses.dataclass(frozen=True, slots=True)
class StreamUnknown:
    """The engine has no stream with the id to be resumed."""


Completion = calls.Response | NotRun | Rejected | LostResponse
Stream = Started | NotRun | Rejected | LostResponse
Resumption = Started | StreamUnknown | calls.Failure
