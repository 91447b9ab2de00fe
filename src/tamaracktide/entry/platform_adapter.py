"""Interface between an entry instance and the platform that it runs on.

Only implementations of this interface use the platform's names. They convert
data from the platform, clients and upstreams into the types of this package,
and raise `errors.PlatformError` with the offending value for malformed data.
"""

import dataclasses
from typing import Protocol

from tamaracktide.core import engine_orders
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.entry import requests
from tamaracktide.entry import settings as entry_settings
from tamaracktide.object_api import object_store
from tamaracktide.upstreams import calls


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Collections:
    """Keys and key prefixes in the platform's store.

    Attributes:
        document: Key of the routing document.
        documents: Prefix that contains only that key.
        upstreams: Prefix of the entries that upstreams register.
        versions: Prefix of the announced adapter versions.
        instances: Prefix of the entry instances of this deployment.
        leases: Prefix of the leases of cells.
        streams: Prefix of the records of streams and software versions.
    """

    document: str
    documents: str
    upstreams: str
    versions: str
    instances: str
    leases: str
    streams: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientFields:
    """Fields from a client's request headers.

    Attributes:
        request_id: The client's id of this attempt; empty if missing.
        host: Requested host.
        time_left_s: Time until the client's deadline; None if missing.
        generation: Parameters for a model engine; None for a plain service.
        resume_after: Id of the last event that the client received, or None.
        resumed_request: Id of the client's attempt that began the stream which
            this one resumes; empty if missing.
        key_digest: Digest of the client's API key; empty unless it sent
            exactly one.
    """

    request_id: str
    host: str
    time_left_s: float | None
    generation: requests.Generation | None
    resume_after: int | None
    resumed_request: str = ""
    key_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOptions:
    """Options of one call to an upstream.

    Attributes:
        upstream: Instance id of the only upstream that may run the call.
        address: `IP:PORT` of the upstream.
        time_left_s: Time after which the upstream stops working on it.
        priority: Priority from 0 (highest) to 9.
        version: Required adapter version; 0 for any.
        resume_after: Id of the event after which to resume, or None.
    """

    upstream: str
    address: str
    time_left_s: float
    priority: int
    version: int
    resume_after: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseFields:
    """Fields from the status and headers of an upstream's response.

    Attributes:
        request_id: Id of the request; empty if missing.
        signed: Whether the response carries an upstream's signature.
        not_run: Whether the upstream states that it did not run the request.
        misdirected: Whether the request was refused because its upstream,
            adapter or version did not match.
        upstream: Instance id of the sender; empty if missing.
        rate_limit: Requests per second that the sender takes from all
            instances together; None if it names no limit.
        brittle: Rejections in a second that the sender survives; None for any.
        overloaded: Whether it rejected the request for want of room.
        promises_not_run: Whether its status tells a client that its request has
            not run.
    """

    request_id: str
    signed: bool
    not_run: bool
    misdirected: bool
    upstream: str
    rate_limit: float | None = None
    brittle: float | None = None
    overloaded: bool = False
    promises_not_run: bool = False


class PlatformAdapter(Protocol):
    """Translates between the platform and this package."""

    @property
    def collections(self) -> Collections:
        """Keys and key prefixes in the store."""

    def open_store(
        self, settings: entry_settings.EntrySettings
    ) -> object_store.ValueStore:
        """Returns a client of the platform's store."""

    def decode_document(self, value: bytes) -> routing_document.RoutingDocument:
        """Decodes the routing document."""

    def decode_upstream(
        self, upstream: str, value: bytes
    ) -> upstream_entries.UpstreamEntry:
        """Decodes the entry that an upstream registers."""

    def decode_version(self, value: bytes) -> upstream_entries.AnnouncedVersion:
        """Decodes an announced adapter version."""

    def parse_client_headers(self, headers: requests.Headers) -> ClientFields:
        """Parses the headers of a client's request."""

    def make_headers(
        self, request: requests.ClientRequest, options: CallOptions
    ) -> requests.Headers:
        """Returns the headers of a forwarded request."""

    def make_relayed_headers(
        self,
        request: requests.ClientRequest,
        time_left_s: float,
        resume_after: int | None,
    ) -> requests.Headers:
        """Returns the headers of a request that a peer is to forward.

        Args:
            request: The request.
            time_left_s: Time until it expires.
            resume_after: Id of the event after which to resume, or None.
        """

    def parse_response_headers(
        self, status: int, headers: requests.Headers
    ) -> ResponseFields:
        """Parses the status and headers of an upstream's response."""

    def filter_response_headers(
        self, headers: requests.Headers
    ) -> requests.Headers:
        """Returns the upstream's response headers that the client receives."""

    def make_order_call(
        self,
        order: engine_orders.Order,
        options: CallOptions,
        holder: str,
        epoch: int,
    ) -> calls.Call:
        """Returns the call that sends an order to an engine."""

    def parse_order_outcome(
        self, response: calls.Response
    ) -> engine_orders.Outcome:
        """Returns the outcome of an order; uncertain if this is no response."""

    def make_report_call(self, address: str, timeout_s: float) -> calls.Call:
        """Returns the call that requests an engine's state."""

    def decode_report(self, body: bytes) -> upstream_entries.UpstreamReport:
        """Decodes an engine's report of its state."""
