"""Turns client requests into what a cell decides on."""

import dataclasses

from tamaracktide.core import cell_events
from tamaracktide.core import resumed_streams
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.entry import requests


@dataclasses.dataclass(frozen=True, slots=True)
class _Account:
    """Who is charged for a request.

    Attributes:
        customer: Customer of fair queueing.
        weight: Its weight.
    """

    customer: str
    weight: float = 1.0


def make_submit(
    service: routing_document.Service,
    request: requests.ClientRequest,
    key: rows.AdapterKey,
    avoid: tuple[str, ...],
    events_received: int,
) -> cell_events.Submit:
    """Returns the event that submits a request to the cell of its service.

    Args:
        service: The service.
        request: The request.
        key: Adapter and version that it needs.
        avoid: Upstreams that must not run it.
        events_received: Events of its stream that the client has received.
    """
    tokens = _estimate_tokens(service, request.generation, events_received)
    account = _find_account(request, key)
    customer, lead = account.customer, 0.0
    if events_received:
        customer = resumed_streams.name_account(customer)
        lead = float(tokens.prompt)
    return cell_events.Submit(
        request_id=request.request_id,
        customer=customer,
        weight=account.weight,
        key=key,
        prompt_tokens=tokens.prompt,
        max_tokens=tokens.output,
        deadline=request.expires_at,
        prefix=request.generation.prefix if request.generation else "",
        avoid=tuple(sorted(set(avoid))),
        lead=lead,
    )


def _find_account(
    request: requests.ClientRequest, key: rows.AdapterKey
) -> _Account:
    caller, generation = request.caller, request.generation
    if caller is not None and caller.workspace:
        return _Account(f"workspace:{caller.workspace}", caller.weight)
    if generation is None:
        return _Account(request.route.name)
    if not generation.adapter:
        return _Account(f"{generation.model}:{generation.session}")
    return _Account(key.adapter)


def _estimate_tokens(
    service: routing_document.Service,
    generation: requests.Generation | None,
    events_received: int,
) -> resumed_streams.Tokens:
    """Returns the tokens that an upstream reads and generates."""
    if generation is None:
        return resumed_streams.Tokens(prompt=0, output=1)
    whole = resumed_streams.Tokens(
        generation.prompt_tokens,
        generation.expected_tokens or generation.max_tokens,
    )
    if service.engine is None:
        return whole
    generated = events_received * service.engine.event_tokens
    return resumed_streams.estimate_remaining(whole, generated)
