"""Client requests, described by their headers; bodies stay unparsed."""

import dataclasses

from tamaracktide.core import routing_document

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Generation:
    """Generation parameters of a request to a model engine.

    Attributes:
        model: Base model.
        adapter: Adapter of the model; empty for the base model.
        prompt_tokens: Number of prompt tokens.
        max_tokens: Maximum number of generated tokens.
        expected_tokens: Number of generated tokens that the client expects.
        prefix: Identifies the shared parts of the prompt; empty for none.
        session: Identifies the last shared part; empty for none.
        parts: Shared parts of the prompt, in order; at most a few dozen.
        states_tokens: Whether the request states its numbers of tokens.
    """

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    prefix: str = ""
    session: str = ""
    parts: tuple[str, ...] = ()
    states_tokens: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Who sent a request.

    Attributes:
        workspace: Name of the workspace; empty on a public route.
        priority: Priority of its requests; None for that of the route.
        weight: Its weight in fair queueing.
    """

    workspace: str
    priority: int | None = None
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relayed:
    """What another instance says about a request that it sent on.

    Attributes:
        attempts: Number of upstreams that may run it.
        workspace: Name of its workspace, empty on a public route; None if the
            instance knew no workspaces.
    """

    attempts: int
    workspace: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientRequest:
    """One request as received from a client.

    Attributes:
        request_id: Id assigned by the client.
        method: HTTP method.
        target: Path and query as received.
        headers: All headers, names in lower case.
        body: The complete body.
        route: The matching route.
        service: The service that the route selects.
        deadline: Deadline of the client, or of the route if the client sets
            none, on the monotonic clock.
        expires_at: When the response must be complete: before the client's
            deadline and the route's timeout.
        generation: Parameters for a model engine; None for a plain service.
        resume_after: Id of the event after which the client resumes, or None.
        resumed_request: Id of the client's attempt that began the stream which
            this one resumes; empty if unknown.
        fingerprint: Hash of target and body, equal for all attempts.
        relayed_attempts: Number of upstreams that may run it if another
            instance sent it on; None for a client's own request.
        caller: Who sent it; None if the deployment has no workspaces.
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
    resumed_request: str = ""
    fingerprint: str = ""
    relayed_attempts: int | None = None
    caller: Caller | None = None

    @property
    def priority(self) -> int:
        """Its priority; 0 is the highest."""
        if self.caller is None or self.caller.priority is None:
            return self.route.priority
        return self.caller.priority

    @property
    def tokens(self) -> int | None:
        """Tokens that it states, prompt and output; None if it states none."""
        if self.generation is None or not self.generation.states_tokens:
            return None
        return self.generation.prompt_tokens + self.generation.max_tokens

    @property
    def max_attempts(self) -> int:
        """Number of upstreams that may run it."""
        if self.relayed_attempts is None:
            return self.route.max_attempts
        return min(self.route.max_attempts, self.relayed_attempts)

    @property
    def parts(self) -> tuple[str, ...]:
        """Parts of the prompt that other requests may share."""
        return () if self.generation is None else self.generation.parts
