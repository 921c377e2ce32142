"""Permits for the use of a resource at a rate that all nodes keep together, sans-IO.

One node issues the permits of a resource, one for each use, spaced by the rate. A permit is
good for a short while on the clock of the node that asked for it, so that one which comes late,
or whose holder froze, allows nothing, and one that is lost costs the others a single use. See
docs/design/engine-limits.md for what happens while nodes disagree on who issues.

A resource names its rate as it is used. While answers name it, permits come at that rate. Each
answer that does not name it multiplies the rate, and after a few in a row the limit is over: a
resource that recovers is not met by everything that waited, and one that names its limit in some
of its answers only is taken at its number.
"""

import math
import random
from collections.abc import Hashable
from dataclasses import dataclass, field

# How far permits may run ahead of the rate: uses do not come evenly spaced.
BURST_S = 0.25
# For how long a permit may be used: what all holders use late is at most what the rate gives in
# this time.
PERMIT_LIFETIME_S = 0.5
# A node that gets no decision within this time does without the resource for a while.
DECISION_TIMEOUT_S = 0.1
UNDECIDED_BACKOFF_S = 0.25
# The least time before a refused node asks again.
SHORTEST_BACKOFF_S = 0.02
# The longest: the rate may rise meanwhile.
LONGEST_BACKOFF_S = 4.0
# Permits are issued at this rate at least: one that takes nothing, or next to nothing, is
# asked now and then whether that still holds, since no answer would tell it otherwise.
LEAST_RATE_PER_S = 0.25
# By what each answer without the limit multiplies the rate, and after how many the limit ends: a
# resource with the least rate is in full use again after 4 + 1 + 0.25 s.
RATE_FACTOR = 4.0
ANSWERS_TO_END = 3
# When a node asks again that took another one for the issuer than that one does itself.
NOT_ISSUER_BACKOFF_S = 0.25
RUNS = 1 << 62


@dataclass(frozen=True, slots=True)
class Permit:
    """Allows one use of a resource.

    Attributes:
        issuer: the node that issued it.
        run: which run of the issuer's process that was.
        issued_at: on the issuer's clock.
        usable_from: on the holder's clock, as `usable_until` is.
    """

    issuer: str
    run: int
    issued_at: float
    usable_from: float
    usable_until: float


@dataclass(frozen=True, slots=True)
class PermitSlot:
    """Whether a permit is issued.

    Attributes:
        wait_s: until it may be used; of a refusal, until there may be one.
    """

    granted: bool
    wait_s: float


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """What an issuer decides on a request.

    Attributes:
        number: of the node's request.
        wait_s: until the permit may be used; of a refusal, until there may be one.
        run: which run of the issuer's process decides.
        issued_at: on the issuer's clock.
    """

    number: int
    granted: bool
    wait_s: float
    run: int
    issued_at: float


@dataclass(slots=True)
class RatePacer:
    """Spaces permits by a rate: the generic cell rate algorithm (ITU-T I.371).

    It begins without any in hand: another node may have issued some just before.

    Attributes:
        rate_per_s: permits a second; above 0.
    """

    rate_per_s: float
    _due_at: float

    @classmethod
    def start(cls, rate_per_s: float, now: float) -> "RatePacer":
        """Return a pacer whose first permit is due after the time that one takes."""
        return cls(rate_per_s, now + 1.0 / rate_per_s)

    def change_rate(self, rate_per_s: float, now: float) -> None:
        """Space by another rate; what was issued ahead counts as many permits as before."""
        ahead_s = max(0.0, self._due_at - now)
        self._due_at = now + ahead_s * self.rate_per_s / rate_per_s
        self.rate_per_s = rate_per_s

    def reserve(self, patience_s: float, now: float) -> PermitSlot:
        """Issue the next permit if it may be used within a time."""
        wait_s = max(0.0, self._due_at - BURST_S - now)
        if wait_s > patience_s:
            return PermitSlot(False, wait_s)
        self._due_at = max(self._due_at, now) + 1.0 / self.rate_per_s
        return PermitSlot(True, wait_s)


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    number: int
    user: str
    asked_at: float


@dataclass(slots=True)
class PermitHolder:
    """One node's permits for a resource, and its request for the next one.

    At most one request is open; whoever asks waits for the decision, and others do without.

    Attributes:
        backoff_until: no permit is asked for before this time.
    """

    backoff_until: float = -math.inf
    _permits: list[tuple[Permit, str]] = field(default_factory=list)
    _pending: _PendingRequest | None = None

    @property
    def user(self) -> str:
        """Who asked last, if there is no decision yet; else nobody."""
        return self._pending.user if self._pending is not None else ""

    def claim(self, user: str, now: float) -> Permit | None:
        """Take a permit that may be used now, the user's own before others'."""
        self._drop_late(now)
        usable = [row for row in self._permits if row[0].usable_from <= now]
        if not usable:
            return None
        chosen = min(usable, key=lambda row: (row[1] != user, row[0].usable_until))
        self._permits.remove(chosen)
        return chosen[0]

    def has_permit(self, now: float) -> bool:
        """Return whether a permit may be used now."""
        self._drop_late(now)
        return any(permit.usable_from <= now for permit, _ in self._permits)

    def is_pending(self, user: str, now: float) -> bool:
        """Return whether a user waits for a permit that is asked for, or issued for later."""
        if self._open_request(now) is not None and self._is_asked_for(user):
            return True
        self._drop_late(now)
        return any(owner == user for _, owner in self._permits)

    def wait_s(self, now: float) -> float:
        """Return in how long a permit may be asked for, or 0."""
        wait_s = max(0.0, self.backoff_until - now)
        request = self._open_request(now)
        if request is None:
            return wait_s
        return max(wait_s, request.asked_at + DECISION_TIMEOUT_S - now)

    def ask(self, number: int, user: str, now: float) -> None:
        """Note that a permit is asked for."""
        self._pending = _PendingRequest(number, user, now)

    def decided(self, decision: PermitDecision, issuer: str, now: float) -> bool:
        """Take in the issuer's decision; return whether it was still waited for."""
        request = self._pending
        if request is None or request.number != decision.number:
            return False
        self._pending = None
        if decision.granted:
            # Counted from the request, so that the time on the way shortens the permit.
            usable_from = request.asked_at + decision.wait_s
            usable_until = usable_from + PERMIT_LIFETIME_S
            permit = Permit(issuer, decision.run, decision.issued_at, usable_from, usable_until)
            self._permits.append((permit, request.user))
        else:
            backoff_s = min(max(decision.wait_s, SHORTEST_BACKOFF_S), LONGEST_BACKOFF_S)
            self.backoff_until = now + backoff_s
        return True

    def _open_request(self, now: float) -> _PendingRequest | None:
        """Return the request that may still be decided; back off without a decision."""
        request = self._pending
        if request is not None and now - request.asked_at >= DECISION_TIMEOUT_S:
            self.backoff_until = max(self.backoff_until, request.asked_at + UNDECIDED_BACKOFF_S)
            return None
        return request

    def _is_asked_for(self, user: str) -> bool:
        return self._pending is not None and self._pending.user == user

    def _drop_late(self, now: float) -> None:
        self._permits = [row for row in self._permits if now <= row[0].usable_until]


@dataclass(slots=True)
class _IssuerState:
    """What is issued for one resource.

    Attributes:
        unlimited_answers: answers in a row that did not name the limit.
        named_at: when an answer named it last, on this node's clock.
    """

    pacer: RatePacer
    unlimited_answers: int
    named_at: float


class PermitIssuer:
    """The permits that one node issues."""

    def __init__(self) -> None:
        self._run = random.randrange(1, RUNS)
        self._issued: dict[Hashable, _IssuerState] = {}

    def decide(
        self,
        resource: Hashable,
        named_per_s: float | None,
        share: float,
        number: int,
        patience_s: float,
        now: float,
    ) -> PermitDecision:
        """Decide on a request; `named_per_s` is None where the resource has no limit any more."""
        if named_per_s is None:
            slot = PermitSlot(True, 0.0)
        elif share <= 0.0:
            slot = PermitSlot(False, NOT_ISSUER_BACKOFF_S)
        else:
            slot = self._reserve(resource, named_per_s, share, patience_s, now)
        return PermitDecision(number, slot.granted, slot.wait_s, self._run, now)

    def record_receipt(
        self, resource: Hashable, run: int, issued_at: float, names_limit: bool, now: float
    ) -> bool:
        """Take in what the answer to a permitted request said; return whether the limit ends.

        An answer without the limit counts if its permit was issued after the limit was last
        named: a late answer says nothing of now.
        """
        issued = self._issued.get(resource)
        if issued is None:
            return False
        if names_limit:
            issued.unlimited_answers = 0
            issued.named_at = now
        elif run == self._run and issued_at > issued.named_at:
            issued.unlimited_answers += 1
        return issued.unlimited_answers >= ANSWERS_TO_END

    def stop(self, resource: Hashable) -> None:
        """Issue nothing more for a resource."""
        self._issued.pop(resource, None)

    def _reserve(
        self, resource: Hashable, named_per_s: float, share: float, patience_s: float, now: float
    ) -> PermitSlot:
        issued = self._issued.get(resource)
        unlimited_answers = issued.unlimited_answers if issued is not None else 0
        rate_per_s = max(named_per_s, LEAST_RATE_PER_S) * share * RATE_FACTOR**unlimited_answers
        if issued is None:
            issued = _IssuerState(RatePacer.start(rate_per_s, now), 0, now)
            self._issued[resource] = issued
        elif issued.pacer.rate_per_s != rate_per_s:
            issued.pacer.change_rate(rate_per_s, now)
        return issued.pacer.reserve(patience_s, now)
