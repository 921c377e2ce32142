"""What a node can bear and bears now, from its settings and its own observations, sans-IO.

Machines of one fleet differ in processor and link. A node tells both as processor time: what
its machine gives it, or less where its link is full before, and how much of that is in use. The
time by which its own loop is late tells what neither of them shows: other work of the machine.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from liftrill.gateway.engines.engine_speed import lower_median
from liftrill.gateway.peers.peer_silence import SILENT_AFTER_S
from liftrill.gateway.settings import MachineLimits

# Until a node has served some requests itself, they are taken to be like these: prompts of some
# thousand tokens, and 3 ms of processor time each.
FIRST_REQUESTS = 200
FIRST_REQUEST_BYTES = 8_000
FIRST_REQUEST_CPU_S = 0.003
# Heads, and an answer of some hundred bytes, which cross the link beside the request's body.
REQUEST_FRAME_BYTES = 1_200
# What was seen of requests fades to half in this many of them: a wave of other requests shows
# within seconds at a busy node.
COST_MEMORY_REQUESTS = 1_000
# Use is a mean over about a second: callers act on an answer for as long, and what reacts sooner
# than they do swings.
USE_SMOOTHING = 0.25
# Share of the lag that is left a beat after a late one: a single pause is forgotten in a second.
LAG_FADING = 0.6
# Callers are gone by then, however much later a loop is.
LONGEST_LAG_S = 2.0
# Later than this a loop has more work than processor time; timers alone go off a few ms late.
LATE_S = 0.1
# The last bodies whose arrival is looked at; their median bears a few slow callers.
BODIES_SEEN = 15
# A word counts for as long as one of loads on engines.
NODE_WORD_LIFETIME_S = 1.0
# A late loop that got less of it was stopped, and shows nothing of what keeps it busy.
LEAST_FULL_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class NodeWord:
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

    sent_bytes: float = FIRST_REQUESTS * (FIRST_REQUEST_BYTES + REQUEST_FRAME_BYTES)
    cpu_s: float = FIRST_REQUESTS * FIRST_REQUEST_CPU_S

    def add(self, requests: int, sent_bytes: int, cpu_s: float) -> None:
        """Take in the requests of a while."""
        left = 0.5 ** (requests / COST_MEMORY_REQUESTS)
        self.sent_bytes = self.sent_bytes * left + sent_bytes
        self.cpu_s = self.cpu_s * left + cpu_s

    @property
    def bytes_per_cpu_s(self) -> float:
        """Return the bytes that come along with a second of processor time."""
        return self.sent_bytes / max(self.cpu_s, 1e-6)


@dataclass(slots=True)
class NodeCapacity:
    """The capacity and the use of this node.

    Attributes:
        beat_s: the time between two beats of a loop that is never late.
        lag_s: by how much this node's own loop runs late. What it measures of others meanwhile
            is its own lateness.
        late_beats: how many beats in a row came late.
        full_cores: processor time a second at which this process is busy all the time.
    """

    machine: MachineLimits
    beat_s: float
    lag_s: float = 0.0
    late_beats: int = 0
    full_cores: float = field(init=False)
    _cost: RequestCost = field(default_factory=RequestCost)
    _used_share: float = 0.0
    _free_bytes: int = 0
    _beat_at: float | None = None
    _beat_cpu_s: float = 0.0
    _requests: int = 0
    _bytes: int = 0
    _arrivals_s: deque[float] = field(default_factory=lambda: deque(maxlen=BODIES_SEEN))

    def __post_init__(self) -> None:
        self.full_cores = self.machine.cpu_share

    @property
    def capacity_cores(self) -> float:
        """Return what the tightest of processor and link lets through; 0 where not told."""
        link = self.machine.link_bytes_per_s
        if not link:
            return self.machine.cpu_share
        return min(self.machine.cpu_share, link / self._cost.bytes_per_cpu_s)

    @property
    def late_s(self) -> float:
        """Return by how much the loop, or what comes over the link, is late."""
        arrival_s = lower_median(self._arrivals_s) if self._arrivals_s else 0.0
        return max(self.lag_s, min(arrival_s, LONGEST_LAG_S))

    def note_request(self, body_bytes: int, arrival_s: float) -> None:
        """Note a request that was read, and how long its body took to arrive after its head."""
        self._requests += 1
        self._bytes += body_bytes + REQUEST_FRAME_BYTES
        if body_bytes:
            self._arrivals_s.append(arrival_s)

    def beat(self, now: float, cpu_s: float, free_bytes: int) -> None:
        """Take in what passed since the last beat, with the processor time used until now."""
        if self._beat_at is not None:
            self._measure(now - self._beat_at, cpu_s - self._beat_cpu_s)
        self._beat_at = now
        self._beat_cpu_s = cpu_s
        self._free_bytes = free_bytes
        self._requests = 0
        self._bytes = 0

    def word(self) -> NodeWord:
        """Return what peers are told."""
        capacity = self.capacity_cores
        used = self._used_share * capacity
        return NodeWord(capacity, used, self.late_s, self._free_bytes)

    def _measure(self, elapsed_s: float, cpu_s: float) -> None:
        if elapsed_s <= 0.0:
            return
        late_s = min(LONGEST_LAG_S, max(0.0, elapsed_s - self.beat_s))
        self.lag_s = max(late_s, self.lag_s * LAG_FADING)
        self.late_beats = self.late_beats + 1 if late_s > LATE_S else 0
        cores = cpu_s / elapsed_s
        if self._requests:
            self._cost.add(self._requests, self._bytes, cpu_s)
        else:
            self._forget_arrivals()
        self._learn_full(cores, late_s)
        share = max(self._cpu_share(cores), self._link_share(elapsed_s))
        self._used_share += USE_SMOOTHING * (min(1.0, share) - self._used_share)

    def _forget_arrivals(self) -> None:
        """Let a node that is sent nothing any more count as in time by degrees."""
        if self._arrivals_s:
            self._arrivals_s.popleft()

    def _learn_full(self, cores: float, late_s: float) -> None:
        """Correct what the settings tell: a late loop is a busy one, whatever it gets."""
        if cores > self.full_cores > 0.0:
            self.full_cores = cores
        elif late_s > LATE_S and cores > LEAST_FULL_SHARE * self.full_cores:
            self.full_cores += USE_SMOOTHING * (cores - self.full_cores)

    def _cpu_share(self, cores: float) -> float:
        return cores / self.full_cores if self.full_cores else 0.0

    def _link_share(self, elapsed_s: float) -> float:
        link = self.machine.link_bytes_per_s
        return self._bytes / elapsed_s / link if link else 0.0


@dataclass(slots=True)
class NodeCapacities:
    """The latest words of nodes and of other zones.

    This node's own word is taken like the others.
    """

    _nodes: dict[str, tuple[NodeWord, float]] = field(default_factory=dict)
    _zones: dict[str, tuple[NodeWord, float]] = field(default_factory=dict)
    _began_at: dict[str, float] = field(default_factory=dict)

    def take(self, node: str, word: NodeWord, now: float) -> None:
        """Replace what a node told before."""
        last = self._nodes.get(node)
        if last is None or now - last[1] > SILENT_AFTER_S:
            self._began_at[node] = now
        self._nodes[node] = (word, now)

    def take_zone(self, zone: str, word: NodeWord, now: float) -> None:
        """Replace what was told of another zone."""
        self._zones[zone] = (word, now)

    def forget(self, node: str) -> None:
        """Forget a node that is gone."""
        self._nodes.pop(node, None)
        self._began_at.pop(node, None)

    def word_of(self, node: str, now: float) -> NodeWord | None:
        """Return what a node told lately, or None where it is not known."""
        return _fresh(self._nodes.get(node), now)

    def of_zone(self, zone: str, now: float) -> NodeWord | None:
        """Return what was told lately of another zone, or None."""
        return _fresh(self._zones.get(zone), now)

    def heard_s(self, node: str, now: float) -> float | None:
        """Return for how long a node has been heard since it was silent, or None."""
        began_at = self._began_at.get(node)
        return None if began_at is None else now - began_at

    def total(self, nodes: list[str], now: float) -> NodeWord:
        """Return the sum over nodes; those that are not known count as the median."""
        return summed_word(list(self.words(nodes, now).values()))

    def words(self, nodes: list[str], now: float) -> dict[str, NodeWord]:
        """Return a word for each node, the median of the others' where it is not known."""
        found = {node: self.word_of(node, now) for node in nodes}
        known = [word for word in found.values() if word is not None and word.capacity_cores]
        usual = _median_word(known)
        return {
            node: word if word is not None and word.capacity_cores else usual
            for node, word in found.items()
        }


def _fresh(entry: tuple[NodeWord, float] | None, now: float) -> NodeWord | None:
    if entry is None or now - entry[1] > NODE_WORD_LIFETIME_S:
        return None
    return entry[0]


def summed_word(words: Sequence[NodeWord]) -> NodeWord:
    """Return what nodes bear and use in all, and how late the median of them is."""
    if not words:
        return NodeWord(0.0, 0.0)
    capacity = sum(word.capacity_cores for word in words)
    used = sum(word.used_cores for word in words)
    return NodeWord(capacity, used, lower_median(word.late_s for word in words))


def _median_word(words: list[NodeWord]) -> NodeWord:
    if not words:
        return NodeWord(0.0, 0.0)
    return NodeWord(
        lower_median(word.capacity_cores for word in words),
        lower_median(word.used_cores for word in words),
        lower_median(word.late_s for word in words),
    )
