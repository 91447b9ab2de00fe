"""The program `tamaracktide-load`."""

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

EFFECTS_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesFile:
    """The part of a tables file that is used: its routes."""

    routes: tuple[rows.Route, ...]


async def send_all(
    settings: load_settings.LoadSettings, routes: tuple[rows.Route, ...]
) -> report.Report:
    """Sends the mix and returns the sums."""
    run_id = f"load-{settings.seed}-{uuid.uuid4().hex[:8]}"
    calls = mix.make_calls(settings, routes, run_id)
    results: list[sender.Result] = []
    started_at = anyio.current_time()
    async with httpcore.AsyncConnectionPool(
        max_connections=settings.concurrency * 2,
        max_keepalive_connections=settings.concurrency * 2,
    ) as pool:
        runner = sender.Sender(settings, pool)
        pending = iter(enumerate(calls))
        async with anyio.create_task_group() as tasks:
            if settings.pace_s:
                await _send_paced(settings, runner, calls, results, tasks)
            else:
                for _ in range(settings.concurrency):
                    tasks.start_soon(
                        _send_some, settings, runner, pending, results
                    )
        duration_s = anyio.current_time() - started_at
        effects = await _read_effects(settings, pool)
        runs = await _read_runs(settings, pool)
    return report.make_report(results, effects, duration_s, settings.seed, runs)


async def _send_paced(
    settings: load_settings.LoadSettings,
    runner: sender.Sender,
    calls: Sequence[mix.Call],
    results: list[sender.Result],
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Starts a call at each period, unless too many are in progress."""
    places = anyio.Semaphore(settings.concurrency)
    start_at = anyio.current_time()

    async def send(number: int, call: mix.Call) -> None:
        try:
            await _send_call(settings, runner, number, call, results)
        finally:
            places.release()

    for number, call in enumerate(calls):
        await anyio.sleep_until(start_at + number * settings.pace_s)
        await places.acquire()
        tasks.start_soon(send, number, call)


async def _send_some(
    settings: load_settings.LoadSettings,
    runner: sender.Sender,
    pending: "enumerate[mix.Call]",
    results: list[sender.Result],
) -> None:
    """Sends calls until none are left."""
    for number, call in pending:
        await _send_call(settings, runner, number, call, results)


async def _send_call(
    settings: load_settings.LoadSettings,
    runner: sender.Sender,
    number: int,
    call: mix.Call,
    results: list[sender.Result],
) -> None:
    """Sends a call, and again elsewhere if the mix says so."""
    targets = settings.targets
    target = targets[number % len(targets)]
    if not call.resend:
        results.append(await runner.send(call, target))
        return
    other = targets[(number + 1) % len(targets)]
    if number % 2:
        results.append(await runner.send(call, target))
        results.append(await runner.send(call, other))
        return
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_one, runner, call, target, results)
        tasks.start_soon(_send_one, runner, call, other, results)


async def _send_one(
    runner: sender.Sender,
    call: mix.Call,
    target: str,
    results: list[sender.Result],
) -> None:
    results.append(await runner.send(call, target))


async def _read_effects(
    settings: load_settings.LoadSettings, pool: httpcore.AsyncConnectionPool
) -> dict[str, int] | None:
    """Returns effects by key over all services, None if not asked for."""
    if not settings.effects:
        return None
    total: collections.Counter[str] = collections.Counter()
    for address in settings.effects:
        with anyio.fail_after(EFFECTS_TIMEOUT_S):
            response = await pool.request(
                "GET", f"http://{address}/admin/effects"
            )
        total.update(msgspec.json.decode(response.content, type=dict[str, int]))
    return dict(total)


async def _read_runs(
    settings: load_settings.LoadSettings, pool: httpcore.AsyncConnectionPool
) -> report.Runs:
    """Returns what the engines ran; one that has ended has no record."""
    found: set[str] = set()
    unread = 0
    for address in settings.engine_records:
        try:
            with anyio.fail_after(EFFECTS_TIMEOUT_S):
                response = await pool.request(
                    "GET", f"http://{address}/admin/record"
                )
        except (*sender.HTTP_ERRORS, TimeoutError):
            unread += 1
            continue
        found.update(msgspec.json.decode(response.content, type=dict[str, Any]))
    return report.Runs(frozenset(found), unread)


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
    """Sends a seeded mix, checks every answer, prints one JSON line last.

    Exits with 1 if an answer was wrong or truncated, an effect doubled or
    missing, or a refusal untrue.

    Args:
        targets: `HOST:PORT,...` of the gateways.
        key_secret_file: File that holds the secret of API keys.
        routes: JSON file with `routes`, such as a tables file.
        seed: Seed of the mix.
        requests: Requests to send, resends not counted.
        concurrency: Requests in progress at most.
        max_tokens: Most tokens that a completion asks for.
        stream_share: Share of completions that stream.
        chat_share: Share of completions that are chats.
        write_share: Share of service calls that are not idempotent.
        resend_share: Share of keyed calls sent to another gateway again.
        skew: Exponent of the popularity of routes by rank.
        timeout_s: Deadline of each request.
        effects: `HOST:PORT,...` of services whose effects are counted.
        engine_records: `HOST:PORT,...` of engines whose runs are compared
            with the refusals.
        pace_s: Time between two starts, whether or not calls have ended, up
            to `concurrency` in progress; 0 starts one when one ends.
        retries: Times that a call is sent to another target after a refused
            connection or a refusal as not run with a time to come back.
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
    total = anyio.run(send_all, settings, table.routes)
    print(msgspec.json.encode(total).decode())
    if not total.clean:
        sys.exit(1)


def _split(text: str | tuple[str, ...]) -> tuple[str, ...]:
    """Returns the parts of a list, which fire may have split already."""
    if isinstance(text, str):
        return tuple(part for part in text.split(",") if part)
    return tuple(text)


def main() -> None:
    """Runs the command line."""
    fire.Fire(run)
