"""Tests of the services that recent documents choose.

Load pattern: an operator changes the shares of a route while clients resume
streams.
"""

from tamaracktide.core import route_history
from tamaracktide.core import routing_document
from tamaracktide.core import stream_origins

RETENTION_S = stream_origins.RETENTION_S
HOST = "h.example"


def make_document(
    *shares: tuple[str, float], prefix: str = "/s/", resumable: bool = True
) -> routing_document.RoutingDocument:
    """Returns a document with one streaming route."""
    route = routing_document.Route(
        name="s",
        host=HOST,
        path_prefix=prefix,
        kind=routing_document.RequestKind.STREAMING,
        shares=tuple(
            routing_document.Share(service=service, weight=weight)
            for service, weight in shares
        ),
        timeout_s=8.0,
        resumable=resumable,
    )
    return routing_document.RoutingDocument(
        version=1,
        routes=(route,),
        services={},
        limits=routing_document.Limits(),
    )


def make_history(
    *documents: routing_document.RoutingDocument,
) -> route_history.RouteHistory:
    """Returns the history of documents in force from 0 s, 1 s and so on."""
    history = route_history.RouteHistory(0.0)
    for now, document in enumerate(documents):
        history.apply(document, float(now))
    return history


def test_single_service_is_the_only_choice() -> None:
    """Nothing needs to be known of its streams."""
    history = make_history(make_document(("a", 1)))
    assert history.find_choices(HOST, "/s/x", "r", 0.0) == {"a"}
    assert history.list_reassigned(0.0) == frozenset()
    assert not history.has_several_services()


def test_moved_route_has_two_choices_while_its_streams_may_be_resumed() -> None:
    """Both services are reassigned until the retention has passed."""
    history = make_history(make_document(("a", 1)), make_document(("b", 1)))
    assert history.find_choices(HOST, "/s/x", "r", 2.0) == {"a", "b"}
    assert history.list_reassigned(2.0) == {"a", "b"}
    assert history.find_choices(HOST, "/s/x", "r", 1 + RETENTION_S) == {"b"}
    assert history.list_reassigned(1 + RETENTION_S) == frozenset()


def test_same_shares_in_another_document_are_no_change() -> None:
    """Most documents change no streaming route."""
    shares = (("a", 1.0), ("b", 1.0))
    history = make_history(make_document(*shares), make_document(*shares))
    assert history.list_reassigned(2.0) == frozenset()
    assert history.has_several_services()


def test_changed_weights_change_the_choice_of_some_requests_only() -> None:
    """The others go on at the only service that any document chose."""
    history = make_history(
        make_document(("a", 1), ("b", 1)), make_document(("a", 1), ("b", 9))
    )
    counts = {
        len(history.find_choices(HOST, "/s/x", f"r{number}", 2.0))
        for number in range(40)
    }
    assert counts == {1, 2}


def test_more_specific_route_takes_over_a_part_of_the_paths() -> None:
    """A stream may have begun on the route with the shorter prefix."""
    history = make_history(
        make_document(("a", 1)), make_document(("b", 1), prefix="/s/x/")
    )
    assert history.find_choices(HOST, "/s/x/1", "r", 2.0) == {"a", "b"}
    assert history.list_reassigned(2.0) == {"a", "b"}


def test_documents_before_a_start_are_not_known() -> None:
    """Guards against a start that takes its document for all there was."""
    history = make_history(make_document(("a", 1), ("b", 1)))
    assert not history.is_complete(RETENTION_S - 1.0)
    assert history.is_complete(RETENTION_S)


def test_routes_that_are_not_resumable_do_not_count() -> None:
    """Nothing goes on there."""
    history = make_history(
        make_document(("a", 1), resumable=False),
        make_document(("b", 1), resumable=False),
    )
    assert history.list_reassigned(2.0) == frozenset()


def test_stream_that_nobody_knows_began_by_the_restored_table() -> None:
    """Guards against a start that takes its document for all there was (ORDER).

    Another instance that starts later reads the tables of both documents.
    """
    before = make_history(make_document(("a", 1), ("b", 1)))
    tables = before.list_recent(1.0)
    for recorded in (tables, (*tables, *make_split(1, 9).list_recent(0.0))):
        after = make_split(1, 9)
        after.restore(recorded, 5.0)
        for number in range(20):
            chosen = before.find_choices(HOST, "/s/x", f"r{number}", 1.0)
            restored = after.find_restored_choice(
                HOST, "/s/x", f"r{number}", 6.0
            )
            assert chosen == {restored}
        assert after.list_reassigned(6.0) == {"a", "b"}
        assert len(after.list_recent(6.0)) == 2
        later = 5.0 + RETENTION_S
        assert after.find_restored_choice(HOST, "/s/x", "r", later) is None
        assert after.list_reassigned(later) == frozenset()


def make_split(first: float, second: float) -> route_history.RouteHistory:
    """Returns the history of one document that splits its route."""
    return make_history(make_document(("a", first), ("b", second)))


def test_tables_may_be_restored_before_the_first_document() -> None:
    """A service is reassigned, too, if the records are read first."""
    recorded = make_split(1, 1).list_recent(0.0)
    history = route_history.RouteHistory(0.0)
    history.restore(recorded, 0.0)
    history.apply(make_document(("a", 1), ("b", 9)), 1.0)
    assert history.list_reassigned(2.0) == {"a", "b"}
    unchanged = route_history.RouteHistory(0.0)
    unchanged.restore(recorded, 0.0)
    unchanged.apply(make_document(("a", 1), ("b", 1)), 1.0)
    assert unchanged.list_reassigned(2.0) == frozenset()
    assert unchanged.list_recent(2.0) == recorded


def test_table_that_is_known_is_not_restored() -> None:
    """A record that tells nothing new does not prolong what is known."""
    history = make_split(1, 9)
    history.restore(history.list_recent(1.0), 2.0)
    assert history.find_restored_choice(HOST, "/s/x", "r", 3.0) is None


def test_history_that_is_complete_restores_nothing() -> None:
    """An instance that has seen all documents knows who began a stream."""
    history = make_split(1, 9)
    history.restore(make_split(1, 1).list_recent(0.0), RETENTION_S)
    assert history.list_reassigned(RETENTION_S) == frozenset()


def test_single_service_is_not_recorded() -> None:
    """Deployments without split routes write nothing of them."""
    history = make_history(make_document(("a", 1)))
    assert history.list_recent(1.0) == ()
