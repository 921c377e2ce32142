"""Prometheus counters, gauges and histograms of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

FIRST_TOKEN_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.5, 5.0, 10.0, 30.0)
DECISION_BUCKETS_SECONDS = (0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.005, 0.02)


class NodeMetrics:
    """The metrics of a node, in their own registry."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.requests = Counter(
            "liftrill_requests", "Requests ended", ["execution", "code"], registry=registry
        )
        self.tokens = Counter("liftrill_tokens", "Tokens delivered", registry=registry)
        self.prompt_tokens = Counter("liftrill_prompt_tokens", "Prompt tokens", registry=registry)
        self.cached_tokens = Counter(
            "liftrill_cached_tokens", "Prompt tokens served from cache", registry=registry
        )
        self.attempts = Counter(
            "liftrill_attempts", "Attempts ended", ["result"], registry=registry
        )
        self.dropped_chunks = Counter(
            "liftrill_dropped_chunks", "Chunks dropped", ["reason"], registry=registry
        )
        self.first_token_seconds = Histogram(
            "liftrill_first_token_seconds",
            "Time to first token",
            buckets=FIRST_TOKEN_BUCKETS_SECONDS,
            registry=registry,
        )
        self.decision_seconds = Histogram(
            "liftrill_decision_seconds",
            "Time to choose an engine",
            buckets=DECISION_BUCKETS_SECONDS,
            registry=registry,
        )
        self.queued = Gauge("liftrill_queued_requests", "Requests waiting", registry=registry)
        self.in_flight = Gauge("liftrill_requests_in_flight", "Requests open", registry=registry)
        self.generation = Gauge(
            "liftrill_configuration_generation", "Generation in force", registry=registry
        )
        self.store_errors = Counter(
            "liftrill_store_errors", "Failed calls of the store", registry=registry
        )
        self.refused_datagrams = Counter(
            "liftrill_refused_datagrams", "Gossip not authentic or malformed", registry=registry
        )
        self.response_faults = Counter(
            "liftrill_response_faults",
            "Responses that do not follow HTTP/1.1",
            registry=registry,
        )
        self.event_gaps = Counter("liftrill_event_gaps", "Gaps in cache events", registry=registry)
        self.control_bytes = Counter(
            "liftrill_control_bytes", "Control bytes", ["direction"], registry=registry
        )

    def exposition(self) -> bytes:
        """Return the metrics in the text format of `/metrics`."""
        return generate_latest(self._registry)
