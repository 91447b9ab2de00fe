"""One connection to a scheduler, kept open and matched to its replies."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.observability import logs
from tamaracktide.protocol import connection
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


Opener = Callable[[str], Awaitable[connection.Connection]]
Listener = Callable[["Link", messages.Message], Awaitable[None]]


class _Waiter:
    """A task that waits for one reply."""

    __slots__ = ("event", "reply")

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.reply: messages.Message | None = None


class Link:
    """A connection to one scheduler that is opened again when it breaks.

    Attributes:
        instance: Instance id of the scheduler.
        address: Its inner `IP:PORT`.
        zone: Its availability zone.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        zone: str,
        open_connection: Opener,
        settings: protocol_settings.InnerSettings,
        rng: random.Random,
    ) -> None:
        """Builds a link that `run` opens."""
        self.instance = instance
        self.address = address
        self.zone = zone
        self.stopped = anyio.CancelScope()
        self._open = open_connection
        self._settings = settings
        self._rng = rng
        self._opened: connection.Connection | None = None
        self._waiters: dict[str, _Waiter] = {}

    @property
    def connected(self) -> bool:
        """Whether the scheduler can be reached."""
        return self._opened is not None

    async def run(
        self,
        on_open: Callable[["Link"], Awaitable[None]],
        on_message: Listener,
    ) -> None:
        """Keeps the connection until `stopped` is cancelled.

        Args:
            on_open: Called after each opening.
            on_message: Called with each message that no task waits for.
        """
        backoff_s = FIRST_BACKOFF_S
        with self.stopped:
            while True:
                served = await self._serve_once(on_open, on_message)
                if served:
                    backoff_s = FIRST_BACKOFF_S
                await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def send(self, message: messages.Message) -> None:
        """Sends a message.

        Raises:
            errors.ProtocolError: The scheduler cannot be reached.
        """
        if self._opened is None:
            raise make_unreachable_error(self.instance)
        await self._opened.send(message)

    async def ask(
        self, reply_id: str, message: messages.Message
    ) -> messages.Message:
        """Sends a message and returns the reply that names `reply_id`.

        Raises:
            errors.ProtocolError: The connection broke before the reply.
        """
        waiter = self._waiters[reply_id] = _Waiter()
        try:
            await self.send(message)
            await waiter.event.wait()
        finally:
            self._waiters.pop(reply_id, None)
        if waiter.reply is None:
            raise make_unreachable_error(self.instance)
        return waiter.reply

    async def _serve_once(
        self,
        on_open: Callable[["Link"], Awaitable[None]],
        on_message: Listener,
    ) -> bool:
        """Returns whether the connection could be opened."""
        try:
            opened = await self._open(self.address)
        except errors.ProtocolError as error:
            logs.bind(peer=self.instance, code=error.code.value).warning(
                "scheduler not reachable: {}", error.detail
            )
            return False
        self._opened = opened
        try:
            await self._exchange(opened, on_open, on_message)
        finally:
            self._drop()
            with (
                anyio.CancelScope(shield=True),
                contextlib.suppress(errors.ProtocolError),
            ):
                await opened.close()
        return True

    async def _exchange(
        self,
        opened: connection.Connection,
        on_open: Callable[["Link"], Awaitable[None]],
        on_message: Listener,
    ) -> None:
        logs.bind(peer=self.instance).info("scheduler connected")
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(heartbeats.keep_alive, opened, self._settings)
                await on_open(self)
                while True:
                    message = await opened.receive()
                    if not self._settle(message):
                        await on_message(self, message)
        except* errors.ProtocolError as group:
            first = group.exceptions[0]
            logs.bind(peer=self.instance).warning(
                "scheduler connection ended: {}", str(first)
            )

    def _settle(self, message: messages.Message) -> bool:
        """Hands a reply to the task that waits for it."""
        waiter = self._waiters.get(find_reply_id(message))
        if waiter is None:
            return False
        waiter.reply = message
        waiter.event.set()
        return True

    def _drop(self) -> None:
        self._opened = None
        for waiter in self._waiters.values():
            waiter.event.set()


def make_unreachable_error(instance: str) -> errors.ProtocolError:
    """Returns the error for a scheduler that is not connected."""
    return errors.ProtocolError(
        result_codes.ResultCode.PEER_UNREACHABLE,
        f"scheduler {instance} is not connected",
    )


def find_reply_id(message: messages.Message) -> str:
    """Returns the id of the request that a reply answers, or an empty text."""
    match message:
        case messages.GrantReply(request_id=reply_id):
            return reply_id
        case messages.RefusalReply(request_id=reply_id):
            return reply_id
        case messages.ClaimReply(attempt_id=reply_id):
            return "claim:" + reply_id
        case messages.OutcomeReply(attempt_id=reply_id):
            return "outcome:" + reply_id
        case _:
            return ""
