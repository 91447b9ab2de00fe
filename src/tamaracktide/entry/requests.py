"""What an instance knows of a request whose body it does not read."""

import dataclasses

from tamaracktide.core import routing_document

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Generation:
    """What a request asks of a model engine.

    Attributes:
        model: Base model.
        adapter: Adapter of the model; empty for the model itself.
        prompt_tokens: Tokens of the prompt.
        max_tokens: Most tokens of the answer.
        expected_tokens: Tokens of the answer that the caller expects.
        prefix: Identifies the shared parts of the prompt; empty for none.
        session: Identifies the last shared part; empty for none.
    """

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    prefix: str = ""
    session: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientRequest:
    """One attempt of a caller, as it arrived.

    Attributes:
        request_id: The id that the caller gave it.
        method: HTTP method.
        target: Path and query as they were sent.
        headers: All headers, names in lower case.
        body: The whole body.
        route: The route that it belongs to.
        service: The service that is to answer.
        deadline: When the caller stops waiting, on the monotonic clock.
        expires_at: When it must have its final answer, by the route too.
        generation: What it asks of an engine; None for a plain service.
        resume_after: Id of the event after which the caller goes on, or None.
        fingerprint: Identifies its content across attempts.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: routing_document.Route
    service: routing_document.Service
    deadline: float
    expires_at: float
    generation: Generation | None = None
    resume_after: int | None = None
    fingerprint: str = ""
