"""Detects requests, and parts of prompts, that crash the upstreams.

A lost response has many possible causes. It counts against a request only once
the upstream that ran it is known to have ended: it refuses connections, has
started again, or its entry is gone. Instances tell each other at once which
requests ended an upstream, as clients repeat them at any instance.

What crashes upstreams may be a part that prompts share, so that each request
with it is another one. All parts of the lost prompts are suspects then; those
that sound requests have too are cleared by them. Parts that were only lost
together are refused together.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import crash_evidence
from tamaracktide.core import part_evidence
from tamaracktide.core import upstream_entries
from tamaracktide.entry import requests
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

RESTART_DETECTION_S = 8.0
"""Time within which the restart of a crashed upstream becomes visible."""

REQUEST_SETTINGS = crash_evidence.EvidenceSettings(crashes=3)
"""Two lost upstreams can be a coincidence while they end for other reasons."""

PART_SETTINGS = crash_evidence.EvidenceSettings(crashes=4, requests=2)
"""One crash more, as many parts are lost with each upstream, and one below the
number from which the platform counts. One request alone is quarantined as such.
"""

REPLY_TIME_S = 0.5
"""Time in which notices pass through relays and back. Until then, a part that
upstreams had in common as many of them ended may still be a sound one."""

MAX_CRASHES = 256
RETRY_AFTER_S = 5.0

_Incarnation = tuple[str, int]
"""Instance id of an upstream and its start time, Unix milliseconds."""


@dataclasses.dataclass(slots=True)
class _Losses:
    """Requests that an upstream was running when its responses broke off.

    Attributes:
        parts_by_request: Shared parts of their prompts, by fingerprint.
        last_at: Time of the last loss, seconds of the monotonic clock.
    """

    parts_by_request: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    last_at: float = 0.0


class CrashTracker:
    """Correlates lost responses with the ends of upstreams."""

    def __init__(
        self,
        announce: Callable[[entry_messages.CrashNotice], None],
        is_relayed: Callable[[], bool] = lambda: False,
    ) -> None:
        """Starts without suspects.

        Args:
            announce: Sends a notice to the other instances.
            is_relayed: Whether notices pass through relays.
        """
        self._announce = announce
        self._is_relayed = is_relayed
        self._requests = crash_evidence.CrashEvidence(REQUEST_SETTINGS)
        self._parts = part_evidence.PartEvidence(PART_SETTINGS)
        self._losses: dict[_Incarnation, _Losses] = {}
        self._crashes: collections.OrderedDict[_Incarnation, set[str]] = (
            collections.OrderedDict()
        )
        self._waiting: dict[anyio.CancelScope, requests.ClientRequest] = {}

    def record_loss(
        self,
        request: requests.ClientRequest,
        entry: upstream_entries.UpstreamEntry,
    ) -> None:
        """Records that a response was interrupted."""
        incarnation = (entry.upstream, entry.started_ms)
        losses = self._losses.setdefault(incarnation, _Losses())
        losses.parts_by_request[request.fingerprint] = request.parts
        losses.last_at = anyio.current_time()

    def record_survival(self, request: requests.ClientRequest) -> None:
        """Records that a request did not crash the upstream that ran it."""
        now = anyio.current_time()
        self._requests.record_survival(request.fingerprint, now)
        for part in request.parts:
            self._parts.record_survival(part, now)

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
            elif now >= losses.last_at + RESTART_DETECTION_S:
                del self._losses[incarnation]

    def apply_notice(
        self, notice: entry_messages.CrashNotice
    ) -> entry_messages.CrashNotice | None:
        """Counts the losses that another instance observed.

        Announces which of the suspected parts have survived here.

        Returns:
            What of it was not known, None for nothing.
        """
        for part in notice.survived:
            self._parts.clear(part, anyio.current_time())
        added = self._count(
            (notice.upstream, notice.started_ms), notice.requests
        )
        if not added:
            return None
        survived = self._list_survived(added)
        if survived:
            self._announce(
                dataclasses.replace(notice, requests={}, survived=survived)
            )
        return dataclasses.replace(notice, requests=added)

    def apply_quarantined(
        self, quarantined: crash_evidence.Quarantined
    ) -> None:
        """Applies what another instance has quarantined."""
        if not (quarantined.requests or quarantined.groups):
            return
        now = anyio.current_time()
        self._requests.apply_quarantined(quarantined.requests, now)
        self._parts.apply_told(quarantined.groups, now)
        self._refuse_waiting()

    def list_announced(self) -> crash_evidence.Quarantined:
        """Returns what other instances should refuse too."""
        now = anyio.current_time()
        return crash_evidence.Quarantined(
            requests=self._requests.list_announced(now),
            groups=self._parts.list_announced(now),
        )

    def is_refused(self, request: requests.ClientRequest) -> bool:
        """Whether a request, or parts of its prompt, are quarantined."""
        now = anyio.current_time()
        return self._requests.is_quarantined(
            request.fingerprint, now
        ) or self._parts.is_refused(request.parts, now)

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
        with anyio.CancelScope() as scope:
            self._waiting[scope] = request
            try:
                yield
            finally:
                del self._waiting[scope]
        if scope.cancelled_caught:
            raise _make_refusal()

    def _count_losses(self, incarnation: _Incarnation) -> None:
        """Counts the losses of an upstream that has ended, and announces it."""
        losses = self._losses.pop(incarnation, None)
        if losses is None:
            return
        survived = self._list_survived(losses.parts_by_request)
        added = self._count(
            incarnation,
            {
                fingerprint: tuple(p for p in parts if p not in survived)
                for fingerprint, parts in losses.parts_by_request.items()
            },
        )
        if not added:
            return
        upstream, started_ms = incarnation
        self._announce(
            entry_messages.CrashNotice(
                upstream=upstream,
                started_ms=started_ms,
                requests=added,
                survived=survived,
            )
        )

    def _list_survived(
        self, parts_by_request: Mapping[str, tuple[str, ...]]
    ) -> tuple[str, ...]:
        """Returns the parts with which requests have survived here."""
        now = anyio.current_time()
        parts = {part for parts in parts_by_request.values() for part in parts}
        return tuple(
            sorted(p for p in parts if self._parts.has_survived(p, now))
        )

    def _count(
        self,
        incarnation: _Incarnation,
        parts_by_request: Mapping[str, tuple[str, ...]],
    ) -> dict[str, tuple[str, ...]]:
        """Counts each loss once; returns those that were not known."""
        known = self._crashes.setdefault(incarnation, set())
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        added = {
            fingerprint: parts
            for fingerprint, parts in parts_by_request.items()
            if fingerprint not in known
        }
        known.update(added)
        now = anyio.current_time()
        hold_s = REPLY_TIME_S if self._is_relayed() else 0.0
        for fingerprint in added:
            self._requests.record_crash(
                fingerprint, incarnation, fingerprint, now
            )
        self._parts.record_crash(incarnation, added, now, hold_s=hold_s)
        self._log_crash(incarnation, added, now)
        self._refuse_waiting()
        return added

    def _log_crash(
        self,
        incarnation: _Incarnation,
        added: Mapping[str, tuple[str, ...]],
        now: float,
    ) -> None:
        upstream, started_ms = incarnation
        logs.bind(
            upstream=upstream,
            started_ms=started_ms,
            requests=list(added),
            quarantined=[
                name
                for name in added
                if self._requests.is_quarantined(name, now)
            ],
            quarantined_groups=self._parts.list_announced(now),
        ).info("upstream ended with requests in progress")

    def _refuse_waiting(self) -> None:
        """Refuses the waiting requests that are quarantined by now."""
        for scope, request in list(self._waiting.items()):
            if self.is_refused(request):
                scope.cancel()


def _make_refusal() -> errors.RefusalError:
    return errors.RefusalError(
        result_codes.ResultCode.QUARANTINED,
        "request or a part of its prompt has crashed upstreams",
        RETRY_AFTER_S,
    )
