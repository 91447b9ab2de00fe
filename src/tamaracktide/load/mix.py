"""Generation of the random mix of calls that a run sends."""

from collections.abc import Sequence
import dataclasses
import random

from tamaracktide.core import rows
from tamaracktide.load import settings as load_settings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelCall:
    """A completion to send.

    Attributes:
        route: Route that the call names.
        prompt: Prompt, unique among all calls.
        max_tokens: Number of tokens that the response must have.
        stream: Whether the response is streamed.
        chat: Whether the call is a chat completion.
        key: Idempotency key, empty for none.
        resend: Whether the call is resent to another gateway.
    """

    route: rows.Route
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool
    key: str = ""
    resend: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """A call of a plain service to send.

    Attributes:
        route: Route that the call names.
        body: Request body, unique among all calls.
        key: Idempotency key, empty for an idempotent call.
        resend: Whether the call is resent to another gateway.
    """

    route: rows.Route
    body: str
    key: str = ""
    resend: bool = False


Call = ModelCall | ServiceCall


def make_calls(
    settings: load_settings.LoadSettings,
    routes: Sequence[rows.Route],
    run_id: str,
) -> list[Call]:
    """Returns the calls of a run; the same seed gives the same mix.

    Args:
        settings: Settings of the run.
        routes: Routes in order of decreasing popularity.
        run_id: Prefix that makes prompts and keys unique to the run.
    """
    rng = random.Random(settings.seed)
    weights = [(rank + 1) ** -settings.skew for rank in range(len(routes))]
    call_routes = rng.choices(routes, weights, k=settings.requests)
    return [
        _make_call(settings, rng, route, f"{run_id}-{number}")
        for number, route in enumerate(call_routes)
    ]


def _make_call(
    settings: load_settings.LoadSettings,
    rng: random.Random,
    route: rows.Route,
    name: str,
) -> Call:
    stream = rng.random() < settings.stream_share
    chat = rng.random() < settings.chat_share
    write = rng.random() < settings.write_share
    resend = rng.random() < settings.resend_share
    max_tokens = rng.randint(1, settings.max_tokens)
    if not route.adapter:
        keyed = write or not route.idempotent
        return ServiceCall(
            route=route,
            body=f"body of {name}",
            key=name if keyed else "",
            resend=keyed and resend,
        )
    keyed = not route.idempotent
    return ModelCall(
        route=route,
        prompt=f"{route.customer} asks {name}",
        max_tokens=max_tokens,
        stream=stream,
        chat=chat,
        key=name if keyed else "",
        resend=keyed and resend,
    )
