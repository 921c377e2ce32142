"""Permits to occupy a slot of a resource that all nodes share, sans-IO.

One node issues the permits for a resource and counts how many requests each node has there. Nodes
report their own number whenever it falls, with each request for a permit, and periodically. So a
lost message is corrected by the next one, and the requests of a node that ended are forgotten.
"""

import math
from dataclasses import dataclass, field

# A node reports this often while it has requests at the resource.
REPORT_INTERVAL_S = 0.3
# A node that has not reported for this long has nothing there any more.
NODE_LIFETIME_S = 1.5
# A permit whose holder does not report it by then has not arrived.
UNSEEN_PERMIT_LIFETIME_S = 0.5
# A new issuer knows the requests of the other nodes only by their load reports for this long.
LEARNING_S = 1.0
# A request that waits no longer than this would have left before its permit arrives.
GRANT_TRAVEL_S = 0.01
# After a rejection, the slots in use are raised again by one in each of these intervals.
RECOVERY_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class NodeCount:
    """What a node reports of itself with each message.

    Attributes:
        held: its requests at the resource, and its permits that are not used yet.
        received_serial: the highest serial of a grant that it received, or 0.
        sent_at: on the node's clock; a message that arrives after a later one counts nothing.
    """

    node: str
    held: int
    received_serial: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """A permit for a node, in response to the request with this number.

    Attributes:
        serial: increases with each grant to the node.
    """

    node: str
    number: int
    serial: int


@dataclass(slots=True)
class _Holding:
    """The requests of one node at the resource.

    Attributes:
        unseen: serial and time of the grants that the node has not reported yet.
    """

    held: int = 0
    reported_at: float = 0.0
    sent_at: float = -math.inf
    last_serial: int = 0
    unseen: list[tuple[int, float]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Waiting:
    node: str
    number: int
    urgency: int
    until: float


@dataclass(slots=True)
class SlotIssuer:
    """Issues the permits for the slots of one resource.

    Attributes:
        slots: how many requests it processes at a time.
    """

    slots: int
    started_at: float
    _holdings: dict[str, _Holding] = field(default_factory=dict)
    _waiting: list[_Waiting] = field(default_factory=list)
    _usable_slots: int | None = None
    _changed_at: float = 0.0

    def request(
        self, count: NodeCount, number: int, urgency: int, patience_s: float, now: float
    ) -> None:
        """Queue a node's request for a permit, for as long as it waits."""
        self._record(count, now)
        until = now + patience_s - GRANT_TRAVEL_S
        self._waiting.append(_Waiting(count.node, number, urgency, until))

    def report(self, count: NodeCount, rejected: bool, now: float) -> None:
        """Process a report, which says whether the resource had no room for a request."""
        self._record(count, now)
        if rejected:
            self._usable_slots = max(1, self._current_slots(now) - 1)
            self._changed_at = now

    def grants(self, known_load: int, now: float) -> list[SlotGrant]:
        """Return the permits to issue now, to the most urgent waiting requests first.

        `known_load` counts the requests of all nodes at the resource by their load reports.
        """
        self._expire(now)
        in_use = sum(h.held + len(h.unseen) for h in self._holdings.values())
        if now - self.started_at < LEARNING_S:
            in_use = max(in_use, known_load)
        free = self._current_slots(now) - in_use
        served = sorted(self._waiting, key=lambda each: each.urgency)[: max(0, free)]
        return [self._grant(waiting, now) for waiting in served]

    def _grant(self, waiting: _Waiting, now: float) -> SlotGrant:
        self._waiting.remove(waiting)
        holding = self._holdings[waiting.node]
        holding.last_serial += 1
        holding.unseen.append((holding.last_serial, now))
        return SlotGrant(waiting.node, waiting.number, holding.last_serial)

    def _record(self, count: NodeCount, now: float) -> None:
        holding = self._holdings.get(count.node)
        if holding is None:
            # Serials go on after those of an earlier issuer.
            holding = self._holdings[count.node] = _Holding(last_serial=count.received_serial)
        if count.sent_at < holding.sent_at:
            return
        holding.held, holding.reported_at, holding.sent_at = count.held, now, count.sent_at
        holding.unseen = [row for row in holding.unseen if row[0] > count.received_serial]

    def _current_slots(self, now: float) -> int:
        """Return how many slots may be used, which rises again after a rejection."""
        if self._usable_slots is None:
            return self.slots
        raised = self._usable_slots + int((now - self._changed_at) / RECOVERY_INTERVAL_S)
        return min(self.slots, raised)

    def _expire(self, now: float) -> None:
        self._waiting = [waiting for waiting in self._waiting if now < waiting.until]
        waiting_nodes = {waiting.node for waiting in self._waiting}
        for node, holding in list(self._holdings.items()):
            oldest = now - UNSEEN_PERMIT_LIFETIME_S
            holding.unseen = [row for row in holding.unseen if row[1] > oldest]
            if now - holding.reported_at >= NODE_LIFETIME_S and node not in waiting_nodes:
                del self._holdings[node]
