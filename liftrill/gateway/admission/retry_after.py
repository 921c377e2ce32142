"""When refused callers are to come back, and which of those that come were told to, sans-IO."""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill.gateway.admission.request_queue import RetryStatus
from liftrill.gateway.fading_rate import FadingRate
from liftrill.gateway.opaque_request import OpaqueRequest

# When a refused caller is to come back; what is missing is mostly there by then.
RETRY_AFTER_TARGET_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
# Over what time it is averaged how many requests are sent: long enough for a few at a small
# node, and short beside the seconds that callers wait.
SENT_AVERAGE_S = 2.0
# How many refused requests are remembered: 0.2 MB at the most (200 bytes each). They are known
# by their fingerprints, since a request that is sent again has another id.
MAX_REFUSED_REQUESTS = 1_024
# Larger ones are new whenever they come: hashing 16 KB takes some 20 microseconds (guess).
MAX_BODY_BYTES = 16 * 1024
# For how long after its time a caller still counts as coming back: two connections' time.
RETRY_WINDOW_S = 2.0
# Callers round what they are told, and their clocks run a little fast.
EARLY_TOLERANCE_SHARE = 0.1

# Callers that are told a time later than they wait are spread over a third of it, so that those
# who do come then don't come together.
LATE_SPREAD_FACTOR = 4.0 / 3.0


@dataclass(slots=True)
class RetrySchedule:
    """When the refused callers of one service are to come back: one after the other.

    Each has a place behind those that were refused before it, as long as this node took lately
    to send a request to an engine.
    """

    _sent: FadingRate = field(default_factory=lambda: FadingRate(SENT_AVERAGE_S))
    _last_slot_end: float = 0.0

    def note_sent(self, now: float) -> None:
        """Note that a request was sent to an engine."""
        self._sent.record(1.0, now)

    def next_retry_s(self, capacity_wait_s: float, patience_s: float, now: float) -> float:
        """Return a time: not before there is room, and within patience where that can be.

        Who would have a place later than it waits has none, and comes late in its patience.
        """
        latest_s = (
            patience_s if capacity_wait_s < patience_s else LATE_SPREAD_FACTOR * capacity_wait_s
        )
        sent_per_s = self._sent.per_s(now) or 0.0
        slot_at = max(self._last_slot_end, now + capacity_wait_s)
        slot_s = 1.0 / sent_per_s if sent_per_s else latest_s
        if slot_at + slot_s > now + latest_s:
            return random.uniform(max(capacity_wait_s, latest_s / 2), latest_s)
        self._last_slot_end = slot_at + slot_s
        return slot_at - now + random.uniform(0.0, slot_s)


@dataclass(slots=True)
class RefusedRequests:
    """The requests that were refused for want of room lately, and when they are to come back."""

    _due: OrderedDict[bytes, tuple[float, float]] = field(default_factory=OrderedDict)

    def record_refusal(self, request: OpaqueRequest, wait_s: float, now: float) -> None:
        """Note when a refused caller is to come back; who came early keeps its first time."""
        if len(request.body) > MAX_BODY_BYTES:
            return
        known = self._due.pop(request.fingerprint, None)
        due = now + wait_s
        if known is not None and now < known[0] - EARLY_TOLERANCE_SHARE * known[1]:
            due, wait_s = known
        self._due[request.fingerprint] = (due, wait_s)
        if len(self._due) > MAX_REFUSED_REQUESTS:
            self._due.popitem(last=False)

    def retry_status(self, request: OpaqueRequest, now: float) -> RetryStatus:
        """Return whether a caller is new, or came back when it was told to, or earlier."""
        # Nothing is hashed while nobody was refused.
        if not self._due or len(request.body) > MAX_BODY_BYTES:
            return RetryStatus.NEW
        due, wait_s = self._due.get(request.fingerprint, (0.0, 0.0))
        if not due or now > due + RETRY_WINDOW_S:
            self._forget_old(now)
            return RetryStatus.NEW
        if now < due - EARLY_TOLERANCE_SHARE * wait_s:
            return RetryStatus.CAME_EARLY
        # It goes first once: who asks the same on and on does not.
        del self._due[request.fingerprint]
        return RetryStatus.CAME_BACK

    def _forget_old(self, now: float) -> None:
        while self._due and now > next(iter(self._due.values()))[0] + RETRY_WINDOW_S:
            self._due.popitem(last=False)


@dataclass(slots=True)
class RetryAfterPolicy:
    """When the refused callers of a node are to come back.

    Attributes:
        capacity_wait_s: in how long a request is sent to an engine again, if nothing more comes.
        queue_wait_s: how long it takes until those that wait before it have places.
        returning: those that were told to.
    """

    capacity_wait_s: Callable[[OpaqueRequest], float]
    queue_wait_s: Callable[[OpaqueRequest, float], float]
    refused_requests: RefusedRequests = field(default_factory=RefusedRequests)
    _schedules: dict[str, RetrySchedule] = field(default_factory=dict)
    _full_services: set[str] = field(default_factory=set)

    def note_choice(self, service: str, is_full: bool) -> None:
        """Note whether the engines of a service had room for the last request."""
        if is_full:
            self._full_services.add(service)
        else:
            self._full_services.discard(service)

    def note_sent(self, service: str, now: float) -> None:
        """Note that a request was sent to an engine."""
        self._schedule(service).note_sent(now)

    def retry_after_s(self, request: OpaqueRequest, now: float) -> float:
        """Return when a refused caller should come back."""
        share_s = RETRY_AFTER_TARGET_SHARE * request.route.target_seconds
        wait_s = min(max(share_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        if request.service not in self._full_services:
            return wait_s
        patience_s = request.patience_s(now)
        capacity_wait_s = self.capacity_wait_s(request) + self.queue_wait_s(request, now)
        wait_s = self._schedule(request.service).next_retry_s(
            max(wait_s, capacity_wait_s), patience_s, now
        )
        self.refused_requests.record_refusal(request, wait_s, now)
        return wait_s

    def _schedule(self, service: str) -> RetrySchedule:
        return self._schedules.setdefault(service, RetrySchedule())
