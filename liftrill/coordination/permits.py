"""Permits for the use of a resource at a rate that all nodes keep together, sans-IO.

One node issues the permits of a resource, one for each use, spaced by the rate. A permit is
good for a short while on the clock of the node that asked for it, so that one which comes late,
or whose holder froze, allows nothing, and one that is lost costs the others a single use. See
docs/design/engine-limits.md for what happens while nodes disagree on who issues.
"""

import math
from dataclasses import dataclass, field

# How far permits may run ahead of the rate: uses do not come evenly spaced.
BURST_S = 0.25
# For how long a permit may be used: a request that waits in line looks again within a tenth of
# it, and what all holders may use late stays below what the rate gives in this time.
PERMIT_LIFETIME_S = 0.5
# A node that gets no answer within this time does without the resource for a while. Answers of
# nodes in other regions take up to half of it.
ANSWER_WAIT_S = 0.1
UNANSWERED_PAUSE_S = 0.25
# The least time before a refused node asks again.
SHORTEST_PAUSE_S = 0.02
# The longest: the rate may rise meanwhile.
LONGEST_PAUSE_S = 4.0


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
class PermitVerdict:
    """Whether a permit is issued.

    Attributes:
        wait_s: until it may be used; of a refusal, until there may be one.
    """

    granted: bool
    wait_s: float


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """What an issuer answers to a node.

    Attributes:
        number: of the node's question.
        wait_s: as in the verdict.
        run: which run of the issuer's process answers.
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

    def reserve(self, patience_s: float, now: float) -> PermitVerdict:
        """Issue the next permit if it may be used within a time."""
        wait_s = max(0.0, self._due_at - BURST_S - now)
        if wait_s > patience_s:
            return PermitVerdict(False, wait_s)
        self._due_at = max(self._due_at, now) + 1.0 / self.rate_per_s
        return PermitVerdict(True, wait_s)


@dataclass(frozen=True, slots=True)
class _Question:
    number: int
    user: str
    asked_at: float


@dataclass(slots=True)
class PermitHolder:
    """One node's permits for a resource, and its question for the next one.

    At most one question is open; whoever asks waits for the answer, and others do without.

    Attributes:
        pauses_until: no permit is asked for before this time.
    """

    pauses_until: float = -math.inf
    _permits: list[tuple[Permit, str]] = field(default_factory=list)
    _question: _Question | None = None

    def claim(self, user: str, now: float) -> Permit | None:
        """Take a permit that may be used now, the user's own before others'."""
        self._drop_late(now)
        usable = [row for row in self._permits if row[0].usable_from <= now]
        if not usable:
            return None
        chosen = min(usable, key=lambda row: (row[1] != user, row[0].usable_until))
        self._permits.remove(chosen)
        return chosen[0]

    @property
    def user(self) -> str:
        """Who asked the last question, if it has no answer; else nobody."""
        return self._question.user if self._question is not None else ""

    def has_permit(self, now: float) -> bool:
        """Return whether a permit may be used now."""
        self._drop_late(now)
        return any(permit.usable_from <= now for permit, _ in self._permits)

    def is_coming(self, user: str, now: float) -> bool:
        """Return whether a user waits for a permit that is asked for, or issued for later."""
        if self._open_question(now) is not None and self._is_asked_for(user):
            return True
        self._drop_late(now)
        return any(owner == user for _, owner in self._permits)

    def wait_s(self, now: float) -> float:
        """Return in how long a permit may be asked for, or 0."""
        wait_s = max(0.0, self.pauses_until - now)
        question = self._open_question(now)
        if question is None:
            return wait_s
        return max(wait_s, question.asked_at + ANSWER_WAIT_S - now)

    def ask(self, number: int, user: str, now: float) -> None:
        """Note that a permit is asked for."""
        self._question = _Question(number, user, now)

    def answered(self, answer: PermitAnswer, issuer: str, now: float) -> bool:
        """Take in an answer; return whether it was still waited for."""
        question = self._question
        if question is None or question.number != answer.number:
            return False
        self._question = None
        if answer.granted:
            # Counted from the question, so that the time on the way shortens the permit.
            usable_from = question.asked_at + answer.wait_s
            usable_until = usable_from + PERMIT_LIFETIME_S
            permit = Permit(issuer, answer.run, answer.issued_at, usable_from, usable_until)
            self._permits.append((permit, question.user))
        else:
            pause_s = min(max(answer.wait_s, SHORTEST_PAUSE_S), LONGEST_PAUSE_S)
            self.pauses_until = now + pause_s
        return True

    def _open_question(self, now: float) -> _Question | None:
        """Return the question that may still be answered; without an answer, pause."""
        question = self._question
        if question is not None and now - question.asked_at >= ANSWER_WAIT_S:
            self.pauses_until = max(self.pauses_until, question.asked_at + UNANSWERED_PAUSE_S)
            return None
        return question

    def _is_asked_for(self, user: str) -> bool:
        return self._question is not None and self._question.user == user

    def _drop_late(self, now: float) -> None:
        self._permits = [row for row in self._permits if now <= row[0].usable_until]
