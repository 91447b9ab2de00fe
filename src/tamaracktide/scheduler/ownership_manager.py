"""Manages the ownership record of one upstream in the object API."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import Protocol

import anyio

from tamaracktide import errors
from tamaracktide.core import ownership
from tamaracktide.core import ownership_events as events
from tamaracktide.core import randomness
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs

KEY_PREFIX = "ownership/"

OwnerProbe = Callable[[str, str], Awaitable[bool]]


class Listener(Protocol):
    """Receives notifications about the ownership."""

    def begin_ownership(self, ready: events.OwnershipAcquired) -> None:
        """Called when this scheduler has acquired the upstream."""

    def end_ownership(self, owner: str) -> None:
        """Called when this scheduler no longer owns the upstream."""

    def record_owner(self, owner: str) -> None:
        """Called when another reachable scheduler owns the upstream."""

    def suspend_unloads(self, suspended: bool) -> None:
        """Called when unload orders become suspended or allowed."""


class OwnershipManager:
    """Acquires, keeps and releases the ownership of one upstream.

    Attributes:
        platform_unavailable: Whether the last platform call failed.
    """

    def __init__(
        self,
        upstream: str,
        settings: ownership.OwnershipSettings,
        objects: object_store.ObjectStore,
        probe_owner: OwnerProbe,
        listener: Listener,
        rng: randomness.Random,
    ) -> None:
        """Creates a manager without ownership; `run` must be started."""
        self.platform_unavailable = False
        self._upstream = upstream
        self._objects = objects
        self._probe_owner = probe_owner
        self._listener = listener
        self._machine = ownership.Ownership(settings, rng)
        self._calls: collections.deque[events.OwnershipAction] = (
            collections.deque()
        )
        self._permits: dict[str, _Permit] = {}
        self._wake_at = math.inf
        self._woken = anyio.Event()
        self._ended = anyio.Event()

    @property
    def epoch(self) -> int:
        """The fencing token while this scheduler is the owner, else 0."""
        owning = self._machine.state is ownership.State.OWNING
        return self._machine.epoch if owning else 0

    @property
    def withheld(self) -> tuple[str, ...]:
        """Lora names that must not be granted."""
        return self._machine.withheld

    async def run(self) -> None:
        """Runs the state machine's calls and timers until cancelled."""
        while True:
            while self._calls:
                await self._execute(self._calls.popleft())
            self._woken = anyio.Event()
            delay_s = self._wake_at - anyio.current_time()
            with anyio.move_on_after(max(delay_s, 0.0)):
                await self._woken.wait()
            if anyio.current_time() >= self._wake_at:
                self._wake_at = math.inf
                self.feed(events.Tick())

    def feed(self, event: events.OwnershipEvent) -> None:
        """Passes an event to the state machine and dispatches its actions."""
        for action in self._machine.handle(event, anyio.current_time()):
            match action:
                case events.OwnershipAcquired():
                    self._ended = anyio.Event()
                    self._listener.begin_ownership(action)
                case events.OwnershipLost(owner):
                    self._ended.set()
                    self._listener.end_ownership(owner)
                case events.OwnedElsewhere(owner):
                    self._listener.record_owner(owner)
                case events.SuspendUnloads(suspended):
                    self._listener.suspend_unloads(suspended)
                case events.AllowUnload(lora_name):
                    self._resolve(lora_name, True)
                case events.RefuseUnload(lora_name):
                    self._resolve(lora_name, False)
                case events.WakeAt(at):
                    self._wake_at = at
                    self._woken.set()
                case _:
                    self._calls.append(action)
                    self._woken.set()

    async def request_unload(self, lora_name: str) -> bool:
        """Waits until an unload order is allowed or refused.

        An `UnloadEnded` event must follow an allowed order.

        Returns:
            Whether the order may be sent.
        """
        permit = self._permits[lora_name] = _Permit()
        self.feed(events.UnloadRequested(lora_name))
        await permit.resolved.wait()
        return permit.allowed

    async def release(self) -> None:
        """Releases the ownership; returns once the record shows it."""
        if self._machine.state is ownership.State.IDLE:
            return
        self._ended = anyio.Event()
        self.feed(events.Release())
        await self._ended.wait()

    def _resolve(self, lora_name: str, allowed: bool) -> None:
        permit = self._permits.pop(lora_name, None)
        if permit is not None:
            permit.allowed = allowed
            permit.resolved.set()

    async def _execute(self, action: events.OwnershipAction) -> None:
        match action:
            case events.ReadRecord():
                self.feed(await self._read())
            case events.WriteRecord():
                self.feed(await self._write(action))
            case events.CheckOwner(owner, incarnation):
                reachable = await self._probe_owner(owner, incarnation)
                checked = events.OwnerChecked(owner, incarnation, reachable)
                self.feed(checked)

    async def _read(self) -> events.OwnershipEvent:
        try:
            stored = await self._objects.read(KEY_PREFIX + self._upstream)
            record = events.decode_record(stored.value)
        except errors.ObjectMissingError:
            self.platform_unavailable = False
            return events.RecordRead(None, 0)
        except errors.TamaracktideError as error:
            return self._record_failure(error, events.PlatformUnavailable())
        self.platform_unavailable = False
        return events.RecordRead(record, stored.version)

    async def _write(self, action: events.WriteRecord) -> events.OwnershipEvent:
        key = KEY_PREFIX + self._upstream
        value = events.encode_record(action.record)
        expected = action.expected_version
        try:
            if expected:
                version = await self._objects.update(key, value, expected)
            else:
                version = await self._objects.create(key, value)
        except errors.PreconditionFailedError:
            return events.WriteRefused()
        except errors.TamaracktideError as error:
            return self._record_failure(error, events.ReplyLost())
        self.platform_unavailable = False
        return events.WriteSucceeded(version)

    def _record_failure(
        self, error: errors.TamaracktideError, event: events.OwnershipEvent
    ) -> events.OwnershipEvent:
        self.platform_unavailable = True
        logs.bind(upstream=self._upstream, code=error.code.value).warning(
            "ownership record call failed: {}", error.detail
        )
        return event


class _Permit:
    """An unload order that waits until its intent is recorded."""

    __slots__ = ("allowed", "resolved")

    def __init__(self) -> None:
        self.allowed = False
        self.resolved = anyio.Event()
