"""Screens requests against the quarantine and updates it from releases."""

import dataclasses

from tamaracktide.core import quarantine as quarantine_core
from tamaracktide.observability import logs
from tamaracktide.protocol import messages
from tamaracktide.scheduler import gateways


def screen(
    quarantine: quarantine_core.Quarantine,
    request: messages.GrantRequest,
    now: float,
) -> messages.GrantRequest | None:
    """Returns the request to submit, or None if it is quarantined.

    A suspected request is marked to run exclusively on its upstream.
    """
    if quarantine.is_quarantined(request.fingerprint, now):
        return None
    if quarantine.must_run_alone(request.fingerprint, now):
        return dataclasses.replace(request, alone=True)
    return request


def apply_release(
    quarantine: quarantine_core.Quarantine,
    tracked: gateways.TrackedRequest,
    release: messages.GrantRelease,
    now: float,
) -> None:
    """Records in the quarantine how a granted request ended."""
    if release.suspect:
        quarantine.record_loss(release.suspect, tracked.alone, now)
        logs.bind(
            request_id=release.request_id, upstream=release.upstream
        ).warning("upstream lost while it ran a suspected request")
    elif not release.lost and release.generated_tokens:
        quarantine.record_completion(tracked.fingerprint, tracked.alone, now)
