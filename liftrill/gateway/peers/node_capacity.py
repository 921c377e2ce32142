"""Capacity and utilization of nodes, from their settings and their measurements, sans-IO.

The machines of a fleet differ in processor and link. A node reports both as processor time: the
share of its machine, or less where its link is the bottleneck, and how much of that is in use. The
lag of its event loop shows what neither of them does: other work on the machine.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from liftrill.gateway.engines.engine_speed import lower_median
from liftrill.gateway.peers.silence_detector import SILENCE_TIMEOUT_S
from liftrill.gateway.settings import MachineLimits

# Assumed cost of requests until a node has served some itself: prompts of some thousand tokens,
# with 3 ms of processor time each.
PRIOR_REQUESTS = 200
PRIOR_REQUEST_BYTES = 8_000
PRIOR_REQUEST_CPU_S = 0.003
# Bytes on the link beside the request's body: headers, and an answer of some hundred bytes.
REQUEST_OVERHEAD_BYTES = 1_200
# Half-life of the cost average, in requests: a busy node sees a change in the kind of requests
# within seconds.
COST_HALF_LIFE_REQUESTS = 1_000
# Smoothing factor per tick of the utilization, a mean over about a second: callers act on an answer
# for about as long, and an average that reacts faster than they do would oscillate.
USE_SMOOTHING = 0.25
# Share of the lag that remains after a tick in time: the lag of a single pause decays in a second.
LAG_DECAY = 0.6
# Upper bound of the lag: callers have timed out by then.
MAX_LAG_S = 2.0
# A larger lag means that a loop has more work than processor time; timers alone are a few ms late.
LATE_THRESHOLD_S = 0.1
# Number of recent bodies whose arrival delay is stored; the median tolerates a few slow callers.
ARRIVAL_SAMPLES = 15
# The load of a node expires after the same time as its report of engine loads.
NODE_LOAD_LIFETIME_S = 1.0
# A late loop that got a smaller share of its saturated processor time was suspended, not busy, so
# saturation is not updated from it.
MIN_SATURATION_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """The load that one node, or one zone, reports of itself.

    Attributes:
        capacity_cores: processor time a second for requests; 0 if unknown.
        used_cores: processor time a second in use.
        late_s: lag of its event loop, or delay of requests that arrive over its link.
        free_bytes: free memory; 0 if unknown.
    """

    capacity_cores: float
    used_cores: float
    late_s: float = 0.0
    free_bytes: int = 0

    @property
    def used_share(self) -> float:
        """Return the share of the capacity that is in use."""
        return self.used_cores / self.capacity_cores if self.capacity_cores else 0.0


@dataclass(slots=True)
class RequestCost:
    """Exponentially decaying sums of the bytes and the processor time of requests."""

    link_bytes: float = PRIOR_REQUESTS * (PRIOR_REQUEST_BYTES + REQUEST_OVERHEAD_BYTES)
    cpu_s: float = PRIOR_REQUESTS * PRIOR_REQUEST_CPU_S

    def add(self, requests: int, link_bytes: int, cpu_s: float) -> None:
        """Add the cost of some requests."""
        decay = 0.5 ** (requests / COST_HALF_LIFE_REQUESTS)
        self.link_bytes = self.link_bytes * decay + link_bytes
        self.cpu_s = self.cpu_s * decay + cpu_s

    @property
    def bytes_per_cpu_s(self) -> float:
        """Return the bytes on the link per second of processor time."""
        return self.link_bytes / max(self.cpu_s, 1e-6)


@dataclass(slots=True)
class NodeCapacity:
    """The capacity and the utilization of this node.

    Attributes:
        tick_interval_s: time between two updates of an event loop without lag.
        lag_s: lag of this node's event loop. Delays of others that the node measures during a lag
            are its own.
        late_ticks: number of consecutive late ticks.
        saturated_cores: processor time a second at which this process is always busy.
    """

    machine: MachineLimits
    tick_interval_s: float
    lag_s: float = 0.0
    late_ticks: int = 0
    saturated_cores: float = field(init=False)
    _cost: RequestCost = field(default_factory=RequestCost)
    _used_share: float = 0.0
    _free_bytes: int = 0
    _updated_at: float | None = None
    _last_cpu_s: float = 0.0
    _requests: int = 0
    _link_bytes: int = 0
    _arrival_delays_s: deque[float] = field(default_factory=lambda: deque(maxlen=ARRIVAL_SAMPLES))

    def __post_init__(self) -> None:
        self.saturated_cores = self.machine.cpu_share

    @property
    def capacity_cores(self) -> float:
        """Return the capacity by the tighter of processor and link; 0 if not configured."""
        link_bytes_per_s = self.machine.link_bytes_per_s
        if not link_bytes_per_s:
            return self.machine.cpu_share
        return min(self.machine.cpu_share, link_bytes_per_s / self._cost.bytes_per_cpu_s)

    @property
    def late_s(self) -> float:
        """Return the larger of the loop's lag and the delay of bodies over the link."""
        arrival_s = lower_median(self._arrival_delays_s) if self._arrival_delays_s else 0.0
        return max(self.lag_s, min(arrival_s, MAX_LAG_S))

    def record_request(self, body_bytes: int, arrival_s: float) -> None:
        """Record a request, with the time from its headers to the end of its body."""
        self._requests += 1
        self._link_bytes += body_bytes + REQUEST_OVERHEAD_BYTES
        if body_bytes:
            self._arrival_delays_s.append(arrival_s)

    def update(self, now: float, cpu_s: float, free_bytes: int) -> None:
        """Update from the time and the total processor time since the last tick."""
        if self._updated_at is not None:
            self._measure(now - self._updated_at, cpu_s - self._last_cpu_s)
        self._updated_at = now
        self._last_cpu_s = cpu_s
        self._free_bytes = free_bytes
        self._requests = 0
        self._link_bytes = 0

    def current_load(self) -> NodeLoad:
        """Return the load to report to peers."""
        capacity = self.capacity_cores
        used = self._used_share * capacity
        return NodeLoad(capacity, used, self.late_s, self._free_bytes)

    def _measure(self, elapsed_s: float, cpu_s: float) -> None:
        if elapsed_s <= 0.0:
            return
        late_s = min(MAX_LAG_S, max(0.0, elapsed_s - self.tick_interval_s))
        self.lag_s = max(late_s, self.lag_s * LAG_DECAY)
        self.late_ticks = self.late_ticks + 1 if late_s > LATE_THRESHOLD_S else 0
        cores = cpu_s / elapsed_s
        if self._requests:
            self._cost.add(self._requests, self._link_bytes, cpu_s)
        else:
            self._drop_oldest_arrival()
        self._update_saturation(cores, late_s)
        utilization = max(self._cpu_utilization(cores), self._link_utilization(elapsed_s))
        self._used_share += USE_SMOOTHING * (min(1.0, utilization) - self._used_share)

    def _drop_oldest_arrival(self) -> None:
        """Drop the oldest delay, so that a node without requests gradually counts as in time."""
        if self._arrival_delays_s:
            self._arrival_delays_s.popleft()

    def _update_saturation(self, cores: float, late_s: float) -> None:
        """Correct the configured processor share: a late loop is saturated at what it gets."""
        if cores > self.saturated_cores > 0.0:
            self.saturated_cores = cores
        elif late_s > LATE_THRESHOLD_S and cores > MIN_SATURATION_SHARE * self.saturated_cores:
            self.saturated_cores += USE_SMOOTHING * (cores - self.saturated_cores)

    def _cpu_utilization(self, cores: float) -> float:
        return cores / self.saturated_cores if self.saturated_cores else 0.0

    def _link_utilization(self, elapsed_s: float) -> float:
        link_bytes_per_s = self.machine.link_bytes_per_s
        return self._link_bytes / elapsed_s / link_bytes_per_s if link_bytes_per_s else 0.0


@dataclass(slots=True)
class NodeCapacities:
    """The latest loads of all nodes, including this one, and of other zones."""

    _nodes: dict[str, tuple[NodeLoad, float]] = field(default_factory=dict)
    _zones: dict[str, tuple[NodeLoad, float]] = field(default_factory=dict)
    _reporting_since: dict[str, float] = field(default_factory=dict)

    def update(self, node: str, load: NodeLoad, now: float) -> None:
        """Replace the load of a node."""
        last = self._nodes.get(node)
        if last is None or now - last[1] > SILENCE_TIMEOUT_S:
            self._reporting_since[node] = now
        self._nodes[node] = (load, now)

    def update_zone(self, zone: str, load: NodeLoad, now: float) -> None:
        """Replace the load of another zone."""
        self._zones[zone] = (load, now)

    def forget(self, node: str) -> None:
        """Remove a node that is dead or has departed."""
        self._nodes.pop(node, None)
        self._reporting_since.pop(node, None)

    def node_load(self, node: str, now: float) -> NodeLoad | None:
        """Return the load of a node, or None if it is unknown or has expired."""
        return _if_fresh(self._nodes.get(node), now)

    def zone_load(self, zone: str, now: float) -> NodeLoad | None:
        """Return the load of another zone, or None if it is unknown or has expired."""
        return _if_fresh(self._zones.get(zone), now)

    def reporting_for_s(self, node: str, now: float) -> float | None:
        """Return for how long a node has reported without a silence, or None if it never did."""
        since = self._reporting_since.get(node)
        return None if since is None else now - since

    def total(self, nodes: list[str], now: float) -> NodeLoad:
        """Return the total load of nodes; those without a known load count as the median."""
        return total_load(list(self.node_loads(nodes, now).values()))

    def node_loads(self, nodes: list[str], now: float) -> dict[str, NodeLoad]:
        """Return the load of each node, or the median of the known ones where it is unknown."""
        loads_by_node = {node: self.node_load(node, now) for node in nodes}
        known = [
            load for load in loads_by_node.values() if load is not None and load.capacity_cores
        ]
        median = _median_load(known)
        return {
            node: load if load is not None and load.capacity_cores else median
            for node, load in loads_by_node.items()
        }


def _if_fresh(entry: tuple[NodeLoad, float] | None, now: float) -> NodeLoad | None:
    if entry is None or now - entry[1] > NODE_LOAD_LIFETIME_S:
        return None
    return entry[0]


def total_load(loads: Sequence[NodeLoad]) -> NodeLoad:
    """Return the total capacity and use of nodes, with their median lateness."""
    if not loads:
        return NodeLoad(0.0, 0.0)
    capacity = sum(load.capacity_cores for load in loads)
    used = sum(load.used_cores for load in loads)
    return NodeLoad(capacity, used, lower_median(load.late_s for load in loads))


def _median_load(loads: list[NodeLoad]) -> NodeLoad:
    if not loads:
        return NodeLoad(0.0, 0.0)
    return NodeLoad(
        lower_median(load.capacity_cores for load in loads),
        lower_median(load.used_cores for load in loads),
        lower_median(load.late_s for load in loads),
    )
