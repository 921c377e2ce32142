"""Prometheus metrics of the gateway, and their text exposition."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from liftrill import clock
from liftrill.errors import ResultCode
from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery import DeliveryMachine
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.service_speeds import SpeedFigures
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.peers.node_capacity import NodeLoad

LATENCY_BUCKETS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
# Requests of this priority and of less urgent ones share a label.
MAX_URGENCY_LABEL = 9
OUTCOMES = {
    events.FinishStream: "served",
    events.SendResponse: "served",
    events.RefuseRequest: "not_run",
    events.FailRequest: "unknown",
    events.AbortStream: "broken_off",
}


def _urgency_label(request: OpaqueRequest) -> str:
    return str(min(request.priority, MAX_URGENCY_LABEL))


class GatewayMetrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.outcomes = self._counter("liftrill_requests", "Requests by outcome.", "outcome")
        self.refusals = self._counter("liftrill_refusals", "Requests not served by code.", "code")
        self.quota_refusals = self._counter(
            "liftrill_quota_refusals", "Requests over the limit of their tenant.", "tenant"
        )
        self.attempts = Counter("liftrill_attempts", "Attempts sent.", registry=self.registry)
        self.rejected_responses = Counter(
            "liftrill_rejected_responses",
            "Responses of engines that were invalid or too large.",
            registry=self.registry,
        )
        self.response_faults = Counter(
            "liftrill_response_faults",
            "Responses to this node that were malformed, or that more bytes followed.",
            registry=self.registry,
        )
        self.closed_responses = self._counter(
            "liftrill_closed_responses",
            "Responses that ended with their connection, by what is known of the engine since.",
            "engine",
        )
        self.incarnation_checks = Counter(
            "liftrill_incarnation_checks",
            "Streams bound to a software version, by their engine's reply and whether it sufficed.",
            ("reply", "confirmed"),
            registry=self.registry,
        )
        self.interrupted_streams = self._counter(
            "liftrill_interrupted_streams",
            "Streams that could go on elsewhere, by what was known of their engine.",
            "engine",
        )
        self.store_calls = self._counter("liftrill_store_calls", "Store calls by kind.", "kind")
        self.orders = self._counter("liftrill_orders", "Engine orders by answer.", "answer")
        self.request_seconds = Histogram(
            "liftrill_request_seconds",
            "Time from receipt of a request to its end.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.version = self._gauge(
            "liftrill_configuration_version", "Configuration version in force."
        )
        self.proof_age = self._gauge("liftrill_key_proof_age_seconds", "Age of the last proof.")
        self.mirror_age = self._gauge(
            "liftrill_mirror_age_seconds", "Time for which the mirror may lack store changes."
        )
        self.engines = self._gauge("liftrill_engines", "Engines with a record.")
        self.unreachable_engines = self._gauge(
            "liftrill_unreachable_engines", "Engines that this node's own links do not reach."
        )
        self.proxied_requests = self._counter(
            "liftrill_proxied_requests", "Requests of peers passed on to engines.", "outcome"
        )
        self.proxied_attempts = Counter(
            "liftrill_proxied_attempts",
            "Attempts that this node sent by a peer.",
            registry=self.registry,
        )
        self.unread_headers = Counter(
            "liftrill_unread_headers",
            "Names of headers with announcements of back ends that no code reads.",
            registry=self.registry,
        )
        self.followers = self._gauge(
            "liftrill_relay_followers", "Nodes that follow this node's mirror of the store."
        )
        self.reads_store = self._gauge(
            "liftrill_reads_store", "1 if this node reads the store, 0 if it follows a reader."
        )
        self.store_link_saturated = self._gauge(
            "liftrill_store_link_short", "1 if the links of the prefix stores are saturated."
        )
        self.held_seconds = self._gauge(
            "liftrill_held_seconds", "Assumed time for which engines cache a used prefix."
        )
        self.limited_tenants = self._gauge(
            "liftrill_limited_tenants", "Tenants with recent refusals over their limit."
        )
        self.queue_depth = self._gauge("liftrill_line_depth", "Requests queued for engines.")
        self.queue_age_s = self._gauge(
            "liftrill_line_age_seconds", "Waiting time of the oldest queued request."
        )
        self.sent_by_urgency = self._counter(
            "liftrill_sent_requests", "Requests sent to an engine, by urgency.", "urgency"
        )
        self.refused_by_urgency = self._counter(
            "liftrill_refused_for_room", "Requests refused for lack of capacity.", "urgency"
        )
        self.quarantined = self._gauge(
            "liftrill_quarantined_requests", "Requests in quarantine, sent to no engine."
        )
        self.stalls = Counter(
            "liftrill_standstills",
            "Stalls of this process, including sleep of its machine.",
            registry=self.registry,
        )
        self.refused_records = Counter(
            "liftrill_refused_records",
            "Records in the store that could not be decoded.",
            registry=self.registry,
        )
        self.store_era = self._gauge(
            "liftrill_store_era", "Era of the store, which increases with each restore."
        )
        self.refused_eras = Counter(
            "liftrill_refused_store_eras",
            "Answers of the store from an era earlier than the known one.",
            registry=self.registry,
        )
        self.limited_engines = self._gauge(
            "liftrill_limited_engines", "Engines that receive requests only under permits."
        )
        self.brittle_services = Gauge(
            "liftrill_brittle_services",
            "1 if the engines of a service say that they are brittle.",
            ["service"],
            registry=self.registry,
        )
        self.permits = self._counter(
            "liftrill_engine_permits", "Permits requested by this node, by answer.", "answer"
        )
        self.engine_signals = self._counter(
            "liftrill_engine_words",
            "Engine answers that announce leaving, a backoff or a limit.",
            "says",
        )
        self.resumed_streams = self._counter(
            "liftrill_resumed_streams",
            "Streams that callers resumed, by how the version that began them was found.",
            "source",
        )
        self.stream_origins = self._gauge(
            "liftrill_stream_origins", "Streams whose software version this node knows."
        )
        self.engine_versions = Gauge(
            "liftrill_engine_versions",
            "Engines by service and software version.",
            ["service", "version"],
            registry=self.registry,
        )
        self.engine_ends = Counter(
            "liftrill_engine_ends",
            "Engines found to have ended during runs.",
            registry=self.registry,
        )
        self.prefill_rate = Gauge(
            "liftrill_engine_reading_tokens_per_second",
            "Prefill rate of a service's slowest, median and fastest engine.",
            ["service", "engine"],
            registry=self.registry,
        )
        self.slow_engines = Gauge(
            "liftrill_slow_engines",
            "Engines that are slower than the others of their service.",
            ["service"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "liftrill_held_bytes",
            "Bytes buffered for callers, by purpose.",
            ["purpose"],
            registry=self.registry,
        )
        self.holding_capacity = self._gauge(
            "liftrill_holding_capacity_bytes", "Maximum bytes buffered for callers."
        )
        self.slow_callers = self._counter(
            "liftrill_slow_callers", "Answers ended because of slow callers.", "reason"
        )
        self.capacity = self._gauge(
            "liftrill_node_capacity_cores", "Processor cores for requests; 0 if unknown."
        )
        self.capacity_used = self._gauge(
            "liftrill_node_used_cores", "Processor cores in use for requests."
        )
        self.loop_lag = self._gauge("liftrill_loop_lag_seconds", "Lag of the event loop.")
        self.named_nodes = self._gauge(
            "liftrill_named_nodes", "Addresses in the last answer of the directory."
        )
        self.peers = self._gauge("liftrill_peers", "Nodes considered alive, including this one.")

    def count_outcome(self, outcome: str) -> None:
        """Count a request by outcome."""
        self.outcomes.labels(outcome).inc()

    def count_engine_signal(self, signal: EngineSignal) -> None:
        """Count an engine's answer that announces its leaving, a backoff or a rate limit."""
        if signal.leaving:
            self.engine_signals.labels("leaving").inc()
        if signal.backoff_s:
            self.engine_signals.labels("rest").inc()
        if signal.limit_per_s is not None:
            self.engine_signals.labels("limit").inc()
        if signal.rejections_per_s is not None:
            self.engine_signals.labels("brittle").inc()

    def set_capacity(self, node_load: NodeLoad, lag_s: float) -> None:
        """Set the capacity, the utilization and the event loop lag of this node."""
        self.capacity.set(node_load.capacity_cores)
        self.capacity_used.set(node_load.used_cores)
        self.loop_lag.set(lag_s)

    def record_sent(self, request: OpaqueRequest) -> None:
        """Count the first attempt of a request, by urgency."""
        self.sent_by_urgency.labels(_urgency_label(request)).inc()

    def record_end(self, machine: DeliveryMachine, ending: events.DeliveryInstruction) -> None:
        """Count the outcome of a request and observe its duration."""
        self.count_outcome(OUTCOMES[type(ending)])
        if isinstance(ending, events.RefuseRequest | events.FailRequest | events.AbortStream):
            self.refusals.labels(ending.code.name.lower()).inc()
        if isinstance(ending, events.RefuseRequest) and ending.code is ResultCode.ENGINES_FULL:
            self.refused_by_urgency.labels(_urgency_label(machine.request)).inc()
        self.attempts.inc(len(machine.attempts))
        self.request_seconds.observe(clock.now_s() - machine.request.received_at)

    def record_speeds(self, figures: Iterable[SpeedFigures]) -> None:
        """Set the prefill rates and the number of slow engines of each service."""
        for figure in figures:
            for engine, rate in zip(("slowest", "middle", "fastest"), figure.rates, strict=True):
                self.prefill_rate.labels(figure.service, engine).set(rate)
            self.slow_engines.labels(figure.service).set(figure.slow)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, documentation: str, label: str) -> Counter:
        return Counter(name, documentation, [label], registry=self.registry)

    def _gauge(self, name: str, documentation: str) -> Gauge:
        return Gauge(name, documentation, registry=self.registry)
