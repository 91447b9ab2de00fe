"""`tamaracktide-bench gateway`: one gateway beside the engines themselves."""

import dataclasses
import pathlib

import anyio
import msgspec

from tamaracktide.bench.gateway import figures
from tamaracktide.bench.gateway import paths
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
    """The run cannot start; the text says why."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesFile:
    """The part of a tables file that is used: its routes."""

    routes: tuple[rows.Route, ...]


async def measure(
    settings: bench_settings.GatewayBenchSettings,
    routes: tuple[rows.Route, ...],
) -> figures.Figures:
    """Runs all phases and returns the figures.

    Raises:
        BenchError: A route does not answer, or an engine has no adapter.
    """
    upstreams = upstream_settings.UpstreamSettings(
        max_connections=MAX_CONNECTIONS
    )
    gateway = paths.GatewayPath(settings, routes)
    async with streams.StreamCaller(upstreams) as caller:
        sender = sending.Sender(caller)
        await _warm_up(sender, gateway, len(routes))
        runner = phases.Phases(settings, sender)
        # The load itself spreads the adapters over the engines.
        gateway_streams = await runner.saturate_streams(gateway)
        short = await runner.saturate_short(gateway)
        engine = paths.EnginePath(settings, await _list_loaded(settings))
        direct_short = await runner.saturate_short(engine)
        rate = figures.find_rate(short) * bench_settings.SATURATION_SHARE
        period_s = 1 / max(rate, 1.0)
        paced, direct_paced = await runner.pace((gateway, engine), period_s)
        return figures.make_figures(
            figures.Measured(
                short=short,
                direct_short=direct_short,
                streams=gateway_streams,
                direct_streams=await runner.saturate_streams(engine),
                paced=paced,
                direct_paced=direct_paced,
                period_s=period_s,
            )
        )


async def _warm_up(
    sender: sending.Sender, gateway: paths.GatewayPath, count: int
) -> None:
    """Has the adapter of each route loaded."""
    for _ in range(count):
        call = gateway.make_call(bench_settings.SHORT_TOKENS, stream=False)
        sample = await sender.send_short(call)
        if not sample.whole:
            raise BenchError(f"{call.body!r} was answered: {sample.fault}")


async def _list_loaded(
    settings: bench_settings.GatewayBenchSettings,
) -> list[paths.Loaded]:
    """Returns the adapters in the engines' slots, engines in turn."""
    upstreams = upstream_settings.UpstreamSettings(token=settings.engine_token)
    found: list[list[paths.Loaded]] = []
    async with calls.Caller(upstreams) as caller:
        client = upstream_engine.EngineClient(upstreams, caller)
        for address in settings.engines:
            state = await client.read_state(address)
            if isinstance(state, calls.Failure):
                raise BenchError(f"engine {address}: {state.detail}")
            found.append(
                [paths.Loaded(address, one.lora_name) for one in state.loaded]
            )
    # Engines take turns, also if one has more adapters than another.
    most = max(len(loaded) for loaded in found)
    if not most:
        raise BenchError(f"no engine of {settings.engines} has an adapter")
    return [
        loaded[number % len(loaded)]
        for number in range(most)
        for loaded in found
        if loaded
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
    """Loads a gateway, and the engines behind it, with the same requests.

    Args:
        targets: `HOST:PORT` of the gateway.
        engine: `HOST:PORT,...` of the stand-in engines behind it.
        key_secret_file: File that holds the secret of API keys.
        routes: JSON file with `routes`, such as a tables file.
        seconds: Duration of each of the five measured phases.
        engine_token: Bearer token of the engines.
        gateway_pid: Process id of the gateway, for its processor time.
        requests: Short requests in progress at saturation.
        streams: Streams in progress at saturation.
        stream_tokens: Tokens of one stream.
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
    found = anyio.run(measure, settings, completions)
    print(msgspec.json.encode(found).decode())
