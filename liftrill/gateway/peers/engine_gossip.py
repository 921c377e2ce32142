"""Exchange of engine state between nodes that the records in the store do not hold."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.quota import FleetSize
from liftrill.coordination.rendezvous import first, is_among_first
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.engine_limits import (
    EngineLimit,
    EngineLimits,
    LimitMessage,
    LimitPeers,
)
from liftrill.gateway.engines.engine_slots import EngineSlots, SlotMessage, SlotPeers
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.engines.unrecorded_engine_state import UnrecordedEngineState
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.peers.peer_link import PeerLink

# Delays after which the state is sent to a joining node again: by then the other nodes know of a
# store that became reachable just before the join. Also makes up for lost datagrams.
JOINER_RESEND_DELAYS_S = (0.3, 1.0)
# Number of nodes that send all weights to a joining node: one of them may have just started, and
# datagrams of another may be lost. Each sends 18 KB for 300 engines with one model.
JOINER_WEIGHT_SENDERS = 3
# A node issues no permits before this time, since it counts itself as the only node until it knows
# the others.
MIN_ISSUER_UPTIME_S = 1.0


class EngineGossip:
    """Applies engine state from answers and from peers, and forwards it to peers."""

    def __init__(
        self,
        engines: EngineTable,
        limits: EngineLimits,
        slots: EngineSlots,
        membership: Membership,
        peers: PeerLink,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._engines = engines
        self._limits = limits
        self._slots = slots
        self._membership = membership
        self._peers = peers
        self._log = log
        self._metrics = metrics
        # Nodes that joined during this event loop iteration.
        self._joiners: set[str] = set()

    def handle_signal(self, signal: EngineSignal) -> None:
        """Apply the signal in an engine's answer, and broadcast that the engine leaves."""
        self._metrics.count_engine_signal(signal)
        if signal.backoff_s:
            self._log.engine_backoff_requested(signal)
        if signal.limit_per_s is not None:
            self._log.engine_limit_reported(signal)
        now = clock.now_s()
        view = self._engines.get(signal.engine.engine_id)
        if signal.rejections_per_s is not None and view is not None:
            self._slots.record_answer(view.record.service, now)
        engine = self._engines.incarnation(signal.engine)
        if engine is not None:
            self._limits.note_answer(engine, signal.limit_per_s, signal.permit, now)
        if self._engines.apply_signal(signal, now):
            self._log_leaving(signal.engine, signal.source)
            self._peers.broadcast_leaving([signal.engine])

    def apply_update(self, update: UnrecordedEngineState) -> None:
        """Apply an update from a peer."""
        now = clock.now_s()
        for engine in update.leaving:
            if self._engines.apply_signal(EngineSignal(engine, "peer", leaving=True), now):
                self._log_leaving(engine, "peer")
        for limit in update.limits:
            self._limits.merge(limit, now)
        for record in self._engines.merge_unrecorded_state(update, now):
            self._log.state_changed(
                "engine_withheld", engine=record.engine_id, revision=record.revision
            )

    def send_state_to_joiner(self, joiner: Member) -> None:
        """Send a joining node the state that it can't read in the store.

        The node may have started after that state was broadcast. If the store was restored from an
        older copy, only the other nodes know the state that the copy lacks. When a whole fleet
        starts, one datagram adds many members, so their state is sent after this event loop
        iteration.
        """
        if not self._joiners:
            asyncio.get_running_loop().call_soon(self._send_state_to_joiners)
        self._joiners.add(joiner.node_id)

    def _send_state_to_joiners(self) -> None:
        joiners, self._joiners = self._joiners, set()
        receive_weights = {node for node in joiners if self._sends_weights_to(node)}
        self._send_state(joiners - receive_weights)
        self._send_state(receive_weights, with_all_weights=True)
        loop = asyncio.get_running_loop()
        for wait_s in JOINER_RESEND_DELAYS_S:
            loop.call_later(wait_s, self._send_state, joiners)

    def _sends_weights_to(self, joiner: str) -> bool:
        """Return whether this node is one of the few that send all weights to a joining node.

        The joining node may be the first to read an older copy of the store, and would then ask
        engines for weights that they no longer have.
        """
        members = (member.node_id for member in self._membership.members())
        candidates = [node for node in members if node != joiner]
        own = self._membership.own.node_id
        return is_among_first(joiner.encode(), own, candidates, JOINER_WEIGHT_SENDERS)

    def _send_state(self, nodes: set[str], with_all_weights: bool = False) -> None:
        if nodes:
            update = self._engines.unrecorded_state(with_all_weights)
            self._peers.send_update(replace(update, limits=self._limits.in_force()), nodes)

    def _log_leaving(self, engine: EngineAddress, source: str) -> None:
        view = self._engines.get(engine.engine_id)
        self._log.state_changed(
            "engine_leaves",
            engine=engine.engine_id,
            address=engine.address,
            source=source,
            revision=view.record.revision if view else None,
            born_unix_ms=view.record.born_unix_ms if view else None,
        )


class SlotMessenger(SlotPeers):
    """Sends permits for slots to peers, and logs and counts what changes.

    Attributes:
        wake_waiting: makes requests that wait for engines check for one again.
    """

    def __init__(
        self, limits: LimitPeers, peers: PeerLink, log: DecisionLog, metrics: GatewayMetrics
    ) -> None:
        self.wake_waiting: Callable[[], None] = lambda: None
        self._limits = limits
        self._peers = peers
        self._log = log
        self._metrics = metrics

    @property
    def node_id(self) -> str:
        """The id of this node."""
        return self._limits.node_id

    def issuer(self, engine: EngineAddress) -> str:
        """Return the node that issues permits for an engine, the same as for its limit."""
        return self._limits.issuer(engine)

    def send(self, node: str, message: SlotMessage) -> None:
        """Send a message to one node, or to all if its id is empty."""
        self._peers.send_slot_message(message, node)

    def brittle_changed(self, service: str, brittle: bool, source: str) -> None:
        """Log that a service became brittle, or is not brittle any more."""
        self._metrics.brittle_services.labels(service).set(brittle)
        self._log.state_changed("brittle", service=service, brittle=brittle, source=source)

    def permits_changed(self) -> None:
        """Make requests that wait for engines check for one again."""
        self.wake_waiting()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay."""
        asyncio.get_running_loop().call_later(delay_s, callback)


class LimitMessenger(LimitPeers):
    """Sends limits and permits to peers, and logs and counts their changes.

    Attributes:
        wake_waiting: makes requests that wait for engines check for one again.
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
        self._issuer_members: list[Member] = []

    @property
    def node_id(self) -> str:
        """The id of this node."""
        return self._membership.own.node_id

    def issuer(self, engine: EngineAddress) -> str:
        """Return the node that issues permits for an engine, one of the live members."""
        members = self._membership.members()
        if members is not self._issuer_members:
            self._issuer_members = members
            self._issuers.clear()
        if engine not in self._issuers:
            key = f"{engine.engine_id} {engine.address} {engine.number}".encode()
            nodes = (member.node_id for member in members)
            self._issuers[engine] = first(key, nodes) or self.node_id
        return self._issuers[engine]

    def issuing_share(self) -> float:
        """Return the share of a limit that this node may issue.

        In a network partition each side has an issuer of its own, and their shares add up to one.
        """
        if clock.now_s() - self._started_at < MIN_ISSUER_UPTIME_S:
            return 0.0
        return min(1.0, len(self._membership.members()) / self._fleet.nodes)

    def send(self, node: str, message: LimitMessage) -> None:
        """Send a message to another node."""
        self._peers.send_limit_message(node, message)

    def broadcast(self, limit: EngineLimit) -> None:
        """Broadcast a limit that begins or ends."""
        self._peers.broadcast_limit(limit)

    def limit_changed(self, limit: EngineLimit, source: str) -> None:
        """Log a limit that began, changed or ended."""
        self._log.state_changed(
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
        """Count a granted permit."""
        self._metrics.permits.labels("granted").inc()

    def permit_refused(self, engine: EngineAddress, user: str, issuer: str, wait_s: float) -> None:
        """Log and count a refused permit."""
        self._metrics.permits.labels("refused").inc()
        self._log.permit_refused(user, engine, issuer, wait_s)

    def permit_unanswered(self, engine: EngineAddress, issuer: str) -> None:
        """Log and count a permit request that its issuer did not answer in time."""
        self._metrics.permits.labels("none").inc()
        self._log.permit_unanswered(engine, issuer)

    def permits_changed(self) -> None:
        """Make requests that wait for engines check for one again."""
        self.wake_waiting()
