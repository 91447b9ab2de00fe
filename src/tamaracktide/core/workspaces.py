"""Workspaces: who may send requests, and how much of them."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import hashlib
import math

FINGERPRINT_DIGITS = 8
"""Digits of a key's digest that logs and errors show."""


class Unit(enum.Enum):
    """What a usage cap counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cap:
    """A usage cap over all instances together.

    Attributes:
        rate_per_s: Units per second; 0 for no cap.
        burst: Units that may be used beyond the rate.
        unit: What is counted.
        plain_tokens: Tokens of a request that states no number of tokens.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: Unit = Unit.REQUESTS
    plain_tokens: float = 0.0

    def measure(self, tokens: int | None) -> float:
        """Returns the units that a request uses.

        Args:
            tokens: Tokens that it states, prompt and output together; None if
                it states none.
        """
        match self.unit:
            case Unit.REQUESTS:
                return 1.0
            case Unit.TOKENS:
                return self.plain_tokens if tokens is None else float(tokens)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace, whose requests carry one of its API keys.

    Attributes:
        name: Its name.
        keys: Digests of its API keys.
        priority: Priority of its requests, which precedes that of their route;
            None for that of the route.
        cap: Its usage cap.
    """

    name: str
    keys: frozenset[str] = dataclasses.field(default=frozenset(), repr=False)
    priority: int | None = None
    cap: Cap = dataclasses.field(default_factory=Cap)


def digest_key(api_key: bytes) -> str:
    """Returns the digest that stands for an API key."""
    return hashlib.sha256(api_key).hexdigest()


def make_fingerprint(digest: str) -> str:
    """Returns what logs and operators may see of an API key."""
    return digest[:FINGERPRINT_DIGITS]


def find_problem(workspaces: Iterable[Workspace]) -> str:
    """Returns what is wrong with workspaces, or an empty string."""
    names: set[str] = set()
    holders: dict[str, str] = {}
    for workspace in workspaces:
        name, cap = workspace.name, workspace.cap
        if not name or name in names:
            return f"workspace name {name!r} is empty or not unique"
        names.add(name)
        for value in (cap.rate_per_s, cap.burst, cap.plain_tokens):
            if not (0.0 <= value < math.inf):
                return f"workspace {name!r}: cap of {value:g} is not a number"
        for digest in workspace.keys:
            holder = holders.setdefault(digest, name)
            if holder != name:
                return (
                    f"key {make_fingerprint(digest)} belongs to workspaces "
                    f"{holder!r} and {name!r}"
                )
    return ""


def index_keys(workspaces: Iterable[Workspace]) -> Mapping[str, Workspace]:
    """Returns the workspaces by the digests of their keys."""
    return {
        digest: workspace
        for workspace in workspaces
        for digest in workspace.keys
    }


def find_weights(workspaces: Iterable[Workspace]) -> dict[str, float]:
    """Returns the weights in fair queueing, by workspace.

    They are in proportion to the rates of caps of the same unit, so that a
    workspace within its cap is not delayed by one that exceeds its own.
    Workspaces without a cap weigh as much as the mean.
    """
    rates: dict[Unit, list[float]] = {}
    workspaces = tuple(workspaces)
    for workspace in workspaces:
        if workspace.cap.rate_per_s:
            rates.setdefault(workspace.cap.unit, []).append(
                workspace.cap.rate_per_s
            )
    means = {unit: sum(known) / len(known) for unit, known in rates.items()}
    return {
        workspace.name: _find_weight(workspace.cap, means)
        for workspace in workspaces
    }


MIN_WEIGHT = 0.25
"""Least weight of a workspace, as a share of the mean: a small one is served at
once when it sends a few requests."""


def _find_weight(cap: Cap, means: Mapping[Unit, float]) -> float:
    if not cap.rate_per_s:
        return 1.0
    return max(MIN_WEIGHT, cap.rate_per_s / means[cap.unit])
