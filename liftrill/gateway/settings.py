"""What one gateway must know before it starts."""

from dataclasses import dataclass, field

from liftrill.coordination.quota import QuotaTolerance


@dataclass(frozen=True, slots=True)
class GatewayBounds:
    """Bounds that the operator sets, in seconds where not said otherwise.

    Attributes:
        retry_ratio: repeats to a service for each request of it.
        retry_slack: repeats of all nodes in a window beyond the ratio.
        key_proof_seconds: for how long a key may be used after a proof of currency.
        version_grace_seconds: how long requests may begin on older weights.
        lease_seconds: how long orders of one leader must be past before those of another.
        quota_tolerance: how the use of tenants' limits is judged.
        propagation_seconds: within which what the store acknowledged must be in force.
        heartbeat_seconds: the time between two signs of life of an engine in the store.
        stop_seconds: the time between the signal to stop and being killed.
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
    """What the machine of a gateway gives to it; 0 where it is not told.

    Attributes:
        cpu_share: of one core of ordinary speed.
        memory_bytes: a process that takes more is killed.
        link_bytes_per_s: of the machine's own link, each way.
    """

    cpu_share: float = 0.0
    memory_bytes: int = 0
    link_bytes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The identity, addresses and bounds of one gateway.

    Attributes:
        front: HOST:PORT for callers.
        peer_address: HOST:PORT for gossip over UDP; ports are alike on all nodes.
        peer_seeds: gossip addresses of some other nodes.
        first_start: whether the whole system starts for the first time.
        slow_peers: whether callers and engines may read slowly, and engines fall over under
            requests that outgrow their memory.
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
