"""Tests of cells of entry instances, which share engines without an owner.

Most tests state the load pattern for which they check the behavior.
"""

import collections
import itertools
import random

from tamaracktide import result_codes
from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import rows

HOT = rows.AdapterKey("m/hot", "")
ENGINES = [f"e{number}" for number in range(6)]
SLOTS = 8


def _make_cell(max_prefill_backlog_s: float = 0.03, seed: int = 1) -> cell.Cell:
    settings = cell_settings.CellSettings(
        loads_per_s=1000.0,
        loads_in_flight=100.0,
        token_s=0.01,
        named_by_key=True,
        spread=True,
        rate_per_replica=1.0,
        max_prefill_backlog_s=max_prefill_backlog_s,
        demand_tau_s=5.0,
    )
    cell_ = cell.Cell(settings, random.Random(seed))
    for name in ENGINES:
        cell_.handle(_make_snapshot(name), 0.0)
    return cell_


def _make_snapshot(
    name: str,
    loaded: tuple[cell_events.LoadedAdapter, ...] = (),
    **changes: object,
) -> cell_events.UpstreamSnapshot:
    values: dict[str, object] = {
        "upstream": name,
        "incarnation": "1",
        "slots": SLOTS,
        "batch_limit": 64,
        "loaded": loaded,
        "running": sum(adapter.running for adapter in loaded),
    }
    values.update(changes)
    return cell_events.UpstreamSnapshot(**values)  # type: ignore[arg-type]


def _submit(
    request_id: str, key: rows.AdapterKey = HOT, tokens: int = 1460
) -> cell_events.Submit:
    return cell_events.Submit(
        request_id=request_id,
        customer=key.adapter,
        key=key,
        prompt_tokens=tokens,
        max_tokens=100,
        deadline=1000.0,
    )


class _Loop:
    """Event loop of a cell that ends loads after 250 ms and fires timers.

    Loads that start before `full_until` are declined.
    """

    def __init__(self, cell_: cell.Cell, full_until: float = 0.0) -> None:
        self.full_until = full_until
        self.grants: list[tuple[float, cell_actions.Grant]] = []
        self.refusals: list[cell_actions.Refuse] = []
        self.loads: list[cell_actions.Load] = []
        self._cell = cell_
        self._due: list[tuple[float, cell_events.CellEvent]] = []

    def feed(self, event: cell_events.CellEvent, now: float) -> None:
        for action in self._cell.handle(event, now):
            match action:
                case cell_actions.Grant():
                    self.grants.append((now, action))
                    ended = cell_events.GrantEnded(grant_id=action.grant_id)
                    self._due.append((now + 1.5, ended))
                case cell_actions.Refuse():
                    self.refusals.append(action)
                case cell_actions.Load():
                    self.loads.append(action)
                    declined = now < self.full_until
                    ended_load = cell_events.LoadEnded(
                        action.load_id, not declined, declined
                    )
                    delay_s = 0.005 if declined else 0.25
                    self._due.append((now + delay_s, ended_load))
                case cell_actions.WakeAt(at):
                    self._due.append((at, cell_events.Tick()))

    def run_until(self, end: float) -> None:
        while True:
            ready = [timer for timer in self._due if timer[0] <= end]
            if not ready:
                return
            first = min(ready, key=lambda timer: timer[0])
            self._due.remove(first)
            self.feed(first[1], first[0])


def test_busy_adapter_gets_replicas() -> None:
    """A busy adapter is loaded on all engines, which share its requests.

    Load pattern: one adapter receives ten requests per second. On a single
    engine, its prompts alone would fill more than half of the steps and pause
    all streams there.
    """
    loop = _Loop(_make_cell())
    for number in range(200):
        now = number * 0.1
        loop.run_until(now)
        loop.feed(_submit(f"r{number}"), now)
    loop.run_until(25.0)
    late = [g.upstream for at, g in loop.grants if at > 10.0]
    shares = collections.Counter(late)
    assert len(shares) == len(ENGINES)
    assert max(shares.values()) < 0.3 * len(late)


def test_rare_adapters_get_no_replicas() -> None:
    """Each of many rarely requested adapters is loaded only once.

    Load pattern: many adapters, each requested once in a while.
    """
    loop = _Loop(_make_cell())
    for number in range(40):
        loop.run_until(number * 0.5)
        key = rows.AdapterKey(f"m/rare{number % 20}", "")
        loop.feed(_submit(f"r{number}", key), number * 0.5)
    loop.run_until(25.0)
    load_counts = collections.Counter(load.key for load in loop.loads)
    assert max(load_counts.values()) == 1


def test_burst_of_prompts_reaches_an_engine_one_at_a_time() -> None:
    """Simultaneous prompts for one adapter are sent to its engine in turn.

    Load pattern: several prompts for one adapter arrive at the same moment.
    Three consecutive steps full of prompt chunks pause all streams of an
    engine for more than 250 ms.
    """
    cell_ = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    cell_.handle(_make_snapshot("e0", (loaded,)), 0.0)
    loop = _Loop(cell_)
    for number in range(5):
        loop.feed(_submit(f"r{number}"), 1.0)
    loop.run_until(1.6)
    times = [at for at, grant in loop.grants if grant.upstream == "e0"]
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert times[0] == 1.0
    assert min(gaps) >= 0.03


def test_prompts_of_other_instances_delay_a_grant() -> None:
    """A request waits for the prefill of another instance's prompt.

    Load pattern: two instances send prompts to the same engine.
    """
    cell_ = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    cell_.handle(_make_snapshot("e0", (loaded,)), 0.0)
    loop = _Loop(cell_)
    loop.feed(cell_events.PromptSent("e0", 3000), 1.0)
    loop.feed(_submit("r1"), 1.0)
    assert not loop.grants
    loop.run_until(1.2)
    assert len(loop.grants) == 1


def test_load_ordered_by_another_instance_is_not_repeated() -> None:
    """A request waits for a load that another instance has already ordered.

    Load pattern: a rarely requested adapter is requested at two instances at
    the same time.
    """
    cell_ = _make_cell()
    loading = cell_events.LoadedAdapter(
        lora_name="m/hot@", key=HOT, ready=False
    )
    cell_.handle(_make_snapshot("e3", (loading,)), 0.0)
    loop = _Loop(cell_)
    loop.feed(_submit("r1"), 1.0)
    assert not loop.loads
    ready = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    loop.feed(_make_snapshot("e3", (ready,)), 1.2)
    assert [grant.upstream for _, grant in loop.grants] == ["e3"]


def test_adapter_that_no_instance_may_load_is_refused_at_once() -> None:
    """A request is refused if its adapter is not loaded and cannot be.

    Load pattern: requests for loaded and other adapters arrive while the store
    is unreachable and every lease term has ended, so that no instance may order
    loads.
    """
    cell_ = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    for name in ENGINES:
        adapters = (loaded,) if name == "e0" else ()
        cell_.handle(_make_snapshot(name, adapters, accepts_loads=False), 0.0)
    loop = _Loop(cell_)
    loop.feed(_submit("r1"), 1.0)
    assert len(loop.grants) == 1
    loop.feed(_submit("r2", rows.AdapterKey("m/other", "")), 1.0)
    assert [refusal.code for refusal in loop.refusals] == [
        result_codes.ResultCode.LOAD_FAILED
    ]


def test_near_engine_is_preferred_until_it_is_busy() -> None:
    """Requests go to the nearer engine until it is busy, then to the other.

    Load pattern: an adapter is loaded in two zones.
    """
    cell_ = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    cell_.handle(_make_snapshot("e0", (loaded,), distance_s=0.02), 0.0)
    cell_.handle(_make_snapshot("e1", (loaded,)), 0.0)
    loop = _Loop(cell_)
    loop.feed(_submit("r1"), 1.0)
    loop.feed(_submit("r2"), 1.0)
    assert [grant.upstream for _, grant in loop.grants] == ["e1", "e0"]


def _load_and_evict(loop: _Loop, upstream: str, key: rows.AdapterKey) -> None:
    """Reports an adapter as loaded on an engine and then as evicted."""
    held = cell_events.LoadedAdapter(lora_name=f"{key.adapter}@", key=key)
    loop.feed(_make_snapshot(upstream, (held,)), 0.0)
    loop.feed(_make_snapshot(upstream), 0.1)


def test_evicted_adapter_is_reloaded_on_its_former_engine() -> None:
    """An evicted adapter is loaded where it is host-cached, even if busier.

    Load pattern: a rarely requested adapter is requested again after its
    eviction. The former engine loads it from host memory; any other engine
    fetches it from the store, which takes ten times as long.
    """
    for number in range(20):
        key = rows.AdapterKey(f"m/rare{number}", "")
        for former in ENGINES:
            loop = _Loop(_make_cell())
            _load_and_evict(loop, former, key)
            loop.feed(cell_events.PromptSent(former, 2000), 0.2)
            loop.feed(_submit("r", key), 0.2)
            assert [load.upstream for load in loop.loads] == [former]


def test_restarted_engine_has_no_host_cached_adapters() -> None:
    """Adapters of an earlier incarnation do not attract loads."""
    key = rows.AdapterKey("m/rare", "")
    loop = _Loop(_make_cell())
    loop.feed(_submit("first", key), 0.0)
    (first,) = loop.loads
    for former in ENGINES:
        if former != first.upstream:
            loop = _Loop(_make_cell())
            _load_and_evict(loop, former, key)
            loop.feed(_make_snapshot(former, incarnation="2"), 0.2)
            loop.feed(_submit("r", key), 0.3)
            assert [load.upstream for load in loop.loads] == [first.upstream]


def test_declined_loads_do_not_count_as_failures() -> None:
    """Requests wait while every adapter slot of every engine is in use.

    Load pattern: for two seconds all slots are in use, and loads are declined.
    Neither the adapters nor the engines are faulty, so that no request is
    refused, and all are served soon after slots are free again.
    """
    loop = _Loop(_make_cell(), full_until=2.0)
    for number in range(20):
        key = rows.AdapterKey(f"m/rare{number}", "")
        loop.feed(_submit(f"r{number}", key), 0.05 * number)
    loop.run_until(4.0)
    assert not loop.refusals
    assert len(loop.grants) == 20
    assert max(at for at, _ in loop.grants) < 3.0


def test_event_batch_is_applied_before_decisions() -> None:
    """A request is not sent to an engine that the same batch reports lost."""
    cell_ = _make_cell()
    loop = _Loop(cell_)
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT, ready=False)
    for name in ("e0", "e1"):
        cell_.handle(_make_snapshot(name, (loaded,)), 0.0)
    loop.feed(_submit("r1"), 1.0)
    assert not loop.grants
    ready = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    batch = cell_events.EventBatch(
        (
            _make_snapshot("e0", (ready,)),
            _make_snapshot("e1", (ready,)),
            cell_events.UpstreamLost("e0"),
        )
    )
    loop.feed(batch, 1.1)
    assert [grant.upstream for _, grant in loop.grants] == ["e1"]


def _grant_first(seed: int, running: dict[str, int]) -> str:
    """Returns the engine that a new cell chooses for its first request."""
    loop = _Loop(_make_cell(seed=seed))
    for name in ENGINES:
        loaded = cell_events.LoadedAdapter("m/hot@", HOT, running.get(name, 0))
        loop.feed(_make_snapshot(name, (loaded,)), 0.0)
    loop.feed(_submit("r"), 0.0)
    ((_, grant),) = loop.grants
    return grant.upstream


def test_cells_with_the_same_state_choose_different_engines() -> None:
    """No engine gets the next request of every instance.

    Load pattern: dozens of instances that know of each other's requests half a
    second late choose between equally busy engines at the same time.
    """
    chosen = collections.Counter(_grant_first(seed, {}) for seed in range(60))
    assert set(chosen) == set(ENGINES)
    assert max(chosen.values()) <= 60 / 2


def test_less_busy_engine_is_chosen_by_every_cell() -> None:
    """What distinguishes cells counts less than one request on an engine."""
    running = dict.fromkeys(ENGINES, 5)
    running["e4"] = 4
    assert {_grant_first(seed, running) for seed in range(60)} == {"e4"}


def _count_loads(event: str, seed: int) -> tuple[int, int]:
    """Plays more adapters than slots; two engines are affected after 20 s.

    Args:
        event: What happens to them, `limited` or `leaving`.
        seed: Seed of the requests.

    Returns:
        The numbers of loads and of grants from then on.
    """
    rng = random.Random(seed)
    loop = _Loop(_make_cell(seed=seed))
    weights = [1.0 / (rank + 3) for rank in range(300)]
    loads = grants = 0
    for number in range(1200):
        now = number * 0.05
        loop.run_until(now)
        if now == 20.0:
            loads, grants = len(loop.loads), len(loop.grants)
            for name in ENGINES[:2]:
                change: cell_events.CellEvent = (
                    cell_events.SendLimitChanged(name, 2.0)
                    if event == "limited"
                    else cell_events.UpstreamLeaving(name)
                )
                loop.feed(change, now)
        rank = rng.choices(range(300), weights)[0]
        key = rows.AdapterKey(f"m/a{rank}", "")
        loop.feed(_submit(f"r{number}", key, 200), now)
    return len(loop.loads) - loads, len(loop.grants) - grants


def test_limited_engines_cause_no_more_loads_than_leaving_ones() -> None:
    """Guards against loads on engines that cannot run the requests (LIMIT).

    Load pattern: more adapters than slots, while two of six engines limit the
    rate of their requests.
    """
    for seed in (1, 2, 3):
        limited, granted = _count_loads("limited", seed)
        leaving, granted_without = _count_loads("leaving", seed)
        assert limited <= leaving
        assert granted >= granted_without
