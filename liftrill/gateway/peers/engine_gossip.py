"""What nodes tell each other of engines besides the records in the store."""

import asyncio
from dataclasses import replace

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.rendezvous import rank
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimits
from liftrill.gateway.engines.engine_standing import EngineWord
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.engines.engine_update import EngineUpdate
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.peers.peer_link import PeerLink

# When a node that joins is told again of engines to leave alone: once the others have heard of a
# return of the store that came just then (guess). Datagrams are lost now and then, too.
JOINER_TOLD_AFTER_S = (0.3, 1.0)
# How many nodes tell it of all weights: 18 KB each for 300 engines with one model (encoded rows);
# one may have just started, and datagrams of another be lost (guess).
JOINER_TELLERS = 3


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

    def hear(self, word: EngineWord) -> None:
        """Take in what an engine says of itself in an answer to this node."""
        self._metrics.count_word(word)
        if word.rest_s:
            self._log.engine_rests(word)
        if word.limit_per_s is not None:
            self._log.engine_limit_named(word)
        now = clock.now_s()
        engine = self._engines.incarnation(word.engine)
        if engine is not None:
            self._limits.hear(engine, word.limit_per_s, word.permit, now)
        if self._engines.hear(word, now):
            self._note_leaving(word.engine, word.source)
            self._peers.tell_leaving([word.engine])

    def apply_update(self, update: EngineUpdate) -> None:
        """Take in what a peer tells."""
        now = clock.now_s()
        for engine in update.leaving:
            if self._engines.hear(EngineWord(engine, "peer", leaving=True), now):
                self._note_leaving(engine, "peer")
        for limit in update.limits:
            self._limits.learn(limit, now)
        for record in self._engines.learn_unwritten(update, now):
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
        update = self._engines.unwritten(with_all_weights)
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
