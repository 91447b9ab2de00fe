"""Tests of the detection of requests that crash upstreams.

A request is refused once the upstreams that ran it have ended.
"""

import anyio
import pytest

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import crash_evidence
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.entry import crashes
from tamaracktide.entry import requests
from tamaracktide.protocol import entry_messages

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The entry instance runs on asyncio."""
    return "asyncio"


class _Instances:
    """Trackers that announce crashes to each other."""

    def __init__(self, count: int = 1) -> None:
        self.notices: list[entry_messages.CrashNotice] = []
        self.trackers = [
            crashes.CrashTracker(self._announce) for _ in range(count)
        ]

    def _announce(self, notice: entry_messages.CrashNotice) -> None:
        self.notices.append(notice)
        for tracker in self.trackers:
            tracker.apply_notice(notice)


def _make_entry(name: str, started_ms: int) -> upstream_entries.UpstreamEntry:
    return upstream_entries.UpstreamEntry(
        upstream=name,
        service="s",
        address="10.0.0.1:80",
        zone="z1",
        batch_limit=8,
        started_ms=started_ms,
    )


def _make_request(fingerprint: str, *parts: str) -> requests.ClientRequest:
    share = routing_document.Share(service="s")
    return requests.ClientRequest(
        request_id="r1",
        method="POST",
        target="/x",
        headers=(),
        body=b"",
        route=routing_document.Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=routing_document.RequestKind.IDEMPOTENT,
            shares=(share,),
            timeout_s=5.0,
        ),
        service=routing_document.Service(name="s"),
        deadline=5.0,
        expires_at=5.0,
        generation=requests.Generation(model="m", parts=parts),
        fingerprint=fingerprint,
    )


BAD = _make_request("bad")
GOOD = _make_request("good")


def _crash(
    tracker: crashes.CrashTracker, request: requests.ClientRequest, name: str
) -> None:
    tracker.record_loss(request, _make_entry(name, 1))
    tracker.check({name: _make_entry(name, 2)})


async def test_request_is_quarantined_after_three_lost_upstreams() -> None:
    """The third restart quarantines the request, at peers as well."""
    tracker, peer = _Instances().trackers[0], _Instances().trackers[0]
    for name in ("a", "b"):
        _crash(tracker, BAD, name)
        assert not tracker.is_refused(BAD)
    _crash(tracker, BAD, "c")
    assert tracker.is_refused(BAD)
    peer.apply_quarantined(tracker.list_announced())
    assert peer.is_refused(BAD)


async def test_losses_of_several_instances_are_counted_together() -> None:
    """Guards against a verdict that waits for three losses at one instance.

    Clients repeat a crashing request at other instances (incident BUDGET).
    """
    instances = _Instances(3)
    for tracker, name in zip(instances.trackers, "abc", strict=True):
        assert not tracker.is_refused(BAD)
        _crash(tracker, BAD, name)
    for tracker in instances.trackers:
        assert tracker.is_refused(BAD)


async def test_upstream_that_refuses_connections_has_ended() -> None:
    """Guards against a verdict that waits for the store (incident BUDGET)."""
    (tracker,) = _Instances().trackers
    for name in "abc":
        tracker.record_loss(BAD, _make_entry(name, 1))
        tracker.record_exit(_make_entry(name, 1))
    assert tracker.is_refused(BAD)


async def test_loss_seen_by_two_instances_counts_once() -> None:
    """A request that runs twice at an upstream that ends is lost once."""
    instances = _Instances(2)
    for name in "ab":
        for tracker in instances.trackers:
            _crash(tracker, BAD, name)
    assert not instances.trackers[0].is_refused(BAD)
    assert len(instances.notices) == 2


async def test_notice_is_returned_only_as_far_as_it_is_unknown() -> None:
    """A relay passes each loss on once."""
    (tracker,) = _Instances().trackers
    notice = entry_messages.CrashNotice(
        upstream="a", started_ms=1, requests={"x": (), "y": ("p",)}
    )
    more = entry_messages.CrashNotice(
        upstream="a", started_ms=1, requests={"y": ("p",), "z": ("p",)}
    )
    assert tracker.apply_notice(notice) == notice
    assert tracker.apply_notice(notice) is None
    unknown = tracker.apply_notice(more)
    assert unknown is not None
    assert unknown.requests == {"z": ("p",)}


async def test_lost_responses_without_restart_quarantine_no_request() -> None:
    """Lost responses without a restart of the upstream are no crashes."""
    (tracker,) = _Instances().trackers
    entries = {name: _make_entry(name, 1) for name in "abcdef"}
    for entry in entries.values():
        tracker.record_loss(GOOD, entry)
        tracker.check(entries)
    assert not tracker.is_refused(GOOD)


async def test_refused_request_stays_refused_after_further_losses() -> None:
    """A refused request can still run elsewhere and cause further losses.

    Such losses once violated an invariant check.
    """
    (tracker,) = _Instances().trackers
    for name in "abcde":
        _crash(tracker, BAD, name)
    assert tracker.is_refused(BAD)


async def test_completion_clears_a_request() -> None:
    """A request that ran during a crash and completes later is cleared."""
    (tracker,) = _Instances().trackers
    for name in ("a", "b"):
        _crash(tracker, GOOD, name)
    tracker.record_survival(GOOD)
    _crash(tracker, GOOD, "c")
    assert not tracker.is_refused(GOOD)


async def test_request_that_completes_elsewhere_outlives_ends_at_once() -> None:
    """Load pattern: many clients send the same request as a rack is lost."""
    (tracker,) = _Instances().trackers
    tracker.record_survival(GOOD)
    for name in "abcd":
        _crash(tracker, GOOD, name)
    assert not tracker.is_refused(GOOD)
    tracker.apply_quarantined(crash_evidence.Quarantined(requests=("good",)))
    assert not tracker.is_refused(GOOD)


async def test_waiting_request_is_refused_once_it_is_quarantined() -> None:
    """Guards against a request that is sent after the verdict."""
    (tracker,) = _Instances().trackers

    async def wait() -> None:
        with tracker.refuse_once_quarantined(BAD):
            await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:

        async def check() -> None:
            with pytest.raises(errors.RefusalError) as raised:
                await wait()
            assert raised.value.code is result_codes.ResultCode.QUARANTINED

        tasks.start_soon(check)
        await anyio.wait_all_tasks_blocked()
        for name in "abc":
            _crash(tracker, BAD, name)


def _crash_with(tracker: crashes.CrashTracker, number: int) -> None:
    """Ends an upstream with one more request that has the parts."""
    _crash(tracker, _make_request(f"r{number}", "first", "bad"), f"e{number}")


async def test_part_is_quarantined_before_five_upstreams_ended() -> None:
    """Guards against requests of one kind that all begin anew (BUDGET)."""
    instances = _Instances(2)
    later = _make_request("later", "first", "bad")
    for number in range(4):
        assert not instances.trackers[1].is_refused(later)
        instances.trackers[0].record_survival(_make_request("ok", "first"))
        _crash_with(instances.trackers[number % 2], number)
    for tracker in instances.trackers:
        assert tracker.is_refused(later)
        assert not tracker.is_refused(_make_request("sound", "first", "good"))


async def test_part_that_survived_at_the_announcer_is_no_suspect() -> None:
    """Guards against a verdict on a part that sound requests share (LOST).

    The instance that gets the notices has had no such requests itself.
    """
    instances = _Instances(2)
    for number in range(6):
        instances.trackers[0].record_survival(_make_request("ok", "first"))
        _crash_with(instances.trackers[0], number)
    sound = _make_request("sound", "first")
    assert not instances.trackers[1].is_refused(sound)


async def test_part_that_survived_elsewhere_is_no_suspect() -> None:
    """Guards against a verdict on a part that sound requests share (LOST).

    The instance that loses the requests has no sound ones itself.
    """
    instances = _Instances(2)
    for number in range(6):
        instances.trackers[1].record_survival(_make_request("ok", "first"))
        _crash_with(instances.trackers[0], number)
    assert not instances.trackers[0].is_refused(_make_request("s", "first"))
    assert instances.trackers[0].is_refused(_make_request("l", "bad"))


async def test_survivals_of_others_are_not_announced_again() -> None:
    """Two instances cannot clear a part forever by their notices."""
    instances = _Instances(2)
    instances.trackers[0].record_survival(_make_request("ok", "first"))
    _crash_with(instances.trackers[0], 1)
    assert instances.notices[-1].survived == ("first",)
    instances.notices.clear()
    _crash_with(instances.trackers[1], 2)
    assert instances.notices[0].survived == ()


async def test_upstreams_that_end_together_quarantine_no_sound_part() -> None:
    """Load pattern: a quarter of the engines ends at once in a large cluster.

    The instance where a part survived hears of the ends later than the others
    hear of each other's.
    """
    notices: list[entry_messages.CrashNotice] = []
    witness = crashes.CrashTracker(notices.append, lambda: True)
    others = [crashes.CrashTracker(notices.append, lambda: True) for _ in "ab"]
    witness.record_survival(_make_request("sound", "shared"))
    for number in range(6):
        request = _make_request(f"lost{number}", "shared")
        _crash(others[number % 2], request, f"e{number}")
    sent = list(notices)
    for notice in sent:
        for tracker in others:
            tracker.apply_notice(notice)
    assert not any(t.is_refused(_make_request("x", "shared")) for t in others)
    for notice in sent:
        witness.apply_notice(notice)
    for notice in notices[len(sent) :]:
        for tracker in others:
            tracker.apply_notice(notice)
    await anyio.sleep(crashes.REPLY_TIME_S + 0.1)
    assert not any(t.is_refused(_make_request("x", "shared")) for t in others)


async def test_part_that_survived_nowhere_is_quarantined_after_a_reply() -> (
    None
):
    """In a large cluster, others have the time of a reply to object."""
    tracker = crashes.CrashTracker(lambda notice: None, lambda: True)
    for number in range(4):
        _crash(tracker, _make_request(f"lost{number}", "bad"), f"e{number}")
    assert not tracker.is_refused(_make_request("x", "bad"))
    await anyio.sleep(crashes.REPLY_TIME_S + 0.1)
    assert tracker.is_refused(_make_request("x", "bad"))
    assert tracker.list_announced().parts == ("bad",)


async def test_parts_of_one_request_are_not_quarantined() -> None:
    """A request that crashes upstreams is refused itself, not its parts."""
    (tracker,) = _Instances().trackers
    request = _make_request("bad", "first", "second")
    for name in "abcdefg":
        _crash(tracker, request, name)
    assert tracker.is_refused(request)
    assert not tracker.is_refused(_make_request("good", "first", "second"))
