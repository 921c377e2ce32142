"""What a node can bear and bears now, from its settings and its own observations, sans-IO.

Machines of one fleet differ in processor and link. A node tells both as processor time: what
its machine gives it, or less where its link is full before, and how much of that is in use. The
time by which its own loop is late tells what neither of them shows: other work of the machine.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from liftrill.gateway.engines.service_model import middle
from liftrill.gateway.peers.silence_detector import SILENCE_TIMEOUT_S
from liftrill.gateway.settings import MachineLimits

# Until a node has served some requests itself, they are taken to be like these: prompts of some
# thousand tokens, and 3 ms of processor time each.
PRIOR_REQUESTS = 200
PRIOR_REQUEST_BYTES = 8_000
PRIOR_REQUEST_CPU_S = 0.003
# Heads, and an answer of some hundred bytes, which cross the link beside the request's body.
REQUEST_OVERHEAD_BYTES = 1_200
# What was seen of requests fades to half in this many of them: a wave of other requests shows
# within seconds at a busy node.
COST_HALF_LIFE_REQUESTS = 1_000
# Use is a mean over about a second: callers act on an answer for as long, and what reacts sooner
# than they do swings.
USE_SMOOTHING = 0.25
# Share of the lag that is left a beat after a late one: a single pause is forgotten in a second.
LAG_DECAY = 0.6
# Callers are gone by then, however much later a loop is.
MAX_LAG_S = 2.0
# Later than this a loop has more work than processor time; timers alone go off a few ms late.
LATE_THRESHOLD_S = 0.1
# The last bodies whose arrival is looked at; their median bears a few slow callers.
ARRIVAL_SAMPLES = 15
# A word counts for as long as one of loads on engines.
NODE_WORD_LIFETIME_S = 1.0
# A late loop that got less of it was stopped, and shows nothing of what keeps it busy.
MIN_SATURATION_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """What one node, or one zone, tells of itself.

    Attributes:
        capacity_cores: processor time a second that it has for requests; 0 where not known.
        used_cores: how much of it is in use.
        late_s: by how much its loop runs late, or requests arrive late over its link.
        free_bytes: of memory; 0 where not known.
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
    """Bytes and processor time of requests, as this node saw them; sums fade."""

    received_bytes: float = PRIOR_REQUESTS * (PRIOR_REQUEST_BYTES + REQUEST_OVERHEAD_BYTES)
    cpu_s: float = PRIOR_REQUESTS * PRIOR_REQUEST_CPU_S

    def add(self, requests: int, received_bytes: int, cpu_s: float) -> None:
        """Take in the requests of a while."""
        decay = 0.5 ** (requests / COST_HALF_LIFE_REQUESTS)
        self.received_bytes = self.received_bytes * decay + received_bytes
        self.cpu_s = self.cpu_s * decay + cpu_s

    @property
    def bytes_per_cpu_s(self) -> float:
        """Return the bytes that come along with a second of processor time."""
        return self.received_bytes / max(self.cpu_s, 1e-6)


@dataclass(slots=True)
class NodeCapacity:
    """The capacity and the use of this node.

    Attributes:
        tick_interval_s: the time between two beats of a loop that is never late.
        lag_s: by how much this node's own loop runs late. What it measures of others meanwhile
            is its own lateness.
        late_ticks: how many beats in a row came late.
        saturated_cores: processor time a second at which this process is busy all the time.
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
    _received_bytes: int = 0
    _arrival_delays_s: deque[float] = field(default_factory=lambda: deque(maxlen=ARRIVAL_SAMPLES))

    def __post_init__(self) -> None:
        self.saturated_cores = self.machine.cpu_share

    @property
    def capacity_cores(self) -> float:
        """Return what the tightest of processor and link lets through; 0 where not told."""
        link_bytes_per_s = self.machine.link_bytes_per_s
        if not link_bytes_per_s:
            return self.machine.cpu_share
        return min(self.machine.cpu_share, link_bytes_per_s / self._cost.bytes_per_cpu_s)

    @property
    def late_s(self) -> float:
        """Return by how much the loop, or what comes over the link, is late."""
        arrival_s = middle(self._arrival_delays_s) if self._arrival_delays_s else 0.0
        return max(self.lag_s, min(arrival_s, MAX_LAG_S))

    def record_request(self, body_bytes: int, arrival_s: float) -> None:
        """Note a request that was read, and how long its body took to arrive after its head."""
        self._requests += 1
        self._received_bytes += body_bytes + REQUEST_OVERHEAD_BYTES
        if body_bytes:
            self._arrival_delays_s.append(arrival_s)

    def update(self, now: float, cpu_s: float, free_bytes: int) -> None:
        """Take in what passed since the last beat, with the processor time used until now."""
        if self._updated_at is not None:
            self._measure(now - self._updated_at, cpu_s - self._last_cpu_s)
        self._updated_at = now
        self._last_cpu_s = cpu_s
        self._free_bytes = free_bytes
        self._requests = 0
        self._received_bytes = 0

    def current_load(self) -> NodeLoad:
        """Return what peers are told."""
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
            self._cost.add(self._requests, self._received_bytes, cpu_s)
        else:
            self._drop_oldest_arrival()
        self._update_saturation(cores, late_s)
        utilization = max(self._cpu_utilization(cores), self._link_utilization(elapsed_s))
        self._used_share += USE_SMOOTHING * (min(1.0, utilization) - self._used_share)

    def _drop_oldest_arrival(self) -> None:
        """Let a node that is sent nothing any more count as in time by degrees."""
        if self._arrival_delays_s:
            self._arrival_delays_s.popleft()

    def _update_saturation(self, cores: float, late_s: float) -> None:
        """Correct what the settings tell: a late loop is a busy one, whatever it gets."""
        if cores > self.saturated_cores > 0.0:
            self.saturated_cores = cores
        elif late_s > LATE_THRESHOLD_S and cores > MIN_SATURATION_SHARE * self.saturated_cores:
            self.saturated_cores += USE_SMOOTHING * (cores - self.saturated_cores)

    def _cpu_utilization(self, cores: float) -> float:
        return cores / self.saturated_cores if self.saturated_cores else 0.0

    def _link_utilization(self, elapsed_s: float) -> float:
        link_bytes_per_s = self.machine.link_bytes_per_s
        return self._received_bytes / elapsed_s / link_bytes_per_s if link_bytes_per_s else 0.0


@dataclass(slots=True)
class NodeCapacities:
    """The latest words of nodes and of other zones.

    This node's own word is taken like the others.
    """

    _nodes: dict[str, tuple[NodeLoad, float]] = field(default_factory=dict)
    _zones: dict[str, tuple[NodeLoad, float]] = field(default_factory=dict)
    _reporting_since: dict[str, float] = field(default_factory=dict)

    def update(self, node: str, load: NodeLoad, now: float) -> None:
        """Replace what a node told before."""
        last = self._nodes.get(node)
        if last is None or now - last[1] > SILENCE_TIMEOUT_S:
            self._reporting_since[node] = now
        self._nodes[node] = (load, now)

    def update_zone(self, zone: str, load: NodeLoad, now: float) -> None:
        """Replace what was told of another zone."""
        self._zones[zone] = (load, now)

    def forget(self, node: str) -> None:
        """Forget a node that is gone."""
        self._nodes.pop(node, None)
        self._reporting_since.pop(node, None)

    def load_of(self, node: str, now: float) -> NodeLoad | None:
        """Return what a node told lately, or None where it is not known."""
        return _if_fresh(self._nodes.get(node), now)

    def zone_load(self, zone: str, now: float) -> NodeLoad | None:
        """Return what was told lately of another zone, or None."""
        return _if_fresh(self._zones.get(zone), now)

    def reporting_for_s(self, node: str, now: float) -> float | None:
        """Return for how long a node has been heard since it was silent, or None."""
        since = self._reporting_since.get(node)
        return None if since is None else now - since

    def total(self, nodes: list[str], now: float) -> NodeLoad:
        """Return the sum over nodes; those that are not known count as the median."""
        return total_load(list(self.node_loads(nodes, now).values()))

    def node_loads(self, nodes: list[str], now: float) -> dict[str, NodeLoad]:
        """Return a word for each node, the median of the others' where it is not known."""
        loads_by_node = {node: self.load_of(node, now) for node in nodes}
        known = [
            load for load in loads_by_node.values() if load is not None and load.capacity_cores
        ]
        median = _median_load(known)
        return {
            node: load if load is not None and load.capacity_cores else median
            for node, load in loads_by_node.items()
        }


def _if_fresh(entry: tuple[NodeLoad, float] | None, now: float) -> NodeLoad | None:
    if entry is None or now - entry[1] > NODE_WORD_LIFETIME_S:
        return None
    return entry[0]


def total_load(loads: Sequence[NodeLoad]) -> NodeLoad:
    """Return what nodes bear and use in all, and how late the median of them is."""
    if not loads:
        return NodeLoad(0.0, 0.0)
    capacity = sum(load.capacity_cores for load in loads)
    used = sum(load.used_cores for load in loads)
    return NodeLoad(capacity, used, middle(load.late_s for load in loads))


def _median_load(loads: list[NodeLoad]) -> NodeLoad:
    if not loads:
        return NodeLoad(0.0, 0.0)
    return NodeLoad(
        middle(load.capacity_cores for load in loads),
        middle(load.used_cores for load in loads),
        middle(load.late_s for load in loads),
    )
