"""Command line of `tamaracktide-load`."""

import collections
from collections.abc import Sequence
import dataclasses
import pathlib
import sys
from typing import Any
import uuid

import anyio
import anyio.abc
import fire
import httpcore
import msgspec

from tamaracktide.core import rows
from tamaracktide.load import mix
from tamaracktide.load import report
from tamaracktide.load import sender
from tamaracktide.load import settings as load_settings

ADMIN_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesFile:
    """The routes of a tables file; its other tables are ignored."""

    routes: tuple[rows.Route, ...]


async def send_all(
    settings: load_settings.LoadSettings, routes: tuple[rows.Route, ...]
) -> report.Report:
    """Sends the mix and returns the report of the run."""
    run_id = f"load-{settings.seed}-{uuid.uuid4().hex[:8]}"
    calls = mix.make_calls(settings, routes, run_id)
    results: list[sender.Result] = []
    started_at = anyio.current_time()
    async with httpcore.AsyncConnectionPool(
        max_connections=settings.concurrency * 2,
        max_keepalive_connections=settings.concurrency * 2,
    ) as pool:
        call_sender = sender.Sender(settings, pool)
        pending = iter(enumerate(calls))
        async with anyio.create_task_group() as tasks:
            if settings.pace_s:
                await _send_paced(settings, call_sender, calls, results, tasks)
            else:
                for _ in range(settings.concurrency):
                    tasks.start_soon(
                        _send_pending, settings, call_sender, pending, results
                    )
        duration_s = anyio.current_time() - started_at
        effects = await _fetch_effects(settings, pool)
        runs = await _fetch_engine_runs(settings, pool)
    return report.make_report(results, effects, duration_s, settings.seed, runs)


async def _send_paced(
    settings: load_settings.LoadSettings,
    call_sender: sender.Sender,
    calls: Sequence[mix.Call],
    results: list[sender.Result],
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Starts a call every `pace_s`, up to `concurrency` in progress."""
    limiter = anyio.Semaphore(settings.concurrency)
    first_start_at = anyio.current_time()

    async def send(number: int, call: mix.Call) -> None:
        try:
            await _send_call(settings, call_sender, number, call, results)
        finally:
            limiter.release()

    for number, call in enumerate(calls):
        await anyio.sleep_until(first_start_at + number * settings.pace_s)
        await limiter.acquire()
        tasks.start_soon(send, number, call)


async def _send_pending(
    settings: load_settings.LoadSettings,
    call_sender: sender.Sender,
    pending: "enumerate[mix.Call]",
    results: list[sender.Result],
) -> None:
    """Sends pending calls until none remain."""
    for number, call in pending:
        await _send_call(settings, call_sender, number, call, results)


async def _send_call(
    settings: load_settings.LoadSettings,
    call_sender: sender.Sender,
    number: int,
    call: mix.Call,
    results: list[sender.Result],
) -> None:
    """Sends a call, and resends it to the next gateway if `resend` is set.

    Odd calls are resent after the first response, even ones concurrently.
    """
    targets = settings.targets
    target = targets[number % len(targets)]
    if not call.resend:
        results.append(await call_sender.send(call, target))
        return
    next_target = targets[(number + 1) % len(targets)]
    if number % 2:
        results.append(await call_sender.send(call, target))
        results.append(await call_sender.send(call, next_target))
        return
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_and_record, call_sender, call, target, results)
        tasks.start_soon(
            _send_and_record, call_sender, call, next_target, results
        )


async def _send_and_record(
    call_sender: sender.Sender,
    call: mix.Call,
    target: str,
    results: list[sender.Result],
) -> None:
    results.append(await call_sender.send(call, target))


async def _fetch_effects(
    settings: load_settings.LoadSettings, pool: httpcore.AsyncConnectionPool
) -> dict[str, int] | None:
    """Returns effects by key over all services, None if not requested."""
    if not settings.effects:
        return None
    total: collections.Counter[str] = collections.Counter()
    for address in settings.effects:
        with anyio.fail_after(ADMIN_TIMEOUT_S):
            response = await pool.request(
                "GET", f"http://{address}/admin/effects"
            )
        total.update(msgspec.json.decode(response.content, type=dict[str, int]))
    return dict(total)


async def _fetch_engine_runs(
    settings: load_settings.LoadSettings, pool: httpcore.AsyncConnectionPool
) -> report.EngineRuns:
    """Returns what the engines ran; a stopped engine has no record."""
    attempt_ids: set[str] = set()
    unread = 0
    for address in settings.engine_records:
        try:
            with anyio.fail_after(ADMIN_TIMEOUT_S):
                response = await pool.request(
                    "GET", f"http://{address}/admin/record"
                )
        except (*sender.HTTP_ERRORS, TimeoutError):
            unread += 1
            continue
        attempt_ids.update(
            msgspec.json.decode(response.content, type=dict[str, Any])
        )
    return report.EngineRuns(frozenset(attempt_ids), unread)


def run(
    targets: str | tuple[str, ...],
    key_secret_file: str,
    routes: str,
    seed: int = 0,
    requests: int = 200,
    concurrency: int = 16,
    max_tokens: int = 24,
    stream_share: float = 0.5,
    chat_share: float = 0.3,
    write_share: float = 0.5,
    resend_share: float = 0.3,
    skew: float = 0.8,
    timeout_s: float = 30.0,
    effects: str | tuple[str, ...] = "",
    engine_records: str | tuple[str, ...] = "",
    pace_s: float = 0.0,
    retries: int = 0,
) -> None:
    """Sends a seeded mix and checks every response.

    The last line of the output is one JSON object. Exits with 1 if a response
    is wrong or truncated, an effect occurs twice or is missing, or a request
    ran although its refusal says `not run`.

    Args:
        targets: `HOST:PORT,...` of the gateways.
        key_secret_file: File with the secret from which API keys are derived.
        routes: JSON file with `routes`, such as a tables file.
        seed: Random seed of the mix.
        requests: Number of requests, not counting resends.
        concurrency: Maximum number of requests in progress.
        max_tokens: Maximum number of tokens that a completion requests.
        stream_share: Fraction of completions that stream.
        chat_share: Fraction of completions that are chat completions.
        write_share: Fraction of service calls that are not idempotent.
        resend_share: Fraction of calls with an idempotency key that are resent
            to another gateway.
        skew: Exponent of the popularity of routes by rank.
        timeout_s: Deadline of each request.
        effects: `HOST:PORT,...` of services whose effects are counted.
        engine_records: `HOST:PORT,...` of engines whose executed attempts are
            compared with the refusals.
        pace_s: Time between the starts of two calls, whether or not earlier
            calls have ended, up to `concurrency` in progress; 0 starts a call
            when another ends.
        retries: Maximum number of retries against other targets after a
            refused connection, or after a `not run` refusal that states a
            retry time.
    """
    settings = load_settings.LoadSettings(
        targets=_split(targets),
        key_secret=pathlib.Path(key_secret_file).read_text().strip(),
        seed=seed,
        requests=requests,
        concurrency=concurrency,
        max_tokens=max_tokens,
        stream_share=stream_share,
        chat_share=chat_share,
        write_share=write_share,
        resend_share=resend_share,
        skew=skew,
        timeout_s=timeout_s,
        effects=_split(effects),
        engine_records=_split(engine_records),
        pace_s=pace_s,
        retries=retries,
    )
    data = pathlib.Path(routes).read_bytes()
    table = msgspec.json.decode(data, type=RoutesFile)
    summary = anyio.run(send_all, settings, table.routes)
    print(msgspec.json.encode(summary).decode())
    if not summary.clean:
        sys.exit(1)


def _split(text: str | tuple[str, ...]) -> tuple[str, ...]:
    """Splits a comma-separated list unless `fire` has already split it."""
    if isinstance(text, str):
        return tuple(part for part in text.split(",") if part)
    return tuple(text)


def main() -> None:
    """Runs the command line."""
    fire.Fire(run)
