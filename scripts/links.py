"""TCP proxies between availability zones that simulate network faults.

Each link listens on loopback and forwards connections to one target. A script
runs the links in its own event loop, in front of instances of other zones.
"""

import enum

import anyio
import anyio.abc

import deployment

CHUNK_BYTES = 65536
DELAY_S = 0.2
"""Time by which a slow link forwards bytes late."""


class LinkState(enum.Enum):
    """How a link handles connections."""

    OPEN = "forwards all bytes"
    CUT = "refuses new connections and closes open ones"
    SILENT = "stalls open connections permanently; forwards new ones"
    SLOW = "forwards all bytes late"
    ONE_WAY = "forwards what clients send, and holds the responses back"


class Link:
    """A TCP proxy that forwards connections to one target.

    Attributes:
        address: `IP:PORT` on which the link listens.
    """

    def __init__(self, target: str, address: str = "") -> None:
        """Initializes a link; `run` serves it.

        Args:
            target: `IP:PORT` that it leads to.
            address: `IP:PORT` on which it listens; empty for a free port.
        """
        self.address = address or f"{deployment.HOST}:{deployment.find_port()}"
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._state = LinkState.OPEN
        self._changed = anyio.Event()
        self._open: set[anyio.abc.SocketStream] = set()
        self._stalled: set[anyio.abc.SocketStream] = set()

    async def set_state(self, state: LinkState) -> None:
        """Applies a state to open and new connections.

        Connections that are stalled stay stalled until they are closed.
        """
        self._state = state
        self._changed.set()
        self._changed = anyio.Event()
        match state:
            case LinkState.CUT:
                streams = list(self._open)
                self._stalled.clear()
                for stream in streams:
                    await anyio.aclose_forcefully(stream)
            case LinkState.SILENT:
                self._stalled |= self._open
            case LinkState.OPEN | LinkState.SLOW | LinkState.ONE_WAY:
                pass

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, client_stream: anyio.abc.SocketStream) -> None:
        if self._state is LinkState.CUT:
            await anyio.aclose_forcefully(client_stream)
            return
        try:
            target_stream = await anyio.connect_tcp(*self._target)
        except OSError:
            await anyio.aclose_forcefully(client_stream)
            return
        self._open |= {client_stream, target_stream}
        try:
            async with (
                client_stream,
                target_stream,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(
                    self._forward, client_stream, target_stream, tasks, False
                )
                tasks.start_soon(
                    self._forward, target_stream, client_stream, tasks, True
                )
        finally:
            self._open -= {client_stream, target_stream}
            self._stalled -= {client_stream, target_stream}

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        tasks: anyio.abc.TaskGroup,
        is_response: bool,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if source in self._stalled:
                    await anyio.sleep_forever()
                if self._state is LinkState.SLOW:
                    await anyio.sleep(DELAY_S)
                while is_response and self._state is LinkState.ONE_WAY:
                    await self._changed.wait()
                await sink.send(chunk)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            tasks.cancel_scope.cancel()
