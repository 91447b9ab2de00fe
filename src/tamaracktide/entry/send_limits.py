"""Limits on the rate of requests that the upstreams of a service name."""

from collections.abc import Callable
import dataclasses

from tamaracktide.core import cell_events
from tamaracktide.core import upstream_entries
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimits:
    """What an upstream says in its responses about the requests it takes.

    Attributes:
        rate: Requests per second from all instances together; None for any.
        brittle: Rejections in a second that it survives; None for any.
    """

    rate: float | None = None
    brittle: float | None = None


_NO_LIMITS = NamedLimits()


class SendLimits:
    """Knows the limits of upstreams and announces them."""

    __slots__ = ("_announce", "_count_instances", "_named")

    def __init__(
        self,
        announce: Callable[[entry_messages.SendLimitNotice], None],
        count_instances: Callable[[], int],
    ) -> None:
        """Starts without limits.

        Args:
            announce: Sends a notice to the other instances.
            count_instances: Returns the number of instances.
        """
        self._announce = announce
        self._count_instances = count_instances
        self._named: dict[str, NamedLimits] = {}

    def __contains__(self, upstream: str) -> bool:
        """Whether an upstream names a limit."""
        return upstream in self._named

    def set_limits(self, upstream: str, limits: NamedLimits) -> bool:
        """Sets the limits of an upstream; returns whether they have changed."""
        if limits == self._named.get(upstream, _NO_LIMITS):
            return False
        self.forget(upstream)
        if limits != _NO_LIMITS:
            self._named[upstream] = limits
        logs.bind(
            upstream=upstream, rate=limits.rate, brittle=limits.brittle
        ).info(
            "upstream {} the rate of its requests",
            "no longer limits" if limits == _NO_LIMITS else "limits",
        )
        return True

    def forget(self, upstream: str) -> None:
        """Drops the limits of an upstream that has left or restarted."""
        self._named.pop(upstream, None)

    def announce_request(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Announces that a request is sent, if its upstream has a limit."""
        if entry.upstream in self._named:
            self.announce(entry, sent=1)

    def announce(
        self,
        entry: upstream_entries.UpstreamEntry,
        *,
        sent: int = 0,
        overloaded: bool = False,
    ) -> None:
        """Announces the limits of an upstream, or their end.

        Args:
            entry: The upstream.
            sent: Number of requests that are sent to it now.
            overloaded: Whether it has just rejected a request.
        """
        limits = self._named.get(entry.upstream, _NO_LIMITS)
        self._announce(
            entry_messages.SendLimitNotice(
                upstream=entry.upstream,
                started_ms=entry.started_ms,
                rate=limits.rate,
                brittle=limits.brittle,
                sent=sent,
                overloaded=overloaded,
            )
        )

    def make_events(self, upstream: str) -> list[cell_events.CellEvent]:
        """Returns the events that apply the limits of an upstream."""
        limits = self._named.get(upstream, _NO_LIMITS)
        own_fraction = 1.0 / max(1, self._count_instances())
        return [
            cell_events.SendLimitChanged(upstream, limits.rate, own_fraction),
            cell_events.BrittleChanged(upstream, limits.brittle, own_fraction),
        ]
