"""Permits to use a resource at a rate limit that all nodes enforce together, sans-IO.

One node issues the permits for a resource, one per use, spaced by the rate. A permit is valid
for a short time on the clock of the node that requested it. So a late permit, or one whose holder
froze, allows nothing, and a lost permit costs the other nodes a single use.
docs/design/engine-limits.md describes what happens while nodes disagree on the issuer.

The responses of a resource report its rate limit. While they do, permits are issued at that rate.
Each response without the limit multiplies the rate, and after a few of them in a row the limit
ends. So a recovering resource does not get all waiting requests at once, and one that reports its
limit in only some responses still gets requests at that limit.
"""

import math
import random
from collections.abc import Hashable
from dataclasses import dataclass, field

# How far permits may be issued ahead of the rate, since uses are not evenly spaced.
BURST_S = 0.25
# How long a permit is valid. Late uses by all holders together are at most what the rate allows in
# this time.
PERMIT_LIFETIME_S = 0.5
# A node that gets no decision within the timeout requests no permit until the backoff, which is
# counted from the request, is over.
DECISION_TIMEOUT_S = 0.1
UNDECIDED_BACKOFF_S = 0.25
# The minimum backoff of a refused node.
MIN_BACKOFF_S = 0.02
# The maximum backoff, since the rate may rise meanwhile.
MAX_BACKOFF_S = 4.0
# The minimum rate of permits: a resource with a limit of or near 0 still gets occasional requests,
# since only their responses can report that the limit has changed.
MIN_RATE_PER_S = 0.25
# The factor by which each response without the limit multiplies the rate, and the number of them
# in a row that ends the limit: a resource at the minimum rate is in full use after 4 + 1 + 0.25 s.
RECOVERY_FACTOR = 4.0
RESPONSES_TO_END = 3
# The backoff of a node whose request went to a node that is not the issuer.
NOT_ISSUER_BACKOFF_S = 0.25
RUN_LIMIT = 1 << 62


@dataclass(frozen=True, slots=True)
class Permit:
    """Allows one use of a resource.

    Attributes:
        issuer: the node that issued the permit.
        run: identifies the run of the issuer's process.
        issued_at: the time of issue, on the issuer's clock.
        usable_from: the start of validity, on the holder's clock.
        usable_until: the end of validity, on the holder's clock.
    """

    issuer: str
    run: int
    issued_at: float
    usable_from: float
    usable_until: float


@dataclass(frozen=True, slots=True)
class PermitSlot:
    """The outcome of reserving a permit.

    Attributes:
        wait_s: seconds until the permit is usable; for a refusal, until one may be available.
    """

    granted: bool
    wait_s: float


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """The issuer's decision on a request.

    Attributes:
        number: the number of the node's request.
        wait_s: seconds until the permit is usable; for a refusal, until one may be available.
        run: identifies the run of the issuer's process.
        issued_at: the time of the decision, on the issuer's clock.
    """

    number: int
    granted: bool
    wait_s: float
    run: int
    issued_at: float


@dataclass(slots=True)
class RatePacer:
    """Spaces permits by a rate with the generic cell rate algorithm (ITU-T I.371).

    A new pacer has no burst available, since another node may have issued permits just before.

    Attributes:
        rate_per_s: permits per second, above 0.
    """

    rate_per_s: float
    _due_at: float

    @classmethod
    def start(cls, rate_per_s: float, now: float) -> "RatePacer":
        """Return a pacer whose first permit is due after one interval of the rate."""
        return cls(rate_per_s, now + 1.0 / rate_per_s)

    def change_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; the number of permits issued ahead stays the same."""
        ahead_s = max(0.0, self._due_at - now)
        self._due_at = now + ahead_s * self.rate_per_s / rate_per_s
        self.rate_per_s = rate_per_s

    def reserve(self, max_wait_s: float, now: float) -> PermitSlot:
        """Issue the next permit if it is usable within the maximum wait."""
        wait_s = max(0.0, self._due_at - BURST_S - now)
        if wait_s > max_wait_s:
            return PermitSlot(False, wait_s)
        self._due_at = max(self._due_at, now) + 1.0 / self.rate_per_s
        return PermitSlot(True, wait_s)


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    number: int
    user: str
    requested_at: float


@dataclass(slots=True)
class PermitHolder:
    """One node's permits for a resource, and its pending request for the next one.

    At most one request is pending. Its user waits for the decision; other users get no permit
    meanwhile.

    Attributes:
        backoff_until: the time before which no permit is requested.
    """

    backoff_until: float = -math.inf
    _permits: list[tuple[Permit, str]] = field(default_factory=list)
    _pending: _PendingRequest | None = None

    @property
    def user(self) -> str:
        """The user of the pending request, or an empty string if there is none."""
        return self._pending.user if self._pending is not None else ""

    def claim(self, user: str, now: float) -> Permit | None:
        """Take a permit that is usable now, preferably one that was requested for this user."""
        self._drop_expired(now)
        usable = [row for row in self._permits if row[0].usable_from <= now]
        if not usable:
            return None
        chosen = min(usable, key=lambda row: (row[1] != user, row[0].usable_until))
        self._permits.remove(chosen)
        return chosen[0]

    def has_permit(self, now: float) -> bool:
        """Return whether a permit is usable now."""
        self._drop_expired(now)
        return any(permit.usable_from <= now for permit, _ in self._permits)

    def is_pending(self, user: str, now: float) -> bool:
        """Return whether a permit for a user is requested, or issued and not used yet."""
        if self._undecided_request(now) is not None and self._is_requested(user):
            return True
        self._drop_expired(now)
        return any(owner == user for _, owner in self._permits)

    def wait_s(self, now: float) -> float:
        """Return the seconds until a permit may be requested, or 0."""
        wait_s = max(0.0, self.backoff_until - now)
        request = self._undecided_request(now)
        if request is None:
            return wait_s
        return max(wait_s, request.requested_at + DECISION_TIMEOUT_S - now)

    def ask(self, number: int, user: str, now: float) -> None:
        """Record a request for a permit."""
        self._pending = _PendingRequest(number, user, now)

    def decided(self, decision: PermitDecision, issuer: str, now: float) -> bool:
        """Apply the issuer's decision; return whether its request was pending."""
        request = self._pending
        if request is None or request.number != decision.number:
            return False
        self._pending = None
        if decision.granted:
            # Validity starts at the request, so that network delay shortens it.
            usable_from = request.requested_at + decision.wait_s
            usable_until = usable_from + PERMIT_LIFETIME_S
            permit = Permit(issuer, decision.run, decision.issued_at, usable_from, usable_until)
            self._permits.append((permit, request.user))
        else:
            backoff_s = min(max(decision.wait_s, MIN_BACKOFF_S), MAX_BACKOFF_S)
            self.backoff_until = now + backoff_s
        return True

    def _undecided_request(self, now: float) -> _PendingRequest | None:
        """Return the pending request, or back off and return None if it timed out."""
        request = self._pending
        if request is not None and now - request.requested_at >= DECISION_TIMEOUT_S:
            self.backoff_until = max(self.backoff_until, request.requested_at + UNDECIDED_BACKOFF_S)
            return None
        return request

    def _is_requested(self, user: str) -> bool:
        return self._pending is not None and self._pending.user == user

    def _drop_expired(self, now: float) -> None:
        self._permits = [row for row in self._permits if now <= row[0].usable_until]


@dataclass(slots=True)
class _IssuerState:
    """The issuer's state for one resource.

    Attributes:
        unlimited_responses: the number of successive responses without the limit.
        limited_at: when a response last reported the limit, on this node's clock.
    """

    pacer: RatePacer
    unlimited_responses: int
    limited_at: float


class PermitIssuer:
    """Issues the permits of all resources for which this node is the issuer."""

    def __init__(self) -> None:
        self._run = random.randrange(1, RUN_LIMIT)
        self._states: dict[Hashable, _IssuerState] = {}

    def decide(
        self,
        resource: Hashable,
        limit_per_s: float | None,
        share: float,
        number: int,
        max_wait_s: float,
        now: float,
    ) -> PermitDecision:
        """Decide on a request; `limit_per_s` is None if the resource no longer has a limit."""
        if limit_per_s is None:
            slot = PermitSlot(True, 0.0)
        elif share <= 0.0:
            slot = PermitSlot(False, NOT_ISSUER_BACKOFF_S)
        else:
            slot = self._reserve(resource, limit_per_s, share, max_wait_s, now)
        return PermitDecision(number, slot.granted, slot.wait_s, self._run, now)

    def record_receipt(
        self, resource: Hashable, run: int, issued_at: float, has_limit: bool, now: float
    ) -> bool:
        """Record the response to a request with a permit; return whether the limit ends.

        A response without the limit counts only if its permit was issued after the limit was last
        reported, since a late response says nothing about the current state.
        """
        state = self._states.get(resource)
        if state is None:
            return False
        if has_limit:
            state.unlimited_responses = 0
            state.limited_at = now
        elif run == self._run and issued_at > state.limited_at:
            state.unlimited_responses += 1
        return state.unlimited_responses >= RESPONSES_TO_END

    def stop(self, resource: Hashable) -> None:
        """Remove the state for a resource."""
        self._states.pop(resource, None)

    def _reserve(
        self, resource: Hashable, limit_per_s: float, share: float, max_wait_s: float, now: float
    ) -> PermitSlot:
        state = self._states.get(resource)
        unlimited_responses = state.unlimited_responses if state is not None else 0
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S) * share * RECOVERY_FACTOR**unlimited_responses
        if state is None:
            state = _IssuerState(RatePacer.start(rate_per_s, now), 0, now)
            self._states[resource] = state
        elif state.pacer.rate_per_s != rate_per_s:
            state.pacer.change_rate(rate_per_s, now)
        return state.pacer.reserve(max_wait_s, now)
