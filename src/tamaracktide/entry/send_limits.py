"""Limits on the rate of requests that the upstreams of a service name."""

from collections.abc import Callable

from tamaracktide.core import cell_events
from tamaracktide.core import upstream_entries
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages


class SendLimits:
    """Knows the limits of upstreams and announces them."""

    __slots__ = ("_announce", "_count_instances", "_rates")

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
        self._rates: dict[str, float] = {}

    def __contains__(self, upstream: str) -> bool:
        """Whether an upstream limits the rate of its requests."""
        return upstream in self._rates

    def set_rate(self, upstream: str, rate: float | None) -> bool:
        """Sets the limit of an upstream, requests per second, or removes it.

        Returns:
            Whether it has changed.
        """
        if rate == self._rates.get(upstream):
            return False
        if rate is None:
            del self._rates[upstream]
        else:
            self._rates[upstream] = rate
        logs.bind(upstream=upstream, rate=rate).info(
            "upstream {} the rate of its requests",
            "no longer limits" if rate is None else "limits",
        )
        return True

    def forget(self, upstream: str) -> None:
        """Drops the limit of an upstream that has left or restarted."""
        self._rates.pop(upstream, None)

    def announce(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Announces the limit of an upstream, or its end."""
        self._send_notice(entry, 0)

    def announce_request(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Announces that a request is sent, if its upstream has a limit."""
        if entry.upstream in self._rates:
            self._send_notice(entry, 1)

    def _send_notice(
        self, entry: upstream_entries.UpstreamEntry, sent: int
    ) -> None:
        self._announce(
            entry_messages.SendLimitNotice(
                upstream=entry.upstream,
                started_ms=entry.started_ms,
                rate=self._rates.get(entry.upstream),
                sent=sent,
            )
        )

    def make_event(self, upstream: str) -> cell_events.SendLimitChanged:
        """Returns the event that applies the limit of an upstream."""
        return cell_events.SendLimitChanged(
            upstream,
            self._rates.get(upstream),
            1.0 / max(1, self._count_instances()),
        )
