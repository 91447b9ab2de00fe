"""Tests of the decisions about a document that peers have.

Load pattern: a large document on narrow links, while the store does not reach
some of the instances, or has stopped sending to them.
"""

from tamaracktide.core import document_fetch

PERIOD_S = 0.25
"""Time between two updates."""

VALUE = bytes(range(256)) * 700
"""Nearly three parts."""

CONTENT = document_fetch.Content(
    era=1, revision=20, size=len(VALUE), digest="d1"
)
PEERS = {"n1": 1, "n2": 2, "n3": 2}


def find_first_request(
    fetch: document_fetch.DocumentFetch,
    *,
    reaches_store: bool,
    active_until: float = 0.0,
) -> tuple[float, document_fetch.PartRequest]:
    """Returns when a peer is asked first, and the request.

    Args:
        fetch: The decisions.
        reaches_store: Whether calls to the store succeed.
        active_until: Time until which parts arrive from the store.
    """
    for step in range(100):
        now = step * PERIOD_S
        if now < active_until:
            fetch.record_bytes(now)
        request = fetch.update(1, PEERS, now, reaches_store=reaches_store)
        if request is not None:
            return now, request
    raise AssertionError("no peer was asked")


def transfer(
    fetch: document_fetch.DocumentFetch,
    request: document_fetch.PartRequest,
    content: document_fetch.Content,
    value: bytes,
    count: int,
) -> document_fetch.PartRequest | document_fetch.Document | None:
    """Applies some parts, each as it was requested; returns the last result."""
    result: document_fetch.PartRequest | document_fetch.Document | None
    result = request
    for _ in range(count):
        assert isinstance(result, document_fetch.PartRequest)
        part = document_fetch.cut_part(content, value, result.offset)
        result = fetch.apply_part(result.peer, part, 1.0)
    return result


def test_no_peer_is_asked_while_the_store_sends() -> None:
    """A narrow link takes seconds, and peers would send the same once more."""
    fetch = document_fetch.DocumentFetch()
    asked_at, _ = find_first_request(
        fetch, reaches_store=True, active_until=5.0
    )
    assert asked_at >= 5.0


def test_silent_store_is_not_waited_for() -> None:
    """A peer that has the newest document is asked within a second."""
    fetch = document_fetch.DocumentFetch()
    asked_at, request = find_first_request(fetch, reaches_store=True)
    assert asked_at <= document_fetch.MAX_BEHIND_S + PERIOD_S
    assert request == document_fetch.PartRequest(peer="n2", digest="", offset=0)


def test_store_that_refuses_is_not_waited_for() -> None:
    """Its calls have failed, so nothing can arrive."""
    fetch = document_fetch.DocumentFetch()
    asked_at, _ = find_first_request(fetch, reaches_store=False)
    assert asked_at == 0.0


def test_response_after_failed_calls_is_waited_for() -> None:
    """The store is back, and asking a peer would end the call that succeeds."""
    fetch = document_fetch.DocumentFetch()
    asked_at, _ = find_first_request(
        fetch, reaches_store=False, active_until=3.0
    )
    assert asked_at >= 3.0


def test_document_that_does_not_come_into_force_is_not_fetched_at_once() -> (
    None
):
    """Guards against a megabyte each second that changes nothing."""
    fetch = document_fetch.DocumentFetch()
    _, request = find_first_request(fetch, reaches_store=False)
    assert transfer(fetch, request, CONTENT, VALUE, 3) is not None
    at = 1.0 + document_fetch.REPEAT_DELAY_S
    assert fetch.update(1, PEERS, at - 0.1, reaches_store=False) is None
    newer = {**PEERS, "n3": 3}
    assert fetch.update(1, newer, at - 0.1, reaches_store=False) is not None
    fetch.update(3, newer, at - 0.1, reaches_store=True)
    assert fetch.update(1, PEERS, at, reaches_store=False) is not None


def test_parts_make_up_the_document() -> None:
    """One part is requested at a time."""
    fetch = document_fetch.DocumentFetch()
    _, request = find_first_request(fetch, reaches_store=False)
    document = transfer(fetch, request, CONTENT, VALUE, 3)
    assert document == document_fetch.Document(content=CONTENT, value=VALUE)
    assert not fetch.is_behind


def test_transfer_goes_on_at_another_peer() -> None:
    """Guards against beginning anew with each peer that is lost (CONFIG)."""
    fetch = document_fetch.DocumentFetch()
    _, request = find_first_request(fetch, reaches_store=False)
    transfer(fetch, request, CONTENT, VALUE, 2)
    at = 1.0 + document_fetch.PART_TIMEOUT_S
    resumed = fetch.update(1, PEERS, at, reaches_store=False)
    assert resumed == document_fetch.PartRequest(
        peer="n3", digest="d1", offset=2 * document_fetch.PART_BYTES
    )
    assert transfer(fetch, resumed, CONTENT, VALUE, 1) == (
        document_fetch.Document(content=CONTENT, value=VALUE)
    )


def test_peer_whose_link_has_closed_is_replaced_at_once() -> None:
    """It is not among the linked peers any more."""
    fetch = document_fetch.DocumentFetch()
    _, request = find_first_request(fetch, reaches_store=False)
    transfer(fetch, request, CONTENT, VALUE, 1)
    resumed = fetch.update(1, {"n3": 2}, 1.0 + PERIOD_S, reaches_store=False)
    assert resumed is not None
    assert (resumed.peer, resumed.offset) == ("n3", document_fetch.PART_BYTES)


def test_other_document_is_read_from_its_beginning() -> None:
    """The peer has got a newer one in the middle of the transfer."""
    fetch = document_fetch.DocumentFetch()
    _, request = find_first_request(fetch, reaches_store=False)
    transfer(fetch, request, CONTENT, VALUE, 2)
    newer = document_fetch.Content(era=1, revision=30, size=3, digest="d2")
    part = document_fetch.cut_part(newer, b"new", 0)
    assert fetch.apply_part("n2", part, 1.1) == document_fetch.Document(
        content=newer, value=b"new"
    )


def test_parts_that_do_not_fit_are_ignored() -> None:
    """Late ones, those of another peer, and those beyond the document."""
    fetch = document_fetch.DocumentFetch()
    _, request = find_first_request(fetch, reaches_store=False)
    first = document_fetch.cut_part(CONTENT, VALUE, 0)
    assert fetch.apply_part("n3", first, 1.0) is None
    assert transfer(fetch, request, CONTENT, VALUE, 1) is not None
    assert fetch.apply_part("n2", first, 1.0) is None
    beyond = document_fetch.Part(
        content=CONTENT, offset=document_fetch.PART_BYTES, data=VALUE
    )
    assert fetch.apply_part("n2", beyond, 1.0) is None


def test_document_that_has_arrived_ends_the_transfer() -> None:
    """It came from the store meanwhile."""
    fetch = document_fetch.DocumentFetch()
    _, request = find_first_request(fetch, reaches_store=False)
    transfer(fetch, request, CONTENT, VALUE, 1)
    assert fetch.update(2, PEERS, 1.1, reaches_store=True) is None
    late = document_fetch.cut_part(CONTENT, VALUE, document_fetch.PART_BYTES)
    assert fetch.apply_part("n2", late, 1.2) is None
