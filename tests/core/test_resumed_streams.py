"""Tests of the scheduling of streams that go on at another engine.

Load pattern: all instances were killed, and clients take up all streams while
new requests wait for the same engines.
"""

import dataclasses
import random

from tamaracktide.core import cell
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import resumed_streams
from tamaracktide.core import rows

WHOLE = resumed_streams.Tokens(prompt=1000, output=150)


def test_resumed_generation_is_shorter_by_what_was_generated() -> None:
    """Guards against a refusal for tokens that the client has received."""
    left = resumed_streams.estimate_remaining(WHOLE, 120)
    assert left == resumed_streams.Tokens(prompt=1120, output=30)


def test_new_generation_is_whole() -> None:
    """Nothing was generated."""
    assert resumed_streams.estimate_remaining(WHOLE, 0) == WHOLE


def test_end_of_the_stream_is_always_left() -> None:
    """A stream may be longer than its client expected."""
    left = resumed_streams.estimate_remaining(WHOLE, 10**12)
    assert left == resumed_streams.Tokens(prompt=1150, output=1)


def test_resumed_streams_have_an_account_of_their_own() -> None:
    """Guards against resumed streams that wait behind new ones (LOST)."""
    assert resumed_streams.name_account("a") != "a"
    assert resumed_streams.name_account("a") != resumed_streams.name_account(
        "b"
    )


ENGINES = [f"e{number}" for number in range(4)]
SLOTS = 20
PROMPT_TOKENS = 1500


def _make_key(number: int) -> rows.AdapterKey:
    return rows.AdapterKey(f"m/a{number}", "")


def _make_cell(
    loads_in_flight: float = 16.0, *, accepts_loads: bool = False
) -> cell.Cell:
    """Returns a cell whose engines each have adapters in all slots."""
    settings = cell_settings.CellSettings(
        loads_per_s=1000.0,
        loads_in_flight=loads_in_flight,
        token_s=0.01,
        named_by_key=True,
        spread=True,
        max_prefill_backlog_s=0.03,
    )
    made = cell.Cell(settings, random.Random(1))
    for index, name in enumerate(ENGINES):
        keys = [_make_key(SLOTS * index + slot) for slot in range(SLOTS)]
        snapshot = cell_events.UpstreamSnapshot(
            upstream=name,
            incarnation="1",
            slots=SLOTS,
            batch_limit=64,
            accepts_loads=accepts_loads,
            loaded=tuple(
                cell_events.LoadedAdapter(lora_name=key.text, key=key)
                for key in keys
            ),
        )
        made.handle(snapshot, 0.0)
    return made


def _submit(
    request_id: str, number: int, deadline: float = 15.0
) -> cell_events.Submit:
    key = _make_key(number)
    return cell_events.Submit(
        request_id=request_id,
        customer=key.adapter,
        key=key,
        prompt_tokens=PROMPT_TOKENS,
        max_tokens=150,
        deadline=deadline,
    )


def _resume(
    request_id: str, number: int, max_tokens: int = 100, deadline: float = 15.0
) -> cell_events.Submit:
    key = _make_key(number)
    return cell_events.Submit(
        request_id=request_id,
        customer=resumed_streams.name_account(key.adapter),
        key=key,
        prompt_tokens=PROMPT_TOKENS,
        max_tokens=max_tokens,
        deadline=deadline,
        lead=float(PROMPT_TOKENS),
    )


def _submit_all(
    made: cell.Cell, submits: list[cell_events.Submit], now: float
) -> list[cell_actions.CellAction]:
    return [action for s in submits for action in made.handle(s, now)]


def _list_granted(actions: list[cell_actions.CellAction]) -> list[str]:
    return [a.request_id for a in actions if isinstance(a, cell_actions.Grant)]


def _list_loaded(actions: list[cell_actions.CellAction]) -> list[str]:
    return [a.lora_name for a in actions if isinstance(a, cell_actions.Load)]


def test_short_responses_do_not_make_a_stream_too_long() -> None:
    """Guards against refusals of streams that would end in time (LOST).

    40 responses of 2 events have waited for their first one; then a stream
    with 4.8 s left to generate has 8 s.
    """
    made = _make_cell()
    for number in range(40):
        now = 0.7 * number
        request = dataclasses.replace(
            _submit(f"n{number}", number, now + 15.0), max_tokens=6
        )
        granted = made.handle(request, now)
        assert isinstance(granted[0], cell_actions.Grant)
        ended = cell_events.GrantEnded(
            grant_id=granted[0].grant_id,
            generated_tokens=6,
            decode=cell_events.Decode(tokens=3, seconds=0.036),
        )
        made.handle(ended, now + 0.6)
    resumed = _resume("r", 1, max_tokens=400, deadline=40.0 + 8.0)
    assert _list_granted(made.handle(resumed, 40.0)) == ["r"]


def test_stream_whose_tokens_take_too_long_is_refused_at_once() -> None:
    """Guards against streams that are held until their clients leave."""
    actions = _make_cell().handle(_resume("r", 1, 4000, deadline=8.0), 0.0)
    assert any(isinstance(a, cell_actions.Refuse) for a in actions)


def test_prompts_of_resumed_streams_are_read_before_new_ones() -> None:
    """Guards against streams that wait behind new requests (LOST).

    80 new requests wait for engines that read a prompt at a time, and 20
    streams are taken up: the next prompts that are read are theirs.
    """
    made = _make_cell()
    _submit_all(made, [_submit(f"n{n}", n) for n in range(80)], 0.0)
    resumed = [_resume(f"r{n}", 4 * n) for n in range(20)]
    granted = _list_granted(_submit_all(made, resumed, 0.01))
    for step in range(1, 40):
        granted += _list_granted(made.handle(cell_events.Tick(), 0.05 * step))
    assert {name[0] for name in granted[:20]} == {"r"}
    assert any(name.startswith("n") for name in granted[20:])


def test_adapters_of_resumed_streams_are_loaded_before_others() -> None:
    """Guards against streams whose adapters wait behind others (LOST)."""
    made = _make_cell(loads_in_flight=4.0, accepts_loads=True)
    new = [_submit(f"n{n}", 1000 + n) for n in range(40)]
    loads = [a for a in _submit_all(made, new, 0.0) if _is_load(a)]
    resumed = [_resume(f"r{n}", 2000 + n) for n in range(4)]
    assert not _list_loaded(_submit_all(made, resumed, 0.01))
    next_loads: list[str] = []
    for load in loads:
        assert isinstance(load, cell_actions.Load)
        ended = cell_events.LoadEnded(load.load_id, True)
        next_loads += _list_loaded(made.handle(ended, 0.25))
    assert sorted(next_loads) == [_make_key(2000 + n).text for n in range(4)]


def _is_load(action: cell_actions.CellAction) -> bool:
    return isinstance(action, cell_actions.Load)


def test_customer_over_its_share_does_not_precede_others() -> None:
    """Guards against a customer that delays others by many resumed streams."""
    made = _make_cell()
    _submit_all(made, [_submit(f"n{n}", n) for n in range(80)], 0.0)
    many = [
        dataclasses.replace(_resume(f"r{n}", n % 80), customer="resumed:large")
        for n in range(300)
    ]
    granted = _list_granted(_submit_all(made, many, 0.01))
    for step in range(1, 11):
        granted += _list_granted(made.handle(cell_events.Tick(), 0.07 * step))
    assert sum(name.startswith("n") for name in granted) >= len(granted) // 2


def test_resumed_streams_of_one_customer_do_not_delay_another() -> None:
    """Guards against small customers that wait for all prompts of a large one.

    There are batch slots for all, but an engine reads the prompts one by one.
    """
    made = _make_cell()
    many = [
        dataclasses.replace(
            _resume(f"r{n}", n % SLOTS), customer="resumed:large"
        )
        for n in range(60)
    ]
    granted = _list_granted(_submit_all(made, many, 0.0))
    granted += _list_granted(made.handle(_submit("small", 1), 0.01))
    for step in range(1, 100):
        granted += _list_granted(made.handle(cell_events.Tick(), 0.05 * step))
    assert len(granted) == len(many) + 1
    assert granted.index("small") < len(many) // 2


def test_stream_that_must_start_first_goes_first() -> None:
    """Guards against streams that wait until it is too late for them."""
    made = _make_cell()
    made.handle(cell_events.PromptSent("e0", 8 * PROMPT_TOKENS), 0.0)
    late = [_resume(f"l{n}", n) for n in range(6)]
    assert not _list_granted(_submit_all(made, late, 0.0))
    assert not _list_granted(made.handle(_resume("r", 9, deadline=3.0), 0.1))
    granted: list[str] = []
    for step in range(1, 8):
        granted += _list_granted(made.handle(cell_events.Tick(), 0.1 * step))
    assert granted[0] == "r"
    assert len(granted) > 1


def test_stream_that_may_be_shorter_than_expected_goes_on() -> None:
    """Guards against refusals of streams that may still end in time (LOST)."""
    made = _make_cell()
    may_end = _resume("r", 1, max_tokens=1000, deadline=4.0)
    assert _list_granted(made.handle(may_end, 0.0)) == ["r"]


def test_new_prompts_wait_while_those_of_resumed_streams_are_read() -> None:
    """Guards against new requests of other instances that are sent between."""
    made = _make_cell()
    made.handle(cell_events.PromptSent("e0", 2 * PROMPT_TOKENS), 0.0)
    assert not _list_granted(made.handle(_submit("n", 1), 0.0))
    assert _list_granted(made.handle(_resume("r", 2), 0.0)) == ["r"]
    made.handle(cell_events.PromptSent("e0", 4 * PROMPT_TOKENS), 0.0)
    assert not _list_granted(made.handle(_resume("s", 3), 0.0))


def test_resumed_streams_find_their_adapters_while_evictions_wait() -> None:
    """Guards against new requests that take the adapter slots (LOST).

    120 new requests for other adapters come before the clients are back.
    """
    made = _make_cell(accepts_loads=True)
    for name in ENGINES:
        made.handle(cell_events.EvictionsSuspended(name), 0.0)
    new = [_submit(f"n{n}", 1000 + n) for n in range(120)]
    assert not _list_loaded(_submit_all(made, new, 0.0))
    resumed = [_resume(f"r{n}", SLOTS * n) for n in range(len(ENGINES))]
    assert len(_list_granted(_submit_all(made, resumed, 1.5))) == len(resumed)
    ended = cell_events.EvictionsSuspended(ENGINES[0], False)
    assert _list_loaded(made.handle(ended, 2.7))
