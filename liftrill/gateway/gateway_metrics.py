"""Counters and latency histograms of the gateway, in Prometheus' text form."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from liftrill import clock
from liftrill.errors import ResultCode
from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery import DeliveryMachine
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.service_speeds import SpeedFigures
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.peers.node_capacity import NodeWord

LATENCY_BUCKETS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
# Less urgent ones than this are counted together.
LEAST_URGENT_LABEL = 9
OUTCOMES = {
    events.FinishStream: "served",
    events.PassAnswer: "served",
    events.RefuseRequest: "not_run",
    events.FailRequest: "unknown",
    events.BreakOff: "broken_off",
}


def _urgency_label(request: OpaqueRequest) -> str:
    return str(min(request.priority, LEAST_URGENT_LABEL))


class GatewayMetrics:
    """The figures of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.outcomes = self._counter("liftrill_requests", "Requests by outcome.", "outcome")
        self.refusals = self._counter("liftrill_refusals", "Requests without service.", "code")
        self.quota_refusals = self._counter(
            "liftrill_quota_refusals", "Requests beyond their tenant's limit.", "tenant"
        )
        self.attempts = Counter("liftrill_attempts", "Sends.", registry=self.registry)
        self.store_calls = self._counter("liftrill_store_calls", "Calls by kind.", "kind")
        self.orders = self._counter("liftrill_orders", "Orders by answer.", "answer")
        self.seconds = Histogram(
            "liftrill_request_seconds",
            "Time from reading a request to its end.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.version = self._gauge("liftrill_configuration_version", "Version in force.")
        self.proof_age = self._gauge("liftrill_key_proof_age_seconds", "Age of the key proof.")
        self.mirror_age = self._gauge(
            "liftrill_mirror_age_seconds", "Since when the copy of the store may lack changes."
        )
        self.engines = self._gauge("liftrill_engines", "Engines with a record.")
        self.followers = self._gauge(
            "liftrill_relay_followers", "Nodes that follow this one's copy of the store."
        )
        self.reads_store = self._gauge(
            "liftrill_reads_store", "1 where this node reads the store, 0 where it follows one."
        )
        self.store_link_short = self._gauge(
            "liftrill_store_link_short", "1 where more is to be moved than kept stores carry."
        )
        self.held_seconds = self._gauge(
            "liftrill_held_seconds", "How long engines are taken to hold parts that they used."
        )
        self.limited_tenants = self._gauge(
            "liftrill_limited_tenants", "Tenants that were refused for their limit lately."
        )
        self.line_depth = self._gauge("liftrill_line_depth", "Requests that wait for engines.")
        self.line_age = self._gauge(
            "liftrill_line_age_seconds", "For how long the first of them has waited."
        )
        self.sent_by_urgency = self._counter(
            "liftrill_sent_requests", "Requests that engines had room for.", "urgency"
        )
        self.refused_by_urgency = self._counter(
            "liftrill_refused_for_room", "Requests that no engine had room for.", "urgency"
        )
        self.quarantined = self._gauge(
            "liftrill_quarantined_requests", "Requests that are sent to no engine for a time."
        )
        self.standstills = Counter(
            "liftrill_standstills",
            "Times that this process stood still, or its machine slept.",
            registry=self.registry,
        )
        self.refused_records = Counter(
            "liftrill_refused_records",
            "Records in the store that could not be understood.",
            registry=self.registry,
        )
        self.store_era = self._gauge(
            "liftrill_store_era", "Era of the store since it last came back from an older copy."
        )
        self.refused_eras = Counter(
            "liftrill_refused_store_eras",
            "Answers of the store that are of an earlier era than is known.",
            registry=self.registry,
        )
        self.limited_engines = self._gauge(
            "liftrill_limited_engines", "Engines that get requests with permits only."
        )
        self.permits = self._counter(
            "liftrill_engine_permits", "Permits that this node asked for, by answer.", "answer"
        )
        self.engine_words = self._counter(
            "liftrill_engine_words",
            "Answers in which engines leave, want rest or name a limit.",
            "says",
        )
        self.engine_ends = Counter(
            "liftrill_engine_ends",
            "Engines that were found to have ended with runs under way.",
            registry=self.registry,
        )
        self.reading_rate = Gauge(
            "liftrill_engine_reading_tokens_per_second",
            "Prompt tokens that a service's engines read: of the slowest, the middle, the fastest.",
            ["service", "engine"],
            registry=self.registry,
        )
        self.slow_engines = Gauge(
            "liftrill_slow_engines",
            "Engines that take longer than the others of their service.",
            ["service"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "liftrill_held_bytes",
            "Bytes held for callers, by purpose.",
            ["purpose"],
            registry=self.registry,
        )
        self.holding_capacity = self._gauge(
            "liftrill_holding_capacity_bytes", "Bytes that may be held for callers in all."
        )
        self.slow_callers = self._counter(
            "liftrill_slow_callers", "Answers ended for slow reading, by reason.", "reason"
        )
        self.capacity = self._gauge(
            "liftrill_node_capacity_cores", "Processor time a second for requests; 0: not told."
        )
        self.capacity_used = self._gauge(
            "liftrill_node_used_cores", "How much of its capacity this node uses."
        )
        self.lag = self._gauge("liftrill_loop_lag_seconds", "By how much the loop runs late.")
        self.named_nodes = self._gauge(
            "liftrill_named_nodes", "Addresses in the directory's last answer."
        )
        self.peers = self._gauge("liftrill_peers", "Nodes believed alive, this one included.")

    def count_outcome(self, outcome: str) -> None:
        """Count a request by how it ended."""
        self.outcomes.labels(outcome).inc()

    def count_word(self, word: EngineSignal) -> None:
        """Count an answer in which an engine says that it leaves, wants rest or names a limit."""
        if word.leaving:
            self.engine_words.labels("leaving").inc()
        if word.backoff_s:
            self.engine_words.labels("rest").inc()
        if word.limit_per_s is not None:
            self.engine_words.labels("limit").inc()

    def show_capacity(self, word: NodeWord, lag_s: float) -> None:
        """Show what this node can bear and bears."""
        self.capacity.set(word.capacity_cores)
        self.capacity_used.set(word.used_cores)
        self.lag.set(lag_s)

    def record_sent(self, request: OpaqueRequest) -> None:
        """Count a request that is sent to its first engine."""
        self.sent_by_urgency.labels(_urgency_label(request)).inc()

    def record_end(self, machine: DeliveryMachine, ending: events.DeliveryInstruction) -> None:
        """Count a request's end and its time."""
        self.count_outcome(OUTCOMES[type(ending)])
        if isinstance(ending, events.RefuseRequest | events.FailRequest | events.BreakOff):
            self.refusals.labels(ending.code.name.lower()).inc()
        if isinstance(ending, events.RefuseRequest) and ending.code is ResultCode.ENGINES_FULL:
            self.refused_by_urgency.labels(_urgency_label(machine.request)).inc()
        self.attempts.inc(len(machine.attempts))
        self.seconds.observe(clock.now_s() - machine.request.received_at)

    def record_speeds(self, figures: Iterable[SpeedFigures]) -> None:
        """Note how fast the engines of services are."""
        for figure in figures:
            for engine, rate in zip(("slowest", "middle", "fastest"), figure.rates, strict=True):
                self.reading_rate.labels(figure.service, engine).set(rate)
            self.slow_engines.labels(figure.service).set(figure.slow)

    def text(self) -> bytes:
        """Return all figures as text."""
        return generate_latest(self.registry)

    def _counter(self, name: str, documentation: str, label: str) -> Counter:
        return Counter(name, documentation, [label], registry=self.registry)

    def _gauge(self, name: str, documentation: str) -> Gauge:
        return Gauge(name, documentation, registry=self.registry)
