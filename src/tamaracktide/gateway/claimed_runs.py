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
class Keyed:
    """A request with an idempotency key.

    Attributes:
        customer: Whose key it is.
        key: The key.
        fingerprint: Hash of the request.
    """

    customer: str
    key: str
    fingerprint: str


async def run_claimed(
    keeper: claims.Claims,
    keyed: Keyed,
    responder: asgi.Responder,
    run: Callable[[], Awaitable[asgi.Reply]],
) -> None:
    """Runs a request at most once for its key, or repeats its answer.

    A claimed request runs to its end even if its caller leaves.

    Args:
        keeper: Claims the key and reports the outcome.
        keyed: The request's key.
        responder: Answers the caller with a kept answer.
        run: Runs the request and answers the caller.

    Raises:
        errors.TamaracktideError: The request was given up.
    """
    claim = await keeper.claim(keyed.customer, keyed.key, keyed.fingerprint)
    if isinstance(claim, asgi.Reply):
        await responder.reply(claim)
        return
    outcome = claims.Outcome.UNKNOWN
    reply = None
    try:
        with anyio.CancelScope(shield=True):
            reply = await run()
        outcome = claims.Outcome.COMPLETED
    except errors.TamaracktideError as error:
        if error.execution is result_codes.Execution.NOT_RUN:
            outcome = claims.Outcome.NOT_RUN
        raise
    finally:
        keeper.report(claim, outcome, reply)
