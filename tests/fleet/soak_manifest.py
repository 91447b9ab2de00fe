"""Manifests of soak runs."""

import soak_jobs
import soak_upstream

LEDGER = {"Name": "ledger", "MaxConnections": 100, "HealthPath": "/health"}
LLM = {
    "Name": "llm",
    "MaxConnections": 360,
    "HealthPath": "/health",
    "Engine": {
        "Slots": 64,
        "KvCapacity": 130000,
        "AdapterSlots": 20,
        "WeightsMb": 68000.0,
        "LoadsPerS": 4.5,
        "Stride": 3,
        "Models": [
            {
                "Name": soak_upstream.MODEL,
                "WeightsMb": 65500.0,
                "LoadS": 2.9,
                "Adapters": 3000,
                "AdapterMb": 40.0,
            }
        ],
    },
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def make_added_kind(version: int) -> soak_jobs.Kind:
    """Returns the kind of request whose route a version adds."""
    name = f"{soak_jobs.ADDED_PREFIX}{version}"
    return soak_jobs.Kind(name, "ledger", 3.0, 1, is_idempotent=True)


def make_manifest(version: int, *added: soak_jobs.Kind) -> dict[str, object]:
    """Returns a manifest with the routes of all kinds of requests, and more."""
    return {
        "Version": version,
        "Routes": [_make_route(kind) for kind in (*soak_jobs.KINDS, *added)],
        "Services": [LEDGER, LLM],
        "Limits": LIMITS,
    }


def _make_route(kind: soak_jobs.Kind) -> dict[str, object]:
    name = "streaming" if kind.is_stream else "non_idempotent"
    route: dict[str, object] = {
        "Name": kind.name,
        "Host": soak_jobs.HOST,
        "PathPrefix": f"/{kind.name}/",
        "Service": kind.service,
        "Kind": "idempotent" if kind.is_idempotent else name,
        "TimeoutMs": int(1000 * kind.budget_s),
        "TargetLatencyMs": 800 if kind.is_stream else 300,
        "Priority": 2,
        "MaxAttempts": 2 if kind.may_repeat else 1,
    }
    if kind.resumes:
        route["Resumable"] = True
    if kind.is_stream:
        route["GapAimMs"] = 250
    return route
