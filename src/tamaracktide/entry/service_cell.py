"""Schedules the requests of one service at one entry instance.

`core.cell.Cell` makes the decisions. `ServiceCell` feeds it the tracked state
of the upstreams and completes the waiting requests. Every instance runs its
own cell over all upstreams and counts in what the other instances run, so that
no request waits for another instance. Only adapter loads are ordered by the
holder of the cell's lease.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import math
import random
from typing import Concatenate
from typing import ParamSpec
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import load_margin
from tamaracktide.core import paces
from tamaracktide.core import resumed_streams
from tamaracktide.core import routing_document
from tamaracktide.core import rows
from tamaracktide.core import running_counts
from tamaracktide.core import upstream_entries
from tamaracktide.core import upstream_health
from tamaracktide.entry import cell_defaults
from tamaracktide.entry import reachability
from tamaracktide.entry import requests
from tamaracktide.entry import restarts
from tamaracktide.entry import send_limits
from tamaracktide.entry import slow_starts
from tamaracktide.entry import submissions
from tamaracktide.entry import timers
from tamaracktide.entry import upstream_snapshots
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages
from tamaracktide.upstreams import network

RESET_PERIOD_S = 0.5
"""Minimum time between two resets after which the upstreams are read."""

_Inputs = ParamSpec("_Inputs")
_Method = Callable[Concatenate["ServiceCell", _Inputs], None]


def _contain(method: _Method[_Inputs]) -> _Method[_Inputs]:
    """Has an error in a method reset its cell instead of reaching the caller.

    The caller is a background task that serves other cells as well.
    """

    @functools.wraps(method)
    def call(
        self: "ServiceCell", /, *args: _Inputs.args, **kwargs: _Inputs.kwargs
    ) -> None:
        try:
            method(self, *args, **kwargs)
        except Exception as error:
            self.reset(error, args)

    return call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """A batch slot of an upstream that is granted to a request.

    Attributes:
        grant_id: Id with which the batch slot is released.
        entry: The upstream.
        key: Adapter and version that was granted.
        waited_s: Time that the request spent in the queue.
    """

    grant_id: str
    entry: upstream_entries.UpstreamEntry
    key: rows.AdapterKey
    waited_s: float


@dataclasses.dataclass(slots=True)
class _QueuedRequest:
    done: anyio.Event
    result: cell_actions.Grant | cell_actions.Refuse | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """What the scheduling of a service depends on.

    Attributes:
        upstreams: Builds snapshots of the tracked state of the upstreams.
        find_version: Returns the announced version of an adapter, 0 if none.
        announce_prompt: Announces to the peers that a prompt is sent to an
            engine.
        announce_limit: Announces the limit of an upstream, and requests sent
            under it, to the other instances.
        count_instances: Returns the number of instances.
        instance: Id of this instance.
        slow_start_min_instances: Number of instances from which on requests to
            started upstreams begin slowly.
        load_margin: Learns how late adapters are loaded.
        load: Requests the load of an adapter and waits for its end.
        list_withheld: Returns the software versions of a service at which no
            stream that may be resumed may begin yet.
        record_exit: Called when an upstream refuses connections.
        was_held_up: Returns whether a pause of this process has just ended.
        backend: Opens the connections that check upstreams.
        tasks: Task group that runs the loads and timers.
    """

    upstreams: upstream_snapshots.SnapshotBuilder
    find_version: Callable[[str, str], int]
    announce_prompt: Callable[[str, int], None]
    announce_limit: Callable[[entry_messages.SendLimitNotice], None]
    count_instances: Callable[[], int]
    instance: str
    slow_start_min_instances: int
    load_margin: load_margin.LoadMargin
    load: Callable[[str, cell_actions.Load], Awaitable[cell_events.LoadEnded]]
    list_withheld: Callable[[str], frozenset[str]]
    record_exit: Callable[[upstream_entries.UpstreamEntry], None]
    was_held_up: Callable[[], bool]
    backend: network.Backend
    tasks: anyio.abc.TaskGroup


class ServiceCell:
    """Schedules the requests of one service.

    Attributes:
        service: The service.
        health: Health of its upstreams.
        reachability: Checks which upstreams accept connections.
        running: Requests of this instance by upstream and adapter name.
        send_limits: Limits that its upstreams name.
        paces: How fast its engines are.
    """

    def __init__(
        self, service: routing_document.Service, dependencies: Dependencies
    ) -> None:
        """Starts without requests; `refresh` reads the upstreams."""
        self.service = service
        self.health = upstream_health.UpstreamHealth(random.Random())
        self.paces = paces.Paces()
        self.running: dict[str, dict[str, int]] = {}
        self._dependencies = dependencies
        self._cell = self._make_cell()
        self._waiting: dict[str, _QueuedRequest] = {}
        self._entries: dict[str, upstream_entries.UpstreamEntry] = {}
        self._leaving: set[str] = set()
        self._on_trial: set[str] = set()
        self.send_limits = send_limits.SendLimits(
            dependencies.announce_limit, dependencies.count_instances
        )
        self._reset_at = -math.inf
        self._tick_timer = timers.Timer(
            lambda: self._handle(cell_events.Tick()), dependencies.tasks
        )
        self._ready_at: dict[str, float] = {}
        self._ready_timer = timers.Timer(
            self._refresh_ready, dependencies.tasks
        )
        self._orderable: dict[str, bool] = {}
        self._slow_starts = slow_starts.SlowStarts(
            dependencies.instance,
            dependencies.count_instances,
            dependencies.slow_start_min_instances,
        )
        self._refresh_timer = timers.Timer(self.refresh, dependencies.tasks)
        self._trial_timer = timers.Timer(
            self.refresh_health, dependencies.tasks
        )
        self.reachability = reachability.Reachability(
            self.health,
            lambda: self._entries,
            self.refresh_health,
            dependencies.record_exit,
            dependencies.was_held_up,
            dependencies.backend,
            dependencies.tasks,
        )

    def _make_cell(self) -> cell.Cell:
        settings = cell_defaults.make_settings(self.service)
        return cell.Cell(settings, random.Random())

    def find_key(self, request: requests.ClientRequest) -> rows.AdapterKey:
        """Returns the adapter key that an upstream needs for a request."""
        generation = request.generation
        if generation is None or self.service.engine is None:
            return rows.AdapterKey(self.service.name, "")
        if not generation.adapter:
            return rows.AdapterKey(generation.model, "")
        return self._make_key(generation.model, generation.adapter)

    def _make_key(self, model: str, adapter: str) -> rows.AdapterKey:
        version = self._dependencies.find_version(model, adapter)
        return rows.AdapterKey(
            f"{model}/{adapter}", str(version) if version else ""
        )

    async def acquire_placement(
        self,
        request: requests.ClientRequest,
        avoid: tuple[str, ...] = (),
        *,
        software: str | None = None,
        resume_after: int | None = None,
        is_hedge: bool = False,
    ) -> Placement:
        """Waits until a request is granted a batch slot and returns it.

        Args:
            request: The request.
            avoid: Upstreams that must not run it.
            software: Software version that must run it; None for any.
            resume_after: Id of the event after which it goes on; None for a new
                stream.
            is_hedge: Whether it keeps a batch slot that it already has.

        Raises:
            errors.RefusalError: No batch slot becomes free in time.
        """
        submitted_at = anyio.current_time()
        while True:
            submit = submissions.make_submit(
                self.service,
                request,
                self.find_key(request),
                (*avoid, *self._list_excluded(request, software)),
                resume_after or 0,
            )
            if is_hedge:
                # A cell grants one batch slot for an id.
                submit = dataclasses.replace(
                    submit,
                    request_id=f"{request.request_id}/{uuid.uuid4().hex}",
                )
            grant = await self._acquire_grant(submit)
            entry = self._entries.get(grant.upstream)
            excluded = self._list_excluded(request, software)
            if entry is not None and entry.upstream not in excluded:
                return self._make_placement(request, grant, entry, submitted_at)
            # The upstream left or appeared while the request waited.
            self._handle(cell_events.GrantEnded(grant_id=grant.grant_id))

    async def _acquire_grant(
        self, submit: cell_events.Submit
    ) -> cell_actions.Grant:
        """Waits until a request is granted a batch slot."""
        queued_request = _QueuedRequest(anyio.Event())
        request_id = submit.request_id
        submitted_at = anyio.current_time()
        self._refresh_ready()
        self._waiting[request_id] = queued_request
        try:
            self._handle(submit)
            if queued_request.result is None:
                self._schedule_ready()
                await queued_request.done.wait()
        finally:
            del self._waiting[request_id]
            if resumed_streams.is_resumed(submit):
                self._log_resumed(submit, queued_request.result, submitted_at)
            if queued_request.result is None:
                self._handle(cell_events.Withdraw(request_id))
        match queued_request.result:
            case cell_actions.Grant() as grant:
                return grant
            case cell_actions.Refuse(code=code, retry_after_s=retry_after_s):
                raise errors.RefusalError(
                    code, self._describe_refusal(code), retry_after_s
                )
            case None:
                raise errors.InvariantError(f"{request_id}: no result")

    def _log_resumed(
        self,
        submit: cell_events.Submit,
        result: cell_actions.Grant | cell_actions.Refuse | None,
        submitted_at: float,
    ) -> None:
        """Logs what became of a resumed stream, and what it waited for."""
        now = anyio.current_time()
        match result:
            case cell_actions.Grant(upstream=upstream):
                outcome = f"granted at {upstream}"
            case cell_actions.Refuse(code=code):
                outcome = f"refused: {code.name}"
            case None:
                outcome = "withdrawn"
        found = self._cell.find_blockers(submit, now)
        logs.bind(
            request_id=submit.request_id,
            adapter=submit.key.text,
            waited_s=round(now - submitted_at, 3),
            time_left_s=round(submit.deadline - now, 3),
            tokens_left=submit.max_tokens,
            **dataclasses.asdict(found),
        ).info("resumed stream {}", outcome)

    def _list_excluded(
        self, request: requests.ClientRequest, software: str | None
    ) -> list[str]:
        """Returns the upstreams whose software version must not run it.

        A stream that may be resumed begins at a version that is not stated yet
        only if no upstream of another one takes requests.

        Args:
            request: The request.
            software: Version that began its stream; None for a new one.
        """
        entries = self._entries.items()
        if software is not None:
            return [n for n, entry in entries if entry.software != software]
        if not request.route.resumable:
            return []
        withheld = self._dependencies.list_withheld(self.service.name)
        if not withheld:
            return []
        excluded = [n for n, entry in entries if entry.software in withheld]
        if self._entries.keys() - self._leaving <= set(excluded):
            return []
        return excluded

    def _describe_refusal(self, code: result_codes.ResultCode) -> str:
        usable = len(self._entries) - len(self._leaving)
        utilization = self._cell.measure_utilization()
        return (
            f"{result_codes.MEANINGS[code].text} {self.service.name}: "
            f"{usable} usable upstreams, {utilization.running} of "
            f"{utilization.capacity} batch slots in use, "
            f"{utilization.waiting} requests queued"
        )

    def _make_placement(
        self,
        request: requests.ClientRequest,
        grant: cell_actions.Grant,
        entry: upstream_entries.UpstreamEntry,
        submitted_at: float,
    ) -> Placement:
        self.send_limits.announce_request(entry)
        key = self.find_key(request)
        counts = self.running.setdefault(grant.upstream, {})
        counts[key.adapter] = counts.get(key.adapter, 0) + 1
        if request.generation is not None and self.service.engine is not None:
            self._dependencies.announce_prompt(
                grant.upstream, request.generation.prompt_tokens
            )
        return Placement(
            grant_id=grant.grant_id,
            entry=entry,
            key=key,
            waited_s=anyio.current_time() - submitted_at,
        )

    def record_limits(
        self,
        entry: upstream_entries.UpstreamEntry,
        limits: send_limits.NamedLimits,
        *,
        overloaded: bool = False,
    ) -> None:
        """Records the limits that a response of an upstream names.

        Args:
            entry: The upstream.
            limits: What it names.
            overloaded: Whether it rejected the request for want of room.
        """
        must_slow_down = overloaded and limits.brittle is not None
        is_new = self._set_limits(entry.upstream, entry.started_ms, limits)
        if must_slow_down:
            self._slow_down(entry.upstream, limits)
        if is_new or must_slow_down:
            self.send_limits.announce(entry, overloaded=must_slow_down)

    @_contain
    def apply_limit_notice(
        self, notice: entry_messages.SendLimitNotice
    ) -> None:
        """Applies the limits and the requests that an instance announces."""
        limits = send_limits.NamedLimits(notice.rate, notice.brittle)
        self._set_limits(notice.upstream, notice.started_ms, limits)
        if notice.overloaded:
            self._slow_down(notice.upstream, limits)
        if notice.sent:
            self._handle(cell_events.RequestsSent(notice.upstream, notice.sent))

    def _slow_down(
        self, upstream: str, limits: send_limits.NamedLimits
    ) -> None:
        logs.bind(upstream=upstream, brittle=limits.brittle).info(
            "brittle upstream rejected a request"
        )
        self._handle(
            cell_events.UpstreamOverloaded(upstream, limits.brittle or 0.0)
        )

    def _set_limits(
        self, upstream: str, started_ms: int, limits: send_limits.NamedLimits
    ) -> bool:
        """Sets the limits of an upstream; returns whether they have changed."""
        entry = self._entries.get(upstream)
        if entry is None or entry.started_ms != started_ms:
            return False
        if not self.send_limits.set_limits(upstream, limits):
            return False
        events = self.send_limits.make_events(upstream)
        self._handle(cell_events.EventBatch(tuple(events)))
        return True

    @_contain
    def record_prompt(self, upstream: str, tokens: int) -> None:
        """Records that another instance sent a prompt to an engine."""
        self._handle(cell_events.PromptSent(upstream, tokens))

    @_contain
    def record_demand(self, model: str, adapter: str, count: int) -> None:
        """Records requests for an adapter that other instances received."""
        key = self._make_key(model, adapter)
        self._handle(cell_events.DemandReported(key, key.adapter, count))

    def record_adapter(self, placement: Placement, *, missing: bool) -> None:
        """Records whether an adapter was there that a request waited for."""
        if not placement.waited_s or not placement.key.adapter:
            return
        if missing:
            self._dependencies.load_margin.record_late()
        else:
            self._dependencies.load_margin.record_ready()

    def release(
        self,
        placement: Placement,
        tokens: int = 0,
        *,
        missing: bool,
        decode: cell_events.Decode | None = None,
    ) -> None:
        """Releases a batch slot.

        Args:
            placement: The granted batch slot.
            tokens: Number of generated tokens.
            missing: Whether the upstream reported that it lacks the adapter.
            decode: Tokens that were generated after the first event.
        """
        counts = self.running.get(placement.entry.upstream, {})
        remaining = counts.get(placement.key.adapter, 0) - 1
        if remaining > 0:
            counts[placement.key.adapter] = remaining
        else:
            counts.pop(placement.key.adapter, None)
        self._handle(
            cell_events.GrantEnded(
                grant_id=placement.grant_id,
                generated_tokens=tokens,
                adapter_missing=missing,
                decode=decode,
            )
        )

    def count_waiting(self) -> int:
        """Returns the number of requests that wait for a batch slot."""
        return len(self._waiting)

    @_contain
    def refresh_upstreams(
        self, entries: Iterable[upstream_entries.UpstreamEntry]
    ) -> None:
        """Passes snapshots of some upstreams to the cell, all at once."""
        changed = {entry.upstream: entry for entry in entries}
        if not changed:
            return
        started = self._slow_starts.list_started(self._entries, changed)
        self._forget_restarted(changed)
        self._entries.update(changed)
        entries = changed.values()
        events = self._make_events(entries, self._find_orderable(entries))
        events.extend(self._slow_starts.begin(started))
        self._handle(cell_events.EventBatch(tuple(events)))

    @_contain
    def remove_upstreams(self, upstreams: Collection[str]) -> None:
        """Removes upstreams that are no longer listed."""
        events = self._remove(self._entries.keys() & upstreams)
        if events:
            self._handle(cell_events.EventBatch(tuple(events)))

    @_contain
    def suspend_evictions(
        self, upstreams: Collection[str], suspended: bool
    ) -> None:
        """Suspends evictions on some engines, or resumes them."""
        events = [
            cell_events.EvictionsSuspended(name, suspended)
            for name in self._entries.keys() & upstreams
        ]
        if events:
            self._handle(cell_events.EventBatch(tuple(events)))

    def _remove(
        self, upstreams: Collection[str]
    ) -> list[cell_events.CellEvent]:
        for name in upstreams:
            del self._entries[name]
            self._leaving.discard(name)
            self._on_trial.discard(name)
            self.send_limits.forget(name)
            self.paces.forget(name)
            self._slow_starts.forget(name)
            self._ready_at.pop(name, None)
        return [cell_events.UpstreamLost(name) for name in upstreams]

    def _forget_restarted(
        self, entries: Mapping[str, upstream_entries.UpstreamEntry]
    ) -> None:
        """Drops the limits and paces of upstreams that have restarted."""
        for name, entry in entries.items():
            known = self._entries.get(name)
            if known is not None and known.started_ms != entry.started_ms:
                self.send_limits.forget(name)
                self.paces.forget(name)

    def record_answer(self, upstream: str, *, is_good: bool) -> None:
        """Records how a request was answered by a started upstream."""
        if upstream in self._slow_starts:
            self._handle(cell_events.AnswerObserved(upstream, is_good))

    @_contain
    def refresh_health(self) -> None:
        """Stops or resumes new requests to upstreams as their health says."""
        now = anyio.current_time()
        avoided, on_trial = self._list_limited(now)
        events = [
            event
            for name, entry in self._entries.items()
            for event in self._set_leaving(entry, avoided, on_trial)
        ]
        if events:
            self._handle(cell_events.EventBatch(tuple(events)))
        self._trial_timer.schedule(self.health.find_next_trial(now))

    @_contain
    def refresh_orderable(self) -> None:
        """Applies whether loads may be ordered, where that has changed."""
        previous = self._orderable
        self._orderable = self._find_orderable(self._entries.values())
        self.refresh_upstreams(
            [
                entry
                for entry in self._entries.values()
                if self._orderable[entry.zone] != previous.get(entry.zone)
            ]
        )

    def _find_orderable(
        self, entries: Collection[upstream_entries.UpstreamEntry]
    ) -> dict[str, bool]:
        """Returns whether loads may be ordered, by availability zone."""
        return {
            zone: self._dependencies.upstreams.is_orderable(
                self.service.name, zone
            )
            for zone in {entry.zone for entry in entries}
        }

    @_contain
    def _refresh_ready(self) -> None:
        """Passes on which loading adapters are ready by now."""
        now = anyio.current_time()
        due = [name for name, at in self._ready_at.items() if at <= now]
        if not due:
            return
        snapshot_builder = self._dependencies.upstreams
        events: list[cell_events.CellEvent] = [
            cell_events.AdaptersReady(
                name, tuple(snapshot_builder.list_ready(name, now))
            )
            for name in due
        ]
        for name in due:
            self._set_next_ready(name, now)
        self._handle(cell_events.EventBatch(tuple(events)))
        self._schedule_ready()

    def _set_next_ready(self, upstream: str, now: float) -> None:
        """Records when the next loading adapter of an engine is ready."""
        ready_at = self._dependencies.upstreams.find_next_ready(upstream, now)
        if ready_at == math.inf:
            self._ready_at.pop(upstream, None)
        else:
            self._ready_at[upstream] = ready_at

    def _schedule_ready(self) -> None:
        """Schedules the next such refresh while requests wait for it."""
        if self._waiting and self._ready_at:
            self._ready_timer.schedule(min(self._ready_at.values()))

    def _make_events(
        self,
        entries: Iterable[upstream_entries.UpstreamEntry],
        orderable: Mapping[str, bool],
    ) -> list[cell_events.CellEvent]:
        """Returns snapshots of upstreams, and whether they get new requests."""
        now = anyio.current_time()
        avoided, on_trial = self._list_limited(now)
        events: list[cell_events.CellEvent] = []
        for entry in entries:
            accepts_loads = orderable[entry.zone]
            events.append(self._make_snapshot(entry, now, accepts_loads))
            if entry.upstream in self.send_limits:
                events.extend(self.send_limits.make_events(entry.upstream))
            events.extend(self._set_leaving(entry, avoided, on_trial))
        return events

    def _list_limited(self, now: float) -> tuple[set[str], set[str]]:
        """Returns the avoided upstreams and those on trial."""
        listed = [e.upstream for e in self._entries.values() if not e.leaving]
        return (
            self.health.list_avoided(listed, now),
            self.health.list_trials(listed, now),
        )

    def _make_snapshot(
        self,
        entry: upstream_entries.UpstreamEntry,
        now: float,
        accepts_loads: bool,
    ) -> cell_events.UpstreamSnapshot:
        """Returns a snapshot of an upstream.

        Also records when the next loading adapter of an engine is ready.
        """
        snapshot_builder, name = self._dependencies.upstreams, entry.upstream
        if self.service.engine is not None:
            self._set_next_ready(name, now)
            self._schedule_ready()
        return snapshot_builder.make_snapshot(
            self.service,
            entry,
            self.running.get(name, {}),
            accepts_loads,
            now,
        )

    @_contain
    def apply_remote_counts(self, counts: running_counts.Counts) -> None:
        """Applies the changed counts of requests of other instances."""
        changed = tuple(
            cell_events.RemoteCount(
                upstream, name, count + _count_pins(name, self.service)
            )
            for upstream, names in counts.items()
            if upstream in self._entries
            for name, count in names.items()
        )
        if changed:
            self._handle(cell_events.RemoteCountsChanged(changed))

    @_contain
    def refresh(self) -> None:
        """Passes snapshots of all upstreams of the service to the cell."""
        entries = {
            entry.upstream: entry
            for entry in self._dependencies.upstreams.list_entries(
                self.service.name
            )
        }
        events = self._remove(self._entries.keys() - entries.keys())
        started = self._slow_starts.list_started(self._entries, entries)
        self._forget_restarted(entries)
        self._entries = entries
        self._orderable = self._find_orderable(entries.values())
        events.extend(self._make_events(entries.values(), self._orderable))
        events.extend(self._slow_starts.begin(started))
        self._handle(cell_events.EventBatch(tuple(events)))
        now = anyio.current_time()
        self._trial_timer.schedule(self.health.find_next_trial(now))

    def _set_leaving(
        self,
        entry: upstream_entries.UpstreamEntry,
        avoided: set[str],
        on_trial: set[str],
    ) -> list[cell_events.CellEvent]:
        """Returns the events that start or stop new requests to an upstream."""
        name = entry.upstream
        leaving = entry.leaving or name in avoided
        if self.service.engine is not None:
            leaving = leaving or not self._dependencies.upstreams.has_model(
                name
            )
        is_on_trial = name in on_trial
        was = name in self._leaving, name in self._on_trial
        if was == (leaving, is_on_trial):
            if not leaving and not is_on_trial:
                return []
            return [cell_events.UpstreamLeaving(name, leaving, is_on_trial)]
        logs.bind(
            upstream=name,
            drains=entry.leaving,
            avoided=name in avoided,
            on_trial=is_on_trial,
            failure_rate=round(self.health.find_failure_rate(name), 3),
        ).info(
            "upstream {} new requests",
            "excluded from" if leaving else "accepts",
        )
        for names, is_in in (
            (self._leaving, leaving),
            (self._on_trial, is_on_trial),
        ):
            if is_in:
                names.add(name)
            else:
                names.discard(name)
        return [cell_events.UpstreamLeaving(name, leaving, is_on_trial)]

    @_contain
    def apply_results(
        self, results: Mapping[str, upstream_health.Results]
    ) -> None:
        """Applies the results of requests of another instance."""
        now = anyio.current_time()
        changed = [
            self.health.record_remote(upstream, observed, now)
            for upstream, observed in results.items()
            if upstream in self._entries
        ]
        if any(changed):
            self.refresh_health()

    @_contain
    def apply_paces(self, reported: Mapping[str, paces.PaceSum]) -> None:
        """Applies the paces of engines that other instances observed."""
        now = anyio.current_time()
        for upstream, pace in reported.items():
            if upstream in self._entries:
                self.paces.apply_report(upstream, pace, now)

    @_contain
    def refresh_paces(self) -> None:
        """Passes on which engines turned out to be faster or slower."""
        changed = self.paces.find_changes(anyio.current_time())
        if not changed:
            return
        logs.bind(
            service=self.service.name,
            factors={name: round(f, 2) for name, f in changed.items()},
        ).debug("paces of engines changed")
        self._handle(cell_events.PacesChanged(changed))

    def _handle(self, event: cell_events.CellEvent) -> None:
        now = anyio.current_time()
        try:
            actions = self._cell.handle(event, now)
        except Exception as error:
            self.reset(error, event)
            return
        for action in actions:
            match action:
                case cell_actions.Grant() | cell_actions.Refuse():
                    self._set_result(action)
                case cell_actions.Load():
                    self._dependencies.tasks.start_soon(self._load, action)
                case cell_actions.WakeAt(at):
                    self._tick_timer.schedule(at)

    def reset(self, error: Exception, inputs: object) -> None:
        """Replaces the cell, whose state an error may have left unsound.

        Queued requests are refused. Requests that were granted a batch slot
        keep it, and running requests stay counted.
        """
        logs.bind(
            service=self.service.name, inputs=restarts.describe_inputs(inputs)
        ).opt(exception=True).critical(
            "invariant violated, scheduler state reset: {!r}", error
        )
        self._cell = self._make_cell()
        self.paces = paces.Paces()
        self._leaving.clear()
        self._on_trial.clear()
        for request_id in list(self._waiting):
            self._set_result(
                cell_actions.Refuse(
                    request_id=request_id,
                    code=result_codes.ResultCode.NO_UPSTREAM,
                    retry_after_s=RESET_PERIOD_S,
                )
            )
        now = anyio.current_time()
        self._refresh_timer.schedule(max(now, self._reset_at + RESET_PERIOD_S))
        self._reset_at = now

    def _set_result(
        self, result: cell_actions.Grant | cell_actions.Refuse
    ) -> None:
        queued_request = self._waiting.get(result.request_id)
        if queued_request is None or queued_request.result is not None:
            if isinstance(result, cell_actions.Grant):
                self._handle(cell_events.GrantEnded(grant_id=result.grant_id))
            return
        queued_request.result = result
        queued_request.done.set()

    async def _load(self, load: cell_actions.Load) -> None:
        ended = cell_events.LoadEnded(load.load_id, False)
        try:
            ended = await self._dependencies.load(self.service.name, load)
        except Exception as error:
            logs.bind(
                service=self.service.name,
                inputs=restarts.describe_inputs(load),
            ).opt(exception=True).critical("load failed: {!r}", error)
        self._handle(ended)


def _count_pins(name: str, service: routing_document.Service) -> int:
    """Returns the extra request with which snapshots pin a resident model."""
    is_resident = service.engine is None or "/" not in name
    return 1 if is_resident else 0
