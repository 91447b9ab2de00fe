"""Screens requests that may crash upstreams and judges how they ended."""

import dataclasses

from tamaracktide.core import quarantine as quarantine_core
from tamaracktide.observability import logs
from tamaracktide.protocol import messages
from tamaracktide.scheduler import gateways


def screen(
    known: quarantine_core.Quarantine,
    request: messages.GrantRequest,
    now: float,
) -> messages.GrantRequest | None:
    """Returns a request, alone if it is a suspect, None if quarantined."""
    if known.is_quarantined(request.fingerprint, now):
        return None
    if known.must_run_alone(request.fingerprint, now):
        return dataclasses.replace(request, alone=True)
    return request


def judge(
    known: quarantine_core.Quarantine,
    held: gateways.Held,
    release: messages.GrantRelease,
    now: float,
) -> None:
    """Draws conclusions from how a granted request ended."""
    if release.suspect:
        known.record_loss(release.suspect, held.alone, now)
        logs.bind(
            request_id=release.request_id, upstream=release.upstream
        ).warning("upstream lost while the request ran")
    elif not release.lost and release.generated_tokens:
        known.record_completion(held.fingerprint, held.alone, now)
