"""The order in which requests of one service get the places that come free at engines, sans-IO.

Urgent requests come first. Among equally urgent ones those come first that were refused
before and came back when they were told to. Tenants take turns by the tokens that they were
let through, and of one tenant's requests the one comes first that has to begin earliest.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum

# After so many places in a row for more urgent requests of the line the next one is offered to
# others that wait, so that a line that never ends does not starve them. Requests that find room
# as they come are not counted.
PLACES_IN_A_ROW = 8
# How many tenants' turns are remembered while none of their requests waits (100 bytes each).
TENANTS_KEPT = 256
# How fast places come free is averaged over the longest time that a request waits for one.
DRAIN_AVERAGE_S = 0.5
# After so many places how fast they come free is known well enough to refuse by it.
KNOWN_PLACES = 8


class Standing(IntEnum):
    """What is known of a caller that asks again; lower ones go first."""

    CAME_BACK = 0
    NEW = 1
    CAME_EARLY = 2


@dataclass(frozen=True, slots=True)
class Place:
    """What a request waits with.

    Attributes:
        urgency: 0 is the most urgent.
        tokens: what it takes of engines, for its tenant's turn.
        latest_start: when it has to begin to be answered in its target's time.
        until: for how long it waits.
        needs_room: whether it waits for room, rather than for what engines don't offer yet.
    """

    urgency: int
    tenant: str
    tokens: int
    latest_start: float
    until: float
    since: float
    standing: Standing = Standing.NEW
    needs_room: bool = True


@dataclass(slots=True)
class _Round:
    """One pass along the line: whom it asked, and whether it goes on once someone took a place."""

    everyone: bool
    asked: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the line.

    Attributes:
        number: rises with the time of arrival.
        asked_in: the round that asks it to try just now, or None.
        tried: how often room had changed when it last found none.
    """

    place: Place
    number: int
    asked_in: _Round | None = None
    tried: int = -1


@dataclass(slots=True)
class WaitingLine:
    """Who waits for engines of one service.

    Whoever is asked to try calls `took`, `found_nothing` or `leave`; each returns who is asked
    next, if anyone. So a place that comes free wakes one request, and is handed on until it is
    taken or nobody is left.
    """

    _waiters: dict[int, Waiter] = field(default_factory=dict)
    _next_number: int = 0
    _changes: int = 0
    _asked_all_at: float = 0.0
    # Tokens that each tenant was let through, counted on from the least of those that waited.
    _turns: dict[str, float] = field(default_factory=dict)
    _turn: float = 0.0
    _passed_over: dict[int, int] = field(default_factory=dict)
    _places: float = 0.0
    _places_at: float = 0.0

    def __len__(self) -> int:
        return len(self._waiters)

    def oldest_since(self) -> float | None:
        """Return since when the first of those that wait has waited, or None."""
        return min((w.place.since for w in self._waiters.values()), default=None)

    def join(self, place: Place) -> Waiter:
        """Put a request in the line, which found nothing just now or did not try."""
        tried = -1 if self.must_wait(place.urgency) else self._changes
        waiter = Waiter(place, self._next_number, tried=tried)
        # A tenant that was away saves up no turns.
        if all(other.place.tenant != place.tenant for other in self._waiters.values()):
            self._turns[place.tenant] = max(self._turns.get(place.tenant, 0.0), self._turn)
        self._next_number += 1
        self._waiters[waiter.number] = waiter
        return waiter

    def ask_untried(self) -> Waiter | None:
        """Return whom to ask where someone joined who did not try, lest nobody is asked."""
        if any(waiter.asked_in for waiter in self._waiters.values()):
            return None
        untried = any(waiter.tried < self._changes for waiter in self._waiters.values())
        return self._ask_next(_Round(everyone=False)) if untried else None

    def came_free(self) -> Waiter | None:
        """Return whom to wake, now that a place came free."""
        self._changes += 1
        return self._ask_next(_Round(everyone=False))

    def was_read(self, now: float) -> Waiter | None:
        """Return whom to wake, now that an engine has read a prompt.

        That frees a place, and is what all may have waited for that do not need room.
        """
        if all(waiter.place.needs_room for waiter in self._waiters.values()):
            return self.came_free()
        return self.ask_all(now)

    def ask_all(self, now: float) -> Waiter | None:
        """Return whom to ask first, where room may have changed unseen."""
        self._changes += 1
        self._asked_all_at = now
        return self._ask_next(_Round(everyone=True))

    def asked_all_s(self, now: float) -> float:
        """Return how long ago all were asked."""
        return now - self._asked_all_at

    def took(self, waiter: Waiter, now: float) -> Waiter | None:
        """Note that a request has a place; return whom to ask next."""
        self._note_place(waiter.place, now)
        asked_in = self._remove(waiter)
        if asked_in is None or not asked_in.everyone:
            return None
        return self._ask_next(asked_in)

    def found_nothing(self, waiter: Waiter) -> Waiter | None:
        """Note that a request found no place; return whom to ask next."""
        waiter.tried = self._changes
        asked_in, waiter.asked_in = waiter.asked_in, None
        return self._ask_next(asked_in) if asked_in else None

    def leave(self, waiter: Waiter) -> Waiter | None:
        """Take a request out that waits no more; return whom to ask instead, if it was asked."""
        asked_in = self._remove(waiter)
        return self._ask_next(asked_in) if asked_in else None

    def must_wait(self, urgency: int, waiter: Waiter | None = None) -> bool:
        """Return whether a place that may be free is someone else's.

        Who found nothing since room last changed stands in nobody's way.
        """
        if waiter is not None and waiter.asked_in is not None:
            return False
        return any(
            other.tried < self._changes and other.place.needs_room
            for other in self._waiters.values()
            if other is not waiter and self._is_before(other, urgency, waiter)
        )

    def wait_s(self, urgency: int, now: float) -> float:
        """Return how long it takes until those that go before a request have places."""
        ahead = sum(
            w.place.urgency <= urgency and w.place.needs_room for w in self._waiters.values()
        )
        drain_per_s = self._drain_per_s(now)
        if not ahead or drain_per_s * DRAIN_AVERAGE_S < KNOWN_PLACES:
            return 0.0
        return ahead / drain_per_s

    def _is_before(self, other: Waiter, urgency: int, waiter: Waiter | None) -> bool:
        if waiter is None:
            return other.place.urgency <= urgency
        return self._rank(other) < self._rank(waiter)

    def _remove(self, waiter: Waiter) -> _Round | None:
        self._waiters.pop(waiter.number, None)
        asked_in, waiter.asked_in = waiter.asked_in, None
        self._forget_turns()
        return asked_in

    def _ask_next(self, asked: _Round) -> Waiter | None:
        waiting = [
            waiter
            for waiter in self._waiters.values()
            if waiter.asked_in is None and waiter.number not in asked.asked
        ]
        if not waiting:
            return None
        waiter = self._passed_over_one(waiting) or min(waiting, key=self._rank)
        asked.asked.add(waiter.number)
        waiter.asked_in = asked
        return waiter

    def _rank(self, waiter: Waiter) -> tuple[int, int, float, float, int]:
        place = waiter.place
        turn = self._turns.get(place.tenant, self._turn)
        return (place.urgency, place.standing, turn, place.latest_start, waiter.number)

    def _passed_over_one(self, waiting: list[Waiter]) -> Waiter | None:
        """Return the first of a kind that more urgent ones were long preferred to, or None."""
        over = [w for w in waiting if self._passed_over.get(w.place.urgency, 0) >= PLACES_IN_A_ROW]
        return min(over, key=self._rank) if over else None

    def _note_place(self, place: Place, now: float) -> None:
        self._turn = max(self._turn, self._turns.get(place.tenant, 0.0))
        self._turns[place.tenant] = self._turns.get(place.tenant, self._turn) + place.tokens
        self._places = self._places_now(now) + 1.0
        self._places_at = now
        self._passed_over[place.urgency] = 0
        for less_urgent in {w.place.urgency for w in self._waiters.values()}:
            if less_urgent > place.urgency:
                self._passed_over[less_urgent] = self._passed_over.get(less_urgent, 0) + 1

    def _drain_per_s(self, now: float) -> float:
        return self._places_now(now) / DRAIN_AVERAGE_S

    def _places_now(self, now: float) -> float:
        return self._places * math.exp(min(0.0, self._places_at - now) / DRAIN_AVERAGE_S)

    def _forget_turns(self) -> None:
        """Forget the turns of tenants that are due anyway, if there are many."""
        if len(self._turns) <= TENANTS_KEPT:
            return
        waiting = {w.place.tenant for w in self._waiters.values()}
        ahead = {t: at for t, at in self._turns.items() if t in waiting or at > self._turn}
        if len(ahead) > TENANTS_KEPT:
            ahead = {t: at for t, at in ahead.items() if t in waiting}
        self._turns = ahead
