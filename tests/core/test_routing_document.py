"""Tests of the lookup of routes and of their split by weight."""

from tamaracktide.core import routing_document


def _make_route(
    name: str, prefix: str, **fields: object
) -> routing_document.Route:
    values: dict[str, object] = {
        "name": name,
        "host": "h",
        "path_prefix": prefix,
        "kind": routing_document.RequestKind.IDEMPOTENT,
        "shares": (routing_document.Share(service="s"),),
        "timeout_s": 1.0,
    }
    values.update(fields)
    return routing_document.Route(**values)  # type: ignore[arg-type]


def _make_table(
    *routes: routing_document.Route,
) -> routing_document.RouteTable:
    return routing_document.RouteTable(
        routing_document.RoutingDocument(
            version=1,
            routes=routes,
            services={"s": routing_document.Service(name="s")},
            limits=routing_document.Limits(),
        )
    )


def test_longest_prefix_of_the_host_wins() -> None:
    """The route with the longest prefix of the path is chosen."""
    table = _make_table(_make_route("a", "/x/"), _make_route("b", "/x/y/"))
    found = table.find("h", "/x/y/z")
    assert found is not None
    assert found.name == "b"
    found = table.find("h", "/x/yy/z")
    assert found is not None
    assert found.name == "a"


def test_prefixes_match_complete_segments_only() -> None:
    """A prefix matches only up to a slash in the path."""
    table = _make_table(_make_route("a", "/x/"))
    assert table.find("h", "/x") is None
    assert table.find("h", "/xy/") is None
    assert table.find("other", "/x/") is None


def test_root_prefix_matches_everything() -> None:
    """The prefix `/` matches every path of its host."""
    table = _make_table(_make_route("a", "/"))
    assert table.find("h", "/anything") is not None


def test_safety_of_retries_follows_from_kind() -> None:
    """Only idempotent requests and resumable streams are safe to retry."""
    kinds = routing_document.RequestKind
    retries = {
        (kind, resumable): _make_route(
            "a", "/", kind=kind, resumable=resumable
        ).safe_to_retry
        for kind in kinds
        for resumable in (False, True)
    }
    assert [pair for pair, is_safe in retries.items() if is_safe] == [
        (kinds.IDEMPOTENT, False),
        (kinds.IDEMPOTENT, True),
        (kinds.STREAMING, True),
    ]


def test_shares_are_drawn_by_weight() -> None:
    """Requests are split between services in proportion to the weights."""
    route = _make_route(
        "a",
        "/",
        shares=(
            routing_document.Share(service="big", weight=90),
            routing_document.Share(service="small", weight=10),
        ),
    )
    chosen = [route.choose_service(f"r{index}") for index in range(4000)]
    assert 0.07 < chosen.count("small") / len(chosen) < 0.13
    assert route.choose_service("r1") == route.choose_service("r1")
