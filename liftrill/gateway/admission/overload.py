"""Bounds what waits at engines, so that what is sent there is answered in time.

A short burst is queued: it is answered late, but answered. A queue that stands is not:
once the shortest one has been long for a while, requests are only sent where they are
answered in time, and the others are told to come back. That ends when engines have been
nearly idle for a while.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.opaque_request import OpaqueRequest

# What share of the waiting tokens is urgent follows from the last fifty requests or so.
SENT_WEIGHT = 0.02
# A tenth of what waits is taken to delay the most urgent at least: the prompt being read does.
LEAST_URGENT_SHARE = 0.1
# A queue counts as gone below this share of the wait that is still in time.
RELIEVED_SHARE = 0.5
# How much longer the most urgent may wait by this count: engines take them in before the others
# that wait, so they wait for only a part of it (guess).
URGENT_WAIT_FACTOR = 1.6


@dataclass(slots=True)
class StandingQueue:
    """Whether the shortest queue of a service has been long for a while.

    Attributes:
        standing_s: for how long it must be long to count as standing.
        relieved_s: for how long it must be gone to count as relieved.
    """

    standing_s: float = constants.STANDING_QUEUE_ENTER_S
    relieved_s: float = constants.STANDING_QUEUE_EXIT_S
    stands: bool = False
    _since: float | None = None

    def note(self, least_wait_s: float, good_wait_s: float, now: float) -> None:
        """Take in the shortest wait, beside the longest one that is still in time."""
        if self.stands:
            turning = least_wait_s < RELIEVED_SHARE * good_wait_s
            after_s = self.relieved_s
        else:
            turning = least_wait_s > good_wait_s
            after_s = self.standing_s
        if not turning:
            self._since = None
            return
        if self._since is None:
            self._since = now
        if now - self._since >= after_s:
            self.stands = not self.stands
            self._since = None


@dataclass(frozen=True, slots=True)
class OverloadTurn:
    """A service that enters or leaves overload, and by what.

    Attributes:
        least_wait_s: the shortest wait at its engines, by what this node knows.
        good_wait_s: the longest wait that was still in time for the request that showed it.
    """

    service: str
    overloaded: bool
    least_wait_s: float
    good_wait_s: float


def _tell_nobody(turn: OverloadTurn) -> None:
    """Leave a turn untold."""


@dataclass(slots=True)
class OverloadGuard:
    """Decides which waits at an engine a request may be sent into.

    Attributes:
        good_share: share of a request's target that it may wait and still be in time.
        urgent_factor: how much longer the most urgent requests may wait by this count:
            engines take them in before the others that wait.
        longest_wait_s: what nothing waits for, not even in a short burst: callers leave.
        longest_targets: the same in targets of a request.
        turned: whom to tell when a service enters or leaves overload.
    """

    good_share: float = constants.TIMELY_WAIT_TARGET_SHARE
    urgent_factor: float = URGENT_WAIT_FACTOR
    longest_wait_s: float = constants.LONGEST_ENGINE_WAIT_S
    longest_targets: float = constants.LONGEST_ENGINE_WAIT_TARGETS
    turned: Callable[[OverloadTurn], None] = _tell_nobody
    _queues: dict[str, StandingQueue] = field(default_factory=dict)
    _least_urgent: dict[str, int] = field(default_factory=dict)
    # By service and urgency: the tokens of the requests that were sent lately.
    _sent_tokens: dict[str, dict[int, float]] = field(default_factory=dict)
    # By service and urgency: the target of the newest request.
    _targets_s: dict[str, dict[int, float]] = field(default_factory=dict)
    _least_waits_s: dict[str, float] = field(default_factory=dict)

    def room_in_s(self, request: OpaqueRequest) -> float:
        """Return in how long what waits at the least busy engine now is read.

        Callers that arrive meanwhile take the room that comes free sooner: who comes back for
        it finds the queue as long as before. Served of a burst of 3 times what engines read for
        0.4 s, mean of six seeds in virtual time: 0.972 to 0.978 (target 0.25 s: 0.955 to 0.961;
        0.4 s: 0.974 to 0.981; 0.6 s: 0.985 to 0.990).
        """
        return self._least_waits_s.get(request.service, 0.0)

    def is_more_urgent(self, request: OpaqueRequest) -> bool:
        """Return whether a request is more urgent than others that the service has had."""
        least = max(self._least_urgent.get(request.service, 0), request.priority)
        self._least_urgent[request.service] = least
        return request.priority < least

    def stands(self, service: str) -> bool:
        """Return whether the shortest queue of a service has been long for a while."""
        queue = self._queues.get(service)
        return queue is not None and queue.stands

    def longest_wait(self, request: OpaqueRequest, least_wait_s: float, now: float) -> float:
        """Return the longest wait that a request may be sent into, in seconds."""
        target_s = self._bounding_target_s(request)
        good_s = self.good_share * target_s
        queue = self._queues.setdefault(request.service, StandingQueue())
        stood = queue.stands
        queue.note(least_wait_s, good_s, now)
        self._least_waits_s[request.service] = least_wait_s
        if queue.stands != stood:
            self.turned(OverloadTurn(request.service, queue.stands, least_wait_s, good_s))
        if not queue.stands:
            return min(self.longest_wait_s, self.longest_targets * target_s)
        longest_s = max(good_s * self._urgency(request), self._overtaking_wait_s(request))
        # What it has waited already is gone from its target.
        return max(0.0, longest_s - (now - request.received_at))

    def _bounding_target_s(self, request: OpaqueRequest) -> float:
        """Return the target that bounds a request's wait: its own, or a less urgent one's.

        Engines take it in before the less urgent that wait, so a wait that these are sent into
        must not keep it out, however tight its own target is.
        """
        targets_s = self._targets_s.setdefault(request.service, {})
        targets_s[request.priority] = request.route.target_seconds
        return max(s for priority, s in targets_s.items() if priority >= request.priority)

    def note_sent(self, request: OpaqueRequest, tokens: int) -> None:
        """Note the tokens that an engine is to read for a request."""
        sent = self._sent_tokens.setdefault(request.service, {})
        for priority in sent:
            sent[priority] *= 1.0 - SENT_WEIGHT
        sent[request.priority] = sent.get(request.priority, 0.0) + SENT_WEIGHT * tokens

    def _overtaking_wait_s(self, request: OpaqueRequest) -> float:
        """Return the wait in which only so much is as urgent as a request can bear, or 0."""
        sent = self._sent_tokens.get(request.service, {})
        total = sum(sent.values())
        if not total or not self.is_more_urgent(request):
            return 0.0
        urgent = sum(tokens for priority, tokens in sent.items() if priority <= request.priority)
        share = max(LEAST_URGENT_SHARE, urgent / total)
        good_s = self.good_share * request.route.target_seconds
        return min(self.longest_wait_s, good_s / share)

    def _urgency(self, request: OpaqueRequest) -> float:
        return self.urgent_factor if self.is_more_urgent(request) else 1.0
