"""Engines whose adapters stay loaded for streams that broke off.

Load pattern: all instances were killed beside a release. The engines still have
the adapters of the streams that broke off, each at the version that began it.
The clients come back some seconds after the start; meanwhile new requests for
other adapters would fill the adapter slots, which then stay in use.
"""

from collections.abc import Iterable
from collections.abc import Mapping

RETURN_S = 3.0
"""Time from the start of an instance within which clients take up what broke
off: a connection attempt of a second, and the pause before it."""


class AwaitedStreams:
    """The streams that broke off, and the engines that wait for them.

    They are awaited until as many are back as broke off, and for `RETURN_S`
    after the start at most.
    """

    __slots__ = ("_awaited", "_engines", "_returned", "_until")

    def __init__(self, started_at: float) -> None:
        """Awaits nothing.

        Args:
            started_at: Start of the instance, seconds.
        """
        self._until = started_at + RETURN_S
        self._awaited = 0
        self._returned: set[str] = set()
        self._engines: frozenset[str] = frozenset()

    def begin(
        self,
        broken: Mapping[str, int],
        engines: Mapping[str, Iterable[str]],
        now: float,
    ) -> frozenset[str]:
        """Awaits the streams that broke off; has an effect only once.

        Args:
            broken: Number of streams that broke off, by software version.
            engines: Instance ids of the engines, by software version.
            now: Current time, seconds.

        Returns:
            The engines whose adapters must stay loaded from now on.
        """
        if self._awaited or now >= self._until:
            return frozenset()
        self._awaited = sum(broken.values())
        self._engines = frozenset(
            name
            for software, names in engines.items()
            if broken.get(software)
            for name in names
        )
        return self._engines

    def record_return(self, request_id: str) -> None:
        """Records that a client has taken up a stream, once for each."""
        if self._awaited > len(self._returned):
            self._returned.add(request_id)

    def find_until(self, now: float) -> float:
        """Returns until when streams are awaited; `now` if none are."""
        if len(self._returned) >= self._awaited:
            return now
        return max(now, self._until)

    def list_engines(self, now: float) -> frozenset[str]:
        """Returns the engines whose adapters must stay loaded now."""
        return self._engines if self.find_until(now) > now else frozenset()
