"""Joins the limits of engines on one node to its peers, its log and its metrics."""

from collections.abc import Callable

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.quota import FleetSize
from liftrill.coordination.rendezvous import first
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimit, LimitMessage, LimitPeers
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.peers.peer_link import PeerLink

# A node that starts takes itself for the only one until it knows the others.
ISSUES_AFTER_S = 1.0


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
    def own(self) -> str:
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
            self._issuers[engine] = first(key, nodes) or self.own
        return self._issuers[engine]

    def issued_share(self) -> float:
        """Return the share of a limit that this node may issue.

        Each side of a cut has an issuer of its own: their shares add up to one.
        """
        if clock.now_s() - self._started_at < ISSUES_AFTER_S:
            return 0.0
        return min(1.0, len(self._membership.members()) / self._fleet.nodes)

    def send(self, node: str, message: LimitMessage) -> None:
        """Send a message to another node."""
        self._peers.send_limit_message(node, message)

    def tell_all(self, limit: EngineLimit) -> None:
        """Tell all nodes of a limit that begins or ends."""
        self._peers.tell_limit(limit)

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
