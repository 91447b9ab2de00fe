"""Tests of the gateway benchmark's phases and figures."""

from collections.abc import AsyncIterator
import itertools
import os

import anyio
import anyio.abc
import pytest

from tamaracktide.bench.gateway import call_factories
from tamaracktide.bench.gateway import figures
from tamaracktide.bench.gateway import phases
from tamaracktide.bench.gateway import processor
from tamaracktide.bench.gateway import sending
from tamaracktide.bench.gateway import settings as bench_settings
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TOKENS = 4


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as in production."""
    return "asyncio"


def make_settings(address: str) -> bench_settings.GatewayBenchSettings:
    """Returns the settings of a short run."""
    return bench_settings.GatewayBenchSettings(
        target=address,
        engines=(address,),
        key_secret="secret",
        engine_token="token",
        gateway_pid=0,
        seconds=0.1,
        requests=2,
        streams=2,
        stream_tokens=TOKENS,
    )


async def serve_stream(stream: anyio.abc.SocketStream) -> None:
    """Streams four events, split between the two line feeds of an event."""
    async with stream:
        try:
            while True:
                await stream.receive()
                await stream.send(HEAD)
                body = b"data: {}\n\n" * TOKENS + b"data: [DONE]\n\n"
                for chunk in (body[:9], body[9:25], body[25:]):
                    await stream.send(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                    await anyio.sleep(0)
                await stream.send(b"0\r\n\r\n")
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return


@pytest.fixture
async def phase_runner(anyio_backend: str) -> AsyncIterator[phases.PhaseRunner]:
    """Yields the phase runner of a short run."""
    del anyio_backend
    upstreams = upstream_settings.UpstreamSettings()
    async with streams.StreamClient(upstreams) as stream_client:
        yield phases.PhaseRunner(
            make_settings(""), sending.Sender(stream_client)
        )


@pytest.fixture
async def engine_calls(
    anyio_backend: str,
) -> AsyncIterator[call_factories.EngineCallFactory]:
    """Yields a factory of calls to a local streaming server."""
    del anyio_backend
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve_stream)
        yield call_factories.EngineCallFactory(
            make_settings(address),
            [call_factories.LoadedAdapter(address, "lora-1")],
        )
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_paced_streams_are_complete(
    phase_runner: phases.PhaseRunner,
    engine_calls: call_factories.EngineCallFactory,
) -> None:
    """Each factory is used equally often, and each token is counted once."""
    samples = await phase_runner.pace((engine_calls, engine_calls), 0.02)
    assert [len(factory_samples) for factory_samples in samples] == [5, 5]
    for sample in itertools.chain.from_iterable(samples):
        assert sample.complete
        assert sample.tokens == TOKENS
        assert sample.first_token_s > 0


@pytest.mark.anyio
async def test_saturation_counts_ended_calls(
    phase_runner: phases.PhaseRunner,
    engine_calls: call_factories.EngineCallFactory,
) -> None:
    """Short requests and streams are sent until the phase ends."""
    short = await phase_runner.saturate_short(engine_calls)
    streamed = await phase_runner.saturate_streams(engine_calls)
    assert all(
        sample.complete for sample in (*short.samples, *streamed.samples)
    )
    assert short.samples
    assert streamed.tokens > 0


def make_phase(count: int, tokens: int, gateway_s: float) -> phases.PhaseResult:
    """Returns the result of a phase of two seconds."""
    return phases.PhaseResult(
        samples=(sending.Sample(0.1, 0, complete=True),) * count,
        tokens=tokens,
        duration_s=2.0,
        gateway_processor_s=gateway_s,
        client_processor_s=0.5,
    )


def test_figures_compare_gateway_with_direct_calls() -> None:
    """Rates, differences, ratios and costs are computed from the phases."""
    slow = [
        sending.Sample(0.03 + i / 1e4, 4, complete=True) for i in range(100)
    ]
    fast = [sending.Sample(0.02, 4, complete=True)] * 100
    broken = sending.Sample(0.0, 0, complete=False, fault="503")
    result = figures.make_figures(
        figures.Measurements(
            short=make_phase(200, 0, 1.0),
            direct_short=make_phase(400, 0, 0.0),
            streams=make_phase(0, 1000, 1.5),
            direct_streams=make_phase(0, 2000, 0.0),
            paced=[*slow, broken],
            direct_paced=fast,
            period_s=0.1,
        )
    )
    assert result.added_first_token_p50_s == pytest.approx(0.015)
    assert result.added_first_token_p99_s == pytest.approx(0.0199)
    assert (result.short_requests_per_s, result.short_ratio) == (100.0, 0.5)
    assert (result.tokens_per_s, result.tokens_ratio) == (500, 0.5)
    assert result.gateway_s_per_token == pytest.approx(0.0015)
    assert result.cost_ratio == pytest.approx(6.0)
    assert (result.failed, result.fault) == (1, "503")


def test_processor_time_is_read() -> None:
    """CPU time is read for this process and is zero without a process."""
    assert processor.read_processor_s(os.getpid()) >= 0
    assert processor.read_processor_s(0) == 0
