"""The scheduling of one service's requests at one instance.

A `core.cell.Cell` decides; this shell feeds it what the instance believes of
the upstreams and answers the requests that wait. Every instance runs its own
over all upstreams, with what the others run counted in, so that no request
waits for another instance; only loads of adapters are ordered by the holder
of a cell's lease.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import random

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.core import upstream_health
from tamaracktide.entry import reachability
from tamaracktide.entry import requests
from tamaracktide.entry import timers
from tamaracktide.entry import upstream_snapshots
from tamaracktide.observability import logs

RATE_PER_COPY = 1.0
"""Requests a second for an adapter on one engine, which take 6% of its time
for reading prompts; half of all requests can then choose between engines."""

READ_AHEAD_S = 0.03
"""Reading that an engine may have before it when a prompt is sent: one prompt
at a time keeps the pauses of its streams under 250 ms, as three steps full of
prompts would not, and the next is there before it is done."""

DEMAND_TAU_S = 5.0
"""Demand moves to other adapters within 3 to 6 s."""

TOKEN_S = 0.01
"""Time of a generated token before any was measured: an engine's step."""

PLAIN_ANSWER_S = 0.1
"""Time of a plain service's answer before any was measured."""

MAX_WAITING = 512
"""Requests that may wait at one instance."""

MAX_QUEUE_S = 12.0
"""Longest wait for a place; the shortest deadline of a generation is 8 s."""

LOADS_IN_FLIGHT = 16
"""Loads that one instance asks for at a time; the holders bound the rest."""

LOADS_PER_S = 40.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where a request may run now.

    Attributes:
        grant_id: Gives the place back.
        entry: The upstream.
        key: Adapter and version that was granted.
        waited_s: How long the request waited for it.
    """

    grant_id: str
    entry: upstream_entries.UpstreamEntry
    key: rows.AdapterKey
    waited_s: float


@dataclasses.dataclass(slots=True)
class _Waiting:
    done: anyio.Event
    submitted_at: float
    result: cell_actions.Grant | cell_actions.Refuse | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """What a service's scheduling depends on.

    Attributes:
        upstreams: Reads what the instance believes of the upstreams.
        find_version: Returns the announced version of an adapter, 0 if none.
        announce_prompt: Tells others that a prompt is sent to an engine.
        load: Has an adapter loaded.
        tasks: Runs the loads and timers.
    """

    upstreams: upstream_snapshots.SnapshotBuilder
    find_version: Callable[[str, str], int]
    announce_prompt: Callable[[str, int], None]
    load: Callable[[str, cell_actions.Load], Awaitable[cell_events.LoadEnded]]
    tasks: anyio.abc.TaskGroup


class ServiceCell:
    """Schedules the requests of one service.

    Attributes:
        service: The service.
        health: Health of its upstreams.
        reachability: Tells which of them can be connected to.
        running: Own requests by upstream and adapter name.
    """

    def __init__(
        self, service: routing_document.Service, around: Dependencies
    ) -> None:
        """Starts without requests; `refresh` tells it the upstreams."""
        self.service = service
        self.health = upstream_health.UpstreamHealth()
        self.running: dict[str, dict[str, int]] = {}
        self._around = around
        self._cell = self._make_cell()
        self._waiting: dict[str, _Waiting] = {}
        self._known: dict[str, upstream_entries.UpstreamEntry] = {}
        self._leaving: set[str] = set()
        self._tick_timer = timers.Timer(
            lambda: self._handle(cell_events.Tick()), around.tasks
        )
        self._ready_timers: dict[str, timers.Timer] = {}
        self._refresh_timer = timers.Timer(self.refresh, around.tasks)
        self.reachability = reachability.Reachability(
            self.health,
            lambda upstream: upstream in self._known,
            self.refresh,
            around.tasks,
        )

    def _make_cell(self) -> cell.Cell:
        plain = self.service.engine is None
        settings = cell_settings.CellSettings(
            max_queue_s=MAX_QUEUE_S,
            max_waiting=MAX_WAITING,
            loads_per_s=LOADS_PER_S,
            loads_in_flight=LOADS_IN_FLIGHT,
            token_s=PLAIN_ANSWER_S if plain else TOKEN_S,
            named_by_key=True,
            spread=True,
            rate_per_replica=0.0 if plain else RATE_PER_COPY,
            demand_tau_s=DEMAND_TAU_S,
            max_prefill_backlog_s=READ_AHEAD_S,
        )
        return cell.Cell(settings, random.Random())

    def find_key(self, request: requests.ClientRequest) -> rows.AdapterKey:
        """Returns what an upstream must have to run a request."""
        generation = request.generation
        if generation is None or self.service.engine is None:
            return rows.AdapterKey(self.service.name, "")
        if not generation.adapter:
            return rows.AdapterKey(generation.model, "")
        return self._make_key(generation.model, generation.adapter)

    def _make_key(self, model: str, adapter: str) -> rows.AdapterKey:
        version = self._around.find_version(model, adapter)
        return rows.AdapterKey(
            f"{model}/{adapter}", str(version) if version else ""
        )

    async def acquire_placement(
        self,
        request: requests.ClientRequest,
        avoid: tuple[str, ...] = (),
    ) -> Placement:
        """Returns a place for a request, once there is one.

        Raises:
            errors.RefusalError: There will be none in time.
        """
        now = anyio.current_time()
        waiting = _Waiting(anyio.Event(), now)
        request_id = request.request_id
        self._waiting[request_id] = waiting
        try:
            self._handle(self._make_submit(request, avoid))
            if waiting.result is None:
                await waiting.done.wait()
        finally:
            del self._waiting[request_id]
            if waiting.result is None:
                self._handle(cell_events.Withdraw(request_id))
        match waiting.result:
            case cell_actions.Grant() as grant:
                return self._make_place(request, grant, now)
            case cell_actions.Refuse(code=code, retry_after_s=retry_after_s):
                raise errors.RefusalError(
                    code, self._describe_refusal(code), retry_after_s
                )
            case None:
                raise errors.InvariantError(f"{request_id}: no result")

    def _describe_refusal(self, code: result_codes.ResultCode) -> str:
        usable = len(self._known) - len(self._leaving)
        use = self._cell.measure_utilization()
        return (
            f"{result_codes.MEANINGS[code].text} {self.service.name}: "
            f"{usable} upstreams, {use.running} of {use.capacity} places, "
            f"{use.waiting} waiting"
        )

    def _make_submit(
        self, request: requests.ClientRequest, avoid: tuple[str, ...]
    ) -> cell_events.Submit:
        key = self.find_key(request)
        generation = request.generation
        customer = key.adapter
        if generation is None:
            customer = request.route.name
        elif not generation.adapter:
            customer = f"{generation.model}:{generation.session}"
        tokens = 1
        if generation is not None:
            tokens = generation.expected_tokens or generation.max_tokens
        return cell_events.Submit(
            request_id=request.request_id,
            customer=customer,
            key=key,
            prompt_tokens=generation.prompt_tokens if generation else 0,
            max_tokens=tokens,
            deadline=request.expires_at,
            prefix=generation.prefix if generation else "",
            avoid=tuple(sorted(set(avoid))),
        )

    def _make_place(
        self,
        request: requests.ClientRequest,
        grant: cell_actions.Grant,
        now: float,
    ) -> Placement:
        entry = self._known[grant.upstream]
        key = self.find_key(request)
        counts = self.running.setdefault(grant.upstream, {})
        counts[key.adapter] = counts.get(key.adapter, 0) + 1
        if request.generation is not None and self.service.engine is not None:
            self._around.announce_prompt(
                grant.upstream, request.generation.prompt_tokens
            )
        return Placement(
            grant_id=grant.grant_id,
            entry=entry,
            key=key,
            waited_s=anyio.current_time() - now,
        )

    def record_prompt(self, upstream: str, tokens: int) -> None:
        """Takes in that another instance sent a prompt to an engine."""
        self._handle(cell_events.PromptSent(upstream, tokens))

    def record_demand(self, model: str, adapter: str, count: int) -> None:
        """Takes in that other instances were asked for an adapter."""
        key = self._make_key(model, adapter)
        self._handle(cell_events.DemandReported(key, key.adapter, count))

    def end(
        self,
        place: Placement,
        tokens: int = 0,
        *,
        missing: bool,
    ) -> None:
        """Gives a place back.

        Args:
            place: The place.
            tokens: Tokens that were generated.
            missing: Whether the upstream said that it lacks the adapter.
        """
        counts = self.running.get(place.entry.upstream, {})
        left = counts.get(place.key.adapter, 0) - 1
        if left > 0:
            counts[place.key.adapter] = left
        else:
            counts.pop(place.key.adapter, None)
        self._handle(
            cell_events.GrantEnded(
                grant_id=place.grant_id,
                generated_tokens=tokens,
                adapter_missing=missing,
            )
        )

    def count_waiting(self) -> int:
        """Returns how many requests wait for a place."""
        return len(self._waiting)

    def refresh_upstream(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Feeds the cell what the instance believes of one upstream."""
        if entry.upstream not in self._known:
            self.refresh()
            return
        self._handle(self._read(entry, anyio.current_time()))

    def _refresh_known(self, upstream: str) -> None:
        entry = self._known.get(upstream)
        if entry is not None:
            self.refresh_upstream(entry)

    def _read(
        self, entry: upstream_entries.UpstreamEntry, now: float
    ) -> cell_events.UpstreamSnapshot:
        """Returns what is believed of an upstream, and plans the next look."""
        reader, name = self._around.upstreams, entry.upstream
        if self.service.engine is not None:
            timer = self._ready_timers.get(name)
            if timer is None:
                timer = self._ready_timers[name] = timers.Timer(
                    functools.partial(self._refresh_known, name),
                    self._around.tasks,
                )
            timer.plan(reader.find_next_ready(name, now))
        return reader.make_snapshot(
            self.service, entry, self.running.get(name, {}), now
        )

    def refresh(self) -> None:
        """Feeds the cell what the instance believes of the upstreams."""
        now = anyio.current_time()
        entries = {
            entry.upstream: entry
            for entry in self._around.upstreams.list_entries(self.service.name)
        }
        events: list[cell_events.CellEvent] = []
        for name in self._known.keys() - entries.keys():
            self._leaving.discard(name)
            self._ready_timers.pop(name, None)
            events.append(cell_events.UpstreamLost(name))
        self._known = entries
        avoided = self.health.list_avoided(
            [e.upstream for e in entries.values() if not e.leaving], now
        )
        for name, entry in entries.items():
            events.append(self._read(entry, now))
            events.extend(self._set_leaving(name, entry, name in avoided))
        self._handle(cell_events.EventBatch(tuple(events)))
        self._refresh_timer.plan(self.health.find_next_trial(now))

    def _set_leaving(
        self,
        name: str,
        entry: upstream_entries.UpstreamEntry,
        avoided: bool,
    ) -> list[cell_events.CellEvent]:
        """Returns the news of whether an upstream gets new requests."""
        leaving = entry.leaving or avoided
        if self.service.engine is not None:
            leaving = leaving or not self._around.upstreams.has_model(name)
        if leaving == (name in self._leaving):
            return [cell_events.UpstreamLeaving(name)] if leaving else []
        logs.bind(
            upstream=name,
            drains=entry.leaving,
            avoided=avoided,
        ).info("upstream {} new requests", "gets no" if leaving else "gets")
        if leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)
        return [cell_events.UpstreamLeaving(name, leaving)]

    def _handle(self, event: cell_events.CellEvent) -> None:
        now = anyio.current_time()
        try:
            actions = self._cell.handle(event, now)
        except errors.InvariantError as error:
            self._rebuild(error)
            return
        for action in actions:
            match action:
                case cell_actions.Grant() | cell_actions.Refuse():
                    self._answer(action)
                case cell_actions.Load():
                    self._around.tasks.start_soon(self._load, action)
                case cell_actions.WakeAt(at):
                    self._tick_timer.plan(at)

    def _rebuild(self, error: errors.InvariantError) -> None:
        """Starts a new cell; what waits is refused, what runs is counted."""
        logs.bind(service=self.service.name).critical(
            "an invariant does not hold, scheduling starts anew: {}", error
        )
        self._cell = self._make_cell()
        self._leaving.clear()
        for request_id in list(self._waiting):
            self._answer(
                cell_actions.Refuse(
                    request_id=request_id,
                    code=result_codes.ResultCode.NO_UPSTREAM,
                    retry_after_s=0.5,
                )
            )
        self._refresh_timer.plan(anyio.current_time())

    def _answer(self, result: cell_actions.Grant | cell_actions.Refuse) -> None:
        waiting = self._waiting.get(result.request_id)
        if waiting is None:
            if isinstance(result, cell_actions.Grant):
                self._handle(cell_events.GrantEnded(grant_id=result.grant_id))
            return
        waiting.result = result
        waiting.done.set()

    async def _load(self, load: cell_actions.Load) -> None:
        self._handle(await self._around.load(self.service.name, load))
