"""What one node believes to be cached on which engine, for shared prefixes only.

Every few blocks of a prompt there is a marker: the name of the block there. A marker is
remembered once a second request has used it, since a block that one request ever used
cannot help routing; memory follows the number of shared prefixes, not of blocks.

Beliefs come from this node's own requests, from home nodes and from cache events, and
are corrected by the cached-token count in each answer. An engine's survival time, learnt
from those corrections, says how old a belief may be.
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
        incarnation: the engine's life in which it was so; another life holds nothing.
        at: when it was last known, seconds.
    """

    engine_id: str
    incarnation: int
    at: float


@dataclass(slots=True)
class SharedMarker:
    """A marker that at least two requests used.

    Attributes:
        rate: local requests per second, decayed, at `rate_at`.
        remote_rate: requests per second on other nodes, as the home last told.
        kept_at: when the kept-KV store was last given this prefix, or None.
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
    """How long an engine keeps what is not used, in seconds, as learnt."""

    seconds: float = constants.SURVIVAL_FIRST_SECONDS


class PrefixDirectory:
    """Beliefs of one node, in bounded memory. Times are seconds on a monotonic clock."""

    def __init__(self, capacity: int, candidates: int) -> None:
        self._capacity = capacity
        self._candidate_capacity = candidates
        self._markers: OrderedDict[bytes, SharedMarker] = OrderedDict()
        self._candidates: OrderedDict[bytes, None] = OrderedDict()
        self._survivals: dict[str, _Survival] = {}

    def __len__(self) -> int:
        return len(self._markers)

    def get(self, name: bytes) -> SharedMarker | None:
        """Return a shared marker."""
        return self._markers.get(name)

    def observe(self, markers: Sequence[bytes], now: float) -> int:
        """Count a request; return how many of its leading markers are shared."""
        depth = 0
        for position, name in enumerate(markers):
            if self._observe_marker(name, now) and depth == position:
                depth = position + 1
        return depth

    def mark_shared(self, markers: Sequence[bytes], now: float) -> None:
        """Note that markers are shared, since an engine had them cached for somebody else."""
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
            markers: of the prompt, in order.
            incarnations: the engines asked about, with their present incarnations.
            now: the present time.

        Returns:
            Depths by engine; engines that are believed to hold nothing are left out.
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
        """Note that an engine holds these markers now, as it computed or used them."""
        holder = Holder(engine_id, incarnation, now)
        for name in markers:
            marker = self._markers.get(name)
            if marker is None:
                return
            self._set_holder(marker, holder)

    def record_removed(self, engine_id: str, name: bytes) -> None:
        """Note that an engine evicted a marker."""
        marker = self._markers.get(name)
        if marker is not None:
            marker.holders.pop(engine_id, None)

    def record_answer(self, engine_id: str, believed_age: float, was_right: bool) -> None:
        """Learn an engine's survival time from an answer's cached-token count.

        Args:
            engine_id: the engine that answered.
            believed_age: age of the belief when the request was sent, in seconds.
            was_right: whether the engine still held what was believed.
        """
        survival = self._survivals.setdefault(engine_id, _Survival())
        if not was_right:
            shorter = min(survival.seconds, believed_age) * constants.SURVIVAL_DECREASE
            survival.seconds = max(constants.SURVIVAL_SHORTEST_SECONDS, shorter)
        elif believed_age > survival.seconds / 2:
            longer = survival.seconds * constants.SURVIVAL_INCREASE
            survival.seconds = min(constants.SURVIVAL_LONGEST_SECONDS, longer)

    def belief_age(self, engine_id: str, name: bytes, now: float) -> float:
        """Return how old the belief is that an engine holds a marker; infinite if there is none."""
        marker = self._markers.get(name)
        holder = marker.holders.get(engine_id) if marker else None
        return now - holder.at if holder else math.inf

    def merge_from_home(
        self, name: bytes, remote_rate: float, holders: Sequence[Holder], kept_at: float | None
    ) -> None:
        """Take in what a home node knows of a marker."""
        marker = self._markers.get(name)
        if marker is None:
            return
        marker.remote_rate = remote_rate
        for holder in holders:
            self._set_holder(marker, holder)
        if kept_at is not None and (marker.kept_at is None or kept_at > marker.kept_at):
            marker.kept_at = kept_at

    def forget_engine(self, engine_id: str) -> None:
        """Drop all beliefs about an engine that restarted or left."""
        for marker in self._markers.values():
            marker.holders.pop(engine_id, None)
        self._survivals.pop(engine_id, None)

    def halve_survival_time(self, engine_id: str, now: float) -> None:
        """Let beliefs about an engine lapse early after a gap in its events."""
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
        return holder.incarnation == incarnation and now - holder.at <= seconds

    @staticmethod
    def _set_holder(marker: SharedMarker, holder: Holder) -> None:
        known = marker.holders.get(holder.engine_id)
        newer = known is None or (holder.incarnation, holder.at) > (known.incarnation, known.at)
        if newer:
            marker.holders[holder.engine_id] = holder
        if len(marker.holders) > constants.HOLDERS_PER_MARKER:
            oldest = min(marker.holders.values(), key=lambda h: h.at)
            del marker.holders[oldest.engine_id]


def markers_of(block_names: Sequence[bytes]) -> list[bytes]:
    """Return the markers of a prompt: every few blocks, the name of the block there."""
    stride = constants.MARKER_STRIDE_BLOCKS
    return list(block_names[stride - 1 :: stride])


def marker_tokens(depth: int) -> int:
    """Return the tokens that a number of leading markers stand for."""
    return depth * constants.MARKER_STRIDE_BLOCKS * constants.BLOCK_TOKENS
