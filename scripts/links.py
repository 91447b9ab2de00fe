"""TCP proxies between availability zones that simulate network faults.

Each link listens on loopback and forwards connections to one target. A script
runs the links in its own event loop, in front of instances of other zones.
"""

import enum

import anyio
import anyio.abc

import deployment

CHUNK_BYTES = 65536


class LinkState(enum.Enum):
    """How a link handles connections."""

    OPEN = "forwards all bytes"
    CUT = "refuses new connections and closes open ones"
    SILENT = "stalls open connections permanently; forwards new ones"


class Link:
    """A TCP proxy that forwards connections to one target.

    Attributes:
        port: Port on which the link listens.
    """

    def __init__(self, target: str) -> None:
        """Initializes a link to `IP:PORT`; `run` serves it."""
        self.port = deployment.find_port()
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._cut = False
        self._open: set[anyio.abc.SocketStream] = set()
        self._stalled: set[anyio.abc.SocketStream] = set()

    @property
    def address(self) -> str:
        """`IP:PORT` on which the link listens."""
        return f"{deployment.HOST}:{self.port}"

    async def set_state(self, state: LinkState) -> None:
        """Applies a state to open and new connections.

        Connections that are stalled stay stalled until they are closed.
        """
        self._cut = state is LinkState.CUT
        match state:
            case LinkState.CUT:
                streams = list(self._open)
                self._stalled.clear()
                for stream in streams:
                    await anyio.aclose_forcefully(stream)
            case LinkState.SILENT:
                self._stalled |= self._open
            case LinkState.OPEN:
                pass

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=deployment.HOST, local_port=self.port
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, client_stream: anyio.abc.SocketStream) -> None:
        if self._cut:
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
                    self._forward, client_stream, target_stream, tasks
                )
                tasks.start_soon(
                    self._forward, target_stream, client_stream, tasks
                )
        finally:
            self._open -= {client_stream, target_stream}
            self._stalled -= {client_stream, target_stream}

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if source in self._stalled:
                    await anyio.sleep_forever()
                await sink.send(chunk)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            tasks.cancel_scope.cancel()
