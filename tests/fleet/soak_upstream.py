"""Settings of the stand-ins of upstreams, and what they answer."""

import dataclasses
import hashlib
from typing import Literal

import soak_http

MODEL = "m0"
EVENT_TOKENS = 3
BODY_BYTES = 800
COMMENT = b": x"
"""A block of a stream that is no event."""


@dataclasses.dataclass(slots=True)
class Config:
    """Settings of a stand-in.

    Attributes:
        name: Instance id.
        service: Name of its service.
        zone: Availability zone.
        address: `IP:PORT` to listen on.
        store: Address of the store.
        software: Version of its software.
        record: Path of the file of events.
        adapter_slots: Adapter slots; 0 for a plain server.
        slots: Requests that run at a time.
        work_s: Time until a plain response, or the first event.
        event_s: Time between events.
        seed: Seed of its random choices.
        state: `ready` or `draining`.
        is_beating: Whether it writes its entry.
        names_leaving: Whether its responses say that it leaves.
        names_limit: Requests a second that its responses say it takes, beyond
            which it turns requests away; 0 for any number.
        names_brittle: Rejections a second that its responses say it survives;
            0 for any number.
        refuses_until: Time until which it turns requests away.
        names_retry: Whether those refusals say when to come back.
        refuse_fraction: Fraction of requests that it turns away meanwhile.
        missing_fraction: Fraction of requests that an engine turns away as if
            it lacked their adapter.
        late_copy_s: Time after which a refusal is sent again; 0 for never.
        cut_fraction: Fraction of responses that it cuts.
        cuts_inside: Whether streams are cut inside an event.
        resets: Whether cut connections are reset.
        ends_unframed: Whether streams end with their connection.
        idle_close_fraction: Fraction of requests on kept connections at whose
            arrival the connection is closed without reading on.
        cut_pids: Processes whose connections get no response.
        cut_resets: Whether connections of these processes are reset; else they
            hang.
        pause_s: Silence in the middle of each stream.
        delay_s: Time by which each of its writes is late.
        holds_responses: Whether its responses are held back, as on a link that
            carries requests only.
        stray_fraction: Fraction of requests before whose response it writes
            bytes that belong to none.
        stray: What these are: a response to an earlier request, a refusal
            without an id, or bytes that are no response.
        endless_fraction: Fraction of responses that never end.
        endless_part: Part of such a response that goes on.
    """

    name: str
    service: str
    zone: str
    address: str
    store: str
    software: str
    record: str
    adapter_slots: int = 0
    slots: int = 64
    work_s: float = 0.03
    event_s: float = 0.06
    seed: int = 0
    state: str = "ready"
    is_beating: bool = True
    names_leaving: bool = False
    names_limit: float = 0.0
    names_brittle: int = 0
    refuses_until: float = 0.0
    names_retry: bool = False
    refuse_fraction: float = 1.0
    missing_fraction: float = 0.0
    late_copy_s: float = 0.0
    cut_fraction: float = 0.0
    cuts_inside: bool = False
    resets: bool = False
    ends_unframed: bool = False
    idle_close_fraction: float = 0.0
    cut_pids: list[int] = dataclasses.field(default_factory=list)
    cut_resets: bool = False
    pause_s: float = 0.0
    delay_s: float = 0.0
    holds_responses: bool = False
    stray_fraction: float = 0.0
    stray: Literal["refusal", "success", "unnamed", "noise"] = "refusal"
    endless_fraction: float = 0.0
    endless_part: Literal["head", "body", "event"] = "body"


def make_state_headers(config: Config) -> soak_http.Headers:
    """Returns what all responses of a stand-in say about its state."""
    headers = {}
    if config.names_leaving:
        headers["Server-Leaving"] = "1"
    if config.names_limit:
        headers["Server-Limit"] = f"{config.names_limit:g}"
    if config.names_brittle:
        headers["Server-Brittle"] = str(config.names_brittle)
    return headers


def make_stray(kind: str) -> bytes:
    """Returns bytes that belong to no request that waits."""
    not_run = {"X-Not-Executed": "1"}
    match kind:
        case "refusal":
            headers = {"X-Request-Id": "earlier", **not_run}
            return soak_http.make_response(503, headers)
        case "success":
            headers = {"X-Request-Id": "earlier"}
            headers["X-Response-Signature"] = "any.earlier"
            return soak_http.make_response(200, headers, b"earlier")
        case "unnamed":
            return soak_http.make_response(503, not_run)
    return b"\x00 no response \r\n\r\n"


def make_body(service: str, request_id: str, sent: bytes) -> bytes:
    """Returns the body of a plain response, which a client can check."""
    digest = hashlib.sha256(sent).hexdigest()
    return f"{service} {request_id} {digest} ".encode().ljust(BODY_BYTES, b".")
