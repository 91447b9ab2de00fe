"""A reconnecting link to a scheduler that matches replies to requests."""

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

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


ConnectionFactory = Callable[[str], Awaitable[connection.Connection]]
MessageHandler = Callable[["Link", messages.Message], Awaitable[None]]


class _PendingReply:
    """The reply to a request, once `event` is set; None if the link broke."""

    __slots__ = ("event", "reply")

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.reply: messages.Message | None = None


class Link:
    """A connection to one scheduler that is reopened when it breaks.

    Attributes:
        instance: Instance id of the scheduler.
        address: `IP:PORT` of its inner protocol.
        zone: Availability zone of the scheduler.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        zone: str,
        open_connection: ConnectionFactory,
        settings: protocol_settings.InnerSettings,
        rng: random.Random,
    ) -> None:
        """Creates a link; `run` opens its connection."""
        self.instance = instance
        self.address = address
        self.zone = zone
        self.stopped = anyio.CancelScope()
        self._open_connection = open_connection
        self._settings = settings
        self._rng = rng
        self._connection: connection.Connection | None = None
        self._pending_replies: dict[str, _PendingReply] = {}

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._connection is not None

    async def run(
        self,
        on_open: Callable[["Link"], Awaitable[None]],
        on_message: MessageHandler,
    ) -> None:
        """Maintains the connection until `stopped` is cancelled.

        Args:
            on_open: Called each time the connection opens.
            on_message: Called with each message that is not a reply to a
                pending request.
        """
        backoff_s = INITIAL_BACKOFF_S
        with self.stopped:
            while True:
                was_connected = await self._connect_once(on_open, on_message)
                if was_connected:
                    backoff_s = INITIAL_BACKOFF_S
                await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def send(self, message: messages.Message) -> None:
        """Sends a message.

        Raises:
            errors.ProtocolError: The scheduler is unreachable.
        """
        if self._connection is None:
            raise make_unreachable_error(self.instance)
        await self._connection.send(message)

    async def send_request(
        self, reply_id: str, message: messages.Message
    ) -> messages.Message:
        """Sends a request and returns the reply whose id is `reply_id`.

        Raises:
            errors.ProtocolError: The scheduler is unreachable, or the
                connection broke before the reply.
        """
        pending_reply = self._pending_replies[reply_id] = _PendingReply()
        try:
            await self.send(message)
            await pending_reply.event.wait()
        finally:
            self._pending_replies.pop(reply_id, None)
        if pending_reply.reply is None:
            raise make_unreachable_error(self.instance)
        return pending_reply.reply

    async def _connect_once(
        self,
        on_open: Callable[["Link"], Awaitable[None]],
        on_message: MessageHandler,
    ) -> bool:
        """Serves one connection; returns whether it could be opened."""
        try:
            scheduler_connection = await self._open_connection(self.address)
        except errors.ProtocolError as error:
            logs.bind(peer=self.instance, code=error.code.value).warning(
                "cannot connect to scheduler: {}", error.detail
            )
            return False
        self._connection = scheduler_connection
        try:
            await self._receive_messages(
                scheduler_connection, on_open, on_message
            )
        finally:
            self._disconnect()
            with (
                anyio.CancelScope(shield=True),
                contextlib.suppress(errors.ProtocolError),
            ):
                await scheduler_connection.close()
        return True

    async def _receive_messages(
        self,
        scheduler_connection: connection.Connection,
        on_open: Callable[["Link"], Awaitable[None]],
        on_message: MessageHandler,
    ) -> None:
        logs.bind(peer=self.instance).info("connected to scheduler")
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    heartbeats.keep_alive, scheduler_connection, self._settings
                )
                await on_open(self)
                while True:
                    message = await scheduler_connection.receive()
                    if not self._deliver_reply(message):
                        await on_message(self, message)
        except* errors.ProtocolError as group:
            error = group.exceptions[0]
            logs.bind(peer=self.instance).warning(
                "connection to scheduler closed: {}", str(error)
            )

    def _deliver_reply(self, message: messages.Message) -> bool:
        """Delivers a reply; returns False if no task waits for it."""
        pending_reply = self._pending_replies.get(find_reply_id(message))
        if pending_reply is None:
            return False
        pending_reply.reply = message
        pending_reply.event.set()
        return True

    def _disconnect(self) -> None:
        self._connection = None
        for pending_reply in self._pending_replies.values():
            pending_reply.event.set()


def make_unreachable_error(instance: str) -> errors.ProtocolError:
    """Returns the error for a scheduler without an open connection."""
    return errors.ProtocolError(
        result_codes.ResultCode.PEER_UNREACHABLE,
        f"no connection to scheduler {instance}",
    )


def find_reply_id(message: messages.Message) -> str:
    """Returns the request id of a reply, or "" for other messages."""
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
