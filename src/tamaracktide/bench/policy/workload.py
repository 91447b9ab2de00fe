"""Seeded workloads: requests and faults of a simulated deployment."""

import bisect
import dataclasses
import itertools
import random

from tamaracktide.core import rows

LARGE_CUSTOMER = "large"
BURST_FACTOR = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
        name: Name of the kind.
        share: Fraction of all requests.
        value: Weight of a completed request.
        mean_output_tokens: Mean length of the response.
        max_tokens: Maximum length of the response.
        deadline_s: Time from arrival to the deadline.
    """

    name: str
    share: float
    value: float
    mean_output_tokens: float
    max_tokens: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """A deployment and its load.

    Attributes:
        name: Name on the command line.
        engines: Number of engines.
        zones: Number of availability zones; engines are assigned to them in
            turn.
        full_speed_loads: Concurrent loads that the weight store serves at full
            speed.
        requests_per_s: Mean request rate outside the burst.
        large_share: Fraction of that rate from the large customer.
        large_adapters: Number of adapters of the large customer.
        kinds: Kinds of requests.
        stall_weight: Weight that the pool gives to avoiding load stalls.
        batch_weight: Weight that the pool gives to full batches.
        max_queue_s: Maximum wait for a batch slot in the pool.
        adapters: Number of adapters, including the large customer's.
        customers: Number of small customers.
        zipf_exponent: Exponent of the Zipf distribution of adapter popularity.
        slots: Adapter slots per engine.
        batch_limit: Maximum number of requests in an engine's batch.
        duration_s: Period in which requests arrive.
        warm_up_s: Initial period that is not measured.
        restarts: Number of engine restarts.
        load_failure_rate: Fraction of loads that fail.
    """

    name: str
    engines: int
    zones: int
    full_speed_loads: int
    requests_per_s: float
    large_share: float
    large_adapters: int
    kinds: tuple[Kind, ...]
    stall_weight: float
    batch_weight: float
    max_queue_s: float
    adapters: int = 3000
    customers: int = 300
    zipf_exponent: float = 1.05
    slots: int = 8
    batch_limit: int = 16
    duration_s: float = 600.0
    warm_up_s: float = 60.0
    restarts: int = 3
    load_failure_rate: float = 0.01


INTANGO = Profile(
    name="intango",
    engines=9,
    zones=3,
    full_speed_loads=16,
    requests_per_s=14.0,
    large_share=0.2,
    large_adapters=30,
    kinds=(
        Kind("welcome plan", 0.2, 3.0, 220.0, 400, 30.0),
        Kind("checklist", 0.3, 2.0, 150.0, 300, 30.0),
        Kind("answer", 0.5, 1.0, 80.0, 200, 15.0),
    ),
    stall_weight=3.0,
    batch_weight=1.0,
    max_queue_s=30.0,
)

VIILUKODA = Profile(
    name="viilukoda",
    engines=5,
    zones=3,
    full_speed_loads=8,
    requests_per_s=7.5,
    large_share=0.4,
    large_adapters=30,
    kinds=(
        Kind("draft quote", 0.3, 3.0, 250.0, 400, 60.0),
        Kind("flitch description", 0.3, 2.0, 200.0, 400, 30.0),
        Kind("grain search", 0.4, 1.0, 60.0, 200, 15.0),
    ),
    stall_weight=1.0,
    batch_weight=3.0,
    max_queue_s=60.0,
)

PROFILES = {profile.name: profile for profile in (INTANGO, VIILUKODA)}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request of the workload.

    Attributes:
        request_id: Unique request id.
        arrival: Arrival time in seconds.
        customer: Customer that sends the request.
        key: Adapter and version.
        value: Weight that counts if the request completes by its deadline.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the response, unknown to the policies.
        max_tokens: Maximum length of the response.
        deadline: Time by which the response must be complete.
        prefix: Prefix of the prompt, which an engine may have cached.
    """

    request_id: str
    arrival: float
    customer: str
    key: rows.AdapterKey
    value: float
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    deadline: float
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A restart of an engine, which loses its adapters and requests.

    Attributes:
        at: Time at which the engine stops.
        engine: Index of the engine.
        down_s: Time until the engine is up again.
    """

    at: float
    engine: int
    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FaultyLoads:
    """A period in which all loads of one engine fail.

    Attributes:
        start: Start of the period.
        end: End of the period.
        engine: Index of the engine.
    """

    start: float
    end: float
    engine: int


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """The requests and faults of one run.

    Attributes:
        profile: Deployment and load.
        seed: Seed from which the workload was generated.
        requests: Requests in order of arrival.
        restarts: Engine restarts in order of time.
        faulty_loads: Period in which the loads of one engine fail.
    """

    profile: Profile
    seed: int
    requests: tuple[Request, ...]
    restarts: tuple[Restart, ...]
    faulty_loads: FaultyLoads


class _Popularity:
    """Zipf popularity of the small customers' adapters, with shifts."""

    SHIFT_PERIOD_S = 150.0
    _HOT_RANKS = 30
    _HOT_SWAPS = 5
    _SWAP_FRACTION = 0.1

    def __init__(self, profile: Profile, rng: random.Random) -> None:
        count = profile.adapters - profile.large_adapters
        weights = (
            1.0 / rank**profile.zipf_exponent for rank in range(1, count + 1)
        )
        self._cumulative = list(itertools.accumulate(weights))
        self._by_rank = list(range(count))
        self._rng = rng
        rng.shuffle(self._by_rank)

    def shift(self) -> None:
        """Swaps hot adapters for cold ones, and cold ones with each other.

        The latter swaps affect up to a tenth of all ranks, drawn from the cold
        ones.
        """
        count = len(self._by_rank)
        for _ in range(self._HOT_SWAPS):
            self._swap(self._rng.randrange(self._HOT_RANKS))
        for _ in range(int(count * self._SWAP_FRACTION / 2)):
            self._swap(self._rng.randrange(self._HOT_RANKS, count))

    def _swap(self, rank: int) -> None:
        other_rank = self._rng.randrange(self._HOT_RANKS, len(self._by_rank))
        ranks = self._by_rank
        ranks[rank], ranks[other_rank] = ranks[other_rank], ranks[rank]

    def draw(self) -> int:
        """Returns the number of a randomly drawn adapter."""
        point = self._rng.random() * self._cumulative[-1]
        return self._by_rank[bisect.bisect_left(self._cumulative, point)]


class _Generator:
    """Generates the requests of one workload."""

    _MEAN_SESSION_REQUESTS = 3.0
    _MEAN_THINK_S = 12.0
    _SAME_ADAPTER_RATE = 0.8
    _PREFIXES_PER_ADAPTER = 3
    BURST_START = 0.4
    BURST_END = 0.6

    def __init__(self, profile: Profile, seed: int) -> None:
        self._profile = profile
        self._small = random.Random(f"{seed} small")
        self._large = random.Random(f"{seed} large")
        self._popularity = _Popularity(profile, self._small)
        self._drafts: list[tuple[float, Request]] = []

    def draw_requests(self) -> tuple[Request, ...]:
        """Returns all requests in order of arrival."""
        self._draw_small()
        self._draw_large()
        return tuple(
            sorted(
                (request for _, request in self._drafts),
                key=lambda request: request.arrival,
            )
        )

    def _draw_small(self) -> None:
        profile, rng = self._profile, self._small
        rate = profile.requests_per_s * (1 - profile.large_share)
        sessions_per_s = rate / self._MEAN_SESSION_REQUESTS
        now, shifts = 0.0, 1
        while now < profile.duration_s:
            now += rng.expovariate(sessions_per_s)
            if now >= shifts * _Popularity.SHIFT_PERIOD_S:
                self._popularity.shift()
                shifts += 1
            self._draw_session(now)

    def _draw_session(self, start: float) -> None:
        profile, rng = self._profile, self._small
        main_adapter = self._popularity.draw()
        customer = main_adapter % profile.customers
        at = start
        while at < profile.duration_s:
            adapter = main_adapter
            if rng.random() > self._SAME_ADAPTER_RATE:
                siblings = range(
                    customer,
                    profile.adapters - profile.large_adapters,
                    profile.customers,
                )
                adapter = rng.choice(siblings)
            self._add(rng, at, f"c{customer}", f"a{adapter}")
            if rng.random() < 1 / self._MEAN_SESSION_REQUESTS:
                return
            at += rng.expovariate(1 / self._MEAN_THINK_S)

    def _draw_large(self) -> None:
        profile, rng = self._profile, self._large
        adapters = [f"large{n}" for n in range(profile.large_adapters)]
        weights = [1.0 / rank for rank in range(1, len(adapters) + 1)]
        rate = profile.requests_per_s * profile.large_share
        now = 0.0
        while True:
            fraction = now / profile.duration_s
            burst = self.BURST_START <= fraction < self.BURST_END
            now += rng.expovariate(rate * (BURST_FACTOR if burst else 1.0))
            if now >= profile.duration_s:
                return
            (adapter,) = rng.choices(adapters, weights)
            self._add(rng, now, LARGE_CUSTOMER, adapter)

    def _add(
        self, rng: random.Random, at: float, customer: str, adapter: str
    ) -> None:
        kinds = self._profile.kinds
        (kind,) = rng.choices(kinds, [kind.share for kind in kinds])
        mean_tokens = kind.mean_output_tokens
        output_tokens = round(rng.gammavariate(2.0, mean_tokens / 2))
        prefix_number = rng.randrange(self._PREFIXES_PER_ADAPTER)
        request = Request(
            request_id=f"{customer}-{len(self._drafts)}",
            arrival=at,
            customer=customer,
            key=rows.AdapterKey(adapter, "1"),
            value=kind.value,
            prompt_tokens=rng.randrange(200, 1000),
            output_tokens=max(8, min(kind.max_tokens, output_tokens)),
            max_tokens=kind.max_tokens,
            deadline=at + kind.deadline_s,
            prefix=f"{adapter}/{prefix_number}",
        )
        self._drafts.append((at, request))


def make_workload(profile: Profile, seed: int) -> Workload:
    """Generates the workload of a profile and seed."""
    rng = random.Random(f"{seed} faults")
    restarts = tuple(
        Restart(
            rng.uniform(profile.warm_up_s, profile.duration_s),
            rng.randrange(profile.engines),
            8.0,
        )
        for _ in range(profile.restarts)
    )
    start = rng.uniform(profile.warm_up_s, profile.duration_s * 0.9)
    faulty = FaultyLoads(start, start + 20.0, rng.randrange(profile.engines))
    return Workload(
        profile,
        seed,
        _Generator(profile, seed).draw_requests(),
        tuple(sorted(restarts, key=lambda restart: restart.at)),
        faulty,
    )


def remove_large_customer(workload: Workload) -> Workload:
    """Returns the same workload without the large customer's requests."""
    remaining_requests = tuple(
        request
        for request in workload.requests
        if request.customer != LARGE_CUSTOMER
    )
    return dataclasses.replace(workload, requests=remaining_requests)
