"""Tests that the platform's names occur in its adapter and tests only."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

# `AdapterSlots` is excluded: an unrelated class of the engine stand-in has the
# same name, and had it before the platform's interface was published.
ADAPTER_TESTS = ROOT / "tests" / "fleet"

NAMES = (
    "ApiKeys",
    "AtHand",
    "BudgetWindowS",
    "ColdRemainingMs",
    "CurrentRev",
    "FencingToken",
    "GapAimMs",
    "HealthPath",
    "InternalPorts",
    "Kv-Fetch",
    "Kv-From",
    "KvCapacity",
    "KvTokenBytes",
    "LoadsPerS",
    "MachineClass",
    "MaxAttempts",
    "NodeName",
    "OnDisk",
    "PlainTokens",
    "QuotaWindowS",
    "RatePerS",
    "PathPrefix",
    "RetryBudgetRatio",
    "Server-Brittle",
    "Server-Limit",
    "Store-Era",
    "SessionAffinity",
    "TargetLatencyMs",
    "TimeoutMs",
    "TrafficSplit",
    "WaitMs",
    "WeightsMb",
    "X-Deadline-Ms",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Hold",
    "X-Instance-Id",
    "X-Kv-Backup",
    "X-Length-Hint",
    "X-Model",
    "X-Not-Executed",
    "X-Pin-Ms",
    "X-Prompt-Prefix",
    "X-Request-Priority",
    "X-Tenant",
    "X-Response-Signature",
    "X-Token-Count",
    "X-Weight-Versions",
    "config/main",
)
PATTERN = re.compile(
    r"(?<![A-Za-z0-9_-])("
    + "|".join(re.escape(name) for name in NAMES)
    + r")(?![A-Za-z0-9_-])",
    re.IGNORECASE,
)


def test_wire_names_occur_only_in_the_adapter() -> None:
    """Sources, scripts and other tests do not use the platform's names."""
    found = [
        f"{path.relative_to(ROOT)}:{number}: {match.group(0)}"
        for folder in ("src", "scripts", "examples", "tests")
        for path in sorted((ROOT / folder).rglob("*.py"))
        if path.parent != ADAPTER_TESTS
        for number, line in enumerate(path.read_text().splitlines(), 1)
        for match in PATTERN.finditer(line)
    ]
    assert found == []


def test_adapter_stays_small() -> None:
    """The adapter has less than a tenth of the lines of the sources."""
    sizes = {
        folder: sum(
            len(path.read_text().splitlines())
            for path in (ROOT / folder).rglob("*.py")
        )
        for folder in ("src", "platform")
    }
    assert sizes["platform"] < sizes["src"] / 10
