"""Beliefs of one node about which engines have which shared prefixes in their caches.

A marker is the name of every nth block of a prompt. A marker is stored only once a second request
uses it, since a block that only one request uses does not help routing. So memory use depends on
the number of shared prefixes, not on the number of blocks.

Beliefs come from this node's own requests, from home nodes and from cache events, and are corrected
by the cached-token count of each response. The survival time of an engine, learnt from these
corrections, is the maximum age of a credible belief.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from liftrill import constants


@dataclass(frozen=True, slots=True)
class Holder:
    """An engine that is believed to hold a marker.

    Attributes:
        incarnation: the incarnation of the engine; a restart clears its cache.
        known_at: when the engine was last known to hold the marker, in seconds.
    """

    engine_id: str
    incarnation: int
    known_at: float


@dataclass(slots=True)
class SharedMarker:
    """A marker that at least two requests used.

    Attributes:
        rate: the exponentially decayed rate of local requests per second, as of `rate_at`.
        remote_rate: requests per second on other nodes, as last reported by the home node.
        kept_at: when this prefix was last saved to the kept-KV store, or None.
    """

    rate: float = 0.0
    rate_at: float = 0.0
    remote_rate: float = 0.0
    kept_at: float | None = None
    holders: dict[str, Holder] = field(default_factory=dict)

    def local_rate(self, now: float) -> float:
        """Return the decayed rate of local requests."""
        return self.rate * math.exp((self.rate_at - now) / constants.HEAT_DECAY_SECONDS)

    def count_request(self, now: float) -> None:
        """Count one local request."""
        self.rate = self.local_rate(now) + 1.0 / constants.HEAT_DECAY_SECONDS
        self.rate_at = now

    def total_rate(self, now: float) -> float:
        """Return the rate over all nodes."""
        return self.local_rate(now) + self.remote_rate


@dataclass(slots=True)
class _Survival:
    """The learnt time, in seconds, for which an engine keeps unused blocks."""

    seconds: float = constants.SURVIVAL_FIRST_SECONDS


class PrefixDirectory:
    """The beliefs of one node, in bounded memory. Times are seconds on a monotonic clock."""

    def __init__(self, capacity: int, candidates: int) -> None:
        self._capacity = capacity
        self._candidate_capacity = candidates
        self._markers: OrderedDict[bytes, SharedMarker] = OrderedDict()
        self._candidates: OrderedDict[bytes, None] = OrderedDict()
        self._survivals: dict[str, _Survival] = {}

    def __len__(self) -> int:
        return len(self._markers)

    def get(self, name: bytes) -> SharedMarker | None:
        """Return the shared marker of a name, or None if there is none."""
        return self._markers.get(name)

    def observe(self, markers: Sequence[bytes], now: float) -> int:
        """Count a request; return how many of its leading markers are shared."""
        depth = 0
        for position, name in enumerate(markers):
            if self._observe_marker(name, now) and depth == position:
                depth = position + 1
        return depth

    def mark_shared(self, markers: Sequence[bytes], now: float) -> None:
        """Mark markers as shared, because an engine had cached them for another request."""
        for name in markers:
            if name not in self._markers:
                self._add_marker(name, now)

    def shared_depth(self, markers: Sequence[bytes]) -> int:
        """Return how many leading markers are shared, without counting a request."""
        for position, name in enumerate(markers):
            if name not in self._markers:
                return position
        return len(markers)

    def believed_depths(
        self, markers: Sequence[bytes], incarnations: dict[str, int], now: float
    ) -> dict[str, int]:
        """Return how many leading markers each engine is believed to hold.

        Args:
            markers: the markers of the prompt, in order.
            incarnations: the current incarnations of the engines to consider.
            now: the current time.

        Returns:
            Depths by engine, without engines that are believed to hold no markers.
        """
        depths: dict[str, int] = {}
        for position in range(self.shared_depth(markers) - 1, -1, -1):
            for holder in self._markers[markers[position]].holders.values():
                if holder.engine_id in depths or holder.engine_id not in incarnations:
                    continue
                if self._is_credible(holder, incarnations[holder.engine_id], now):
                    depths[holder.engine_id] = position + 1
        return depths

    def record_held(
        self, engine_id: str, incarnation: int, markers: Sequence[bytes], now: float
    ) -> None:
        """Record that an engine holds markers now, because it computed or used them."""
        holder = Holder(engine_id, incarnation, now)
        for name in markers:
            marker = self._markers.get(name)
            if marker is None:
                return
            self._set_holder(marker, holder)

    def record_removed(self, engine_id: str, name: bytes) -> None:
        """Record that an engine evicted a marker."""
        marker = self._markers.get(name)
        if marker is not None:
            marker.holders.pop(engine_id, None)

    def record_answer(self, engine_id: str, believed_age: float, was_right: bool) -> None:
        """Adjust the survival time of an engine by the cached-token count of a response.

        Args:
            engine_id: the engine that responded.
            believed_age: the age of the belief when the request was sent, in seconds.
            was_right: whether the engine still held the believed markers.
        """
        survival = self._survivals.setdefault(engine_id, _Survival())
        if not was_right:
            shorter = min(survival.seconds, believed_age) * constants.SURVIVAL_DECREASE
            survival.seconds = max(constants.SURVIVAL_SHORTEST_SECONDS, shorter)
        elif believed_age > survival.seconds / 2:
            longer = survival.seconds * constants.SURVIVAL_INCREASE
            survival.seconds = min(constants.SURVIVAL_LONGEST_SECONDS, longer)

    def belief_age(self, engine_id: str, name: bytes, now: float) -> float:
        """Return the age of the belief that an engine holds a marker; infinite without a belief."""
        marker = self._markers.get(name)
        holder = marker.holders.get(engine_id) if marker else None
        return now - holder.known_at if holder else math.inf

    def merge_from_home(
        self, name: bytes, remote_rate: float, holders: Sequence[Holder], kept_at: float | None
    ) -> None:
        """Merge a home node's information about a marker."""
        marker = self._markers.get(name)
        if marker is None:
            return
        marker.remote_rate = remote_rate
        for holder in holders:
            self._set_holder(marker, holder)
        if kept_at is not None and (marker.kept_at is None or kept_at > marker.kept_at):
            marker.kept_at = kept_at

    def forget_engine(self, engine_id: str) -> None:
        """Remove all beliefs about an engine that restarted or left."""
        for marker in self._markers.values():
            marker.holders.pop(engine_id, None)
        self._survivals.pop(engine_id, None)

    def halve_survival_time(self, engine_id: str, now: float) -> None:
        """Halve the survival time of an engine, because some of its cache events were lost."""
        survival = self._survivals.setdefault(engine_id, _Survival())
        survival.seconds = max(constants.SURVIVAL_SHORTEST_SECONDS, survival.seconds / 2)

    def _observe_marker(self, name: bytes, now: float) -> bool:
        marker = self._markers.get(name)
        if marker is not None:
            marker.count_request(now)
            self._markers.move_to_end(name)
            return True
        if name not in self._candidates:
            self._candidates[name] = None
            if len(self._candidates) > self._candidate_capacity:
                self._candidates.popitem(last=False)
            return False
        self._add_marker(name, now)
        return True

    def _add_marker(self, name: bytes, now: float) -> None:
        self._candidates.pop(name, None)
        marker = self._markers[name] = SharedMarker()
        marker.count_request(now)
        if len(self._markers) > self._capacity:
            self._markers.popitem(last=False)

    def _is_credible(self, holder: Holder, incarnation: int, now: float) -> bool:
        survival = self._survivals.get(holder.engine_id)
        seconds = survival.seconds if survival else constants.SURVIVAL_FIRST_SECONDS
        return holder.incarnation == incarnation and now - holder.known_at <= seconds

    @staticmethod
    def _set_holder(marker: SharedMarker, holder: Holder) -> None:
        known = marker.holders.get(holder.engine_id)
        newer = known is None or (holder.incarnation, holder.known_at) > (
            known.incarnation,
            known.known_at,
        )
        if newer:
            marker.holders[holder.engine_id] = holder
        if len(marker.holders) > constants.HOLDERS_PER_MARKER:
            oldest = min(marker.holders.values(), key=lambda h: h.known_at)
            del marker.holders[oldest.engine_id]


def markers_of(block_names: Sequence[bytes]) -> list[bytes]:
    """Return the markers of a prompt: the name of every nth block."""
    stride = constants.MARKER_STRIDE_BLOCKS
    return list(block_names[stride - 1 :: stride])


def marker_tokens(depth: int) -> int:
    """Return the number of prompt tokens covered by a number of leading markers."""
    return depth * constants.MARKER_STRIDE_BLOCKS * constants.BLOCK_TOKENS
