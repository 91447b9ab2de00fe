"""`tamaracktide-bench gateway`: compares a gateway with its engines."""

import dataclasses
import pathlib

import anyio
import msgspec

from tamaracktide.bench.gateway import call_factories
from tamaracktide.bench.gateway import figures
from tamaracktide.bench.gateway import phases
from tamaracktide.bench.gateway import sending
from tamaracktide.bench.gateway import settings as bench_settings
from tamaracktide.core import rows
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine as upstream_engine
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

MAX_CONNECTIONS = 4_000


class BenchError(RuntimeError):
    """The run cannot start; the message gives the reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesFile:
    """The routes of a tables file; its other keys are ignored."""

    routes: tuple[rows.Route, ...]


async def measure(
    settings: bench_settings.GatewayBenchSettings,
    routes: tuple[rows.Route, ...],
) -> figures.Figures:
    """Runs all phases and returns the figures.

    Raises:
        BenchError: A route or an engine fails to respond, or no engine has an
            adapter loaded.
    """
    upstreams = upstream_settings.UpstreamSettings(
        max_connections=MAX_CONNECTIONS
    )
    gateway_calls = call_factories.GatewayCallFactory(settings, routes)
    async with streams.StreamClient(upstreams) as stream_client:
        sender = sending.Sender(stream_client)
        await _warm_up(sender, gateway_calls, len(routes))
        phase_runner = phases.PhaseRunner(settings, sender)
        # The load of the gateway distributes the adapters over the engines.
        gateway_streams = await phase_runner.saturate_streams(gateway_calls)
        short = await phase_runner.saturate_short(gateway_calls)
        engine_calls = call_factories.EngineCallFactory(
            settings, await _list_loaded(settings)
        )
        direct_short = await phase_runner.saturate_short(engine_calls)
        rate = (
            figures.find_completed_per_s(short)
            * bench_settings.SATURATION_FRACTION
        )
        period_s = 1 / max(rate, 1.0)
        paced, direct_paced = await phase_runner.pace(
            (gateway_calls, engine_calls), period_s
        )
        return figures.make_figures(
            figures.Measurements(
                short=short,
                direct_short=direct_short,
                streams=gateway_streams,
                direct_streams=await phase_runner.saturate_streams(
                    engine_calls
                ),
                paced=paced,
                direct_paced=direct_paced,
                period_s=period_s,
            )
        )


async def _warm_up(
    sender: sending.Sender,
    gateway_calls: call_factories.GatewayCallFactory,
    count: int,
) -> None:
    """Calls each route once so that its adapter is loaded."""
    for _ in range(count):
        call = gateway_calls.make_call(
            bench_settings.SHORT_TOKENS, stream=False
        )
        sample = await sender.send_short(call)
        if not sample.complete:
            raise BenchError(
                f"warm-up request {call.body!r} failed: {sample.fault}"
            )


async def _list_loaded(
    settings: bench_settings.GatewayBenchSettings,
) -> list[call_factories.LoadedAdapter]:
    """Returns the adapters loaded on the engines, engines in turn."""
    upstreams = upstream_settings.UpstreamSettings(token=settings.engine_token)
    adapters_by_engine: list[list[call_factories.LoadedAdapter]] = []
    async with calls.UpstreamClient(upstreams) as upstream_client:
        client = upstream_engine.EngineClient(upstreams, upstream_client)
        for address in settings.engines:
            state = await client.read_state(address)
            if isinstance(state, calls.Failure):
                raise BenchError(
                    f"engine {address} did not return its state: {state.detail}"
                )
            adapters_by_engine.append(
                [
                    call_factories.LoadedAdapter(address, adapter.lora_name)
                    for adapter in state.loaded
                ]
            )
    # List every engine equally often, even if their numbers of adapters differ.
    max_adapters = max(len(adapters) for adapters in adapters_by_engine)
    if not max_adapters:
        raise BenchError(
            f"none of the engines {settings.engines} has an adapter loaded"
        )
    return [
        adapters[index % len(adapters)]
        for index in range(max_adapters)
        for adapters in adapters_by_engine
        if adapters
    ]


def run(
    targets: str,
    engine: str | tuple[str, ...],
    key_secret_file: str,
    routes: str,
    seconds: float = 10.0,
    engine_token: str = "",
    gateway_pid: int = 0,
    requests: int = 64,
    streams: int = 600,
    stream_tokens: int = 400,
) -> None:
    """Sends the same load to a gateway and to the engines behind it.

    Args:
        targets: `HOST:PORT` of the gateway.
        engine: `HOST:PORT,...` of the stand-in engines behind it.
        key_secret_file: File with the secret from which API keys are derived.
        routes: JSON file with a `routes` key, such as a tables file.
        seconds: Duration of each of the five measured phases.
        engine_token: Bearer token of the engines.
        gateway_pid: Process id of the gateway, for its CPU time; 0 for none.
        requests: Concurrent short requests at saturation.
        streams: Concurrent streams at saturation.
        stream_tokens: Number of tokens per stream.
    """
    addresses = engine.split(",") if isinstance(engine, str) else engine
    settings = bench_settings.GatewayBenchSettings(
        target=targets,
        engines=tuple(addresses),
        key_secret=pathlib.Path(key_secret_file).read_text().strip(),
        engine_token=engine_token,
        gateway_pid=gateway_pid,
        seconds=seconds,
        requests=requests,
        streams=streams,
        stream_tokens=stream_tokens,
    )
    table = msgspec.json.decode(
        pathlib.Path(routes).read_bytes(), type=RoutesFile
    )
    completions = tuple(route for route in table.routes if route.adapter)
    result = anyio.run(measure, settings, completions)
    print(msgspec.json.encode(result).decode())
