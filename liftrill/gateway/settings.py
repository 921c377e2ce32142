"""The settings of one gateway."""

from dataclasses import dataclass, field

from liftrill.coordination.quota import QuotaTolerance


@dataclass(frozen=True, slots=True)
class GatewayBounds:
    """Bounds that the operator sets, in seconds unless stated otherwise.

    Attributes:
        retry_ratio: retries per request of a service.
        retry_slack: retries of all nodes in one window that are allowed beyond the ratio.
        retry_window_seconds: the window of the retry budget.
        key_proof_seconds: how long a key may be used after a proof that the configuration is
            current.
        version_grace_seconds: how long requests may still start on replaced weights.
        lease_seconds: minimum time between the last order of one leader and the first of the next.
        thaw_seconds: margin for a node that continues after it was frozen; added to the safety
            margin of leases and to the time between the orders of two leaders.
        min_lease_seconds: the shortest time to live of a lease that the store accepts.
        quota_tolerance: how far the use of tenants may exceed their limits.
        propagation_seconds: time within which a change that the store acknowledged must be in
            force.
        heartbeat_seconds: interval of an engine's heartbeats in the store.
        stop_seconds: time between the stop signal and the kill.
        max_resolve_seconds: maximum time to live of the directory's answers.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_seconds: float = 10.0
    key_proof_seconds: float = 5.0
    version_grace_seconds: float = 8.0
    lease_seconds: float = 3.0
    thaw_seconds: float = 0.3
    min_lease_seconds: float = 1.0
    quota_tolerance: QuotaTolerance = field(default_factory=QuotaTolerance)
    propagation_seconds: float = 10.0
    heartbeat_seconds: float = 1.2
    stop_seconds: float = 8.0
    max_resolve_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Resources that the machine of a gateway provides; 0 if not configured.

    Attributes:
        cpu_share: in units of one core of standard speed.
        memory_bytes: a process that uses more is killed.
        link_bytes_per_s: bandwidth of the machine's link in each direction.
    """

    cpu_share: float = 0.0
    memory_bytes: int = 0
    link_bytes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The identity, addresses and bounds of one gateway.

    Attributes:
        front: HOST:PORT for callers.
        peer_address: HOST:PORT for gossip over UDP; all nodes use the same port.
        proxy_address: HOST:PORT for requests that peers pass on to engines, the same port on all
            nodes; empty if there is no port for it.
        peer_seeds: gossip addresses of some other nodes.
        first_start: whether the whole system starts for the first time.
        slow_peers: whether callers and engines may read slowly, and engines may crash under
            requests that exceed their memory.
    """

    node: str
    zone: str
    region: str
    front: str
    peer_address: str
    peer_seeds: tuple[str, ...]
    first_start: bool
    bounds: GatewayBounds
    machine: MachineLimits = field(default_factory=MachineLimits)
    slow_peers: bool = False
    proxy_address: str = ""
