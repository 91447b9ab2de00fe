"""Runs a request under a claim of its idempotency key."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.gateway import asgi
from tamaracktide.gateway import claims


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request with an idempotency key.

    Attributes:
        customer: Customer that the key belongs to.
        key: The idempotency key.
        fingerprint: Hash of the request.
    """

    customer: str
    key: str
    fingerprint: str


async def run_claimed(
    claim_client: claims.ClaimClient,
    keyed: KeyedRequest,
    responder: asgi.Responder,
    run: Callable[[], Awaitable[asgi.Response]],
) -> None:
    """Runs a request at most once for its key, or resends the kept response.

    A claimed request runs to its end even if the client disconnects.

    Args:
        claim_client: Claims the key and reports the outcome.
        keyed: The request's key.
        responder: Sends a kept response to the client.
        run: Runs the request and responds to the client.

    Raises:
        errors.TamaracktideError: The request failed.
    """
    claim = await claim_client.claim(
        keyed.customer, keyed.key, keyed.fingerprint
    )
    if isinstance(claim, asgi.Response):
        await responder.respond(claim)
        return
    outcome = claims.Outcome.UNKNOWN
    response = None
    try:
        with anyio.CancelScope(shield=True):
            response = await run()
        outcome = claims.Outcome.COMPLETED
    except errors.TamaracktideError as error:
        if error.execution is result_codes.Execution.NOT_RUN:
            outcome = claims.Outcome.NOT_RUN
        raise
    finally:
        claim_client.report(claim, outcome, response)
