"""What an entry instance needs of the platform that it runs on.

Nothing else knows the platform's names. Implementations turn what the
platform, callers and upstreams send into the product's own types, and raise
`errors.PlatformError` with the offending value for what cannot be understood.
"""

import dataclasses
from typing import Protocol

from tamaracktide.core import engine_orders
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.entry import requests
from tamaracktide.object_api import port
from tamaracktide.upstreams import calls


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Collections:
    """Prefixes of the store's keys.

    Attributes:
        document: Key of the routing document.
        documents: Prefix that holds only that key.
        upstreams: Prefix of what upstreams tell of themselves.
        versions: Prefix of the announced versions of adapters.
        instances: Prefix of the instances of this deployment.
        leases: Prefix of the leases of cells.
    """

    document: str
    documents: str
    upstreams: str
    versions: str
    instances: str
    leases: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerFields:
    """What a caller's headers say.

    Attributes:
        request_id: The caller's id of this attempt; empty if missing.
        host: Host that it asked for.
        time_left_s: How long it will wait; None if it does not say.
        generation: What it asks of an engine, None if nothing.
        resume_after: Id of the last event it has, None if it has none.
    """

    request_id: str
    host: str
    time_left_s: float | None
    generation: requests.Generation | None
    resume_after: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOptions:
    """On what terms a request is passed on to an upstream.

    Attributes:
        upstream: Instance id of the only upstream that may run it.
        address: Its `IP:PORT`.
        time_left_s: Time after which the upstream stops work.
        priority: Rank from 0 (first) to 9.
        version: Version of the adapter that must run it; 0 for any.
        resume_after: Id of the event after which to go on, or None.
    """

    upstream: str
    address: str
    time_left_s: float
    priority: int
    version: int
    resume_after: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFields:
    """What the head of an upstream's answer says.

    Attributes:
        request_id: The request that it answers; empty if it does not say.
        signed: Whether it bears an upstream's signature.
        not_run: Whether the upstream says that it did not run the request.
        misdirected: Whether it was refused for its upstream, adapter or
            version.
        upstream: Instance that answered; empty if it does not say.
    """

    request_id: str
    signed: bool
    not_run: bool
    misdirected: bool
    upstream: str


class PlatformAdapter(Protocol):
    """Translates between the platform and the product."""

    @property
    def collections(self) -> Collections:
        """Prefixes of the store's keys."""

    def open_store(self, address: str) -> port.ValueStore:
        """Returns a client of the platform's store."""

    def decode_document(self, value: bytes) -> routing_document.RoutingDocument:
        """Returns the routing document."""

    def decode_upstream(
        self, upstream: str, value: bytes
    ) -> upstream_entries.UpstreamEntry:
        """Returns what an upstream tells of itself."""

    def decode_version(self, value: bytes) -> upstream_entries.AnnouncedVersion:
        """Returns an announced version."""

    def read_caller(self, headers: requests.Headers) -> CallerFields:
        """Returns what a caller's headers say."""

    def make_headers(
        self, request: requests.ClientRequest, terms: CallOptions
    ) -> requests.Headers:
        """Returns the headers to pass a request on with."""

    def read_answer(
        self, status: int, headers: requests.Headers
    ) -> AnswerFields:
        """Returns what the head of an upstream's answer says."""

    def list_returned(self, headers: requests.Headers) -> requests.Headers:
        """Returns the headers of an upstream's answer for the caller."""

    def make_order_call(
        self,
        order: engine_orders.Order,
        terms: CallOptions,
        holder: str,
        epoch: int,
    ) -> calls.Call:
        """Returns the call that sends an order to an engine."""

    def parse_order_outcome(self, status: int) -> engine_orders.Outcome:
        """Returns what the answer to an order says."""

    def make_report_call(self, address: str, timeout_s: float) -> calls.Call:
        """Returns the call that asks an engine for its state."""

    def decode_report(self, body: bytes) -> upstream_entries.UpstreamReport:
        """Returns an engine's account of its state."""
