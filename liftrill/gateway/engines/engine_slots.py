"""Keeps the requests of all nodes at a brittle engine within its slots; performs no I/O.

A brittle engine ends if it rejects more requests in a second than it says, whichever nodes sent
them. So each request to it needs a permit for one of its slots, which one node issues. Permits of
a rate (`engine_limits`) do not bound what waits at the engine: that depends on how long requests
take, and on the slots.
"""

import itertools
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from liftrill.coordination.slot_permits import REPORT_INTERVAL_S, NodeCount, SlotIssuer
from liftrill.gateway.delivery_events import EngineAddress, SlotPermit
from liftrill.gateway.engines.brittle_services import BrittleServices
from liftrill.gateway.engines.engine_table import EngineView

# Request numbers start at a random value below, so that two runs of a node use different ones.
FIRST_REQUEST_NUMBERS = 1 << 32
# Issuers and holders of engines that have not been used for this long are forgotten.
IDLE_S = 30.0
# A permit that no request takes within this time is returned.
UNUSED_PERMIT_S = 0.03
# When a node that has sent nothing else reports again that a request has ended, and for how many
# further intervals it reports that it has none.
REPEATED_AFTER_S = 0.03
REPEATED_REPORTS = 3


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks the issuer of an engine for one of its slots.

    Attributes:
        engine: the number of its incarnation.
        held: requests and unused permits that the sender has at the engine.
        received_serial: the highest serial of a grant that the sender received, or 0.
        sent_at: on the sender's clock.
        patience_s: how long the sender waits for the slot.
    """

    engine: int
    held: int
    received_serial: int
    sent_at: float
    number: int
    urgency: int
    patience_s: float


@dataclass(frozen=True, slots=True)
class SlotResponse:
    """Grants a slot in response to the request with this number."""

    engine: int
    number: int
    serial: int


@dataclass(frozen=True, slots=True)
class SlotReport:
    """Tells the issuer how many requests the sender has at an engine.

    Attributes:
        held, received_serial, sent_at: as in a request.
        rejected: whether the engine had no room for a request with a permit.
    """

    engine: int
    held: int
    received_serial: int
    sent_at: float
    rejected: bool = False


@dataclass(frozen=True, slots=True)
class BrittleReport:
    """Tells that answers say that the engines of a service are brittle."""

    service: str


SlotMessage = SlotRequest | SlotResponse | SlotReport | BrittleReport


class SlotPeers(ABC):
    """Access to peers, logs and waiting requests."""

    @property
    @abstractmethod
    def node_id(self) -> str:
        """The id of this node."""

    @abstractmethod
    def issuer(self, engine: EngineAddress) -> str:
        """Return the id of the node that issues the permits for an engine."""

    @abstractmethod
    def send(self, node: str, message: SlotMessage) -> None:
        """Send a message to one node, or to all if its id is empty."""

    @abstractmethod
    def brittle_changed(self, service: str, brittle: bool, source: str) -> None:
        """Record that a service became brittle, or is not brittle any more."""

    @abstractmethod
    def permits_changed(self) -> None:
        """Wake waiting requests: a permit has become available."""

    @abstractmethod
    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay."""


class NoSlotPeers(SlotPeers):
    """Peers of a node that runs alone: this node issues all permits."""

    node_id = "node"

    def issuer(self, engine: EngineAddress) -> str:
        """Return the id of this node."""
        return self.node_id

    def send(self, node: str, message: SlotMessage) -> None:
        """Send nothing; there are no peers."""

    def brittle_changed(self, service: str, brittle: bool, source: str) -> None:
        """Record nothing."""

    def permits_changed(self) -> None:
        """Wake nothing."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call nothing: unused permits of a node that runs alone expire."""


@dataclass(slots=True)
class _EngineState:
    """The permits of this node for one engine.

    Attributes:
        pending: by user, until when it waits for the permit that it requested.
        unused: the permits that no request has taken yet, by the number of their request.
        received_serial: the highest serial of a grant that this node received, or 0.
        reported_serial: the same as last reported to the issuer. A grant with a lower serial comes
            too late: the issuer takes it for lost.
        ended_at: when a request of this node at the engine last ended.
    """

    used_at: float = 0.0
    reported_at: float = 0.0
    ended_at: float = -math.inf
    received_serial: int = 0
    reported_serial: int = 0
    pending: dict[str, float] = field(default_factory=dict)
    users: dict[int, str] = field(default_factory=dict)
    unused: dict[int, SlotPermit] = field(default_factory=dict)

    def is_pending(self, user: str, now: float) -> bool:
        """Return whether a user still waits for a permit."""
        return now < self.pending.get(user, now)

    def claim(self, user: str) -> SlotPermit | None:
        """Take a permit, preferably the one that was requested for this user."""
        if not self.unused:
            return None
        own = [number for number, permit in self.unused.items() if permit.user == user]
        permit = self.unused.pop(own[0] if own else next(iter(self.unused)))
        self.pending.pop(user, None)
        return permit

    def expire(self, now: float) -> None:
        """Forget the requests for permits that were not granted in time."""
        late = [user for user, until in self.pending.items() if now >= until]
        for user in late:
            del self.pending[user]
        self.users = {number: user for number, user in self.users.items() if user in self.pending}


class EngineSlots:
    """Slots of brittle engines: this node's permits, and those that it issues.

    Attributes:
        peers: set before the node starts, if it has peers.
        services: which services are brittle.
    """

    def __init__(self, by_number: Callable[[int], EngineView | None]) -> None:
        self.peers: SlotPeers = NoSlotPeers()
        self.services = BrittleServices()
        self._by_number = by_number
        self._states: dict[int, _EngineState] = {}
        self._issuers: dict[int, tuple[SlotIssuer, float]] = {}
        self._numbers = itertools.count(1 + random.randrange(FIRST_REQUEST_NUMBERS))

    def needs_slot(self, view: EngineView, now: float) -> bool:
        """Return whether requests to an engine need a permit for a slot."""
        return self.services.is_brittle(view.record.service, now) and view.record.slots > 0

    def may_send(self, view: EngineView, permit: SlotPermit | None, now: float) -> bool:
        """Return whether a request with this permit, or with none, may be sent now."""
        return permit is not None or not self.needs_slot(view, now)

    # Permits of this node

    def has_slot(self, view: EngineView, now: float) -> bool:
        """Return whether this node has a permit for a brittle engine that is not used yet."""
        state = self._states.get(view.number)
        return state is not None and bool(state.unused) and self.needs_slot(view, now)

    def preferred(self, views: list[EngineView], now: float) -> list[EngineView]:
        """Return the engines to prefer: those with a permit, else a free slot, else a short queue.

        Otherwise all requests would wait for the slots of the engine that has their prompts cached.
        """
        granted = [view for view in views if self.has_slot(view, now)]
        if granted:
            return granted
        pending = {view.number: self._pending(view, now) for view in views}
        free = [v for v in views if v.requests + pending[v.number] < v.record.slots]
        if free:
            return free
        shortest = min(pending.values(), default=0)
        return [view for view in views if pending[view.number] == shortest]

    def _pending(self, view: EngineView, now: float) -> int:
        """Return how many requests of this node wait for a slot of an engine."""
        state = self._states.get(view.number)
        if state is None:
            return 0
        return sum(now < until for until in state.pending.values())

    def is_pending(self, view: EngineView, user: str, now: float) -> bool:
        """Return whether a permit requested for this request is still pending."""
        state = self._states.get(view.number)
        return state is not None and state.is_pending(user, now)

    def obtain(
        self, view: EngineView, user: str, urgency: int, patience_s: float, now: float
    ) -> SlotPermit | None:
        """Take a permit; if this node holds none, request one and wait for it."""
        state = self._states.setdefault(view.number, _EngineState())
        state.used_at = now
        permit = state.claim(user)
        if permit is not None or state.is_pending(user, now):
            return permit
        state.expire(now)
        number = next(self._numbers)
        state.pending[user] = now + patience_s
        state.users[number] = user
        held = self._held(view, state)
        state.reported_serial = state.received_serial
        request = SlotRequest(
            view.number, held, state.received_serial, now, number, urgency, patience_s
        )
        self._deliver(self.peers.issuer(view.identity), request, now)
        return state.claim(user)

    def request_ended(self, view: EngineView, rejected: bool, now: float) -> None:
        """Report that a request of this node at an engine has ended."""
        state = self._states.get(view.number)
        if state is not None and self.needs_slot(view, now):
            state.ended_at = now
            self._report(view, state, rejected, now)
            repeat_at = now + REPEATED_AFTER_S
            self.peers.call_later(
                REPEATED_AFTER_S, lambda: self._repeat_report(view, now, repeat_at)
            )

    def _repeat_report(self, view: EngineView, first_at: float, now: float) -> None:
        """Report the end of a request again, as the first report may have been lost."""
        state = self._states.get(view.number)
        if state is not None and state.reported_at == first_at:
            self._report(view, state, False, now)

    # What answers and peers say

    def record_answer(self, service: str, now: float) -> None:
        """Record an answer that says that the engines of a service are brittle."""
        was_brittle = self.services.is_brittle(service, now)
        if self.services.record_answer(service, now):
            self.peers.send("", BrittleReport(service))
        if not was_brittle:
            self.peers.brittle_changed(service, True, "answer")

    def receive(self, node: str, message: SlotMessage, now: float) -> None:
        """Handle a message of another node."""
        if isinstance(message, BrittleReport):
            if self.services.record_report(message.service, now):
                self.peers.brittle_changed(message.service, True, "peer")
        elif isinstance(message, SlotResponse):
            self._apply_grant(message, now)
        else:
            self._issue(node, message, now)

    def refresh(self, views: Iterable[EngineView], now: float) -> None:
        """Report what this node has at brittle engines, and forget what is not used any more."""
        for service in self.services.expire(now):
            self.peers.brittle_changed(service, False, "no answer")
        for view in views:
            state = self._states.get(view.number)
            if state is None or not self.needs_slot(view, now):
                continue
            is_due = now - state.reported_at >= REPORT_INTERVAL_S
            # The report of the last request's end may have been lost.
            is_recent = now - state.ended_at < REPEATED_REPORTS * REPORT_INTERVAL_S
            if is_due and (self._held(view, state) or is_recent):
                self._report(view, state, False, now)
        self._states = {n: s for n, s in self._states.items() if now - s.used_at < IDLE_S}
        self._issuers = {n: row for n, row in self._issuers.items() if now - row[1] < IDLE_S}

    def _held(self, view: EngineView, state: _EngineState) -> int:
        """Return how many requests and unused permits this node has for an engine."""
        return view.own_load.requests + len(state.unused)

    def _report(self, view: EngineView, state: _EngineState, rejected: bool, now: float) -> None:
        state.reported_at, state.reported_serial = now, state.received_serial
        report = SlotReport(
            view.number, self._held(view, state), state.received_serial, now, rejected
        )
        self._deliver(self.peers.issuer(view.identity), report, now)

    def _deliver(self, node: str, message: SlotRequest | SlotReport, now: float) -> None:
        if node == self.peers.node_id:
            self._issue(node, message, now)
        else:
            self.peers.send(node, message)

    def _apply_grant(self, message: SlotResponse, now: float) -> None:
        state = self._states.get(message.engine)
        if state is None or message.serial <= state.reported_serial:
            return
        state.received_serial = max(state.received_serial, message.serial)
        user = state.users.pop(message.number, None)
        state.unused[message.number] = SlotPermit(user or "")
        self.peers.permits_changed()
        until = now + UNUSED_PERMIT_S
        self.peers.call_later(
            UNUSED_PERMIT_S, lambda: self._return_unused(message.engine, message.number, until)
        )

    def _return_unused(self, engine: int, number: int, now: float) -> None:
        """Return a permit whose request has left."""
        state, view = self._states.get(engine), self._by_number(engine)
        if state is None or view is None or number not in state.unused:
            return
        del state.unused[number]
        self._report(view, state, False, now)

    # Permits that this node issues

    def _issue(self, node: str, message: SlotRequest | SlotReport, now: float) -> None:
        view = self._by_number(message.engine)
        if view is None or view.record.slots <= 0:
            return
        issuer, _ = self._issuers.get(message.engine) or (SlotIssuer(view.record.slots, now), now)
        self._issuers[message.engine] = issuer, now
        count = NodeCount(node, message.held, message.received_serial, message.sent_at)
        if isinstance(message, SlotRequest):
            issuer.request(count, message.number, message.urgency, message.patience_s, now)
        else:
            issuer.report(count, message.rejected, now)
        for grant in issuer.grants(view.requests, now):
            response = SlotResponse(message.engine, grant.number, grant.serial)
            if grant.node == self.peers.node_id:
                self._apply_grant(response, now)
            else:
                self.peers.send(grant.node, response)
