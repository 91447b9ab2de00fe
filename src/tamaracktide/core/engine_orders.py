"""Chooses the orders of an engine, one at a time, each with a precondition.

An order names the number of orders that the engine has accepted before. The
engine checks this count when it executes the order. An order that was assumed
lost and arrives late is therefore rejected if a newer one has been accepted;
otherwise it shows in the count. The adapters of an engine at a given count are
thus known exactly, and no order makes it exceed its adapter slots.
"""

from collections.abc import Callable
import dataclasses
import enum

from tamaracktide import invariants
from tamaracktide.core import upstream_entries

MAX_LOADING = 4
"""Adapters that an engine fetches concurrently, as the platform documents."""

RELOAD_FACTOR = 0.1
"""Load time of an adapter in the host cache, relative to the usual one."""

MAX_HOST_CACHED_ADAPTERS = 100
"""Adapters that an engine is assumed to have in its host cache; the engines of
the platform cache 120 in host memory."""

MAX_REPORT_AGE_S = 0.3
"""Maximum age of a report. An order that was sent earlier than this and is not
in the report's count has not been executed, such as an unload that still waits
for running requests."""

MIN_RESIDENCY_S = 1.0
"""Time after a load during which an adapter that has not been used yet is not
unloaded: the requests that it was loaded for are about to use it, and an
unload would wait for them."""

READY_MARGIN_S = 0.012
"""Added to the expected end of a load: a request that arrives too early is
rejected and has to be retried."""


class Operation(enum.Enum):
    """Operation of an order."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to an engine.

    Attributes:
        operation: Operation to execute.
        model: Base model.
        adapter: Adapter; empty for the model itself.
        version: Version to load; 0 for the newest.
        after: Precondition: number of orders that the engine has accepted.
    """

    operation: Operation
    model: str
    adapter: str = ""
    version: int = 0
    after: int


class Outcome(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    IN_EFFECT = "already so"
    CONFLICT = "other count, or busy"
    REFUSED = "refused for good"
    UNCERTAIN = "no answer"


@dataclasses.dataclass(slots=True, kw_only=True)
class AdapterState:
    """An adapter that an engine has loaded or is loading.

    Attributes:
        version: Version of the adapter.
        ready_at: Time at which the adapter becomes usable, seconds.
        was_used: Whether it has been observed in use since its load.
    """

    version: int
    ready_at: float
    was_used: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadRequest:
    """A request to load an adapter.

    Attributes:
        load_request_id: Id of the load request.
        model: Base model.
        adapter: Adapter.
        version: Minimum version; 0 for any.
    """

    load_request_id: str
    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted load request.

    Attributes:
        load_request_id: Id of the load request.
        ready_at: Time at which the adapter becomes usable, seconds.
    """

    load_request_id: str
    ready_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A load request that this engine does not serve now.

    Attributes:
        load_request_id: Id of the load request.
        reason: Reason for the rejection.
        declined: Whether the engine cannot accept the load now, as opposed to
            a load that failed.
    """

    load_request_id: str
    reason: str
    declined: bool = False


LoadResult = Accepted | Rejected

GetRequestRate = Callable[[str, str], float]
"""Returns the expected requests per second for an adapter of a model."""

IsInUse = Callable[[str, str], bool]
"""Returns whether a request is running with an adapter on this engine."""


class EngineOrders:
    """Orders of one engine, chosen by the lease holder of its cell.

    Attributes:
        upstream: Instance id of the engine.
        started_ms: Start time of the engine's incarnation that the tracked
            state belongs to, Unix milliseconds.
        orders: Number of accepted orders in the tracked state.
        adapters: Adapters by model.
        is_state_known: Whether the state of the engine at this count is known
            exactly.
        model_ready_at: Time at which a loading model becomes usable, seconds.
        keeps_adapters: Whether no adapter is evicted for another one now.
    """

    __slots__ = (
        "_changed_at",
        "_host_cached",
        "_load_requests",
        "_load_s",
        "_pending",
        "_slots",
        "adapters",
        "is_state_known",
        "keeps_adapters",
        "model_ready_at",
        "orders",
        "started_ms",
        "upstream",
    )

    def __init__(self, upstream: str, slots: int, load_s: float) -> None:
        """Starts with an unknown engine state.

        Args:
            upstream: Instance id of the engine.
            slots: Number of adapter slots.
            load_s: Usual time to fetch an adapter.
        """
        self.upstream = upstream
        self.started_ms = 0
        self.orders = 0
        self.adapters: dict[str, dict[str, AdapterState]] = {}
        self.is_state_known = False
        self.model_ready_at: dict[str, float] = {}
        self.keeps_adapters = False
        self._slots = slots
        self._load_s = load_s
        self._load_requests: dict[tuple[str, str], list[LoadRequest]] = {}
        self._host_cached: dict[tuple[str, str], None] = {}
        self._pending: Order | None = None
        self._changed_at = float("-inf")

    @property
    def has_work(self) -> bool:
        """Whether load requests are pending."""
        return bool(self._load_requests)

    def restart(self, started_ms: int) -> None:
        """Discards the state of the engine's previous incarnation."""
        self.started_ms = started_ms
        self.orders = 0
        self.adapters = {}
        self.model_ready_at = {}
        self.is_state_known = False
        self._pending = None

    def apply_report(
        self, report: upstream_entries.UpstreamReport, now: float
    ) -> bool:
        """Applies a report of the engine unless it is stale.

        Returns:
            Whether the report was applied.
        """
        if report.started_ms < self.started_ms:
            return False
        if report.started_ms > self.started_ms:
            self.restart(report.started_ms)
        if (
            report.orders < self.orders
            and now < self._changed_at + MAX_REPORT_AGE_S
        ):
            return False
        previous = self.adapters
        self.orders = report.orders
        self.adapters = {}
        for model, adapters in report.models.items():
            states = self.adapters.setdefault(model, {})
            for adapter, version in adapters.items():
                prior = previous.get(model, {}).get(adapter)
                if prior is None or prior.version != version:
                    prior = AdapterState(version=version, ready_at=0.0)
                prior.ready_at = min(now, prior.ready_at)
                states[adapter] = prior
        for model, adapters in report.coming.items():
            states = self.adapters.setdefault(model, {})
            for adapter, version in adapters.items():
                prior = previous.get(model, {}).get(adapter)
                ready_at = now + self._load_s
                if prior is not None and prior.version == version:
                    ready_at = min(ready_at, prior.ready_at)
                states[adapter] = AdapterState(
                    version=version, ready_at=ready_at
                )
        self.is_state_known = not report.busy
        self._pending = None
        return True

    def submit(self, request: LoadRequest, now: float) -> LoadResult | None:
        """Queues a load request; returns its result if already known."""
        state = self.adapters.get(request.model, {}).get(request.adapter)
        if (
            state is not None
            and self.is_state_known
            and state.version >= request.version
        ):
            return Accepted(request.load_request_id, max(now, state.ready_at))
        key = (request.model, request.adapter)
        self._load_requests.setdefault(key, []).append(request)
        return None

    def reject_all(self, reason: str, *, declined: bool) -> list[LoadResult]:
        """Rejects all pending load requests."""
        results: list[LoadResult] = [
            Rejected(request.load_request_id, reason, declined)
            for requests in self._load_requests.values()
            for request in requests
        ]
        self._load_requests.clear()
        return results

    def count_loading(self, now: float) -> int:
        """Returns how many adapters the engine is loading."""
        return sum(
            state.ready_at > now
            for adapters in self.adapters.values()
            for state in adapters.values()
        )

    def find_next(
        self, rate: GetRequestRate, in_use: IsInUse, now: float
    ) -> tuple[Order | None, list[LoadResult]]:
        """Returns the next order, and results of requests that need no order.

        Args:
            rate: Returns the expected request rate of an adapter.
            in_use: Returns whether an adapter of this engine is in use.
            now: Current time, seconds.
        """
        results: list[LoadResult] = []
        if not self.is_state_known:
            return None, results
        for key in list(self._load_requests):
            model, adapter = key
            state = self.adapters.get(model, {}).get(adapter)
            min_version = max(
                request.version for request in self._load_requests[key]
            )
            if state is not None and state.version >= min_version:
                results.extend(self._accept(key, max(now, state.ready_at)))
                continue
            if model not in self.adapters:
                results.extend(
                    self._decline(key, "the base model is not loaded")
                )
                continue
            if state is not None and in_use(model, adapter):
                # The engine replaces a version only after its running
                # requests have ended; another engine has the new version
                # sooner.
                results.extend(
                    self._decline(
                        key, "an older version of the adapter is in use"
                    )
                )
                continue
            if self.count_loading(now) >= MAX_LOADING:
                break
            order = self._plan(key, min_version, state, rate, in_use, now)
            if order is None:
                reason = self._describe_slots(in_use, now)
                results.extend(self._decline(key, reason))
                continue
            self._pending = order
            return order, results
        return None, results

    def _plan(
        self,
        key: tuple[str, str],
        version: int,
        state: AdapterState | None,
        rate: GetRequestRate,
        in_use: IsInUse,
        now: float,
    ) -> Order | None:
        model, adapter = key
        if state is None and self._count_adapters() >= self._slots:
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
        """Records the outcome of an order returned by `find_next`.

        Args:
            order: The order.
            outcome: Outcome of the order.
            now: Current time, seconds.
            load_s: Expected duration of such a load now.
        """
        if self._pending is not order:
            return []
        self._pending = None
        match outcome:
            case Outcome.ACCEPTED:
                self.orders += 1
                self._changed_at = now
                if order.operation is Operation.UNLOAD:
                    # The unload waits for running requests, and the adapter
                    # keeps its slot until they have ended.
                    self.is_state_known = False
                    return []
                return self._apply(order, now, load_s)
            case Outcome.IN_EFFECT:
                if order.operation is Operation.UNLOAD:
                    # The engine unloads an unused adapter immediately.
                    self.orders += 1
                    self._changed_at = now
                    return self._apply(order, now, load_s)
                self.is_state_known = False
                return []
            case Outcome.REFUSED:
                self.is_state_known = False
                return self._reject(
                    (order.model, order.adapter), "the engine refused the order"
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
        if key in self._host_cached and order.adapter not in adapters:
            expected_s *= RELOAD_FACTOR
        self._record_host_cached(key)
        ready_at = now + expected_s + READY_MARGIN_S
        adapters[order.adapter] = AdapterState(
            version=order.version, ready_at=ready_at
        )
        invariants.check(
            self._count_adapters() <= self._slots,
            f"engine {self.upstream} has orders for {self._count_adapters()} "
            f"adapters but only {self._slots} adapter slots",
        )
        return self._accept(key, ready_at)

    def _record_host_cached(self, key: tuple[str, str]) -> None:
        self._host_cached.pop(key, None)
        self._host_cached[key] = None
        if len(self._host_cached) > MAX_HOST_CACHED_ADAPTERS:
            del self._host_cached[next(iter(self._host_cached))]

    def _describe_slots(self, in_use: IsInUse, now: float) -> str:
        """Describes why no adapter slot can be freed."""
        if self.keeps_adapters:
            return "no adapter slot is free: evictions are suspended"
        in_use_count = loading_count = 0
        for model, adapters in self.adapters.items():
            for adapter, state in adapters.items():
                if now < state.ready_at:
                    loading_count += 1
                elif in_use(model, adapter):
                    in_use_count += 1
        protected = self._count_adapters() - in_use_count - loading_count
        return (
            f"no adapter slot is free: {in_use_count} in use, "
            f"{loading_count} loading, {protected} requested or newly loaded"
        )

    def _count_adapters(self) -> int:
        return sum(len(adapters) for adapters in self.adapters.values())

    def _find_victim(
        self, rate: GetRequestRate, in_use: IsInUse, now: float
    ) -> tuple[str, str] | None:
        """Returns the evictable adapter with the lowest request rate.

        Returns:
            Model and adapter; None if no adapter can be evicted.
        """
        if self.keeps_adapters:
            return None
        victim_key: tuple[str, str] | None = None
        lowest_rate = float("inf")
        for model, adapters in self.adapters.items():
            for adapter, state in adapters.items():
                if in_use(model, adapter):
                    state.was_used = True
                    continue
                if now < state.ready_at + (
                    0.0 if state.was_used else MIN_RESIDENCY_S
                ):
                    continue
                if (model, adapter) in self._load_requests:
                    continue
                request_rate = rate(model, adapter)
                if request_rate < lowest_rate:
                    victim_key, lowest_rate = (model, adapter), request_rate
        return victim_key

    def _accept(
        self, key: tuple[str, str], ready_at: float
    ) -> list[LoadResult]:
        return [
            Accepted(request.load_request_id, ready_at)
            for request in self._load_requests.pop(key, [])
        ]

    def _decline(self, key: tuple[str, str], reason: str) -> list[LoadResult]:
        requests = self._load_requests.pop(key, [])
        return [
            Rejected(request.load_request_id, reason, True)
            for request in requests
        ]

    def _reject(self, key: tuple[str, str], reason: str) -> list[LoadResult]:
        requests = self._load_requests.pop(key, [])
        return [
            Rejected(request.load_request_id, reason) for request in requests
        ]
