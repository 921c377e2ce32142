"""Which peers reach the engines that this node's own links do not reach, sans-IO.

The node asks a few peers about each such engine, and sends requests only by peers that answered
that they reach it. So an engine that has ended is not tried by proxies, and a peer that is cut off
as well is not used as one.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field

from liftrill.coordination.membership_messages import Member
from liftrill.gateway.delivery_events import EngineAddress

# How many peers are asked at a time: one of them is likely to reach the engine if half do.
PEERS_ASKED = 3
# How long an answer counts. Peers are asked again before it expires.
ANSWER_LIFETIME_S = 2.5
REFRESH_INTERVAL_S = 1.0
# Intervals between questions that no peer has answered with yes: an engine that ended is asked
# about until its record expires.
MIN_RETRY_INTERVAL_S = 0.25
MAX_RETRY_INTERVAL_S = 2.0
# How long a peer that took no request, or did not answer, is asked last.
AVOID_S = 2.0


class ProxyPolicy(ABC):
    """Chooses the peer that passes on a request."""

    @abstractmethod
    def choose(self, proxies: Sequence[str], in_use: dict[str, int]) -> str:
        """Return one of the peers, given the requests that this node has at each."""


class LeastUsedProxy(ProxyPolicy):
    """Chooses the peer with the fewest requests of this node; among equal ones at random."""

    def choose(self, proxies: Sequence[str], in_use: dict[str, int]) -> str:
        """Return one of the peers."""
        fewest = min(in_use.get(node, 0) for node in proxies)
        return random.choice([node for node in proxies if in_use.get(node, 0) == fewest])


@dataclass(slots=True)
class _EngineRow:
    """What peers answered about one engine.

    Attributes:
        reached_at: by peer, when it last reached the engine.
        denied_at: by peer, when it last did not reach it.
        needs_probe: whether peers are to probe it even if it worked just before.
    """

    next_question_at: float = 0.0
    interval_s: float = MIN_RETRY_INTERVAL_S
    down_since: float = 0.0
    needs_probe: bool = True
    reached_at: dict[str, float] = field(default_factory=dict)
    denied_at: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DueQuestions:
    """The engines to ask peers about.

    Attributes:
        needs_probe: whether peers are to probe them even if they worked just before.
    """

    engines: tuple[EngineAddress, ...]
    needs_probe: bool


@dataclass(slots=True)
class ProxyTable:
    """The peers that may pass on requests of this node."""

    policy: ProxyPolicy = field(default_factory=LeastUsedProxy)
    _rows: dict[EngineAddress, _EngineRow] = field(default_factory=dict)
    _avoid_until: dict[str, float] = field(default_factory=dict)
    _in_use: dict[str, int] = field(default_factory=dict)

    # Questions

    def update(self, unreachable: Sequence[EngineAddress], now: float) -> None:
        """Keep only the engines that this node cannot reach."""
        for engine in set(self._rows) - set(unreachable):
            del self._rows[engine]
        for engine in unreachable:
            self._rows.setdefault(engine, _EngineRow(down_since=now))

    def take_due(self, now: float) -> DueQuestions:
        """Return the engines to ask peers about now, and schedule the next question."""
        due: list[EngineAddress] = []
        needs_probe = False
        for engine, row in self._rows.items():
            if now < row.next_question_at:
                continue
            due.append(engine)
            needs_probe, row.needs_probe = needs_probe or row.needs_probe, False
            self._schedule(engine, row, now)
        return DueQuestions(tuple(due), needs_probe)

    def peers_to_ask(
        self, engines: Sequence[EngineAddress], peers: Sequence[Member], zone: str, now: float
    ) -> list[Member]:
        """Return the peers to ask about engines: those that may reach them, near ones first."""
        rows = [self._rows[engine] for engine in engines]

        def order(peer: Member) -> tuple[bool, bool, float]:
            is_avoided = now < self._avoid_until.get(peer.node_id, 0.0)
            denied = any(now - row.denied_at.get(peer.node_id, -AVOID_S) < AVOID_S for row in rows)
            return is_avoided or denied, peer.zone != zone, random.random()

        return sorted(peers, key=order)[:PEERS_ASKED]

    def record_answer(self, node: str, engine: EngineAddress, reached: bool, now: float) -> bool:
        """Record a peer's answer; return whether it is the first by which the engine is usable."""
        row = self._rows.get(engine)
        if row is None:
            return False
        if not reached:
            row.reached_at.pop(node, None)
            row.denied_at[node] = now
            return False
        was_usable = self.has_proxy(engine, now)
        row.reached_at[node] = now
        row.denied_at.pop(node, None)
        return not was_usable

    def ask_again(self, engine: EngineAddress, now: float) -> None:
        """Let the next question be about an engine, whenever it was asked about last."""
        row = self._rows.setdefault(engine, _EngineRow(down_since=now))
        row.next_question_at, row.needs_probe = now, True

    def answers_since(self, engine: EngineAddress, since: float) -> tuple[int, int]:
        """Return how many peers have answered after a time that they reach an engine, or not."""
        row = self._rows.get(engine)
        if row is None:
            return 0, 0
        reached = sum(at >= since for at in row.reached_at.values())
        return reached, sum(at >= since for at in row.denied_at.values())

    def peer_lost(self, node: str, now: float) -> None:
        """Stop using a peer that took no request."""
        self._avoid_until[node] = now + AVOID_S
        for row in self._rows.values():
            if row.reached_at.pop(node, None) is not None:
                row.next_question_at = now

    # Paths

    def has_proxy(self, engine: EngineAddress, now: float) -> bool:
        """Return whether a peer passes on requests to an engine."""
        return bool(self._proxies(engine, now))

    def is_pending(self, engine: EngineAddress, now: float) -> bool:
        """Return whether peers were asked about an engine only just now."""
        row = self._rows.get(engine)
        return row is None or now - row.down_since < MIN_RETRY_INTERVAL_S

    def proxy(self, engine: EngineAddress, now: float) -> str | None:
        """Return the peer that is to pass on a request to an engine, or None."""
        proxies = self._proxies(engine, now)
        return self.policy.choose(proxies, self._in_use) if proxies else None

    def begin(self, node: str) -> None:
        """Record that a request is about to be sent by a peer."""
        self._in_use[node] = self._in_use.get(node, 0) + 1

    def end(self, node: str) -> None:
        """Record that a request sent by a peer has ended."""
        remaining = self._in_use.get(node, 0) - 1
        if remaining > 0:
            self._in_use[node] = remaining
        else:
            self._in_use.pop(node, None)

    def _proxies(self, engine: EngineAddress, now: float) -> list[str]:
        row = self._rows.get(engine)
        if row is None:
            return []
        return [node for node, at in row.reached_at.items() if now - at < ANSWER_LIFETIME_S]

    def _schedule(self, engine: EngineAddress, row: _EngineRow, now: float) -> None:
        if self.has_proxy(engine, now):
            row.interval_s = MIN_RETRY_INTERVAL_S
            row.next_question_at = now + REFRESH_INTERVAL_S
            return
        row.next_question_at = now + row.interval_s
        row.interval_s = min(MAX_RETRY_INTERVAL_S, 2.0 * row.interval_s)
