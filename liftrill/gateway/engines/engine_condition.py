"""What was heard from engines, kept for as long as they may live, sans-IO.

An engine's word is true of one incarnation of it, whatever its record says or whether there is
one: records go, come back and are restored from older copies while the engine is the same.
"""

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination.permits import Permit
from liftrill.gateway.delivery_events import EngineAddress

# For how long after its last word an engine is remembered that is in no record: a store that was
# away for minutes may still bring one back.
RETENTION_S = 600.0
# An engine that asks for longer is asked again after it: a typing error would take it out of use
# for good otherwise.
MAX_BACKOFF_S = 600.0
# After a rest an engine gets one request in this time until it has answered one: all that waited
# at all nodes would be its next overload. A plain answer takes about as long (guess).
TRIAL_INTERVAL_S = 0.25
# Orders of new weights wait for a rest no longer: what the operator named comes into use within
# seconds, and an order is no load (guess).
MAX_ORDER_BACKOFF_S = 5.0
# How often that is looked at: few are forgotten, and each look passes over all of them.
EXPIRY_INTERVAL_S = 10.0
# How many are remembered at the most: more than leave within that time in a fleet of thousands;
# 1.6 MB (400 bytes each).
MAX_ENTRIES = 4_096
# Fractions included; another form, such as a date, says nothing.
DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)


def parse_decimals(values: Iterable[str]) -> list[float]:
    """Return the plain decimal numbers among some values, as seconds or requests a second."""
    return [float(value) for value in values if DECIMAL.fullmatch(value)]


@dataclass(frozen=True, slots=True)
class EngineSignal:
    """What an answer says of the engine that gave it.

    Attributes:
        source: what kind of call it answers, or who told of it.
        status: the HTTP status of the answer, or 0.
        leaving: whether the engine is about to end, and wants no new work.
        backoff_s: for how long it wants nothing from this node, or 0.
        limit_per_s: how many requests a second it takes from all nodes together, or None.
        permit: under which the request was sent that it answers, or None.
    """

    engine: EngineAddress
    source: str
    status: int = 0
    leaving: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None
    permit: Permit | None = None


@dataclass(slots=True)
class EngineCondition:
    """What was heard from one incarnation of an engine.

    Attributes:
        leaving: whether it said that it leaves, in an answer or a record; it never takes it back.
        backoff_until: it wants nothing from this node before this time.
        weights: the newest version known of each model.
        last_heard_at: when it said something last, or its record went.
    """

    leaving: bool = False
    backoff_until: float = -math.inf
    weights: dict[str, int] = field(default_factory=dict)
    last_heard_at: float = 0.0
    _backoff_since: float = 0.0
    _on_trial: bool = False
    _trial_until: float = -math.inf

    def begin_backoff(self, backoff_s: float, now: float) -> None:
        """Take in that it wants rest: the latest end holds of all that it asked for."""
        if now >= self.backoff_until:
            self._backoff_since = now
        self.backoff_until = max(self.backoff_until, now + min(backoff_s, MAX_BACKOFF_S))
        self._on_trial = True

    def backoff_left_s(self, now: float) -> float:
        """Return for how long it gets nothing from this node, or 0."""
        return max(0.0, max(self.backoff_until, self._trial_until) - now)

    def is_backing_off(self, now: float) -> bool:
        """Return whether it gets nothing from this node now."""
        return self.backoff_left_s(now) > 0

    def defers_weight_orders(self, now: float) -> bool:
        """Return whether orders wait for its rest."""
        return now < min(self.backoff_until, self._backoff_since + MAX_ORDER_BACKOFF_S)

    def learn_weights(self, model: str, version: int) -> None:
        """Take note of a version that it was seen to have: versions only rise."""
        if version > self.weights.get(model, 0):
            self.weights[model] = version

    def note_sent(self, now: float) -> None:
        """Note that a request is sent to it: after a rest, the only one for a while."""
        if self._on_trial:
            self._trial_until = now + TRIAL_INTERVAL_S

    def note_answered(self, sent_at: float) -> None:
        """Note that it answered what was sent at a time: after its rest, it can bear more."""
        if sent_at >= self.backoff_until:
            self._on_trial = False
            self._trial_until = -math.inf


@dataclass(slots=True)
class EngineConditions:
    """The standings of incarnations that said something, or whose records went."""

    _conditions: dict[tuple[int, str], EngineCondition] = field(default_factory=dict)
    _expired_at: float = 0.0

    def __len__(self) -> int:
        return len(self._conditions)

    def of(self, engine: EngineAddress) -> EngineCondition:
        """Return what an incarnation said, or the standing of one that said nothing yet."""
        return self._conditions.get(_key(engine)) or EngineCondition()

    def remember(self, engine: EngineAddress, condition: EngineCondition, now: float) -> None:
        """Remember what is known of an incarnation that spoke or went just now."""
        condition.last_heard_at = now
        self._conditions[_key(engine)] = condition
        if len(self._conditions) > MAX_ENTRIES:
            del self._conditions[
                min(self._conditions, key=lambda key: self._conditions[key].last_heard_at)
            ]

    def expire(self, in_records: Iterable[EngineCondition], now: float) -> None:
        """Forget those that said nothing for long and are in no record."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for condition in in_records:
            condition.last_heard_at = now
        for key, condition in list(self._conditions.items()):
            if now - condition.last_heard_at > RETENTION_S:
                del self._conditions[key]


def _key(engine: EngineAddress) -> tuple[int, str]:
    # Where engines do not tell their start, another address under an id is another incarnation.
    return engine.number, engine.address
