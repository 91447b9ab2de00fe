"""Load patterns of entry instances, which share engines without an owner."""

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


def _make_cell(max_prefill_backlog_s: float = 0.03) -> cell.Cell:
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
    made = cell.Cell(settings, random.Random(1))
    for name in ENGINES:
        made.handle(_read(name), 0.0)
    return made


def _read(
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
        "running": sum(one.running for one in loaded),
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
    """Feeds a cell, ends its loads after 250 ms, and fires its timers.

    Loads that begin before `full_until` are declined.
    """

    def __init__(self, made: cell.Cell, full_until: float = 0.0) -> None:
        self.full_until = full_until
        self.grants: list[tuple[float, cell_actions.Grant]] = []
        self.refusals: list[cell_actions.Refuse] = []
        self.loads: list[cell_actions.Load] = []
        self._cell = made
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
            ready = [one for one in self._due if one[0] <= end]
            if not ready:
                return
            first = min(ready, key=lambda one: one[0])
            self._due.remove(first)
            self.feed(first[1], first[0])


def test_one_adapter_with_a_fifth_of_all_requests_gets_copies() -> None:
    """Load pattern: one adapter is asked for ten times a second.

    On one engine its prompts alone fill more than half of the steps, and all
    streams there pause.
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


def test_rare_adapters_get_no_copies() -> None:
    """Load pattern: many adapters, each asked for once in a while."""
    loop = _Loop(_make_cell())
    for number in range(40):
        loop.run_until(number * 0.5)
        key = rows.AdapterKey(f"m/rare{number % 20}", "")
        loop.feed(_submit(f"r{number}", key), number * 0.5)
    loop.run_until(25.0)
    copies = collections.Counter(load.key for load in loop.loads)
    assert max(copies.values()) == 1


def test_burst_of_prompts_reaches_an_engine_one_at_a_time() -> None:
    """Load pattern: several prompts for one adapter at the same moment.

    Three steps in a row full of prompt pieces pause all streams of an engine
    for more than 250 ms.
    """
    made = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    made.handle(_read("e0", (loaded,)), 0.0)
    loop = _Loop(made)
    for number in range(5):
        loop.feed(_submit(f"r{number}"), 1.0)
    loop.run_until(1.6)
    times = [at for at, grant in loop.grants if grant.upstream == "e0"]
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert times[0] == 1.0
    assert min(gaps) >= 0.03


def test_prompts_that_others_send_are_waited_for() -> None:
    """Load pattern: two instances send prompts to the same engine."""
    made = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    made.handle(_read("e0", (loaded,)), 0.0)
    loop = _Loop(made)
    loop.feed(cell_events.PromptSent("e0", 3000), 1.0)
    loop.feed(_submit("r1"), 1.0)
    assert not loop.grants
    loop.run_until(1.2)
    assert len(loop.grants) == 1


def test_load_that_another_instance_asked_for_is_not_asked_for_again() -> None:
    """Load pattern: a rare adapter is asked for at two instances at once."""
    made = _make_cell()
    coming = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT, ready=False)
    made.handle(_read("e3", (coming,)), 0.0)
    loop = _Loop(made)
    loop.feed(_submit("r1"), 1.0)
    assert not loop.loads
    ready = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    loop.feed(_read("e3", (ready,)), 1.2)
    assert [grant.upstream for _, grant in loop.grants] == ["e3"]


def test_adapter_that_nobody_may_load_is_refused_at_once() -> None:
    """Load pattern: the store is away and every right to order has ended."""
    made = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    for name in ENGINES:
        adapters = (loaded,) if name == "e0" else ()
        made.handle(_read(name, adapters, accepts_loads=False), 0.0)
    loop = _Loop(made)
    loop.feed(_submit("r1"), 1.0)
    assert len(loop.grants) == 1
    loop.feed(_submit("r2", rows.AdapterKey("m/other", "")), 1.0)
    assert [one.code for one in loop.refusals] == [
        result_codes.ResultCode.LOAD_FAILED
    ]


def test_near_engine_goes_before_a_far_one_until_it_is_busy() -> None:
    """Load pattern: an adapter is loaded in two zones."""
    made = _make_cell()
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    made.handle(_read("e0", (loaded,), distance_s=0.02), 0.0)
    made.handle(_read("e1", (loaded,)), 0.0)
    loop = _Loop(made)
    loop.feed(_submit("r1"), 1.0)
    loop.feed(_submit("r2"), 1.0)
    assert [grant.upstream for _, grant in loop.grants] == ["e1", "e0"]


def _load_and_evict(loop: _Loop, upstream: str, key: rows.AdapterKey) -> None:
    """Has the cell see an adapter come to an engine and go again."""
    held = cell_events.LoadedAdapter(lora_name=f"{key.adapter}@", key=key)
    loop.feed(_read(upstream, (held,)), 0.0)
    loop.feed(_read(upstream), 0.1)


def test_engine_that_had_an_adapter_loads_it_again_though_busier() -> None:
    """Load pattern: a rare adapter comes back after it was evicted.

    The engine that had it takes it from its memory; any other fetches it
    from the store, ten times as long.
    """
    for number in range(20):
        key = rows.AdapterKey(f"m/rare{number}", "")
        for former in ENGINES:
            loop = _Loop(_make_cell())
            _load_and_evict(loop, former, key)
            loop.feed(cell_events.PromptSent(former, 2000), 0.2)
            loop.feed(_submit("r", key), 0.2)
            assert [load.upstream for load in loop.loads] == [former]


def test_engine_that_restarted_has_nothing_at_hand() -> None:
    """A former lifetime's adapters do not draw loads to an engine."""
    key = rows.AdapterKey("m/rare", "")
    loop = _Loop(_make_cell())
    loop.feed(_submit("first", key), 0.0)
    (first,) = loop.loads
    for former in ENGINES:
        if former != first.upstream:
            loop = _Loop(_make_cell())
            _load_and_evict(loop, former, key)
            loop.feed(_read(former, incarnation="2"), 0.2)
            loop.feed(_submit("r", key), 0.3)
            assert [load.upstream for load in loop.loads] == [first.upstream]


def test_full_engines_are_waited_for_not_taken_for_broken_ones() -> None:
    """Load pattern: for two seconds every slot of every engine is in use.

    Nothing is wrong with the adapter or the engines: the requests wait, and
    are served soon after slots are free again.
    """
    loop = _Loop(_make_cell(), full_until=2.0)
    for number in range(20):
        key = rows.AdapterKey(f"m/rare{number}", "")
        loop.feed(_submit(f"r{number}", key), 0.05 * number)
    loop.run_until(4.0)
    assert not loop.refusals
    assert len(loop.grants) == 20
    assert max(at for at, _ in loop.grants) < 3.0


def test_news_of_several_engines_is_taken_in_before_it_decides() -> None:
    """A request does not go to an engine that the same news says is lost."""
    made = _make_cell()
    loop = _Loop(made)
    loaded = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT, ready=False)
    for name in ("e0", "e1"):
        made.handle(_read(name, (loaded,)), 0.0)
    loop.feed(_submit("r1"), 1.0)
    assert not loop.grants
    ready = cell_events.LoadedAdapter(lora_name="m/hot@", key=HOT)
    news = cell_events.EventBatch(
        (
            _read("e0", (ready,)),
            _read("e1", (ready,)),
            cell_events.UpstreamLost("e0"),
        )
    )
    loop.feed(news, 1.1)
    assert [grant.upstream for _, grant in loop.grants] == ["e1"]
