"""Detects requests that crash the upstreams that run them.

A lost response has many possible causes. It counts against a request only once
the upstream that ran it is known to have ended: it refuses connections, has
started again, or its entry is gone. Instances tell each other at once which
requests ended an upstream, as clients repeat them at any instance.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import quarantine
from tamaracktide.core import upstream_entries
from tamaracktide.entry import requests
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

RESTART_DETECTION_S = 8.0
"""Time within which the restart of a crashed upstream becomes visible."""

LOSS_THRESHOLD = 3
"""Number of lost upstreams at which a request is refused. Two can be a
coincidence while upstreams crash for other reasons."""

COMPLETION_MEMORY_S = 10.0
"""Time for which a completion clears a request of later losses as well: many
clients may repeat a sound request while upstreams end for other reasons."""

MAX_COMPLETIONS = 2048
MAX_CRASHES = 1024
RETRY_AFTER_S = 5.0

_Incarnation = tuple[str, int]
"""Instance id of an upstream and its start time, Unix milliseconds."""


class CrashTracker:
    """Correlates lost responses with the ends of upstreams."""

    def __init__(
        self, announce: Callable[[entry_messages.CrashNotice], None]
    ) -> None:
        """Starts without suspects.

        Args:
            announce: Sends a notice to the other instances.
        """
        self._announce = announce
        self._quarantine = quarantine.Quarantine(
            quarantine.QuarantineSettings(losses_beside_others=LOSS_THRESHOLD)
        )
        self._losses: dict[_Incarnation, dict[str, float]] = {}
        self._crashes: collections.OrderedDict[_Incarnation, set[str]] = (
            collections.OrderedDict()
        )
        self._completions: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._waiting: dict[str, set[anyio.CancelScope]] = {}

    def record_loss(
        self,
        request: requests.ClientRequest,
        entry: upstream_entries.UpstreamEntry,
    ) -> None:
        """Records that a response was interrupted."""
        incarnation = (entry.upstream, entry.started_ms)
        losses = self._losses.setdefault(incarnation, {})
        losses[request.fingerprint] = anyio.current_time()

    def record_completion(self, request: requests.ClientRequest) -> None:
        """Records that a request completed and its upstream kept running."""
        now = anyio.current_time()
        self._quarantine.record_completion(request.fingerprint, True, now)
        self._completions.pop(request.fingerprint, None)
        self._completions[request.fingerprint] = now
        if len(self._completions) > MAX_COMPLETIONS:
            self._completions.popitem(last=False)

    def record_exit(self, entry: upstream_entries.UpstreamEntry) -> None:
        """Counts the losses of an upstream that refuses connections."""
        self._count_losses((entry.upstream, entry.started_ms))

    def check(
        self, entries: Mapping[str, upstream_entries.UpstreamEntry]
    ) -> None:
        """Counts the losses whose upstream has restarted or been removed."""
        now = anyio.current_time()
        for incarnation, losses in list(self._losses.items()):
            upstream, started_ms = incarnation
            entry = entries.get(upstream)
            if entry is None or entry.started_ms != started_ms:
                self._count_losses(incarnation)
            elif now >= max(losses.values()) + RESTART_DETECTION_S:
                del self._losses[incarnation]

    def apply_notice(
        self, notice: entry_messages.CrashNotice
    ) -> entry_messages.CrashNotice | None:
        """Counts the losses that another instance observed.

        Returns:
            What of it was not known, None for nothing.
        """
        requests_ = self._count(
            (notice.upstream, notice.started_ms), notice.requests
        )
        return _make_notice((notice.upstream, notice.started_ms), requests_)

    def apply_quarantined(self, quarantined: tuple[str, ...]) -> None:
        """Applies the fingerprints that another instance has quarantined."""
        if not quarantined:
            return
        now = anyio.current_time()
        self._quarantine.apply_quarantined(
            [name for name in quarantined if not self._is_cleared(name, now)],
            now,
        )
        self._refuse_waiting()

    def list_announced(self) -> tuple[str, ...]:
        """Returns the fingerprints that other instances should refuse too."""
        return self._quarantine.list_announced(anyio.current_time())

    def is_refused(self, request: requests.ClientRequest) -> bool:
        """Whether a request is quarantined."""
        return self._is_quarantined(request.fingerprint)

    def check_allowed(self, request: requests.ClientRequest) -> None:
        """Raises `errors.RefusalError` if a request is quarantined."""
        if self.is_refused(request):
            raise _make_refusal()

    @contextlib.contextmanager
    def refuse_once_quarantined(
        self, request: requests.ClientRequest
    ) -> Iterator[None]:
        """Cancels what it encloses as soon as a request is quarantined.

        Raises:
            errors.RefusalError: The request is quarantined.
        """
        self.check_allowed(request)
        scopes = self._waiting.setdefault(request.fingerprint, set())
        with anyio.CancelScope() as scope:
            scopes.add(scope)
            try:
                yield
            finally:
                scopes.discard(scope)
                if not scopes:
                    self._waiting.pop(request.fingerprint, None)
        if scope.cancelled_caught:
            raise _make_refusal()

    def _count_losses(self, incarnation: _Incarnation) -> None:
        """Counts the losses of an upstream that has ended, and announces it."""
        losses = self._losses.pop(incarnation, None)
        if losses is None:
            return
        notice = _make_notice(incarnation, self._count(incarnation, losses))
        if notice is not None:
            self._announce(notice)

    def _count(
        self, incarnation: _Incarnation, fingerprints: Iterable[str]
    ) -> tuple[str, ...]:
        """Counts each loss once; returns those that were not known."""
        now = anyio.current_time()
        known = self._crashes.setdefault(incarnation, set())
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        added = tuple(name for name in fingerprints if name not in known)
        known.update(added)
        for fingerprint in added:
            if not self._is_cleared(fingerprint, now):
                self._quarantine.record_loss(fingerprint, False, now)
        upstream, started_ms = incarnation
        logs.bind(
            upstream=upstream,
            started_ms=started_ms,
            requests=list(added),
            quarantined=[name for name in added if self._is_quarantined(name)],
        ).info("upstream ended with requests in progress")
        self._refuse_waiting()
        return added

    def _refuse_waiting(self) -> None:
        """Refuses the waiting requests that are quarantined by now."""
        for fingerprint, scopes in list(self._waiting.items()):
            if self._is_quarantined(fingerprint):
                for scope in list(scopes):
                    scope.cancel()

    def _is_quarantined(self, fingerprint: str) -> bool:
        now = anyio.current_time()
        return self._quarantine.is_quarantined(fingerprint, now)

    def _is_cleared(self, fingerprint: str, now: float) -> bool:
        completed_at = self._completions.get(fingerprint)
        return (
            completed_at is not None
            and now < completed_at + COMPLETION_MEMORY_S
        )


def _make_notice(
    incarnation: _Incarnation, fingerprints: tuple[str, ...]
) -> entry_messages.CrashNotice | None:
    if not fingerprints:
        return None
    upstream, started_ms = incarnation
    return entry_messages.CrashNotice(
        upstream=upstream, started_ms=started_ms, requests=fingerprints
    )


def _make_refusal() -> errors.RefusalError:
    return errors.RefusalError(
        result_codes.ResultCode.QUARANTINED,
        "request has crashed upstreams",
        RETRY_AFTER_S,
    )
