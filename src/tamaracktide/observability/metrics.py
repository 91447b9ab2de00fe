"""Prometheus metrics of a process.

Counters and gauges are updated with `metrics.grants.inc({"pool": "p"})`,
`metrics.load_stall_seconds.add({"pool": "p"}, 0.2)` and
`metrics.table_revision.set({}, 7)`, histograms with `observe(labels, value)`.
"""

from collections.abc import Sequence

from aioprometheus import collectors
from aioprometheus import renderer

PREFIX = "tamaracktide_"
LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    float("inf"),
)


class Metrics:
    """The metrics of a process, in a separate registry.

    Attributes:
        requests: Finished requests, by `kind` (engine or service) and `code`.
        request_seconds: Time to the end of the response, by `kind`.
        first_token_seconds: Time to the first token, by `pool`.
        retries: Attempts after the first, by `pool` and `cause`.
        relayed: Requests sent through a peer, by `pool`.
        stream_resumes: Streams resumed at an offset, by `pool`.
        client_resumes: Streams that clients resumed, by `pool` and `source`
            (how the software version that began them is known, `unknown` if
            it is not).
        process_reports: Reports that tell the start of an upstream's process,
            by `pool` and `result` (attested, differs or unknown).
        held_up_seconds: Seconds for which the process was held up.
        tokens: Tokens forwarded to clients, by `pool`.
        grants: Grants issued (scheduler) or received (gateway), by `pool`.
        queue_wait_seconds: Time waited for a grant, by `pool`.
        queue_length: Requests waiting for a grant, by `pool`.
        load_stalls: Requests that waited for an adapter load, by `pool`.
        load_stall_seconds: Time waited for adapter loads, by `pool`.
        loads: Finished adapter loads, by `pool` and `result`.
        evictions: Adapters unloaded, by `pool`.
        batch_efficiency: Ratio of running requests to batch slots, by `pool`.
        batch_busy_seconds: Time integral of used batch slots, by `pool`.
        batch_place_seconds: Time integral of all batch slots, by `pool`.
        shared_seconds: Time for which two upstreams had one stream.
        refusals: Requests refused before they ran, by `code`.
        usage: Usage of workspaces, in the unit of their caps, by `workspace`.
        usage_returned: Usage given back as its requests did not run, by
            `workspace`.
        usage_refusals: Requests beyond a usage cap, by `workspace`.
        claims: Claims of idempotency keys, by `state`.
        owned_upstreams: Upstreams owned by this scheduler, by `pool`.
        quarantined: Quarantined request fingerprints.
        peers: Linked peers, by the `revision` of their build's messages.
        table_revision: Revision of the tables in force.
        table_age_seconds: Seconds since the tables were last confirmed.
        store_era: Latest known era of the store; 0 if it names none.
        store_era_changes: Changes of the store's era since the start.
        store_relisted_objects: Objects that were listed again after the latest
            change of the era, by prefix.
    """

    def __init__(self) -> None:
        """Registers all metrics."""
        self._registry = collectors.Registry()
        self.requests = self._counter("requests_total", "Requests answered")
        self.request_seconds = self._histogram(
            "request_seconds", "Time to the end of the answer"
        )
        self.first_token_seconds = self._histogram(
            "first_token_seconds", "Time to the first token"
        )
        self.retries = self._counter("retries_total", "Repeated attempts")
        self.relayed = self._counter(
            "relayed_total", "Requests sent through another instance"
        )
        self.shared_seconds = self._histogram(
            "shared_seconds", "Time for which two upstreams had one stream"
        )
        self.stream_resumes = self._counter(
            "stream_resumes_total", "Streams resumed at an offset"
        )
        self.client_resumes = self._counter(
            "client_resumes_total", "Streams resumed by clients"
        )
        self.process_reports = self._counter(
            "process_reports_total", "Reports of the start of a process"
        )
        self.held_up_seconds = self._counter(
            "held_up_seconds_total", "Seconds the process was held up"
        )
        self.tokens = self._counter("tokens_total", "Tokens passed on")
        self.grants = self._counter("grants_total", "Grants")
        self.queue_wait_seconds = self._histogram(
            "queue_wait_seconds", "Wait for a grant"
        )
        self.queue_length = self._gauge(
            "queue_length", "Requests without a grant"
        )
        self._add_scheduler_instruments()
        self._add_control_instruments()

    def render(self, accept: Sequence[str] = ()) -> tuple[bytes, str]:
        """Returns the metrics in exposition format and their content type.

        Args:
            accept: Values of the Accept header of the request.
        """
        body, headers = renderer.render(self._registry, list(accept))
        return body, headers["Content-Type"]

    def _add_scheduler_instruments(self) -> None:
        self.load_stalls = self._counter(
            "load_stalls_total", "Requests that waited for an adapter load"
        )
        self.load_stall_seconds = self._counter(
            "load_stall_seconds_total", "Seconds waited for adapter loads"
        )
        self.loads = self._counter("loads_total", "Adapter loads ended")
        self.evictions = self._counter("evictions_total", "Adapters unloaded")
        self.batch_efficiency = self._gauge(
            "batch_efficiency", "Running requests over batch places"
        )
        self.batch_busy_seconds = self._counter(
            "batch_busy_seconds_total", "Batch places in use, integrated"
        )
        self.batch_place_seconds = self._counter(
            "batch_place_seconds_total", "Batch places, integrated"
        )
        self.owned_upstreams = self._gauge(
            "owned_upstreams", "Upstreams owned by this scheduler"
        )

    def _add_control_instruments(self) -> None:
        self.refusals = self._counter(
            "refusals_total", "Requests refused unrun"
        )
        self.usage = self._counter("usage_total", "Usage charged to caps")
        self.usage_returned = self._counter(
            "usage_returned_total", "Usage given back"
        )
        self.usage_refusals = self._counter(
            "usage_refusals_total", "Requests beyond a usage cap"
        )
        self.claims = self._counter(
            "claims_total", "Claims of idempotency keys"
        )
        self.quarantined = self._gauge(
            "quarantined", "Quarantined request fingerprints"
        )
        self.peers = self._gauge("peers", "Linked peers by message revision")
        self.table_revision = self._gauge(
            "table_revision", "Revision of the tables in force"
        )
        self.table_age_seconds = self._gauge(
            "table_age_seconds", "Seconds since the tables were confirmed"
        )
        self.store_era = self._gauge(
            "store_era", "Latest known era of the store, 0 for none"
        )
        self.store_era_changes = self._gauge(
            "store_era_changes", "Changes of the store's era since the start"
        )
        self.store_relisted_objects = self._gauge(
            "store_relisted_objects",
            "Objects listed again after the latest change of the era",
        )

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(PREFIX + name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> collectors.Gauge:
        return collectors.Gauge(PREFIX + name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> collectors.Histogram:
        return collectors.Histogram(
            PREFIX + name,
            doc,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
