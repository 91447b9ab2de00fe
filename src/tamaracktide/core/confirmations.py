"""Which gateways have told a new owner the grants that they have in use.

A grant of an earlier owner may be in use at any gateway. A gateway that has
answered for an epoch has named those grants and accepts none of an earlier
epoch from then on. A restarted gateway has forgotten the epochs, so it must
answer again.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from tamaracktide import invariants


@dataclasses.dataclass(slots=True)
class _Answers:
    """What one incarnation of a gateway has answered for."""

    incarnation: str
    epochs: dict[str, int] = dataclasses.field(default_factory=dict)


class Confirmations:
    """The highest epoch of each upstream that each gateway answered for."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        """Starts without answers."""
        self._answers: dict[str, _Answers] = {}

    def record_start(self, gateway: str, incarnation: str) -> None:
        """Forgets what an earlier incarnation of a gateway answered."""
        known = self._answers.get(gateway)
        if known is None or known.incarnation != incarnation:
            self._answers[gateway] = _Answers(incarnation)

    def record_answer(
        self, gateway: str, incarnation: str, epochs: Mapping[str, int]
    ) -> None:
        """Takes in that a gateway named its grants of these epochs.

        The caller has counted the grants before.
        """
        self.record_start(gateway, incarnation)
        known = self._answers[gateway].epochs
        for upstream, epoch in epochs.items():
            known[upstream] = max(epoch, known.get(upstream, 0))

    def list_missing(
        self, upstream: str, epoch: int, gateways: Iterable[str]
    ) -> list[str]:
        """Returns the gateways that have not answered for an epoch, sorted."""
        return sorted(
            gateway
            for gateway in gateways
            if self._find(gateway, upstream) < epoch
        )

    def keep_only(self, gateways: Iterable[str]) -> None:
        """Forgets gateways that no longer exist."""
        kept = set(gateways)
        for gateway in self._answers.keys() - kept:
            del self._answers[gateway]

    def _find(self, gateway: str, upstream: str) -> int:
        known = self._answers.get(gateway)
        return known.epochs.get(upstream, 0) if known is not None else 0


class InheritedNames:
    """The names on one engine that an earlier epoch loaded.

    Attributes:
        names: Those names that are still loaded.
    """

    __slots__ = ("_incarnation", "names")

    def __init__(self) -> None:
        """Starts without names."""
        self._incarnation = ""
        self.names: frozenset[str] = frozenset()

    def begin(
        self, epoch: int, incarnation: str, loaded: Iterable[str]
    ) -> None:
        """Takes over an engine; the first epoch inherits nothing."""
        invariants.check(epoch > 0, f"an engine is taken at epoch {epoch}")
        self._incarnation = incarnation
        self.names = frozenset(loaded) if epoch > 1 else frozenset()

    def update(self, incarnation: str, loaded: Iterable[str]) -> None:
        """Follows the engine; what was once unloaded is never inherited."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self.names = frozenset()
        self.names &= frozenset(loaded)
