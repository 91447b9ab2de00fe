"""Links between availability zones that can be cut or made silent.

Each link listens on loopback and passes bytes on to one target. A script
runs them in its own loop, in front of instances of other zones.
"""

import enum

import anyio
import anyio.abc

import deployment

CHUNK_BYTES = 65536


class LinkState(enum.Enum):
    """What a link does with bytes."""

    OPEN = "passes all on"
    CUT = "refuses new connections and breaks those that are open"
    SILENT = "stops the open connections for good; new ones work"


class Link:
    """One listener that passes its connections on to a target.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, target: str) -> None:
        """Builds a link to `IP:PORT`; `run` must be running."""
        self.port = deployment.find_port()
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._cut = False
        self._open: set[anyio.abc.SocketStream] = set()
        self._stuck: set[anyio.abc.SocketStream] = set()

    @property
    def address(self) -> str:
        """`IP:PORT` to reach the target through this link."""
        return f"{deployment.HOST}:{self.port}"

    async def set_state(self, state: LinkState) -> None:
        """Opens, cuts or silences the link."""
        self._cut = state is LinkState.CUT
        match state:
            case LinkState.CUT:
                streams = list(self._open)
                self._stuck.clear()
                for stream in streams:
                    await anyio.aclose_forcefully(stream)
            case LinkState.SILENT:
                self._stuck |= self._open
            case LinkState.OPEN:
                pass

    async def run(self) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=deployment.HOST, local_port=self.port
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        if self._cut:
            await anyio.aclose_forcefully(near)
            return
        try:
            far = await anyio.connect_tcp(*self._target)
        except OSError:
            await anyio.aclose_forcefully(near)
            return
        self._open |= {near, far}
        try:
            async with near, far, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pass_on, near, far, tasks)
                tasks.start_soon(self._pass_on, far, near, tasks)
        finally:
            self._open -= {near, far}
            self._stuck -= {near, far}

    async def _pass_on(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if source in self._stuck:
                    await anyio.sleep_forever()
                await sink.send(chunk)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            tasks.cancel_scope.cancel()
