"""What operators declare and engines record, as the gateway's cores see it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from liftrill.coordination.quota import QuotaLimit


class RequestKind(Enum):
    """What a route promises about running a request again."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class BackendShare:
    """A service of a route and its part of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Where the requests of one host and path prefix go, and how they are treated.

    Attributes:
        path_prefix: begins and ends with a slash.
        timeout_seconds: the longest that a request is held.
        target_seconds: the time within which an answer is worth most.
        maximum_attempts: the most engines that one request may be sent to.
        priority: 0 is the most urgent.
        public: whether no key is needed.
        resumable: whether a broken stream may go on at another engine.
        pause_target_s: the longest pause between events of a stream that is still in time,
            or 0 where none is declared.
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


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """What the operator declares of a service's engines.

    Attributes:
        maximum_connections: connections that one engine accepts from all nodes together.
        cache_tokens: tokens that one model engine keeps, running and cached; 0 for others.
        models: names of the models that its engines run.
        tokens_per_event: tokens that one event of a stream holds.
        backups: whether its engines send copies of runs to each other.
        transfer_s_per_token: time to move the memory of one token between engines.
        store_transfer_s_per_token: the same from a kept store.
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
    """A store of kept prefixes that engines save to and fetch from."""

    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class Quota:
    """What a tenant may use over all nodes together, and how its requests count.

    Attributes:
        limit: in tokens or in requests a second.
        counts_tokens: whether a request counts its prompt's and its answer's tokens.
        plain_tokens: what a request without a prompt counts then.
    """

    limit: QuotaLimit
    counts_tokens: bool = False
    plain_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: the holder of keys.

    Attributes:
        priority: goes before that of the route, where it is given.
        isolated: whether its cached prefixes are shared with nobody.
        quota: None where its use is not limited.
    """

    name: str
    priority: int | None
    isolated: bool
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class TrafficLimits:
    """Bounds on what a caller may send, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class GatewayConfiguration:
    """One version of the operator's configuration, whole.

    Attributes:
        tenants_by_key: None where requests carry no keys.
    """

    version: int
    routes: tuple[RouteRule, ...]
    services: Mapping[str, ServiceProfile]
    prefix_stores: tuple[PrefixStoreProfile, ...] = ()
    tenants_by_key: Mapping[str, Tenant] | None = None
    limits: TrafficLimits = field(default_factory=TrafficLimits)


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """What one incarnation of an engine records of itself.

    Attributes:
        engine_id: an engine may start again under the id that it had.
        weights: weight version by model.
        revision: the store's revision of the record.
        born_unix_ms: when this incarnation started, or 0 where the record does not say.
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

    @property
    def incarnation(self) -> str:
        """The name of one start of the engine."""
        return f"{self.engine_id}@{self.born_unix_ms}" if self.born_unix_ms else self.engine_id


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """The weight version that an operator named for a model."""

    model: str
    version: int
    revision: int
