"""Records of operators and engines in the store, as data classes of the gateway."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from liftrill.coordination.quota import QuotaLimit


class RequestKind(Enum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class BackendShare:
    """A service of a route, and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """The backends and limits for requests of one host and path prefix.

    Attributes:
        path_prefix: begins and ends with a slash.
        timeout_seconds: maximum duration of a request.
        target_seconds: target latency of an answer.
        maximum_attempts: maximum number of engines that one request may be sent to.
        priority: 0 is the most urgent.
        public: whether requests need no key.
        resumable: whether an interrupted stream may continue at another engine.
        pause_target_s: target for the longest pause between events of a stream, or 0 if none is
            declared.
    """

    name: str
    host: str
    path_prefix: str
    backends: tuple[BackendShare, ...]
    kind: RequestKind
    timeout_seconds: float
    target_seconds: float
    maximum_attempts: int
    priority: int
    public: bool
    resumable: bool
    pause_target_s: float = 0.0

    @property
    def services(self) -> tuple[str, ...]:
        """The names of the services that the route leads to, in order."""
        return tuple(sorted(share.service for share in self.backends))


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """The operator's declaration of a service's engines.

    Attributes:
        maximum_connections: connections that one engine accepts from all nodes together.
        cache_tokens: capacity of one model engine's KV cache, in tokens that are running or
            cached; 0 for other engines.
        models: names of the models that the engines run.
        tokens_per_event: number of tokens in one event of a stream.
        backups: whether the engines send copies of runs to each other.
        transfer_s_per_token: time to transfer the KV cache of one token between engines.
        store_transfer_s_per_token: the same time for a transfer from a prefix store.
    """

    name: str
    maximum_connections: int
    cache_tokens: int = 0
    models: tuple[str, ...] = ()
    tokens_per_event: int = 1
    backups: bool = False
    transfer_s_per_token: float = 0.0
    store_transfer_s_per_token: float = 0.0


@dataclass(frozen=True, slots=True)
class PrefixStoreProfile:
    """A prefix store: engines save the KV caches of prompt prefixes to it and fetch from it."""

    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class Quota:
    """The rate limit of a tenant over all nodes together, and how its requests are counted.

    Attributes:
        limit: in tokens or requests per second.
        counts_tokens: whether the limit is in tokens, of the prompt and the answer.
        plain_tokens: tokens that a request without a prompt counts in that case.
    """

    limit: QuotaLimit
    counts_tokens: bool = False
    plain_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, which holds API keys.

    Attributes:
        priority: overrides the priority of the route, unless None.
        isolated: whether the tenant's cached prefixes are shared with no other tenant.
        quota: None if the tenant is not limited.
    """

    name: str
    priority: int | None
    isolated: bool
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class TrafficLimits:
    """Limits on requests of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class GatewayConfiguration:
    """One complete version of the operator's configuration.

    Attributes:
        tenants_by_key: tenants by API key, or None if requests carry no keys.
        isolated_tenants: the names of the tenants that are isolated, also of those without keys.
    """

    version: int
    routes: tuple[RouteRule, ...]
    services: Mapping[str, ServiceProfile]
    prefix_stores: tuple[PrefixStoreProfile, ...] = ()
    tenants_by_key: Mapping[str, Tenant] | None = None
    limits: TrafficLimits = field(default_factory=TrafficLimits)
    isolated_tenants: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """The record that one incarnation of an engine writes to the store.

    Attributes:
        engine_id: stays the same when an engine restarts.
        draining: whether the engine is about to stop.
        weights: weight version by model.
        revision: the store's revision of the record.
        born_unix_ms: start time of this incarnation, or 0 if the record does not contain it.
        software_version: version of the engine's software, unrelated to its weights.
    """

    engine_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    weights: Mapping[str, int]
    revision: int
    born_unix_ms: int = 0
    software_version: str = ""

    @property
    def incarnation(self) -> str:
        """The identifier of this incarnation: the engine's id with its start time, if known."""
        return f"{self.engine_id}@{self.born_unix_ms}" if self.born_unix_ms else self.engine_id


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """The weight version that an operator set as the target of a model."""

    model: str
    version: int
    revision: int
