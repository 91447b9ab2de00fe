"""Tests of answers that look like a refusal of a request that has run.

Load pattern: requests that must run once at most, at upstreams that run each of
them and answer with a status that clients take for the proof that none ran.
"""

import contextlib
import dataclasses

import anyio
import anyio.abc
import entry_instances
import fleet_cluster
import httpcore
import partitions
import pytest
import raw_upstreams

import deployment

pytestmark = pytest.mark.anyio

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise clients that a request has not run and never will."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def add_upstreams(
    cluster: fleet_cluster.Cluster, status: int, *headers: str
) -> list[raw_upstreams.RawUpstream]:
    """Adds upstreams that answer each request with a status and its id."""

    def respond(request_id: str) -> bytes:
        return raw_upstreams.make_response(
            status, f"X-Request-Id: {request_id}", *headers
        )

    return [
        await raw_upstreams.add_raw_upstream(cluster, name, respond)
        for name in ("p1", "p2")
    ]


def check_promise(
    response: httpcore.Response, upstreams: list[raw_upstreams.RawUpstream]
) -> None:
    """Checks that the request ran once and is not called one that did not."""
    assert sum(len(upstream.runs) for upstream in upstreams) == 1
    assert response.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_status_without_its_proof_does_not_reach_the_client(
    status: int,
) -> None:
    """Guards against a refusal of a request that has run (REFUSED).

    Only `X-Not-Executed` or 421 say that an upstream has not run a request.
    """
    async with fleet_cluster.run_cluster() as cluster:
        upstreams = await add_upstreams(cluster, status)
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
    check_promise(response, upstreams)


async def test_status_without_its_proof_is_not_taken_for_a_peers() -> None:
    """Guards against runs through two peers (TWICE).

    An instance that is cut off takes the status of an upstream for that of its
    peer, which states that a request has not run.
    """
    async with fleet_cluster.run_cluster() as cluster:
        upstreams = await add_upstreams(cluster, 503)
        backend = partitions.Backend(cluster)
        async with entry_instances.run_linked(cluster, 3, backend) as instances:
            backend.set_cut(partitions.Cut.RESET)
            responses = [
                await instances[0].send("/once/x", f"r{number}")
                for number in range(3)
            ]
    runs = [run for upstream in upstreams for run in upstream.runs]
    assert sorted(runs) == ["r0", "r1", "r2"]
    assert not {r.status for r in responses} & NOT_RUN_STATUSES


@dataclasses.dataclass(slots=True)
class RenamedUpstream(raw_upstreams.RawUpstream):
    """Refuses each request once, as one for the server before at its address.

    A second copy of that refusal precedes the next response on its connection.

    Attributes:
        expected: The instance that the first attempt was for, by request.
    """

    expected: dict[str, str] = dataclasses.field(default_factory=dict)

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves the requests of one connection."""
        late = b""
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    headers = await raw_upstreams.receive_request(stream)
                    request_id = headers["x-request-id"]
                    name = headers["x-expect-instance"]
                    if self.expected.setdefault(request_id, name) != name:
                        self.runs.append(request_id)
                        await stream.send(late + self.respond(request_id))
                        continue
                    late = raw_upstreams.make_response(
                        421, f"X-Request-Id: {request_id}"
                    )
                    await stream.send(late)


async def test_second_copy_of_a_refusal_answers_no_other_attempt() -> None:
    """Guards against a late refusal that passes for the next one's (TWICE).

    Both attempts of a request name the same id, and if another server has its
    address they use the same connection.
    """
    upstream = RenamedUpstream(raw_upstreams.make_success)
    async with fleet_cluster.run_cluster() as cluster:
        port = await raw_upstreams.serve(cluster, upstream)
        for name in ("p1", "p2"):
            server = fleet_cluster.Server(name, port=port)
            cluster.servers[name] = server
            cluster.register(server)
        async with entry_instances.run_instance(cluster) as instance:
            responses = [
                await instance.send("/once/x", f"r{number}")
                for number in range(8)
            ]
    assert sorted(upstream.runs) == [f"r{number}" for number in range(8)]
    assert not {r.status for r in responses} & NOT_RUN_STATUSES


@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_refusal_by_a_peer_of_an_older_build_proves_nothing(
    status: int,
) -> None:
    """Guards against the belief in what an older build infers (REFUSED).

    Such a peer has sent a request on, and calls it one that has not run after a
    refusal that belonged to another one.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await raw_upstreams.add_raw_upstream(
            cluster, "p1", raw_upstreams.make_success
        )
        peer = raw_upstreams.RawUpstream(
            lambda request_id: raw_upstreams.make_response(
                status, f"X-Request-Id: {request_id}", "Retry-After: 0.5"
            )
        )
        await raw_upstreams.serve(
            cluster, peer, "127.0.0.2", cluster.forward_port
        )
        backend = partitions.Backend(cluster)
        port = deployment.find_port()
        async with (
            entry_instances.run_instance(
                cluster, "n1", "127.0.0.1", port, backend=backend
            ) as instance,
            entry_instances.run_instance(
                cluster,
                "n2",
                "127.0.0.2",
                port,
                forward_port=deployment.find_port(),
            ),
        ):
            await anyio.sleep(entry_instances.LINKED_S)
            backend.set_cut(partitions.Cut.RESET)
            responses = [
                await instance.send("/once/x", f"r{number}")
                for number in range(3)
            ]
    assert peer.runs == ["r0", "r1", "r2"]
    assert not {r.status for r in responses} & NOT_RUN_STATUSES


async def answer_before(
    cluster: fleet_cluster.Cluster, stray: bytes
) -> tuple[httpcore.Response, list[raw_upstreams.RawUpstream]]:
    """Sends a request to upstreams that answer it after stray bytes."""
    upstreams = [
        await raw_upstreams.add_raw_upstream(
            cluster,
            name,
            lambda request_id: stray + raw_upstreams.make_success(request_id),
        )
        for name in ("p1", "p2")
    ]
    async with entry_instances.run_instance(cluster) as instance:
        return await instance.send("/once/x", "r1"), upstreams


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (421, ()),
        (503, ("X-Not-Executed: 1",)),
        (400, ("X-Not-Executed: 1",)),
    ],
)
async def test_refusal_without_an_id_belongs_to_no_request(
    status: int, headers: tuple[str, ...]
) -> None:
    """Guards against a stray refusal that passes for this one's (TWICE).

    Responses to requests name their id; those to orders, on the same
    connections, name none. A second copy of one of these may arrive late.
    """
    async with fleet_cluster.run_cluster() as cluster:
        response, upstreams = await answer_before(
            cluster, raw_upstreams.make_response(status, *headers)
        )
    check_promise(response, upstreams)


async def test_answer_without_an_id_is_not_passed_on() -> None:
    """Guards against a late response to an order as an answer (MIXED)."""
    async with fleet_cluster.run_cluster() as cluster:
        response, upstreams = await answer_before(
            cluster, raw_upstreams.make_response(409)
        )
    check_promise(response, upstreams)
    assert response.status != 409


async def test_trailer_of_an_answer_is_no_header() -> None:
    """Guards against a success that a trailer turns into a refusal (TWICE)."""

    def respond(request_id: str) -> bytes:
        return (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {request_id}\r\n"
            "X-Response-Signature: 1.2.3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            "4\r\ndone\r\n0\r\nX-Not-Executed: 1\r\n\r\n"
        ).encode()

    async with fleet_cluster.run_cluster() as cluster:
        upstreams = [
            await raw_upstreams.add_raw_upstream(cluster, name, respond)
            for name in ("p1", "p2")
        ]
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
    check_promise(response, upstreams)
    assert response.content == b"done"


async def test_success_that_claims_not_to_have_run_is_lost() -> None:
    """Guards against a second run after a response that contradicts itself."""

    def respond(request_id: str) -> bytes:
        return raw_upstreams.make_response(
            200,
            f"X-Request-Id: {request_id}",
            "X-Response-Signature: 1.2.3",
            "X-Not-Executed: 1",
            body=b"done",
        )

    async with fleet_cluster.run_cluster() as cluster:
        upstreams = [
            await raw_upstreams.add_raw_upstream(cluster, name, respond)
            for name in ("p1", "p2")
        ]
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
    check_promise(response, upstreams)
    assert response.status == 502
