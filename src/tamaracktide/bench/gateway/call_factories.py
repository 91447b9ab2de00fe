"""Factories of calls to the gateway and directly to the engines."""

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

COMPLETIONS_PATH = "/v1/completions"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedAdapter:
    """An adapter that is loaded on an engine."""

    address: str
    lora_name: str


class CallFactory(Protocol):
    """Makes the calls to one kind of target."""

    def make_call(self, max_tokens: int, *, stream: bool) -> calls.Call:
        """Returns the next call, with a unique prompt."""
        ...


class GatewayCallFactory:
    """Makes calls to the gateway that cycle through all routes."""

    def __init__(
        self,
        settings: bench_settings.GatewayBenchSettings,
        routes: Sequence[rows.Route],
    ) -> None:
        """Initializes the factory with the routes to call."""
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


class EngineCallFactory:
    """Makes calls to the engines that cycle through all loaded adapters."""

    def __init__(
        self,
        settings: bench_settings.GatewayBenchSettings,
        loaded: Sequence[LoadedAdapter],
    ) -> None:
        """Initializes the factory with the loaded adapters to call."""
        self._settings = settings
        self._loaded_adapters = itertools.cycle(loaded)

    def make_call(self, max_tokens: int, *, stream: bool) -> calls.Call:
        """Returns the next call to an engine."""
        loaded = next(self._loaded_adapters)
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
    request_id = uuid.uuid4().hex
    body = {
        "model": model,
        "prompt": f"benchmark {request_id}",
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return calls.Call(
        method="POST",
        address=address,
        target=COMPLETIONS_PATH,
        headers=(
            (b"Authorization", f"Bearer {token}".encode()),
            (b"Content-Type", b"application/json"),
            (b"X-Request-Id", request_id.encode()),
        ),
        body=msgspec.json.encode(body),
        timeout_s=settings.timeout_s,
    )
