"""Enforces the request rate limits that engines impose, across all nodes; performs no I/O.

Every request to a limited engine needs a permit from one node, the issuer of that engine. A limit
applies to one incarnation, independent of its record.
"""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from liftrill.coordination.permits import Permit, PermitDecision, PermitHolder, PermitIssuer
from liftrill.gateway.delivery_events import EngineAddress

# Same values and reasons as in engine_condition.
RETENTION_S = 600.0
MAX_ENTRIES = 4_096
EXPIRY_INTERVAL_S = 10.0
# Request numbers start at a random value below, so that two runs of a node use different ones.
FIRST_REQUEST_NUMBERS = 1 << 32


@dataclass(frozen=True, slots=True)
class EngineLimit:
    """Request rate that an engine accepts from all nodes together.

    Attributes:
        rate_per_s: the rate that the engine stated last.
        serial: incremented each time the limit begins or ends.
        in_force: whether the limit applies; False once the engine stops stating it.
    """

    engine: EngineAddress
    rate_per_s: float
    serial: int = 1
    in_force: bool = True


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks an issuer for one permit.

    Attributes:
        limit: the limit as known to the requesting node.
        number: the number of the request.
        patience_s: how long the requesting node waits for the permit.
    """

    limit: EngineLimit
    number: int
    patience_s: float


@dataclass(frozen=True, slots=True)
class PermitResponse:
    """Answer to a permit request, with the limit as known to the issuer."""

    limit: EngineLimit
    decision: PermitDecision


@dataclass(frozen=True, slots=True)
class PermitReceipt:
    """Reports to an issuer the limit in an engine's answer to a request with a permit.

    Attributes:
        rate_per_s: the limit that the answer stated, or None.
    """

    engine: EngineAddress
    run: int
    issued_at: float
    rate_per_s: float | None


LimitMessage = PermitRequest | PermitResponse | PermitReceipt


class LimitPeers(ABC):
    """Access of the limits to peers, logs and waiting requests."""

    @property
    @abstractmethod
    def node_id(self) -> str:
        """The id of this node."""

    @abstractmethod
    def issuer(self, engine: EngineAddress) -> str:
        """Return the id of the node that issues permits for an engine."""

    @abstractmethod
    def issuing_share(self) -> float:
        """Return the share of a limit that this node may issue; 0 before it may issue any."""

    @abstractmethod
    def send(self, node: str, message: LimitMessage) -> None:
        """Send a message to another node."""

    @abstractmethod
    def broadcast(self, limit: EngineLimit) -> None:
        """Send a limit that begins or ends to all nodes."""

    @abstractmethod
    def limit_changed(self, limit: EngineLimit, source: str) -> None:
        """Record that a limit began, changed or ended; `source` says how it became known."""

    @abstractmethod
    def permit_granted(self) -> None:
        """Record that this node received a permit."""

    @abstractmethod
    def permit_refused(self, engine: EngineAddress, user: str, issuer: str, wait_s: float) -> None:
        """Record that a request was refused a permit."""

    @abstractmethod
    def permit_unanswered(self, engine: EngineAddress, issuer: str) -> None:
        """Record that an issuer did not answer the last permit request in time."""

    @abstractmethod
    def permits_changed(self) -> None:
        """Wake waiting requests: a permit may have become available or been refused."""


class NoLimitPeers(LimitPeers):
    """Peers of a node that runs alone: this node issues all permits."""

    node_id = "node"

    def issuer(self, engine: EngineAddress) -> str:
        """Return the id of this node."""
        return self.node_id

    def issuing_share(self) -> float:
        """Return 1.0: this node issues the whole limit."""
        return 1.0

    def send(self, node: str, message: LimitMessage) -> None:
        """Send nothing; there are no peers."""

    def broadcast(self, limit: EngineLimit) -> None:
        """Send nothing; there are no peers."""

    def limit_changed(self, limit: EngineLimit, source: str) -> None:
        """Record nothing."""

    def permit_granted(self) -> None:
        """Record nothing."""

    def permit_refused(self, engine: EngineAddress, user: str, issuer: str, wait_s: float) -> None:
        """Record nothing."""

    def permit_unanswered(self, engine: EngineAddress, issuer: str) -> None:
        """Record nothing."""

    def permits_changed(self) -> None:
        """Wake nothing."""


@dataclass(slots=True)
class _LimitState:
    limit: EngineLimit
    updated_at: float
    holder: PermitHolder = field(default_factory=PermitHolder)


class EngineLimits:
    """Limits of engines known to one node, its own permits, and the permits that it issues.

    Attributes:
        peers: set before the node starts, if it has peers.
    """

    def __init__(self) -> None:
        self.peers: LimitPeers = NoLimitPeers()
        self._states: dict[EngineAddress, _LimitState] = {}
        self._issuer = PermitIssuer()
        self._numbers = itertools.count(random.randrange(FIRST_REQUEST_NUMBERS))
        self._expired_at = 0.0

    def in_force(self) -> tuple[EngineLimit, ...]:
        """Return the limits that currently apply."""
        return tuple(state.limit for state in self._states.values() if state.limit.in_force)

    def is_limited(self, engine: EngineAddress) -> bool:
        """Return whether requests to an engine need a permit."""
        state = self._states.get(engine)
        return state is not None and state.limit.in_force

    def may_send(self, engine: EngineAddress, permit: Permit | None, now: float) -> bool:
        """Return whether a request with this permit, or with none, may be sent now."""
        if not self.is_limited(engine):
            return True
        return permit is not None and now <= permit.usable_until

    # Permits of this node

    def wait_s(self, engine: EngineAddress, user: str, now: float) -> float:
        """Return the time until a request may get a permit for an engine, or 0 if it may now."""
        if not self._states or not self.is_limited(engine):
            return 0.0
        holder = self._states[engine].holder
        if holder.has_permit(now) or holder.is_pending(user, now):
            return 0.0
        return holder.wait_s(now)

    def is_pending(self, engine: EngineAddress, user: str, now: float) -> bool:
        """Return whether a permit requested for this request is still pending."""
        state = self._states.get(engine)
        return state is not None and state.holder.is_pending(user, now)

    def claim(self, engine: EngineAddress, user: str, now: float) -> Permit | None:
        """Take a permit that this node already holds, or return None."""
        state = self._states.get(engine)
        return state.holder.claim(user, now) if state is not None else None

    def obtain(
        self, engine: EngineAddress, user: str, patience_s: float, may_wait: bool, now: float
    ) -> Permit | None:
        """Take a permit, requesting one if this node holds none."""
        permit = self.claim(engine, user, now)
        if permit is not None or not self.is_limited(engine):
            return permit
        self.request_permit(engine, user, patience_s, may_wait, now)
        return self.claim(engine, user, now)

    def request_permit(
        self, engine: EngineAddress, user: str, patience_s: float, may_wait: bool, now: float
    ) -> None:
        """Request a permit: this node answers at once, another node only if `may_wait`."""
        state = self._states[engine]
        issuer = self.peers.issuer(engine)
        if issuer != self.peers.node_id and not may_wait:
            return
        if state.holder.user:
            self.peers.permit_unanswered(engine, issuer)
        number = next(self._numbers)
        state.holder.ask(number, user, now)
        request = PermitRequest(state.limit, number, patience_s)
        if issuer == self.peers.node_id:
            self._apply_response(issuer, self._respond(request, now), now)
        else:
            self.peers.send(issuer, request)

    # Limits reported by engines and peers

    def note_answer(
        self, engine: EngineAddress, rate_per_s: float | None, permit: Permit | None, now: float
    ) -> None:
        """Apply the limit stated in an answer to this node, or its absence."""
        if rate_per_s is not None:
            self._apply_reported_limit(engine, rate_per_s, now)
        if permit is None:
            return
        receipt = PermitReceipt(engine, permit.run, permit.issued_at, rate_per_s)
        if permit.issuer == self.peers.node_id:
            self._apply_receipt(receipt, now)
        else:
            self.peers.send(permit.issuer, receipt)

    def merge(self, limit: EngineLimit, now: float) -> None:
        """Merge a limit known to a peer; the higher serial wins."""
        state = self._states.get(limit.engine)
        if state is None:
            if limit.in_force:
                self._set_limit(limit, "peer", now)
            return
        state.updated_at = now
        is_newer = limit.serial > state.limit.serial
        if is_newer and (limit.in_force or state.limit.in_force):
            self._set_limit(limit, "peer", now)
        elif is_newer:
            state.limit = limit

    def receive(self, node: str, message: LimitMessage, now: float) -> None:
        """Handle a message from another node."""
        if isinstance(message, PermitRequest):
            self.merge(message.limit, now)
            self.peers.send(node, self._respond(message, now))
        elif isinstance(message, PermitResponse):
            self.merge(message.limit, now)
            self._apply_response(node, message, now)
            self.peers.permits_changed()
        else:
            self._apply_receipt(message, now)

    def expire(self, in_records: Iterable[EngineAddress], now: float) -> None:
        """Drop limits of engines without a record that were not confirmed for RETENTION_S."""
        if not self._states or now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for engine in in_records:
            state = self._states.get(engine)
            if state is not None and state.limit.in_force:
                state.updated_at = now
        for engine, state in list(self._states.items()):
            if now - state.updated_at > RETENTION_S:
                self._forget(engine)

    def _apply_reported_limit(self, engine: EngineAddress, rate_per_s: float, now: float) -> None:
        state = self._states.get(engine)
        if state is not None and state.limit.in_force:
            state.updated_at = now
            if state.limit.rate_per_s != rate_per_s:
                self._set_limit(replace(state.limit, rate_per_s=rate_per_s), "answer", now)
            return
        serial = state.limit.serial + 1 if state is not None else 1
        limit = EngineLimit(engine, rate_per_s, serial)
        self._set_limit(limit, "answer", now)
        self.peers.broadcast(limit)

    def _set_limit(self, limit: EngineLimit, source: str, now: float) -> None:
        state = self._states.get(limit.engine)
        if state is None:
            self._states[limit.engine] = _LimitState(limit, now)
            if len(self._states) > MAX_ENTRIES:
                self._forget(min(self._states, key=lambda engine: self._states[engine].updated_at))
        else:
            state.limit, state.updated_at = limit, now
        if not limit.in_force:
            self._issuer.stop(limit.engine)
        self.peers.limit_changed(limit, source)
        self.peers.permits_changed()

    def _forget(self, engine: EngineAddress) -> None:
        del self._states[engine]
        self._issuer.stop(engine)

    # Permits that this node issues

    def _respond(self, request: PermitRequest, now: float) -> PermitResponse:
        """Decide on a permit request; a node that is not the issuer has a share of 0."""
        engine = request.limit.engine
        state = self._states.get(engine)
        limit = state.limit if state is not None else request.limit
        is_issuer = self.peers.issuer(engine) == self.peers.node_id
        share = self.peers.issuing_share() if is_issuer else 0.0
        decision = self._issuer.decide(
            engine,
            limit.rate_per_s if limit.in_force else None,
            share,
            request.number,
            request.patience_s,
            now,
        )
        return PermitResponse(limit, decision)

    def _apply_response(self, node: str, response: PermitResponse, now: float) -> None:
        engine = response.limit.engine
        state = self._states.get(engine)
        if state is None:
            return
        if response.limit.serial == state.limit.serial:
            # The issuer receives every rate that the engine states, so its rate is the newest.
            state.limit = response.limit
        user = state.holder.user
        if not state.holder.decided(response.decision, node, now):
            return
        if response.decision.granted:
            self.peers.permit_granted()
        else:
            self.peers.permit_refused(engine, user, node, response.decision.wait_s)

    def _apply_receipt(self, receipt: PermitReceipt, now: float) -> None:
        state = self._states.get(receipt.engine)
        if state is None or not state.limit.in_force:
            return
        if receipt.rate_per_s is not None:
            state.updated_at = now
            state.limit = replace(state.limit, rate_per_s=receipt.rate_per_s)
        ended = self._issuer.record_receipt(
            receipt.engine, receipt.run, receipt.issued_at, receipt.rate_per_s is not None, now
        )
        if ended:
            limit = replace(state.limit, serial=state.limit.serial + 1, in_force=False)
            self._set_limit(limit, "permits", now)
            self.peers.broadcast(limit)
