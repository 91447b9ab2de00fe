"""Tests of what instances tell each other of streams, without a network.

Load pattern: a release replaces upstreams while instances differ in what they
have observed.
"""

import asyncio
import dataclasses
from typing import Any

import anyio
import pytest

from tamaracktide import errors
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.core import version_statements
from tamaracktide.entry import requests
from tamaracktide.entry import resumption
from tamaracktide.entry import stated_versions
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import entry_messages

pytestmark = pytest.mark.anyio

DEADLINE_S = 30.0
NOTICE_S = 0.05
"""Time until a notice of a peer arrives."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True, eq=False)
class _Peer:
    """An instance as another one sees it; messages arrive in order.

    Attributes:
        instance: Its id.
        sender: Who sends to it.
        links: Links of all instances, by id.
        is_member: Whether it uses the sender as its relay.
    """

    instance: str
    sender: str
    links: dict[str, "_Links"]
    is_member: bool = False

    def reaches_store(self, max_silent_s: float) -> bool:
        """It does not."""
        return False

    def send(self, message: object) -> bool:
        """Delivers a message."""
        receiver = self.links[self.instance]
        loop = asyncio.get_running_loop()
        loop.call_soon(receiver.deliver, self.sender, message)
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class _Queue:
    """Messages to a peer."""

    peer: _Peer

    def put(self, message: object) -> bool:
        """Sends a message."""
        return self.peer.send(message)


class _Link:
    """A link that has just opened."""

    def __init__(self, peer: _Peer) -> None:
        self.queue = _Queue(peer)


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    is_flat: bool = True


class _Records:
    """Records of a store that does not respond."""

    loaded_at = float("-inf")

    def request_load(self) -> None:
        """Is never followed by a load."""

    def record_soon(self) -> None:
        """Records nothing."""

    def holds(self, request_id: str) -> bool:
        """Whether a stream is recorded: none is."""
        return False


class _ReadRecords(_Records):
    """Records that are read at once, and empty."""

    def request_load(self) -> None:
        """Ends at once."""
        self.loaded_at = anyio.current_time()


class _Links:
    """The links of one instance to all others."""

    def __init__(self, instance: str, links: dict[str, "_Links"]) -> None:
        self.plan = _Plan()
        self.relay = ""
        self.is_relay = self.is_discovered = True
        self.resumption = resumption.Resumption(
            instance,
            stated_versions.StatedVersions(instance, instance, lambda: 0),
            lambda: True,
            metrics_module.Metrics(),
        )
        self.resumption.peers = self  # type: ignore[assignment]
        self.resumption.records = _Records()  # type: ignore[assignment]
        self._instance = instance
        self._links = links
        links[instance] = self

    def list_linked(self) -> list[_Peer]:
        """Returns all others."""
        return [
            _Peer(name, self._instance, self._links)
            for name in self._links
            if name != self._instance
        ]

    def send(self, instance: str, message: object) -> bool:
        """Delivers a message to one of them."""
        return _Peer(instance, self._instance, self._links).send(message)

    def broadcast(self, message: object) -> None:
        """Delivers a message to all of them."""
        for peer in self.list_linked():
            peer.send(message)

    def deliver(self, sender: str, message: Any) -> None:  # noqa: ANN401
        """Handles a message."""
        match message:
            case entry_messages.StreamQuery():
                peer: Any = _Peer(sender, self._instance, self._links)
                self.resumption.handle_query(peer, message)
            case entry_messages.StreamReply():
                self.resumption.apply_reply(sender, message)
            case entry_messages.StreamsNotice():
                self.resumption.apply_notice(message)

    def link(self, links: dict[str, "_Links"]) -> None:
        """Opens links to other instances, which so open theirs."""
        self._links = links
        others, links[self._instance] = list(links.values()), self
        for other in others:
            self.open(other._instance)
            other.open(self._instance)

    def open(self, instance: str) -> None:
        """Opens the link to another instance."""
        link: Any = _Link(_Peer(instance, self._instance, self._links))
        self.resumption.handle_open(link)


def _list_upstreams(instance: _Links, *versions: str) -> None:
    """Has an instance list an upstream of each version."""
    entries = [
        upstream_entries.UpstreamEntry(
            upstream=f"e-{name}",
            service="llm",
            address="127.0.0.1:1",
            zone="z1",
            batch_limit=8,
            software=name,
        )
        for name in versions
    ]
    instance.resumption.apply_upstreams(entries, ())


def _make_retry() -> requests.ClientRequest:
    expires_at = anyio.current_time() + DEADLINE_S
    return requests.ClientRequest(
        request_id="s0",
        method="POST",
        target="/r/",
        headers=(),
        body=b"",
        route=routing_document.Route(
            name="r",
            host="h",
            path_prefix="/r/",
            kind=routing_document.RequestKind.STREAMING,
            shares=(routing_document.Share(service="llm", weight=1.0),),
            timeout_s=DEADLINE_S,
        ),
        service=routing_document.Service(name="llm"),
        deadline=expires_at,
        expires_at=expires_at,
        resume_after=4,
        resumed_request="r0",
    )


async def test_peer_that_lacks_a_version_does_not_tell_which_began() -> None:
    """Guards against a conclusion of a peer that passes for a fact (ORDER).

    An instance that has just started lists two versions. Its peer has not seen
    the second one yet: it was cut off when that appeared.
    """
    links: dict[str, _Links] = {}
    peer = _Links("n2", links)
    _list_upstreams(peer, "v1")
    peer.resumption.history.restore_versions(
        {"llm": ("v1",)}, anyio.current_time(), is_complete=True
    )
    asker = _Links("n1", {})
    _list_upstreams(asker, "v1", "v2")
    asker.link(links)
    with pytest.raises(errors.RefusalError):
        await asker.resumption.find_software(_make_retry())


async def _tell_one_version(instance: _Links) -> None:
    """Tells an instance that one version may have begun streams."""
    await anyio.sleep(NOTICE_S)
    instance.resumption.apply_notice(
        entry_messages.StreamsNotice(
            streams={}, versions={"llm": {"v1": 0.0}}, is_complete=True
        )
    )


async def test_retry_goes_on_once_a_peer_tells_that_there_is_one_version() -> (
    None
):
    """Guards against refusals after a start beside one version (LOST).

    The records say nothing of it, and were read after the retry had arrived.
    """
    member = _Links("n1", {})
    member.resumption.records = _ReadRecords()  # type: ignore[assignment]
    _list_upstreams(member, "v1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_tell_one_version, member)
        assert await member.resumption.find_software(_make_retry()) == "v1"


async def test_one_version_says_nothing_while_no_records_are_read() -> None:
    """Guards against a view that a silent cut has made old (ORDER).

    The instance counts its view as current, and so does the peer that tells it
    of one version.
    """
    member = _Links("n1", {})
    _list_upstreams(member, "v1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_tell_one_version, member)
        with pytest.raises(errors.RefusalError):
            await member.resumption.find_software(_make_retry())


async def test_stream_that_no_record_knows_is_not_asked_for_again() -> None:
    """Guards against retries that are refused again and again (LOST).

    Its first instance was killed before it was recorded.
    """
    links = _Links("n1", {})
    _list_upstreams(links, "v1", "v2")
    records = _ReadRecords()
    links.resumption.records = records  # type: ignore[assignment]
    with pytest.raises(errors.RefusalError) as refusal:
        await links.resumption.find_software(_make_retry())
    assert refusal.value.retry_after_s is not None
    assert refusal.value.retry_after_s > DEADLINE_S - 5.0


async def test_relay_keeps_a_bounded_number_of_questions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows while the store gives no response.

    The newest questions are answered once the records are read.
    """
    monkeypatch.setattr(resumption, "MAX_QUERIES", 2)
    links: dict[str, _Links] = {}
    relay, member = _Links("n1", links), _Links("n2", links)
    peer: Any = _Peer("n2", "n1", links, is_member=True)
    for name in ("r0", "r1", "r0", "r2"):
        query = entry_messages.StreamQuery(request_id=name, asker="n2")
        relay.resumption.handle_query(peer, query)
    streams: dict[str, tuple[str, ...]] = {"v1": ("r0", "r1", "r2")}
    notice = entry_messages.StreamsNotice(streams=streams)
    relay.resumption.apply_notice(notice)
    relay.resumption.apply_restored(frozenset())
    await anyio.wait_all_tasks_blocked()
    now = anyio.current_time()
    history = member.resumption.history
    known = [name for name in streams["v1"] if history.find(name, now)]
    assert known == ["r0", "r2"]


async def test_attempts_at_one_stream_wait_for_their_witness_together() -> None:
    """Guards against an error as a hedged attempt begins the same stream."""
    links: dict[str, _Links] = {}
    instance, _ = _Links("n1", links), _Links("n2", links)
    witnesses = frozenset((version_statements.Witness("n2", "p2"),))
    confirmed = []

    async def confirm() -> None:
        confirmed.append(await instance.resumption._confirm("r0", witnesses))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(confirm)
        tasks.start_soon(confirm)
    assert confirmed == [False, False]
