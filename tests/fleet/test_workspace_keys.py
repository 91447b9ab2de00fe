"""Tests of workspaces at real entry instances: keys, names and usage caps.

Failures: keys that are withdrawn, odd spellings on a raw socket, an instance
that reaches no upstream, and a workspace that sends many times its cap.
"""

from typing import Any

import anyio
import entry_instances
import fleet_cluster
import partitions
import pytest

import deployment
from tamaracktide.entry import settings as entry_settings

pytestmark = pytest.mark.anyio

KEY = "key-of-alpha"
OTHER_KEY = "key-of-beta"
BOUNDS = entry_settings.Bounds(
    usage_window_s=8.0, usage_fraction=0.1, usage_slack=2.0
)


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def make_document(
    version: int = 2, keys: tuple[str, ...] = (KEY,), **alpha: object
) -> dict[str, Any]:
    """Returns a document with two workspaces and one public route."""
    document = fleet_cluster.make_document(version)
    public = {**document["Routes"][2], "Name": "open", "PathPrefix": "/open/"}
    document["Routes"].append({**public, "Public": True})
    document["Tenants"] = [
        {"Name": "alpha", "ApiKeys": list(keys), "Priority": 3, **alpha},
        {"Name": "beta", "ApiKeys": [OTHER_KEY]},
    ]
    return document


def find_header(server: fleet_cluster.Server, request_id: str) -> str | None:
    """Returns the workspace that a server was told for a request."""
    return server.headers_by_request[request_id].get("x-tenant")


async def test_server_gets_the_workspace_and_never_the_key() -> None:
    """The name is that of the key, whatever the client says."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document())
        server = await cluster.add_server(fleet_cluster.Server("s1"))
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send(
                "/safe/x",
                "r1",
                Authorization=f"Token {KEY}",
                X_Tenant="beta",
                Resumes="r0",
            )
            assert response.status == 200
            await instance.send(
                "/safe/x", "r2", Authorization=f"token  {OTHER_KEY}"
            )
            await instance.send("/open/x", "r3", X_Tenant="beta")
    assert find_header(server, "r1") == "alpha"
    assert find_header(server, "r2") == "beta"
    assert find_header(server, "r3") is None
    assert KEY not in str(server.headers_by_request)
    assert "authorization" not in str(server.headers_by_request)


@pytest.mark.parametrize(
    "authorization",
    ["", "Token", f"Bearer {KEY}", "Token other", f"Token {KEY}x", KEY],
)
async def test_unknown_key_is_refused(authorization: str) -> None:
    """A missing, malformed or unknown key gets 401 and runs nothing."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document())
        server = await cluster.add_server(fleet_cluster.Server("s1"))
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send(
                "/safe/x", "r1", Authorization=authorization
            )
            assert response.status == 401
            assert b"other" not in response.content
    assert server.runs == []


async def _call_raw(
    instance: entry_instances.Instance, head: bytes, *, bytes_due: int = 0
) -> bytes:
    """Sends a request on a raw socket; returns the start of the response."""
    host, _, port = instance.settings.caller_address.rpartition(":")
    stream = await anyio.connect_tcp(host, int(port))
    async with stream:
        length = b"Content-Length: %d\r\n\r\n" % bytes_due
        await stream.send(
            b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\n" + head + length
        )
        return await stream.receive(64)


async def test_long_body_is_not_awaited_before_401() -> None:
    """The response comes although none of the body has been sent."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document())
        async with entry_instances.run_instance(cluster) as instance:
            with anyio.fail_after(entry_instances.WAIT_TIMEOUT_S):
                reply = await _call_raw(
                    instance, b"X-Request-Id: r1\r\n", bytes_due=1 << 20
                )
    assert reply.startswith(b"HTTP/1.1 401")


async def test_two_different_keys_are_refused() -> None:
    """It cannot be said whose request it is; the same key twice is fine."""
    one = b"X-Request-Id: r1\r\nAuthorization: Token " + KEY.encode() + b"\r\n"
    two = b"AUTHORIZATION: Token " + OTHER_KEY.encode() + b"\r\n"
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document())
        server = await cluster.add_server(fleet_cluster.Server("s1"))
        async with entry_instances.run_instance(cluster) as instance:
            reply = await _call_raw(instance, one + two)
            assert reply.startswith(b"HTTP/1.1 401")
            spellings = (
                b"X-TENANT: beta\r\nx-tenant: beta\r\nX_Tenant: beta\r\n"
            )
            reply = await _call_raw(instance, one + spellings)
            assert reply.startswith(b"HTTP/1.1 200")
    names = server.headers_by_request["r1"]
    assert names["x-tenant"] == "alpha"
    assert "beta" not in str(names)


async def test_keys_of_a_new_version_are_in_force() -> None:
    """A withdrawn key gets 401 and a new one is accepted, without a restart."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document())
        await cluster.add_server(fleet_cluster.Server("s1"))
        async with entry_instances.run_instance(cluster) as instance:

            async def get_status(key: str) -> int:
                response = await instance.send(
                    "/safe/x", "r", Authorization=f"Token {key}"
                )
                return response.status

            assert await get_status(KEY) == 200
            document = make_document(3, keys=("new",))
            cluster.store.put("config", "main", document)

            async def is_withdrawn() -> bool:
                return await get_status(KEY) == 401

            await entry_instances.wait_until(is_withdrawn)
            assert await get_status("new") == 200


async def test_malformed_workspaces_leave_the_document_in_force() -> None:
    """A key in two workspaces is refused as a whole; nothing changes."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document())
        await cluster.add_server(fleet_cluster.Server("s1"))
        async with entry_instances.run_instance(cluster) as instance:
            cluster.store.put(
                "config", "main", make_document(3, keys=(OTHER_KEY,))
            )
            await anyio.sleep(0.5)
            response = await instance.send(
                "/safe/x", "r1", Authorization=f"Token {KEY}"
            )
            assert response.status == 200


async def test_usage_beyond_the_cap_gets_429_with_retry_after() -> None:
    """Requests beyond burst and tolerance are refused and do not run."""
    async with fleet_cluster.run_cluster() as cluster:
        document = make_document(RatePerS=0.5, Burst=3.0)
        cluster.store.put("config", "main", document)
        server = await cluster.add_server(fleet_cluster.Server("s1"))
        async with entry_instances.run_instance(
            cluster, bounds=BOUNDS
        ) as instance:
            await anyio.sleep(2.0)
            responses = [
                await instance.send(
                    "/safe/x", f"r{number}", Authorization=f"Token {KEY}"
                )
                for number in range(12)
            ]
            refused = [r for r in responses if r.status == 429]
            other = await instance.send(
                "/safe/x", "other", Authorization=f"Token {OTHER_KEY}"
            )
    assert refused
    assert len(server.runs) == 13 - len(refused)
    allowed = 0.5 * 8.0 + 3.0
    assert len(server.runs) - 1 <= allowed * 1.1 + 2.0
    assert other.status == 200
    for response in refused:
        assert float(dict(response.headers)[b"retry-after"]) > 0


async def test_refused_request_is_not_charged() -> None:
    """Requests that no upstream runs leave the cap to later ones."""
    async with fleet_cluster.run_cluster() as cluster:
        document = make_document(RatePerS=1.0, Burst=3.0)
        cluster.store.put("config", "main", document)
        server = await cluster.add_server(fleet_cluster.Server("s1"))
        server.refuses = True
        async with entry_instances.run_instance(
            cluster, bounds=BOUNDS
        ) as instance:
            # A new process starts without tokens.
            await anyio.sleep(4.0)

            async def send(request_id: str) -> int:
                response = await instance.send(
                    "/once/x", request_id, Authorization=f"Token {KEY}"
                )
                return response.status

            refused = {await send(f"refused{number}") for number in range(8)}
            server.refuses = False
            served = [await send(f"served{number}") for number in range(3)]
    assert refused == {503}
    assert served == [200, 200, 200]


async def test_request_sent_through_a_peer_keeps_its_workspace() -> None:
    """A cut-off instance passes the name on, and no key."""
    async with fleet_cluster.run_cluster() as cluster:
        backend = partitions.Backend(cluster)
        cluster.store.put("config", "main", make_document())
        server = await cluster.add_server(fleet_cluster.Server("s1"))
        port = deployment.find_port()
        async with (
            entry_instances.run_instance(
                cluster, "n1", "127.0.0.2", port, backend=backend
            ) as instance,
            entry_instances.run_instance(cluster, "n2", "127.0.0.3", port),
        ):
            backend.set_cut(partitions.Cut.RESET)
            statuses: list[int] = []

            async def is_served() -> bool:
                response = await instance.send(
                    "/safe/x",
                    f"r{len(statuses)}",
                    Authorization=f"Token {KEY}",
                    X_Tamaracktide_Workspace="beta",
                )
                statuses.append(response.status)
                return response.status == 200

            await entry_instances.wait_until(is_served)
    run = server.runs[-1]
    assert find_header(server, run) == "alpha"
    assert "authorization" not in server.headers_by_request[run]
