"""Chooses the retry times of refused requests and recognizes retries; performs no I/O."""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill.gateway.admission.request_queue import RetryStatus
from liftrill.gateway.decaying_rate import DecayingRate
from liftrill.gateway.opaque_request import OpaqueRequest

# Retry time as a share of the request's target; by then, missing capacity is mostly available.
RETRY_AFTER_TARGET_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
# Averaging time of the send rate: long enough for a few requests at a small node, and short
# compared with the seconds that callers wait.
SENT_AVERAGE_S = 2.0
# Upper bound of the remembered requests; 200 bytes each, 0.2 MB in all. They are identified by
# fingerprint, since a retried request has a new id.
MAX_REFUSED_REQUESTS = 1_024
# Larger bodies are not recognized as retries: hashing 16 KB takes about 20 microseconds.
MAX_BODY_BYTES = 16 * 1024
# How late a request still counts as a retry: the time of two connection attempts.
RETRY_WINDOW_S = 2.0
# Retries may be early by this share: callers round the time, and their clocks may run fast.
EARLY_TOLERANCE_SHARE = 0.1

# Retry times beyond the caller's patience are spread over another third of the wait, so that
# callers who do retry do not retry together.
LATE_SPREAD_FACTOR = 4.0 / 3.0


@dataclass(slots=True)
class RetrySchedule:
    """Retry times of the refused requests of one service, one after the other.

    Each refused request gets a slot after those refused before it. The length of a slot is the
    recent time between two requests that this node sent to engines.
    """

    _sent: DecayingRate = field(default_factory=lambda: DecayingRate(SENT_AVERAGE_S))
    _last_slot_end: float = 0.0

    def note_sent(self, now: float) -> None:
        """Record that a request was sent to an engine."""
        self._sent.record(1.0, now)

    def next_retry_s(self, capacity_wait_s: float, patience_s: float, now: float) -> float:
        """Return a retry time after capacity is expected and, if possible, within patience.

        A caller whose slot would end after its patience gets no slot, but a random late time.
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
    """Requests recently refused for lack of capacity, and their retry times."""

    _due: OrderedDict[bytes, tuple[float, float]] = field(default_factory=OrderedDict)

    def record_refusal(self, request: OpaqueRequest, wait_s: float, now: float) -> None:
        """Record the retry time of a refused request; an early retry keeps its first time."""
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
        """Return whether a request is new, a retry at its time, or an early retry."""
        # Nothing is hashed while no request is remembered.
        if not self._due or len(request.body) > MAX_BODY_BYTES:
            return RetryStatus.NEW
        due, wait_s = self._due.get(request.fingerprint, (0.0, 0.0))
        if not due or now > due + RETRY_WINDOW_S:
            self._forget_old(now)
            return RetryStatus.NEW
        if now < due - EARLY_TOLERANCE_SHARE * wait_s:
            return RetryStatus.CAME_EARLY
        # Only the first retry takes precedence; further copies of the request do not.
        del self._due[request.fingerprint]
        return RetryStatus.CAME_BACK

    def _forget_old(self, now: float) -> None:
        while self._due and now > next(iter(self._due.values()))[0] + RETRY_WINDOW_S:
            self._due.popitem(last=False)


@dataclass(slots=True)
class RetryAfterPolicy:
    """Retry times of the refused requests of a node.

    Attributes:
        capacity_wait_s: returns the time until an engine takes requests again.
        queue_wait_s: returns the time until all requests ahead of a request are dispatched.
        refused_requests: refused requests with a retry time.
    """

    capacity_wait_s: Callable[[OpaqueRequest], float]
    queue_wait_s: Callable[[OpaqueRequest, float], float]
    refused_requests: RefusedRequests = field(default_factory=RefusedRequests)
    _schedules: dict[str, RetrySchedule] = field(default_factory=dict)
    _full_services: set[str] = field(default_factory=set)

    def note_choice(self, service: str, is_full: bool) -> None:
        """Record whether the engines of a service lacked capacity for the last request."""
        if is_full:
            self._full_services.add(service)
        else:
            self._full_services.discard(service)

    def note_sent(self, service: str, now: float) -> None:
        """Record that a request was sent to an engine."""
        self._schedule(service).note_sent(now)

    def retry_after_s(self, request: OpaqueRequest, now: float) -> float:
        """Return the time after which a refused caller should retry."""
        share_s = RETRY_AFTER_TARGET_SHARE * request.route.target_seconds
        wait_s = min(max(share_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        if request.service not in self._full_services:
            return wait_s
        patience_s = request.max_retry_wait_s(now)
        capacity_wait_s = self.capacity_wait_s(request) + self.queue_wait_s(request, now)
        wait_s = self._schedule(request.service).next_retry_s(
            max(wait_s, capacity_wait_s), patience_s, now
        )
        self.refused_requests.record_refusal(request, wait_s, now)
        return wait_s

    def _schedule(self, service: str) -> RetrySchedule:
        return self._schedules.setdefault(service, RetrySchedule())
