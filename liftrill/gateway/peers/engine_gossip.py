"""What nodes tell each other of engines besides the records in the store."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.quota import FleetSize
from liftrill.coordination.rendezvous import first, rank
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.engine_limits import (
    EngineLimit,
    EngineLimits,
    LimitMessage,
    LimitPeers,
)
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.engines.unrecorded_engine_state import UnrecordedEngineState
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.peers.peer_link import PeerLink

# When a node that joins is told again of engines to leave alone: once the others have heard of a
# return of the store that came just then (guess). Datagrams are lost now and then, too.
JOINER_TOLD_AFTER_S = (0.3, 1.0)
# How many nodes tell it of all weights: 18 KB each for 300 engines with one model (encoded rows);
# one may have just started, and datagrams of another be lost (guess).
JOINER_TELLERS = 3
# A node that starts takes itself for the only one until it knows the others.
ISSUES_AFTER_S = 1.0


class EngineGossip:
    """Takes in what engines say to this node, and what peers say of them; tells peers."""

    def __init__(
        self,
        engines: EngineTable,
        limits: EngineLimits,
        membership: Membership,
        peers: PeerLink,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._engines = engines
        self._limits = limits
        self._membership = membership
        self._peers = peers
        self._log = log
        self._metrics = metrics

    def hear(self, word: EngineSignal) -> None:
        """Take in what an engine says of itself in an answer to this node."""
        self._metrics.count_word(word)
        if word.backoff_s:
            self._log.engine_rests(word)
        if word.limit_per_s is not None:
            self._log.engine_limit_named(word)
        now = clock.now_s()
        engine = self._engines.incarnation(word.engine)
        if engine is not None:
            self._limits.note_answer(engine, word.limit_per_s, word.permit, now)
        if self._engines.apply_signal(word, now):
            self._note_leaving(word.engine, word.source)
            self._peers.tell_leaving([word.engine])

    def apply_update(self, update: UnrecordedEngineState) -> None:
        """Take in what a peer tells."""
        now = clock.now_s()
        for engine in update.leaving:
            if self._engines.apply_signal(EngineSignal(engine, "peer", leaving=True), now):
                self._note_leaving(engine, "peer")
        for limit in update.limits:
            self._limits.merge(limit, now)
        for record in self._engines.merge_unrecorded_state(update, now):
            self._log.belief("engine_withheld", engine=record.engine_id, revision=record.revision)

    def tell_joiner(self, joiner: Member) -> None:
        """Tell a node that joins what it can't read in the store.

        It may have started after others were told, and the store may have come back from an older
        copy: what that lacks nobody but the other nodes can tell it.
        """
        self._tell(joiner.node_id, with_all_weights=self._briefs(joiner))
        loop = asyncio.get_running_loop()
        for wait_s in JOINER_TOLD_AFTER_S:
            loop.call_later(wait_s, self._tell, joiner.node_id)

    def _briefs(self, joiner: Member) -> bool:
        """Return whether this node is one of the few that tell a joiner of all weights.

        It may read a store's older copy before anybody else does, and asks engines for weights
        that they have no more.
        """
        members = (member.node_id for member in self._membership.members())
        tellers = [node for node in members if node != joiner.node_id]
        few = rank(joiner.node_id.encode(), tellers)[:JOINER_TELLERS]
        return self._membership.own.node_id in few

    def _tell(self, node: str, with_all_weights: bool = False) -> None:
        update = self._engines.unrecorded_state(with_all_weights)
        self._peers.send_update(replace(update, limits=self._limits.in_force()), node)

    def _note_leaving(self, engine: EngineAddress, source: str) -> None:
        view = self._engines.get(engine.engine_id)
        self._log.belief(
            "engine_leaves",
            engine=engine.engine_id,
            address=engine.address,
            source=source,
            revision=view.record.revision if view else None,
            born_unix_ms=view.record.born_unix_ms if view else None,
        )


class LimitLink(LimitPeers):
    """What the limits of a gateway ask of its peers.

    Attributes:
        wake_waiting: lets requests that wait for engines look again.
    """

    def __init__(
        self,
        membership: Membership,
        fleet: FleetSize,
        peers: PeerLink,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.wake_waiting: Callable[[], None] = lambda: None
        self._membership = membership
        self._fleet = fleet
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._started_at = clock.now_s()
        self._issuers: dict[EngineAddress, str] = {}
        self._issuers_among: list[Member] = []

    @property
    def node_id(self) -> str:
        """The name of this node."""
        return self._membership.own.node_id

    def issuer(self, engine: EngineAddress) -> str:
        """Return the node that issues permits for an engine: one of those believed alive."""
        members = self._membership.members()
        if members is not self._issuers_among:
            self._issuers_among = members
            self._issuers.clear()
        if engine not in self._issuers:
            key = f"{engine.engine_id} {engine.address} {engine.number}".encode()
            nodes = (member.node_id for member in members)
            self._issuers[engine] = first(key, nodes) or self.node_id
        return self._issuers[engine]

    def issuing_share(self) -> float:
        """Return the share of a limit that this node may issue.

        Each side of a cut has an issuer of its own: their shares add up to one.
        """
        if clock.now_s() - self._started_at < ISSUES_AFTER_S:
            return 0.0
        return min(1.0, len(self._membership.members()) / self._fleet.nodes)

    def send(self, node: str, message: LimitMessage) -> None:
        """Send a message to another node."""
        self._peers.send_limit_message(node, message)

    def broadcast(self, limit: EngineLimit) -> None:
        """Tell all nodes of a limit that begins or ends."""
        self._peers.broadcast_limit(limit)

    def limit_changed(self, limit: EngineLimit, source: str) -> None:
        """Log a limit that began, changed or ended."""
        self._log.belief(
            "engine_limit",
            engine=limit.engine.engine_id,
            address=limit.engine.address,
            in_force=limit.in_force,
            limit_per_s=limit.rate_per_s,
            serial=limit.serial,
            source=source,
            issuer=self.issuer(limit.engine),
        )

    def permit_granted(self) -> None:
        """Count a permit."""
        self._metrics.permits.labels("granted").inc()

    def permit_refused(self, engine: EngineAddress, user: str, issuer: str, wait_s: float) -> None:
        """Log and count that a request got no permit."""
        self._metrics.permits.labels("refused").inc()
        self._log.permit_refused(user, engine, issuer, wait_s)

    def permit_unanswered(self, engine: EngineAddress, issuer: str) -> None:
        """Log and count that an issuer did not answer in time."""
        self._metrics.permits.labels("none").inc()
        self._log.permit_unanswered(engine, issuer)

    def permits_changed(self) -> None:
        """Let requests that wait for engines look again."""
        self.wake_waiting()
