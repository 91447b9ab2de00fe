"""The two ways of a request: through the gateway, and straight to an engine."""

from collections.abc import Sequence
import dataclasses
import itertools
from typing import Protocol
import uuid

import msgspec

from tamaracktide.bench.gateway import settings as bench_settings
from tamaracktide.core import rows
from tamaracktide.settings import api_keys
from tamaracktide.upstreams import calls

COMPLETIONS = "/v1/completions"


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """An adapter in a slot of an engine."""

    address: str
    lora_name: str


class Path(Protocol):
    """Makes the calls of one way."""

    def make_call(self, max_tokens: int, *, stream: bool) -> calls.Call:
        """Returns the next call, with a prompt that no other has."""
        ...


class GatewayPath:
    """Calls of customers through a gateway, over all routes in turn."""

    def __init__(
        self,
        settings: bench_settings.GatewayBenchSettings,
        routes: Sequence[rows.Route],
    ) -> None:
        """Builds the way to the gateway."""
        self._settings = settings
        self._routes = itertools.cycle(routes)

    def make_call(self, max_tokens: int, *, stream: bool) -> calls.Call:
        """Returns the next call to the gateway."""
        route = next(self._routes)
        key = api_keys.make_api_key(route.customer, self._settings.key_secret)
        return _make_call(
            self._settings,
            self._settings.target,
            key,
            route.name,
            max_tokens,
            stream=stream,
        )


class EnginePath:
    """Calls straight to the engines, over all loaded adapters in turn."""

    def __init__(
        self,
        settings: bench_settings.GatewayBenchSettings,
        loaded: Sequence[Loaded],
    ) -> None:
        """Builds the way to the engines."""
        self._settings = settings
        self._loaded = itertools.cycle(loaded)

    def make_call(self, max_tokens: int, *, stream: bool) -> calls.Call:
        """Returns the next call to an engine."""
        loaded = next(self._loaded)
        return _make_call(
            self._settings,
            loaded.address,
            self._settings.engine_token,
            loaded.lora_name,
            max_tokens,
            stream=stream,
        )


def _make_call(
    settings: bench_settings.GatewayBenchSettings,
    address: str,
    token: str,
    model: str,
    max_tokens: int,
    *,
    stream: bool,
) -> calls.Call:
    name = uuid.uuid4().hex
    body = {
        "model": model,
        "prompt": f"benchmark {name}",
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return calls.Call(
        method="POST",
        address=address,
        target=COMPLETIONS,
        headers=(
            (b"Authorization", f"Bearer {token}".encode()),
            (b"Content-Type", b"application/json"),
            (b"X-Request-Id", name.encode()),
        ),
        body=msgspec.json.encode(body),
        timeout_s=settings.timeout_s,
    )
