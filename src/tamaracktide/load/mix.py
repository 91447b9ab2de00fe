"""The seeded mix of requests."""

from collections.abc import Sequence
import dataclasses
import random

from tamaracktide.core import rows
from tamaracktide.load import settings as load_settings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelCall:
    """One completion.

    Attributes:
        route: Its route.
        prompt: Text that no other call has.
        max_tokens: Tokens that the answer must have.
        stream: Whether it streams.
        chat: Whether it is a chat completion.
        key: Idempotency key, empty for none.
        resend: Whether it is sent to another gateway again.
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
    """One call of a plain service.

    Attributes:
        route: Its route.
        body: Text that no other call has.
        key: Idempotency key, empty for a call that is idempotent.
        resend: Whether it is sent to another gateway again.
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
        settings: The run.
        routes: Routes by falling popularity.
        run_id: Makes prompts and keys differ from those of other runs.
    """
    rng = random.Random(settings.seed)
    weights = [(rank + 1) ** -settings.skew for rank in range(len(routes))]
    chosen = rng.choices(routes, weights, k=settings.requests)
    return [
        _make_call(settings, rng, route, f"{run_id}-{number}")
        for number, route in enumerate(chosen)
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
