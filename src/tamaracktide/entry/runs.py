"""State of a request while it is forwarded, and of its attempts."""

import dataclasses

import anyio

from tamaracktide.core import attempts
from tamaracktide.core import stream_timing
from tamaracktide.entry import requests
from tamaracktide.entry import responses
from tamaracktide.entry import results
from tamaracktide.entry import service_cell
from tamaracktide.upstreams import streams

ESTABLISHED_S = 1.0
"""Time after its first event from when a response cannot crash its upstream."""

ESTABLISHED_EVENTS = 16
"""Events that it must have had by then: a slow upstream writes few."""


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request that is being forwarded.

    Attributes:
        request: The request.
        responder: Writes its response.
        progress: How much of the response the client has received.
        tries: State machine of its attempts.
        cell: Grants its batch slots.
        peers: Instances that the request was sent to.
    """

    request: requests.ClientRequest
    responder: responses.Responder
    progress: results.Progress
    tries: attempts.Attempts
    cell: service_cell.ServiceCell
    peers: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to run a request on an upstream.

    Attributes:
        placement: The granted batch slot.
        response: The upstream's response; None until its headers are checked.
        began_at: When its first event arrived; None before it.
        events: Number of its events that were forwarded.
        is_silent: Whether the upstream was found silent.
        is_hedged: Whether another upstream may answer instead.
        is_shared: Whether another upstream may be at work on its stream.
        is_given_up: Whether it was ended for that one, which may answer.
        successor: The attempt that takes over; None while there is none.
        is_relayed: Whether it was sent to another instance.
        is_admitted: Whether its events may be forwarded.
        timing: When its events arrived; None until it is sent.
    """

    placement: service_cell.Placement
    response: streams.StreamedResponse | None = None
    began_at: float | None = None
    events: int = 0
    is_silent: bool = False
    is_hedged: bool = False
    is_shared: bool = False
    is_given_up: bool = False
    successor: "Attempt | None" = None
    is_relayed: bool = False
    is_admitted: bool = False
    timing: stream_timing.StreamTiming | None = None

    @property
    def has_delivered(self) -> bool:
        """Whether an event of the response was sent to the client."""
        return self.events > 0

    @property
    def is_established(self) -> bool:
        """Whether the upstream would have crashed by now, if it were to.

        An upstream crashes as it begins to run a request that crashes it.
        """
        return (
            self.began_at is not None
            and self.events >= ESTABLISHED_EVENTS
            and anyio.current_time() >= self.began_at + ESTABLISHED_S
        )

    @property
    def upstream(self) -> str:
        """Instance id of the upstream."""
        return self.placement.entry.upstream
