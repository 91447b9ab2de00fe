"""Which orders an engine gets, one at a time, each with a precondition.

An order names how many orders the engine has accepted before. The engine
checks that when it carries the order out, so an order that was thought lost
and arrives late does nothing if a newer one was accepted, and is seen in the
count if none was. What the engine holds at a given count is therefore known
exactly, and it is never ordered to hold more than its slots.
"""

from collections.abc import Callable
import dataclasses
import enum

from tamaracktide import invariants
from tamaracktide.core import upstream_entries

MOST_COMING = 4
"""Adapters that an engine fetches at a time, as the platform's pages say."""

RELOAD_FACTOR = 0.1
"""Part of the usual time for an adapter that the engine held recently."""

REMEMBERED_ADAPTERS = 100
"""Adapters that an engine is taken to still have at hand; the platform's
engines keep 120 in host memory."""

LAG_S = 0.3
"""Age that a report may have; an older order that it does not count was not
carried out, such as an unload that still waits for its runs."""

KEEP_S = 1.0
"""Time for which a new adapter is not unloaded before it was seen in use: the
requests that it was loaded for are about to use it, and an unload would wait
for them."""

READY_MARGIN_S = 0.012
"""Added to the expected end of a load: a request that comes too early is
rejected, which costs a repeat."""


class Operation(enum.Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to an engine.

    Attributes:
        operation: What to do.
        model: Base model.
        adapter: Adapter; empty for the model itself.
        version: Version to load; 0 for the newest.
        after: Orders that the engine must have accepted before.
    """

    operation: Operation
    model: str
    adapter: str = ""
    version: int = 0
    after: int


class Outcome(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    IN_EFFECT = "already so"
    CONFLICT = "other count, or busy"
    REFUSED = "refused for good"
    UNCERTAIN = "no answer"


@dataclasses.dataclass(slots=True, kw_only=True)
class Held:
    """An adapter that an engine has, or fetches.

    Attributes:
        version: Its version.
        ready_at: When it can be used, seconds.
        was_used: Whether it was seen in use since it was loaded.
    """

    version: int
    ready_at: float
    was_used: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadRequest:
    """A load that somebody asked for.

    Attributes:
        load_request_id: Id of who asked.
        model: Base model.
        adapter: Adapter.
        version: Least version that helps; 0 for any.
    """

    load_request_id: str
    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A wish that will be fulfilled.

    Attributes:
        load_request_id: The wish.
        ready_at: When the adapter can be used, seconds.
    """

    load_request_id: str
    ready_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A wish that this engine does not fulfil now.

    Attributes:
        load_request_id: The wish.
        reason: Why.
        declined: Whether the engine could not take it now, rather than
            failed to carry it out.
    """

    load_request_id: str
    reason: str
    declined: bool = False


LoadResult = Accepted | Rejected

RateAdapter = Callable[[str, str], float]
"""Returns the expected requests a second for an adapter of a model."""

IsInUse = Callable[[str, str], bool]
"""Whether a request runs with an adapter on this engine."""


class EngineOrders:
    """Orders of one engine, decided by the holder of its cell's lease.

    Attributes:
        upstream: Instance id of the engine.
        started_ms: Lifetime of the engine that the state belongs to.
        orders: Orders that it has accepted, as far as is known.
        adapters: Adapters by model.
        is_state_known: Whether the state is known exactly at this count.
        model_ready_at: When a model that is being loaded can be used.
    """

    __slots__ = (
        "_changed_at",
        "_load_s",
        "_pending",
        "_recent",
        "_slots",
        "_wishes",
        "adapters",
        "is_state_known",
        "model_ready_at",
        "orders",
        "started_ms",
        "upstream",
    )

    def __init__(self, upstream: str, slots: int, load_s: float) -> None:
        """Starts without knowing the engine's state.

        Args:
            upstream: Instance id of the engine.
            slots: Adapters that it can hold.
            load_s: Usual time to fetch an adapter.
        """
        self.upstream = upstream
        self.started_ms = 0
        self.orders = 0
        self.adapters: dict[str, dict[str, Held]] = {}
        self.is_state_known = False
        self.model_ready_at: dict[str, float] = {}
        self._slots = slots
        self._load_s = load_s
        self._wishes: dict[tuple[str, str], list[LoadRequest]] = {}
        self._recent: dict[tuple[str, str], None] = {}
        self._pending: Order | None = None
        self._changed_at = float("-inf")

    @property
    def has_work(self) -> bool:
        """Whether an order may be due."""
        return bool(self._wishes)

    def restart(self, started_ms: int) -> None:
        """Forgets a former lifetime of the engine."""
        self.started_ms = started_ms
        self.orders = 0
        self.adapters = {}
        self.model_ready_at = {}
        self.is_state_known = False
        self._pending = None

    def apply_report(
        self, report: upstream_entries.UpstreamReport, now: float
    ) -> bool:
        """Takes in the engine's own account, unless it is older than known.

        Returns:
            Whether it was taken in.
        """
        if report.started_ms < self.started_ms:
            return False
        if report.started_ms > self.started_ms:
            self.restart(report.started_ms)
        if report.orders < self.orders and now < self._changed_at + LAG_S:
            return False
        known = self.adapters
        self.orders = report.orders
        self.adapters = {}
        for model, adapters in report.models.items():
            held = self.adapters.setdefault(model, {})
            for adapter, version in adapters.items():
                before = known.get(model, {}).get(adapter)
                if before is None or before.version != version:
                    before = Held(version=version, ready_at=0.0)
                before.ready_at = min(now, before.ready_at)
                held[adapter] = before
        for model, adapters in report.coming.items():
            held = self.adapters.setdefault(model, {})
            for adapter, version in adapters.items():
                before = known.get(model, {}).get(adapter)
                ready_at = now + self._load_s
                if before is not None and before.version == version:
                    ready_at = min(ready_at, before.ready_at)
                held[adapter] = Held(version=version, ready_at=ready_at)
        self.is_state_known = not report.busy
        self._pending = None
        return True

    def wish(self, wish: LoadRequest, now: float) -> LoadResult | None:
        """Takes a wish in; returns its answer if it is known at once."""
        held = self.adapters.get(wish.model, {}).get(wish.adapter)
        if (
            held is not None
            and self.is_state_known
            and held.version >= wish.version
        ):
            return Accepted(wish.load_request_id, max(now, held.ready_at))
        key = (wish.model, wish.adapter)
        self._wishes.setdefault(key, []).append(wish)
        return None

    def reject_all(self, reason: str, *, declined: bool) -> list[LoadResult]:
        """Drops every wish."""
        answers: list[LoadResult] = [
            Rejected(wish.load_request_id, reason, declined)
            for wishes in self._wishes.values()
            for wish in wishes
        ]
        self._wishes.clear()
        return answers

    def count_loading(self, now: float) -> int:
        """Returns how many adapters the engine fetches now."""
        return sum(
            held.ready_at > now
            for adapters in self.adapters.values()
            for held in adapters.values()
        )

    def find_next(
        self, rate: RateAdapter, in_use: IsInUse, now: float
    ) -> tuple[Order | None, list[LoadResult]]:
        """Returns the next order, and answers to wishes that need none.

        Args:
            rate: How much an adapter is asked for.
            in_use: Whether an adapter of this engine is in use.
            now: Present time, seconds.
        """
        answers: list[LoadResult] = []
        if not self.is_state_known:
            return None, answers
        for key in list(self._wishes):
            model, adapter = key
            held = self.adapters.get(model, {}).get(adapter)
            newest = max(wish.version for wish in self._wishes[key])
            if held is not None and held.version >= newest:
                answers.extend(self._fulfil(key, max(now, held.ready_at)))
                continue
            if model not in self.adapters:
                answers.extend(self._decline(key, "the model is not loaded"))
                continue
            if held is not None and in_use(model, adapter):
                # The engine replaces a version only once its runs have
                # ended; another engine has the new one sooner.
                answers.extend(self._decline(key, "an older version is in use"))
                continue
            if self.count_loading(now) >= MOST_COMING:
                break
            order = self._plan(key, newest, held, rate, in_use, now)
            if order is None:
                reason = self._describe_slots(in_use, now)
                answers.extend(self._decline(key, reason))
                continue
            self._pending = order
            return order, answers
        return None, answers

    def _plan(
        self,
        key: tuple[str, str],
        version: int,
        held: Held | None,
        rate: RateAdapter,
        in_use: IsInUse,
        now: float,
    ) -> Order | None:
        model, adapter = key
        if held is None and self._count_held() >= self._slots:
            victim = self._find_victim(rate, in_use, now)
            if victim is None:
                return None
            return Order(
                operation=Operation.UNLOAD,
                model=victim[0],
                adapter=victim[1],
                after=self.orders,
            )
        return Order(
            operation=Operation.LOAD,
            model=model,
            adapter=adapter,
            version=version,
            after=self.orders,
        )

    def plan_model(self, model: str) -> Order:
        """Returns the order that loads a base model."""
        order = Order(operation=Operation.LOAD, model=model, after=self.orders)
        self._pending = order
        return order

    def record_outcome(
        self, order: Order, outcome: Outcome, now: float, load_s: float
    ) -> list[LoadResult]:
        """Takes in what became of the order that `find_next` gave.

        Args:
            order: The order.
            outcome: What became of it.
            now: Present time, seconds.
            load_s: Time that a load of this kind takes now.
        """
        if self._pending is not order:
            return []
        self._pending = None
        match outcome:
            case Outcome.ACCEPTED:
                self.orders += 1
                self._changed_at = now
                if order.operation is Operation.UNLOAD:
                    # It waits for runs, and keeps its slot until they end.
                    self.is_state_known = False
                    return []
                return self._apply(order, now, load_s)
            case Outcome.IN_EFFECT:
                if order.operation is Operation.UNLOAD:
                    # An adapter that no request uses is unloaded at once.
                    self.orders += 1
                    self._changed_at = now
                    return self._apply(order, now, load_s)
                self.is_state_known = False
                return []
            case Outcome.REFUSED:
                self.is_state_known = False
                return self._reject(
                    (order.model, order.adapter), "the engine refuses"
                )
            case Outcome.CONFLICT | Outcome.UNCERTAIN:
                self.is_state_known = False
                return []

    def _apply(
        self, order: Order, now: float, load_s: float
    ) -> list[LoadResult]:
        key = (order.model, order.adapter)
        if not order.adapter:
            self.model_ready_at[order.model] = now + load_s
            self.is_state_known = False
            return []
        adapters = self.adapters.setdefault(order.model, {})
        if order.operation is Operation.UNLOAD:
            adapters.pop(order.adapter, None)
            return []
        expected_s = load_s
        if key in self._recent and order.adapter not in adapters:
            expected_s *= RELOAD_FACTOR
        self._remember(key)
        ready_at = now + expected_s + READY_MARGIN_S
        adapters[order.adapter] = Held(version=order.version, ready_at=ready_at)
        invariants.check(
            self._count_held() <= self._slots,
            f"{self.upstream}: {self._count_held()} adapters ordered, "
            f"{self._slots} slots",
        )
        return self._fulfil(key, ready_at)

    def _remember(self, key: tuple[str, str]) -> None:
        self._recent.pop(key, None)
        self._recent[key] = None
        if len(self._recent) > REMEMBERED_ADAPTERS:
            del self._recent[next(iter(self._recent))]

    def _describe_slots(self, in_use: IsInUse, now: float) -> str:
        """Returns why no slot can be freed."""
        used = coming = 0
        for model, adapters in self.adapters.items():
            for adapter, held in adapters.items():
                if now < held.ready_at:
                    coming += 1
                elif in_use(model, adapter):
                    used += 1
        new = self._count_held() - used - coming
        return (
            f"no slot is free: {used} in use, {coming} coming, "
            f"{new} wanted or too new"
        )

    def _count_held(self) -> int:
        return sum(len(adapters) for adapters in self.adapters.values())

    def _find_victim(
        self, rate: RateAdapter, in_use: IsInUse, now: float
    ) -> tuple[str, str] | None:
        """Returns the adapter that is missed least, None if all are used."""
        best: tuple[str, str] | None = None
        best_rate = float("inf")
        for model, adapters in self.adapters.items():
            for adapter, held in adapters.items():
                if in_use(model, adapter):
                    held.was_used = True
                    continue
                if now < held.ready_at + (0.0 if held.was_used else KEEP_S):
                    continue
                if (model, adapter) in self._wishes:
                    continue
                missed = rate(model, adapter)
                if missed < best_rate:
                    best, best_rate = (model, adapter), missed
        return best

    def _fulfil(
        self, key: tuple[str, str], ready_at: float
    ) -> list[LoadResult]:
        return [
            Accepted(wish.load_request_id, ready_at)
            for wish in self._wishes.pop(key, [])
        ]

    def _decline(self, key: tuple[str, str], reason: str) -> list[LoadResult]:
        wishes = self._wishes.pop(key, [])
        return [Rejected(wish.load_request_id, reason, True) for wish in wishes]

    def _reject(self, key: tuple[str, str], reason: str) -> list[LoadResult]:
        wishes = self._wishes.pop(key, [])
        return [Rejected(wish.load_request_id, reason) for wish in wishes]
